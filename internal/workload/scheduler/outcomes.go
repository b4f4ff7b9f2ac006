package scheduler

import (
	"maps"
	"slices"

	"daisyhead/internal/workload/reducer"
)

// Callers learn that a job has ended only from the ledger: what is in memory does not survive a
// loss of all instances. While the holder can't append, it relays the outcomes of completed
// jobs to other instances, one of which may still reach the ledger and writes them in its
// place. During an outage for all instances the ends stay on their workers, unconfirmed.

// pendingOutcome is the outcome of a completed job that is not durable yet.
type pendingOutcome struct {
	// record does not say that the job is settled: when another instance writes it, a later
	// holder may have sent starts of the job.
	record  reducer.Record
	sinceMS int64
}

const (
	// relayDelayMS is how long the holder waits for an outcome to become durable before it
	// relays it: several times the usual duration of an append. relayIntervalMS is the pause
	// before it relays the outcomes to the next instance.
	relayDelayMS    = 150
	relayIntervalMS = 100
	// relayTableAgeMS is the maximum age of the table at which an instance writes a relayed
	// outcome: several reads. With an older one, it does not reach the ledger either.
	relayTableAgeMS = 600
)

// relayOutcomes relays the outcomes that take long to become durable to the next instance, if
// appends of this one are refused. While they have no answer, the ledger may only be slow, and
// the appends of others would queue there before its own.
func (m *Model) relayOutcomes() {
	if len(m.pendingOutcomes) == 0 || !m.proposer.refused || m.now.MonoMS-m.relayedMS < relayIntervalMS {
		return
	}
	others := m.termCandidates()
	var late []reducer.Record
	for _, id := range slices.Sorted(maps.Keys(m.pendingOutcomes)) {
		if o := m.pendingOutcomes[id]; m.now.MonoMS-o.sinceMS >= relayDelayMS {
			late = append(late, o.record)
		}
	}
	if len(others) == 0 || len(late) == 0 {
		return
	}
	late = late[:batchLength(late)]
	to := others[m.relays%len(others)]
	m.relays++
	m.relayedMS = m.now.MonoMS
	m.event("OutcomesRelayed", "Outcomes", len(late), "To", to.Name)
	m.emit(RelayOutcomesCmd{Outcomes: late, To: to.Name, Address: to.Address})
}

// handleRelayed writes outcomes and closing records that the holder of a term can't write, if this instance
// reaches the ledger. If it has become the holder, it ends the jobs itself.
func (m *Model) handleRelayed(msg OutcomesMsg) {
	var missing []reducer.Record
	for _, r := range msg.Outcomes {
		if term, ok := reducer.ClosingTerm(r); ok {
			m.writeRelayedClosing(term, r)
			continue
		}
		id, ok := reducer.OutcomeJobID(r)
		t, known := m.Table.Lookup(id)
		if !ok || !known || t.Outcome != nil {
			continue
		}
		if m.deciding() {
			m.endRelayedJob(id)
			continue
		}
		missing = append(missing, r)
	}
	if len(missing) == 0 || m.now.MonoMS-m.tableAsOfMS > relayTableAgeMS {
		return
	}
	m.event("RelayedOutcomesWritten", "Outcomes", len(missing))
	m.emit(WriteOutcomesCmd{Outcomes: missing})
}

// endRelayedJob ends a live job that an earlier holder knows to be complete.
func (m *Model) endRelayedJob(id string) {
	if j := m.jobs[id]; j != nil && !j.ended {
		m.endJob(j, reducer.StateCompleted, "an earlier holder has told so")
		m.stopJob(j, "the job is complete")
	}
}

// outcomeRecorded forgets an outcome that has become durable, and ends the job if
// another instance wrote the outcome.
func (m *Model) outcomeRecorded(id string) {
	delete(m.pendingOutcomes, id)
	if j := m.jobs[id]; m.deciding() && j != nil && !j.ended {
		m.event("JobEndedElsewhere", "Job", id)
		// The writer does not know of starts in this term.
		if t, known := m.Table.Lookup(id); known && t.Outcome != nil && t.Outcome.Term < m.term.number {
			o := *t.Outcome
			o.Term, o.Settled = m.term.number, m.jobSettled(j)
			m.propose(reducer.OutcomeRecord(id, o))
		}
		m.closeJob(j)
		m.stopJob(j, "the job is complete")
	}
}
