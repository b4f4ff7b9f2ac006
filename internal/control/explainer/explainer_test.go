package explainer_test

import (
	"testing"

	"daisyhead/internal/control/explainer"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/standin/comparer"
)

// TestHistory explains a job that a ticket moved out of its domain and that then
// lost its worker.
func TestHistory(t *testing.T) {
	s := reducer.New()
	sequence, now := uint64(0), int64(1764840000000)
	add := func(term uint64, e encoder.Entry) {
		sequence++
		now += 1500
		e.At, e.Term = now, term
		if res := s.Apply(s.Next, encoder.Batch{Writer: "entry-1/4f2a9c01", Sequence: sequence, Entries: []encoder.Entry{e}}); !res[0].OK {
			t.Fatalf("entry %d: %s", sequence, res[0].Reason)
		}
	}
	fleet := specifier.Ticket{Number: 1, Operator: "ines", Workspaces: []specifier.Workspace{{Name: "settlement"}}}
	for _, d := range []string{"itajai", "penha"} {
		fleet.Domains = append(fleet.Domains, specifier.Domain{Name: d, Region: "sc", State: specifier.DomainIn})
		fleet.WorkerGroups = append(fleet.WorkerGroups, specifier.WorkerGroup{Name: d + "-1", Domain: d, Rack: d + "-1", Workers: []specifier.Worker{
			{Name: d + "-1-1", Address: "10.0.0.1:1", Processors: 128, MemoryMB: 262144, Accelerators: 8},
		}})
	}
	out := specifier.Ticket{Number: 7, Operator: "rui", Domains: []specifier.Domain{{Name: "itajai", Region: "sc", State: specifier.DomainOut, StopAfter: 8e9}}}
	j := specifier.Job{Key: "s-31", Name: "settlement-31", Workspace: "settlement", Tasks: 1, Processors: 64, MemoryMB: 65536, Accelerators: 8, NonIdempotent: true, Checkpointable: true}
	id := j.ID()
	add(0, encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: "entry-1/4f2a9c01", Reason: "no holder yet"}})
	add(1, encoder.Entry{TicketReceived: &encoder.TicketReceived{Ticket: fleet}})
	add(0, encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: id, By: "plant-manager", Job: j}})
	add(1, encoder.Entry{JobNoted: &encoder.JobNoted{ID: id, Reason: "no place is free for 1 x 8 accelerators, 64 processors and 65536 MB within Any"}})
	add(1, encoder.Entry{AttemptUnwound: &encoder.AttemptUnwound{ID: id, Reason: "worker itajai-1-1 did not reserve: the worker has no room"}})
	add(1, encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: id, Attempt: 2, Placements: []encoder.Placement{{Worker: "itajai-1-1", Tasks: 1}}, Reason: "on workers that no guarantee needs"}})
	add(1, encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 2}})
	add(1, encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: 1, Ticket: out}})
	add(1, encoder.Entry{StopRequested: &encoder.StopRequested{ID: id, Attempt: 2, Cause: encoder.StopDrain, Reason: "domain itajai is out, the work moves by checkpoint"}})
	add(1, encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: 2, Result: encoder.ResultStopped, Checkpointed: true, ProgressMS: 2800, Reason: "tasks on worker itajai-1-1 Stopped: stopped as asked"}})
	add(1, encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: id, Attempt: 3, Placements: []encoder.Placement{{Worker: "penha-1-1", Tasks: 1}}, Reason: "on workers that no guarantee needs"}})
	add(1, encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 3}})
	add(1, encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: 3, Result: encoder.ResultLost, Worker: "penha-1-1", Reason: "worker penha-1-1 is silent and its leases have run out"}})

	got := explainer.Explain(s, s.Jobs[id], now).Text()
	comparer.Golden(t, "testdata/settlement.txt", got)
}
