package planner_test

import (
	"container/heap"
	"slices"
	"time"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/control/planner"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// policy is a scheduling policy: it makes one planning pass.
type policy func(planner.Input) planner.Decision

// Simulated durations, in milliseconds, and the ledger writer of the simulation.
const (
	checkpointMS = 20 * 1000
	restartMS    = 10 * 1000
	plainStopMS  = 500
	passMS       = 30 * 1000
	writer       = "bench/1"
)

// event runs at a virtual time; events of the same time run by order.
type event struct {
	atMS  int64
	order int
	run   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].atMS < q[j].atMS || (q[i].atMS == q[j].atMS && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// runningAttempt is an attempt that runs in the simulation. The number is
// negative once its stop is scheduled.
type runningAttempt struct {
	number  int
	startMS int64
	places  []encoder.Placement
}

// simulator is a discrete-event simulation of a policy over virtual time. Workers
// carry out each start and stop as decided.
type simulator struct {
	state       *reducer.State
	plan        policy
	nowMS       int64
	queue       eventQueue
	nextOrder   int
	sequence    uint64
	workload    workload
	actualRunMS map[string]int64
	running     map[string]runningAttempt
	down        map[string]bool
	// revision is the revision of the state at the last planning pass.
	revision uint64
	holds    map[string]planner.Assignment
	monitor  *monitor
}

// newSimulator returns a simulator that holds the term and has accepted the fleet's
// ticket.
func newSimulator(w workload, p policy) *simulator {
	sim := &simulator{
		state: reducer.New(), plan: p, workload: w, actualRunMS: map[string]int64{}, running: map[string]runningAttempt{}, down: map[string]bool{},
		nowMS: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC).UnixMilli(),
	}
	sim.monitor = newMonitor(sim)
	sim.apply(encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: writer}})
	sim.applyInTerm(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: 0, Ticket: w.fleet}})
	return sim
}

// apply applies one ledger entry to the state.
func (sim *simulator) apply(e encoder.Entry) reducer.Result {
	sim.sequence++
	e.At = sim.nowMS
	return sim.state.Apply(sim.state.Next, encoder.Batch{Version: 1, Writer: writer, Sequence: sim.sequence, Entries: []encoder.Entry{e}})[0]
}

// applyInTerm applies an entry that only the holder of the term may write.
func (sim *simulator) applyInTerm(e encoder.Entry) reducer.Result {
	e.Term = 1
	return sim.apply(e)
}

func (sim *simulator) schedule(atMS int64, run func()) {
	sim.nextOrder++
	heap.Push(&sim.queue, event{atMS, sim.nextOrder, run})
}

// run simulates the workload until all jobs have ended or durationLimitMS is over.
func (sim *simulator) run() {
	begin := sim.nowMS
	for _, j := range sim.workload.jobs {
		sim.schedule(begin+j.atMS, func() { sim.submit(j) })
	}
	for _, c := range sim.workload.events {
		sim.schedule(begin+c.atMS, func() { c.run(sim) })
	}
	for n := range sim.workload.durationLimitMS / passMS {
		sim.schedule(begin+n*passMS, func() {})
	}
	for sim.queue.Len() > 0 && sim.nowMS < begin+sim.workload.durationLimitMS {
		next := heap.Pop(&sim.queue).(event)
		sim.monitor.advance(next.atMS - sim.nowMS)
		sim.nowMS = next.atMS
		next.run()
		for sim.queue.Len() > 0 && sim.queue[0].atMS == sim.nowMS {
			heap.Pop(&sim.queue).(event).run()
		}
		sim.step()
		if sim.finished() {
			return
		}
	}
}

// finished reports whether all jobs of the workload were submitted and have ended.
func (sim *simulator) finished() bool {
	if len(sim.state.Jobs) < len(sim.workload.jobs) {
		return false
	}
	for _, j := range sim.state.Jobs {
		if !j.Status.Terminal() {
			return false
		}
	}
	return true
}

// submit submits a job and schedules its cancellation, if it has one.
func (sim *simulator) submit(j jobArrival) {
	sim.actualRunMS[j.spec.ID()] = j.actualRunMS
	sim.apply(encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: j.spec.ID(), By: "caller", Job: j.spec}})
	if j.cancelAfterMS > 0 {
		sim.schedule(sim.nowMS+j.cancelAfterMS, func() { sim.cancel(j.spec.ID()) })
	}
}

func (sim *simulator) cancel(id string) {
	sim.apply(encoder.Entry{CancelRequested: &encoder.CancelRequested{ID: id, By: "caller"}})
	sim.scheduleStops()
}

// step makes planning passes until one starts nothing, at most four.
func (sim *simulator) step() {
	for range 4 {
		decision := sim.plan(planner.Input{
			State: sim.state, NowMS: sim.nowMS, Ready: sim.ready(), Holds: sim.holds, RefuseImpossible: sim.revision != sim.state.Revision,
		})
		sim.revision, sim.holds = sim.state.Revision, decision.Holds
		for _, r := range decision.Refusals {
			sim.applyInTerm(encoder.Entry{JobRefused: &encoder.JobRefused{ID: r.Job, Reason: r.Reason}})
		}
		for _, stop := range decision.Stops {
			sim.applyInTerm(encoder.Entry{StopRequested: &encoder.StopRequested{ID: stop.Job, Attempt: stop.Attempt, Cause: stop.Cause, Reason: stop.Reason}})
		}
		sim.scheduleStops()
		for _, start := range decision.Starts {
			sim.start(start)
		}
		if len(decision.Starts) == 0 {
			return
		}
	}
}

