package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// Latencies, intervals and time limits of the simulated platform, in milliseconds.
const (
	appendLatencyMS       = 10
	defaultOrderLatencyMS = 2
	tickIntervalMS        = 50
	holderReadIntervalMS  = 30
	otherReadIntervalMS   = 200
	requestTimeoutMS      = 700
	leaseMS               = 6000
	gangTimeoutMS         = 3000
	stopDurationMS        = 300
	permitValidityMS      = 3000
	// wallStartMS is the wall-clock time at which the simulation begins.
	wallStartMS = 1_700_000_000_000
)

// platformRecordBytes is the size from which on the simulated platform refuses a record.
const platformRecordBytes = 256 << 10

// event is a function that runs at a virtual time. Events with equal times run in
// the order in which they were added.
type event struct {
	atMS     int64
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMS < q[j].atMS || q[i].atMS == q[j].atMS && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation runs instances and workers against a simulated platform in virtual
// time. All randomness comes from its seed.
type simulation struct {
	t   testing.TB
	rng *rand.Rand
	// platformRNG is the source of what the platform may do at any time. It is apart from
	// rng so that it doesn't change the jobs and faults of a seed.
	platformRNG *rand.Rand
	nowMS       int64
	queue       eventQueue
	sequence    int

	ledger    ledger
	config    *describer.Configuration
	instances []*instance
	workers   map[string]*fakeWorker
	workerIDs []string
	checker   *invariantChecker

	// orderLatencyMS is the one-way latency of an order and of its answer.
	orderLatencyMS int64
	// orderCongestionMS is added to the latency of an order for each order in flight. An
	// order that takes longer than requestTimeoutMS is executed but gets no answer.
	orderCongestionMS float64
	ordersInFlight    int
	// maxLatencyMS, if set, bounds the latency of an order.
	maxLatencyMS     int64
	unansweredOrders int
	// passMS is how long each scheduling pass takes.
	passMS int64
	passes int
	// permittedWorkers are the workers that jobs of advised queues may use.
	permittedWorkers map[string]bool
	// crashDelayMS is how long a task that crashes its workers runs before it does so.
	crashDelayMS int64
	// lostAnswerRate is the fraction of appends that succeed but whose answer is lost.
	lostAnswerRate float64
	// lateOrderRate is the fraction of orders that get no answer and are executed late.
	lateOrderRate float64
	// lateOrder, if set, decides in place of lateOrderRate which orders get no answer, and
	// how long after they were sent they are executed.
	lateOrder func(worker string, c scheduler.Command) (delayMS int64, late bool)
	// lateResults are the results of the orders that were executed late because of lateOrder.
	lateResults []scheduler.OrderResult
	// lateHoldRate is the fraction of holds that get no answer and are executed late.
	lateHoldRate float64
	// lostOrderRate is the fraction of starts and stops that are executed but not answered.
	lostOrderRate float64
	// maxStopMS, if set, bounds the random duration of a stop.
	maxStopMS int64
	// stored holds the IDs of the requests to the holder that were answered with StoreDone.
	stored map[uint64]bool
	// roomGraceMS is how long a capacity still counts after a worker's has shrunk.
	roomGraceMS int64
	// closings are the closing records that were stored, by their terms.
	closings map[uint64]storedClosing
	// trace receives the events of all instances, unless it is nil.
	trace func(instance string, e scheduler.EventCmd)
}

func newSimulation(t testing.TB, seed uint64, instances int) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), platformRNG: rand.New(rand.NewPCG(seed, 2)), workers: map[string]*fakeWorker{}, stored: map[uint64]bool{}, checker: newInvariantChecker(), orderLatencyMS: defaultOrderLatencyMS, crashDelayMS: 10}
	sim.config = &describer.Configuration{Version: 1, Queues: []describer.Queue{
		{Name: "urgent", Host: "h", PathPrefix: "/u/", Service: "s", Priority: 0, Attempts: 3, Stretch: 1.5, ObjectiveMS: 250},
		{Name: "render", Host: "h", PathPrefix: "/r/", Service: "s", Priority: 1, Attempts: 3, Stretch: 3, ObjectiveMS: 1000},
		{Name: "advised", Host: "h", PathPrefix: "/a/", Service: "s", Priority: 1, Attempts: 3, Stretch: 3, ObjectiveMS: 1000, Advised: true},
		{Name: "batch", Host: "h", PathPrefix: "/b/", Service: "s", Priority: 2, Attempts: 3, Stretch: 3, ObjectiveMS: 3000},
	}, Workspaces: []describer.Workspace{{Name: "a", GuaranteedAccelerators: 32}, {Name: "b", GuaranteedAccelerators: 32}}}
	sim.config.BuildIndex()
	for i := range instances {
		sim.instances = append(sim.instances, &instance{sim: sim, name: fmt.Sprintf("i%d", i), power: 400})
	}
	return sim
}

