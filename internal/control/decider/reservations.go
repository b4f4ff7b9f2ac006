package decider

import (
	"cmp"
	"fmt"
	"slices"

	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// pending is a gang whose workers are being reserved. Nothing of it stands in
// the ledger yet and nothing of it has been started.
type pending struct {
	start    planner.Start
	boots    map[string]string
	waiting  map[string]bool
	sinceMS  int64
	failed   bool
	commit   bool
	reason   string
	commitID string
}

func sortedReferences(table map[runner.Reference]runner.Status) []runner.Reference {
	refs := make([]runner.Reference, 0, len(table))
	for ref := range table {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b runner.Reference) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	return refs
}

// reserve asks each worker of the gang to hold the resources.
func (m *Model) reserve(s planner.Start) {
	j := m.state.Jobs[s.Job]
	// A worker may still know a number that was tried before.
	s.Attempt = max(s.Attempt, m.tried[s.Job]+1)
	m.tried[s.Job] = s.Attempt
	p := &pending{start: s, boots: map[string]string{}, waiting: map[string]bool{}, sinceMS: m.at.MonoMS, reason: s.Reason}
	m.pending[s.Job] = p
	for _, pl := range s.Placements {
		w := m.workers[pl.Worker]
		if w == nil || !w.heard {
			m.unwind(p, "worker "+pl.Worker+" is not known")
			return
		}
		p.waiting[pl.Worker] = true
		m.emit(ReserveCmd{
			Worker: w.name, Address: w.address, ValidMS: m.freshMS + m.cfg.FreshMS,
			Request: m.reserveRequest(w, j, s.Attempt, pl.Tasks),
		})
	}
}

func (m *Model) reserveRequest(w *worker, j *reducer.Job, attempt, tasks int) runner.ReserveRequest {
	clock := w.clockAt(m.at.MonoMS)
	return runner.ReserveRequest{
		Term: m.state.Term, Boot: w.boot, Job: j.ID, Attempt: attempt, Tasks: tasks, GangTasks: j.Spec.Tasks,
		Processors: j.Spec.Processors, MemoryMB: j.Spec.MemoryMB, Accelerators: j.Spec.Accelerators,
		Name: j.Spec.Name, Workspace: j.Spec.Workspace, NonIdempotent: j.Spec.NonIdempotent, Payload: j.Spec.Payload, ProgressMS: j.ProgressMS,
		NotAfter: clock + m.cfg.MessageLifeMS, HoldUntil: clock + m.cfg.HoldMS,
	}
}

func (m *Model) finishReservation(msg ReservedMsg) {
	w, p := m.workers[msg.Worker], m.pending[msg.Job]
	if w != nil && msg.Err == "" {
		m.takeStatus(w, msg.Reply)
	}
	if p == nil || p.start.Attempt != msg.Attempt || !p.waiting[msg.Worker] {
		return
	}
	delete(p.waiting, msg.Worker)
	if msg.Err != "" || !msg.Reply.OK {
		m.avoid(w)
		m.unwind(p, fmt.Sprintf("worker %s did not reserve: %s%s", msg.Worker, msg.Reply.Reason, msg.Err))
		return
	}
	p.boots[msg.Worker] = msg.Reply.Boot
	if len(p.waiting) == 0 && !p.failed {
		m.commit(p)
	}
}

func (m *Model) avoid(w *worker) {
	if w != nil {
		w.avoidMS = m.at.MonoMS + avoidMS
	}
}

// commit writes the durable intent; start messages leave once it is folded.
func (m *Model) commit(p *pending) {
	if !m.mayDecide() {
		m.unwind(p, "the ledger could not be read in time")
		return
	}
	p.commit = true
	s := p.start
	placements := slices.Clone(s.Placements)
	for i := range placements {
		placements[i].Boot = p.boots[placements[i].Worker]
	}
	p.commitID = commitKey(s.Job, s.Attempt)
	m.propose(p.commitID, encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{
		ID: s.Job, Attempt: s.Attempt, Claim: s.Claim, Placements: placements, Reason: s.Reason,
	}})
}

func commitKey(job string, attempt int) string { return fmt.Sprintf("commit/%s/%d", job, attempt) }

// finishCommit goes on once the fate of a commit is known. When it is not, the
// reservations are given back: if the commit lands later, the workers prove
// that nothing was started.
func (m *Model) finishCommit(key string, ok bool, reason string) {
	for _, id := range reducer.SortedKeys(m.pending) {
		p := m.pending[id]
		if !p.commit || p.commitID != key {
			continue
		}
		if !ok {
			m.unwind(p, "the start could not be recorded: "+reason)
			return
		}
		delete(m.pending, id)
		if j := m.state.Jobs[id]; j != nil {
			m.reconcile(j)
		}
	}
}

// unwind gives back all reservations of a gang of which nothing was started.
func (m *Model) unwind(p *pending, reason string) {
	if p.failed {
		return
	}
	p.failed = true
	delete(m.pending, p.start.Job)
	for _, pl := range p.start.Placements {
		if w := m.workers[pl.Worker]; w != nil {
			m.sendStop(w, runner.Reference{Job: p.start.Job, Attempt: p.start.Attempt}, false)
		}
	}
	if m.mayDecide() {
		m.propose("unwind/"+p.start.Job, encoder.Entry{AttemptUnwound: &encoder.AttemptUnwound{ID: p.start.Job, Reason: reason}})
	}
	m.dirty = true
}

// expirePending unwinds gangs whose workers did not all answer in time.
func (m *Model) expirePending() {
	for _, id := range reducer.SortedKeys(m.pending) {
		p := m.pending[id]
		if !p.commit && m.at.MonoMS-p.sinceMS > m.cfg.MessageLifeMS {
			m.unwind(p, "not every worker answered within the time for reservations")
		}
	}
}

func (m *Model) takeStatus(w *worker, r runner.Reply) {
	if r.Boot != w.boot || r.Status.Job == "" || r.Version < w.version {
		return
	}
	w.version = r.Version
	w.table[runner.Reference{Job: r.Status.Job, Attempt: r.Status.Attempt}] = r.Status
}
