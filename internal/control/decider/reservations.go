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

// pendingGang is a gang whose workers are being reserved. Its attempt is not committed
// to the ledger yet, and none of its tasks has been started.
type pendingGang struct {
	start planner.Start
	// bootIDs holds, by worker, the boot that confirmed the reservation.
	bootIDs map[string]string
	// unanswered holds the workers that have not replied yet.
	unanswered map[string]bool
	sinceMS    int64
	released   bool
	// committing is set once the attempt has been proposed.
	committing bool
	reason     string
	commitKey  string
}

// sortedReferences returns the keys by job and attempt, so that Update is deterministic.
func sortedReferences(statuses map[runner.Reference]runner.Status) []runner.Reference {
	refs := make([]runner.Reference, 0, len(statuses))
	for ref := range statuses {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b runner.Reference) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	return refs
}

// reserveGang asks each worker of the gang to reserve the resources.
func (m *Model) reserveGang(s planner.Start) {
	j := m.state.Jobs[s.Job]
	// A worker may still hold the status of an attempt number that was tried before.
	s.Attempt = max(s.Attempt, m.lastTriedAttempt[s.Job]+1)
	m.lastTriedAttempt[s.Job] = s.Attempt
	p := &pendingGang{start: s, bootIDs: map[string]string{}, unanswered: map[string]bool{}, sinceMS: m.now.MonoMS, reason: s.Reason}
	m.pendingGangs[s.Job] = p
	for _, pl := range s.Placements {
		w := m.workers[pl.Worker]
		if w == nil || !w.heard {
			m.releaseReservations(p, "worker "+pl.Worker+" is not known")
			return
		}
		p.unanswered[pl.Worker] = true
		m.emit(ReserveCmd{
			Worker: w.name, Address: w.address, ValidMS: m.stateAsOfMS + m.cfg.MaxStateAgeMS,
			Request: m.reserveRequest(w, j, s.Attempt, pl.Tasks),
		})
	}
}

// reserveRequest returns the request for the gang's tasks on one worker.
func (m *Model) reserveRequest(w *worker, j *reducer.Job, attempt, tasks int) runner.ReserveRequest {
	clock := w.clockAt(m.now.MonoMS)
	return runner.ReserveRequest{
		Term: m.state.Term, Boot: w.bootID, Job: j.ID, Attempt: attempt, Tasks: tasks, GangTasks: j.Spec.Tasks,
		Processors: j.Spec.Processors, MemoryMB: j.Spec.MemoryMB, Accelerators: j.Spec.Accelerators,
		Name: j.Spec.Name, Workspace: j.Spec.Workspace, NonIdempotent: j.Spec.NonIdempotent, Payload: j.Spec.Payload, ProgressMS: j.ProgressMS,
		NotAfter: clock + m.cfg.MessageLifeMS, HoldUntil: clock + m.cfg.HoldMS,
	}
}

// finishReservation handles the reply to a reservation, or its error. The gang is
// committed once all workers have reserved, and its reservations are released if one has not.
func (m *Model) finishReservation(msg ReservedMsg) {
	w, p := m.workers[msg.Worker], m.pendingGangs[msg.Job]
	if w != nil && msg.Err == "" {
		m.storeStatus(w, msg.Reply)
	}
	if p == nil || p.start.Attempt != msg.Attempt || !p.unanswered[msg.Worker] {
		return
	}
	delete(p.unanswered, msg.Worker)
	if msg.Err != "" || !msg.Reply.OK {
		m.avoidWorker(w)
		m.releaseReservations(p, fmt.Sprintf("worker %s did not reserve: %s%s", msg.Worker, msg.Reply.Reason, msg.Err))
		return
	}
	p.bootIDs[msg.Worker] = msg.Reply.Boot
	if len(p.unanswered) == 0 && !p.released {
		m.commit(p)
	}
}

// avoidWorker excludes the worker from planning for refusalBackoffMS.
func (m *Model) avoidWorker(w *worker) {
	if w != nil {
		w.avoidUntilMS = m.now.MonoMS + refusalBackoffMS
	}
}

// commit proposes the attempt. Start requests are sent once its record has been
// applied.
func (m *Model) commit(p *pendingGang) {
	if !m.mayDecide() {
		m.releaseReservations(p, "the ledger could not be read in time")
		return
	}
	p.committing = true
	s := p.start
	placements := slices.Clone(s.Placements)
	for i := range placements {
		placements[i].Boot = p.bootIDs[placements[i].Worker]
	}
	p.commitKey = commitKey(s.Job, s.Attempt)
	m.propose(p.commitKey, encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{
		ID: s.Job, Attempt: s.Attempt, Claim: s.Claim, Placements: placements, Reason: s.Reason,
	}})
}

func commitKey(job string, attempt int) string { return fmt.Sprintf("commit/%s/%d", job, attempt) }

// finishCommit continues once the result of a proposal arrives. If the commit failed
// or its result is unknown, the reservations are released: should the commit still be
// applied later, the workers' statuses show that nothing was started.
func (m *Model) finishCommit(key string, ok bool, reason string) {
	for _, id := range reducer.SortedKeys(m.pendingGangs) {
		p := m.pendingGangs[id]
		if !p.committing || p.commitKey != key {
			continue
		}
		if !ok {
			m.releaseReservations(p, "the start could not be recorded: "+reason)
			return
		}
		delete(m.pendingGangs, id)
		if j := m.state.Jobs[id]; j != nil {
			m.reconcile(j)
		}
	}
}

// releaseReservations releases all reservations of a gang that has not been started.
func (m *Model) releaseReservations(p *pendingGang, reason string) {
	if p.released {
		return
	}
	p.released = true
	delete(m.pendingGangs, p.start.Job)
	for _, pl := range p.start.Placements {
		if w := m.workers[pl.Worker]; w != nil {
			m.sendStop(w, runner.Reference{Job: p.start.Job, Attempt: p.start.Attempt}, false)
		}
	}
	if m.mayDecide() {
		m.propose("unwind/"+p.start.Job, encoder.Entry{AttemptUnwound: &encoder.AttemptUnwound{ID: p.start.Job, Reason: reason}})
	}
	m.planNeeded = true
}

// expireReservations releases the reservations of gangs whose workers have not all answered
// in time.
func (m *Model) expireReservations() {
	for _, id := range reducer.SortedKeys(m.pendingGangs) {
		p := m.pendingGangs[id]
		if !p.committing && m.now.MonoMS-p.sinceMS > m.cfg.MessageLifeMS {
			m.releaseReservations(p, "not every worker answered within the time for reservations")
		}
	}
}

// storeStatus stores the status of a reply unless it is from another boot or older than
// the last reply.
func (m *Model) storeStatus(w *worker, r runner.Reply) {
	if r.Boot != w.bootID || r.Status.Job == "" || r.Version < w.version {
		return
	}
	w.version = r.Version
	w.statuses[runner.Reference{Job: r.Status.Job, Attempt: r.Status.Attempt}] = r.Status
}
