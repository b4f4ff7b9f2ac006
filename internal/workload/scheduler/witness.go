package scheduler

import (
	"maps"
	"slices"

	"daisyhead/internal/workload/reducer"
)

// While the ledger is unreachable, the ends of tasks stay on their workers, unconfirmed,
// and only the holder knows that a job is complete. The holder reports such a job as
// completed to callers only once other instances remember the outcome as well: if the
// holder and a worker are then lost before the ledger is reachable again, the job is not
// run again.

// pendingOutcome is the outcome of a completed job that is not durable yet.
type pendingOutcome struct {
	record  reducer.Record
	sinceMS int64
	// lastAskedMS is when other instances were last asked to remember the outcome.
	// askedCount counts these requests.
	lastAskedMS int64
	askedCount  int
	// witnesses are the instances that remember the outcome.
	witnesses map[string]bool
}

// witnessedOutcome is an outcome that another instance asked this one to remember.
type witnessedOutcome struct {
	record  reducer.Record
	sinceMS int64
	// lastWriteMS is when this instance last wrote the outcome to the ledger itself.
	lastWriteMS int64
}

const (
	// witnessDelayMS is how long the holder waits for an outcome to become durable
	// before it asks for witnesses: several times the usual duration of an append.
	witnessDelayMS = 150
	// witnessRetryMS is the pause before more instances are asked.
	witnessRetryMS = 300
	// witnessesPerRound instances are asked at a time. witnessQuorum of them have to
	// remember an outcome before callers learn of it. Up to two may be lost together
	// with the holder's failure domain.
	witnessesPerRound = 3
	witnessQuorum     = 2
	// witnessWriteDelayMS is how long a witness waits, with a current table, for the
	// outcome to appear in the ledger: unless the holder is lost, it writes the outcome
	// as soon as it can.
	witnessWriteDelayMS = 600
	// witnessedRetentionMS is how long an outcome is remembered while the ledger is
	// unreachable. After a longer outage, the witness forgets the outcome without
	// writing it.
	witnessedRetentionMS = 120000
)

// StateOf returns the state of a job as callers see it. It includes outcomes of this
// holder that are not durable yet but have enough witnesses.
func (m *Model) StateOf(j *reducer.Job) reducer.State {
	if o, ok := m.pendingOutcomes[j.Job.ID]; ok && j.Outcome == nil && len(o.witnesses) >= m.requiredWitnesses() {
		return reducer.StateCompleted
	}
	return j.State()
}

// requiredWitnesses is below witnessQuorum if there are fewer other instances. Without any
// other one, an outcome has to become durable first.
func (m *Model) requiredWitnesses() int { return max(min(witnessQuorum, len(m.termCandidates())), 1) }

// requestWitnesses asks other instances to remember outcomes that take long to become
// durable.
func (m *Model) requestWitnesses() {
	if len(m.pendingOutcomes) == 0 {
		return
	}
	others := m.termCandidates()
	for _, id := range slices.Sorted(maps.Keys(m.pendingOutcomes)) {
		o := m.pendingOutcomes[id]
		late := m.now.MonoMS-o.sinceMS >= witnessDelayMS && (o.askedCount == 0 || m.now.MonoMS-o.lastAskedMS >= witnessRetryMS)
		if !late || len(o.witnesses) >= witnessQuorum {
			continue
		}
		o.lastAskedMS = m.now.MonoMS
		for range min(witnessesPerRound, len(others)) {
			to := others[o.askedCount%len(others)]
			o.askedCount++
			m.emit(RequestWitnessCmd{Job: id, Outcome: o.record, To: to.Name, Address: to.Address})
		}
	}
}

func (m *Model) handleWitnessed(msg WitnessedMsg) {
	o, ok := m.pendingOutcomes[msg.Job]
	if !ok {
		return
	}
	if msg.Err != "" {
		m.event("WitnessUnanswered", "Job", msg.Job, "By", msg.By, "Error", msg.Err)
		return
	}
	o.witnesses[msg.By] = true
	m.event("OutcomeWitnessed", "Job", msg.Job, "By", msg.By, "Witnesses", len(o.witnesses), "AgeMS", m.now.MonoMS-o.sinceMS)
}

// rememberOutcome stores an outcome at the request of another holder.
func (m *Model) rememberOutcome(msg RememberOutcomeMsg) {
	id, ok := reducer.OutcomeJobID(msg.Outcome)
	if !ok {
		return
	}
	if j, known := m.Table.Lookup(id); known && j.Outcome != nil {
		return
	}
	if _, seen := m.witnessedOutcomes[id]; !seen {
		m.witnessedOutcomes[id] = witnessedOutcome{record: msg.Outcome, sinceMS: m.now.MonoMS}
	}
	m.endWitnessedJobs()
}

// endWitnessedJobs lets this holder end the jobs whose outcome an earlier holder has
// reported to this instance.
func (m *Model) endWitnessedJobs() {
	if !m.deciding() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.witnessedOutcomes)) {
		if j := m.jobs[id]; j != nil && !j.ended {
			m.endJob(j, reducer.StateCompleted, "an earlier holder has told so")
			m.stopJob(j, "the job is complete")
		}
	}
}

// outcomeRecorded forgets an outcome that has become durable, and ends the job if
// another instance wrote the outcome.
func (m *Model) outcomeRecorded(id string) {
	delete(m.witnessedOutcomes, id)
	delete(m.pendingOutcomes, id)
	if j := m.jobs[id]; m.deciding() && j != nil && !j.ended {
		m.event("JobEndedElsewhere", "Job", id)
		m.closeJob(j)
		m.stopJob(j, "the job is complete")
	}
}

// writeWitnessedOutcomes writes outcomes that are still missing although the ledger can
// be read again: their holder is lost, or can't reach the ledger.
func (m *Model) writeWitnessedOutcomes() {
	if len(m.witnessedOutcomes) == 0 || m.now.MonoMS-m.tableAsOfMS > witnessWriteDelayMS {
		return
	}
	var records []reducer.Record
	for _, id := range slices.Sorted(maps.Keys(m.witnessedOutcomes)) {
		o := m.witnessedOutcomes[id]
		j, known := m.Table.Lookup(id)
		switch {
		case known && j.Outcome != nil, m.now.MonoMS-o.sinceMS > witnessedRetentionMS:
			delete(m.witnessedOutcomes, id)
		case known && m.tableAsOfMS-o.sinceMS > witnessWriteDelayMS && m.now.MonoMS-o.lastWriteMS > witnessWriteDelayMS:
			o.lastWriteMS = m.now.MonoMS
			m.witnessedOutcomes[id] = o
			records = append(records, o.record)
			m.event("WitnessedOutcomeWritten", "Job", id, "AgeMS", m.now.MonoMS-o.sinceMS)
		}
	}
	if len(records) > 0 {
		m.emit(WriteOutcomesCmd{Outcomes: records})
	}
}
