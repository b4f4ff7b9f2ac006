// Package replier writes the JSON responses of the API, including error responses.
//
//	replier.WriteError(w, 503, replier.Error{Code: "Overloaded", Outcome: encoder.OutcomeNotRun, RetryAfterMS: 1000})
package replier

import (
	"encoding/json"
	"net/http"
	"strconv"

	"daisyhead/internal/ledger/encoder"
)

// Error is the body of every error response.
type Error struct {
	// Code identifies the kind of error for programs, Message describes it for people.
	Code    string
	Message string
	// Outcome tells whether the request had an effect, as far as that is known.
	Outcome      encoder.Outcome
	RequestID    string `json:",omitempty"`
	RetryAfterMS int64  `json:",omitempty"`
}

// Error formats the error as "Code: Message".
func (e Error) Error() string { return e.Code + ": " + e.Message }

// WriteError writes an error response. It sets the headers Daisyhead-Outcome and, if
// RetryAfterMS is set, Retry-After, which is rounded up to whole seconds.
func WriteError(w http.ResponseWriter, status int, e Error) {
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	w.Header().Set("Daisyhead-Outcome", string(e.Outcome))
	WriteJSON(w, status, e)
}

// WriteJSON writes a response with v encoded as JSON and a final newline.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
