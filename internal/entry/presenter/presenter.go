// Package presenter turns the control state into the API's answers.
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

// Job is a job as callers see it.
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

// JobFilter selects jobs; empty fields select all.
type JobFilter struct {
	Workspace string
	Status    reducer.JobStatus
	Limit     int
}

// JobList is the answer to a list of jobs.
type JobList struct {
	Jobs []Job
	// More is set when the limit cut the list.
	More bool
	// HistorySince is the time before which ended jobs have expired; absent
	// while none have.
	HistorySince *time.Time `json:",omitempty"`
}

// DefaultLimit bounds lists that name no limit.
const DefaultLimit = 500

// JobOf presents one job.
func JobOf(j *reducer.Job) Job {
	v := Job{
		ID: j.ID, Name: j.Spec.Name, Workspace: j.Spec.Workspace, Status: j.Status, Outcome: j.Outcome,
		Reason: j.Reason, WaitingFor: j.WaitingFor, Attempts: j.AttemptCount, Spec: j.Spec,
		SubmittedAt: At(j.SubmittedMS), EndedAt: optional(j.EndedMS),
	}
	if a := j.Active(); a != nil {
		for _, p := range a.Placements {
			v.Workers = append(v.Workers, p.Worker)
		}
	}
	for _, a := range j.Attempts {
		if a.RunningMS > 0 {
			v.StartedAt = optional(a.RunningMS)
			break
		}
	}
	return v
}

// Jobs presents the jobs that the filter selects, the newest first.
func Jobs(s *reducer.State, f JobFilter) JobList {
	var picked []*reducer.Job
	for _, id := range reducer.SortedKeys(s.Jobs) {
		j := s.Jobs[id]
		if (f.Workspace == "" || f.Workspace == j.Spec.Workspace) && (f.Status == "" || f.Status == j.Status) {
			picked = append(picked, j)
		}
	}
	slices.SortStableFunc(picked, func(a, b *reducer.Job) int { return int(b.SubmittedMS - a.SubmittedMS) })
	if f.Limit <= 0 {
		f.Limit = DefaultLimit
	}
	list := JobList{Jobs: []Job{}, More: len(picked) > f.Limit, HistorySince: optional(s.HorizonMS)}
	for _, j := range picked[:min(len(picked), f.Limit)] {
		list.Jobs = append(list.Jobs, JobOf(j))
	}
	return list
}

