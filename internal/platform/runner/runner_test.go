package runner_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"daisyhead/internal/platform/runner"
	"daisyhead/internal/standin/observer"
	"daisyhead/internal/standin/taskrunner"
)

// worker is a stand-in for a worker together with a client for it.
type worker struct {
	*taskrunner.Runner
	client  *runner.Client
	address string
}

func newWorker(tb testing.TB) worker {
	r := taskrunner.New(taskrunner.Config{Name: "w", Processors: 64, MemoryMB: 64000, Accelerators: 8})
	server := httptest.NewServer(r)
	tb.Cleanup(server.Close)
	return worker{r, runner.New(&http.Transport{MaxIdleConnsPerHost: 4}), strings.TrimPrefix(server.URL, "http://")}
}

func (w worker) exchange(tb testing.TB, q runner.ExchangeRequest) runner.ExchangeReply {
	tb.Helper()
	reply, err := w.client.Exchange(context.Background(), w.address, q)
	if err != nil {
		tb.Fatal(err)
	}
	return reply
}

// reserve sends a valid reservation, which change may modify before. It first makes
// the worker adopt the term.
func (w worker) reserve(tb testing.TB, term uint64, job string, attempt, accelerators int, change func(*runner.ReserveRequest)) runner.Reply {
	tb.Helper()
	now := w.exchange(tb, runner.ExchangeRequest{Term: term})
	q := runner.ReserveRequest{
		Term: term, Boot: now.Boot, Job: job, Attempt: attempt, Tasks: 1, GangTasks: 1, Accelerators: accelerators, Payload: "run=1h",
		NotAfter: now.ClockMS + 2000, HoldUntil: now.ClockMS + 60000,
	}
	if change != nil {
		change(&q)
	}
	reply, err := w.client.Reserve(context.Background(), w.address, q)
	if err != nil {
		tb.Fatal(err)
	}
	return reply
}

// start sends a valid start, which change may modify before. It first makes the
// worker adopt the term.
func (w worker) start(tb testing.TB, term uint64, job string, attempt int, change func(*runner.StartRequest)) runner.Reply {
	tb.Helper()
	now := w.exchange(tb, runner.ExchangeRequest{Term: term})
	q := runner.StartRequest{Term: term, Boot: now.Boot, Job: job, Attempt: attempt, NotAfter: now.ClockMS + 2000, LeaseUntil: now.ClockMS + 60000}
	if change != nil {
		change(&q)
	}
	reply, err := w.client.Start(context.Background(), w.address, q)
	if err != nil {
		tb.Fatal(err)
	}
	return reply
}

// TestWorkerRefusesInvalidRequests checks the contract that the scheduler relies
// on: which requests a worker must refuse, whoever sends them.
func TestWorkerRefusesInvalidRequests(t *testing.T) {
	tests := []struct {
		name string
		send func(w worker) runner.Reply
	}{
		{"a reservation of an older term", func(w worker) runner.Reply {
			w.exchange(t, runner.ExchangeRequest{Term: 5})
			return w.reserve(t, 4, "j", 1, 1, func(q *runner.ReserveRequest) { q.Term = 4 })
		}},
		{"a start of an older term", func(w worker) runner.Reply {
			w.reserve(t, 4, "j", 1, 1, nil)
			w.exchange(t, runner.ExchangeRequest{Term: 5})
			return w.start(t, 5, "j", 1, func(q *runner.StartRequest) { q.Term = 4 })
		}},
		{"a reservation that arrives too late", func(w worker) runner.Reply {
			return w.reserve(t, 1, "j", 1, 1, func(q *runner.ReserveRequest) { q.NotAfter = -1 })
		}},
		{"a start that arrives too late", func(w worker) runner.Reply {
			w.reserve(t, 1, "j", 1, 1, nil)
			return w.start(t, 1, "j", 1, func(q *runner.StartRequest) { q.NotAfter = -1 })
		}},
		{"a start for an earlier boot", func(w worker) runner.Reply {
			w.reserve(t, 1, "j", 1, 1, nil)
			return w.start(t, 1, "j", 1, func(q *runner.StartRequest) { q.Boot = "earlier" })
		}},
		{"a start without a reservation", func(w worker) runner.Reply { return w.start(t, 1, "j", 1, nil) }},
		{"a start after the reservation was released", func(w worker) runner.Reply {
			w.reserve(t, 1, "j", 1, 1, nil)
			if _, err := w.client.Stop(context.Background(), w.address, runner.StopRequest{Term: 1, Job: "j", Attempt: 1}); err != nil {
				t.Fatal(err)
			}
			return w.start(t, 1, "j", 1, nil)
		}},
		{"a reservation that arrives after its stop", func(w worker) runner.Reply {
			if _, err := w.client.Stop(context.Background(), w.address, runner.StopRequest{Term: 1, Job: "j", Attempt: 1}); err != nil {
				t.Fatal(err)
			}
			return w.reserve(t, 1, "j", 1, 1, nil)
		}},
		{"a reservation of more accelerators than are free", func(w worker) runner.Reply {
			w.reserve(t, 1, "first", 1, 6, nil)
			return w.reserve(t, 1, "j", 1, 4, nil)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorker(t)
			if reply := test.send(w); reply.OK {
				t.Error("the worker accepted the request")
			}
			for _, e := range w.Events() {
				if e.Job == "j" && e.Kind == observer.KindStarted {
					t.Error("the worker started the tasks")
				}
			}
		})
	}
}

// TestRepeatedStartCountsOnce sends the same start twice, as a client does whose
// first reply was lost. The worker must accept both and start the tasks once.
func TestRepeatedStartCountsOnce(t *testing.T) {
	w := newWorker(t)
	w.reserve(t, 1, "j", 1, 1, nil)
	for range 2 {
		if reply := w.start(t, 1, "j", 1, nil); !reply.OK {
			t.Errorf("refused: %s", reply.Reason)
		}
	}
	if n := len(w.Events()); n != 1 {
		t.Errorf("%d events, want 1 start", n)
	}
}

// BenchmarkExchange measures one lease renewal over loopback, including the work
// of the stand-in for the worker.
func BenchmarkExchange(b *testing.B) {
	w := newWorker(b)
	r := w.exchange(b, runner.ExchangeRequest{Term: 1})
	for b.Loop() {
		w.exchange(b, runner.ExchangeRequest{Term: 1, Boot: r.Boot, Since: r.Version, RenewAll: r.ClockMS + int64(time.Hour/time.Millisecond)})
	}
}
