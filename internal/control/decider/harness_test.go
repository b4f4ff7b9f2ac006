package decider_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/control/dispatcher"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
	"daisyhead/internal/ledger/snapshotter"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/appender"
	"daisyhead/internal/platform/runner"
	"daisyhead/internal/standin/logkeeper"
	"daisyhead/internal/standin/observer"
	"daisyhead/internal/standin/taskrunner"
)

// instance runs the control loop, recorder and follower of one instance.
type instance struct {
	name      string
	b         *testbed
	start     time.Time
	loop      *decider.Loop
	recorder  *recorder.Recorder
	ledger    *appender.Client
	snapshots *appender.Client
	cancel    context.CancelFunc
	mu        sync.Mutex
	view      *decider.View
	frozen    bool
	alarms    []string
}

// testbed runs a log, workers and instances under virtual time, connected by an
// in-memory network.
type testbed struct {
	t         *testing.T
	net       *network
	log       *logkeeper.Keeper
	workers   map[string]*taskrunner.Runner
	mu        sync.Mutex
	instances []*instance
	rng       *rand.Rand
	outages   []observer.Outage
	// domains maps each worker to its failure domain.
	domains map[string]string
	// boots counts the started instances, so that each has its own writer name.
	boots   int
	leaseMS int64
	renewMS int64
	ctx     context.Context
}

const (
	leaseMS         = 4000
	renewMS         = 1000
	maxStateAgeMS   = 2000
	holderTimeoutMS = 1500
	startLeaseMS    = 4000
	messageLifeMS   = 2000
)

// newTestbed returns a testbed with a log but without workers and instances.
func newTestbed(t *testing.T, seed uint64, log logkeeper.Config) *testbed {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		// synctest requires every goroutine of its bubble to exit.
		cancel()
		time.Sleep(2 * time.Minute)
	})
	b := &testbed{
		t: t, leaseMS: leaseMS, renewMS: renewMS, log: logkeeper.New(log), workers: map[string]*taskrunner.Runner{}, ctx: ctx, domains: map[string]string{},
		net: &network{handlers: map[string]http.Handler{}, cut: map[[2]string]bool{}, delay: map[string]time.Duration{}},
		rng: rand.New(rand.NewPCG(seed, 1)),
	}
	b.net.handlers["10.0.0.1:1"] = b.log
	return b
}

const logAddress = "10.0.0.1:1"

// startWorkers starts workers with 8 accelerators each: two domains with two racks
// of two workers. It returns the ticket that declares them.
func (b *testbed) startWorkers() specifier.Ticket {
	t := specifier.Ticket{Number: 1, Operator: "op"}
	for d := range 2 {
		domain := fmt.Sprintf("d%d", d)
		t.Domains = append(t.Domains, specifier.Domain{Name: domain, Region: "r", State: specifier.DomainIn})
		for r := range 2 {
			g := specifier.WorkerGroup{Name: fmt.Sprintf("%s-r%d", domain, r), Domain: domain, Rack: fmt.Sprintf("%s-r%d", domain, r)}
			for w := range 2 {
				spec := specifier.Worker{
					Name: fmt.Sprintf("%s-w%d", g.Name, w), Address: fmt.Sprintf("10.1.%d.%d:1", d, 10*r+w), Processors: 64, MemoryMB: 64000, Accelerators: 8,
				}
				run := taskrunner.New(taskrunner.Config{Name: spec.Name, Processors: 64, MemoryMB: 64000, Accelerators: 8, CheckpointTime: 200 * time.Millisecond})
				b.workers[spec.Name] = run
				b.net.listen(spec.Address, run)
				b.domains[spec.Name] = domain
				g.Workers = append(g.Workers, spec)
			}
			t.WorkerGroups = append(t.WorkerGroups, g)
		}
	}
	t.Workspaces = []specifier.Workspace{
		{Name: "a", Guarantees: []specifier.Guarantee{{Name: "pair", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack, Count: 1}}},
		{Name: "b"},
	}
	return t
}

