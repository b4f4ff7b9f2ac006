package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/follower"
)

// sharedStore answers the reads of all instances in turn, at a limited rate.
type sharedStore struct {
	mu   sync.Mutex
	free time.Time
}

// storeBytesPerSecond is the rate of the store, linkBytesPerSecond that of the link of a
// small instance.
const (
	storeBytesPerSecond = 80 << 20
	linkBytesPerSecond  = 20 << 20 / 8
)

// send waits until the store has sent that many bytes.
func (s *sharedStore) send(ctx context.Context, bytes int) error {
	s.mu.Lock()
	now := time.Now()
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(time.Duration(bytes) * time.Second / storeBytesPerSecond)
	until := s.free
	s.mu.Unlock()
	return sleepUntil(ctx, until)
}

func sleepUntil(ctx context.Context, t time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Until(t)):
		return nil
	}
}

// backlogFeed is the ledger as an instance reads it that was cut off for a while. Each item
// stands for a kilobyte of records.
type backlogFeed struct {
	store *sharedStore
	end   uint64
}

func (f *backlogFeed) ReadNewest(context.Context, time.Duration) ([]string, uint64, error) {
	return nil, 0, nil
}

func (f *backlogFeed) Read(ctx context.Context, from uint64, _ time.Duration) (p follower.Page[string], err error) {
	kilobytes := min(f.end-from, follower.MaxPageKB)
	if kilobytes == 0 {
		<-ctx.Done()
		return p, ctx.Err()
	}
	if err := f.store.send(ctx, int(kilobytes)<<10); err != nil {
		return p, err
	}
	err = sleepUntil(ctx, time.Now().Add(time.Duration(kilobytes<<10)*time.Second/linkBytesPerSecond))
	return follower.Page[string]{Items: make([]string, kilobytes), NextOffset: f.end, Full: kilobytes == follower.MaxPageKB}, err
}

// quietFeed is a feed without new records, which a read waits for.
type quietFeed struct{ store *sharedStore }

func (f quietFeed) ReadNewest(context.Context, time.Duration) ([]string, uint64, error) {
	return nil, 0, nil
}

func (f quietFeed) Read(ctx context.Context, _ uint64, wait time.Duration) (p follower.Page[string], err error) {
	if err := sleepUntil(ctx, time.Now().Add(wait)); err != nil {
		return p, err
	}
	return p, f.store.send(ctx, 1)
}

// progress records how far a reader has come, and the longest time between two reads.
type progress struct {
	mu           sync.Mutex
	read         int
	last         time.Time
	longest      time.Duration
	caughtUpAt   time.Time
	failedBefore bool
}

func (p *progress) Load([]string, uint64, time.Time) { p.last = time.Now() }

func (p *progress) Update(_ uint64, items []string, _ time.Time, caughtUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.read += len(items)
	p.longest, p.last = max(p.longest, time.Since(p.last)), time.Now()
	if caughtUp && p.caughtUpAt.IsZero() {
		p.caughtUpAt = time.Now()
	}
}

func (p *progress) Fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A read of the ledger that finds nothing new times out in this test.
	p.failedBefore = p.failedBefore || p.caughtUpAt.IsZero() && !errors.Is(err, context.Canceled)
}

// TestInstancesCatchUp lets 105 of 300 instances read 2.5 MB each after they were cut off, from
// a store that sends 80 MB/s in all. Another instance waits for changes of the configuration
// meanwhile; its reads must be answered in time for a configuration to stay in force.
func TestInstancesCatchUp(t *testing.T) {
	const (
		instances = 105
		backlogKB = 2500
		// wait is that of a read of the operators' feed.
		wait = 500 * time.Millisecond
		// maxDelay is less than the time after which a second read would be sent.
		maxDelay   = 400 * time.Millisecond
		maxCatchUp = 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		store := &sharedStore{}
		var group sync.WaitGroup
		run := func(feed follower.Feed[string], pace follower.Pace) *progress {
			p := &progress{}
			group.Go(func() { follower.NewReader(feed, p, func() follower.Pace { return pace }).Run(ctx) })
			return p
		}
		began := time.Now()
		var behind []*progress
		for range instances {
			behind = append(behind, run(&backlogFeed{store: store, end: backlogKB}, follower.Pace{Wait: 600 * time.Millisecond, Interval: time.Second}))
		}
		waiting := run(quietFeed{store}, follower.Pace{Wait: wait})
		time.Sleep(maxCatchUp)
		cancel()
		group.Wait()
		if waiting.longest > wait+maxDelay {
			t.Errorf("a read that waits for %v took %v", wait, waiting.longest)
		}
		late := 0
		for _, p := range behind {
			if p.failedBefore || p.caughtUpAt.IsZero() || p.caughtUpAt.Sub(began) > maxCatchUp {
				late++
			}
		}
		if late > 0 {
			t.Errorf("%d of %d instances have not caught up after %v", late, instances, maxCatchUp)
		}
	})
}
