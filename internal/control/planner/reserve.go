package planner

import (
	"cmp"
	"fmt"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// reservation keeps workers free for a large job from the time when they are
// expected to be free.
type reservation struct {
	job    string
	places []placer.Place
	fromMS int64
}

// reserve notes why the job waits and, when it has waited long, keeps workers
// free for it. Later jobs may use those workers only if they are expected to
// end in time.
func (p *pass) reserve(j *reducer.Job) {
	p.note(j, p.waitReason(j))
	if len(p.reservations) >= MaxReservations || p.in.NowMS-j.WaitSinceMS < ReserveAfterMS {
		return
	}
	if res, ok := p.earliest(j); ok {
		p.reservations = append(p.reservations, res)
	}
}

// waitReason holds no figures that change from pass to pass, so that it is
// recorded once.
func (p *pass) waitReason(j *reducer.Job) string {
	r := placer.ForJob(j.Spec)
	need := fmt.Sprintf("%d x %d accelerators, %d processors and %d MB within %s", r.Tasks, r.Each.Accelerators, r.Each.Processors, r.Each.MemoryMB, r.Within)
	if !p.fitsEmpty(j) {
		return "the workers in service now, even empty, have no place for " + need
	}
	if _, ok := p.placeIn(roomFree, j, func() placer.Free { return p.free }); ok && !j.Repeatable() {
		return "free workers are kept for guarantees, and this job could not be stopped for them: " + need
	}
	return "no place is free for " + need
}

// earliest finds the first expected end after which the job has a place.
func (p *pass) earliest(j *reducer.Job) (reservation, bool) {
	ends := slices.Clone(p.actives)
	slices.SortStableFunc(ends, func(a, b *active) int { return cmp.Compare(a.endMS, b.endMS) })
	placeAfter := func(n int) ([]placer.Place, bool) {
		room := p.free.Clone()
		for _, a := range ends[:n] {
			room.Give(a.places)
		}
		if !j.Repeatable() {
			room = room.Floor(p.spare)
		}
		return p.place(j, room)
	}
	if _, ok := placeAfter(len(ends)); !ok {
		return reservation{}, false
	}
	n := searchFirst(len(ends), func(n int) bool { _, ok := placeAfter(n); return ok })
	places, _ := placeAfter(n)
	from := p.in.NowMS
	if n > 0 {
		from = ends[n-1].endMS
	}
	return reservation{job: j.ID, places: places, fromMS: from}, true
}

// searchFirst returns the smallest n up to top for which ok holds, taking ok
// to be monotonic.
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

// unreserved returns free less the reservations that the job would disturb. A
// job that can be stopped cheaply disturbs none.
func (p *pass) unreserved(j *reducer.Job, free placer.Free) placer.Free {
	open := free
	if mayBeCleared(j) {
		return open
	}
	end := p.in.NowMS + EstimateMS(j)
	for _, res := range p.reservations {
		if end <= res.fromMS {
			continue
		}
		open = open.Clone()
		open.Take(res.places)
	}
	return open
}