// addWorkers adds racks of workers with 8 accelerators each.
func (sim *simulation) addWorkers(racks, perRack int) {
	for r := range racks {
		for i := range perRack {
			id := fmt.Sprintf("w%d-%d", r, i)
			sim.workerIDs = append(sim.workerIDs, id)
			sim.workers[id] = &fakeWorker{sim: sim, id: id, clockRate: 1 - maxClockLag*sim.platformRNG.Float64(), incarnationStartMS: 1, spec: describer.Worker{
				ID: id, Address: id, Service: "s", Domain: fmt.Sprintf("d%d", r%3), Rack: fmt.Sprintf("r%d", r),
				Labels: []string{"a", fmt.Sprintf("r%d", r)}, Room: describer.Resources{CPU: 64000, MemoryMB: 131072, Accelerators: 8},
			}, runs: map[scheduler.TaskRef]*fakeRun{}, highestEndedRun: map[string]int{}}
		}
	}
}

// after runs a function once the given virtual time has passed.
func (sim *simulation) after(ms int64, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{atMS: sim.nowMS + ms, sequence: sim.sequence, run: run})
}

// run executes events in order until the given virtual time.
func (sim *simulation) run(untilMS int64) {
	for len(sim.queue) > 0 && sim.queue[0].atMS <= untilMS {
		e := heap.Pop(&sim.queue).(event)
		sim.nowMS = e.atMS
		e.run()
	}
	sim.nowMS = untilMS
}

func (sim *simulation) startAll() {
	for _, i := range sim.instances {
		i.start()
	}
}

// holder returns the instance that holds the term and schedules, or nil.
func (sim *simulation) holder() *instance {
	for _, i := range sim.instances {
		if i.alive && i.model.Deciding() {
			return i
		}
	}
	return nil
}

// submit writes a job to the ledger, as any instance does for a caller.
func (sim *simulation) submit(queue, workspace, id string, steps ...describer.Step) {
	sim.submitJob(describer.Job{ID: id, Workspace: workspace, Queue: queue, Spec: "x", Steps: steps})
}

func (sim *simulation) submitJob(j describer.Job) {
	q, _ := sim.config.Queue(j.Queue)
	sim.checker.jobs[j.ID] = &observedJob{steps: j.Steps, submittedMS: sim.nowMS, queue: q, workspace: j.Workspace}
	sim.store(reducer.SubmissionRecord(reducer.Submission{Job: j, Queue: q, AcceptedMS: wallStartMS + sim.nowMS}))
}

func (sim *simulation) cancel(id string) {
	sim.store(reducer.CancelRecord(id, reducer.Cancel{AtMS: wallStartMS + sim.nowMS}))
	sim.checker.jobs[id].cancelledMS = sim.nowMS
}

