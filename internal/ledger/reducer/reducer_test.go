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

// story folds entries, each as a record of its own.
type story struct {
	s        *reducer.State
	sequence map[string]uint64
}

func newStory() *story {
	st := &story{s: reducer.New(), sequence: map[string]uint64{}}
	st.add(holder, encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: holder}})
	return st
}

func (st *story) add(writer string, e encoder.Entry) reducer.Result {
	st.sequence[writer]++
	e.At = int64(st.s.Next) * 1000
	return st.s.Apply(st.s.Next, encoder.Batch{Version: 1, Writer: writer, Sequence: st.sequence[writer], Entries: []encoder.Entry{e}})[0]
}

// decide folds an entry of the term's holder.
func (st *story) decide(e encoder.Entry) reducer.Result {
	e.Term = st.s.Term
	return st.add(holder, e)
}

func (st *story) ticket(t specifier.Ticket) reducer.Result {
	return st.decide(encoder.Entry{TicketReceived: &encoder.TicketReceived{ConfigOffset: st.s.ConfigNext, Ticket: t}})
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

// TestTickets holds the rule of numbers against every order of arrival.
func TestTickets(t *testing.T) {
	tooMuch := specifier.Ticket{Number: 20, Operator: "op", Workspaces: []specifier.Workspace{
		{Name: "b", Guarantees: []specifier.Guarantee{{Name: "h", Tasks: 1, Accelerators: 1, Within: specifier.WithinAny, Count: 1}}},
	}}
	half := domainTicket(30, specifier.DomainOut, "")
	half.WorkerGroups = []specifier.WorkerGroup{{Name: "r9", Domain: "nowhere", Rack: "r9"}}
	tests := []struct {
		name    string
		tickets []specifier.Ticket
		codes   []reducer.RefusalCode
		want    specifier.DomainState
	}{
		{"a lower number that arrives late does not undo a higher one", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(11, specifier.DomainIn, "")}, []reducer.RefusalCode{"", reducer.RefusedSuperseded}, specifier.DomainOut},
		{"the same number with the same content is a repeat", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(12, specifier.DomainOut, "")}, []reducer.RefusalCode{"", ""}, specifier.DomainOut},
		{"the same number with other content is a conflict", []specifier.Ticket{domainTicket(12, specifier.DomainOut, ""), domainTicket(12, specifier.DomainIn, "")}, []reducer.RefusalCode{"", reducer.RefusedConflict}, specifier.DomainOut},
		{"a ticket of which a part can't apply does not apply at all", []specifier.Ticket{half}, []reducer.RefusalCode{reducer.RefusedInvalid}, specifier.DomainIn},
		{"shapes that can't all be placed at once are refused", []specifier.Ticket{tooMuch}, []reducer.RefusalCode{reducer.RefusedNotPlaced}, specifier.DomainIn},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			st := newStory()
			if res := st.ticket(fleetTicket()); !res.OK {
				t.Fatalf("fleet ticket refused: %s", res.Reason)
			}
			for i, ticket := range test.tickets {
				if res := st.ticket(ticket); res.Code != test.codes[i] {
					t.Errorf("ticket %d: code %q (%s), want %q", i, res.Code, res.Reason, test.codes[i])
				}
			}
			if got := st.s.Domains["d"].Spec.State; got != test.want {
				t.Errorf("domain is %s, want %s", got, test.want)
			}
		})
	}
}

