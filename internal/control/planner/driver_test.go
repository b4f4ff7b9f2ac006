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

// policy makes one decision pass.
type policy func(planner.Input) planner.Decision

// Times that the driver charges, in milliseconds.
const (
	checkpointMS = 20 * 1000
	restartMS    = 10 * 1000
	plainStopMS  = 500
	passMS       = 30 * 1000
	writer       = "bench/1"
)

// event is something that happens at a virtual time.
type event struct {
	atMS  int64
	order int
	run   func()
}

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

// attempt is what the driver knows of a running attempt.
type attempt struct {
	number  int
	startMS int64
	places  []encoder.Placement
}

// driver steps a policy over virtual time. Workers do what they are told.
type driver struct {
	s        *reducer.State
	plan     policy
	nowMS    int64
	queue    eventQueue
	order    int
	sequence uint64
	work     workload
	trueMS   map[string]int64
	active   map[string]attempt
	dead     map[string]bool
	revision uint64
	holds    map[string]planner.Pending
	watch    *watcher
}

func newDriver(w workload, p policy) *driver {
	d := &driver{
		s: reducer.New(), plan: p, work: w, trueMS: map[string]int64{}, active: map[string]attempt{}, dead: map[string]bool{},
		nowMS: time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC).UnixMilli(),
	}
	d.watch = newWatcher(d)
	d.fold(encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: writer}})
	d.decide(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: 0, Ticket: w.fleet}})
	return d
}

func (d *driver) fold(e encoder.Entry) reducer.Result {
	d.sequence++
	e.At = d.nowMS
	return d.s.Apply(d.s.Next, encoder.Batch{Version: 1, Writer: writer, Sequence: d.sequence, Entries: []encoder.Entry{e}})[0]
}

func (d *driver) decide(e encoder.Entry) reducer.Result {
	e.Term = 1
	return d.fold(e)
}

func (d *driver) at(atMS int64, run func()) {
	d.order++
	heap.Push(&d.queue, event{atMS, d.order, run})
}

// run plays the workload to its end, or to a limit of virtual time.
func (d *driver) run() {
	begin := d.nowMS
	for _, j := range d.work.jobs {
		d.at(begin+j.atMS, func() { d.submit(j) })
	}
	for _, c := range d.work.changes {
		d.at(begin+c.atMS, func() { c.run(d) })
	}
	for n := range d.work.limitMS / passMS {
		d.at(begin+n*passMS, func() {})
	}
	for d.queue.Len() > 0 && d.nowMS < begin+d.work.limitMS {
		next := heap.Pop(&d.queue).(event)
		d.watch.pass(next.atMS - d.nowMS)
		d.nowMS = next.atMS
		next.run()
		for d.queue.Len() > 0 && d.queue[0].atMS == d.nowMS {
			heap.Pop(&d.queue).(event).run()
		}
		d.step()
		if d.finished() {
			return
		}
	}
}

func (d *driver) finished() bool {
	if len(d.s.Jobs) < len(d.work.jobs) {
		return false
	}
	for _, j := range d.s.Jobs {
		if !j.Status.Final() {
			return false
		}
	}
	return true
}

func (d *driver) submit(j plannedJob) {
	d.trueMS[j.spec.ID()] = j.trueMS
	d.fold(encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: j.spec.ID(), By: "caller", Job: j.spec}})
	if j.cancelMS > 0 {
		d.at(d.nowMS+j.cancelMS, func() { d.cancel(j.spec.ID()) })
	}
}

func (d *driver) cancel(id string) {
	d.fold(encoder.Entry{CancelRequested: &encoder.CancelRequested{ID: id, By: "caller"}})
	d.followStops()
}

// step makes decision passes until nothing changes at this moment.
func (d *driver) step() {
	for range 4 {
		decision := d.plan(planner.Input{
			State: d.s, NowMS: d.nowMS, Ready: d.ready(), Holds: d.holds, Recheck: d.revision != d.s.Revision,
		})
		d.revision, d.holds = d.s.Revision, decision.Holds
		for _, r := range decision.Refusals {
			d.decide(encoder.Entry{JobRefused: &encoder.JobRefused{ID: r.Job, Reason: r.Reason}})
		}
		for _, stop := range decision.Stops {
			d.decide(encoder.Entry{StopRequested: &encoder.StopRequested{ID: stop.Job, Attempt: stop.Attempt, Cause: stop.Cause, Reason: stop.Reason}})
		}
		d.followStops()
		for _, start := range decision.Starts {
			d.start(start)
		}
		if len(decision.Starts) == 0 {
			return
		}
	}
}