// store appends a caller's record to the ledger. In half of the cases it also sends
// the record to the holder, whose duplicate must change nothing.
func (sim *simulation) store(r reducer.Record) {
	if h := sim.holder(); h != nil && sim.rng.IntN(2) == 0 {
		h.send(scheduler.StoreMsg{RequestID: uint64(sim.nowMS), Record: r})
	}
	sim.ledger.records = append(sim.ledger.records, r)
}

// jobState returns a job's state according to the ledger, or "" if it is unknown.
func (sim *simulation) jobState(id string) reducer.State {
	t := reducer.New()
	for i, r := range sim.ledger.records {
		if err := t.Apply(uint64(i), r); err != nil {
			sim.t.Fatal(err)
		}
	}
	j, ok := t.Lookup(id)
	if !ok {
		return ""
	}
	return j.State()
}

// workerTicket returns a worker's current ticket, which changes every permitValidityMS.
func (sim *simulation) workerTicket(id string) string {
	return fmt.Sprintf("%s/%d", id, sim.nowMS/permitValidityMS)
}

// ledger simulates the platform's log of one keyed topic.
type ledger struct {
	records      []reducer.Record
	epoch        uint64
	nextSequence uint64
	down         bool
	// slowMS is added to the time of each append.
	slowMS int64
}

func (l *ledger) appendMS() int64 { return appendLatencyMS + l.slowMS }

// claim records a new term if its number is above the current epoch. A claim of the
// current epoch is taken for a repetition of the one that was recorded.
func (l *ledger) claim(c scheduler.ClaimCmd) (errText string) {
	switch {
	case c.Term.Number < l.epoch:
		return "a higher term has been recorded"
	case c.Term.Number > l.epoch:
		l.epoch, l.nextSequence = c.Term.Number, 1
		l.records = append(l.records, reducer.TermRecord(c.Term))
	}
	return ""
}

// append records decisions of a term. It rejects terms below the epoch and ignores
// sequence numbers that were recorded before.
func (l *ledger) append(c scheduler.AppendCmd) scheduler.AppendResult {
	if c.Term > l.epoch {
		l.epoch, l.nextSequence = c.Term, c.Sequence
	}
	switch {
	case c.Term < l.epoch:
		return scheduler.AppendFenced
	case c.Sequence < l.nextSequence:
		return scheduler.AppendDone
	case c.Sequence > l.nextSequence:
		panic("gap in the sequence of appends")
	}
	l.nextSequence++
	l.records = append(l.records, c.Records...)
	return scheduler.AppendDone
}

// instance simulates one process of the system, across restarts.
type instance struct {
	sim  *simulation
	name string
	// power is the share of a core, in thousandths.
	power int
	// incarnation changes with each start and kill, so that events of an earlier
	// process are dropped.
	incarnation int
	alive       bool
	// frozen is set while the process stands still, as in a suspension.
	frozen bool
	// ledgerUnreachable is set while this instance can't reach the ledger or the list of
	// workers.
	ledgerUnreachable bool
	// cutOff is set while this instance can't reach the workers.
	cutOff bool
	// suspendedMS is for how long the process was suspended. The monotonic clock does not
	// count that time.
	suspendedMS int64
	// wallOffsetMS is how far the wall clock is ahead.
	wallOffsetMS int64
	// readsFail is set while this instance can't read the ledger but can append to it.
	readsFail bool
	model     *scheduler.Model
	startMS   int64
	// loadMS is how long a load of the whole ledger takes. loading is set meanwhile;
	// unitsAsOf and loadSentMS are the end of the ledger and the time at its begin.
	loadMS     int64
	loading    bool
	unitsAsOf  int
	loadSentMS int64
	// nextOffset is the offset of the next ledger record to read.
	nextOffset uint64
	loaded     bool
	// pollsWorkers is set while the instance polls the list of workers.
	pollsWorkers bool
	// backlog holds the messages that arrived while the instance was frozen.
	backlog []func()
}