// At converts Unix milliseconds.
func At(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

func optional(ms int64) *time.Time {
	if ms == 0 {
		return nil
	}
	t := At(ms)
	return &t
}

// Workspace is a workspace with its use.
type Workspace struct {
	Name              string
	Ticket            uint64
	Retired           bool `json:",omitempty"`
	QuotaAccelerators int
	AcceleratorsInUse int
	Waiting           int
	Running           int
	Guarantees        []Guarantee
}

// Guarantee is a guarantee with what is claimed of it.
type Guarantee struct {
	specifier.Guarantee
	Claimed int
	// Short is how many instances have no place while domains are out.
	Short int
}

// Workspaces presents all workspaces.
func Workspaces(s *reducer.State) []Workspace {
	short := s.UnplacedGuarantees(true)
	list := []Workspace{}
	for _, name := range reducer.SortedKeys(s.Workspaces) {
		w := s.Workspaces[name]
		v := Workspace{Name: name, Ticket: w.Ticket, Retired: w.Spec.Retired, QuotaAccelerators: w.Spec.QuotaAccelerators, Guarantees: []Guarantee{}}
		claims := map[string]bool{}
		for _, id := range reducer.SortedKeys(s.Jobs) {
			v.count(s.Jobs[id], claims)
		}
		for _, g := range w.Spec.Guarantees {
			v.Guarantees = append(v.Guarantees, Guarantee{Guarantee: g, Claimed: countPrefix(claims, g.Name+"#"), Short: countShort(short, name+"/"+g.Name+" ")})
		}
		list = append(list, v)
	}
	return list
}

func (v *Workspace) count(j *reducer.Job, claims map[string]bool) {
	if j.Spec.Workspace != v.Name {
		return
	}
	if j.Status == reducer.JobWaiting {
		v.Waiting++
	}
	if a := j.Active(); a != nil {
		v.Running++
		v.AcceleratorsInUse += j.Spec.TotalAccelerators()
		claims[a.Claim] = a.Claim != ""
	}
}

func countPrefix(claims map[string]bool, prefix string) int {
	n := 0
	for claim := range claims {
		if strings.HasPrefix(claim, prefix) {
			n++
		}
	}
	return n
}

func countShort(short []string, prefix string) int {
	n := 0
	for _, text := range short {
		if strings.HasPrefix(text, prefix) {
			n++
		}
	}
	return n
}

// Domain is a failure domain.
type Domain struct {
	specifier.Domain
	Ticket  uint64
	Since   time.Time
	Workers int
	Minions int
	// Active counts the jobs with tasks in the domain.
	Active int
}

// Domains presents all failure domains.
func Domains(s *reducer.State) []Domain {
	domains := map[string]*Domain{}
	list := []Domain{}
	for _, name := range reducer.SortedKeys(s.Domains) {
		d := s.Domains[name]
		domains[name] = &Domain{Domain: d.Spec, Ticket: d.Ticket, Since: At(d.SinceMS)}
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

func activeDomains(j *reducer.Job, workers map[string]string) map[string]bool {
	names := map[string]bool{}
	if a := j.Active(); a != nil {
		for _, p := range a.Placements {
			names[workers[p.Worker]] = true
		}
	}
	return names
}

// Worker is a worker with its use.
type Worker struct {
	specifier.Worker
	Group            string
	Rack             string
	Domain           string
	State            string
	Reason           string `json:",omitempty"`
	AcceleratorsUsed int
	Jobs             []string `json:",omitempty"`
	// HeardAgoMS is set on the instance that holds the term.
	HeardAgoMS *int64 `json:",omitempty"`
}

// Workers presents all workers.
func Workers(s *reducer.State, l decider.Liaison) []Worker {
	used := map[string]*Worker{}
	for _, id := range reducer.SortedKeys(s.Jobs) {
		addUse(used, s.Jobs[id])
	}
	list := []Worker{}
	for _, name := range reducer.SortedKeys(s.WorkerGroups) {
		g := s.WorkerGroups[name].Spec
		for _, w := range g.Workers {
			v := Worker{Worker: w, Group: g.Name, Rack: g.Rack, Domain: g.Domain, State: "In"}
			if u := used[w.Name]; u != nil {
				v.AcceleratorsUsed, v.Jobs = u.AcceleratorsUsed, u.Jobs
			}
			v.judge(s)
			if seen, ok := l.Workers[w.Name]; ok && l.Holder && seen.Heard {
				v.HeardAgoMS = &seen.HeardAgoMS
			}
			list = append(list, v)
		}
	}
	return list
}

func addUse(used map[string]*Worker, j *reducer.Job) {
	a := j.Active()
	if a == nil {
		return
	}
	for _, p := range a.Placements {
		u := used[p.Worker]
		if u == nil {
			u = &Worker{}
			used[p.Worker] = u
		}
		u.AcceleratorsUsed += p.Tasks * j.Spec.Accelerators
		u.Jobs = append(u.Jobs, j.ID)
	}
}

func (v *Worker) judge(s *reducer.State) {
	h := s.Workers[v.Name]
	switch {
	case !s.DomainOpen(v.Domain):
		v.State = "DomainOut"
	case h.Silent:
		v.State, v.Reason = "Silent", h.SilentReason
	case h.UntilMS > s.NowMS:
		v.State, v.Reason = "Quarantined", "different jobs failed here in a row; until "+At(h.UntilMS).Format(time.RFC3339)
	case h.Probation:
		v.State = "Probation"
	}
}

// Minion is a minion with its state.
type Minion struct {
	specifier.Minion
	Group   string
	Service string
	Domain  string
	State   string
}

// Minions presents all minions.
func Minions(s *reducer.State) []Minion {
	list := []Minion{}
	for _, name := range reducer.SortedKeys(s.MinionGroups) {
		g := s.MinionGroups[name].Spec
		for _, m := range g.Minions {
			v := Minion{Minion: m, Group: g.Name, Service: g.Service, Domain: g.Domain, State: "In"}
			switch {
			case !s.DomainOpen(g.Domain):
				v.State = "DomainOut"
			case m.Leaving:
				v.State = "Leaving"
			}
			list = append(list, v)
		}
	}
	return list
}
