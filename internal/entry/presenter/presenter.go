// Package presenter converts the control state into the response types of the API.
//
//	jobs := presenter.Jobs(state, presenter.JobFilter{Workspace: "arrieta"})
package presenter

import (
	"slices"
	"strings"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// Job describes a job in API responses.
type Job struct {
	ID          string
	Name        string
	Workspace   string
	Status      reducer.JobStatus
	Outcome     encoder.Outcome
	Reason      string `json:",omitempty"`
	WaitingFor  string `json:",omitempty"`
	Attempts    int
	Workers     []string   `json:",omitempty"`
	SubmittedAt time.Time  `json:",omitzero"`
	StartedAt   *time.Time `json:",omitempty"`
	EndedAt     *time.Time `json:",omitempty"`
	Spec        specifier.Job
}

// JobFilter selects jobs. A zero field doesn't restrict the selection; a Limit of 0
// means DefaultLimit.
type JobFilter struct {
	Workspace string
	Status    reducer.JobStatus
	Limit     int
}

// JobList is the result of a job query.
type JobList struct {
	Jobs []Job
	// More is set when the limit left out older jobs.
	More bool
	// HistorySince is the time before which ended jobs have expired; nil while
	// none have.
	HistorySince *time.Time `json:",omitempty"`
}

// DefaultLimit is the maximum number of jobs or audit lines in a response if the
// query sets no limit.
const DefaultLimit = 500

// JobOf converts one job.
func JobOf(j *reducer.Job) Job {
	v := Job{
		ID: j.ID, Name: j.Spec.Name, Workspace: j.Spec.Workspace, Status: j.Status, Outcome: j.Outcome,
		Reason: j.Reason, WaitingFor: j.WaitingFor, Attempts: j.AttemptCount, Spec: j.Spec,
		SubmittedAt: FromUnixMS(j.SubmittedMS), EndedAt: optionalTime(j.EndedMS),
	}
	if a := j.ActiveAttempt(); a != nil {
		for _, p := range a.Placements {
			v.Workers = append(v.Workers, p.Worker)
		}
	}
	for _, a := range j.Attempts {
		if a.RunningMS > 0 {
			v.StartedAt = optionalTime(a.RunningMS)
			break
		}
	}
	return v
}

// Jobs returns the jobs that match the filter, the newest first.
func Jobs(s *reducer.State, f JobFilter) JobList {
	var selected []*reducer.Job
	for _, id := range reducer.SortedKeys(s.Jobs) {
		j := s.Jobs[id]
		if (f.Workspace == "" || f.Workspace == j.Spec.Workspace) && (f.Status == "" || f.Status == j.Status) {
			selected = append(selected, j)
		}
	}
	slices.SortStableFunc(selected, func(a, b *reducer.Job) int { return int(b.SubmittedMS - a.SubmittedMS) })
	if f.Limit <= 0 {
		f.Limit = DefaultLimit
	}
	list := JobList{Jobs: []Job{}, More: len(selected) > f.Limit, HistorySince: optionalTime(s.HorizonMS)}
	for _, j := range selected[:min(len(selected), f.Limit)] {
		list.Jobs = append(list.Jobs, JobOf(j))
	}
	return list
}

// FromUnixMS converts a Unix time in milliseconds to a UTC time.
func FromUnixMS(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

// optionalTime is like FromUnixMS, but returns nil for 0, which means not set.
func optionalTime(ms int64) *time.Time {
	if ms == 0 {
		return nil
	}
	t := FromUnixMS(ms)
	return &t
}

// Workspace describes a workspace and its current usage.
type Workspace struct {
	Name string
	// Ticket is the number of the ticket that last changed the workspace.
	Ticket            uint64
	Retired           bool `json:",omitempty"`
	QuotaAccelerators int
	AcceleratorsInUse int
	// Waiting counts waiting jobs, Running those with an active attempt.
	Waiting    int
	Running    int
	Guarantees []Guarantee
}

// Guarantee describes a guarantee and its current usage.
type Guarantee struct {
	specifier.Guarantee
	// Claimed is how many of the guarantee's gangs are in use by active jobs.
	Claimed int
	// Short is how many of its gangs can't be placed on the failure domains that are
	// in service.
	Short int
}

// Workspaces returns all workspaces, sorted by name.
func Workspaces(s *reducer.State) []Workspace {
	unplaced := s.UnplacedGuarantees(true)
	list := []Workspace{}
	for _, name := range reducer.SortedKeys(s.Workspaces) {
		w := s.Workspaces[name]
		v := Workspace{Name: name, Ticket: w.Ticket, Retired: w.Spec.Retired, QuotaAccelerators: w.Spec.QuotaAccelerators, Guarantees: []Guarantee{}}
		claims := map[string]bool{}
		for _, id := range reducer.SortedKeys(s.Jobs) {
			v.addJob(s.Jobs[id], claims)
		}
		for _, g := range w.Spec.Guarantees {
			v.Guarantees = append(v.Guarantees, Guarantee{Guarantee: g, Claimed: countClaims(claims, g.Name+"#"), Short: countUnplaced(unplaced, name+"/"+g.Name+" ")})
		}
		list = append(list, v)
	}
	return list
}

// addJob adds j to the usage of the workspace if j belongs to it. It records the claim
// of an active attempt in claims.
func (v *Workspace) addJob(j *reducer.Job, claims map[string]bool) {
	if j.Spec.Workspace != v.Name {
		return
	}
	if j.Status == reducer.JobWaiting {
		v.Waiting++
	}
	if a := j.ActiveAttempt(); a != nil {
		v.Running++
		v.AcceleratorsInUse += j.Spec.TotalAccelerators()
		claims[a.Claim] = a.Claim != ""
	}
}

// countClaims counts the claims that start with the prefix. A claim has the form
// "Guarantee#Index".
func countClaims(claims map[string]bool, prefix string) int {
	n := 0
	for claim := range claims {
		if strings.HasPrefix(claim, prefix) {
			n++
		}
	}
	return n
}

// countUnplaced counts the descriptions by reducer.State.UnplacedGuarantees that start
// with the prefix.
func countUnplaced(unplaced []string, prefix string) int {
	n := 0
	for _, text := range unplaced {
		if strings.HasPrefix(text, prefix) {
			n++
		}
	}
	return n
}

// Domain describes a failure domain and what is in it.
type Domain struct {
	specifier.Domain
	// Ticket is the number of the ticket that last changed the domain.
	Ticket uint64
	// Since is when State last changed.
	Since   time.Time
	Workers int
	Minions int
	// Active counts the jobs with an active attempt on workers of the domain.
	Active int
}

// Domains returns all failure domains, sorted by name.
func Domains(s *reducer.State) []Domain {
	domains := map[string]*Domain{}
	list := []Domain{}
	for _, name := range reducer.SortedKeys(s.Domains) {
		d := s.Domains[name]
		domains[name] = &Domain{Domain: d.Spec, Ticket: d.Ticket, Since: FromUnixMS(d.SinceMS)}
	}
	workers := map[string]string{}
	for _, g := range s.WorkerGroups {
		domains[g.Spec.Domain].Workers += len(g.Spec.Workers)
		for _, w := range g.Spec.Workers {
			workers[w.Name] = g.Spec.Domain
		}
	}
	for _, g := range s.MinionGroups {
		domains[g.Spec.Domain].Minions += len(g.Spec.Minions)
	}
	for _, j := range s.Jobs {
		for name := range activeDomains(j, workers) {
			if d := domains[name]; d != nil {
				d.Active++
			}
		}
	}
	for _, name := range reducer.SortedKeys(domains) {
		list = append(list, *domains[name])
	}
	return list
}

// activeDomains returns the failure domains in which j has an active attempt. The map
// workers holds the domain of each worker.
func activeDomains(j *reducer.Job, workers map[string]string) map[string]bool {
	names := map[string]bool{}
	if a := j.ActiveAttempt(); a != nil {
		for _, p := range a.Placements {
			names[workers[p.Worker]] = true
		}
	}
	return names
}

// Worker describes a worker and its current usage.
type Worker struct {
	specifier.Worker
	Group            string
	Rack             string
	Domain           string
	State            string
	Reason           string `json:",omitempty"`
	AcceleratorsUsed int
	Jobs             []string `json:",omitempty"`
	// HeardAgoMS is the time since the worker was last heard from. Only the instance
	// that holds the term knows it; other instances leave it out.
	HeardAgoMS *int64 `json:",omitempty"`
}

// Workers returns all workers, sorted by worker group.
func Workers(s *reducer.State, status decider.ControlStatus) []Worker {
	usage := map[string]*Worker{}
	for _, id := range reducer.SortedKeys(s.Jobs) {
		addUsage(usage, s.Jobs[id])
	}
	list := []Worker{}
	for _, name := range reducer.SortedKeys(s.WorkerGroups) {
		g := s.WorkerGroups[name].Spec
		for _, w := range g.Workers {
			v := Worker{Worker: w, Group: g.Name, Rack: g.Rack, Domain: g.Domain, State: "In"}
			if u := usage[w.Name]; u != nil {
				v.AcceleratorsUsed, v.Jobs = u.AcceleratorsUsed, u.Jobs
			}
			v.setState(s)
			if view, ok := status.Workers[w.Name]; ok && status.IsHolder && view.Heard {
				v.HeardAgoMS = &view.HeardAgoMS
			}
			list = append(list, v)
		}
	}
	return list
}

// addUsage adds the active attempt of j to the usage of its workers.
func addUsage(usage map[string]*Worker, j *reducer.Job) {
	a := j.ActiveAttempt()
	if a == nil {
		return
	}
	for _, p := range a.Placements {
		u := usage[p.Worker]
		if u == nil {
			u = &Worker{}
			usage[p.Worker] = u
		}
		u.AcceleratorsUsed += p.Tasks * j.Spec.Accelerators
		u.Jobs = append(u.Jobs, j.ID)
	}
}

// setState sets State, and Reason if there is one, from the most to the least serious
// condition.
func (v *Worker) setState(s *reducer.State) {
	h := s.Workers[v.Name]
	switch {
	case !s.DomainInService(v.Domain):
		v.State = "DomainOut"
	case h.Silent:
		v.State, v.Reason = "Silent", h.SilentReason
	case h.UntilMS > s.NowMS:
		v.State, v.Reason = "Quarantined", "different jobs failed here in a row; until "+FromUnixMS(h.UntilMS).Format(time.RFC3339)
	case h.Probation:
		v.State = "Probation"
	}
}

// Minion describes a minion and its state.
type Minion struct {
	specifier.Minion
	Group   string
	Service string
	Domain  string
	State   string
}

// Minions returns all minions, sorted by minion group.
func Minions(s *reducer.State) []Minion {
	list := []Minion{}
	for _, name := range reducer.SortedKeys(s.MinionGroups) {
		g := s.MinionGroups[name].Spec
		for _, m := range g.Minions {
			v := Minion{Minion: m, Group: g.Name, Service: g.Service, Domain: g.Domain, State: "In"}
			switch {
			case !s.DomainInService(g.Domain):
				v.State = "DomainOut"
			case m.Leaving:
				v.State = "Leaving"
			}
			list = append(list, v)
		}
	}
	return list
}
