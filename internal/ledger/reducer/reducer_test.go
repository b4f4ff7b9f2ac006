package reducer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

const holder = "i1/a"

// fixture applies entries to a state, each as a separate record.
type fixture struct {
	s        *reducer.State
	sequence map[string]uint64
}

func newFixture() *fixture {
	f := &fixture{s: reducer.New(), sequence: map[string]uint64{}}
	f.apply(holder, encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: holder}})
	return f
}

func (f *fixture) apply(writer string, e encoder.Entry) reducer.Result {
	f.sequence[writer]++
	e.At = int64(f.s.Next) * 1000
	return f.s.Apply(f.s.Next, encoder.Batch{Version: 1, Writer: writer, Sequence: f.sequence[writer], Entries: []encoder.Entry{e}})[0]
}

// applyAsHolder applies an entry that the holder writes in the current term.
func (f *fixture) applyAsHolder(e encoder.Entry) reducer.Result {
	e.Term = f.s.Term
	return f.apply(holder, e)
}

func (f *fixture) applyTicket(t specifier.Ticket) reducer.Result {
	return f.applyAsHolder(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: f.s.ConfigNext, Ticket: t}})
}

func fleetTicket() specifier.Ticket {
	t := specifier.Ticket{Number: 10, Operator: "op", Domains: []specifier.Domain{{Name: "d", Region: "r", State: specifier.DomainIn}}}
	t.Workspaces = []specifier.Workspace{{Name: "a", Guarantees: []specifier.Guarantee{{Name: "g", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack, Count: 1}}}}
	t.WorkerGroups = []specifier.WorkerGroup{{Name: "r1", Domain: "d", Rack: "r1", Workers: []specifier.Worker{
		{Name: "w1", Address: "10.0.0.1:1", Processors: 64, MemoryMB: 64000, Accelerators: 8},
		{Name: "w2", Address: "10.0.0.2:1", Processors: 64, MemoryMB: 64000, Accelerators: 8},
	}}}
	return t
}

func domainTicket(number uint64, state specifier.DomainState, comment string) specifier.Ticket {
	return specifier.Ticket{Number: number, Operator: "op", Comment: comment, Domains: []specifier.Domain{{Name: "d", Region: "r", State: state}}}
}

// TestTickets checks that the ticket with the higher number wins in any order of
// arrival, and that a ticket is applied either completely or not at all.
func TestTickets(t *testing.T) {
	unplaceable := specifier.Ticket{Number: 20, Operator: "op", Workspaces: []specifier.Workspace{
		{Name: "b", Guarantees: []specifier.Guarantee{{Name: "h", Tasks: 1, Accelerators: 1, Within: specifier.WithinAny, Count: 1}}},
	}}
	partlyInvalid := domainTicket(30, specifier.DomainOut, "")
	partlyInvalid.WorkerGroups = []specifier.WorkerGroup{{Name: "r9", Domain: "nowhere", Rack: "r9"}}
	tests := []struct {
		name    string
		tickets []specifier.Ticket
		codes   []reducer.RefusalCode
		want    specifier.DomainState
	}{
		{"a lower number that arrives late does not override a higher one", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(11, specifier.DomainIn, "")}, []reducer.RefusalCode{"", reducer.RefusedSuperseded}, specifier.DomainOut},
		{"the same number with the same content is a repeat", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(12, specifier.DomainOut, "")}, []reducer.RefusalCode{"", ""}, specifier.DomainOut},
		{"the same number with other content is a conflict", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(12, specifier.DomainIn, "")}, []reducer.RefusalCode{"", reducer.RefusedConflict}, specifier.DomainOut},
		{"a partly invalid ticket has no effect", []specifier.Ticket{partlyInvalid}, []reducer.RefusalCode{reducer.RefusedInvalid}, specifier.DomainIn},
		{"guarantees that can't all be placed at once are refused", []specifier.Ticket{unplaceable}, []reducer.RefusalCode{reducer.RefusedGuaranteesDoNotFit}, specifier.DomainIn},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			if res := f.applyTicket(fleetTicket()); !res.OK {
				t.Fatalf("fleet ticket refused: %s", res.Reason)
			}
			for i, ticket := range test.tickets {
				if res := f.applyTicket(ticket); res.Code != test.codes[i] {
					t.Errorf("ticket %d: code %q (%s), want %q", i, res.Code, res.Reason, test.codes[i])
				}
			}
			if got := f.s.Domains["d"].Spec.State; got != test.want {
				t.Errorf("domain is %s, want %s", got, test.want)
			}
		})
	}
}