// startInstance starts an instance from the latest snapshot.
func (b *testbed) startInstance(name string) *instance {
	b.boots++
	ctx, cancel := context.WithCancel(b.ctx)
	tr := transport{b.net, name}
	i := &instance{
		name: name, b: b, start: time.Now(), cancel: cancel, view: &decider.View{},
		ledger: appender.New(tr, []string{logAddress}, "ledger"), snapshots: appender.New(tr, []string{logAddress}, "snapshots"),
	}
	writer := fmt.Sprintf("%s/%d", name, b.boots)
	i.recorder = recorder.New(recorder.Config{Writer: writer, AppendTimeout: time.Second, AppendsPerSecond: 50, AppendBurst: 50}, i.ledger)
	state := i.loadInitialState(ctx)
	d := &dispatcher.Dispatcher{Recorder: i.recorder, Workers: runner.New(tr), Snapshots: i, Publisher: i, Alarms: i, ClockStart: i.start}
	model := decider.New(decider.Config{
		Name: name, Writer: writer, LeaseMS: b.leaseMS, RenewMS: b.renewMS, MessageLifeMS: messageLifeMS, HoldMS: 4000, StartWindowMS: 3000,
		StartLeaseMS: startLeaseMS, MaxStateAgeMS: maxStateAgeMS, HolderTimeoutMS: holderTimeoutMS, MemberTimeoutMS: 3000, LostAfterMS: 2*b.leaseMS + 1000, MarginMS: 500,
		PlanMS: 50, SnapshotMS: 5000, SnapshotRecords: 40,
	}, state)
	i.loop = decider.NewLoop(model, d, i.start, 100*time.Millisecond)
	d.SetSink(ctx, i.loop.Send)
	next := state.Next
	f := &recorder.Follower{Log: i.ledger, Loader: i, Sink: i, Wait: 300 * time.Millisecond, Timeout: time.Second}
	go i.loop.Run(ctx)
	go i.recorder.Run(ctx)
	go f.Run(ctx, next)
	go i.forwardTickets(ctx, appender.New(tr, []string{logAddress}, "config"))
	go i.heartbeat(ctx, writer)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = append(b.instances, i)
	return i
}

// live returns the instances that have not been killed.
func (b *testbed) live() []*instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.instances)
}

// loadInitialState loads the latest snapshot, retrying until the log answers. It
// returns an empty state if there is no snapshot.
func (i *instance) loadInitialState(ctx context.Context) *reducer.State {
	for {
		lctx, cancel := context.WithTimeout(ctx, 2*time.Second)
		state, err := snapshotter.Load(lctx, i.snapshots, 0)
		cancel()
		if err == nil && state == nil {
			return reducer.New()
		}
		if err == nil {
			return state
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// heartbeat sends this instance's heartbeats to the instances it can reach.
func (i *instance) heartbeat(ctx context.Context, writer string) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		v := i.View()
		hb := peerencoder.Heartbeat{
			Name: i.name, Writer: writer, Term: v.Term, Next: v.Next, Epoch: v.Epoch, Ready: v.CaughtUp,
			LogAgeMS: time.Since(i.start).Milliseconds() - v.StateAsOfMS,
		}
		for _, other := range i.b.live() {
			if other != i && ctx.Err() == nil && !i.isFrozen() && !i.b.net.isCut(i.name, other.name) {
				go other.loop.Send(decider.HeartbeatMsg{Heartbeat: hb})
			}
		}
	}
}

// forwardTickets sends new tickets from the config stream to the control loop while
// this instance is the holder.
func (i *instance) forwardTickets(ctx context.Context, log *appender.Client) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		v := i.View()
		if !v.IsHolder {
			continue
		}
		rctx, cancel := context.WithTimeout(ctx, time.Second)
		page, err := log.Read(rctx, v.ConfigNext, 50, 0)
		cancel()
		if err != nil {
			continue
		}
		msg := decider.ConfigReadMsg{}
		for _, r := range page.Records {
			received := encoder.TicketReceived{ConfigOffset: r.Offset}
			if err := serializer.Unmarshal(r.Data, &received.Ticket); err != nil {
				received.Fault = err.Error()
			}
			msg.Tickets = append(msg.Tickets, received)
		}
		i.loop.Send(msg)
	}
}

func (i *instance) View() *decider.View {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.view
}

func (i *instance) Publish(v *decider.View) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.view = v
}