func (d *driver) ready() map[string]bool {
	ready := map[string]bool{}
	for _, n := range d.s.Fleet().Nodes {
		ready[n.Worker] = !d.dead[n.Worker]
	}
	return ready
}

func (d *driver) start(s planner.Start) {
	res := d.decide(encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: s.Job, Attempt: s.Attempt, Claim: s.Claim, Placements: s.Placements, Reason: s.Reason}})
	if !res.OK {
		d.watch.violate("refused start: " + res.Reason)
		return
	}
	d.decide(encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: s.Job, Attempt: s.Attempt}})
	d.active[s.Job] = attempt{s.Attempt, d.nowMS, s.Placements}
	d.watch.started(s)
	if d.fails(s) {
		d.at(d.nowMS+5000, func() { d.end(s.Job, s.Attempt, encoder.ResultFailed, d.firstBad(s), false) })
		return
	}
	left := d.trueMS[s.Job] - d.s.Jobs[s.Job].ProgressMS
	if d.s.Jobs[s.Job].ProgressMS > 0 {
		left += restartMS
	}
	d.at(d.nowMS+max(left, 1), func() { d.end(s.Job, s.Attempt, encoder.ResultFinished, "", false) })
}

func (d *driver) fails(s planner.Start) bool { return d.firstBad(s) != "" }

func (d *driver) firstBad(s planner.Start) string {
	for _, p := range s.Placements {
		if d.work.bad[p.Worker] {
			return p.Worker
		}
	}
	return ""
}

// followStops lets each stopping attempt end after a checkpoint or at once.
func (d *driver) followStops() {
	for _, id := range reducer.SortedKeys(d.active) {
		a, j := d.active[id], d.s.Jobs[id]
		if j.Status != reducer.JobStopping || a.number < 0 {
			continue
		}
		number := a.number
		a.number = -number
		d.active[id] = a
		wait, saved := int64(plainStopMS), false
		if j.Spec.Checkpointable && !j.Cancelled && j.Active().StopCause != encoder.StopUrgent {
			wait, saved = checkpointMS, true
		}
		d.at(d.nowMS+wait, func() { d.end(id, number, encoder.ResultStopped, "", saved) })
	}
}

// end closes an attempt unless it has ended already.
func (d *driver) end(id string, number int, result encoder.Result, worker string, saved bool) {
	a, ok := d.active[id]
	if !ok || max(a.number, -a.number) != number {
		return
	}
	delete(d.active, id)
	j := d.s.Jobs[id]
	ran := d.nowMS - a.startMS
	ended := &encoder.AttemptEnded{ID: id, Attempt: number, Result: result, Worker: worker, Reason: string(result), RunMS: ran}
	if saved {
		ended.ProgressMS, ended.Checkpointed = min(j.ProgressMS+max(ran-checkpointMS, 0), d.trueMS[id]), true
	}
	d.watch.ended(j, a, ended)
	d.decide(encoder.Entry{AttemptEnded: ended})
}

// kill loses every attempt with tasks on the workers.
func (d *driver) kill(workers func(placer.Node) bool) {
	for _, n := range d.s.Fleet().Nodes {
		if workers(n) {
			d.dead[n.Worker] = true
		}
	}
	for _, id := range reducer.SortedKeys(d.active) {
		a := d.active[id]
		if slices.ContainsFunc(a.places, func(p encoder.Placement) bool { return d.dead[p.Worker] }) {
			d.end(id, max(a.number, -a.number), encoder.ResultLost, a.places[0].Worker, false)
		}
	}
}

func (d *driver) revive(workers func(placer.Node) bool) {
	for _, n := range d.s.Fleet().Nodes {
		if workers(n) {
			delete(d.dead, n.Worker)
		}
	}
}

func (d *driver) setDomain(name string, number uint64, state specifier.DomainState, stopAfter time.Duration) {
	spec := d.s.Domains[name].Spec
	spec.State, spec.StopAfter = state, specifier.Duration(stopAfter)
	d.decide(encoder.Entry{TicketReceived: &encoder.TicketReceived{
		ConfigOffset: d.s.ConfigNext, Ticket: specifier.Ticket{Number: number, Operator: "op", Domains: []specifier.Domain{spec}},
	}})
}
