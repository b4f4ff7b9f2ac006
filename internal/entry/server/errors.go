package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/replier"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
)

var errBusy = errors.New("the control loop did not answer in time")

// statusError is an error with its place in HTTP.
type statusError struct {
	status int
	body   replier.Error
}

// Error returns the error's code and message.
func (e *statusError) Error() string { return e.body.Error() }

func invalid(message string) error {
	return &statusError{http.StatusBadRequest, replier.Error{Code: "Invalid", Message: message, Outcome: encoder.OutcomeNotRun}}
}

func notFound(message string) error {
	return &statusError{http.StatusNotFound, replier.Error{Code: "NotFound", Message: message, Outcome: encoder.OutcomeNotRun}}
}

func forbidden(what string) error {
	return &statusError{http.StatusForbidden, replier.Error{Code: "Forbidden", Message: "the token gives no right to this: " + what, Outcome: encoder.OutcomeNotRun}}
}

// refusedStatus maps the fold's refusals.
func refusedStatus(code reducer.RefusalCode) int {
	switch code {
	case reducer.RefusedNotFound:
		return http.StatusNotFound
	case reducer.RefusedInvalid:
		return http.StatusBadRequest
	case reducer.RefusedNotPlaced:
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

func refused(res reducer.Result) error {
	return &statusError{refusedStatus(res.Code), replier.Error{Code: string(res.Code), Message: res.Reason, Outcome: encoder.OutcomeNotRun}}
}

// describeError finds the status and the body of any error.
func describeError(err error) (int, replier.Error) {
	var known *statusError
	if errors.As(err, &known) {
		return known.status, known.body
	}
	body := replier.Error{Message: err.Error(), Outcome: encoder.OutcomeNotRun}
	switch {
	case errors.Is(err, authenticator.ErrUnauthenticated):
		body.Code = "Unauthenticated"
		return http.StatusUnauthorized, body
	case errors.Is(err, specifier.ErrInvalid):
		body.Code = "Invalid"
		return http.StatusBadRequest, body
	case errors.Is(err, recorder.ErrNotSent):
		body.Code, body.RetryAfterMS = "LedgerUnavailable", time.Second.Milliseconds()
		return http.StatusServiceUnavailable, body
	case errors.Is(err, errBusy):
		body.Code, body.RetryAfterMS = "Busy", time.Second.Milliseconds()
		return http.StatusServiceUnavailable, body
	case errors.Is(err, recorder.ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		body.Code, body.Outcome, body.RetryAfterMS = "OutcomeUnknown", encoder.OutcomeUnknown, time.Second.Milliseconds()
		return http.StatusGatewayTimeout, body
	}
	body.Code, body.Outcome = "Internal", encoder.OutcomeUnknown
	return http.StatusInternalServerError, body
}

func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	status, body := describeError(err)
	body.RequestID, _ = ctx.Value(requestIDKey{}).(string)
	replier.WriteError(w, status, body)
}
