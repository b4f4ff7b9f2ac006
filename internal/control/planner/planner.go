// Package planner decides which jobs start, which attempts stop and why the
// others wait. One call of Plan is one decision pass. It is pure: it reads no
// clock, and the same input gives the same plan.
//
//	decision := planner.Plan(planner.Input{State: s, NowMS: now, Ready: ready})
//	for _, start := range decision.Starts { … }
//
// The pass keeps one invariant: all guaranteed shapes that are not claimed can
// be placed at once on workers that hold nothing but work that may be stopped
// and started again. Work that may not be stopped goes only where that stays so.
package planner

import (
	"cmp"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// Bounds of one pass.
const (
	MaxStartsPerPass = 64
	MaxNotesPerPass  = 64
	MaxReservations  = 2
	// ReserveAfterMS is how long a blocked job waits before workers are kept
	// free for it.
	ReserveAfterMS = 30 * 1000
	// DefaultRunMS stands in for a run time that nobody declared.
	DefaultRunMS = 10 * 60 * 1000
	// DoubtMS is how long a worker is doubted after a job failed there.
	DoubtMS = 5 * 60 * 1000
	// DrainMarginMS is left for checkpoints before a domain's last moment.
	DrainMarginMS = 15 * 1000
)

// Input is all that a pass depends on.
type Input struct {
	State *reducer.State
	NowMS int64
	// Ready reports whether a worker answers and may take new work.
	Ready map[string]bool
	// Pending are jobs whose reservations are under way.
	Pending map[string]Pending
	// Holds are the workers that earlier passes cleared for waiting jobs.
	Holds map[string]Pending
	// Recheck asks for a check of all waiting jobs against the whole fleet.
	Recheck bool
}

// Pending is a start whose reservations are under way.
type Pending struct {
	Claim      string
	Placements []encoder.Placement
}

// Decision is what a pass decided.
type Decision struct {
	Starts   []Start
	Stops    []Stop
	Refusals []Refusal
	Notes    []Note
	// Holds replaces the holds of the input.
	Holds map[string]Pending
}

// Start is a job with the workers for its next attempt.
type Start struct {
	Job        string
	Attempt    int
	Claim      string
	Placements []encoder.Placement
	Reason     string
}

// Stop is an attempt that has to make room or leave a domain.
type Stop struct {
	Job     string
	Attempt int
	Cause   encoder.StopCause
	Reason  string
}

// Refusal is a waiting job that can never run.
type Refusal struct {
	Job    string
	Reason string
}

// Note says why a job waits; given only when the reason is new.
type Note struct {
	Job    string
	Reason string
}

// Plan makes one decision pass.
func Plan(in Input) Decision {
	p := newPass(in)
	p.drainDomains()
	for _, j := range p.waiting() {
		if len(p.plan.Starts) >= MaxStartsPerPass {
			break
		}
		p.decide(j)
	}
	return p.plan
}

// active is an attempt that holds workers.
type active struct {
	job         *reducer.Job
	attempt     *reducer.Attempt
	places      []placer.Place
	reclaimable bool
	stopping    bool
	// pending attempts hold reservations only, or workers that are being
	// cleared for them; they can't be stopped.
	pending bool
	held    bool
	endMS   int64
}

type pass struct {
	in     Input
	plan   Decision
	live   []*reducer.Job
	fleet  *placer.Fleet
	closed []bool
	// doubtful marks closed nodes and those where the last job failed.
	doubtful []bool
	// anyDoubt is set when a doubtful node is not closed.
	anyDoubt bool
	// free is what nothing uses now.
	free placer.Free
	// spare is what neither unstoppable work nor unclaimed guarantees use.
	spare   placer.Free
	actives []*active
	usage   map[string]int
	shapes  []*shape
	// perAccelerator is the smallest share that an accelerator brings along.
	perAccelerator placer.Resources
	reservations   []reservation
	holds          map[string]*active
	rackWeights    []int
	// failed holds the requests that found no place in this pass. Free workers
	// only grow fewer within a pass.
	failed map[failure]bool
	// possible holds the requests that have a place on the empty open workers.
	possible map[failure]bool
	clears   int
}

func newPass(in Input) *pass {
	p := &pass{in: in, live: in.State.LiveJobs(), fleet: in.State.Fleet(), failed: map[failure]bool{}, possible: map[failure]bool{}, usage: map[string]int{}, holds: map[string]*active{}}
	p.plan.Holds = map[string]Pending{}
	p.closed, p.doubtful = p.closedNodes()
	p.free = p.fleet.Totals()
	p.collectActives()
	p.perAccelerator = smallestShare(p.fleet)
	p.packGuarantees()
	p.rackWeights = p.weighRacks()
	return p
}

func (p *pass) closedNodes() (closed, doubtful []bool) {
	closed = p.in.State.ClosedNodes(p.fleet)
	doubtful = make([]bool, len(closed))
	for i, n := range p.fleet.Nodes {
		h := p.in.State.Workers[n.Worker]
		if !p.in.Ready[n.Worker] || h.Silent || h.UntilMS > p.in.NowMS {
			closed[i] = true
		}
		doubted := (h.Probation || len(h.FailedJobs) > 0) && p.in.NowMS-max(h.FailedMS, h.UntilMS) < DoubtMS
		doubtful[i] = closed[i] || doubted
		p.anyDoubt = p.anyDoubt || doubtful[i] != closed[i]
	}
	return closed, doubtful
}

func (p *pass) collectActives() {
	for _, j := range p.live {
		id := j.ID
		if a := j.Active(); a != nil {
			p.addActive(&active{job: j, attempt: a, stopping: j.Status == reducer.JobStopping}, a.Placements)
			continue
		}
		if start, ok := p.in.Pending[id]; ok {
			attempt := &reducer.Attempt{Claim: start.Claim, Placements: start.Placements, CommittedMS: p.in.NowMS}
			p.addActive(&active{job: j, attempt: attempt, pending: true}, start.Placements)
			continue
		}
		if hold, ok := p.in.Holds[id]; ok && j.Status == reducer.JobWaiting && p.holdStands(hold) {
			attempt := &reducer.Attempt{Claim: hold.Claim, Placements: hold.Placements, CommittedMS: p.in.NowMS}
			p.holds[id] = &active{job: j, attempt: attempt, pending: true, held: true}
			p.addActive(p.holds[id], hold.Placements)
		}
	}
}

// holdStands reports whether all workers of a hold still take new work.
func (p *pass) holdStands(h Pending) bool {
	return !slices.ContainsFunc(h.Placements, func(pl encoder.Placement) bool {
		i := p.fleet.Index(pl.Worker)
		return i < 0 || p.closed[i]
	})
}

func (p *pass) addActive(a *active, placements []encoder.Placement) {
	a.places = p.toPlaces(a.job, placements)
	a.reclaimable = a.stopping || (a.attempt.Claim == "" && a.job.Repeatable() && !a.held)
	a.endMS = p.in.NowMS + RemainingMS(a.job, a.attempt, p.in.NowMS)
	p.free.Take(a.places)
	p.usage[a.job.Spec.Workspace] += a.job.Spec.TotalAccelerators()
	p.actives = append(p.actives, a)
}

// toPlaces leaves out workers that no ticket knows any more.
func (p *pass) toPlaces(j *reducer.Job, placements []encoder.Placement) []placer.Place {
	each := placer.ForJob(j.Spec).Each
	places := make([]placer.Place, 0, len(placements))
	for _, pl := range placements {
		if i := p.fleet.Index(pl.Worker); i >= 0 {
			places = append(places, placer.Place{Node: i, Tasks: pl.Tasks, Each: each})
		}
	}
	return places
}

func (p *pass) toPlacements(places []placer.Place) []encoder.Placement {
	placements := make([]encoder.Placement, len(places))
	for i, pl := range places {
		placements[i] = encoder.Placement{Worker: p.fleet.Nodes[pl.Node].Worker, Tasks: pl.Tasks}
	}
	return placements
}

// waiting returns the jobs that want to start, in the order of decision.
func (p *pass) waiting() []*reducer.Job {
	var jobs []*reducer.Job
	for _, j := range p.live {
		if _, pending := p.in.Pending[j.ID]; j.Status == reducer.JobWaiting && !pending {
			jobs = append(jobs, j)
		}
	}
	rank := make(map[string]float64, len(jobs))
	for _, j := range jobs {
		rank[j.ID] = p.rank(j)
	}
	slices.SortStableFunc(jobs, func(a, b *reducer.Job) int {
		return cmp.Or(cmp.Compare(rank[b.ID], rank[a.ID]), cmp.Compare(a.SubmittedMS, b.SubmittedMS))
	})
	return jobs
}

// Ranks of the classes; response ratios stay far below the steps.
const (
	rankUrgent = 2e9
	rankClaim  = 1e9
)

// rank orders by class and then by the highest response ratio, which favours
// short jobs and lets no job wait for ever.
func (p *pass) rank(j *reducer.Job) float64 {
	rank := min(p.responseRatio(j), rankClaim/2)
	if p.mayClaim(j) {
		rank += rankClaim
	}
	if j.Spec.Urgent {
		rank += rankUrgent
	}
	return rank
}

// responseRatio is the expected time in the system over the expected run time.
func (p *pass) responseRatio(j *reducer.Job) float64 {
	run := float64(max(EstimateMS(j), 1000))
	wait := float64(p.in.NowMS - j.SubmittedMS - j.RanMS)
	return (max(wait, 0) + run) / run
}

func (p *pass) decide(j *reducer.Job) {
	if p.in.Recheck {
		if reason := p.in.State.NeverFits(j); reason != "" {
			p.plan.Refusals = append(p.plan.Refusals, Refusal{Job: j.ID, Reason: reason})
			return
		}
	}
	if h, ok := p.holds[j.ID]; ok {
		p.decideHeld(j, h)
		return
	}
	quota := p.quotaLeft(j)
	if !p.claimsFirst(j) && quota && p.startBorrowed(j) {
		return
	}
	if p.startClaim(j) {
		return
	}
	if !quota {
		p.note(j, "the quota of workspace "+j.Spec.Workspace+" is used up by its running jobs")
		return
	}
	if p.startBorrowed(j) || p.reclaimForUrgent(j) || p.clearForLarger(j) {
		return
	}
	p.reserve(j)
}

// quotaLeft reports whether the job fits into what its workspace's quota leaves.
func (p *pass) quotaLeft(j *reducer.Job) bool { return p.beyondQuota(j) <= 0 }

// beyondQuota returns how many accelerators too many the job would take.
func (p *pass) beyondQuota(j *reducer.Job) int {
	quota := p.in.State.Workspaces[j.Spec.Workspace].Spec.QuotaAccelerators
	if quota == 0 {
		return 0
	}
	return p.usage[j.Spec.Workspace] + j.Spec.TotalAccelerators() - quota
}

func (p *pass) start(j *reducer.Job, places []placer.Place, claim, reason string) {
	p.free.Take(places)
	p.usage[j.Spec.Workspace] += j.Spec.TotalAccelerators()
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: j.ID, Attempt: j.LastAttempt + 1, Claim: claim, Placements: p.toPlacements(places), Reason: reason,
	})
}

