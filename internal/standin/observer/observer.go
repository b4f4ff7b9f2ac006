// Package observer checks the scheduler's invariants against the events that
// the stand-ins for workers have recorded. It is independent of what daisyhead
// reports.
//
//	report := observer.CheckInvariants(events, observer.Rules{PartialBound: 6 * time.Second})
package observer

import (
	"slices"
	"time"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	KindStarted  Kind = "Started"
	KindFinished Kind = "Finished"
	KindFailed   Kind = "Failed"
	KindStopped  Kind = "Stopped"
	KindExpired  Kind = "Expired"
)

// Event is a state change of the tasks of one attempt on one worker.
type Event struct {
	Kind          Kind
	Worker        string
	Job           string
	Workspace     string
	Name          string
	Attempt       int
	Tasks         int
	GangTasks     int
	Accelerators  int
	NonIdempotent bool
	// Resumed reports whether the tasks continued from a checkpoint.
	Resumed bool
	At      time.Time
}

// Outage is a period in which a failure domain must not get new work.
type Outage struct {
	Domain string
	// To is zero if the outage lasts.
	From, To time.Time
}

// Rules are the limits that events are checked against.
type Rules struct {
	// PartialBound is the total time for which only a part of a gang may run.
	PartialBound time.Duration
	// DomainBound is the time after the start of an outage for which tasks may
	// still start in the domain.
	DomainBound time.Duration
	Outages     []Outage
	// Domains maps the names of workers to their failure domains.
	Domains map[string]string
}

// Report counts violations of the invariants.
type Report struct {
	// RanTwice is the number of jobs that ran in overlapping attempts, or that ran
	// more than once without being idempotent.
	RanTwice int
	// PartialGangs is the number of attempts of which only a part ran for too long.
	PartialGangs int
	// StartsInOutDomains is the number of starts in failure domains that had been out
	// of service for longer than DomainBound.
	StartsInOutDomains int
	// Details describes each violation.
	Details []string
}

// run is the execution of one attempt on one worker.
type run struct {
	worker    string
	tasks     int
	gangTasks int
	from, to  time.Time
	ended     bool
	finished  bool
	// firstAttemptOnly is set if the job is not idempotent and the run did not resume
	// from a checkpoint. In a later attempt, such a run does work twice.
	firstAttemptOnly bool
	// idempotent is set if the job may run more than once.
	idempotent bool
}

// attemptKey identifies an attempt.
type attemptKey struct {
	job     string
	attempt int
}

// CheckInvariants counts the violations in events, which must be ordered by time.
func CheckInvariants(events []Event, rules Rules) Report {
	runs, order := collectRuns(events)
	var r Report
	for _, e := range events {
		r.checkStart(e, rules)
	}
	byJob := map[string][]attemptKey{}
	var jobs []string
	for _, key := range order {
		if byJob[key.job] == nil {
			jobs = append(jobs, key.job)
		}
		byJob[key.job] = append(byJob[key.job], key)
		r.checkGang(key, runs[key], rules)
	}
	for _, job := range jobs {
		r.checkRepeats(job, byJob[job], runs)
	}
	return r
}

// collectRuns returns the runs of each attempt, and the attempts in the order of
// their first start. Runs without an end last until the latest event.
func collectRuns(events []Event) (map[attemptKey][]run, []attemptKey) {
	runs := map[attemptKey][]run{}
	var order []attemptKey
	lastEventAt := time.Time{}
	for _, e := range events {
		key := attemptKey{e.Job, e.Attempt}
		lastEventAt = e.At
		if e.Kind == KindStarted {
			if runs[key] == nil {
				order = append(order, key)
			}
			runs[key] = append(runs[key], run{worker: e.Worker, tasks: e.Tasks, gangTasks: e.GangTasks, from: e.At, firstAttemptOnly: e.NonIdempotent && !e.Resumed, idempotent: !e.NonIdempotent})
			continue
		}
		for i := range runs[key] {
			if r := &runs[key][i]; r.worker == e.Worker && !r.ended {
				r.to, r.ended, r.finished = e.At, true, e.Kind == KindFinished
			}
		}
	}
	for _, list := range runs {
		for i := range list {
			if !list[i].ended {
				list[i].to = lastEventAt
			}
		}
	}
	return runs, order
}

// checkStart counts a start in a failure domain that has been out of service for
// longer than DomainBound.
func (r *Report) checkStart(e Event, rules Rules) {
	if e.Kind != KindStarted {
		return
	}
	for _, o := range rules.Outages {
		outOfService := e.At.After(o.From.Add(rules.DomainBound)) && (o.To.IsZero() || e.At.Before(o.To))
		if rules.Domains[e.Worker] == o.Domain && outOfService {
			r.StartsInOutDomains++
			r.Details = append(r.Details, "start in domain "+o.Domain+" during its outage: "+e.Job)
		}
	}
}

// checkGang adds up the times in which some tasks of a gang ran and others did
// not. Finished tasks count as running.
func (r *Report) checkGang(key attemptKey, runs []run, rules Rules) {
	var times []time.Time
	for _, x := range runs {
		times = append(times, x.from, x.to)
	}
	slices.SortFunc(times, time.Time.Compare)
	var partial time.Duration
	for i := 0; i+1 < len(times); i++ {
		running, done := 0, 0
		for _, x := range runs {
			if !x.from.After(times[i]) && x.to.After(times[i]) {
				running += x.tasks
			}
			if x.finished && !x.to.After(times[i]) {
				done += x.tasks
			}
		}
		if running > 0 && running+done < runs[0].gangTasks {
			partial += times[i+1].Sub(times[i])
		}
	}
	if partial > rules.PartialBound {
		r.PartialGangs++
		r.Details = append(r.Details, "partial gang for "+partial.String()+": "+key.job)
	}
}

// checkRepeats counts a job if two of its attempts overlapped or if, without
// being idempotent, it was restarted from scratch or finished twice. An
// idempotent job may finish twice: its worker can be partitioned from the
// network before it reports the first completion.
func (r *Report) checkRepeats(job string, keys []attemptKey, runs map[attemptKey][]run) {
	finished, ranTwice, idempotent := 0, false, true
	for i, key := range keys {
		complete := true
		for _, x := range runs[key] {
			complete = complete && x.finished
			idempotent = idempotent && x.idempotent
			ranTwice = ranTwice || (i > 0 && x.firstAttemptOnly)
		}
		if complete {
			finished++
		}
		for _, other := range keys[:i] {
			ranTwice = ranTwice || overlap(runs[key], runs[other])
		}
	}
	if ranTwice || (finished > 1 && !idempotent) {
		r.RanTwice++
		r.Details = append(r.Details, "ran twice: "+job)
	}
}

// overlap reports whether a run in a and a run in b were active at the same time.
func overlap(a, b []run) bool {
	for _, x := range a {
		for _, y := range b {
			if x.from.Before(y.to) && y.from.Before(x.to) {
				return true
			}
		}
	}
	return false
}
