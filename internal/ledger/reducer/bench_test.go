package reducer_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

// sizes are the multiples at which slopes are measured.
var sizes = []int{1, 2, 4, 8}

// runningJobs folds jobs of 21 tasks on a fleet and returns the state.
func runningJobs(jobs int) *story {
	st := newStory()
	st.ticket(fleetTicket())
	for n := range jobs {
		e := job(fmt.Sprint(n), func(j *specifier.Job) { j.Tasks = 21 })
		st.add("i2/b", e)
		id := e.JobSubmitted.ID
		st.decide(commit(id, 1))
		st.decide(encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 1}})
	}
	return st
}

// BenchmarkFold measures one job's life of four records, decoding included,
// while so many others run.
func BenchmarkFold(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("jobs=%d", 100*k), func(b *testing.B) {
			st := runningJobs(100 * k)
			b.ReportAllocs()
			n, size := 0, 0
			for b.Loop() {
				n++
				e := job(fmt.Sprint("new", n), nil)
				id := e.JobSubmitted.ID
				for _, e := range []encoder.Entry{e, commit(id, 1), {AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 1}}, ended(id, 1, encoder.ResultFinished)} {
					e.Term = st.s.Term
					st.sequence[holder]++
					data, err := encoder.Encode(encoder.Batch{Writer: holder, Sequence: st.sequence[holder], Entries: []encoder.Entry{e}})
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
					batch, err := encoder.Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					st.s.Apply(st.s.Next, batch)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "recordBytes/job")
		})
	}
}

// BenchmarkSnapshot measures the encoding and decoding of the whole state.
func BenchmarkSnapshot(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("jobs=%d", 100*k), func(b *testing.B) {
			st := runningJobs(100 * k)
			size := 0
			for b.Loop() {
				data, err := serializer.Marshal(st.s)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				if err := serializer.Unmarshal(data, reducer.New()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "stateBytes")
		})
	}
}

// BenchmarkTicket measures one accepted ticket: its checks, packing included,
// while so many workers are configured.
func BenchmarkTicket(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("workers=%d", 96*k), func(b *testing.B) {
			st := newStory()
			st.ticket(wideFleet(96 * k))
			number := uint64(100)
			for b.Loop() {
				number++
				state := specifier.DomainIn
				if number%2 == 0 {
					state = specifier.DomainOut
				}
				if res := st.ticket(domainTicket(number, state, "")); !res.OK {
					b.Fatal(res.Reason)
				}
			}
		})
	}
}

// wideFleet has racks of eight workers and 28 workspaces with guarantees.
func wideFleet(workers int) specifier.Ticket {
	t := specifier.Ticket{Number: 1, Operator: "op", Domains: []specifier.Domain{{Name: "d", Region: "r", State: specifier.DomainIn}}}
	for r := range workers / 8 {
		g := specifier.WorkerGroup{Name: fmt.Sprintf("r%d", r), Domain: "d", Rack: fmt.Sprintf("r%d", r)}
		for w := range 8 {
			g.Workers = append(g.Workers, specifier.Worker{
				Name: fmt.Sprintf("r%d-w%d", r, w), Address: fmt.Sprintf("10.0.%d.%d:1", r, w+1), Processors: 64, MemoryMB: 64000, Accelerators: 8,
			})
		}
		t.WorkerGroups = append(t.WorkerGroups, g)
	}
	for n := range 28 {
		t.Workspaces = append(t.Workspaces, specifier.Workspace{Name: fmt.Sprintf("ws%d", n), Guarantees: []specifier.Guarantee{
			{Name: "g", Tasks: 2, Accelerators: 8, Within: specifier.WithinRack, Count: 1},
		}})
	}
	return t
}
