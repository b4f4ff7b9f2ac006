package planner

import (
	"fmt"
	"slices"
	"strings"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// Limits for jobs that may crash the workers that start them.
const (
	// CrashWindowMS is how soon after the start of an attempt the loss of a worker may be
	// the job's fault. Long-running jobs lose workers for other reasons.
	CrashWindowMS = 10 * 60 * 1000
	// SuspectLosses is the number of early losses that make a job a suspect.
	SuspectLosses = 2
	// ProvenAfterMS is how long a suspect has to run before other jobs start on its workers.
	ProvenAfterMS = 30 * 1000
	// CrashesToGiveUp is the number of early losses on different workers for which a job
	// is given up, if no other job is as likely to be their cause.
	CrashesToGiveUp = 3
	// MaxEarlyLosses is the number of early losses for which a job is given up unless
	// another is more likely to be their cause.
	MaxEarlyLosses = 5
)

// earlyLosses returns the attempts that were lost within CrashWindowMS of their start. An
// attempt that lasted longer clears the job of earlier ones.
func earlyLosses(j *reducer.Job) (losses []reducer.Attempt) {
	for _, a := range j.Attempts {
		switch early := a.EndedMS-a.CommittedMS <= CrashWindowMS; {
		case !early:
			losses = nil
		case a.Result == encoder.ResultLost:
			losses = append(losses, a)
		}
	}
	return losses
}

func isSuspect(j *reducer.Job) bool { return len(earlyLosses(j)) >= SuspectLosses }

// crashReason explains why a waiting job is given up as one that crashes its workers. It
// returns "" if the job may start again. It reads only the replicated state, so that every
// holder decides the same.
//
// The crash of a worker ends the attempts of all jobs there. The one with the most early
// losses is taken for its cause.
func (p *pass) crashReason(j *reducer.Job) string {
	losses := earlyLosses(j)
	if len(losses) < CrashesToGiveUp {
		return ""
	}
	var likely, possible []reducer.Attempt
	for _, a := range losses {
		others := p.lossesOfCompanions(j, a)
		if others < len(losses) {
			likely = append(likely, a)
		}
		if others <= len(losses) {
			possible = append(possible, a)
		}
	}
	if len(possible) < MaxEarlyLosses && !p.onDifferentWorkers(likely) {
		return ""
	}
	reasons := make([]string, len(possible))
	for i, a := range possible {
		reasons[i] = fmt.Sprintf("attempt %d: %s", a.Number, a.EndReason)
	}
	return fmt.Sprintf("workers were lost soon after %d of its starts, so it is not started again (%s)", len(possible), strings.Join(reasons, "; "))
}

// lossesOfCompanions returns the largest number of early losses of any other job that had
// tasks on a worker of the lost attempt when it was lost. Active attempts there count as
// lost, since their end may not be recorded yet.
func (p *pass) lossesOfCompanions(j *reducer.Job, lost reducer.Attempt) (most int) {
	for _, other := range p.in.State.Jobs {
		for _, a := range other.Attempts {
			active := a.EndedMS == 0
			if other == j || !active && a.Result != encoder.ResultLost || !coincide(a, lost) {
				continue
			}
			n := len(earlyLosses(other))
			if active {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

// coincide reports whether two attempts, of which the second has ended, were active at the
// same time on the same boot of a worker.
func coincide(a, ended reducer.Attempt) bool {
	if a.CommittedMS > ended.EndedMS || a.EndedMS > 0 && a.EndedMS < ended.CommittedMS {
		return false
	}
	return slices.ContainsFunc(a.Placements, func(x encoder.Placement) bool {
		return slices.ContainsFunc(ended.Placements, func(y encoder.Placement) bool { return x.Worker == y.Worker && x.Boot == y.Boot })
	})
}

// onDifferentWorkers reports whether CrashesToGiveUp of the attempts had no worker in common,
// and not all of them were in the same failure domain: that may have had an outage.
func (p *pass) onDifferentWorkers(attempts []reducer.Attempt) bool {
	var workers, domains []string
	disjoint := 0
	for _, a := range attempts {
		if slices.ContainsFunc(a.Placements, func(pl encoder.Placement) bool { return slices.Contains(workers, pl.Worker) }) {
			continue
		}
		disjoint++
		workers = appendWorkers(workers, a.Placements)
		domains = append(domains, p.domainsOf(a.Placements)...)
	}
	slices.Sort(domains)
	return disjoint >= CrashesToGiveUp && len(slices.Compact(domains)) > 1
}

// domainsOf returns the failure domains of the placements, in ascending order.
func (p *pass) domainsOf(placements []encoder.Placement) (domains []string) {
	for _, pl := range placements {
		if i := p.fleet.Index(pl.Worker); i >= 0 {
			domains = append(domains, p.fleet.Nodes[i].Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// shunsSuspects reports whether the job shuns the workers of suspects. Urgent and guaranteed
// jobs don't wait for that.
func (p *pass) shunsSuspects(j *reducer.Job) bool {
	return isSuspect(j) || !j.Spec.Urgent && !p.coveredByGuarantee(j)
}

// shunsOthers reports whether the job may shun other workers than those of suspects.
func shunsOthers(j *reducer.Job) bool { return len(j.FailedOn) > 0 || isSuspect(j) }

// shunnedWorkers returns the workers to which the job doesn't go while any other could hold
// it: those on which it failed, those of suspects, whose crash it would share, and, for a
// suspect, those on which another loss would not show its cause.
func (p *pass) shunnedWorkers(j *reducer.Job) []string {
	shunned := j.FailedOn
	if p.shunsSuspects(j) {
		shunned = slices.Concat(shunned, p.workersOfSuspects(j))
	}
	if !isSuspect(j) {
		return shunned
	}
	workers, domains := p.recentlyLost(j)
	for _, lost := range [][]string{slices.Concat(workers, domains), workers} {
		all := slices.Concat(shunned, lost)
		if _, ok := p.fleet.Place(p.fleet.Totals(), placer.ForJob(j.Spec), placer.Options{Closed: p.alsoClosed(p.closed, all)}); ok {
			return all
		}
	}
	return shunned
}

// workersOfSuspects returns the workers on which other suspects start or have just started.
func (p *pass) workersOfSuspects(j *reducer.Job) (workers []string) {
	for _, a := range p.unprovenSuspects {
		if a.job != j {
			workers = appendWorkers(workers, a.attempt.Placements)
		}
	}
	for _, s := range p.decision.Starts {
		if isSuspect(p.in.State.Jobs[s.Job]) {
			workers = appendWorkers(workers, s.Placements)
		}
	}
	return workers
}

// recentlyLost returns the workers of the job's recent early losses, which may be faulty, and
// all workers of the failure domains with several of these, which may have an outage.
func (p *pass) recentlyLost(j *reducer.Job) (workers, inDomains []string) {
	losses := map[string]int{}
	for _, a := range earlyLosses(j) {
		if p.in.NowMS-a.EndedMS >= AvoidAfterFailureMS {
			continue
		}
		workers = appendWorkers(workers, a.Placements)
		for _, domain := range p.domainsOf(a.Placements) {
			losses[domain]++
		}
	}
	for _, n := range p.fleet.Nodes {
		if losses[n.Domain] >= SuspectLosses {
			inDomains = append(inDomains, n.Worker)
		}
	}
	return workers, inDomains
}

func appendWorkers(workers []string, placements []encoder.Placement) []string {
	for _, pl := range placements {
		workers = append(workers, pl.Worker)
	}
	return workers
}
