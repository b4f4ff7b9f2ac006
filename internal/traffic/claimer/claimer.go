// Package claimer limits non-idempotent requests to at most one execution by all
// instances together. An instance claims a request in the ledger before it sends
// it, and only the first claim gives the right to send:
//
//	request := claimer.Request{Workspace: "arrieta", Key: "booking-7", …}
//	existing, err := c.Claim(ctx, request)
//	// if both are nil, send the request once
//	c.RecordResult(request, claimer.Result{Outcome: encoder.OutcomeRan, Status: 200})
package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
)

// recordTimeout is how long the recording of a result is retried.
const recordTimeout = 2 * time.Hour

// pollInterval is the interval at which the claim of an earlier request is polled
// for its result.
const pollInterval = 50 * time.Millisecond

// Errors returned by Claim.
var (
	// ErrNotSent means that the request is not claimed, or not known to be, and
	// is not sent.
	ErrNotSent = errors.New("the request could not be claimed in the ledger")
	// ErrConflict means that the idempotency key was used for another request.
	ErrConflict = errors.New("the key was used for another request")
)

// Recorder appends entries to the ledger.
type Recorder interface {
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
}

// Reader looks up claims in the state that is built from the ledger.
type Reader interface {
	Claim(ctx context.Context, key string) (claim reducer.Claim, known bool, err error)
}

// Request identifies a non-idempotent request.
type Request struct {
	Workspace string
	// Key is the idempotency key, which is unique per workspace.
	Key     string
	Service string
	// Digest is a hash of the request's content.
	Digest string
}

// Result is the result of a claimed request. Type is the Content-Type. Body is the
// response body; if Truncated is set, it is incomplete. Reason is the error if there
// is no response.
type Result struct {
	Outcome   encoder.Outcome
	Status    int
	Type      string
	Body      []byte
	Truncated bool
	Reason    string
}

// Claimer claims requests on behalf of this instance.
type Claimer struct {
	Recorder Recorder
	Reader   Reader
	// Writer identifies this process of the instance in the ledger.
	Writer string
}

// Claim returns nil if this process has claimed the request and may send it once.
// Otherwise it returns the existing claim of an earlier request with this key. If
// that request is still in progress, it waits for its result until the context
// ends.
func (c *Claimer) Claim(ctx context.Context, r Request) (existing *reducer.Claim, err error) {
	entry := encoder.Entry{At: time.Now().UnixMilli(), RequestClaimed: &encoder.RequestClaimed{
		Workspace: r.Workspace, Key: r.Key, Holder: c.Writer, Service: r.Service, Digest: r.Digest,
	}}
	results, err := c.Recorder.Propose(ctx, entry)
	if errors.Is(err, recorder.ErrOutcomeUnknown) {
		// The claim may still be appended to the ledger. The request isn't sent,
		// so its result is recorded as NotRun.
		c.RecordResult(r, Result{Outcome: encoder.OutcomeNotRun, Reason: "the claim's answer came too late"})
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "claim"), ErrNotSent)
	}
	res := results[0]
	switch {
	case res.OK:
		return nil, nil
	case res.Code == reducer.RefusedConflict:
		return res.Claim, errors.Wrap(ErrConflict, res.Reason)
	case res.Claim != nil && res.Claim.Ended:
		return res.Claim, nil
	}
	return c.awaitResult(ctx, reducer.ClaimKey(r.Workspace, r.Key), res.Claim)
}

// awaitResult polls the claim of an earlier request until its result is recorded or
// the context ends, and returns the claim as last seen.
func (c *Claimer) awaitResult(ctx context.Context, key string, existing *reducer.Claim) (*reducer.Claim, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return existing, nil
		case <-ticker.C:
		}
		claim, known, err := c.Reader.Claim(ctx, key)
		if err == nil && known && claim.Ended {
			return &claim, nil
		}
	}
}

// RecordResult records the result in the background and retries while the ledger
// is unavailable. The recorder appends one batch at a time, so whether the claim
// was appended is decided before the result is appended.
func (c *Claimer) RecordResult(r Request, result Result) {
	body := result.Body
	if len(body) > reducer.MaxStoredResponseBytes {
		body, result.Truncated = body[:reducer.MaxStoredResponseBytes], true
	}
	entry := encoder.Entry{At: time.Now().UnixMilli(), RequestEnded: &encoder.RequestEnded{
		Workspace: r.Workspace, Key: r.Key, Outcome: result.Outcome, Status: result.Status, Type: result.Type,
		Body: body, Truncated: result.Truncated, Reason: result.Reason,
	}}
	go c.appendWithRetry(entry)
}

// appendWithRetry appends the entry, with back-off between the tries.
func (c *Claimer) appendWithRetry(entry encoder.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	for try := 0; ctx.Err() == nil; try++ {
		if _, err := c.Recorder.Propose(ctx, entry); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(recorder.Backoff(try)):
		}
	}
}
