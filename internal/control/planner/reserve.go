package planner

import (
	"cmp"
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// reservation keeps workers for a blocked job from the time when they are
// expected to become free. It lasts for one pass and only limits backfill: the
// workers are not asked for it, unlike for the reservations of a pending job.
type reservation struct {
	job    string
	places []placer.NodeTasks
	fromMS int64
}

// reserve records why the job waits and, after ReserveAfterMS, reserves workers
// for it. Jobs of lower rank may backfill those workers only if they are expected
// to end before the reservation starts.
func (p *pass) reserve(j *reducer.Job) {
	p.addWaitReason(j, p.waitReason(j))
	if len(p.reservations) >= MaxReservations || p.in.NowMS-j.WaitSinceMS < ReserveAfterMS {
		return
	}
	if res, ok := p.earliestStart(j); ok {
		p.reservations = append(p.reservations, res)
	}
}

// waitReason explains why the job waits. The text contains no figure that changes
// from pass to pass, so that each reason is recorded once.
func (p *pass) waitReason(j *reducer.Job) string {
	r := placer.ForJob(j.Spec)
	need := fmt.Sprintf("%d x %d accelerators, %d processors and %d MB within %s", r.Tasks, r.PerTask.Accelerators, r.PerTask.Processors, r.PerTask.MemoryMB, r.Within)
	if !p.fitsEmptyFleet(j) {
		return "the workers in service now, even empty, have no place for " + need
	}
	if _, ok := p.placeIn(poolFree, j, func() placer.Free { return p.free }); ok && !j.Restartable() {
		return "free workers are kept for guarantees, and this job could not be stopped for them: " + need
	}
	return "no place is free for " + need
}

// earliestStart returns a reservation at the first expected end of an attempt
// after which the job has a place.
func (p *pass) earliestStart(j *reducer.Job) (reservation, bool) {
	ends := slices.Clone(p.allocations)
	slices.SortStableFunc(ends, func(a, b *allocation) int { return cmp.Compare(a.expectedEndMS, b.expectedEndMS) })
	placeAfter := func(n int) ([]placer.NodeTasks, bool) {
		freed := p.free.Clone()
		for _, a := range ends[:n] {
			freed.Release(a.places)
		}
		if !j.Restartable() {
			freed = freed.Min(p.unguaranteed)
		}
		return p.place(j, freed)
	}
	if _, ok := placeAfter(len(ends)); !ok {
		return reservation{}, false
	}
	n := searchFirst(len(ends), func(n int) bool { _, ok := placeAfter(n); return ok })
	places, _ := placeAfter(n)
	fromMS := p.in.NowMS
	if n > 0 {
		fromMS = ends[n-1].expectedEndMS
	}
	return reservation{job: j.ID, places: places, fromMS: fromMS}, true
}

// searchFirst returns the smallest n up to top for which ok holds, by binary
// search: once true, ok must stay true for all larger n.
func searchFirst(top int, ok func(int) bool) int {
	low, high := 0, top
	for low < high {
		mid := (low + high) / 2
		if ok(mid) {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}

// unreserved returns the free resources that the job may use for backfill: free
// less the reservations that start before the job is expected to end. A job that
// is cheap to preempt may use all, since it can be moved when the time comes.
func (p *pass) unreserved(j *reducer.Job, free placer.Free) placer.Free {
	available := free
	if cheapToPreempt(j) {
		return available
	}
	end := p.in.NowMS + EstimateMS(j)
	for _, res := range p.reservations {
		if end <= res.fromMS {
			continue
		}
		available = available.Clone()
		available.Allocate(res.places)
	}
	return available
}
