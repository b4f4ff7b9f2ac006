// Package claimer keeps non-idempotent requests to at most one execution over
// all instances: the first claim in the ledger has the only right to send.
//
//	claim, err := c.Claim(ctx, claimer.Request{Workspace: "arrieta", Key: "booking-7", …})
//	// send the request once
//	c.RecordResult(claim, claimer.Result{Outcome: encoder.OutcomeRan, Status: 200})
package claimer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
)

// endTimeout bounds the tries to record an outcome.
const endTimeout = 2 * time.Hour

// pollInterval is how often a claim of another request is looked at again.
const pollInterval = 50 * time.Millisecond

// Errors of Claim.
var (
	// ErrNotSent means that no claim was made and nothing will be sent.
	ErrNotSent = errors.New("the request could not be claimed in the ledger")
	// ErrConflict means that the key was used for another request.
	ErrConflict = errors.New("the key was used for another request")
)

// Recorder appends entries to the ledger.
type Recorder interface {
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
}

// Reader looks a claim up in the folded state.
type Reader interface {
	Claim(ctx context.Context, key string) (claim reducer.Claim, known bool, err error)
}

// Request identifies a non-idempotent request.
type Request struct {
	Workspace string
	Key       string
	Service   string
	Digest    string
}

// Result is the outcome of a claimed request.
type Result struct {
	Outcome   encoder.Outcome
	Status    int
	Type      string
	Body      []byte
	Truncated bool
	Reason    string
}

// Claimer claims requests for one instance's process.
type Claimer struct {
	Recorder Recorder
	Reader   Reader
	Writer   string
}

// Claim returns nil when this process now has the only right to send. Else it
// returns the standing claim of an earlier request, once that has ended or the
// context ends.
func (c *Claimer) Claim(ctx context.Context, r Request) (standing *reducer.Claim, err error) {
	entry := encoder.Entry{At: time.Now().UnixMilli(), RequestClaimed: &encoder.RequestClaimed{
		Workspace: r.Workspace, Key: r.Key, Holder: c.Writer, Service: r.Service, Digest: r.Digest,
	}}
	results, err := c.Recorder.Propose(ctx, entry)
	if errors.Is(err, recorder.ErrUnknown) {
		// The claim may still land. It is never used, and its end says so.
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
	return c.await(ctx, reducer.ClaimKey(r.Workspace, r.Key), res.Claim)
}

// await follows a claim that another request holds.
func (c *Claimer) await(ctx context.Context, key string, standing *reducer.Claim) (*reducer.Claim, error) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return standing, nil
		case <-ticker.C:
		}
		claim, known, err := c.Reader.Claim(ctx, key)
		if err == nil && known && claim.Ended {
			return &claim, nil
		}
	}
}

// RecordResult records the outcome in the background; it goes on while the ledger is
// down. The recorder sends one batch at a time, so the claim's fate is decided
// before its end is appended.
func (c *Claimer) RecordResult(r Request, e Result) {
	body := e.Body
	if len(body) > reducer.MaxAnswerBytes {
		body, e.Truncated = body[:reducer.MaxAnswerBytes], true
	}
	entry := encoder.Entry{At: time.Now().UnixMilli(), RequestEnded: &encoder.RequestEnded{
		Workspace: r.Workspace, Key: r.Key, Outcome: e.Outcome, Status: e.Status, Type: e.Type,
		Body: body, Truncated: e.Truncated, Reason: e.Reason,
	}}
	go c.record(entry)
}

func (c *Claimer) record(entry encoder.Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
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
