package backfiller_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/backfiller"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// bulk is what a task of a gang needs, single what a small task needs.
var (
	room   = describer.Resources{CPU: 64000, MemoryMB: 256, Accelerators: 8}
	bulk   = describer.Resources{CPU: 1000, MemoryMB: 140, Accelerators: 1}
	single = describer.Resources{CPU: 1000, MemoryMB: 23, Accelerators: 1}
)

// fixture is a fleet with its expected releases.
type fixture struct {
	nodes    []packer.Node
	releases [][]backfiller.Release
}

// add adds a worker on which a small task ends at each of the times.
func (f *fixture) add(rack string, endsInMS ...int64) {
	n := packer.Node{Rack: rack, Room: room, Free: room}
	var releases []backfiller.Release
	for _, ms := range endsInMS {
		n.Free = n.Free.Sub(single)
		releases = append(releases, backfiller.Release{Amount: single, InMS: ms})
	}
	f.nodes, f.releases = append(f.nodes, n), append(f.releases, releases)
}

func (f *fixture) choose(r packer.Request) (backfiller.Choice, bool) {
	return backfiller.Choose(backfiller.Input{
		Nodes: f.nodes, Releases: func(i int) []backfiller.Release { return slices.Clone(f.releases[i]) }, Request: r, WithinMS: 10000,
	})
}

func ExampleChoose() {
	var f fixture
	f.add("a", 100, 200, 300, 400, 500, 600)
	c, ok := f.choose(packer.Request{Count: 1, Need: bulk})
	fmt.Println(c.Places, c.ReadyInMS, ok)
	// Output: [0] 100 true
}

// TestChoose guards against a gang that waits for other workers than those that are free first.
// Six small tasks leave a worker 118 of 256 MB, so that the first end makes it fit.
func TestChoose(t *testing.T) {
	for _, c := range []struct {
		name    string
		fill    func(f *fixture)
		request packer.Request
		want    *backfiller.Choice
	}{
		{"the earliest ends", func(f *fixture) {
			f.add("a", 900, 5000, 5000, 5000, 5000, 5000)
			f.add("a", 100, 5000, 5000, 5000, 5000, 5000)
			f.add("b", 300, 5000, 5000, 5000, 5000, 5000)
		}, packer.Request{Count: 2, Need: bulk}, &backfiller.Choice{Places: []int{1, 2}, ReadyInMS: 300}},
		{"the rack with the earliest last end", func(f *fixture) {
			f.add("a", 10, 5000, 5000, 5000, 5000, 5000)
			f.add("a", 900, 5000, 5000, 5000, 5000, 5000)
			f.add("b", 300, 5000, 5000, 5000, 5000, 5000)
			f.add("b", 400, 5000, 5000, 5000, 5000, 5000)
		}, packer.Request{Count: 2, Need: bulk, SameRack: true}, &backfiller.Choice{Places: []int{2, 3}, ReadyInMS: 400}},
		{"a gang too large for any rack spans racks", func(f *fixture) {
			f.add("a", 10, 5000, 5000, 5000, 5000, 5000)
			f.add("b", 300, 5000, 5000, 5000, 5000, 5000)
		}, packer.Request{Count: 2, Need: bulk, SameRack: true}, &backfiller.Choice{Places: []int{0, 1}, ReadyInMS: 300}},
		{"workers that are free count at once", func(f *fixture) {
			f.add("a", 300, 5000, 5000, 5000, 5000, 5000)
			f.add("a")
		}, packer.Request{Count: 2, Need: bulk}, &backfiller.Choice{Places: []int{0, 1}, ReadyInMS: 300, FreeTasks: 1}},
		{"several tasks of one worker", func(f *fixture) {
			f.add("a", 100, 200, 700)
			f.nodes[0].Room.MemoryMB, f.nodes[0].Free.MemoryMB = 300, 300-3*23
		}, packer.Request{Count: 2, Need: bulk}, &backfiller.Choice{Places: []int{0, 0}, ReadyInMS: 700, FreeTasks: 1}},
		{"memory counts although accelerators are idle", func(f *fixture) {
			f.add("a", 200)
			f.nodes[0].Free = describer.Resources{CPU: 64000, MemoryMB: 10, Accelerators: 8}
			f.releases[0] = []backfiller.Release{{Amount: describer.Resources{MemoryMB: 100}, InMS: 200}, {Amount: describer.Resources{MemoryMB: 146}, InMS: 4000}}
		}, packer.Request{Count: 1, Need: bulk}, &backfiller.Choice{Places: []int{0}, ReadyInMS: 4000}},
		{"capacity that is kept already is made up for first", func(f *fixture) {
			f.add("a", 100, 200, 300, 400, 500, 600)
			f.nodes[0].Free = f.nodes[0].Free.Sub(bulk)
		}, packer.Request{Count: 1, Need: single}, &backfiller.Choice{Places: []int{0}, ReadyInMS: 200}},
		{"closed workers are left out", func(f *fixture) {
			f.add("a")
			f.nodes[0].Closed = true
		}, packer.Request{Count: 1, Need: bulk}, nil},
		{"too late", func(f *fixture) {
			f.add("a", 20000, 20000, 20000, 20000, 20000, 20000)
		}, packer.Request{Count: 1, Need: bulk}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var f fixture
			c.fill(&f)
			got, ok := f.choose(c.request)
			if ok != (c.want != nil) {
				t.Fatalf("Choose returned ok = %t with %+v", ok, got)
			}
			if ok {
				if diff := cmp.Diff(*c.want, got); diff != "" {
					t.Errorf("choice (-want +got):\n%s", diff)
				}
			}
		})
	}
}
