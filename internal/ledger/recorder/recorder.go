// Package recorder appends entries to the ledger and reads the ledger's records.
//
// Concurrent proposals share an append, and one append is in flight at a time. A
// batch is sent again with the same sequence number until its record is read back
// from the ledger and applied. Whether an append with a lost response took effect is
// therefore decided by reading the ledger:
//
//	r := recorder.New(cfg, log)
//	go r.Run(ctx)
//	results, err := r.Propose(ctx, entry)
package recorder

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/appender"
)

// Log is the stream that stores the ledger.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (appender.Page, error)
}

// Errors of Propose.
var (
	// ErrNotAppended means that the entries were not and will not be appended.
	ErrNotAppended = errors.New("not sent to the ledger")
	// ErrOutcomeUnknown means that the entries may or may not take effect.
	ErrOutcomeUnknown = errors.New("the ledger's answer is not known")
)

// Limits of the recorder.
const (
	// MaxQueued is the maximum number of proposals that wait for an append.
	MaxQueued       = 4096
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 3 * time.Second
)

// Config names the writer and limits its appends.
type Config struct {
	Writer string
	// AppendTimeout limits an append together with the wait until its record is
	// applied.
	AppendTimeout time.Duration
	// AppendsPerSecond and AppendBurst limit this instance's appends to its share of
	// the log's capacity.
	AppendsPerSecond float64
	AppendBurst      int
}

// The states of a proposal. It is withdrawn if its context ends while it is queued.
const (
	queued int32 = iota
	sent
	withdrawn
)

// proposal is a call of Propose that waits for its results.
type proposal struct {
	entries []encoder.Entry
	size    int
	state   atomic.Int32
	done    chan proposalResult
}

type proposalResult struct {
	results []reducer.Result
	err     error
}

// Recorder appends the proposals of one writer.
type Recorder struct {
	cfg      Config
	log      Log
	limiter  *rate.Limiter
	queue    chan *proposal
	sequence uint64

	mu sync.Mutex
	// inFlight is the sequence number of the batch that is being appended, and applied
	// receives its results once they are known.
	inFlight uint64
	applied  chan []reducer.Result
	appends  atomic.Uint64
	failures atomic.Uint64
}

// New returns a recorder that is not running yet.
func New(cfg Config, log Log) *Recorder {
	return &Recorder{
		cfg: cfg, log: log, queue: make(chan *proposal, MaxQueued),
		limiter: rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), cfg.AppendBurst),
	}
}

// Appends returns the number of appends that were sent and of those that failed.
func (r *Recorder) Appends() (sent, failed uint64) { return r.appends.Load(), r.failures.Load() }

// Queued returns the number of proposals that wait for an append.
func (r *Recorder) Queued() int { return len(r.queue) }

// Propose appends the entries and waits until they are applied. The error is
// ErrNotAppended or ErrOutcomeUnknown; a refused entry is a result, not an error.
func (r *Recorder) Propose(ctx context.Context, entries ...encoder.Entry) (results []reducer.Result, err error) {
	p := &proposal{entries: entries, size: estimateSize(entries), done: make(chan proposalResult, 1)}
	select {
	case r.queue <- p:
	default:
		return nil, errors.Wrapf(ErrNotAppended, "%d proposals wait already", MaxQueued)
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	case <-ctx.Done():
	}
	if p.state.CompareAndSwap(queued, withdrawn) {
		return nil, errors.Wrap(ErrNotAppended, "the time ran out before an append was possible")
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	default:
		return nil, errors.Wrap(ErrOutcomeUnknown, "the time ran out before the record was read back")
	}
}

// estimateSize returns the approximate encoded size of the entries in bytes: 256
// per entry, plus the response bodies.
func estimateSize(entries []encoder.Entry) int {
	size := 0
	for _, e := range entries {
		size += 256
		if e.RequestEnded != nil {
			size += len(e.RequestEnded.Body)
		}
	}
	return size
}

// Run appends proposals until ctx is done.
func (r *Recorder) Run(ctx context.Context) {
	for {
		batch := r.collect(ctx)
		if batch == nil {
			return
		}
		r.appendBatch(ctx, batch)
	}
}