func (sim *simulator) ready() map[string]bool {
	ready := map[string]bool{}
	for _, n := range sim.state.Fleet().Nodes {
		ready[n.Worker] = !sim.down[n.Worker]
	}
	return ready
}

// start applies the start of an attempt and schedules its end.
func (sim *simulator) start(s planner.Start) {
	res := sim.applyInTerm(encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: s.Job, Attempt: s.Attempt, Claim: s.Claim, Placements: s.Placements, Reason: s.Reason}})
	if !res.OK {
		sim.monitor.addViolation("start refused: " + res.Reason)
		return
	}
	sim.applyInTerm(encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: s.Job, Attempt: s.Attempt}})
	sim.running[s.Job] = runningAttempt{s.Attempt, sim.nowMS, s.Placements}
	sim.monitor.attemptStarted(s)
	if sim.willFail(s) {
		sim.schedule(sim.nowMS+5000, func() { sim.end(s.Job, s.Attempt, encoder.ResultFailed, sim.firstBadWorker(s), false) })
		return
	}
	remaining := sim.actualRunMS[s.Job] - sim.state.Jobs[s.Job].ProgressMS
	if sim.state.Jobs[s.Job].ProgressMS > 0 {
		remaining += restartMS
	}
	sim.schedule(sim.nowMS+max(remaining, 1), func() { sim.end(s.Job, s.Attempt, encoder.ResultFinished, "", false) })
}

func (sim *simulator) willFail(s planner.Start) bool { return sim.firstBadWorker(s) != "" }

// firstBadWorker returns the first worker of the start on which each attempt fails,
// or "".
func (sim *simulator) firstBadWorker(s planner.Start) string {
	for _, p := range s.Placements {
		if sim.workload.badWorkers[p.Worker] {
			return p.Worker
		}
	}
	return ""
}

// scheduleStops schedules the end of each stopping attempt, after the time of a
// checkpoint or of a plain stop.
func (sim *simulator) scheduleStops() {
	for _, id := range reducer.SortedKeys(sim.running) {
		a, j := sim.running[id], sim.state.Jobs[id]
		if j.Status != reducer.JobStopping || a.number < 0 {
			continue
		}
		number := a.number
		a.number = -number
		sim.running[id] = a
		wait, saved := int64(plainStopMS), false
		if j.Spec.Checkpointable && !j.Cancelled && j.ActiveAttempt().StopCause != encoder.StopUrgent {
			wait, saved = checkpointMS, true
		}
		sim.schedule(sim.nowMS+wait, func() { sim.end(id, number, encoder.ResultStopped, "", saved) })
	}
}

// end ends an attempt unless it has ended already.
func (sim *simulator) end(id string, number int, result encoder.Result, worker string, saved bool) {
	a, ok := sim.running[id]
	if !ok || max(a.number, -a.number) != number {
		return
	}
	delete(sim.running, id)
	j := sim.state.Jobs[id]
	ran := sim.nowMS - a.startMS
	ended := &encoder.AttemptEnded{ID: id, Attempt: number, Result: result, Worker: worker, Reason: string(result), RunMS: ran}
	if saved {
		ended.ProgressMS, ended.Checkpointed = min(j.ProgressMS+max(ran-checkpointMS, 0), sim.actualRunMS[id]), true
	}
	sim.monitor.attemptEnded(j, a, ended)
	sim.applyInTerm(encoder.Entry{AttemptEnded: ended})
}

// failWorkers takes the workers down and ends all attempts on them as lost.
func (sim *simulator) failWorkers(workers func(placer.Node) bool) {
	for _, n := range sim.state.Fleet().Nodes {
		if workers(n) {
			sim.down[n.Worker] = true
		}
	}
	for _, id := range reducer.SortedKeys(sim.running) {
		a := sim.running[id]
		if slices.ContainsFunc(a.places, func(p encoder.Placement) bool { return sim.down[p.Worker] }) {
			sim.end(id, max(a.number, -a.number), encoder.ResultLost, a.places[0].Worker, false)
		}
	}
}

// restoreWorkers brings workers back that failWorkers took down.
func (sim *simulator) restoreWorkers(workers func(placer.Node) bool) {
	for _, n := range sim.state.Fleet().Nodes {
		if workers(n) {
			delete(sim.down, n.Worker)
		}
	}
}

// setDomain applies a ticket with this number that changes the domain's state.
func (sim *simulator) setDomain(name string, number uint64, state specifier.DomainState, stopAfter time.Duration) {
	spec := sim.state.Domains[name].Spec
	spec.State, spec.StopAfter = state, specifier.Duration(stopAfter)
	sim.applyInTerm(encoder.Entry{TicketReceived: &encoder.TicketReceived{
		ConfigOffset: sim.state.ConfigNext, Ticket: specifier.Ticket{Number: number, Operator: "op", Domains: []specifier.Domain{spec}},
	}})
}