func (p *pass) stop(a *active, cause encoder.StopCause, reason string) {
	a.stopping = true
	p.plan.Stops = append(p.plan.Stops, Stop{Job: a.job.ID, Attempt: a.attempt.Number, Cause: cause, Reason: reason})
}

func (p *pass) note(j *reducer.Job, reason string) {
	if j.WaitingFor == reason || len(p.plan.Notes) >= MaxNotesPerPass {
		return
	}
	p.plan.Notes = append(p.plan.Notes, Note{Job: j.ID, Reason: reason})
}

// startBorrowed starts a job outside its workspace's guarantees. Work that may
// be stopped and started again can use any free worker; other work only what
// no guarantee needs.
func (p *pass) startBorrowed(j *reducer.Job) bool {
	if places, ok := p.placeIn(roomSpare, j, func() placer.Free { return p.unreserved(j, p.free).Floor(p.spare) }); ok {
		p.spare.Take(places)
		p.start(j, places, "", "on workers that no guarantee needs")
		return true
	}
	if !j.Repeatable() {
		return false
	}
	places, ok := p.placeIn(roomFree, j, func() placer.Free { return p.unreserved(j, p.free) })
	if !ok {
		return false
	}
	p.start(j, places, "", "borrows from guarantees that are not claimed now")
	return true
}