func TestTicketWarnsAboutUnplacedGuarantees(t *testing.T) {
	f := newFixture()
	f.applyTicket(fleetTicket())
	res := f.applyTicket(domainTicket(11, specifier.DomainOut, ""))
	want := []string{"short while domains are out: a/g (2 x 8 accelerators within Rack)"}
	if diff := cmp.Diff(want, res.Verdict.Warnings); diff != "" {
		t.Errorf("warnings differ (-want +got):\n%s", diff)
	}
}

func job(key string, change func(*specifier.Job)) encoder.Entry {
	j := specifier.Job{Key: key, Name: key, Workspace: "a", Tasks: 1, Processors: 1, MemoryMB: 1, Accelerators: 1}
	if change != nil {
		change(&j)
	}
	return encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: j.ID(), By: "caller", Job: j}}
}

func commit(id string, attempt int) encoder.Entry {
	return encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: id, Attempt: attempt, Placements: []encoder.Placement{{Worker: "w1", Tasks: 1}}}}
}

func attemptEnded(id string, attempt int, result encoder.Result) encoder.Entry {
	return encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: attempt, Result: result, Worker: "w1", Reason: "r"}}
}

// TestSettlement checks the job's status and outcome after each result of an
// attempt. A non-idempotent job must not run again unless it is proved not to have
// run or stopped with a checkpoint.
func TestSettlement(t *testing.T) {
	nonIdempotent := func(j *specifier.Job) { j.NonIdempotent = true }
	checkpointable := func(j *specifier.Job) { j.NonIdempotent, j.Checkpointable = true, true }
	checkpoint := attemptEnded("", 1, encoder.ResultStopped)
	checkpoint.AttemptEnded.Checkpointed, checkpoint.AttemptEnded.ProgressMS = true, 500
	tests := []struct {
		name    string
		change  func(*specifier.Job)
		end     encoder.Entry
		status  reducer.JobStatus
		outcome encoder.Outcome
	}{
		{"finished", nonIdempotent, attemptEnded("", 1, encoder.ResultFinished), reducer.JobFinished, encoder.OutcomeRan},
		{"proved not to have run, so it may be retried", nonIdempotent, attemptEnded("", 1, encoder.ResultNotRun), reducer.JobWaiting, encoder.OutcomeNotRun},
		{"lost, not idempotent", nonIdempotent, attemptEnded("", 1, encoder.ResultLost), reducer.JobUnknown, encoder.OutcomeUnknown},
		{"failed, not idempotent", nonIdempotent, attemptEnded("", 1, encoder.ResultFailed), reducer.JobFailed, encoder.OutcomeRan},
		{"stopped without a checkpoint, not idempotent", checkpointable, attemptEnded("", 1, encoder.ResultStopped), reducer.JobFailed, encoder.OutcomeRan},
		{"stopped with a checkpoint, not idempotent", checkpointable, checkpoint, reducer.JobWaiting, encoder.OutcomeUnknown},
		{"lost, idempotent", nil, attemptEnded("", 1, encoder.ResultLost), reducer.JobWaiting, encoder.OutcomeUnknown},
		{"failed once, idempotent", nil, attemptEnded("", 1, encoder.ResultFailed), reducer.JobWaiting, encoder.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.applyTicket(fleetTicket())
			e := job("k", test.change)
			f.apply("i2/b", e)
			id := e.JobSubmitted.ID
			if res := f.applyAsHolder(commit(id, 1)); !res.OK {
				t.Fatal(res.Reason)
			}
			end := *test.end.AttemptEnded
			end.ID = id
			f.applyAsHolder(encoder.Entry{AttemptEnded: &end})
			j := f.s.Jobs[id]
			if j.Status != test.status || j.Outcome != test.outcome {
				t.Errorf("%s, %s; want %s, %s", j.Status, j.Outcome, test.status, test.outcome)
			}
		})
	}
}

