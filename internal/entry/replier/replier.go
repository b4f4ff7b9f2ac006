// Package replier writes the API's answers and its typed error bodies.
//
//	replier.WriteError(w, 503, replier.Error{Code: "Overloaded", Outcome: encoder.OutcomeNotRun, RetryAfterMS: 1000})
package replier

import (
	"encoding/json"
	"net/http"
	"strconv"

	"daisyhead/internal/ledger/encoder"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    string
	Message string
	// Outcome tells whether the request had an effect.
	Outcome      encoder.Outcome
	RequestID    string `json:",omitempty"`
	RetryAfterMS int64  `json:",omitempty"`
}

// Error returns the code and the message.
func (e Error) Error() string { return e.Code + ": " + e.Message }

// WriteError writes an error body with its status and headers.
func WriteError(w http.ResponseWriter, status int, e Error) {
	if e.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((e.RetryAfterMS+999)/1000, 10))
	}
	w.Header().Set("Daisyhead-Outcome", string(e.Outcome))
	WriteJSON(w, status, e)
}

// WriteJSON writes any value as JSON.
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
