package scheduler

import (
	"maps"
	"slices"

	"daisyhead/internal/workload/tabulator"
)

// While the ledger is out of reach, ends stay on their workers, unconfirmed, and the
// holder knows that a job is complete. It tells callers so once other instances
// remember the outcome as well: even if the holder and a worker are lost before the
// ledger is back, the job is then not run again.

// outcome is a completed job whose record is not durable.
type outcome struct {
	record  tabulator.Record
	sinceMS int64
	// askedMS is when other instances were last asked, asked how many have been.
	askedMS int64
	asked   int
	// by are the instances that remember the outcome.
	by map[string]bool
}

// witnessed is an outcome that this instance was asked to remember.
type witnessed struct {
	record  tabulator.Record
	sinceMS int64
	// triedMS is when this instance last recorded the outcome itself.
	triedMS int64
}

const (
	// witnessAfterMS is when a record is late: several times the platform's usual answer.
	witnessAfterMS = 150
	// witnessRetryMS is the pause before more instances are asked.
	witnessRetryMS = 300
	// witnessesAsked are asked at a time, and witnessesNeeded have to remember an outcome
	// before callers are told: two may be lost together with the holder's failure domain.
	witnessesAsked  = 3
	witnessesNeeded = 2
	// settleAfterMS is how long a fresh table may lack a witnessed outcome: the holder
	// records it as soon as it can, unless it is lost.
	settleAfterMS = 600
	// witnessedKeptMS is for how long an outcome is remembered without the ledger.
	witnessedKeptMS = 120000
)

// StateOf returns what callers see of a job, with what this holder knows already.
func (m *Model) StateOf(j *tabulator.Job) tabulator.State {
	if o, ok := m.unsettled[j.Job.ID]; ok && j.Outcome == nil && len(o.by) >= m.witnessesNeeded() {
		return tabulator.StateCompleted
	}
	return j.State()
}

func (m *Model) witnessesNeeded() int { return min(witnessesNeeded, len(m.candidatesForTerm())) }

// seekWitnesses asks other instances to remember outcomes whose records are late.
func (m *Model) seekWitnesses() {
	if len(m.unsettled) == 0 {
		return
	}
	others := m.candidatesForTerm()
	for _, id := range slices.Sorted(maps.Keys(m.unsettled)) {
		o := m.unsettled[id]
		late := m.at.MonoMS-o.sinceMS >= witnessAfterMS && (o.asked == 0 || m.at.MonoMS-o.askedMS >= witnessRetryMS)
		if !late || len(o.by) >= witnessesNeeded {
			continue
		}
		o.askedMS = m.at.MonoMS
		for range min(witnessesAsked, len(others)) {
			to := others[o.asked%len(others)]
			o.asked++
			m.emit(WitnessCmd{Job: id, Outcome: o.record, To: to.Name, Address: to.Address})
		}
	}
}

func (m *Model) finishWitness(msg WitnessedMsg) {
	o, ok := m.unsettled[msg.Job]
	if !ok {
		return
	}
	if msg.Err != "" {
		m.event("WitnessUnanswered", "Job", msg.Job, "By", msg.By, "Error", msg.Err)
		return
	}
	o.by[msg.By] = true
	m.event("OutcomeWitnessed", "Job", msg.Job, "By", msg.By, "Witnesses", len(o.by), "AgeMS", m.at.MonoMS-o.sinceMS)
}

// witness remembers an outcome of another holder's.
func (m *Model) witness(msg WitnessMsg) {
	id, ok := tabulator.OutcomeOf(msg.Outcome)
	if !ok {
		return
	}
	if j, known := m.Table.Lookup(id); known && j.Outcome != nil {
		return
	}
	if _, seen := m.witnessed[id]; !seen {
		m.witnessed[id] = witnessed{record: msg.Outcome, sinceMS: m.at.MonoMS}
	}
	m.endWitnessed()
}

// endWitnessed lets this holder end the jobs whose outcome another one has told.
func (m *Model) endWitnessed() {
	if !m.deciding() {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.witnessed)) {
		if j := m.jobs[id]; j != nil && !j.over {
			m.endJob(j, tabulator.StateCompleted, "an earlier holder has told so")
			m.stopJob(j, "the job is complete")
		}
	}
}

// settled forgets an outcome that is durable, and ends the job if another instance has
// recorded it.
func (m *Model) settled(id string) {
	delete(m.witnessed, id)
	delete(m.unsettled, id)
	if j := m.jobs[id]; m.deciding() && j != nil && !j.over {
		m.event("JobEndedElsewhere", "Job", id)
		m.closeJob(j)
		m.stopJob(j, "the job is complete")
	}
}

// settleWitnessed records outcomes that the ledger still lacks although it can be read
// again: their holder is lost, or can't reach it.
func (m *Model) settleWitnessed() {
	if len(m.witnessed) == 0 || m.at.MonoMS-m.freshMS > settleAfterMS {
		return
	}
	var records []tabulator.Record
	for _, id := range slices.Sorted(maps.Keys(m.witnessed)) {
		w := m.witnessed[id]
		j, known := m.Table.Lookup(id)
		switch {
		case known && j.Outcome != nil, m.at.MonoMS-w.sinceMS > witnessedKeptMS:
			delete(m.witnessed, id)
		case known && m.freshMS-w.sinceMS > settleAfterMS && m.at.MonoMS-w.triedMS > settleAfterMS:
			w.triedMS = m.at.MonoMS
			m.witnessed[id] = w
			records = append(records, w.record)
			m.event("WitnessedOutcomeWritten", "Job", id, "AgeMS", m.at.MonoMS-w.sinceMS)
		}
	}
	if len(records) > 0 {
		m.emit(SettleCmd{Outcomes: records})
	}
}