// start starts a new process of the instance, which knows nothing of earlier ones.
func (i *instance) start() {
	i.incarnation++
	i.alive, i.loaded, i.loading, i.pollsWorkers, i.backlog = true, false, false, false, nil
	i.startMS, i.suspendedMS = i.sim.nowMS, 0
	i.model = scheduler.New(scheduler.Config{
		Instance: i.name, Holder: fmt.Sprintf("%s/%d", i.name, i.incarnation), Power: i.power,
		LeaseMS: leaseMS, GangMS: gangTimeoutMS, StopMS: stopDurationMS, ReclaimMS: reclaimMS, RetainMS: 600000,
		LimitTolerance: limitTolerance,
	})
	i.sim.ledger.records = append(i.sim.ledger.records, reducer.InstanceRecord(reducer.Instance{
		Name: i.name, Holder: fmt.Sprintf("%s/%d", i.name, i.incarnation), Power: i.power,
	}))
	i.send(scheduler.ConfiguredMsg{Configuration: i.sim.config})
	i.repeat(tickIntervalMS, func() int64 {
		i.send(scheduler.TickMsg{})
		i.reportCompletedJobs()
		return tickIntervalMS
	})
	i.repeat(1, i.readLedger)
	i.repeat(1, i.readWorkers)
}

// reportCompletedJobs tells the checker which jobs callers of this instance see as
// completed.
func (i *instance) reportCompletedJobs() {
	for id, j := range i.model.Table.Jobs {
		if _, known := i.model.Table.Lookup(id); known && j.State() == reducer.StateCompleted {
			i.sim.checker.checkShownCompleted(i.sim, id)
		}
	}
}

func (i *instance) kill() { i.alive = false; i.incarnation++ }

// repeat calls step, which returns the delay until its next call, until the instance is
// killed. A frozen instance skips its calls.
func (i *instance) repeat(firstMS int64, step func() int64) {
	incarnation := i.incarnation
	var next func()
	next = func() {
		if i.incarnation != incarnation || !i.alive {
			return
		}
		if i.frozen {
			i.sim.after(tickIntervalMS, next)
			return
		}
		i.sim.after(step(), next)
	}
	i.sim.after(firstMS, next)
}

// send delivers a message to the model and executes the commands that it returns.
func (i *instance) send(msg scheduler.Msg) {
	if !i.alive {
		return
	}
	if i.frozen {
		i.backlog = append(i.backlog, func() { i.send(msg) })
		return
	}
	at := scheduler.Instant{MonoMS: i.monoMS(), WallMS: wallStartMS + i.sim.nowMS + i.wallOffsetMS, SuspendedMS: i.suspendedMS}
	for _, c := range i.model.Update(at, msg) {
		i.execute(c)
	}
}

// monoMS returns the time on the process's monotonic clock.
func (i *instance) monoMS() int64 { return i.sim.nowMS - i.startMS - i.suspendedMS }

// suspend lets the process stand still for a time that its monotonic clock does not count.
func (i *instance) suspend(forMS int64) {
	i.frozen = true
	incarnation := i.incarnation
	i.sim.after(forMS, func() {
		if i.incarnation == incarnation {
			i.suspendedMS += forMS
			i.thaw()
		}
	})
}

// thaw ends a freeze and delivers the messages that arrived meanwhile.
func (i *instance) thaw() {
	i.frozen = false
	backlog := i.backlog
	i.backlog = nil
	for _, run := range backlog {
		run()
	}
}

// readLedger delivers the whole ledger as a table first and then its new records. It
// returns the pause before the next read.
func (i *instance) readLedger() int64 {
	l := &i.sim.ledger
	if l.down || i.ledgerUnreachable || i.readsFail {
		i.send(scheduler.LedgerFailedMsg{Err: "the ledger is unreachable"})
		return otherReadIntervalMS
	}
	mono := i.monoMS()
	if !i.loaded && i.loadMS > 0 && !i.loading {
		i.loading, i.unitsAsOf, i.loadSentMS = true, len(l.records), mono
		return i.loadMS
	}
	if !i.loaded {
		i.load(mono)
		return 1
	}
	from := i.nextOffset
	records := slices.Clone(l.records[from:])
	i.nextOffset = uint64(len(l.records))
	i.send(scheduler.LedgerReadMsg{From: from, Records: records, AsOfMS: mono, CaughtUp: true})
	if i.model.Deciding() {
		return holderReadIntervalMS
	}
	return otherReadIntervalMS
}

