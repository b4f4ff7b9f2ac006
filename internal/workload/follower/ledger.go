package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// Errors of a Ledger's writing calls. Any other error leaves open whether the
// records were or will be written.
var (
	// ErrNotWritten tells that nothing was written and nothing will be.
	ErrNotWritten = errors.New("not written")
	// ErrFenced tells that a higher term has been recorded.
	ErrFenced = errors.New("a higher term has been recorded")
)

// Ledger is the feed that all instances share.
type Ledger interface {
	Feed[tabulator.Record]
	// Append writes records in one piece.
	Append(ctx context.Context, records []tabulator.Record) error
	// AppendInTerm writes records in one piece, once for each sequence number.
	// It fails with ErrFenced after a higher term was recorded.
	AppendInTerm(ctx context.Context, term, sequence uint64, records []tabulator.Record) error
	// ClaimTerm writes the record if it will have the offset at.
	ClaimTerm(ctx context.Context, at, term uint64, record tabulator.Record) error
}

const (
	// appendTimeout bounds one append: 50 times the usual one.
	appendTimeout = 700 * time.Millisecond
)

// Writer writes to the ledger for the control loop and for callers.
type Writer struct {
	ledger Ledger
	queue  chan pendingAppend
}

type pendingAppend struct {
	record tabulator.Record
	done   chan error
}

// writerQueue bounds the callers' records that wait for an append.
const writerQueue = 1024

// maxGroup bounds the callers' records in one append.
const maxGroup = 64

// NewWriter returns a writer that is not running yet.
func NewWriter(l Ledger) *Writer {
	return &Writer{ledger: l, queue: make(chan pendingAppend, writerQueue)}
}

// Run writes callers' records until the context ends, those that wait together
// in one append.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			w.write(ctx, w.group(first))
		}
	}
}

func (w *Writer) group(first pendingAppend) []pendingAppend {
	group := []pendingAppend{first}
	for len(group) < maxGroup {
		select {
		case p := <-w.queue:
			group = append(group, p)
		default:
			return group
		}
	}
	return group
}

func (w *Writer) write(ctx context.Context, group []pendingAppend) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := make([]tabulator.Record, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	err := w.ledger.Append(ctx, records)
	for _, p := range group {
		p.done <- err
	}
}

// Append writes a caller's record. Records are idempotent, so a caller may
// append one again after an error.
func (w *Writer) Append(ctx context.Context, r tabulator.Record) error {
	p := pendingAppend{record: r, done: make(chan error, 1)}
	select {
	case w.queue <- p:
	default:
		return errors.Wrap(ErrNotWritten, "too many records wait")
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Claim carries out a ClaimCmd.
func (w *Writer) Claim(ctx context.Context, c scheduler.ClaimCmd) scheduler.ClaimedMsg {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if err := w.ledger.ClaimTerm(ctx, c.At, c.Term.Number, tabulator.TermRecord(c.Term)); err != nil {
		return scheduler.ClaimedMsg{Err: err.Error()}
	}
	return scheduler.ClaimedMsg{}
}

// Decide carries out an AppendCmd.
func (w *Writer) Decide(ctx context.Context, c scheduler.AppendCmd) scheduler.AppendedMsg {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	msg := scheduler.AppendedMsg{Term: c.Term, Sequence: c.Sequence, Result: scheduler.AppendDone}
	err := w.ledger.AppendInTerm(ctx, c.Term, c.Sequence, c.Records)
	switch {
	case errors.Is(err, ErrFenced):
		msg.Result, msg.Err = scheduler.AppendFenced, err.Error()
	case err != nil:
		msg.Result, msg.Err = scheduler.AppendUnknown, err.Error()
	}
	return msg
}
