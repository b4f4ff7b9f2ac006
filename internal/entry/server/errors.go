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

// errBusy marks failed reads of the control state. The caller may retry.
var errBusy = errors.New("the control loop did not answer in time")

// statusError is an error with the HTTP status and the body of its response.
type statusError struct {
	status int
	body   replier.Error
}

// Error returns the code and the message of the body.
func (e *statusError) Error() string { return e.body.Error() }

func invalid(message string) error {
	return &statusError{http.StatusBadRequest, replier.Error{Code: "Invalid", Message: message, Outcome: encoder.OutcomeNotRun}}
}

func notFound(message string) error {
	return &statusError{http.StatusNotFound, replier.Error{Code: "NotFound", Message: message, Outcome: encoder.OutcomeNotRun}}
}

func forbidden(action string) error {
	return &statusError{http.StatusForbidden, replier.Error{Code: "Forbidden", Message: "the token gives no right to this: " + action, Outcome: encoder.OutcomeNotRun}}
}

// refusalStatus maps the refusal code of the reducer to an HTTP status.
func refusalStatus(code reducer.RefusalCode) int {
	switch code {
	case reducer.RefusedNotFound:
		return http.StatusNotFound
	case reducer.RefusedInvalid:
		return http.StatusBadRequest
	case reducer.RefusedGuaranteesDoNotFit:
		return http.StatusUnprocessableEntity
	}
	return http.StatusConflict
}

// refused converts the refusal of an entry by the reducer to an error.
func refused(res reducer.Result) error {
	return &statusError{refusalStatus(res.Code), replier.Error{Code: string(res.Code), Message: res.Reason, Outcome: encoder.OutcomeNotRun}}
}

// errorResponse returns the HTTP status and the response body for err. An error of an
// unknown kind is reported with an unknown outcome, since it may have had an effect.
func errorResponse(err error) (int, replier.Error) {
	var statusErr *statusError
	if errors.As(err, &statusErr) {
		return statusErr.status, statusErr.body
	}
	body := replier.Error{Message: err.Error(), Outcome: encoder.OutcomeNotRun}
	switch {
	case errors.Is(err, authenticator.ErrUnauthenticated):
		body.Code = "Unauthenticated"
		return http.StatusUnauthorized, body
	case errors.Is(err, specifier.ErrInvalid):
		body.Code = "Invalid"
		return http.StatusBadRequest, body
	case errors.Is(err, recorder.ErrNotAppended):
		body.Code, body.RetryAfterMS = "LedgerUnavailable", time.Second.Milliseconds()
		return http.StatusServiceUnavailable, body
	case errors.Is(err, errBusy):
		body.Code, body.RetryAfterMS = "Busy", time.Second.Milliseconds()
		return http.StatusServiceUnavailable, body
	case errors.Is(err, recorder.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		body.Code, body.Outcome, body.RetryAfterMS = "OutcomeUnknown", encoder.OutcomeUnknown, time.Second.Milliseconds()
		return http.StatusGatewayTimeout, body
	}
	body.Code, body.Outcome = "Internal", encoder.OutcomeUnknown
	return http.StatusInternalServerError, body
}

// encodeError writes the error response for err.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	status, body := errorResponse(err)
	body.RequestID, _ = ctx.Value(requestIDKey{}).(string)
	replier.WriteError(w, status, body)
}