// load delivers the whole ledger as a table. If it takes time, the records of units are
// those from its begin, and all others those from its end.
func (i *instance) load(mono int64) {
	l := &i.sim.ledger
	next, asOf := len(l.records), mono
	if i.loading {
		next, asOf = i.unitsAsOf, i.loadSentMS
	}
	t := reducer.New()
	for n, r := range l.records {
		if n >= next && strings.HasPrefix(r.Key, "unit/") {
			continue
		}
		if err := t.Apply(uint64(n), r); err != nil {
			i.sim.t.Fatal(err)
		}
	}
	t.Next = uint64(next)
	i.loaded, i.loading, i.nextOffset = true, false, t.Next
	i.send(scheduler.LedgerLoadedMsg{Table: t, AsOfMS: asOf})
}

// readWorkers delivers the list of workers if the model polls it. It returns the pause
// before the next read.
func (i *instance) readWorkers() int64 {
	if i.pollsWorkers && !i.sim.ledger.down && !i.ledgerUnreachable {
		var list []describer.Worker
		for _, name := range i.sim.workerIDs {
			if f := i.sim.workers[name]; !f.unlisted && !f.expired {
				list = append(list, f.spec)
			}
		}
		i.send(scheduler.ListedMsg{Workers: list})
		i.send(scheduler.ListReadMsg{AsOfMS: i.monoMS()})
	}
	return 300
}

// askAliveTimeoutMS is how long an instance waits for another one to answer.
const askAliveTimeoutMS = 250

// askAlive asks the process that holds the term. It answers unless it has ended, stands
// still, or another process has taken its place.
func (i *instance) askAlive(c scheduler.AskAliveCmd) {
	for _, o := range i.sim.instances {
		if o.alive && !o.frozen && c.Holder == fmt.Sprintf("%s/%d", o.name, o.incarnation) {
			i.reply(i.sim.orderLatencyMS, func() scheduler.Msg { return scheduler.AskedAliveMsg{Term: c.Term, Alive: true} })
			return
		}
	}
	i.reply(askAliveTimeoutMS, func() scheduler.Msg { return scheduler.AskedAliveMsg{Term: c.Term, Err: "no answer"} })
}

// reply sends a message to the instance later, unless it has been restarted by then.
func (i *instance) reply(afterMS int64, msg func() scheduler.Msg) {
	incarnation := i.incarnation
	i.sim.after(afterMS, func() {
		if i.incarnation == incarnation {
			i.send(msg())
		}
	})
}

