package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// estimate returns the estimate in milliseconds, -1 if there is none.
func estimate(l *follower.Latency) int64 {
	d, known := l.Estimate()
	if !known {
		return -1
	}
	return d.Milliseconds()
}

// TestLatencyEstimate guards against a read that waits for records being taken for a slow one,
// and against an estimate that lags behind when the platform becomes slow or recovers.
func TestLatencyEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l follower.Latency
		got := []int64{estimate(&l)}
		read := func(wait, took time.Duration, empty bool) {
			timer := l.Begin(wait)
			time.Sleep(took)
			timer.Answered(empty)
			got = append(got, estimate(&l))
		}
		const ms = time.Millisecond
		read(600*ms, 604*ms, true)
		read(600*ms, 300*ms, false)
		read(600*ms, 800*ms, false)
		read(0, 370*ms, true)
		read(0, 370*ms, true)
		read(0, 4*ms, true)
		// A read in flight raises the estimate to its age until a later one is answered.
		hanging := l.Begin(0)
		time.Sleep(250 * ms)
		got = append(got, estimate(&l))
		read(0, 4*ms, true)
		// A read that was answered before the end of its wait overtakes none that was sent later.
		waiting := l.Begin(600 * ms)
		time.Sleep(10 * ms)
		later := l.Begin(0)
		time.Sleep(10 * ms)
		waiting.Answered(false)
		time.Sleep(200 * ms)
		got = append(got, estimate(&l))
		hanging.Dropped()
		later.Dropped()
		time.Sleep(3 * time.Second)
		got = append(got, estimate(&l))
		want := []int64{-1, 4, 4, 4, 370, 370, 4, 250, 4, 210, -1}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("estimates in milliseconds (-want +got):\n%s", diff)
		}
	})
}

// TestReadsOfSlowFeedKeepTheirAge guards against configurations and tables that go out of date
// because a slow platform adds its latency to the time for which a read waits.
func TestReadsOfSlowFeedKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait, latency = time.Second, 370 * time.Millisecond
		h := &staleRecorder{}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		follower.NewReader(slowFeed(latency), h, func() follower.Pace { return follower.Pace{Wait: wait, Interval: 100 * time.Millisecond} }).Run(ctx)
		if limit := wait + 50*time.Millisecond; h.oldest > limit || h.oldest == 0 {
			t.Errorf("what was read was up to %s old, want at most %s", h.oldest, limit)
		}
	})
}

// slowFeed answers each read without records, after the wait and its latency.
type slowFeed time.Duration

func (slowFeed) ReadNewest(context.Context, time.Duration) ([]string, uint64, error) {
	return nil, 0, nil
}

func (f slowFeed) Read(ctx context.Context, _ uint64, wait time.Duration) (p follower.Page[string], err error) {
	select {
	case <-time.After(wait + time.Duration(f)):
	case <-ctx.Done():
	}
	return p, ctx.Err()
}

// staleRecorder keeps how old the newest read became, from the third read on.
type staleRecorder struct {
	recorder
	reads  int
	asOf   time.Time
	oldest time.Duration
}

func (h *staleRecorder) Update(_ uint64, _ []string, asOf time.Time, _ bool) {
	if h.reads++; h.reads > 3 {
		h.oldest = max(h.oldest, time.Since(h.asOf))
	}
	h.asOf = asOf
}

// fakeLatency is a LatencySource whose reads are answered after a time, or never if it is 0.
type fakeLatency struct {
	follower.Latency
	mu         sync.Mutex
	answer     time.Duration
	unanswered int
}

func (f *fakeLatency) EstimatedLatency() (time.Duration, bool) { return f.Estimate() }

func (f *fakeLatency) LatestLatency() (time.Duration, bool) { return f.Latest() }

func (f *fakeLatency) ReportUnanswered() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered++
}

func (f *fakeLatency) CheckLatency(ctx context.Context) error {
	timer := f.Begin(0)
	if f.answer > 0 {
		select {
		case <-time.After(f.answer):
			timer.Answered(true)
			return nil
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	timer.Dropped()
	return ctx.Err()
}

// TestAppendInFlightFollowsLatency guards against appends that are sent again while the ledger is
// only slow, and against ones that are not sent again soon after their answer was lost.
func TestAppendInFlightFollowsLatency(t *testing.T) {
	for _, c := range []struct {
		name string
		// append and read are how long answers take, 0 if none comes.
		append, read time.Duration
		want         scheduler.AppendResult
		atMost       time.Duration
		unanswered   bool
	}{
		{"usual", 4 * time.Millisecond, 4 * time.Millisecond, scheduler.AppendDone, 4 * time.Millisecond, false},
		{"becomes slow", 370 * time.Millisecond, 370 * time.Millisecond, scheduler.AppendDone, 370 * time.Millisecond, false},
		{"slow, behind others", 1900 * time.Millisecond, 370 * time.Millisecond, scheduler.AppendDone, 1900 * time.Millisecond, false},
		{"the answer is lost", 0, 4 * time.Millisecond, scheduler.AppendUnknown, 350 * time.Millisecond, false},
		{"silent", 0, 0, scheduler.AppendUnknown, 2400 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := &fakeLatency{answer: 4 * time.Millisecond}
				_ = source.CheckLatency(context.Background())
				source.answer = c.read
				delay := c.append
				if delay == 0 {
					delay = time.Hour
				}
				l := &slowLedger{delay: delay}
				w := follower.NewWriter(l)
				w.SetLatencySource(source)
				began := time.Now()
				ctx, cancel := context.WithCancel(context.Background())
				msg := w.AppendInTerm(ctx, scheduler.AppendCmd{Term: 1, Sequence: 1, Records: []reducer.Record{{Key: "k"}}})
				took := time.Since(began)
				cancel()
				synctest.Wait()
				if msg.Result != c.want || took > c.atMost || msg.Refused {
					t.Errorf("the result is %+v after %s, want %s after at most %s", msg, took, c.want, c.atMost)
				}
				source.mu.Lock()
				defer source.mu.Unlock()
				if got := source.unanswered > 0; got != c.unanswered {
					t.Errorf("reads without an answer were reported: %t, want %t", got, c.unanswered)
				}
			})
		})
	}
}
