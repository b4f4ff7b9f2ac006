package follower

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// Errors of the writing methods of a Ledger. After any other error it is unknown whether the
// records were written or still will be.
var (
	// ErrNotWritten means that nothing was written and nothing will be.
	ErrNotWritten = errors.New("not written")
	// ErrFenced means that the append was rejected because a higher term has been recorded.
	ErrFenced = errors.New("a higher term has been recorded")
	// ErrHolderCannotAppend means that nothing was written because the holder is known not to
	// be able to append. It is an ErrNotWritten.
	ErrHolderCannotAppend = errors.Wrap(ErrNotWritten, "the holder can't append to the ledger")
)

// Ledger is the log of the holder's decisions and the callers' requests that all instances
// share.
type Ledger interface {
	Feed[reducer.Record]
	// ReadPrefix returns the newest records whose keys begin with prefix, without a point from
	// which to continue. It gives up after limit without a sign of an answer.
	ReadPrefix(ctx context.Context, prefix string, limit time.Duration) ([]reducer.Record, error)
	// Append writes records atomically.
	Append(ctx context.Context, records []reducer.Record) error
	// AppendInTerm writes records atomically, and only once for each sequence number of a
	// term. Term is the fencing token: the call fails with ErrFenced after a higher term was
	// recorded.
	AppendInTerm(ctx context.Context, term, sequence uint64, records []reducer.Record) error
	// ClaimTerm writes the record of a new term. If another record of the term has been
	// written before, it writes nothing and may succeed all the same; it fails with ErrFenced
	// after a higher term was recorded.
	ClaimTerm(ctx context.Context, term uint64, record reducer.Record) error
}

// Limits of the timeout of an append. An append without an answer is retried. The timeout should
// be short in case the answer was lost, but retries must not overload a slow platform.
const (
	// minAppendTimeout is 30 times the usual response time.
	minAppendTimeout = 300 * time.Millisecond
	// maxAppendTimeout is the longest time for which the platform delays an append.
	maxAppendTimeout = 2400 * time.Millisecond
	// appendTimeoutFactor times the latest response time is the timeout of the next append.
	appendTimeoutFactor = 5
	// latencyTimeoutFactor times the latency of reads is the least timeout while the ledger is
	// slow: an append may wait for a few others.
	latencyTimeoutFactor = 6
)

const (
	// overdueAfter is the age of an append from which on the latency of reads is checked, and
	// checkInterval is the pause before the next check.
	overdueAfter  = 100 * time.Millisecond
	checkInterval = 400 * time.Millisecond
	// checkTimeout is the least time limit of one check: more than a call to a ledger takes
	// that is 100 times slower than usual.
	checkTimeout = 500 * time.Millisecond
	// timeoutResolution is how often the timeout of an append in flight is determined anew.
	timeoutResolution = 50 * time.Millisecond
)

// appendTimeout adapts the timeout of appends to how long they take.
type appendTimeout struct {
	mu    sync.Mutex
	limit time.Duration
	// cancelled is closed when the appends in flight must be cancelled.
	cancelled chan struct{}
	// reads, if set, tells how fast the ledger answers reads.
	reads LatencySource
}

// LatencySource tells how fast reads of the ledger are answered.
type LatencySource interface {
	// EstimatedLatency returns the present estimate; known is false if there is none.
	EstimatedLatency() (latency time.Duration, known bool)
	// LatestLatency returns that of the last read if it is higher.
	LatestLatency() (latency time.Duration, known bool)
	// CheckLatency sends a read that tells the latency at once.
	CheckLatency(ctx context.Context) error
	// ReportUnanswered reports that such a read got no answer in time.
	ReportUnanswered()
}

// cancelInFlight cancels the appends in flight and returns to the minimum timeout. It is
// called when the platform answers again after an outage, since appends that were sent during
// the outage may hang.
func (t *appendTimeout) cancelInFlight() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = 0
	if t.cancelled != nil {
		close(t.cancelled)
	}
	t.cancelled = make(chan struct{})
}