// collect waits for a proposal and returns it together with the others that are
// already queued, up to the limits of a batch. Proposals that were withdrawn are
// dropped. It returns nil when ctx is done.
func (r *Recorder) collect(ctx context.Context) []*proposal {
	var first *proposal
	for first == nil {
		select {
		case <-ctx.Done():
			return nil
		case first = <-r.queue:
		}
		if err := r.limiter.Wait(ctx); err != nil {
			return nil
		}
		first = markSent(first)
	}
	batch, entries, size := []*proposal{first}, len(first.entries), first.size
	for entries < maxBatchEntries && size < maxBatchBytes {
		select {
		case p := <-r.queue:
			if p = markSent(p); p != nil {
				batch, entries, size = append(batch, p), entries+len(p.entries), size+p.size
			}
		default:
			return batch
		}
	}
	return batch
}

// markSent marks a proposal as sent and returns it, or returns nil if its caller
// has withdrawn it.
func markSent(p *proposal) *proposal {
	if p.state.CompareAndSwap(queued, sent) {
		return p
	}
	return nil
}

// appendBatch appends the proposals as one batch and waits for their results.
func (r *Recorder) appendBatch(ctx context.Context, batch []*proposal) {
	var entries []encoder.Entry
	for _, p := range batch {
		entries = append(entries, p.entries...)
	}
	r.sequence++
	data, err := encoder.Encode(encoder.Batch{Writer: r.cfg.Writer, Sequence: r.sequence, Entries: entries})
	if err != nil {
		r.completeProposals(batch, nil, errors.Mark(err, ErrNotAppended))
		return
	}
	results, err := r.appendUntilApplied(ctx, data)
	r.completeProposals(batch, results, err)
}

// appendUntilApplied sends the batch repeatedly until it is known to be applied, which
// DeliverResults reports, or ctx is done.
func (r *Recorder) appendUntilApplied(ctx context.Context, data []byte) ([]reducer.Result, error) {
	applied := r.registerBatch(r.sequence)
	for try := 0; ; try++ {
		results, ok := r.appendOnce(ctx, data, applied)
		if ok && results == nil {
			return nil, errors.Wrap(ErrOutcomeUnknown, "the record's results were folded in a snapshot")
		}
		if ok {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(ErrOutcomeUnknown, "the instance stopped")
		}
		sleep(ctx, Backoff(try))
	}
}

// appendOnce sends the batch once and waits for its results until AppendTimeout. It
// waits even if the append fails, because the append may still have taken effect.
func (r *Recorder) appendOnce(ctx context.Context, data []byte, applied chan []reducer.Result) (results []reducer.Result, ok bool) {
	actx, cancel := context.WithTimeout(ctx, r.cfg.AppendTimeout)
	defer cancel()
	r.appends.Add(1)
	_, err := r.log.Append(actx, data)
	if err != nil {
		r.failures.Add(1)
	}
	select {
	case results = <-applied:
		return results, true
	case <-actx.Done():
		return nil, false
	}
}

// registerBatch makes the batch with the given sequence number the one in flight
// and returns the channel on which DeliverResults delivers its results.
func (r *Recorder) registerBatch(sequence uint64) chan []reducer.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = sequence
	r.applied = make(chan []reducer.Result, 1)
	return r.applied
}

// DeliverResults delivers the results of a batch that was applied. Nil results mean
// that the batch took effect earlier, but its results are not known.
func (r *Recorder) DeliverResults(sequence uint64, results []reducer.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence != r.inFlight || r.applied == nil {
		return
	}
	r.applied <- results
	r.applied = nil
}

// completeProposals gives each proposal of the batch its part of the results.
func (r *Recorder) completeProposals(batch []*proposal, results []reducer.Result, err error) {
	for _, p := range batch {
		o := proposalResult{err: err}
		if err == nil {
			o.results, results = results[:len(p.entries)], results[len(p.entries):]
		}
		p.done <- o
	}
}

// Backoff returns the wait after a failed try, with exponential backoff and full
// jitter. Tries count from 0.
func Backoff(try int) time.Duration {
	limit := min(minBackoff<<min(try, 10), maxBackoff)
	return time.Duration(rand.Int64N(int64(limit))) + time.Millisecond
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
