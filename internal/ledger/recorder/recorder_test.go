package recorder_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/appender"
)

// log stores records in memory. fault reports for the nth append whether the record
// is stored and whether the append succeeds.
type log struct {
	mu      sync.Mutex
	records [][]byte
	appends int
	fault   func(n int) (stored, acknowledged bool)
}

func (l *log) Append(ctx context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	stored, acknowledged := l.fault(l.appends)
	if stored {
		l.records = append(l.records, data)
	}
	if !acknowledged {
		return 0, errors.New("no response")
	}
	return uint64(len(l.records) - 1), nil
}

func (l *log) Read(context.Context, uint64, int, time.Duration) (appender.Page, error) {
	return appender.Page{}, errors.New("Read is not implemented")
}

// follow applies the stored records to s and passes the results to the recorder.
func (l *log) follow(ctx context.Context, r *recorder.Recorder, s *reducer.State) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		l.mu.Lock()
		records := l.records[s.Next:]
		l.mu.Unlock()
		for _, data := range records {
			batch, err := encoder.Decode(data)
			if err != nil {
				panic(err)
			}
			r.DeliverResults(batch.Sequence, s.Apply(s.Next, batch))
		}
	}
}

func claim(key string) encoder.Entry {
	return encoder.Entry{RequestClaimed: &encoder.RequestClaimed{Workspace: "a", Key: key, Holder: "i1/a", Digest: key}}
}

// TestProposeWithLogFaults checks the error of Propose and the final state when
// appends fail or their responses are lost.
func TestProposeWithLogFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n int) (stored, acknowledged bool)
		// err is the error of Propose, claims the number of claims in the final state.
		err    error
		claims int
	}{
		{"none", func(int) (bool, bool) { return true, true }, nil, 1},
		{"the responses to all appends are lost", func(int) (bool, bool) { return true, false }, nil, 1},
		{"the first three appends fail", func(n int) (bool, bool) { return n > 3, n > 3 }, nil, 1},
		{"the response to the first append is lost", func(n int) (bool, bool) { return true, n > 1 }, nil, 1},
		{"the log is down", func(int) (bool, bool) { return false, false }, recorder.ErrOutcomeUnknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l, s := &log{fault: test.fault}, reducer.New()
				r := recorder.New(recorder.Config{Writer: "i1/a", AppendTimeout: 500 * time.Millisecond, AppendsPerSecond: 100, AppendBurst: 10}, l)
				go r.Run(ctx)
				go l.follow(ctx, r, s)
				pctx, pcancel := context.WithTimeout(ctx, 10*time.Second)
				defer pcancel()
				_, err := r.Propose(pctx, claim("k"))
				if !errors.Is(err, test.err) {
					t.Errorf("error %v, want %v", err, test.err)
				}
				cancel()
				time.Sleep(time.Minute)
				synctest.Wait()
				if len(s.Claims) != test.claims {
					t.Errorf("%d claims, want %d", len(s.Claims), test.claims)
				}
			})
		})
	}
}

// TestWithdrawnProposalIsNeverSent checks that a proposal that times out while
// another is in flight returns ErrNotAppended and is never appended.
func TestWithdrawnProposalIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var logAvailable atomic.Bool
		l, s := &log{}, reducer.New()
		l.fault = func(int) (bool, bool) { return logAvailable.Load(), logAvailable.Load() }
		r := recorder.New(recorder.Config{Writer: "i1/a", AppendTimeout: time.Second, AppendsPerSecond: 100, AppendBurst: 10}, l)
		go r.Run(ctx)
		go l.follow(ctx, r, s)
		go func() { _, _ = r.Propose(ctx, claim("first")) }()
		time.Sleep(100 * time.Millisecond)
		short, cancelShort := context.WithTimeout(ctx, time.Second)
		_, err := r.Propose(short, claim("second"))
		cancelShort()
		if !errors.Is(err, recorder.ErrNotAppended) {
			t.Errorf("error %v, want ErrNotAppended", err)
		}
		logAvailable.Store(true)
		time.Sleep(time.Minute)
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		if _, ok := s.Claims[reducer.ClaimKey("a", "second")]; ok {
			t.Error("a withdrawn proposal was recorded")
		}
		if len(s.Claims) != 1 {
			t.Errorf("%d claims, want 1", len(s.Claims))
		}
	})
}
