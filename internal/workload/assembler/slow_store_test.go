package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/assembler"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/forwarder"
)

// fleet is a number of instances that share a fakeStore and reach each other without a network.
type fleet struct {
	store     *fakeStore
	clients   []*storeClient
	instances []*assembler.Instance

	mu       sync.Mutex
	handlers map[string]http.Handler
	events   map[string]int
	holder   string
	takenAt  time.Time
	results  []result
}

// result is the answer to one submission.
type result struct {
	id         string
	sent, took time.Duration
	answer     acceptor.Answer
}

// RoundTrip implements http.RoundTripper for the messages between instances.
func (f *fleet) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	h := f.handlers[r.URL.Host]
	f.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answer := make(chan *http.Response, 1)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		answer <- w.Result()
	}()
	select {
	case resp := <-answer:
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// eventCounter counts an instance's events and remembers who holds the term.
type eventCounter struct {
	fleet    *fleet
	instance string
}

func (c eventCounter) Event(name string, _ ...any) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.events[name]++
	if name == "TermTaken" {
		c.fleet.holder, c.fleet.takenAt = c.instance, time.Now()
	}
}

// instancePowers are the CPU shares of the instances, in thousandths.
var instancePowers = []int{800, 192, 400, 800, 600}

// runFleet starts instances and calls play once they have elected a holder.
func runFleet(t *testing.T, instances int, play func(ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{store: newFakeStore(), handlers: map[string]http.Handler{}, events: map[string]int{}}
		var waits []func() error
		for n := range instances {
			name := fmt.Sprint("i", n)
			client := &storeClient{fakeStore: f.store}
			config := &describer.Configuration{
				Version: 1, Queues: []describer.Queue{{Name: "q", Host: "h", PathPrefix: "/q/", Service: "s", Stretch: 3, ObjectiveMS: 1000}},
				Workspaces: []describer.Workspace{{Name: "w", Keys: []string{"key"}}},
			}
			inst := assembler.New(assembler.Settings{
				Instance: name, Power: instancePowers[n%len(instancePowers)], Peer: name, Lease: 6 * time.Second, GangWait: 3 * time.Second,
				Stop: 200 * time.Millisecond, Reclaim: 2700 * time.Millisecond, Retain: time.Minute, Grace: 6 * time.Second,
				ConfigDeadline: 2 * time.Second, ConfigStale: 6500 * time.Millisecond, Visible: 3 * time.Second,
			}, assembler.Dependencies{
				Ledger: client, OperatorFeed: fixedFeed[describer.Change]{client, []describer.Change{{Configuration: config}}},
				WorkerFeed: fixedFeed[describer.WorkerChange]{store: client}, Peers: forwarder.New(&http.Client{Transport: f}),
				Reporter: eventCounter{f, name},
			})
			f.clients, f.instances = append(f.clients, client), append(f.instances, inst)
			handler, wait := inst.StartForTest(ctx)
			waits = append(waits, wait)
			f.mu.Lock()
			f.handlers[name] = handler
			f.mu.Unlock()
		}
		time.Sleep(8 * time.Second)
		play(ctx, f)
		cancel()
		for _, wait := range waits {
			if err := wait(); err != nil {
				t.Error(err)
			}
		}
	})
}

// holderClient returns the store client of the instance that holds the term, and its number.
func (f *fleet) holderClient() (c *storeClient, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Sscanf(f.holder, "i%d", &n)
	return f.clients[n], n
}

func (f *fleet) eventCount(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.events[name]
}

// callInterval is the time between two submissions, callerWaits how long a caller waits.
const (
	callInterval = 25 * time.Millisecond
	callerWaits  = 3 * time.Second
)

// submitFor sends submissions to the instances in turn for d, and waits for all answers.
func (f *fleet) submitFor(ctx context.Context, d time.Duration) {
	f.results = nil
	began := time.Now()
	var group sync.WaitGroup
	for n := 0; time.Since(began) < d; n++ {
		group.Go(func() {
			r := result{id: fmt.Sprintf("%016x", n+1), sent: time.Since(began)}
			r.answer = f.instances[n%len(f.instances)].Answer(ctx, acceptor.Call{
				Kind: acceptor.KindSubmit, Host: "h", Path: "/q/" + r.id, Key: "key", WithinMS: callerWaits.Milliseconds(),
				Job: &describer.Job{Steps: []describer.Step{{Count: 1}}},
			})
			r.took = time.Since(began) - r.sent
			f.mu.Lock()
			f.results = append(f.results, r)
			f.mu.Unlock()
		})
		time.Sleep(callInterval)
	}
	group.Wait()
}

// count returns how many of the submissions got a verdict, and how many there were.
func (f *fleet) count(v acceptor.Verdict) (n, all int) {
	for _, r := range f.results {
		if r.answer.Verdict == v {
			n++
		}
	}
	return n, len(f.results)
}

// checkRefusals fails if a job is in the ledger although its submission was answered as not run.
func (f *fleet) checkRefusals(t *testing.T) {
	t.Helper()
	time.Sleep(5 * time.Second)
	stored := map[string]bool{}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, r := range f.store.records {
		if id, ok := strings.CutPrefix(r.Key, "submission/"); ok {
			stored[id] = true
		}
	}
	for _, r := range f.results {
		if r.answer.Verdict == acceptor.NotRun && stored[r.id] {
			t.Errorf("job %s, sent after %s, was refused as not run (%s) and is in the ledger", r.id, r.sent, r.answer.Reason)
		}
	}
}

