package scheduler_test

import (
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// slowLatencyMS is the latency of reads in the tests of a slow ledger.
const slowLatencyMS = 370

// TestSlowForAllKeepsTermWithoutProbes guards against requests, probes and claims that saturate
// the ledger's partition: reads and appends take long for all instances, at last longer than the
// silence after which a holder is replaced.
func TestSlowForAllKeepsTermWithoutProbes(t *testing.T) {
	sim, _ := newElection(t, 1, 30)
	latency := int64(4)
	for _, i := range sim.instances {
		i.repeat(1, func() int64 {
			i.send(scheduler.LedgerLatencyMsg{EstimateMS: latency, LatencyMS: latency, Exact: true})
			return otherReadIntervalMS
		})
	}
	sim.run(6000)
	counts := map[string]int{}
	sim.trace = func(_ string, e scheduler.EventCmd) { counts[e.Name]++ }
	latency = slowLatencyMS
	for _, slowMS := range []int64{slowLatencyMS, 700, 1400, 1900} {
		sim.ledger.slowMS = slowMS
		sim.run(sim.nowMS + 4000)
	}
	sim.ledger.slowMS = 0
	sim.run(sim.nowMS + 2000)
	latency = 4
	sim.run(sim.nowMS + 4000)
	for _, name := range []string{"TermYielded", "TermClaimSent", "TermTaken"} {
		if counts[name] > 0 {
			t.Errorf("%s was logged %d times, want none", name, counts[name])
		}
	}
}

// TestAskedInstanceDeclinesWithoutProbe guards against probe appends that delay the holder's own,
// and against a change of the term just after a slow phase.
func TestAskedInstanceDeclinesWithoutProbe(t *testing.T) {
	for _, c := range []struct {
		name   string
		slowMS int64
		askMS  int64
		probes int
	}{
		{"slow", 5000, 5100, 0}, {"slow until just now", 4000, 5900, 0}, {"slow long ago", 3000, 5900, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newSoloHolder(t)
			h.update(3001, scheduler.LedgerReadMsg{From: 2, Records: []reducer.Record{reducer.TermRecord(reducer.Term{Number: 2, Holder: "b/1"})}, AsOfMS: 3001, CaughtUp: true})
			h.update(c.slowMS, scheduler.LedgerLatencyMsg{EstimateMS: slowLatencyMS, LatencyMS: slowLatencyMS, Exact: true})
			if c.askMS > c.slowMS+100 {
				h.update(c.slowMS+1, scheduler.LedgerLatencyMsg{EstimateMS: 4, LatencyMS: 4, Exact: true})
			}
			probes := 0
			for _, cmd := range h.update(c.askMS, scheduler.YieldMsg{Term: 2}) {
				if _, ok := cmd.(scheduler.ProbeCmd); ok {
					probes++
				}
			}
			if probes != c.probes {
				t.Errorf("%d probes, want %d", probes, c.probes)
			}
		})
	}
}

// soloHolder drives the model of one holder, whose appends are answered only by the test.
type soloHolder struct {
	model *scheduler.Model
	// sequence is the number of the append in flight.
	sequence uint64
	results  map[uint64]scheduler.StoreResult
}

// newSoloHolder returns a holder of term 1 whose second append was sent at 5000 ms or before.
func newSoloHolder(t *testing.T) *soloHolder {
	t.Helper()
	h := &soloHolder{model: scheduler.New(scheduler.Config{Instance: "a", Holder: "a/1", Power: 400, LeaseMS: leaseMS}), results: map[uint64]scheduler.StoreResult{}}
	table := reducer.New()
	for n, r := range []reducer.Record{
		reducer.InstanceRecord(reducer.Instance{Name: "b", Holder: "b/1", Address: "b", Power: 400}),
		reducer.TermRecord(reducer.Term{Number: 1, Holder: "a/1"}),
	} {
		if err := table.Apply(uint64(n), r); err != nil {
			t.Fatal(err)
		}
	}
	h.update(100, scheduler.LedgerLoadedMsg{Table: table, AsOfMS: 100})
	h.update(2900, scheduler.TickMsg{})
	if !h.model.Deciding() || h.sequence == 0 {
		t.Fatal("the process does not hold the term, or has not renewed it")
	}
	return h
}

// update delivers a message and remembers the append that is sent and the answers to callers.
func (h *soloHolder) update(ms int64, msg scheduler.Msg) []scheduler.Command {
	cmds := h.model.Update(scheduler.Instant{MonoMS: ms, WallMS: wallStartMS + ms}, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case scheduler.AppendCmd:
			h.sequence = c.Sequence
		case scheduler.StoredCmd:
			h.results[c.RequestID] = c.Result
		}
	}
	return cmds
}

// store hands the holder a submission.
func (h *soloHolder) store(ms int64, requestID uint64, job string) {
	h.update(ms, scheduler.StoreMsg{RequestID: requestID, Record: reducer.SubmissionRecord(submission(job))})
}

func submission(job string) (s reducer.Submission) {
	s.Job = describer.Job{ID: job, Queue: "q", Workspace: "w", Steps: []describer.Step{independentTasks(1, 1, 1000)}}
	return s
}

// TestStoreBehindFailingAppend guards against callers that are held until their deadline although
// nothing of their submission was written, and against a refusal for one that may be.
func TestStoreBehindFailingAppend(t *testing.T) {
	refused := scheduler.AppendedMsg{Term: 1, Sequence: 1, Result: scheduler.AppendUnknown, Refused: true}
	for _, c := range []struct {
		name string
		// appended is the result of the append in flight, nil if there is none, at 3100 ms.
		appended scheduler.Msg
		// read tells of a read at 3500 ms, or is nil.
		read scheduler.Msg
		want scheduler.StoreResult
	}{
		{"refused", refused, nil, scheduler.StoreCannotAppend},
		{"neither appends nor reads are answered", nil, scheduler.LedgerLatencyMsg{Unanswered: true}, scheduler.StoreCannotAppend},
		{"only slow", nil, scheduler.LedgerLatencyMsg{EstimateMS: slowLatencyMS, LatencyMS: slowLatencyMS, Exact: true}, ""},
		{"no answers yet", nil, nil, ""},
		{"another holder", nil, scheduler.LedgerReadMsg{From: 2, Records: []reducer.Record{reducer.TermRecord(reducer.Term{Number: 2, Holder: "b/1"})}}, scheduler.StoreNotHolder},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newSoloHolder(t)
			h.store(2910, 1, jobA) // queued behind the append in flight
			if c.appended != nil {
				h.update(3100, c.appended)
			}
			h.store(3110, 2, jobB) // held back
			h.store(3120, 3, jobA)
			if c.read != nil {
				h.update(3500, c.read)
			}
			h.update(3550, scheduler.TickMsg{})
			if got := h.results[2]; got != c.want {
				t.Errorf("the submission that was held back is answered %q, want %q", got, c.want)
			}
			for _, id := range []uint64{1, 3} {
				if got := h.results[id]; got != "" && got != scheduler.StoreUnknown {
					t.Errorf("call %d, whose job was proposed, is answered %q", id, got)
				}
			}
			if c.want != "" {
				return
			}
			for ms := int64(3600); len(h.results) < 3 && ms < 3700; ms += 10 {
				h.update(ms, scheduler.AppendedMsg{Term: 1, Sequence: h.sequence, Result: scheduler.AppendDone})
			}
			for id, got := range h.results {
				if got != scheduler.StoreDone {
					t.Errorf("call %d is answered %q after the append, want %q", id, got, scheduler.StoreDone)
				}
			}
		})
	}
}