func TestOutDomainNamesShortGuarantees(t *testing.T) {
	st := newStory()
	st.ticket(fleetTicket())
	res := st.ticket(domainTicket(11, specifier.DomainOut, ""))
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

func ended(id string, attempt int, result encoder.Result) encoder.Entry {
	return encoder.Entry{AttemptEnded: &encoder.AttemptEnded{ID: id, Attempt: attempt, Result: result, Worker: "w1", Reason: "r"}}
}

// TestSettlement holds the end of each attempt against what may be said.
func TestSettlement(t *testing.T) {
	once := func(j *specifier.Job) { j.NonIdempotent = true }
	saved := func(j *specifier.Job) { j.NonIdempotent, j.Checkpointable = true, true }
	checkpoint := ended("", 1, encoder.ResultStopped)
	checkpoint.AttemptEnded.Checkpointed, checkpoint.AttemptEnded.ProgressMS = true, 500
	tests := []struct {
		name    string
		change  func(*specifier.Job)
		end     encoder.Entry
		status  reducer.JobStatus
		outcome encoder.Outcome
	}{
		{"finished", once, ended("", 1, encoder.ResultFinished), reducer.JobFinished, encoder.OutcomeRan},
		{"proved unstarted, so it may be tried again", once, ended("", 1, encoder.ResultNotRun), reducer.JobWaiting, encoder.OutcomeNotRun},
		{"lost, not idempotent", once, ended("", 1, encoder.ResultLost), reducer.JobUnknown, encoder.OutcomeUnknown},
		{"failed, not idempotent", once, ended("", 1, encoder.ResultFailed), reducer.JobFailed, encoder.OutcomeRan},
		{"stopped without a checkpoint, not idempotent", saved, ended("", 1, encoder.ResultStopped), reducer.JobFailed, encoder.OutcomeRan},
		{"stopped with a checkpoint, not idempotent", saved, checkpoint, reducer.JobWaiting, encoder.OutcomeUnknown},
		{"lost, idempotent", nil, ended("", 1, encoder.ResultLost), reducer.JobWaiting, encoder.OutcomeUnknown},
		{"failed once, idempotent", nil, ended("", 1, encoder.ResultFailed), reducer.JobWaiting, encoder.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			st := newStory()
			st.ticket(fleetTicket())
			e := job("k", test.change)
			st.add("i2/b", e)
			id := e.JobSubmitted.ID
			if res := st.decide(commit(id, 1)); !res.OK {
				t.Fatal(res.Reason)
			}
			end := *test.end.AttemptEnded
			end.ID = id
			st.decide(encoder.Entry{AttemptEnded: &end})
			j := st.s.Jobs[id]
			if j.Status != test.status || j.Outcome != test.outcome {
				t.Errorf("%s, %s; want %s, %s", j.Status, j.Outcome, test.status, test.outcome)
			}
		})
	}
}

// TestBadJobIsNotTheWorkersFault lets a job fail for good on three workers: it
// leaves no mark on them.
func TestBadJobIsNotTheWorkersFault(t *testing.T) {
	st := newStory()
	ticket := fleetTicket()
	ticket.WorkerGroups[0].Workers = append(ticket.WorkerGroups[0].Workers, specifier.Worker{Name: "w3", Address: "10.0.0.3:1", Processors: 64, MemoryMB: 64000, Accelerators: 8})
	st.ticket(ticket)
	e := job("k", nil)
	st.add("i2/b", e)
	id := e.JobSubmitted.ID
	for n, worker := range []string{"w1", "w2", "w3"} {
		c := commit(id, n+1)
		c.AttemptCommitted.Placements[0].Worker = worker
		st.decide(c)
		end := ended(id, n+1, encoder.ResultFailed)
		end.AttemptEnded.Worker = worker
		st.decide(end)
		if last := n == 2; !last && len(st.s.Workers[worker].FailedJobs) != 1 {
			t.Errorf("worker %s is not doubted while the job may still succeed elsewhere", worker)
		}
	}
	if j := st.s.Jobs[id]; j.Status != reducer.JobFailed {
		t.Errorf("job is %s, want Failed", j.Status)
	}
	for worker, h := range st.s.Workers {
		if len(h.FailedJobs) > 0 {
			t.Errorf("worker %s is blamed for %v", worker, h.FailedJobs)
		}
	}
}