// untilCancelled returns a context that ends with the next cancelInFlight.
func (t *appendTimeout) untilCancelled(ctx context.Context) (context.Context, context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelled == nil {
		t.cancelled = make(chan struct{})
	}
	cancelled := t.cancelled
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-cancelled:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// current returns the timeout of an append, by what appends have taken and by the latency of
// reads.
func (t *appendTimeout) current() time.Duration {
	limit := minAppendTimeout
	if t.reads != nil {
		if latency, known := t.reads.LatestLatency(); known {
			limit = max(limit, latencyTimeoutFactor*latency)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(t.limit, limit), maxAppendTimeout)
}

// adapt sets the next timeout from the duration and the error of one append.
func (t *appendTimeout) adapt(took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		t.limit = min(2*max(t.limit, minAppendTimeout), maxAppendTimeout)
		return
	}
	if err == nil {
		t.limit = appendTimeoutFactor * took
	}
}

// run executes one append within the timeout, which may change while the append is in flight:
// one that was sent just before the ledger became slow must not be sent again.
func (t *appendTimeout) run(parent context.Context, appending func(context.Context) error) error {
	ctx, stop := t.untilCancelled(parent)
	defer stop()
	began := time.Now()
	done := make(chan error, 1)
	go func() { done <- appending(ctx) }()
	ticker := time.NewTicker(timeoutResolution)
	defer ticker.Stop()
	nextCheck := overdueAfter
	timedOut := false
	for {
		select {
		case err := <-done:
			if err != nil && timedOut {
				err = errors.Mark(err, context.DeadlineExceeded)
			}
			t.adapt(time.Since(began), err)
			return err
		case <-ticker.C:
		}
		age := time.Since(began)
		if timedOut = age >= t.current(); timedOut {
			stop()
			ticker.Stop()
		}
		if t.reads != nil && age >= nextCheck && !timedOut {
			nextCheck = age + checkInterval
			go t.checkLatency(parent)
		}
	}
}

// checkLatency reads from the ledger. It goes on if the append is answered meanwhile, since a
// latency that has just grown is not known otherwise.
func (t *appendTimeout) checkLatency(ctx context.Context) {
	latency, _ := t.reads.LatestLatency()
	ctx, cancel := context.WithTimeout(ctx, max(checkTimeout, latencyTimeoutFactor*latency))
	defer cancel()
	if err := t.reads.CheckLatency(ctx); errors.Is(err, context.DeadlineExceeded) {
		t.reads.ReportUnanswered()
	}
}

// Writer writes to the ledger, for the control loop and for callers.
type Writer struct {
	ledger  Ledger
	queue   chan pendingAppend
	timeout appendTimeout
}

// pendingAppend is a caller's record in the queue of a Writer. done gets the result.
type pendingAppend struct {
	record reducer.Record
	done   chan error
}

// maxQueuedRecords limits the callers' records that wait to be appended.
const maxQueuedRecords = 1024

// maxBatch limits the callers' records in one append.
const maxBatch = 64

// NewWriter returns a writer, which appends callers' records while Run is running.
func NewWriter(l Ledger) *Writer {
	return &Writer{ledger: l, queue: make(chan pendingAppend, maxQueuedRecords)}
}

// SetLatencySource makes the timeouts follow the latency of reads. It must be called before Run.
func (w *Writer) SetLatencySource(s LatencySource) { w.timeout.reads = s }

// Run writes callers' records until the context ends. Records that are queued at the same time
// share one append.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			w.write(ctx, w.batch(first))
		}
	}
}

// batch returns the first record and those that are queued behind it, up to maxBatch.
func (w *Writer) batch(first pendingAppend) []pendingAppend {
	batch := []pendingAppend{first}
	for len(batch) < maxBatch {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// write appends a batch and passes the result to all who wait for it.
func (w *Writer) write(ctx context.Context, batch []pendingAppend) {
	records := make([]reducer.Record, len(batch))
	for i, p := range batch {
		records[i] = p.record
	}
	err := w.timeout.run(ctx, func(ctx context.Context) error { return w.ledger.Append(ctx, records) })
	for _, p := range batch {
		p.done <- err
	}
}

// RetryInFlight cancels the appends in flight so that their callers retry them, because the
// ledger answers again after an outage.
func (w *Writer) RetryInFlight() { w.timeout.cancelInFlight() }

// Append writes a caller's record. Records are idempotent, so the caller may append the same
// record again after an error.
func (w *Writer) Append(ctx context.Context, r reducer.Record) error {
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

// Claim executes a ClaimCmd.
func (w *Writer) Claim(ctx context.Context, c scheduler.ClaimCmd) scheduler.ClaimedMsg {
	err := w.timeout.run(ctx, func(ctx context.Context) error {
		return w.ledger.ClaimTerm(ctx, c.Term.Number, reducer.TermRecord(c.Term))
	})
	if err != nil {
		return scheduler.ClaimedMsg{Err: err.Error()}
	}
	return scheduler.ClaimedMsg{}
}

// AppendInTerm executes an AppendCmd.
func (w *Writer) AppendInTerm(ctx context.Context, c scheduler.AppendCmd) scheduler.AppendedMsg {
	msg := scheduler.AppendedMsg{Term: c.Term, Sequence: c.Sequence, Result: scheduler.AppendDone}
	err := w.timeout.run(ctx, func(ctx context.Context) error {
		return w.ledger.AppendInTerm(ctx, c.Term, c.Sequence, c.Records)
	})
	switch {
	case errors.Is(err, ErrFenced):
		msg.Result, msg.Err = scheduler.AppendFenced, err.Error()
	case err != nil:
		msg.Result, msg.Err = scheduler.AppendUnknown, err.Error()
		msg.Refused = !errors.IsAny(err, context.DeadlineExceeded, context.Canceled)
	}
	return msg
}