func (i *instance) HandleRecords(records []recorder.DecodedRecord, sent time.Time, caughtUp bool) {
	msg := decider.RecordsReadMsg{SentMS: sent.Sub(i.start).Milliseconds(), CaughtUp: caughtUp}
	for _, r := range records {
		msg.Records = append(msg.Records, decider.ReadRecord(r))
	}
	i.loop.Send(msg)
}

func (i *instance) HandleSnapshot(s *reducer.State) { i.loop.Send(decider.StateLoadedMsg{State: s}) }

func (i *instance) RaiseAlarm(name, detail string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.alarms = append(i.alarms, name+": "+detail)
}

func (i *instance) Load(ctx context.Context, atLeast uint64) (*reducer.State, error) {
	return snapshotter.Load(ctx, i.snapshots, atLeast)
}

func (i *instance) Confirm(ctx context.Context, next, hash uint64) error {
	return snapshotter.Confirm(ctx, i.snapshots, next, hash)
}

func (i *instance) Write(ctx context.Context, next uint64, data []byte) (uint64, error) {
	return snapshotter.Write(ctx, i.snapshots, next, data)
}

// kill stops the instance without a graceful shutdown.
func (i *instance) kill() {
	i.cancel()
	i.b.mu.Lock()
	defer i.b.mu.Unlock()
	i.b.instances = slices.DeleteFunc(i.b.instances, func(o *instance) bool { return o == i })
}

func (i *instance) isFrozen() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.frozen
}

// freeze blocks the control loop for the duration, similar to SIGSTOP.
func (i *instance) freeze(d time.Duration) {
	i.mu.Lock()
	i.frozen = true
	i.mu.Unlock()
	go i.loop.Send(decider.InspectMsg{Done: make(chan struct{}), Read: func(*reducer.State, decider.ControlStatus) {
		time.Sleep(d)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.frozen = false
	}})
}

// inspect runs read on the instance's state in the control goroutine.
func (i *instance) inspect(read func(*reducer.State)) {
	done := make(chan struct{})
	if i.loop.Send(decider.InspectMsg{Done: done, Read: func(s *reducer.State, _ decider.ControlStatus) { read(s) }}) {
		<-done
	}
}

// holder returns the instance that holds the term and is not frozen, or nil.
func (b *testbed) holder() *instance {
	for _, i := range b.live() {
		if i.View().IsHolder && !i.isFrozen() {
			return i
		}
	}
	return nil
}

// await polls the condition and fails the test if it does not hold within the limit.
func (b *testbed) await(what string, limit time.Duration, ok func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Errorf("condition not met within %v: %s", limit, what)
	b.dump()
}

// dump logs the status of every instance and the full state of the first one.
func (b *testbed) dump() {
	for _, i := range b.live() {
		v := i.View()
		b.t.Logf("  %s: frozen %v, is holder %v, holder %s, caught up %v, state age %d ms, queued %d", i.name, i.isFrozen(), v.IsHolder, v.Holder, v.CaughtUp, time.Since(i.start).Milliseconds()-v.StateAsOfMS, i.recorder.Queued())
	}
	for _, i := range b.live() {
		i.inspect(func(s *reducer.State) {
			for _, name := range reducer.SortedKeys(s.Domains) {
				b.t.Logf("  domain %s %+v", name, s.Domains[name])
			}
			b.t.Logf("  workers %+v, state time %d ms", s.Workers, s.NowMS)
			b.t.Logf("  verdicts %+v, next ticket at %d", s.Verdicts, s.ConfigNext)
			b.t.Logf("%s: term %d of %s, next %d, alarms %v", i.name, s.Term, s.Holder, s.Next, i.alarms)
			for _, id := range reducer.SortedKeys(s.Jobs) {
				j := s.Jobs[id]
				b.t.Logf("  %s %s %s", j.Spec.Name, j.Status, j.WaitingFor)
				for _, e := range j.Events {
					b.t.Logf("    %s %s", time.UnixMilli(e.AtMS).UTC().Format("04:05.000"), e.Text)
				}
			}
		})
		return
	}
}

// publishAndAwait publishes the ticket and waits until a holder has accepted it.
func (b *testbed) publishAndAwait(t specifier.Ticket) {
	b.t.Helper()
	b.publish(t)
	b.await("a holder has accepted the ticket", 10*time.Second, func() bool { return b.accepted(t.Number) })
}

