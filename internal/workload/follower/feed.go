// Package follower reads feeds of keyed records and writes to the ledger. It executes the
// control loop's commands to the ledger, and delivers the records that instances, operators
// and workers have written.
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/scheduler"
)

// ErrExpired is returned by Feed.Read if records after the offset have been deleted.
var ErrExpired = errors.New("records have expired")

// Page is the result of one read of a feed. Items holds one entry per record.
type Page[T any] struct {
	Items []T
	// NextOffset is the offset that the next record to be written will get.
	NextOffset uint64
	// Full is set if the feed probably has more records than the page holds.
	Full bool
}

// Feed is a compacted log: a stream of keyed records that keeps at least the newest record of
// each key.
type Feed[T any] interface {
	// ReadNewest returns the newest record of each key and the offset from which to continue
	// reading. Records that are written meanwhile may be missing or be read again. It may take
	// several calls to the platform, each of which is cancelled after limit without a sign of
	// an answer.
	ReadNewest(ctx context.Context, limit time.Duration) ([]T, uint64, error)
	// Read returns records starting at an offset, at most MaxPageKB of them. It waits up to wait for the first one. It
	// may be called again before it has returned.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page[T], error)
}

// Handler processes the records of a feed.
type Handler[T any] interface {
	// Load replaces the handler's state by the newest records. They are at least as new as the
	// feed was at the time sent.
	Load(items []T, next uint64, sent time.Time)
	// Update adds records that were read at the offset from. If caughtUp is set, the feed has
	// no other record that was written before asOf.
	Update(from uint64, items []T, asOf time.Time, caughtUp bool)
	// Fail reports that the feed could not be read.
	Fail(err error)
}

// Pace limits how often a feed is read.
type Pace struct {
	// Wait is how long a read may wait for a record.
	Wait time.Duration
	// Interval is the minimum time between the starts of two reads.
	Interval time.Duration
}

// MaxPageKB limits the records that one read of a feed returns, in units of 1,024 bytes. The
// platform answers the reads of all instances in turn. If a third of a large fleet catches up
// after it was cut off, pages of this size delay the others by a few tenths of a second, and
// a slow link carries one well within its timeout.
const MaxPageKB = 256

const (
	// roundTripAllowance is added to Pace.Wait for the round trip to the platform.
	roundTripAllowance = 700 * time.Millisecond
	// hedgeDelay is how late an answer may be before a second call is sent. It is well above
	// the usual response time, so that a second call is rare while the platform is healthy.
	hedgeDelay = 400 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
)

// SlowLatency is the latency from which on a feed counts as slow.
const SlowLatency = scheduler.SlowLatencyMS * time.Millisecond

const (
	// slowReadFactor times the latency of a slow feed is added to the timeout of a read, and
	// half of that to the delay of the second call.
	slowReadFactor = 4
	// maxReadLatency limits the latency that prolongs the timeouts.
	maxReadLatency = 500 * time.Millisecond
)

// Timeouts of single calls while the platform does not answer. A call that was sent during an
// outage may hang after the outage has ended, so the first timeouts are short. Each further
// call gets twice as long, since the platform may only be slow.
const (
	minLoadTimeout  = 650 * time.Millisecond
	maxLoadTimeout  = 1300 * time.Millisecond
	minProbeTimeout = 400 * time.Millisecond
	maxProbeTimeout = 1600 * time.Millisecond
)

// Reader reads one feed continuously and passes its records to a Handler.
type Reader[T any] struct {
	Feed    Feed[T]
	Handler Handler[T]
	// Pace returns how often to read at present.
	Pace func() Pace
	// Latency estimates how long the feed takes to answer.
	Latency Latency

	wake chan struct{}
	// loadTimeout is the timeout of the calls of the next load, probeTimeout that of the
	// latest read while probing. Both are 0 after a success, and the next timeout is then the
	// minimum. probing is set after a failed read, until a read succeeds.
	loadTimeout, probeTimeout time.Duration
	probing                   bool
	// end is the end of the feed as of the last read, once loaded is set.
	end    atomic.Uint64
	loaded atomic.Bool
}

// NewReader returns a reader, which starts reading when Run is called.
func NewReader[T any](f Feed[T], h Handler[T], pace func() Pace) *Reader[T] {
	return &Reader[T]{Feed: f, Handler: h, Pace: pace, wake: make(chan struct{}, 1)}
}

// ReadNow skips the rest of the interval before the next read.
func (r *Reader[T]) ReadNow() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reads the feed until the context ends. It starts with the newest records, and again
// whenever records that it has not read yet have expired.
func (r *Reader[T]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next, err := r.load(ctx)
		if err == nil {
			err = r.follow(ctx, next)
		}
		if errors.Is(err, ErrExpired) {
			continue
		}
		if ctx.Err() == nil {
			r.Handler.Fail(err)
			sleep(ctx, retryPause)
		}
	}
}

