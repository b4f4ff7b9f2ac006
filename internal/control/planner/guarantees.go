package planner

import (
	"fmt"
	"math/bits"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// shape is one instance of a guarantee with the place that is kept for it.
type shape struct {
	placer.Shape
	claim  string
	places []placer.Place
	// room is what the shape's claimants have not taken yet; nil when unplaced.
	room placer.Free
	used int
}

func (p *pass) packGuarantees() {
	p.listShapes()
	hard := p.hardFree()
	p.bindClaimed(hard)
	p.packUnclaimed(hard)
	p.spare = hard
}

func (p *pass) listShapes() {
	counts := map[string]int{}
	for _, s := range p.in.State.GuaranteeShapes() {
		name := s.Workspace + "/" + s.Guarantee
		p.shapes = append(p.shapes, &shape{Shape: s, claim: fmt.Sprintf("%s#%d", s.Guarantee, counts[name])})
		counts[name]++
	}
}

// hardFree returns the open nodes less what may not be stopped for a guarantee.
// Claimed work is left in: bindClaimed accounts for it by its shape.
func (p *pass) hardFree() placer.Free {
	hard := p.fleet.Totals()
	for i := range hard {
		if p.closed[i] {
			hard[i] = placer.Resources{}
		}
	}
	for _, a := range p.actives {
		if !a.reclaimable && p.shapeOf(a) == nil {
			hard.Take(a.places)
		}
	}
	return hard
}

func (p *pass) shapeOf(a *active) *shape {
	if a.attempt.Claim == "" {
		return nil
	}
	for _, s := range p.shapes {
		if s.Workspace == a.job.Spec.Workspace && s.claim == a.attempt.Claim {
			return s
		}
	}
	return nil
}

// bindClaimed keeps the rest of a partly claimed shape next to its claimants.
func (p *pass) bindClaimed(hard placer.Free) {
	for _, a := range p.actives {
		s := p.shapeOf(a)
		if s == nil || a.stopping {
			continue
		}
		if s.room == nil {
			s.room = make(placer.Free, len(p.fleet.Nodes))
		}
		s.used++
		p.coverClaimant(hard, s, a.places)
	}
	for _, s := range p.shapes {
		if s.used > 0 {
			p.completeShape(hard, s)
		}
	}
}

// coverClaimant puts enough of the shape's tasks on each node that a claimant uses.
func (p *pass) coverClaimant(hard placer.Free, s *shape, places []placer.Place) {
	for _, pl := range places {
		each := p.fleet.Need(s.Request, pl.Node)
		need := pl.Each.Times(pl.Tasks)
		for s.room[pl.Node].Accelerators < need.Accelerators {
			s.room[pl.Node] = s.room[pl.Node].Plus(each)
			hard[pl.Node] = hard[pl.Node].Minus(each)
			s.places = append(s.places, placer.Place{Node: pl.Node, Tasks: 1, Each: each})
		}
		s.room[pl.Node] = s.room[pl.Node].Minus(need)
	}
}

func (p *pass) completeShape(hard placer.Free, s *shape) {
	rest := s.Request
	rest.Tasks -= len(s.places)
	if rest.Tasks <= 0 || len(s.places) == 0 {
		return
	}
	near := p.fleet.Near(s.places[0].Node, rest.Within)
	places, ok := p.fleet.Place(hard, rest, placer.Options{Closed: orMask(p.closed, near)})
	if ok {
		s.keep(hard, places)
	}
}

func (s *shape) keep(hard placer.Free, places []placer.Place) {
	hard.Take(places)
	s.places = append(s.places, places...)
	s.room.Give(places)
}

// orMask closes what is closed already and what is not near.
func orMask(closed, near []bool) []bool {
	mask := slices.Clone(closed)
	for i := range mask {
		mask[i] = mask[i] || !near[i]
	}
	return mask
}

// packUnclaimed keeps a place for each unclaimed shape: on free workers as far
// as they go, else on workers whose work may be stopped, and on workers whose
// last job failed only when there is no other place.
func (p *pass) packUnclaimed(hard placer.Free) {
	var open []*shape
	for _, s := range p.shapes {
		if s.used == 0 {
			open = append(open, s)
		}
	}
	open = p.packOn(hard, p.freeSoon().Floor(hard), open, placer.Options{Closed: p.doubtful})
	if len(open) == 0 {
		return
	}
	// On borrowed workers, the shapes stand where the least work would be lost.
	losses := p.weighLosses()
	open = p.packOn(hard, hard.Clone(), open, placer.Options{Closed: p.doubtful, Dense: true, RackWeights: losses})
	if p.anyDoubt {
		p.packOn(hard, hard.Clone(), open, placer.Options{Closed: p.closed, Dense: true, RackWeights: losses})
	}
}

// lossStep is the weight of a doubling of the work that a reclaim would lose.
const lossStep = 16

// weighLosses returns for each node how much work a reclaim of its rack would
// lose, on a logarithmic scale.
func (p *pass) weighLosses() []int {
	rackLoss := make(map[string]int64, len(p.fleet.Nodes))
	for _, a := range p.actives {
		if !a.reclaimable || a.stopping {
			continue
		}
		for _, pl := range a.places {
			rackLoss[p.fleet.Nodes[pl.Node].Rack] += p.lossOf(a, encoder.StopReclaim)
		}
	}
	weights := make([]int, len(p.fleet.Nodes))
	for i, n := range p.fleet.Nodes {
		weights[i] = lossStep * bits.Len64(uint64(max(rackLoss[n.Rack], 0)))
	}
	return weights
}

// freeSoon is what is free once the attempts that are stopping have stopped.
func (p *pass) freeSoon() placer.Free {
	soon := p.free.Clone()
	for _, a := range p.actives {
		if a.stopping {
			soon.Give(a.places)
		}
	}
	return soon
}

func (p *pass) packOn(hard, room placer.Free, shapes []*shape, o placer.Options) (unplaced []*shape) {
	if len(shapes) == 0 {
		return nil
	}
	list := make([]placer.Shape, len(shapes))
	for i, s := range shapes {
		list[i] = s.Shape
	}
	packing := p.fleet.Pack(room, list, o)
	for i, s := range shapes {
		if packing.Places[i] == nil {
			unplaced = append(unplaced, s)
			continue
		}
		s.room = make(placer.Free, len(p.fleet.Nodes))
		s.keep(hard, packing.Places[i])
	}
	return unplaced
}

// mayClaim reports whether the gang's shape is covered by a guarantee of its workspace.
func (p *pass) mayClaim(j *reducer.Job) bool {
	return slices.ContainsFunc(p.shapes, func(s *shape) bool { return p.covers(s, j) })
}

func (p *pass) covers(s *shape, j *reducer.Job) bool {
	k := j.Spec.Accelerators
	if s.Workspace != j.Spec.Workspace || k == 0 || k > s.Request.Each.Accelerators {
		return false
	}
	share := p.perAccelerator.Times(k)
	if j.Spec.Processors > share.Processors || j.Spec.MemoryMB > share.MemoryMB {
		return false
	}
	perTask := s.Request.Each.Accelerators / k
	if j.Spec.Tasks > s.Request.Tasks*perTask {
		return false
	}
	return j.Spec.Tasks <= perTask || s.Request.Within.Satisfies(j.Spec.Within)
}

func smallestShare(f *placer.Fleet) placer.Resources {
	share := placer.Resources{Processors: 1 << 30, MemoryMB: 1 << 30, Accelerators: 1}
	for _, n := range f.Nodes {
		if k := n.Total.Accelerators; k > 0 {
			share.Processors = min(share.Processors, n.Total.Processors/k)
			share.MemoryMB = min(share.MemoryMB, n.Total.MemoryMB/k)
		}
	}
	return share
}

// startClaim starts a job inside a shape that its workspace is guaranteed, and
// stops borrowers that stand in the way.
func (p *pass) startClaim(j *reducer.Job) bool {
	var blocked *claimPlace
	for _, s := range p.shapes {
		if s.room == nil || !p.covers(s, j) || !s.mayHold(j) {
			continue
		}
		places, ok := p.placeInShape(j, s)
		if !ok {
			continue
		}
		if p.covered(p.free, places) {
			if p.freeQuota(j) {
				return true
			}
			p.claim(j, s, places)
			return true
		}
		c := &claimPlace{shape: s, places: places, cost: p.victimCost(places, encoder.StopReclaim)}
		if blocked == nil || c.cost < blocked.cost {
			blocked = c
		}
	}
	if blocked == nil {
		return false
	}
	return p.reclaim(j, blocked)
}

// claimsFirst reports whether the job should use a guarantee even where other
// workers are free: when it is urgent, may run only once, or takes most of a
// shape. Smaller work leaves the shape whole as long as it can.
func (p *pass) claimsFirst(j *reducer.Job) bool {
	if j.Spec.Urgent || j.Spec.NonIdempotent {
		return true
	}
	return slices.ContainsFunc(p.shapes, func(s *shape) bool {
		return p.covers(s, j) && 2*j.Spec.TotalAccelerators() > s.Request.Tasks*s.Request.Each.Accelerators
	})
}

// placeInShape prefers workers of the shape that are free now. Urgent work also
// prefers workers whose work can be stopped at once over those where a
// checkpoint is under way.
func (p *pass) placeInShape(j *reducer.Job, s *shape) ([]placer.Place, bool) {
	if places, ok := p.place(j, s.room.Floor(p.free)); ok {
		return places, true
	}
	if !j.Spec.Urgent {
		return p.place(j, s.room)
	}
	quick := s.room.Clone()
	for _, a := range p.actives {
		if !a.stopping {
			continue
		}
		for _, pl := range a.places {
			quick[pl.Node] = placer.Resources{}
		}
	}
	if places, ok := p.place(j, quick); ok {
		return places, true
	}
	return p.place(j, s.room)
}

// mayHold reports whether the shape's workers have enough accelerators left.
func (s *shape) mayHold(j *reducer.Job) bool {
	left, last := 0, -1
	for _, pl := range s.places {
		if pl.Node != last {
			left += max(s.room[pl.Node].Accelerators, 0)
		}
		last = pl.Node
	}
	return left >= j.Spec.TotalAccelerators()
}

func (p *pass) claim(j *reducer.Job, s *shape, places []placer.Place) {
	s.room.Take(places)
	s.used++
	p.start(j, places, s.claim, "claims guarantee "+s.claim)
}

func (p *pass) covered(free placer.Free, places []placer.Place) bool {
	left := free.Clone()
	left.Take(places)
	for _, pl := range places {
		if !left[pl.Node].Valid() {
			return false
		}
	}
	return true
}