// accepted reports whether the holder has accepted the ticket with this number.
func (b *testbed) accepted(number uint64) (ok bool) {
	if h := b.holder(); h != nil {
		h.inspect(func(s *reducer.State) { _, ok = s.Tickets[number] })
	}
	return ok
}

// publish appends the ticket to the config stream, retrying until it succeeds.
func (b *testbed) publish(t specifier.Ticket) {
	data, err := serializer.Marshal(t)
	if err != nil {
		b.t.Fatal(err)
	}
	log := appender.New(transport{b.net, "operator"}, []string{logAddress}, "config")
	// Retrying after a lost reply is safe: a ticket with the same number and content
	// counts as a repeat.
	for {
		ctx, cancel := context.WithTimeout(b.ctx, time.Second)
		_, err := log.Append(ctx, data)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// submit submits a job through a random live instance and returns its ID.
func (b *testbed) submit(j specifier.Job) string {
	b.t.Helper()
	j.Key = j.Name
	j = j.Normalize()
	b.propose(encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: j.ID(), By: "caller", Job: j}})
	return j.ID()
}

func (b *testbed) cancelJob(id string) {
	b.propose(encoder.Entry{CancelRequested: &encoder.CancelRequested{ID: id, By: "caller"}})
}

// propose retries on random instances until one of them has recorded the entry.
func (b *testbed) propose(e encoder.Entry) {
	b.t.Helper()
	for range 40 {
		i := b.randomInstance()
		ctx, cancel := context.WithTimeout(b.ctx, 3*time.Second)
		e.At = time.Now().UnixMilli()
		_, err := i.recorder.Propose(ctx, e)
		cancel()
		if err == nil {
			return
		}
	}
	b.t.Fatal("no instance recorded the entry within 40 attempts")
}

// job returns a copy of the job from the first instance that knows it, or a zero Job.
func (b *testbed) job(id string) (copied reducer.Job) {
	for _, i := range b.live() {
		if i.isFrozen() {
			continue
		}
		i.inspect(func(s *reducer.State) {
			if j, ok := s.Jobs[id]; ok {
				copied = *j
			}
		})
		if copied.ID != "" {
			return copied
		}
	}
	return copied
}

func (b *testbed) status(id string) reducer.JobStatus { return b.job(id).Status }

func (b *testbed) awaitStatus(id string, limit time.Duration, want reducer.JobStatus) {
	b.t.Helper()
	b.await(fmt.Sprintf("job %s is %s", id, want), limit, func() bool { return b.status(id) == want })
}

// checkInvariants fails the test if the events of the workers show that a job ran twice
// against its rules, part of a gang ran alone for too long, or a task started in a domain
// that was out of service.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	var events []observer.Event
	for _, name := range reducer.SortedKeys(b.workers) {
		events = append(events, b.workers[name].Events()...)
	}
	slices.SortStableFunc(events, func(x, y observer.Event) int { return x.At.Compare(y.At) })
	r := observer.CheckInvariants(events, observer.Rules{
		PartialBound: (startLeaseMS + 500) * time.Millisecond, DomainBound: (maxStateAgeMS + messageLifeMS) * time.Millisecond,
		Outages: b.outages, Domains: b.domains,
	})
	if r.RanTwice+r.PartialGangs+r.StartsInOutDomains > 0 {
		b.t.Errorf("invariants violated: %+v", r)
		for _, e := range events {
			b.t.Logf("  %s %s %s attempt %d on %s, %d of %d tasks", e.At.UTC().Format("04:05.000"), e.Name, e.Kind, e.Attempt, e.Worker, e.Tasks, e.GangTasks)
		}
		b.dump()
	}
}

// startsOf returns the number of attempts of the job that started on any worker.
func (b *testbed) startsOf(id string) (attempts int) {
	seen := map[int]bool{}
	for _, w := range b.workers {
		for _, e := range w.Events() {
			if e.Job == id && e.Kind == observer.KindStarted {
				seen[e.Attempt] = true
			}
		}
	}
	return len(seen)
}

// workerOf returns the first worker of the job's active attempt.
func (b *testbed) workerOf(id string) string {
	j := b.job(id)
	return j.ActiveAttempt().Placements[0].Worker
}

// randomInstance returns a live instance drawn from the seeded generator.
func (b *testbed) randomInstance() *instance {
	live := b.live()
	return live[b.rng.IntN(len(live))]
}
