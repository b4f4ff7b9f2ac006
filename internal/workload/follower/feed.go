// Package follower reads feeds of keyed records and writes to the ledger. It
// carries out what the control loop asks of the ledger and brings back what
// instances, operators and workers have written.
package follower

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrExpired is returned by Feed.Read when records after the offset are gone.
var ErrExpired = errors.New("records have expired")

// Page is the answer to a read of a feed. Items hold one entry a record.
type Page[T any] struct {
	Items []T
	// End is the offset of the next record that will be written.
	End uint64
}

// Feed is a stream of keyed records of which the newest of each key lasts.
type Feed[T any] interface {
	// Newest returns the newest records and the offset from which to read on.
	// Records that were written meanwhile may be missing or be read again. Each of
	// the calls that this takes is given up after limit.
	Newest(ctx context.Context, limit time.Duration) ([]T, uint64, error)
	// Read returns records from an offset on. It waits for the first one.
	Read(ctx context.Context, from uint64, wait time.Duration) (Page[T], error)
}

// Handler takes what a feed brings.
type Handler[T any] interface {
	// Load replaces everything by the newest records.
	Load(items []T, next uint64, sent time.Time)
	// Take adds records. Nothing else was written before asOf if caughtUp is set.
	Take(from uint64, items []T, asOf time.Time, caughtUp bool)
	// Fail tells that the feed could not be read.
	Fail(err error)
}

// Pace limits how often a feed is read.
type Pace struct {
	// Wait is how long an answer may wait for a record.
	Wait time.Duration
	// Interval is the least time between two reads.
	Interval time.Duration
}

const (
	// answerAllowance is added to Wait for the way to the platform and back.
	answerAllowance = 700 * time.Millisecond
	// retryPause is the pause after a failed read.
	retryPause = 150 * time.Millisecond
)

// Time limits of single calls while the platform does not answer. A call that was sent
// into an outage may hang after its end, so the first ones are short; a platform that is
// only slow gets twice as long with each call.
const (
	minLoadTimeout  = 650 * time.Millisecond
	maxLoadTimeout  = 1300 * time.Millisecond
	minProbeTimeout = 400 * time.Millisecond
	maxProbeTimeout = 1600 * time.Millisecond
)

// Reader follows one feed.
type Reader[T any] struct {
	Feed    Feed[T]
	Handler Handler[T]
	// Pace tells how often to read now.
	Pace func() Pace

	kick chan struct{}
	// loadTimeout bounds the calls of the next load, probeTimeout the next read after a failed one; 0
	// is the least. probing is set after a failed read.
	loadTimeout, probeTimeout time.Duration
	probing                   bool
}

// NewReader returns a reader that is not running yet.
func NewReader[T any](f Feed[T], h Handler[T], pace func() Pace) *Reader[T] {
	return &Reader[T]{Feed: f, Handler: h, Pace: pace, kick: make(chan struct{}, 1)}
}

// Kick lets the next read happen at once.
func (r *Reader[T]) Kick() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// Run follows the feed until the context ends.
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
			pause(ctx, retryPause)
		}
	}
}

func (r *Reader[T]) load(ctx context.Context) (next uint64, err error) {
	r.loadTimeout = max(r.loadTimeout, minLoadTimeout)
	sent := time.Now()
	items, next, err := r.Feed.Newest(ctx, r.loadTimeout)
	if err != nil {
		r.loadTimeout = min(2*r.loadTimeout, maxLoadTimeout)
		return 0, err
	}
	r.loadTimeout = 0
	r.Handler.Load(items, next, sent)
	return next, nil
}

// follow reads on until records have expired. Failed reads are repeated from
// the same offset, so nothing is loaded again after an outage.
func (r *Reader[T]) follow(ctx context.Context, next uint64) error {
	for ctx.Err() == nil {
		pace := r.Pace()
		sent := time.Now()
		page, err := r.read(ctx, next, pace)
		switch {
		case errors.Is(err, ErrExpired):
			return err
		case err != nil:
			if ctx.Err() == nil {
				r.probing = true
				r.Handler.Fail(err)
				pause(ctx, retryPause)
			}
			continue
		}
		asOf := sent
		if len(page.Items) == 0 {
			asOf = sent.Add(r.wait(pace))
		}
		r.probing, r.probeTimeout = false, 0
		from := next
		next += uint64(len(page.Items))
		r.Handler.Take(from, page.Items, asOf, next >= page.End)
		r.rest(ctx, pace.Interval-time.Since(sent))
	}
	return ctx.Err()
}

func (r *Reader[T]) read(ctx context.Context, next uint64, pace Pace) (Page[T], error) {
	limit := pace.Wait + answerAllowance
	if r.probing {
		limit = min(max(2*r.probeTimeout, minProbeTimeout), maxProbeTimeout)
		r.probeTimeout = limit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return r.Feed.Read(ctx, next, r.wait(pace))
}

// wait is how long an answer may wait for a record: not at all while it is open whether
// there will be an answer.
func (r *Reader[T]) wait(pace Pace) time.Duration {
	if r.probing {
		return 0
	}
	return pace.Wait
}

func (r *Reader[T]) rest(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-r.kick:
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
