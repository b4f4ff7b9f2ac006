package planner

import (
	"fmt"
	"math/bits"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// guarantee is one of the gangs that a workspace is guaranteed, with the places
// that are reserved for it.
type guarantee struct {
	placer.GuaranteedGang
	// claim names the guarantee in claims: its name and an index, as in "rack#0".
	claim  string
	places []placer.NodeTasks
	// unused is the part of the places that no claimant uses; nil when the
	// guarantee has no place.
	unused placer.Free
	// claimants counts the attempts that claim the guarantee.
	claimants int
}

// packGuarantees reserves places for all guarantees, the claimed ones first, and
// sets unguaranteed to what remains.
func (p *pass) packGuarantees() {
	p.listGuarantees()
	remaining := p.freeIfPreempted()
	p.packClaimed(remaining)
	p.packUnclaimed(remaining)
	p.unguaranteed = remaining
}

// listGuarantees lists the guaranteed gangs of all workspaces, still without places.
func (p *pass) listGuarantees() {
	counts := map[string]int{}
	for _, g := range p.in.State.GuaranteedGangs() {
		name := g.Workspace + "/" + g.Guarantee
		p.guarantees = append(p.guarantees, &guarantee{GuaranteedGang: g, claim: fmt.Sprintf("%s#%d", g.Guarantee, counts[name])})
		counts[name]++
	}
}

// freeIfPreempted returns the resources of the open nodes that would be free if
// all preemptible work were stopped. Work with a claim counts as free as well:
// packClaimed accounts for the whole guarantee that it claims.
func (p *pass) freeIfPreempted() placer.Free {
	free := p.fleet.Totals()
	for i := range free {
		if p.closed[i] {
			free[i] = placer.Resources{}
		}
	}
	for _, a := range p.allocations {
		if !a.preemptible && p.guaranteeOf(a) == nil {
			free.Allocate(a.places)
		}
	}
	return free
}

// guaranteeOf returns the guarantee that an attempt claims, or nil.
func (p *pass) guaranteeOf(a *allocation) *guarantee {
	if a.attempt.Claim == "" {
		return nil
	}
	for _, g := range p.guarantees {
		if g.Workspace == a.job.Spec.Workspace && g.claim == a.attempt.Claim {
			return g
		}
	}
	return nil
}

// packClaimed reserves the places of the claimed guarantees. The unclaimed rest
// of a guarantee stays in the adjacency group of its claimants.
func (p *pass) packClaimed(remaining placer.Free) {
	for _, a := range p.allocations {
		g := p.guaranteeOf(a)
		if g == nil || a.stopping {
			continue
		}
		if g.unused == nil {
			g.unused = make(placer.Free, len(p.fleet.Nodes))
		}
		g.claimants++
		p.packAroundClaimant(remaining, g, a.places)
	}
	for _, g := range p.guarantees {
		if g.claimants > 0 {
			p.packRest(remaining, g)
		}
	}
}

// packAroundClaimant reserves enough tasks of the guarantee on each node of a
// claimant to cover what the claimant uses there.
func (p *pass) packAroundClaimant(remaining placer.Free, g *guarantee, places []placer.NodeTasks) {
	for _, pl := range places {
		perTask := p.fleet.Need(g.Request, pl.Node)
		need := pl.PerTask.Times(pl.Tasks)
		for g.unused[pl.Node].Accelerators < need.Accelerators {
			g.unused[pl.Node] = g.unused[pl.Node].Plus(perTask)
			remaining[pl.Node] = remaining[pl.Node].Minus(perTask)
			g.places = append(g.places, placer.NodeTasks{Node: pl.Node, Tasks: 1, PerTask: perTask})
		}
		g.unused[pl.Node] = g.unused[pl.Node].Minus(need)
	}
}

// packRest reserves the tasks of a claimed guarantee that its claimants don't
// cover, in the adjacency group of the first claimant.
func (p *pass) packRest(remaining placer.Free, g *guarantee) {
	rest := g.Request
	rest.Tasks -= len(g.places)
	if rest.Tasks <= 0 || len(g.places) == 0 {
		return
	}
	inGroup := p.fleet.SameGroup(g.places[0].Node, rest.Within)
	places, ok := p.fleet.Place(remaining, rest, placer.Options{Closed: closedOutside(p.closed, inGroup)})
	if ok {
		g.reservePlaces(remaining, places)
	}
}

// reservePlaces reserves the places for the guarantee and takes them from
// remaining.
func (g *guarantee) reservePlaces(remaining placer.Free, places []placer.NodeTasks) {
	remaining.Allocate(places)
	g.places = append(g.places, places...)
	g.unused.Release(places)
}

// closedOutside returns closed with all nodes outside the group closed too.
func closedOutside(closed, inGroup []bool) []bool {
	mask := slices.Clone(closed)
	for i := range mask {
		mask[i] = mask[i] || !inGroup[i]
	}
	return mask
}

// packUnclaimed reserves a place for each unclaimed guarantee: on free workers if
// possible, else on workers whose work can be preempted, and on avoided workers
// only when there is no other place.
func (p *pass) packUnclaimed(remaining placer.Free) {
	var unpacked []*guarantee
	for _, g := range p.guarantees {
		if g.claimants == 0 {
			unpacked = append(unpacked, g)
		}
	}
	unpacked = p.reserveWithin(remaining, p.freeAfterStops().Min(remaining), unpacked, placer.Options{Closed: p.avoided})
	if len(unpacked) == 0 {
		return
	}
	// Among borrowed workers, those where preemption loses the least work go first.
	losses := p.rackWeightsByLoss()
	unpacked = p.reserveWithin(remaining, remaining.Clone(), unpacked, placer.Options{Closed: p.avoided, Dense: true, RackWeights: losses})
	if p.anyOpenAvoided {
		p.reserveWithin(remaining, remaining.Clone(), unpacked, placer.Options{Closed: p.closed, Dense: true, RackWeights: losses})
	}
}

// lossWeightPerDoubling is added to a rack's weight each time that the work to
// lose there doubles.
const lossWeightPerDoubling = 16

// rackWeightsByLoss returns rack weights that grow with the logarithm of the work
// that preemption on the rack would lose.
func (p *pass) rackWeightsByLoss() []int {
	rackLoss := make(map[string]int64, len(p.fleet.Nodes))
	for _, a := range p.allocations {
		if !a.preemptible || a.stopping {
			continue
		}
		for _, pl := range a.places {
			rackLoss[p.fleet.Nodes[pl.Node].Rack] += p.workLost(a, encoder.StopReclaim)
		}
	}
	weights := make([]int, len(p.fleet.Nodes))
	for i, n := range p.fleet.Nodes {
		weights[i] = lossWeightPerDoubling * bits.Len64(uint64(max(rackLoss[n.Rack], 0)))
	}
	return weights
}

// freeAfterStops returns what will be free once all stopping attempts have ended.
func (p *pass) freeAfterStops() placer.Free {
	freed := p.free.Clone()
	for _, a := range p.allocations {
		if a.stopping {
			freed.Release(a.places)
		}
	}
	return freed
}

// reserveWithin reserves places for the guarantees within available, takes them from
// remaining, and returns the guarantees that found no place. remaining is what all
// guarantees together may still reserve, and available is the part of it that this call
// searches, such as the workers that are free.
func (p *pass) reserveWithin(remaining, available placer.Free, guarantees []*guarantee, o placer.Options) (unplaced []*guarantee) {
	if len(guarantees) == 0 {
		return nil
	}
	list := make([]placer.GuaranteedGang, len(guarantees))
	for i, g := range guarantees {
		list[i] = g.GuaranteedGang
	}
	packing := p.fleet.Pack(available, list, o)
	for i, g := range guarantees {
		if packing.Places[i] == nil {
			unplaced = append(unplaced, g)
			continue
		}
		g.unused = make(placer.Free, len(p.fleet.Nodes))
		g.reservePlaces(remaining, packing.Places[i])
	}
	return unplaced
}

// coveredByGuarantee reports whether a guarantee of the job's workspace covers it.
func (p *pass) coveredByGuarantee(j *reducer.Job) bool {
	return slices.ContainsFunc(p.guarantees, func(g *guarantee) bool { return p.covers(g, j) })
}

// covers reports whether the whole gang of the job fits into the guarantee, by
// its accelerators, its share of processors and memory, and its adjacency.
func (p *pass) covers(g *guarantee, j *reducer.Job) bool {
	k := j.Spec.Accelerators
	if g.Workspace != j.Spec.Workspace || k == 0 || k > g.Request.PerTask.Accelerators {
		return false
	}
	share := p.sharePerAccelerator.Times(k)
	if j.Spec.Processors > share.Processors || j.Spec.MemoryMB > share.MemoryMB {
		return false
	}
	perTask := g.Request.PerTask.Accelerators / k
	if j.Spec.Tasks > g.Request.Tasks*perTask {
		return false
	}
	return j.Spec.Tasks <= perTask || g.Request.Within.Satisfies(j.Spec.Within)
}

// smallestAcceleratorShare returns the least processors and memory per
// accelerator among the nodes that have accelerators.
func smallestAcceleratorShare(f *placer.Fleet) placer.Resources {
	share := placer.Resources{Processors: 1 << 30, MemoryMB: 1 << 30, Accelerators: 1}
	for _, n := range f.Nodes {
		if k := n.Total.Accelerators; k > 0 {
			share.Processors = min(share.Processors, n.Total.Processors/k)
			share.MemoryMB = min(share.MemoryMB, n.Total.MemoryMB/k)
		}
	}
	return share
}

// startInGuarantee starts a job within a guarantee of its workspace. When
// borrowers use the workers, it reclaims the place that loses the least work and
// the job waits. It returns false when no guarantee has room for the job.
func (p *pass) startInGuarantee(j *reducer.Job) bool {
	var cheapest *borrowedPlace
	for _, g := range p.guarantees {
		if g.unused == nil || !p.covers(g, j) || !g.hasRoomFor(j) {
			continue
		}
		places, ok := p.placeInGuarantee(j, g)
		if !ok {
			continue
		}
		if p.placesFit(p.free, places) {
			if p.preemptForQuota(j) {
				return true
			}
			p.startWithClaim(j, g, places)
			return true
		}
		c := &borrowedPlace{guarantee: g, places: places, loss: p.totalWorkLost(places, encoder.StopReclaim)}
		if cheapest == nil || c.loss < cheapest.loss {
			cheapest = c
		}
	}
	if cheapest == nil {
		return false
	}
	return p.reclaim(j, cheapest)
}

// prefersGuarantee reports whether the job should claim a guarantee even if other
// workers are free: when it is urgent, must not run twice, or takes more than
// half of a guarantee. Smaller jobs leave guarantees whole as long as possible.
func (p *pass) prefersGuarantee(j *reducer.Job) bool {
	if j.Spec.Urgent || j.Spec.NonIdempotent {
		return true
	}
	return slices.ContainsFunc(p.guarantees, func(g *guarantee) bool {
		return p.covers(g, j) && 2*j.Spec.TotalAccelerators() > g.Request.Tasks*g.Request.PerTask.Accelerators
	})
}

// placeInGuarantee finds a place among the guarantee's workers, and prefers those
// that are free now. Urgent jobs then prefer workers whose work can be stopped at
// once over those where a checkpoint is under way.
func (p *pass) placeInGuarantee(j *reducer.Job, g *guarantee) ([]placer.NodeTasks, bool) {
	if places, ok := p.place(j, g.unused.Min(p.free)); ok {
		return places, true
	}
	if !j.Spec.Urgent {
		return p.place(j, g.unused)
	}
	withoutStopping := g.unused.Clone()
	for _, a := range p.allocations {
		if !a.stopping {
			continue
		}
		for _, pl := range a.places {
			withoutStopping[pl.Node] = placer.Resources{}
		}
	}
	if places, ok := p.place(j, withoutStopping); ok {
		return places, true
	}
	return p.place(j, g.unused)
}

// hasRoomFor reports whether the guarantee has enough unused accelerators.
func (g *guarantee) hasRoomFor(j *reducer.Job) bool {
	left, lastNode := 0, -1
	for _, pl := range g.places {
		if pl.Node != lastNode {
			left += max(g.unused[pl.Node].Accelerators, 0)
		}
		lastNode = pl.Node
	}
	return left >= j.Spec.TotalAccelerators()
}

// startWithClaim starts a job on places of a guarantee.
func (p *pass) startWithClaim(j *reducer.Job, g *guarantee, places []placer.NodeTasks) {
	g.unused.Allocate(places)
	g.claimants++
	p.start(j, places, g.claim, "claims guarantee "+g.claim)
}

// placesFit reports whether all places fit into free at the same time.
func (p *pass) placesFit(free placer.Free, places []placer.NodeTasks) bool {
	left := free.Clone()
	left.Allocate(places)
	for _, pl := range places {
		if !left[pl.Node].NonNegative() {
			return false
		}
	}
	return true
}
