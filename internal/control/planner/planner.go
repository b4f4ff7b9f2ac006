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
	Pending map[string][]encoder.Placement
	// Recheck asks for a check of all waiting jobs against the whole fleet.
	Recheck bool
}

// Decision is what a pass decided.
type Decision struct {
	Starts   []Start
	Stops    []Stop
	Refusals []Refusal
	Notes    []Note
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
	endMS       int64
}

type pass struct {
	in     Input
	plan   Decision
	fleet  *placer.Fleet
	closed []bool
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
}

func newPass(in Input) *pass {
	p := &pass{in: in, fleet: in.State.Fleet(), usage: map[string]int{}}
	p.closed = p.closedNodes()
	p.free = p.fleet.Totals()
	p.collectActives()
	p.perAccelerator = smallestShare(p.fleet)
	p.packGuarantees()
	return p
}

func (p *pass) closedNodes() []bool {
	closed := p.in.State.ClosedNodes(p.fleet)
	for i, n := range p.fleet.Nodes {
		h := p.in.State.Workers[n.Worker]
		if !p.in.Ready[n.Worker] || h.Silent || h.UntilMS > p.in.NowMS {
			closed[i] = true
		}
	}
	return closed
}

func (p *pass) collectActives() {
	for _, id := range reducer.SortedKeys(p.in.State.Jobs) {
		j := p.in.State.Jobs[id]
		if a := j.Active(); a != nil {
			p.addActive(&active{job: j, attempt: a, stopping: j.Status == reducer.JobStopping}, a.Placements)
			continue
		}
		if placements, ok := p.in.Pending[id]; ok {
			pending := &reducer.Attempt{Placements: placements, CommittedMS: p.in.NowMS}
			p.addActive(&active{job: j, attempt: pending}, placements)
		}
	}
}

func (p *pass) addActive(a *active, placements []encoder.Placement) {
	a.places = p.toPlaces(a.job, placements)
	a.reclaimable = a.stopping || (a.attempt.Claim == "" && a.job.Repeatable())
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
	for _, id := range reducer.SortedKeys(p.in.State.Jobs) {
		j := p.in.State.Jobs[id]
		if _, pending := p.in.Pending[id]; j.Status == reducer.JobWaiting && !pending {
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
	run := float64(max(EstimateMS(j), 1000))
	wait := float64(p.in.NowMS - j.SubmittedMS - j.RanMS)
	rank := min((max(wait, 0)+run)/run, rankClaim/2)
	if p.mayClaim(j) {
		rank += rankClaim
	}
	if j.Spec.Urgent {
		rank += rankUrgent
	}
	return rank
}

func (p *pass) decide(j *reducer.Job) {
	if p.in.Recheck {
		if reason := p.in.State.NeverFits(j); reason != "" {
			p.plan.Refusals = append(p.plan.Refusals, Refusal{Job: j.ID, Reason: reason})
			return
		}
	}
	if reason := p.overQuota(j); reason != "" {
		p.note(j, reason)
		return
	}
	if p.startClaim(j) || p.startBorrowed(j) || p.reclaimForUrgent(j) {
		return
	}
	p.reserve(j)
}

func (p *pass) overQuota(j *reducer.Job) string {
	w := p.in.State.Workspaces[j.Spec.Workspace].Spec
	if w.QuotaAccelerators == 0 || p.usage[w.Name]+j.Spec.TotalAccelerators() <= w.QuotaAccelerators {
		return ""
	}
	return "the quota of workspace " + w.Name + " is used up by its running jobs"
}

func (p *pass) start(j *reducer.Job, places []placer.Place, claim, reason string) {
	p.free.Take(places)
	p.usage[j.Spec.Workspace] += j.Spec.TotalAccelerators()
	p.plan.Starts = append(p.plan.Starts, Start{
		Job: j.ID, Attempt: j.AttemptCount + 1, Claim: claim, Placements: p.toPlacements(places), Reason: reason,
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
	r := placer.ForJob(j.Spec)
	o := placer.Options{Closed: p.closed}
	open := p.unreserved(j, p.free)
	if places, ok := p.fleet.Place(open.Floor(p.spare), r, o); ok {
		p.spare.Take(places)
		p.start(j, places, "", "on workers that no guarantee needs")
		return true
	}
	if !j.Repeatable() {
		return false
	}
	places, ok := p.fleet.Place(open, r, o)
	if !ok {
		return false
	}
	p.start(j, places, "", "borrows from guarantees that are not claimed now")
	return true
}
