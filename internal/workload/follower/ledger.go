package follower

import (
	"context"
	"sync"
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
	// ErrMoved tells that nothing was written since the ledger has grown meanwhile.
	ErrMoved = errors.Wrap(ErrNotWritten, "the ledger has grown")
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

// Bounds of the time in which an append must be answered. An append without an
// answer is repeated, so a lost answer should be given up early; a slow platform
// should not be pressed with repetitions.
const (
	// minAppendTimeout is 30 times the usual answer.
	minAppendTimeout = 300 * time.Millisecond
	// maxAppendTimeout is the longest that the platform lets an append wait.
	maxAppendTimeout = 2400 * time.Millisecond
	// appendTimeoutFactor times the latest answer is waited for the next one.
	appendTimeoutFactor = 5
)

// patience adapts the time limit of appends to how long they take.
type patience struct {
	mu    sync.Mutex
	limit time.Duration
	// renewed is closed when the platform is known to answer again.
	renewed chan struct{}
}

// renew gives up the calls that are in flight, which may have been sent into an outage
// that is over, and returns to the least time limit.
func (p *patience) renew() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = 0
	if p.renewed != nil {
		close(p.renewed)
	}
	p.renewed = make(chan struct{})
}

// untilRenewed returns a context that ends with renew.
func (p *patience) untilRenewed(ctx context.Context) (context.Context, context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.renewed == nil {
		p.renewed = make(chan struct{})
	}
	renewed := p.renewed
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-renewed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (p *patience) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(p.limit, minAppendTimeout), maxAppendTimeout)
}

// learn takes the outcome of one append.
func (p *patience) learn(took time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		p.limit = min(2*max(p.limit, minAppendTimeout), maxAppendTimeout)
		return
	}
	if err == nil {
		p.limit = appendTimeoutFactor * took
	}
}

// try runs one append within the time limit.
func (p *patience) try(ctx context.Context, appending func(context.Context) error) error {
	ctx, stop := p.untilRenewed(ctx)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, p.timeout())
	defer cancel()
	began := time.Now()
	err := appending(ctx)
	p.learn(time.Since(began), err)
	return err
}

// Writer writes to the ledger for the control loop and for callers.
type Writer struct {
	ledger   Ledger
	queue    chan pendingAppend
	patience patience
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
	records := make([]tabulator.Record, len(group))
	for i, p := range group {
		records[i] = p.record
	}
	err := w.patience.try(ctx, func(ctx context.Context) error { return w.ledger.Append(ctx, records) })
	for _, p := range group {
		p.done <- err
	}
}

// Renew sends what is in flight again: the ledger answers after an outage.
func (w *Writer) Renew() { w.patience.renew() }

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
	err := w.patience.try(ctx, func(ctx context.Context) error {
		return w.ledger.ClaimTerm(ctx, c.At, c.Term.Number, tabulator.TermRecord(c.Term))
	})
	if err != nil {
		return scheduler.ClaimedMsg{Err: err.Error(), Moved: errors.Is(err, ErrMoved)}
	}
	return scheduler.ClaimedMsg{}
}

// Decide carries out an AppendCmd.
func (w *Writer) Decide(ctx context.Context, c scheduler.AppendCmd) scheduler.AppendedMsg {
	msg := scheduler.AppendedMsg{Term: c.Term, Sequence: c.Sequence, Result: scheduler.AppendDone}
	err := w.patience.try(ctx, func(ctx context.Context) error {
		return w.ledger.AppendInTerm(ctx, c.Term, c.Sequence, c.Records)
	})
	switch {
	case errors.Is(err, ErrFenced):
		msg.Result, msg.Err = scheduler.AppendFenced, err.Error()
	case err != nil:
		msg.Result, msg.Err = scheduler.AppendUnknown, err.Error()
	}
	return msg
}
