package decider_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
	"daisyhead/internal/standin/comparer"
)

// session sends messages to a model, applies its proposals immediately, and logs each
// message and command.
type session struct {
	m        decider.Model
	at       decider.Instant
	next     uint64
	sequence uint64
	out      strings.Builder
}

// send passes a message to the model and logs it with the commands that it causes,
// except for new views.
func (s *session) send(msg decider.Msg) {
	s.log("> ", msg)
	var cmds []decider.Command
	s.m, cmds = s.m.Update(s.at, msg)
	for _, c := range cmds {
		switch c := c.(type) {
		case decider.PublishCmd:
		case decider.ProposeCmd:
			s.log("  ", c)
			s.commit(c)
		default:
			s.log("  ", c)
		}
	}
}

// log appends one line with the prefix, the monotonic time and the JSON form of v.
func (s *session) log(prefix string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(&s.out, "%s%d %s %s\n", prefix, s.at.MonoMS, strings.TrimPrefix(fmt.Sprintf("%T", v), "decider."), omitNullEntries(string(data)))
}

// omitNullEntries removes the entry kinds that are null.
func omitNullEntries(text string) string {
	for _, kind := range []string{
		"TermClaimed", "TermRenewed", "MembersChanged", "TicketReceived", "JobSubmitted", "CancelRequested", "JobRefused", "JobNoted", "AttemptUnwound",
		"AttemptCommitted", "AttemptRunning", "StopRequested", "AttemptEnded", "WorkerObserved", "RequestClaimed", "RequestEnded", "SnapshotPlanned", "SnapshotWritten",
	} {
		text = strings.ReplaceAll(text, `"`+kind+`":null,`, "")
		text = strings.ReplaceAll(text, `,"`+kind+`":null`, "")
	}
	return text
}

// commit appends the proposal as a batch of this instance and reports success.
func (s *session) commit(c decider.ProposeCmd) {
	s.sequence++
	b := encoder.Batch{Version: 1, Writer: "i1/1", Sequence: s.sequence, Entries: c.Entries}
	s.deliver(b)
	results := make([]reducer.Result, len(c.Entries))
	for i := range results {
		results[i].OK = true
	}
	s.send(decider.ProposedMsg{Keys: c.Keys, Results: results})
}

// deliver sends the batches to the model as the records of one read.
func (s *session) deliver(batches ...encoder.Batch) {
	msg := decider.RecordsReadMsg{SentMS: s.at.MonoMS, CaughtUp: true}
	for _, b := range batches {
		msg.Records = append(msg.Records, decider.ReadRecord{Offset: s.next, Batch: b})
		s.next++
	}
	s.send(msg)
}

// advance moves the clocks forward by ms and sends the message.
func (s *session) advance(ms int64, msg decider.Msg) {
	s.at.MonoMS += ms
	s.at.WallMS += ms
	s.send(msg)
}

// TestSession replays a whole session: a term is claimed, and a gang is reserved,
// started, runs and finishes. The messages and commands must match the golden file.
func TestSession(t *testing.T) {
	s := &session{at: decider.Instant{WallMS: 1764840000000}}
	s.m = decider.New(decider.Config{
		Name: "i1", Writer: "i1/1", LeaseMS: 4000, RenewMS: 1000, MessageLifeMS: 2000, HoldMS: 4000, StartWindowMS: 3000, StartLeaseMS: 4000,
		MaxStateAgeMS: 2000, HolderTimeoutMS: 1500, MemberTimeoutMS: 3000, LostAfterMS: 9000, MarginMS: 500, PlanMS: 50, SnapshotMS: 60000, SnapshotRecords: 1000,
	}, reducer.New())
	ticket := specifier.Ticket{Number: 1, Operator: "op", Workspaces: []specifier.Workspace{{Name: "a"}}, Domains: []specifier.Domain{{Name: "d", Region: "r", State: specifier.DomainIn}}}
	ticket.WorkerGroups = []specifier.WorkerGroup{{Name: "r1", Domain: "d", Rack: "r1", Workers: []specifier.Worker{
		{Name: "w1", Address: "10.0.0.1:1", Processors: 8, MemoryMB: 8000, Accelerators: 8}, {Name: "w2", Address: "10.0.0.2:1", Processors: 8, MemoryMB: 8000, Accelerators: 8},
	}}}
	j := specifier.Job{Key: "k", Name: "pair", Workspace: "a", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack}
	id := j.ID()
	exchangeReply := func(version uint64, state runner.TaskState) runner.ExchangeReply {
		r := runner.ExchangeReply{Boot: "b", ClockMS: 100 + s.at.MonoMS, Version: version, Term: 1}
		if state != "" {
			r.Tasks = []runner.Status{{Job: id, Attempt: 1, Tasks: 1, State: state, Started: state != runner.TaskReserved, RanMS: 1200}}
		}
		return r
	}
	reply := func(version uint64, state runner.TaskState) runner.Reply {
		return runner.Reply{OK: true, Boot: "b", Version: version, Term: 1, Status: runner.Status{Job: id, Attempt: 1, Tasks: 1, State: state, Started: state != runner.TaskReserved}}
	}
	s.deliver()
	s.advance(100, decider.TickMsg{})
	s.advance(10, decider.ConfigReadMsg{Tickets: []encoder.TicketReceived{{ConfigOffset: 0, SubmissionID: "x", Ticket: ticket}}})
	s.advance(90, decider.TickMsg{})
	s.advance(1, decider.ExchangedMsg{Worker: "w1", Reply: exchangeReply(1, "")})
	s.advance(0, decider.ExchangedMsg{Worker: "w2", Reply: exchangeReply(1, "")})
	s.advance(300, decider.TickMsg{})
	s.deliver(encoder.Batch{Version: 1, Writer: "i2/7", Sequence: 1, Entries: []encoder.Entry{{At: s.at.WallMS, JobSubmitted: &encoder.JobSubmitted{ID: id, By: "caller", Job: j}}}})
	s.advance(100, decider.TickMsg{})
	s.advance(2, decider.ReservedMsg{Worker: "w1", Job: id, Attempt: 1, Reply: reply(2, runner.TaskReserved)})
	s.advance(1, decider.ReservedMsg{Worker: "w2", Job: id, Attempt: 1, Reply: reply(2, runner.TaskReserved)})
	s.advance(2, decider.StartedMsg{Worker: "w1", Job: id, Attempt: 1, Reply: reply(3, runner.TaskRunning)})
	s.advance(1, decider.StartedMsg{Worker: "w2", Job: id, Attempt: 1, Reply: reply(3, runner.TaskRunning)})
	s.advance(1200, decider.ExchangedMsg{Worker: "w1", Reply: exchangeReply(4, runner.TaskFinished)})
	s.deliver()
	s.advance(1, decider.ExchangedMsg{Worker: "w2", Reply: exchangeReply(4, runner.TaskFinished)})
	s.advance(100, decider.TickMsg{})
	comparer.Golden(t, "testdata/gang.txt", s.out.String())
}
