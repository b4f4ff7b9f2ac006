package follower_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// hangingFeed emulates an outage of the platform: calls that are sent before the time until get
// no answer, not even after that time.
type hangingFeed struct {
	mu     sync.Mutex
	until  time.Time
	loaded time.Time
	read   time.Time
}

func (f *hangingFeed) answer(ctx context.Context, at *time.Time) error {
	if f.silent() {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.IsZero() {
		*at = time.Now()
	}
	return nil
}

func (f *hangingFeed) silent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.until)
}

// startOutage starts an outage that lasts for d, and discards the times of earlier answers.
func (f *hangingFeed) startOutage(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.until, f.loaded, f.read = time.Now().Add(d), time.Time{}, time.Time{}
}

// delayAfterOutage returns how long after the end of the outage the first answer came; ok is
// false if there was none.
func (f *hangingFeed) delayAfterOutage(at *time.Time) (delay time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return at.Sub(f.until), !at.IsZero()
}

func (f *hangingFeed) ReadNewest(ctx context.Context, limit time.Duration) ([]string, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return nil, 0, f.answer(ctx, &f.loaded)
}

func (f *hangingFeed) Read(ctx context.Context, _ uint64, wait time.Duration) (p follower.Page[string], err error) {
	if err := f.answer(ctx, &f.read); err != nil {
		return p, err
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return p, ctx.Err()
}

// regainTarget is how long an instance may go on refusing calls after the platform answers
// again. Callers wait 3 s in all.
const regainTarget = 1500 * time.Millisecond

// playSilence makes the platform silent while a feed is loaded, and again while it is read.
// The reader must not wait for calls that it sent during the silence.
func playSilence(t *testing.T, silence time.Duration, target func(f *hangingFeed) *time.Time) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &hangingFeed{}
		f.startOutage(silence)
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		pace := func() follower.Pace { return follower.Pace{Wait: time.Second, Interval: 100 * time.Millisecond} }
		go follower.NewReader(f, &recorder{}, pace).Run(ctx)
		at := target(f)
		time.Sleep(silence + 5*time.Second)
		if at == &f.read {
			f.startOutage(silence)
			time.Sleep(silence + 5*time.Second)
		}
		if delay, ok := f.delayAfterOutage(at); !ok || delay > regainTarget {
			t.Errorf("after %s of silence: an answer %s later, the target is %s", silence, delay, regainTarget)
		}
	})
}

func loadedAt(f *hangingFeed) *time.Time { return &f.loaded }

func readAt(f *hangingFeed) *time.Time { return &f.read }

// The silences end at many different points within the timeouts of the calls.
const (
	shortestSilence = 200 * time.Millisecond
	silenceStep     = 300 * time.Millisecond
	longestSilence  = 9 * time.Second
)

func TestLoadAfterSilence(t *testing.T) {
	for s := shortestSilence; s < longestSilence; s += silenceStep {
		playSilence(t, s, loadedAt)
	}
}

func TestReadAfterSilence(t *testing.T) {
	for _, s := range []time.Duration{900 * time.Millisecond, 2200 * time.Millisecond, 6700 * time.Millisecond} {
		playSilence(t, s, readAt)
	}
}

func TestReadAfterAnySilence(t *testing.T) {
	for s := shortestSilence; s < longestSilence; s += silenceStep {
		playSilence(t, s, readAt)
	}
}

// TestRetryInFlightCancelsHangingAppend guards against waiting out the full timeout of an
// append that was sent during an outage: it must be given up as soon as the ledger is known to
// answer again.
func TestRetryInFlightCancelsHangingAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &slowLedger{delay: time.Hour}
		w := follower.NewWriter(l)
		appendOnce := func() scheduler.AppendResult {
			return w.AppendInTerm(context.Background(), scheduler.AppendCmd{Term: 1, Sequence: 1, Records: []reducer.Record{{Key: "k"}}}).Result
		}
		for range 4 {
			appendOnce() // the timeout grows
		}
		began := time.Now()
		time.AfterFunc(time.Second, w.RetryInFlight)
		if r := appendOnce(); r != scheduler.AppendUnknown {
			t.Errorf("the cancelled append returned %s, want %s", r, scheduler.AppendUnknown)
		}
		if took := time.Since(began); took != time.Second {
			t.Errorf("the append was cancelled after %s, want 1 s", took)
		}
	})
}

// lostAnswerFeed loses the answer to its first read and answers the second one at once.
type lostAnswerFeed struct{ reads atomic.Int64 }

func (*lostAnswerFeed) ReadNewest(context.Context, time.Duration) ([]string, uint64, error) {
	return nil, 0, nil
}

func (f *lostAnswerFeed) Read(ctx context.Context, _ uint64, _ time.Duration) (follower.Page[string], error) {
	if f.reads.Add(1) == 2 {
		return follower.Page[string]{Items: []string{"a"}, NextOffset: 1}, nil
	}
	<-ctx.Done()
	return follower.Page[string]{}, ctx.Err()
}

// ageRecorder keeps how old the first records were when they arrived.
type ageRecorder struct {
	recorder
	ages []time.Duration
}

func (h *ageRecorder) Update(_ uint64, _ []string, asOf time.Time, _ bool) {
	h.ages = append(h.ages, time.Since(asOf))
}

// TestSecondCallCountsFromItsOwnStart guards against taking what the second call has read
// to be as old as the call whose answer was lost.
func TestSecondCallCountsFromItsOwnStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &ageRecorder{}
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		follower.NewReader(&lostAnswerFeed{}, h, func() follower.Pace { return follower.Pace{Wait: time.Second} }).Run(ctx)
		if len(h.ages) != 1 || h.ages[0] != 0 {
			t.Errorf("ages of the records %v, want one of 0 s", h.ages)
		}
	})
}
