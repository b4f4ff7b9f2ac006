package planner_test

import (
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/control/planner"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// watcher measures a run and checks the promises from what was started and
// ended, without the code under test.
type watcher struct {
	d          *driver
	used       map[string]int
	startedMS  map[string]int64
	attempts   map[string]int
	outSince   map[string]int64
	violations []string

	// Sums of accelerator milliseconds.
	ran, lost          float64
	fragSum, fragTime  float64
	allowed, doneInOut float64
}

func newWatcher(d *driver) *watcher {
	return &watcher{d: d, used: map[string]int{}, startedMS: map[string]int64{}, attempts: map[string]int{}, outSince: map[string]int64{}}
}

func (w *watcher) violate(text string) { w.violations = append(w.violations, text) }

func (w *watcher) node(worker string) placer.Node {
	f := w.d.s.Fleet()
	return f.Nodes[f.Index(worker)]
}

func (w *watcher) started(s planner.Start) {
	j := w.d.s.Jobs[s.Job]
	tasks := 0
	var groups []string
	for _, p := range s.Placements {
		n := w.node(p.Worker)
		tasks += p.Tasks
		w.used[p.Worker] += p.Tasks * j.Spec.Accelerators
		if w.used[p.Worker] > n.Total.Accelerators {
			w.violate(fmt.Sprintf("worker %s runs %d accelerators", p.Worker, w.used[p.Worker]))
		}
		if w.outSince[n.Domain] > 0 || w.d.dead[p.Worker] {
			w.violate("start in a domain that is out: " + n.Domain)
		}
		groups = append(groups, group(n, j.Spec.Within))
	}
	slices.Sort(groups)
	if tasks != j.Spec.Tasks || len(slices.Compact(groups)) != 1 {
		w.violate("a gang is not whole or not adjacent: " + s.Job)
	}
	w.attempts[s.Job]++
	if j.Spec.NonIdempotent && w.attempts[s.Job] > 1 && j.ProgressMS == 0 {
		w.violate("started again: " + s.Job)
	}
	if _, ok := w.startedMS[s.Job]; !ok {
		w.startedMS[s.Job] = w.d.nowMS
	}
}

func group(n placer.Node, within specifier.Adjacency) string {
	switch within {
	case specifier.WithinWorker:
		return n.Worker
	case specifier.WithinRack:
		return n.Rack
	case specifier.WithinDomain:
		return n.Domain
	}
	return ""
}

func (w *watcher) ended(j *reducer.Job, a attempt, e *encoder.AttemptEnded) {
	for _, p := range a.places {
		w.used[p.Worker] -= p.Tasks * j.Spec.Accelerators
	}
	accelerators := float64(j.Spec.TotalAccelerators())
	w.ran += accelerators * float64(e.RunMS)
	switch {
	case e.Result == encoder.ResultFinished:
	case e.Checkpointed:
		w.lost += accelerators * float64(e.RunMS-(e.ProgressMS-j.ProgressMS))
	default:
		w.lost += accelerators * float64(e.RunMS)
	}
}

// pass accounts for a span of time in which nothing changed.
func (w *watcher) pass(spanMS int64) {
	if spanMS <= 0 {
		return
	}
	span := float64(spanMS)
	f := w.d.s.Fleet()
	free, openTotal, busy := f.Totals(), 0, 0
	for i, n := range f.Nodes {
		busy += w.used[n.Worker]
		free[i].Accelerators -= w.used[n.Worker]
		if w.outSince[n.Domain] > 0 || w.d.dead[n.Worker] {
			free[i] = placer.Resources{}
			continue
		}
		openTotal += n.Total.Accelerators
	}
	w.passFragments(f, free, span)
	if len(w.outSince) > 0 {
		w.passOutage(openTotal, busy, span)
	}
}

// passFragments measures which part of the free accelerators the largest
// waiting or guaranteed shape can't use.
func (w *watcher) passFragments(f *placer.Fleet, free placer.Free, span float64) {
	largest, ok := w.largestShape()
	total := 0
	for _, r := range free {
		total += r.Accelerators
	}
	if !ok || total == 0 {
		return
	}
	usable := 0
	for {
		places, ok := f.Place(free, largest, placer.Options{})
		if !ok {
			break
		}
		free.Take(places)
		usable += largest.Tasks * largest.Each.Accelerators
	}
	w.fragSum += span * float64(total-usable) / float64(total)
	w.fragTime += span
}

func (w *watcher) largestShape() (largest placer.Request, ok bool) {
	consider := func(r placer.Request) {
		if r.Tasks*r.Each.Accelerators > largest.Tasks*largest.Each.Accelerators {
			largest, ok = r, true
		}
	}
	for _, s := range w.d.s.GuaranteeShapes() {
		r := s.Request
		r.Proportional = false
		consider(r)
	}
	for _, j := range w.d.s.Jobs {
		if j.Status == reducer.JobWaiting {
			r := placer.ForJob(j.Spec)
			r.Each.Processors, r.Each.MemoryMB = 0, 0
			consider(r)
		}
	}
	return largest, ok
}

// passOutage compares the work done while a domain is out with what the rest
// of the fleet allowed.
func (w *watcher) passOutage(openTotal, busy int, span float64) {
	demand := 0
	for _, j := range w.d.s.Jobs {
		if !j.Status.Final() {
			demand += j.Spec.TotalAccelerators()
		}
	}
	w.allowed += span * float64(min(openTotal, demand))
	w.doneInOut += span * float64(min(busy, min(openTotal, demand)))
}
