package decider_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/runner"
)

// renewalModel returns the model of a holder with the given number of workers, each
// running 18 tasks in three attempts.
func renewalModel(workers int) (decider.Model, []string) {
	s := reducer.New()
	sequence := uint64(0)
	apply := func(term uint64, e encoder.Entry) {
		sequence++
		e.Term = term
		s.Apply(s.Next, encoder.Batch{Writer: "i1/1", Sequence: sequence, Entries: []encoder.Entry{e}})
	}
	apply(0, encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: "i1/1"}})
	t := specifier.Ticket{Number: 1, Operator: "op", Domains: []specifier.Domain{{Name: "d", State: specifier.DomainIn}}, Workspaces: []specifier.Workspace{{Name: "a"}}}
	g := specifier.WorkerGroup{Name: "g", Domain: "d", Rack: "r"}
	var names []string
	for n := range workers {
		name := fmt.Sprintf("w%04d", n)
		names = append(names, name)
		g.Workers = append(g.Workers, specifier.Worker{Name: name, Address: fmt.Sprintf("10.0.%d.%d:1", n/250, n%250+1), Processors: 64, MemoryMB: 64000, Accelerators: 8})
	}
	t.WorkerGroups = []specifier.WorkerGroup{g}
	apply(1, encoder.Entry{TicketReceived: &encoder.TicketReceived{Ticket: t}})
	for n, name := range names {
		for a := range 3 {
			j := specifier.Job{Key: fmt.Sprint(n, a), Workspace: "a", Tasks: 6, Processors: 1, MemoryMB: 1}
			apply(0, encoder.Entry{JobSubmitted: &encoder.JobSubmitted{ID: j.ID(), Job: j}})
			apply(1, encoder.Entry{AttemptCommitted: &encoder.AttemptCommitted{ID: j.ID(), Attempt: 1, Placements: []encoder.Placement{{Worker: name, Tasks: 6, Boot: "b"}}}})
			apply(1, encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: j.ID(), Attempt: 1}})
		}
	}
	m := decider.New(decider.Config{
		Name: "i1", Writer: "i1/1", LeaseMS: 20000, RenewMS: 4000, MaxStateAgeMS: 2000, HolderTimeoutMS: 3500, MemberTimeoutMS: 10000,
		LostAfterMS: 90000, MarginMS: 1000, StartLeaseMS: 4000, StartWindowMS: 3000, SnapshotMS: 1 << 40, SnapshotRecords: 1 << 40, PlanMS: 1 << 40,
	}, s)
	return m, names
}

// BenchmarkRenewal measures one round in which the holder renews the leases of every
// worker: the CPU time of the control loop and the size of the messages.
func BenchmarkRenewal(b *testing.B) {
	for _, k := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("workers=%d", 95*k), func(b *testing.B) {
			m, names := renewalModel(95 * k)
			at := decider.Instant{MonoMS: 1000}
			m, _ = m.Update(at, decider.RecordsReadMsg{SentMS: 1000, CaughtUp: true})
			replies := map[string]runner.ExchangeReply{}
			for n, name := range names {
				r := runner.ExchangeReply{Boot: "b", Version: 1, Term: 1}
				for a := range 3 {
					j := specifier.Job{Key: fmt.Sprint(n, a), Workspace: "a"}
					r.Tasks = append(r.Tasks, runner.Status{Job: j.ID(), Attempt: 1, Tasks: 6, State: runner.TaskRunning, Started: true})
				}
				replies[name] = r
			}
			bytes, rounds := 0, 0
			for b.Loop() {
				rounds++
				at.MonoMS += 4000
				m, _ = m.Update(at, decider.RecordsReadMsg{SentMS: at.MonoMS, CaughtUp: true})
				if rounds == 2 {
					for _, name := range names {
						replies[name] = runner.ExchangeReply{Boot: "b", Version: 1, Term: 1, Unchanged: true}
					}
				}
				var cmds []decider.Command
				for _, name := range names {
					m, cmds = m.Update(at, decider.ExchangedMsg{Worker: name, Reply: replies[name]})
					for _, c := range cmds {
						if e, ok := c.(decider.ExchangeCmd); ok {
							request, _ := json.Marshal(e.Request)
							reply, _ := json.Marshal(replies[name])
							bytes += len(request) + len(reply)
						}
					}
				}
			}
			b.ReportMetric(float64(bytes)/float64(rounds*len(names)), "bodyBytes/renewal")
		})
	}
}

// BenchmarkPeers measures encoding, decoding and size of a heartbeat that reports
// requests in flight at the given number of minions.
func BenchmarkPeers(b *testing.B) {
	for _, k := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprintf("minions=%d", 12*k), func(b *testing.B) {
			h := peerencoder.Heartbeat{Name: "entry-1", Writer: "entry-1/4f2a9c01", Term: 12, Next: 123456, Epoch: 40, Ready: true, LogAgeMS: 200, SlotsUsed: map[string]int{}}
			for n := range 12 * k {
				h.SlotsUsed[fmt.Sprintf("10.0.0.%d:8080", n)] = 3
			}
			size := 0
			for b.Loop() {
				data, err := peerencoder.Encode(peerencoder.Message{Heartbeat: &h})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := peerencoder.Decode(data); err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/heartbeat")
		})
	}
}
