package reducer_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

// sizes are the factors by which the benchmarks scale their input.
var sizes = []int{1, 2, 4, 8}

// runningJobs returns a fixture with running jobs of 21 tasks each.
func runningJobs(jobs int) *fixture {
	f := newFixture()
	f.applyTicket(fleetTicket())
	for n := range jobs {
		e := job(fmt.Sprint(n), func(j *specifier.Job) { j.Tasks = 21 })
		f.apply("i2/b", e)
		id := e.JobSubmitted.ID
		f.applyAsHolder(commit(id, 1))
		f.applyAsHolder(encoder.Entry{AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 1}})
	}
	return f
}

// BenchmarkFold measures encoding, decoding and applying the four records of one
// job, from submission to end, while other jobs are running.
func BenchmarkFold(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("jobs=%d", 100*k), func(b *testing.B) {
			f := runningJobs(100 * k)
			b.ReportAllocs()
			n, size := 0, 0
			for b.Loop() {
				n++
				e := job(fmt.Sprint("new", n), nil)
				id := e.JobSubmitted.ID
				for _, e := range []encoder.Entry{e, commit(id, 1), {AttemptRunning: &encoder.AttemptRunning{ID: id, Attempt: 1}}, attemptEnded(id, 1, encoder.ResultFinished)} {
					e.Term = f.s.Term
					f.sequence[holder]++
					data, err := encoder.Encode(encoder.Batch{Writer: holder, Sequence: f.sequence[holder], Entries: []encoder.Entry{e}})
					if err != nil {
						b.Fatal(err)
					}
					size += len(data)
					batch, err := encoder.Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					f.s.Apply(f.s.Next, batch)
				}
			}
			b.ReportMetric(float64(size)/float64(n), "recordBytes/job")
		})
	}
}

// BenchmarkSnapshot measures encoding and decoding the whole state.
func BenchmarkSnapshot(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("jobs=%d", 100*k), func(b *testing.B) {
			f := runningJobs(100 * k)
			size := 0
			for b.Loop() {
				data, err := serializer.Marshal(f.s)
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

// BenchmarkTicket measures checking and applying one ticket, including the
// placement of all guarantees, by the number of configured workers.
func BenchmarkTicket(b *testing.B) {
	for _, k := range sizes {
		b.Run(fmt.Sprintf("workers=%d", 96*k), func(b *testing.B) {
			f := newFixture()
			f.applyTicket(largeFleet(96 * k))
			number := uint64(100)
			for b.Loop() {
				number++
				state := specifier.DomainIn
				if number%2 == 0 {
					state = specifier.DomainOut
				}
				if res := f.applyTicket(domainTicket(number, state, "")); !res.OK {
					b.Fatal(res.Reason)
				}
			}
		})
	}
}

// largeFleet returns a ticket with racks of eight workers and 28 workspaces with
// one guarantee each.
func largeFleet(workers int) specifier.Ticket {
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
