package planner

import (
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// pool identifies the resources in which a search looks for a place.
type pool int

const (
	poolUnguaranteed pool = iota
	poolFree
	poolEmpty
)

// requestKey is the cache key of a search for a place.
type requestKey struct {
	pool           pool
	request        placer.Request
	nonIdempotent  bool
	cheapToPreempt bool
	shunsSuspects  bool
}

func (p *pass) requestKeyOf(kind pool, j *reducer.Job) requestKey {
	return requestKey{kind, placer.ForJob(j.Spec), j.Spec.NonIdempotent, cheapToPreempt(j), p.shunsSuspects(j)}
}

// fitsEmptyFleet reports whether the job would fit the open workers if these were
// empty.
func (p *pass) fitsEmptyFleet(j *reducer.Job) bool {
	key := p.requestKeyOf(poolEmpty, j)
	if p.fitEmptyFleet[key] {
		return true
	}
	_, ok := p.placeIn(poolEmpty, j, p.fleet.Totals)
	p.fitEmptyFleet[key] = ok && !shunsOthers(j)
	return ok
}

// placeIn calls place on a pool that only shrinks within a pass, and doesn't
// repeat a search that failed before.
func (p *pass) placeIn(kind pool, j *reducer.Job, free func() placer.Free) ([]placer.NodeTasks, bool) {
	key := p.requestKeyOf(kind, j)
	if p.unplaceable[key] {
		return nil, false
	}
	places, ok := p.place(j, free())
	if !ok && !shunsOthers(j) {
		p.unplaceable[key] = true
	}
	return places, ok
}

// place finds a place for the job, if possible away from avoided workers. A job
// that must not run twice is never placed on avoided workers. A job returns to a
// worker that it shuns only when no other worker could ever hold it.
func (p *pass) place(j *reducer.Job, free placer.Free) ([]placer.NodeTasks, bool) {
	r, shunned := placer.ForJob(j.Spec), p.shunnedWorkers(j)
	o := placer.Options{Closed: p.alsoClosed(p.avoided, shunned)}
	if !cheapToPreempt(j) {
		o.RackWeights = p.rackWeights
	}
	places, ok := p.fleet.Place(free, r, o)
	if ok || j.Spec.NonIdempotent {
		return places, ok
	}
	elsewhere := placer.Options{Closed: p.alsoClosed(p.closed, shunned)}
	if p.anyOpenAvoided {
		places, ok = p.fleet.Place(free, r, elsewhere)
	}
	if ok || len(shunned) == 0 {
		return places, ok
	}
	if _, exists := p.fleet.Place(p.fleet.Totals(), r, elsewhere); exists {
		return nil, false
	}
	return p.fleet.Place(free, r, placer.Options{Closed: p.closed})
}

// alsoClosed returns closed with the named workers closed too.
func (p *pass) alsoClosed(closed []bool, workers []string) []bool {
	if len(workers) == 0 {
		return closed
	}
	closed = slices.Clone(closed)
	for _, w := range workers {
		if i := p.fleet.Index(w); i >= 0 {
			closed[i] = true
		}
	}
	return closed
}
