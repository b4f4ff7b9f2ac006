// Package planner is the scheduling policy. It decides which jobs start, which
// attempts are stopped and why the other jobs wait. One call of Plan is one
// planning pass. Plan is pure: it reads no clock, and the same input gives the
// same decision.
//
//	decision := planner.Plan(planner.Input{State: s, NowMS: now, Ready: ready})
//	for _, start := range decision.Starts { … }
//
// A guarantee reserves room for whole gangs of a workspace. A job that runs
// within a guarantee of its workspace claims it; other work may borrow the
// reserved workers meanwhile, if it can be preempted. The pass keeps one
// invariant: all guarantees that are not claimed can be placed at the same time
// on workers that are free or run only preemptible work. Work that can't be
// preempted is placed only where this remains true.
package planner

import (
	"cmp"
	"slices"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// Limits and times of a planning pass.
const (
	MaxStartsPerPass      = 64
	MaxWaitReasonsPerPass = 64
	// MaxReservations is the number of blocked jobs for which workers are reserved.
	MaxReservations = 2
	// ReserveAfterMS is how long a blocked job waits before workers are reserved
	// for it or other work is preempted to defragment the fleet.
	ReserveAfterMS = 30 * 1000
	// DefaultRunMS is the expected run time of a job that declares none.
	DefaultRunMS = 10 * 60 * 1000
	// AvoidAfterFailureMS is how long a worker is avoided after a job failed on it.
	AvoidAfterFailureMS = 5 * 60 * 1000
	// DrainMarginMS is the time for checkpoints before the stop deadline of a
	// failure domain that is out of service.
	DrainMarginMS = 15 * 1000
)

// Input is everything that a pass depends on.
type Input struct {
	State *reducer.State
	NowMS int64
	// Ready tells, by worker, whether it is responsive and accepts new work.
	Ready map[string]bool
	// Pending maps the jobs that an earlier pass decided to start, and whose workers
	// are still being reserved, to those workers.
	Pending map[string]Assignment
	// Holds maps waiting jobs to the workers on which earlier passes preempted
	// work for them. Nothing else is placed there until the job starts. A hold is
	// planning state only: no worker is asked to reserve anything for it.
	Holds map[string]Assignment
	// RefuseImpossible refuses each waiting job that could not run even on the empty
	// fleet. It is set after a change of the configuration.
	RefuseImpossible bool
}

// Assignment lists the workers that are kept for a job that has not started yet.
// Claim names the guarantee that the job claims; it is empty without one.
type Assignment struct {
	Claim      string
	Placements []encoder.Placement
}

// Decision is the result of a pass.
type Decision struct {
	Starts      []Start
	Stops       []Stop
	Refusals    []Refusal
	WaitReasons []WaitReason
	// Holds replaces Input.Holds in the next pass.
	Holds map[string]Assignment
}

// Start assigns workers to the next attempt of a job. Claim names the guarantee
// that the attempt claims; it is empty without one.
type Start struct {
	Job        string
	Attempt    int
	Claim      string
	Placements []encoder.Placement
	Reason     string
}

// Stop ends an attempt that is preempted or has to leave a failure domain.
type Stop struct {
	Job     string
	Attempt int
	Cause   encoder.StopCause
	Reason  string
}

// Refusal ends a waiting job that can never run, or that crashes its workers.
type Refusal struct {
	Job    string
	Reason string
}

// WaitReason tells why a job waits. It is given only when the reason has changed.
type WaitReason struct {
	Job    string
	Reason string
}

// Plan makes one planning pass. It first drains failure domains and then decides
// the waiting jobs one by one, in the order of their rank.
func Plan(in Input) Decision {
	p := newPass(in)
	p.drainDomains()
	for _, j := range p.waiting() {
		if len(p.decision.Starts) >= MaxStartsPerPass {
			break
		}
		p.decide(j)
	}
	return p.decision
}

// allocation holds the resources that one attempt uses or that are kept for it.
type allocation struct {
	job     *reducer.Job
	attempt *reducer.Attempt
	places  []placer.NodeTasks
	// preemptible attempts may be stopped for other work. Attempts that were stopping
	// when the pass began are preemptible too, since their resources become free.
	preemptible bool
	stopping    bool
	// notStarted is set for jobs of Input.Pending and Input.Holds. They have only
	// reservations or held workers, so there is nothing to stop.
	notStarted bool
	// held is set when the workers come from Input.Holds.
	held          bool
	expectedEndMS int64
}

// pass is the working state of one planning pass.
type pass struct {
	in         Input
	decision   Decision
	unfinished []*reducer.Job
	fleet      *placer.Fleet
	// closed marks the nodes that accept no new work.
	closed []bool
	// avoided marks the closed nodes and those on which a job failed recently.
	avoided []bool
	// anyOpenAvoided is set when a node is avoided but not closed.
	anyOpenAvoided bool
	// free holds the resources that nothing uses now.
	free placer.Free
	// unguaranteed holds the resources that remain after work that can't be
	// preempted and the unclaimed guarantees. Preemptible work counts as absent.
	unguaranteed placer.Free
	allocations  []*allocation
	// unprovenSuspects are the allocations of suspects that have not run for ProvenAfterMS.
	unprovenSuspects []*allocation
	usedAccelerators map[string]int
	guarantees       []*guarantee
	// sharePerAccelerator is the smallest amount of processors and memory that
	// any node has per accelerator.
	sharePerAccelerator placer.Resources
	reservations        []reservation
	holds               map[string]*allocation
	rackWeights         []int
	// unplaceable caches the requests that found no place in this pass. The free
	// resources only shrink within a pass.
	unplaceable map[requestKey]bool
	// fitEmptyFleet caches the requests that fit the open workers when these are
	// empty.
	fitEmptyFleet    map[requestKey]bool
	defragmentations int
}

// newPass prepares a pass: it collects what is in use and reserves places for the
// guarantees.
func newPass(in Input) *pass {
	p := &pass{in: in, unfinished: in.State.UnfinishedJobs(), fleet: in.State.Fleet(), unplaceable: map[requestKey]bool{}, fitEmptyFleet: map[requestKey]bool{}, usedAccelerators: map[string]int{}, holds: map[string]*allocation{}}
	p.decision.Holds = map[string]Assignment{}
	p.closed, p.avoided = p.closedNodes()
	p.free = p.fleet.Totals()
	p.collectAllocations()
	p.sharePerAccelerator = smallestAcceleratorShare(p.fleet)
	p.packGuarantees()
	p.rackWeights = p.rackWeightsByCostlyWork()
	return p
}

// closedNodes returns the nodes that accept no new work, and those plus the nodes
// on which a job failed within AvoidAfterFailureMS.
func (p *pass) closedNodes() (closed, avoided []bool) {
	closed = p.in.State.NodesOutOfService(p.fleet)
	avoided = make([]bool, len(closed))
	for i, n := range p.fleet.Nodes {
		health := p.in.State.Workers[n.Worker]
		if !p.in.Ready[n.Worker] || health.Silent || health.UntilMS > p.in.NowMS {
			closed[i] = true
		}
		failedRecently := (health.Probation || len(health.FailedJobs) > 0) && p.in.NowMS-max(health.FailedMS, health.UntilMS) < AvoidAfterFailureMS
		avoided[i] = closed[i] || failedRecently
		p.anyOpenAvoided = p.anyOpenAvoided || avoided[i] != closed[i]
	}
	return closed, avoided
}

// collectAllocations records what is in use: active attempts, gangs whose workers
// are being reserved, and valid holds.
func (p *pass) collectAllocations() {
	for _, j := range p.unfinished {
		id := j.ID
		if a := j.ActiveAttempt(); a != nil {
			p.addAllocation(&allocation{job: j, attempt: a, stopping: j.Status == reducer.JobStopping}, a.Placements)
			continue
		}
		if start, ok := p.in.Pending[id]; ok {
			attempt := &reducer.Attempt{Claim: start.Claim, Placements: start.Placements, CommittedMS: p.in.NowMS}
			p.addAllocation(&allocation{job: j, attempt: attempt, notStarted: true}, start.Placements)
			continue
		}
		if hold, ok := p.in.Holds[id]; ok && j.Status == reducer.JobWaiting && p.holdIsValid(hold) {
			attempt := &reducer.Attempt{Claim: hold.Claim, Placements: hold.Placements, CommittedMS: p.in.NowMS}
			p.holds[id] = &allocation{job: j, attempt: attempt, notStarted: true, held: true}
			p.addAllocation(p.holds[id], hold.Placements)
		}
	}
}

// holdIsValid reports whether all workers of a hold still accept new work.
func (p *pass) holdIsValid(h Assignment) bool {
	return !slices.ContainsFunc(h.Placements, func(pl encoder.Placement) bool {
		i := p.fleet.Index(pl.Worker)
		return i < 0 || p.closed[i]
	})
}

// addAllocation records an allocation and takes its places from the free resources.
func (p *pass) addAllocation(a *allocation, placements []encoder.Placement) {
	a.places = p.toPlaces(a.job, placements)
	a.preemptible = a.stopping || (a.attempt.Claim == "" && a.job.Restartable() && !a.held)
	a.expectedEndMS = p.in.NowMS + RemainingMS(a.job, a.attempt, p.in.NowMS)
	p.free.Allocate(a.places)
	p.usedAccelerators[a.job.Spec.Workspace] += a.job.Spec.TotalAccelerators()
	p.allocations = append(p.allocations, a)
	if p.in.NowMS-a.attempt.CommittedMS < ProvenAfterMS && isSuspect(a.job) {
		p.unprovenSuspects = append(p.unprovenSuspects, a)
	}
}

// toPlaces converts placements, and skips workers that are no longer configured.
func (p *pass) toPlaces(j *reducer.Job, placements []encoder.Placement) []placer.NodeTasks {
	perTask := placer.ForJob(j.Spec).PerTask
	places := make([]placer.NodeTasks, 0, len(placements))
	for _, pl := range placements {
		if i := p.fleet.Index(pl.Worker); i >= 0 {
			places = append(places, placer.NodeTasks{Node: i, Tasks: pl.Tasks, PerTask: perTask})
		}
	}
	return places
}

// toPlacements converts places, which name nodes by position, to placements, which
// name workers.
func (p *pass) toPlacements(places []placer.NodeTasks) []encoder.Placement {
	placements := make([]encoder.Placement, len(places))
	for i, pl := range places {
		placements[i] = encoder.Placement{Worker: p.fleet.Nodes[pl.Node].Worker, Tasks: pl.Tasks}
	}
	return placements
}

// waiting returns the jobs that may start, by descending rank and then by time
// of submission.
func (p *pass) waiting() []*reducer.Job {
	var jobs []*reducer.Job
	for _, j := range p.unfinished {
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

// Rank offsets of the job classes. Response ratios are capped below the
// difference of two classes.
const (
	rankUrgent     = 2e9
	rankGuaranteed = 1e9
)

// rank orders jobs by class, and within a class by highest response ratio next
// (HRRN), which favours short jobs but starves none.
func (p *pass) rank(j *reducer.Job) float64 {
	rank := min(p.responseRatio(j), rankGuaranteed/2)
	if p.coveredByGuarantee(j) {
		rank += rankGuaranteed
	}
	if j.Spec.Urgent {
		rank += rankUrgent
	}
	return rank
}

// responseRatio returns (waiting time + expected run time) / expected run time.
func (p *pass) responseRatio(j *reducer.Job) float64 {
	run := float64(max(EstimateMS(j), 1000))
	wait := float64(p.in.NowMS - j.SubmittedMS - j.RanMS)
	return (max(wait, 0) + run) / run
}

// decide refuses or starts a waiting job, makes room for it, or records why it
// waits. Unless the job prefers a guarantee, workers outside of its guarantees are
// tried first. A guarantee takes precedence over the quota; all other ways to
// start are within the quota.
func (p *pass) decide(j *reducer.Job) {
	if p.in.RefuseImpossible {
		if reason := p.in.State.UnschedulableReason(j); reason != "" {
			p.decision.Refusals = append(p.decision.Refusals, Refusal{Job: j.ID, Reason: reason})
			return
		}
	}
	if reason := p.crashReason(j); reason != "" {
		p.decision.Refusals = append(p.decision.Refusals, Refusal{Job: j.ID, Reason: reason})
		return
	}
	if h, ok := p.holds[j.ID]; ok {
		p.decideHeld(j, h)
		return
	}
	hasQuota := p.withinQuota(j)
	if !p.prefersGuarantee(j) && hasQuota && p.startOutsideGuarantee(j) {
		return
	}
	if p.startInGuarantee(j) {
		return
	}
	if !hasQuota {
		p.addWaitReason(j, "the quota of workspace "+j.Spec.Workspace+" is used up by its running jobs")
		return
	}
	if p.startOutsideGuarantee(j) || p.preemptForUrgent(j) || p.defragment(j) {
		return
	}
	p.reserve(j)
}

// withinQuota reports whether the job fits into the remaining quota of its workspace.
func (p *pass) withinQuota(j *reducer.Job) bool { return p.quotaExcess(j) <= 0 }

// quotaExcess returns by how many accelerators the job would exceed the quota of
// its workspace. A result of zero or less is within the quota.
func (p *pass) quotaExcess(j *reducer.Job) int {
	quota := p.in.State.Workspaces[j.Spec.Workspace].Spec.QuotaAccelerators
	if quota == 0 {
		return 0
	}
	return p.usedAccelerators[j.Spec.Workspace] + j.Spec.TotalAccelerators() - quota
}

// start decides to start the job, and allocates the places.
func (p *pass) start(j *reducer.Job, places []placer.NodeTasks, claim, reason string) {
	p.free.Allocate(places)
	p.usedAccelerators[j.Spec.Workspace] += j.Spec.TotalAccelerators()
	p.decision.Starts = append(p.decision.Starts, Start{
		Job: j.ID, Attempt: j.LastAttempt + 1, Claim: claim, Placements: p.toPlacements(places), Reason: reason,
	})
}

// stop decides to stop an attempt. Its resources remain in use until it has ended.
func (p *pass) stop(a *allocation, cause encoder.StopCause, reason string) {
	a.stopping = true
	p.decision.Stops = append(p.decision.Stops, Stop{Job: a.job.ID, Attempt: a.attempt.Number, Cause: cause, Reason: reason})
}

// addWaitReason records why the job waits, unless the reason is unchanged or the
// limit of the pass is reached.
func (p *pass) addWaitReason(j *reducer.Job, reason string) {
	if j.WaitingFor == reason || len(p.decision.WaitReasons) >= MaxWaitReasonsPerPass {
		return
	}
	p.decision.WaitReasons = append(p.decision.WaitReasons, WaitReason{Job: j.ID, Reason: reason})
}

// startOutsideGuarantee starts a job without a claim to a guarantee. Restartable
// jobs may borrow any free worker, since they can be preempted; other jobs use
// only workers that no guarantee needs.
func (p *pass) startOutsideGuarantee(j *reducer.Job) bool {
	if places, ok := p.placeIn(poolUnguaranteed, j, func() placer.Free { return p.unreserved(j, p.free).Min(p.unguaranteed) }); ok {
		p.unguaranteed.Allocate(places)
		p.start(j, places, "", "on workers that no guarantee needs")
		return true
	}
	if !j.Restartable() {
		return false
	}
	places, ok := p.placeIn(poolFree, j, func() placer.Free { return p.unreserved(j, p.free) })
	if !ok {
		return false
	}
	p.start(j, places, "", "borrows from guarantees that are not claimed now")
	return true
}