// execute executes a command of the model on the simulated platform.
func (i *instance) execute(c scheduler.Command) {
	sim := i.sim
	switch c := c.(type) {
	case scheduler.EventCmd:
		if sim.trace != nil {
			sim.trace(i.name, c)
		}
	case scheduler.ReadCmd:
	case scheduler.StoredCmd:
		if c.Result == scheduler.StoreDone {
			sim.stored[c.RequestID] = true
		}
	case scheduler.PassedCmd:
		sim.passes++
		i.send(scheduler.PassTookMsg{TookMS: sim.passMS})
	case scheduler.PollWorkersCmd:
		i.pollsWorkers = c.On
	case scheduler.ClaimCmd:
		if sim.ledger.down || i.ledgerUnreachable {
			i.reply(requestTimeoutMS, func() scheduler.Msg { return scheduler.ClaimedMsg{Err: "the ledger is unreachable"} })
			return
		}
		i.reply(sim.ledger.appendMS(), func() scheduler.Msg {
			return scheduler.ClaimedMsg{Err: sim.ledger.claim(c)}
		})
	case scheduler.ProbeCmd:
		if sim.ledger.down || i.ledgerUnreachable {
			i.reply(requestTimeoutMS, func() scheduler.Msg {
				return scheduler.ProbedMsg{Term: c.Term, TookMS: requestTimeoutMS, Err: "the ledger is unreachable"}
			})
			return
		}
		i.reply(sim.ledger.appendMS(), func() scheduler.Msg {
			return scheduler.ProbedMsg{Term: c.Term, TookMS: sim.ledger.appendMS()}
		})
	case scheduler.AdviseCmd:
		asked := i.monoMS()
		i.reply(sim.orderLatencyMS, func() scheduler.Msg {
			msg := scheduler.AdvisedMsg{Step: c.Step, Workers: c.Workers, AskedMS: asked, ValidMS: permitValidityMS}
			for _, id := range c.Workers {
				if sim.permittedWorkers[id] {
					msg.Permits = append(msg.Permits, scheduler.Permit{Worker: id, Ticket: sim.workerTicket(id)})
				}
			}
			return msg
		})
	case scheduler.RelayOutcomesCmd:
		for _, o := range sim.instances {
			if o.name == c.To && o.alive && !o.frozen {
				sim.after(sim.orderLatencyMS, func() { o.send(scheduler.OutcomesMsg{Outcomes: c.Outcomes}) })
			}
		}
	case scheduler.WriteOutcomesCmd:
		if !sim.ledger.down && !i.ledgerUnreachable {
			sim.after(appendLatencyMS, func() { sim.ledger.records = append(sim.ledger.records, c.Outcomes...) })
		}
	case scheduler.AskAliveCmd:
		i.askAlive(c)
	case scheduler.AppendClosingCmd:
		i.appendClosing(c)
	case scheduler.YieldCmd:
		for _, o := range sim.instances {
			if o.name == c.To {
				sim.after(sim.orderLatencyMS, func() { o.send(scheduler.YieldMsg{Term: c.Term}) })
			}
		}
	case scheduler.AppendCmd:
		i.append(c)
	case scheduler.HoldCmd:
		sim.workers[c.Worker].handleHold(i, c, sim.workers[c.Worker].hold)
	case scheduler.StartCmd:
		f := sim.workers[c.Worker]
		i.sendOrder(f, c, func() scheduler.OrderResult { return f.start(c) }, func(r scheduler.OrderResult) scheduler.Msg {
			return scheduler.StartedMsg{OrderID: c.OrderID, Term: c.Term, Worker: c.Worker, Task: c.Task, Result: r}
		})
	case scheduler.StopCmd:
		f := sim.workers[c.Worker]
		i.sendOrder(f, c, func() scheduler.OrderResult { return f.stop(c) }, func(r scheduler.OrderResult) scheduler.Msg {
			return scheduler.StoppedMsg{OrderID: c.OrderID, Term: c.Term, Worker: c.Worker, Task: c.Task, Result: r}
		})
	}
}

// append executes an AppendCmd. An append whose answer is lost takes effect, but is
// answered only with AppendUnknown, after the time limit.
func (i *instance) append(c scheduler.AppendCmd) {
	sim := i.sim
	msg := scheduler.AppendedMsg{Term: c.Term, Sequence: c.Sequence, Result: scheduler.AppendUnknown, Err: "no answer"}
	oversized := slices.ContainsFunc(c.Records, func(r reducer.Record) bool { return len(r.Key)+len(r.Value) > platformRecordBytes })
	if sim.ledger.down || i.ledgerUnreachable || oversized {
		msg.Refused = true
		i.reply(sim.orderLatencyMS, func() scheduler.Msg { return msg })
		return
	}
	lost := sim.rng.Float64() < sim.lostAnswerRate
	incarnation := i.incarnation
	sim.after(sim.ledger.appendMS(), func() {
		result := sim.ledger.append(c)
		if lost || i.incarnation != incarnation {
			return
		}
		msg.Result, msg.Err = result, ""
		i.send(msg)
	})
	if lost {
		i.reply(requestTimeoutMS, func() scheduler.Msg { return msg })
	}
}

