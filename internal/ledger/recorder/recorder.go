// Package recorder appends entries to the ledger and follows it.
//
// Entries of concurrent proposals share one append, one append is in flight at
// a time, and each batch is sent again under the same sequence number until the
// fold shows it, so a lost answer is decided by reading the ledger back:
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

// Log is the stream that the ledger is kept on.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (appender.Page, error)
}

// Errors of Propose.
var (
	// ErrNotSent means that the entries were not appended and never will be.
	ErrNotSent = errors.New("not sent to the ledger")
	// ErrUnknown means that the entries may or may not take effect.
	ErrUnknown = errors.New("the ledger's answer is not known")
)

// Bounds of the recorder.
const (
	MaxQueued       = 4096
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 3 * time.Second
)

// Config names the writer and bounds its appends.
type Config struct {
	Writer string
	// AppendTimeout bounds one append and the wait for its record.
	AppendTimeout time.Duration
	// AppendsPerSecond and AppendBurst are this instance's share of the log.
	AppendsPerSecond float64
	AppendBurst      int
}

// proposal states.
const (
	queued int32 = iota
	sent
	withdrawn
)

type proposal struct {
	entries []encoder.Entry
	size    int
	state   atomic.Int32
	done    chan outcome
}

type outcome struct {
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

	mu       sync.Mutex
	inFlight uint64
	resolved chan []reducer.Result
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

// Appends returns how many appends were sent and how many of them failed.
func (r *Recorder) Appends() (sent, failed uint64) { return r.appends.Load(), r.failures.Load() }

// Queued returns how many proposals wait for an append.
func (r *Recorder) Queued() int { return len(r.queue) }

// Propose appends the entries and waits until they are folded. The error is
// ErrNotSent or ErrUnknown; a refusal by the fold is a result, not an error.
func (r *Recorder) Propose(ctx context.Context, entries ...encoder.Entry) (results []reducer.Result, err error) {
	p := &proposal{entries: entries, size: sizeOf(entries), done: make(chan outcome, 1)}
	select {
	case r.queue <- p:
	default:
		return nil, errors.Wrapf(ErrNotSent, "%d proposals wait already", MaxQueued)
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	case <-ctx.Done():
	}
	if p.state.CompareAndSwap(queued, withdrawn) {
		return nil, errors.Wrap(ErrNotSent, "the time ran out before an append was possible")
	}
	select {
	case o := <-p.done:
		return o.results, o.err
	default:
		return nil, errors.Wrap(ErrUnknown, "the time ran out before the record was read back")
	}
}

func sizeOf(entries []encoder.Entry) int {
	size := 0
	for _, e := range entries {
		size += 256
		if e.RequestEnded != nil {
			size += len(e.RequestEnded.Body)
		}
	}
	return size
}

// Run appends proposals until the context ends.
func (r *Recorder) Run(ctx context.Context) {
	for {
		batch := r.collect(ctx)
		if batch == nil {
			return
		}
		r.commit(ctx, batch)
	}
}

// collect waits for the first proposal and takes along all that wait with it.
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
		first = take(first)
	}
	batch, entries, size := []*proposal{first}, len(first.entries), first.size
	for entries < maxBatchEntries && size < maxBatchBytes {
		select {
		case p := <-r.queue:
			if p = take(p); p != nil {
				batch, entries, size = append(batch, p), entries+len(p.entries), size+p.size
			}
		default:
			return batch
		}
	}
	return batch
}

// take marks a proposal as sent, unless its caller has withdrawn it.
func take(p *proposal) *proposal {
	if p.state.CompareAndSwap(queued, sent) {
		return p
	}
	return nil
}

func (r *Recorder) commit(ctx context.Context, batch []*proposal) {
	var entries []encoder.Entry
	for _, p := range batch {
		entries = append(entries, p.entries...)
	}
	r.sequence++
	data, err := encoder.Encode(encoder.Batch{Writer: r.cfg.Writer, Sequence: r.sequence, Entries: entries})
	if err != nil {
		r.finish(batch, nil, errors.Mark(err, ErrNotSent))
		return
	}
	results, err := r.appendUntilResolved(ctx, data)
	r.finish(batch, results, err)
}

// appendUntilResolved sends the batch again and again until the fold shows it.
func (r *Recorder) appendUntilResolved(ctx context.Context, data []byte) ([]reducer.Result, error) {
	resolved := r.expect(r.sequence)
	for try := 0; ; try++ {
		results, ok := r.appendOnce(ctx, data, resolved)
		if ok && results == nil {
			return nil, errors.Wrap(ErrUnknown, "the record's results were folded in a snapshot")
		}
		if ok {
			return results, nil
		}
		if ctx.Err() != nil {
			return nil, errors.Wrap(ErrUnknown, "the instance stopped")
		}
		sleep(ctx, Backoff(try))
	}
}

func (r *Recorder) appendOnce(ctx context.Context, data []byte, resolved chan []reducer.Result) (results []reducer.Result, ok bool) {
	actx, cancel := context.WithTimeout(ctx, r.cfg.AppendTimeout)
	defer cancel()
	r.appends.Add(1)
	_, err := r.log.Append(actx, data)
	if err != nil {
		r.failures.Add(1)
	}
	select {
	case results = <-resolved:
		return results, true
	case <-actx.Done():
		return nil, false
	}
}

func (r *Recorder) expect(sequence uint64) chan []reducer.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight = sequence
	r.resolved = make(chan []reducer.Result, 1)
	return r.resolved
}

// Resolve hands over the results of a batch that was folded. Nil results mean
// that the batch took effect earlier, unseen.
func (r *Recorder) Resolve(sequence uint64, results []reducer.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence != r.inFlight || r.resolved == nil {
		return
	}
	r.resolved <- results
	r.resolved = nil
}

func (r *Recorder) finish(batch []*proposal, results []reducer.Result, err error) {
	for _, p := range batch {
		o := outcome{err: err}
		if err == nil {
			o.results, results = results[:len(p.entries)], results[len(p.entries):]
		}
		p.done <- o
	}
}

// Backoff returns a wait with full jitter for the given try, from 0.
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