// load reads the newest records. It returns the offset from which to continue reading.
func (r *Reader[T]) load(ctx context.Context) (next uint64, err error) {
	r.loadTimeout = max(r.loadTimeout, minLoadTimeout)
	sent := time.Now()
	items, next, err := r.Feed.ReadNewest(ctx, r.loadTimeout)
	if err != nil {
		r.loadTimeout = min(2*r.loadTimeout, maxLoadTimeout)
		return 0, err
	}
	r.loadTimeout = 0
	r.end.Store(next)
	r.loaded.Store(true)
	r.Handler.Load(items, next, sent)
	return next, nil
}

// follow reads from an offset on until records have expired. A failed read is repeated from
// the same offset, so nothing is loaded again after an outage.
func (r *Reader[T]) follow(ctx context.Context, next uint64) error {
	for ctx.Err() == nil {
		pace := r.Pace()
		began := time.Now()
		page, asOf, err := r.read(ctx, next, pace)
		switch {
		case errors.Is(err, ErrExpired):
			return err
		case err != nil:
			if ctx.Err() == nil {
				r.probing = true
				r.Handler.Fail(err)
				sleep(ctx, retryPause)
			}
			continue
		}
		r.probing, r.probeTimeout = false, 0
		r.end.Store(page.NextOffset)
		from := next
		next += uint64(len(page.Items))
		r.Handler.Update(from, page.Items, asOf, next >= page.NextOffset)
		if !page.Full {
			r.waitForNextRead(ctx, pace.Interval-time.Since(began))
		}
	}
	return ctx.Err()
}

// read reads once from an offset, with a timeout that is shorter while probing. A call that
// was sent during an outage may hang after the outage has ended, so a second call is sent
// before the first one times out. The first answer counts. The feed has no other record that
// was written before asOf and is not in the page.
func (r *Reader[T]) read(ctx context.Context, next uint64, pace Pace) (page Page[T], asOf time.Time, err error) {
	wait, latency := r.readWait(pace)
	limit := wait + roundTripAllowance + slowReadFactor*latency
	if r.probing {
		limit = min(max(2*r.probeTimeout, minProbeTimeout), maxProbeTimeout)
		r.probeTimeout = limit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	type result struct {
		page Page[T]
		asOf time.Time
		err  error
	}
	results := make(chan result, 2)
	send := func(wait time.Duration) {
		asOf := time.Now()
		page, err := r.measuredRead(ctx, next, wait)
		if len(page.Items) == 0 && time.Since(asOf) >= wait {
			// The read has waited without finding a record, so there was none until then.
			asOf = asOf.Add(wait)
		}
		results <- result{page, asOf, err}
	}
	go send(wait)
	hedge := time.NewTimer(wait + hedgeDelay + slowReadFactor/2*latency)
	defer hedge.Stop()
	for inFlight := 1; inFlight > 0; {
		select {
		case <-hedge.C:
			inFlight++
			go send(0)
		case res := <-results:
			inFlight--
			page, asOf, err = res.page, res.asOf, res.err
			if err == nil || errors.Is(err, ErrExpired) {
				return page, asOf, err
			}
		}
	}
	return page, asOf, err
}

// measuredRead calls Feed.Read and measures its latency.
func (r *Reader[T]) measuredRead(ctx context.Context, next uint64, wait time.Duration) (page Page[T], err error) {
	timer := r.Latency.Begin(wait)
	page, err = r.Feed.Read(ctx, next, wait)
	if err != nil {
		timer.Dropped()
		return page, err
	}
	timer.Answered(len(page.Items) == 0)
	return page, nil
}

// EstimatedLatency implements LatencySource.
func (r *Reader[T]) EstimatedLatency() (latency time.Duration, known bool) {
	return r.Latency.Estimate()
}

// LatestLatency implements LatencySource.
func (r *Reader[T]) LatestLatency() (latency time.Duration, known bool) { return r.Latency.Latest() }

// ReportUnanswered implements LatencySource.
func (r *Reader[T]) ReportUnanswered() {
	if r.Latency.OnUnanswered != nil {
		r.Latency.OnUnanswered()
	}
}

// CheckLatency sends a read that does not wait for records, from the end of the feed on. Only its
// latency counts.
func (r *Reader[T]) CheckLatency(ctx context.Context) error {
	if !r.loaded.Load() {
		return errors.New("the feed has not been loaded yet")
	}
	_, err := r.measuredRead(ctx, r.end.Load(), 0)
	return err
}

// readWait returns how long a read may wait for a record, and the estimated latency. While
// probing, the wait is zero, so that the answer shows at once whether the platform is reachable
// again. A slow feed takes its latency twice between two answers, so reads wait for that much
// less, and what was read is not older than usual.
func (r *Reader[T]) readWait(pace Pace) (wait, latency time.Duration) {
	if r.probing {
		return 0, 0
	}
	if r.Latency.NeedsExact() {
		return 0, SlowLatency
	}
	latency, _ = r.Latency.Estimate()
	if latency < SlowLatency {
		return pace.Wait, 0
	}
	return max(pace.Wait-2*latency, 0), min(latency, maxReadLatency)
}

// waitForNextRead waits for the duration d, or until ReadNow is called.
func (r *Reader[T]) waitForNextRead(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.wake:
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