// The shortest and the longest delay of a late order.
const (
	minOrderDelayMS = 2000
	maxOrderDelayMS = 12000
)

// delayOrder returns whether an order is late, and how long after it was sent it is executed.
func (sim *simulation) delayOrder(f *fakeWorker, c scheduler.Command) (delayMS int64, late bool) {
	if sim.lateOrder != nil {
		return sim.lateOrder(f.id, c)
	}
	if sim.rng.Float64() >= sim.lateOrderRate {
		return 0, false
	}
	if f.replaced || f.unreachable || f.down {
		return 0, true
	}
	return minOrderDelayMS + sim.rng.Int64N(maxOrderDelayMS-minOrderDelayMS), true
}

// delayHold is delayOrder for a hold. Holds are late only if lateOrder says so.
func (sim *simulation) delayHold(f *fakeWorker, c scheduler.HoldCmd) (delayMS int64, late bool) {
	if sim.lateOrder == nil || f.down || f.unreachable {
		return 0, false
	}
	return sim.lateOrder(f.id, c)
}

// sendOrder sends an order to a worker and delivers its answer. An order that is late
// or that the worker can't receive gets no answer; a late one is still executed, 2 to
// 12 s after it was sent, by whatever incarnation of the worker then lives.
func (i *instance) sendOrder(f *fakeWorker, c scheduler.Command, execute func() scheduler.OrderResult, msg func(scheduler.OrderResult) scheduler.Msg) {
	sim := i.sim
	delayMS, late := sim.delayOrder(f, c)
	sentMS := sim.nowMS
	executeOrder := func(late bool) scheduler.OrderResult {
		sim.checker.executingLate, sim.checker.executingSentMS = late, sentMS
		starts := sim.checker.starts
		result := execute()
		if sim.checker.starts > starts {
			sim.checkClosed(c)
		}
		return result
	}
	if f.replaced {
		i.reply(2*sim.orderLatencyMS, func() scheduler.Msg { return msg(scheduler.OrderOtherIncarnation) })
		return
	}
	if f.refusesConnections {
		i.reply(requestTimeoutMS, func() scheduler.Msg { return msg(scheduler.OrderNotSent) })
		return
	}
	if f.down || f.unreachableFrom(i) || late {
		if late && !f.unreachableFrom(i) && !f.down {
			sim.after(delayMS, func() {
				result := executeOrder(true)
				f.lateExecuted++
				if sim.lateOrder != nil {
					sim.lateResults = append(sim.lateResults, result)
				}
			})
		}
		i.reply(requestTimeoutMS, func() scheduler.Msg { return msg(scheduler.OrderUnknown) })
		return
	}
	incarnation := i.incarnation
	sim.ordersInFlight++
	latencyMS := sim.orderLatencyMS + int64(sim.orderCongestionMS*float64(sim.ordersInFlight))
	if sim.maxLatencyMS > 0 {
		latencyMS = min(latencyMS, sim.maxLatencyMS)
	}
	lost := latencyMS > requestTimeoutMS || f.answersLost || sim.lostOrderRate > 0 && sim.rng.Float64() < sim.lostOrderRate
	send := func(result scheduler.OrderResult) {
		if i.incarnation == incarnation {
			i.send(msg(result))
		}
	}
	sim.after(latencyMS, func() {
		sim.ordersInFlight--
		result := executeOrder(false)
		if !lost {
			sim.after(sim.orderLatencyMS, func() { send(result) })
		}
	})
	if lost {
		sim.unansweredOrders++
		sim.after(requestTimeoutMS, func() { send(scheduler.OrderUnknown) })
	}
}