// TestRefusals holds entries that must have no effect.
func TestRefusals(t *testing.T) {
	e := job("k", nil)
	id := e.JobSubmitted.ID
	tests := []struct {
		name  string
		setup func(*story)
		entry func(*story) reducer.Result
		code  reducer.RefusalCode
	}{
		{"a decision of an older term", func(st *story) {
			st.add("i2/b", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i2/b"}})
		}, func(st *story) reducer.Result {
			old := commit(id, 1)
			old.Term = 1
			return st.add(holder, old)
		}, reducer.RefusedStaleTerm},
		{"the second of two claims of one term", func(st *story) {
			st.add("i2/b", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i2/b"}})
		}, func(st *story) reducer.Result {
			return st.add("i3/c", encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 2, Holder: "i3/c"}})
		}, reducer.RefusedStaleTerm},
		{"a start of a job that was cancelled first", func(st *story) {
			st.add("i2/b", encoder.Entry{CancelRequested: &encoder.CancelRequested{ID: id, By: "caller"}})
		}, func(st *story) reducer.Result { return st.decide(commit(id, 1)) }, reducer.RefusedState},
		{"a start in a domain that is out", func(st *story) {
			st.ticket(domainTicket(11, specifier.DomainOut, ""))
		}, func(st *story) reducer.Result { return st.decide(commit(id, 1)) }, reducer.RefusedState},
		{"another job under a used key", nil, func(st *story) reducer.Result {
			return st.add("i2/b", job("k", func(j *specifier.Job) { j.Tasks = 2 }))
		}, reducer.RefusedConflict},
		{"a second claim of a request", func(st *story) {
			st.add("i2/b", encoder.Entry{RequestClaimed: &encoder.RequestClaimed{Workspace: "a", Key: "k", Holder: "i2/b", Digest: "x"}})
		}, func(st *story) reducer.Result {
			return st.add("i3/c", encoder.Entry{RequestClaimed: &encoder.RequestClaimed{Workspace: "a", Key: "k", Holder: "i3/c", Digest: "x"}})
		}, reducer.RefusedRepeat},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			st := newStory()
			st.ticket(fleetTicket())
			st.add("i2/b", e)
			if test.setup != nil {
				test.setup(st)
			}
			if res := test.entry(st); res.Code != test.code {
				t.Errorf("code %q (%s), want %q", res.Code, res.Reason, test.code)
			}
		})
	}
}

// TestReplay draws any sequence of entries, with records doubled: two folds of
// it give the same bytes, and doubled records change nothing.
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
		a, b := withoutOffsets(t, once), withoutOffsets(t, doubled)
		if diff := cmp.Diff(a, b); diff != "" {
			t.Fatalf("folds differ:\n%s", diff)
		}
	})
}

// withoutOffsets encodes a state without the offsets, which differ when records
// are doubled.
func withoutOffsets(t *rapid.T, s *reducer.State) string {
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
	id := job(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "job")), nil)
	attempt := rapid.IntRange(1, 3).Draw(t, "attempt")
	entries := []encoder.Entry{
		{TermClaimed: &encoder.TermClaimed{Term: uint64(rapid.IntRange(1, 4).Draw(t, "term")), Holder: writer}},
		{TicketReceived: &encoder.TicketReceived{ConfigOffset: uint64(n), Ticket: fleetTicket()}},
		{TicketReceived: &encoder.TicketReceived{ConfigOffset: uint64(n), Ticket: domainTicket(uint64(10+n), specifier.DomainOut, "")}},
		id,
		{CancelRequested: &encoder.CancelRequested{ID: id.JobSubmitted.ID}},
		commit(id.JobSubmitted.ID, attempt),
		{AttemptRunning: &encoder.AttemptRunning{ID: id.JobSubmitted.ID, Attempt: attempt}},
		ended(id.JobSubmitted.ID, attempt, rapid.SampledFrom([]encoder.Result{encoder.ResultFinished, encoder.ResultFailed, encoder.ResultLost, encoder.ResultNotRun}).Draw(t, "result")),
	}
	e := rapid.SampledFrom(entries).Draw(t, "entry")
	e.At, e.Term = int64(n)*1000, uint64(rapid.IntRange(0, 2).Draw(t, "fence"))
	return e
}