// TestFailedJobIsNotCountedAgainstWorkers checks that a job that fails permanently
// after three attempts on three workers isn't kept in their failed jobs, where it would
// count towards a quarantine.
func TestFailedJobIsNotCountedAgainstWorkers(t *testing.T) {
	f := newFixture()
	ticket := fleetTicket()
	ticket.WorkerGroups[0].Workers = append(ticket.WorkerGroups[0].Workers, specifier.Worker{Name: "w3", Address: "10.0.0.3:1", Processors: 64, MemoryMB: 64000, Accelerators: 8})
	f.applyTicket(ticket)
	e := job("k", nil)
	f.apply("i2/b", e)
	id := e.JobSubmitted.ID
	for n, worker := range []string{"w1", "w2", "w3"} {
		c := commit(id, n+1)
		c.AttemptCommitted.Placements[0].Worker = worker
		f.applyAsHolder(c)
		end := attemptEnded(id, n+1, encoder.ResultFailed)
		end.AttemptEnded.Worker = worker
		f.applyAsHolder(end)
		if last := n == 2; !last && len(f.s.Workers[worker].FailedJobs) != 1 {
			t.Errorf("worker %s has no failed job recorded while the job may still succeed elsewhere", worker)
		}
	}
	if j := f.s.Jobs[id]; j.Status != reducer.JobFailed {
		t.Errorf("job is %s, want Failed", j.Status)
	}
	for worker, h := range f.s.Workers {
		if len(h.FailedJobs) > 0 {
			t.Errorf("worker %s still has the failed jobs %v", worker, h.FailedJobs)
		}
	}
}

