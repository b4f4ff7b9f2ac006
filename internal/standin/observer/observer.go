// Package observer judges the promises from what the stand-ins saw, without
// asking daisyhead.
//
//	report := observer.CheckInvariants(events, observer.Rules{PartialBound: 6 * time.Second})
package observer

import (
	"slices"
	"time"
)

// Kind says what a worker saw.
type Kind string

// The kinds of events.
const (
	KindStarted  Kind = "Started"
	KindFinished Kind = "Finished"
	KindFailed   Kind = "Failed"
	KindStopped  Kind = "Stopped"
	KindExpired  Kind = "Expired"
)

// Event is one change of an attempt's tasks on one worker.
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
	// Resumed tells that the tasks went on from a checkpoint.
	Resumed bool
	At      time.Time
}

// Outage is a time in which a failure domain took no new work.
type Outage struct {
	Domain   string
	From, To time.Time
}

// Rules hold the bounds against which events are judged.
type Rules struct {
	// PartialBound is how long a gang may run without being whole.
	PartialBound time.Duration
	// DomainBound is how long after a domain was taken out starts are allowed.
	DomainBound time.Duration
	Outages     []Outage
	Domains     map[string]string
}

// Report counts broken promises.
type Report struct {
	RanTwice           int
	PartialGangs       int
	StartsInOutDomains int
	Details            []string
}

// run is one attempt's time on one worker.
type run struct {
	worker   string
	tasks    int
	gang     int
	from, to time.Time
	ended    bool
	finished bool
	// again tells that the run repeats work of a job that must not run twice.
	again bool
	// repeatable runs belong to jobs that may run again.
	repeatable bool
}

type attemptKey struct {
	job     string
	attempt int
}

// CheckInvariants counts the broken promises in events, which must be in time
// order.
func CheckInvariants(events []Event, rules Rules) Report {
	runs, order := collectRuns(events)
	var r Report
	for _, e := range events {
		r.judgeStart(e, rules)
	}
	byJob := map[string][]attemptKey{}
	var jobs []string
	for _, key := range order {
		if byJob[key.job] == nil {
			jobs = append(jobs, key.job)
		}
		byJob[key.job] = append(byJob[key.job], key)
		r.judgeGang(key, runs[key], rules)
	}
	for _, job := range jobs {
		r.judgeRepeats(job, byJob[job], runs)
	}
	return r
}

func collectRuns(events []Event) (map[attemptKey][]run, []attemptKey) {
	runs := map[attemptKey][]run{}
	var order []attemptKey
	last := time.Time{}
	for _, e := range events {
		key := attemptKey{e.Job, e.Attempt}
		last = e.At
		if e.Kind == KindStarted {
			if runs[key] == nil {
				order = append(order, key)
			}
			runs[key] = append(runs[key], run{worker: e.Worker, tasks: e.Tasks, gang: e.GangTasks, from: e.At, again: e.NonIdempotent && !e.Resumed, repeatable: !e.NonIdempotent})
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
				list[i].to = last
			}
		}
	}
	return runs, order
}

func (r *Report) judgeStart(e Event, rules Rules) {
	if e.Kind != KindStarted {
		return
	}
	for _, o := range rules.Outages {
		inside := e.At.After(o.From.Add(rules.DomainBound)) && (o.To.IsZero() || e.At.Before(o.To))
		if rules.Domains[e.Worker] == o.Domain && inside {
			r.StartsInOutDomains++
			r.Details = append(r.Details, "start in domain "+o.Domain+" that is out: "+e.Job)
		}
	}
}

// judgeGang measures how long some of the gang ran while some of it did not.
// Tasks that have finished count as running.
func (r *Report) judgeGang(key attemptKey, runs []run, rules Rules) {
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
		if running > 0 && running+done < runs[0].gang {
			partial += times[i+1].Sub(times[i])
		}
	}
	if partial > rules.PartialBound {
		r.PartialGangs++
		r.Details = append(r.Details, "partial gang for "+partial.String()+": "+key.job)
	}
}

// judgeRepeats finds jobs that ran again from their start although they must
// not, that ran in two attempts at the same time, or that finished twice. An
// idempotent job may finish a second time: its worker can be cut off before it
// tells of the first.
func (r *Report) judgeRepeats(job string, keys []attemptKey, runs map[attemptKey][]run) {
	finished, twice, mayRepeat := 0, false, true
	for i, key := range keys {
		whole := true
		for _, x := range runs[key] {
			whole = whole && x.finished
			mayRepeat = mayRepeat && x.repeatable
			twice = twice || (i > 0 && x.again)
		}
		if whole {
			finished++
		}
		for _, other := range keys[:i] {
			twice = twice || overlap(runs[key], runs[other])
		}
	}
	if twice || (finished > 1 && !mayRepeat) {
		r.RanTwice++
		r.Details = append(r.Details, "ran twice: "+job)
	}
}

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