// maxSlowAppends limits the appends in TestSlowStoreKeepsAccepting: one batch of the holder after
// the other takes about 105. Before instances knew the latency there were 190 to 411.
const maxSlowAppends = 130

// TestSlowStoreKeepsAccepting guards against a system that saturates the partition of its ledger
// by itself: the store becomes 92 times slower for 5.8 s, for all instances.
func TestSlowStoreKeepsAccepting(t *testing.T) {
	for _, instances := range []int{6, 30} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runFleet(t, instances, func(ctx context.Context, f *fleet) {
				terms, appends := f.eventCount("TermTaken"), f.store.appendCount()
				f.store.setAnswerTime(slowAnswerTime)
				time.AfterFunc(5800*time.Millisecond, func() { f.store.setAnswerTime(usualAnswerTime) })
				f.submitFor(ctx, 8*time.Second)
				accepted, all := f.count(acceptor.Accepted)
				var slowest time.Duration
				for _, r := range f.results {
					slowest = max(slowest, r.took)
				}
				t.Logf("accepted %d of %d, slowest %s; %d appends, %d terms", accepted, all, slowest, f.store.appendCount()-appends, f.eventCount("TermTaken")-terms)
				if accepted < all {
					t.Errorf("accepted %d of %d submissions, want all", accepted, all)
				}
				if n := f.eventCount("TermTaken") - terms; n > 0 {
					t.Errorf("the term changed %d times, want none", n)
				}
				if n := f.store.appendCount() - appends; n > maxSlowAppends {
					t.Errorf("%d appends, want at most %d", n, maxSlowAppends)
				}
				f.checkRefusals(t)
			})
		})
	}
}

// maxLateSubmissions limits the submissions that take more than 1 s in
// TestStoreFaultOfTheHolder. Before, up to 29 did, of 240.
const maxLateSubmissions = 20

// TestStoreFaultOfTheHolder guards against a takeover that comes later than before because an
// unreachable store looks like a slow one. Only the holder's calls to the store fail for 5 s.
func TestStoreFaultOfTheHolder(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault storeFault
		// takenWithin is the time in which another instance must decide, 0 if none has to.
		takenWithin time.Duration
	}{
		{"silent", silent, 700 * time.Millisecond}, {"reset", reset, 500 * time.Millisecond}, {"refused", refused, 500 * time.Millisecond},
		{"answers lost", unanswered, 0}, {"slow", slow, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, 12, func(ctx context.Context, f *fleet) {
				client, old := f.holderClient()
				began := time.Now()
				client.setFault(c.fault)
				time.AfterFunc(5*time.Second, func() { client.setFault(noFault) })
				f.submitFor(ctx, 6*time.Second)
				accepted, all := f.count(acceptor.Accepted)
				var late int
				for _, r := range f.results {
					if r.took > time.Second {
						late++
					}
				}
				_, now := f.holderClient()
				taken := f.takenAt.Sub(began)
				t.Logf("accepted %d of %d, %d after more than 1 s; holder i%d, before i%d, after %s", accepted, all, late, now, old, taken)
				if accepted < all || late > maxLateSubmissions {
					t.Errorf("accepted %d of %d, %d after more than 1 s, want all, and at most %d late", accepted, all, late, maxLateSubmissions)
				}
				if c.takenWithin > 0 && (now == old || taken > c.takenWithin) {
					t.Errorf("the holder is i%d after i%d, after %s, want another one after at most %s", now, old, taken, c.takenWithin)
				}
				f.checkRefusals(t)
			})
		})
	}
}

// maxUnknown limits the submissions with an unknown outcome in TestStoreDownForAll: those that
// were in the holder's append in flight. Before, there were 34 to 46.
const maxUnknown = 10

// TestStoreDownForAll guards against submissions that are held until their deadline although
// the instances know that the ledger can't be reached.
func TestStoreDownForAll(t *testing.T) {
	for name, fault := range map[string]storeFault{"silent": silent, "reset": reset, "refused": refused} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 12, func(ctx context.Context, f *fleet) {
				setAll := func(fault storeFault) {
					for _, c := range f.clients {
						c.setFault(fault)
					}
				}
				terms := f.eventCount("TermTaken")
				setAll(fault)
				time.AfterFunc(4*time.Second, func() { setAll(noFault) })
				f.submitFor(ctx, 6*time.Second)
				accepted, all := f.count(acceptor.Accepted)
				unknown, _ := f.count(acceptor.OutcomeUnknown)
				var held time.Duration
				var late int
				for _, r := range f.results {
					held += r.took
					if r.answer.Verdict == acceptor.NotRun && r.took > time.Second {
						late++
					}
				}
				t.Logf("accepted %d, unknown %d of %d, %d refusals after more than 1 s, held for %s in all", accepted, unknown, all, late, held.Round(time.Millisecond))
				if unknown > maxUnknown {
					t.Errorf("%d submissions were answered as unknown, want at most %d", unknown, maxUnknown)
				}
				if n := f.eventCount("TermTaken") - terms; n > 0 {
					t.Errorf("the term changed %d times, want none", n)
				}
				f.checkRefusals(t)
			})
		})
	}
}