// TestRefusals checks the refusal codes of entries that must have no effect.
func TestRefusals(t *testing.T) {
	e := job("k", nil)
	id := e.JobSubmitted.ID
	tests := []struct {
		name  string
		setup func(*fixture)
		entry func(*fixture) reducer.Result
		code  reducer.RefusalCode
	}{
		{"a decision from an older term", func(f *fixture) {
			f.apply("i2/b", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i2/b"}})
		}, func(f *fixture) reducer.Result {
			old := commit(id, 1)
			old.Term = 1
			return f.apply(holder, old)
		}, reducer.RefusedStaleTerm},
		{"a second claim of the same term", func(f *fixture) {
			f.apply("i2/b", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i2/b"}})
		}, func(f *fixture) reducer.Result {
			return f.apply("i3/c", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i3/c"}})
		}, reducer.RefusedStaleTerm},
		{"a start of a job that is already cancelled", func(f *fixture) {
			f.apply("i2/b", encoder.Entry{CancelRequested: &encoder.CancelRequested{ID: id, By: "caller"}})
		}, func(f *fixture) reducer.Result { return f.applyAsHolder(commit(id, 1)) }, reducer.RefusedWrongState},
		{"a start in a domain that is out of service", func(f *fixture) {
			f.applyTicket(domainTicket(11, specifier.DomainOut, ""))
		}, func(f *fixture) reducer.Result { return f.applyAsHolder(commit(id, 1)) }, reducer.RefusedWrongState},
		{"another job with an idempotency key in use", nil, func(f *fixture) reducer.Result {
			return f.apply("i2/b", job("k", func(j *specifier.Job) { j.Tasks = 2 }))
		}, reducer.RefusedConflict},
		{"a second claim of a request", func(f *fixture) {
			f.apply("i2/b", encoder.Entry{RequestClaimed: &encoder.RequestClaimed{Workspace: "a", Key: "k", Holder: "i2/b", Digest: "x"}})
		}, func(f *fixture) reducer.Result {
			return f.apply("i3/c", encoder.Entry{RequestClaimed: &encoder.RequestClaimed{Workspace: "a", Key: "k", Holder: "i3/c", Digest: "x"}})
		}, reducer.RefusedRepeat},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			f.applyTicket(fleetTicket())
			f.apply("i2/b", e)
			if test.setup != nil {
				test.setup(f)
			}
			if res := test.entry(f); res.Code != test.code {
				t.Errorf("code %q (%s), want %q", res.Code, res.Reason, test.code)
			}
		})
	}
}

// TestReplay applies random batches to two states and repeats some of them in one:
// both states must be equal when encoded, so duplicates must have no effect.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batches []encoder.Batch
		for n := range rapid.IntRange(1, 40).Draw(t, "records") {
			writer := rapid.SampledFrom([]string{"i1/a", "i2/b"}).Draw(t, "writer")
			batches = append(batches, encoder.Batch{Version: 1, Writer: writer, Sequence: uint64(n + 1), Entries: []encoder.Entry{drawEntry(t, writer, n)}})
		}
		once, doubled := reducer.New(), reducer.New()
		offset := uint64(0)
		for i, b := range batches {
			once.Apply(uint64(i), b)
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				doubled.Apply(offset, b)
				offset++
			}
		}
		a, b := encodeWithoutOffsets(t, once), encodeWithoutOffsets(t, doubled)
		if diff := cmp.Diff(a, b); diff != "" {
			t.Fatalf("states differ (-once +doubled):\n%s", diff)
		}
	})
}

// encodeWithoutOffsets clears the state's offsets, which differ if records are
// duplicated, and encodes the state.
func encodeWithoutOffsets(t *rapid.T, s *reducer.State) string {
	s.Next = 0
	for k, w := range s.Writers {
		w.Offset = 0
		s.Writers[k] = w
	}
	for i := range s.Audit {
		s.Audit[i].Offset = 0
	}
	for k, v := range s.Tickets {
		v.Offset = 0
		s.Tickets[k] = v
	}
	for _, j := range s.Jobs {
		for i := range j.Events {
			j.Events[i].Offset = 0
		}
	}
	data, err := serializer.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func drawEntry(t *rapid.T, writer string, n int) encoder.Entry {
	submission := job(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "job")), nil)
	attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
	entries := []encoder.Entry{
		{TermClaimed: &encoder.TermClaimed{Term: uint64(rapid.IntRange(1, 4).Draw(t, "term")), Holder: writer}},
		{TicketReceived: &encoder.TicketReceived{ConfigOffset: uint64(n), Ticket: fleetTicket()}},
		{TicketReceived: &encoder.TicketReceived{ConfigOffset: uint64(n), Ticket: domainTicket(uint64(10+n), specifier.DomainOut, "")}},
		submission,
		{CancelRequested: &encoder.CancelRequested{ID: submission.JobSubmitted.ID}},
		commit(submission.JobSubmitted.ID, attempt),
		{AttemptRunning: &encoder.AttemptRunning{ID: submission.JobSubmitted.ID, Attempt: attempt}},
		attemptEnded(submission.JobSubmitted.ID, attempt, rapid.SampledFrom([]encoder.Result{encoder.ResultFinished, encoder.ResultFailed, encoder.ResultLost, encoder.ResultNotRun}).Draw(t, "result")),
	}
	e := rapid.SampledFrom(entries).Draw(t, "entry")
	e.At, e.Term = int64(n)*1000, uint64(rapid.IntRange(0, 2).Draw(t, "fence"))
	return e
}
