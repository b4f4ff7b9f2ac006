package planner

import (
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/reducer"
)

// room names the workers on which a place was looked for.
type room int

const (
	roomSpare room = iota
	roomFree
	roomEmpty
)

// failure is a request that found no place.
type failure struct {
	room    room
	request placer.Request
	once    bool
	clears  bool
}

func failureOf(kind room, j *reducer.Job) failure {
	return failure{kind, placer.ForJob(j.Spec), j.Spec.NonIdempotent, mayBeCleared(j)}
}

// fitsEmpty reports whether the open workers, if they were empty, would hold the job.
func (p *pass) fitsEmpty(j *reducer.Job) bool {
	key := failureOf(roomEmpty, j)
	if p.possible[key] {
		return true
	}
	_, ok := p.placeIn(roomEmpty, j, p.fleet.Totals)
	p.possible[key] = ok && len(j.FailedOn) == 0
	return ok
}

// placeIn is place on a room that only shrinks within a pass: a request that
// found no place there is not tried again.
func (p *pass) placeIn(kind room, j *reducer.Job, free func() placer.Free) ([]placer.Place, bool) {
	key := failureOf(kind, j)
	if p.failed[key] {
		return nil, false
	}
	places, ok := p.place(j, free())
	if !ok && len(j.FailedOn) == 0 {
		p.failed[key] = true
	}
	return places, ok
}

// place finds a place for the job, if possible away from workers whose last
// job failed. A job that may run only once goes nowhere else, and a job goes
// back to a worker where it failed only when no other could ever hold it.
func (p *pass) place(j *reducer.Job, free placer.Free) ([]placer.Place, bool) {
	r := placer.ForJob(j.Spec)
	o := placer.Options{Closed: p.without(p.doubtful, j.FailedOn)}
	if !mayBeCleared(j) {
		o.RackWeights = p.rackWeights
	}
	places, ok := p.fleet.Place(free, r, o)
	if ok || j.Spec.NonIdempotent {
		return places, ok
	}
	elsewhere := placer.Options{Closed: p.without(p.closed, j.FailedOn)}
	if p.anyDoubt {
		places, ok = p.fleet.Place(free, r, elsewhere)
	}
	if ok || len(j.FailedOn) == 0 {
		return places, ok
	}
	if _, exists := p.fleet.Place(p.fleet.Totals(), r, elsewhere); exists {
		return nil, false
	}
	return p.fleet.Place(free, r, placer.Options{Closed: p.closed})
}

// without closes the named workers too.
func (p *pass) without(closed []bool, workers []string) []bool {
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
