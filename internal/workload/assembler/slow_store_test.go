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
	holder   int
	takenAt  time.Time
	results  []result
}

// result is the answer to one submission.
type result struct {
	id      string
	took    time.Duration
	verdict acceptor.Verdict
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

// termObserver remembers when an instance took the term. It implements assembler.Reporter.
type termObserver struct {
	fleet    *fleet
	instance int
}

// Event implements assembler.Reporter.
func (o termObserver) Event(name string, _ ...any) {
	if name != "TermTaken" {
		return
	}
	o.fleet.mu.Lock()
	defer o.fleet.mu.Unlock()
	o.fleet.holder, o.fleet.takenAt = o.instance, time.Now()
}

// instancePowers are the CPU shares of the instances, in thousandths.
var instancePowers = []int{800, 192, 400, 800, 600}

// runFleet starts instances and calls play once they have elected a holder.
func runFleet(t *testing.T, instances int, play func(ctx context.Context, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{store: &fakeStore{appended: make(chan struct{})}, handlers: map[string]http.Handler{}}
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
				Reporter: termObserver{f, n},
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

// currentHolder returns the number of the instance that holds the term, and since when.
func (f *fleet) currentHolder() (n int, since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder, f.takenAt
}

// storedJobs waits for the last appends and returns the jobs in the ledger.
func (f *fleet) storedJobs() map[string]bool {
	time.Sleep(3 * time.Second)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	stored := map[string]bool{}
	for _, r := range f.store.records {
		if id, ok := strings.CutPrefix(r.Key, "submission/"); ok {
			stored[id] = true
		}
	}
	return stored
}

// callInterval is the time between two submissions, callerWaits how long a caller waits.
const (
	callInterval = 25 * time.Millisecond
	callerWaits  = 3 * time.Second
)

// submitFor sends submissions to the instances in turn for d, and waits for all answers.
func (f *fleet) submitFor(ctx context.Context, d time.Duration) {
	began := time.Now()
	var group sync.WaitGroup
	for n := 0; time.Since(began) < d; n++ {
		group.Go(func() {
			id, sent := fmt.Sprintf("%016x", n+1), time.Now()
			answer := f.instances[n%len(f.instances)].Answer(ctx, acceptor.Call{
				Kind: acceptor.KindSubmit, Host: "h", Path: "/q/" + id, Key: "key", WithinMS: callerWaits.Milliseconds(),
				Job: &describer.Job{Steps: []describer.Step{{Count: 1}}},
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			f.results = append(f.results, result{id, time.Since(sent), answer.Verdict})
		})
		time.Sleep(callInterval)
	}
	group.Wait()
}

// TestStoreFaults guards against a system that saturates the partition of its ledger by itself
// while the store is slow for all, against a holder that is replaced later than before if it alone
// is cut off, against callers that are held until their deadline although nothing of their
// submission can have been written, and against refusals as not run that are not true. The bounds
// tell a fleet that saturates the partition from one that does not; see docs/design/slow-store.md.
func TestStoreFaults(t *testing.T) {
	const never = time.Hour
	for _, c := range []struct {
		name      string
		instances int
		forAll    bool
		fault     storeFault
		lasts     time.Duration
		// takenWithin is the time in which another instance must decide, never if none may; 0 if
		// both is allowed.
		takenWithin time.Duration
		// accepted, unknown, late and appends bound the submissions that are accepted, get an
		// unknown outcome or are accepted after more than 1.2 s, and the appends.
		accepted, unknown, late, appends int
	}{
		{"slow for all", 6, true, slow, 5800 * time.Millisecond, never, 320, 0, 0, 130},
		{"slow for all of a large fleet", 30, true, slow, 5800 * time.Millisecond, never, 320, 0, 0, 130},
		{"silent for the holder", 12, false, silent, 5 * time.Second, 700 * time.Millisecond, 320, 0, 10, 1000},
		{"reset for the holder", 12, false, reset, 5 * time.Second, 500 * time.Millisecond, 320, 0, 10, 1000},
		{"refused for the holder", 12, false, refused, 5 * time.Second, 500 * time.Millisecond, 320, 0, 10, 1000},
		{"answers to the holder lost", 12, false, unanswered, 5 * time.Second, 0, 320, 0, 10, 1000},
		{"slow for the holder", 12, false, distant, 5 * time.Second, 1200 * time.Millisecond, 320, 0, 15, 1000},
		{"silent for all", 12, true, silent, 4 * time.Second, never, 100, 10, 0, 1000},
		{"reset for all", 12, true, reset, 4 * time.Second, never, 140, 5, 0, 1000},
		{"refused for all", 12, true, refused, 4 * time.Second, never, 140, 5, 0, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, c.instances, func(ctx context.Context, f *fleet) {
				old, _ := f.currentHolder()
				setFault := func(fault storeFault) {
					for n, client := range f.clients {
						if c.forAll || n == old {
							client.setFault(fault)
						}
					}
				}
				began, appends := time.Now(), f.store.appendCount()
				setFault(c.fault)
				time.AfterFunc(c.lasts, func() { setFault(noFault) })
				f.submitFor(ctx, 8*time.Second)
				appends = f.store.appendCount() - appends
				verdicts, late, held := map[acceptor.Verdict]int{}, 0, time.Duration(0)
				stored := f.storedJobs()
				now, takenAt := f.currentHolder()
				taken := max(takenAt.Sub(began), 0)
				for _, r := range f.results {
					verdicts[r.verdict]++
					held += r.took
					if r.verdict == acceptor.Accepted && r.took > 1200*time.Millisecond {
						late++
					}
					if r.verdict == acceptor.NotRun && stored[r.id] {
						t.Errorf("job %s, refused as not run, is in the ledger", r.id)
					}
				}
				t.Logf("%v, %d late, held for %s in all, %d appends, holder i%d, before i%d, after %s", verdicts, late, held, appends, now, old, taken)
				if verdicts[acceptor.Accepted] < c.accepted || verdicts[acceptor.OutcomeUnknown] > c.unknown || late > c.late || appends > c.appends {
					t.Errorf("%v, %d late, %d appends, want at least %d accepted, at most %d unknown, %d late and %d appends",
						verdicts, late, appends, c.accepted, c.unknown, c.late, c.appends)
				}
				if c.takenWithin == never && taken > 0 || c.takenWithin > 0 && c.takenWithin < never && (taken == 0 || taken > c.takenWithin) {
					t.Errorf("the holder is i%d, before i%d, after %s, want a change within %s", now, old, taken, c.takenWithin)
				}
			})
		})
	}
}
