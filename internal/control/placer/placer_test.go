package placer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
)

// newGridFleet returns a fleet with the given number of domains and of racks per
// domain. Each rack has two workers with eight accelerators.
func newGridFleet(domains, racks int) *placer.Fleet {
	var nodes []placer.Node
	for d := range domains {
		for r := range racks {
			for w := range 2 {
				nodes = append(nodes, placer.Node{
					Worker: fmt.Sprintf("d%d-r%d-w%d", d, r, w), Rack: fmt.Sprintf("d%d-r%d", d, r), Domain: fmt.Sprintf("d%d", d), Region: "r",
					Total: placer.Resources{Processors: 64, MemoryMB: 64000, Accelerators: 8},
				})
			}
		}
	}
	return placer.NewFleet(nodes)
}

func acceleratorRequest(tasks, each int, within specifier.Adjacency) placer.Request {
	return placer.Request{Tasks: tasks, PerTask: placer.Resources{Accelerators: each}, Within: within}
}

func ExampleFleet_Place() {
	f := newGridFleet(1, 2)
	free := f.Totals()
	places, ok := f.Place(free, acceleratorRequest(2, 8, specifier.WithinRack), placer.Options{})
	free.Allocate(places)
	for _, p := range places {
		fmt.Println(f.Nodes[p.Node].Worker, p.Tasks, free[p.Node].Accelerators)
	}
	fmt.Println(ok)
	// Output:
	// d0-r0-w0 1 0
	// d0-r0-w1 1 0
	// true
}

func TestPlace(t *testing.T) {
	tests := []struct {
		name string
		used map[string]int
		r    placer.Request
		want map[string]int
	}{
		{"a task fills a partly used worker before an empty one", map[string]int{"d0-r1-w1": 4}, acceleratorRequest(1, 4, specifier.WithinAny), map[string]int{"d0-r1-w1": 1}},
		{"a task is not split over two workers", map[string]int{"d0-r0-w0": 6, "d0-r0-w1": 6, "d0-r1-w0": 6, "d0-r1-w1": 6}, acceleratorRequest(1, 4, specifier.WithinAny), nil},
		{"a gang stays within a rack", map[string]int{"d0-r0-w0": 8}, acceleratorRequest(2, 8, specifier.WithinRack), map[string]int{"d0-r1-w0": 1, "d0-r1-w1": 1}},
		{"a gang within a domain takes two racks", nil, acceleratorRequest(4, 8, specifier.WithinDomain), map[string]int{"d0-r0-w0": 1, "d0-r0-w1": 1, "d0-r1-w0": 1, "d0-r1-w1": 1}},
		{"a gang larger than the fleet has no place", nil, acceleratorRequest(5, 8, specifier.WithinAny), nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newGridFleet(1, 2)
			free := f.Totals()
			for worker, n := range test.used {
				free[f.Index(worker)].Accelerators -= n
			}
			places, _ := f.Place(free, test.r, placer.Options{})
			var got map[string]int
			for _, p := range places {
				if got == nil {
					got = map[string]int{}
				}
				got[f.Nodes[p.Node].Worker] += p.Tasks
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("places differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestPlaceProperties places random requests on random fleets: a place holds all
// tasks, within the requested group and the free resources, and a place is found
// whenever a brute-force search finds one.
func TestPlaceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newGridFleet(rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 3).Draw(t, "racks"))
		free := f.Totals()
		for i := range free {
			free[i].Accelerators = rapid.IntRange(0, 8).Draw(t, "free")
		}
		within := rapid.SampledFrom([]specifier.Adjacency{specifier.WithinWorker, specifier.WithinRack, specifier.WithinDomain, specifier.WithinAny}).Draw(t, "within")
		r := acceleratorRequest(rapid.IntRange(1, 12).Draw(t, "tasks"), rapid.IntRange(1, 8).Draw(t, "each"), within)
		places, ok := f.Place(free, r, placer.Options{})
		if !ok {
			if bruteForceFits(f, free, r) {
				t.Fatalf("no place found for %+v although there is one", r)
			}
			return
		}
		tasks := 0
		for _, p := range places {
			tasks += p.Tasks
			if !f.SameGroup(places[0].Node, within)[p.Node] {
				t.Fatalf("%+v is spread over more than %s", places, within)
			}
		}
		if tasks != r.Tasks {
			t.Fatalf("%d tasks placed, want %d", tasks, r.Tasks)
		}
		free.Allocate(places)
		for i := range free {
			if free[i].Accelerators < 0 {
				t.Fatalf("worker %s is overcommitted", f.Nodes[i].Worker)
			}
		}
	})
}

// bruteForceFits reports whether any group of the request's adjacency has enough
// free accelerators, by counting the tasks that fit on each node.
func bruteForceFits(f *placer.Fleet, free placer.Free, r placer.Request) bool {
	for i := range f.Nodes {
		fit := 0
		for j, inGroup := range f.SameGroup(i, r.Within) {
			if inGroup {
				fit += free[j].Accelerators / r.PerTask.Accelerators
			}
		}
		if fit >= r.Tasks {
			return true
		}
	}
	return false
}

// TestPackSpreadsOverDomains packs three gangs into three domains with room for two
// gangs each: each domain must get one.
func TestPackSpreadsOverDomains(t *testing.T) {
	f := newGridFleet(3, 2)
	var gangs []placer.GuaranteedGang
	for range 3 {
		gangs = append(gangs, placer.GuaranteedGang{Workspace: "a", Guarantee: "g", Request: acceleratorRequest(2, 8, specifier.WithinRack)})
	}
	packing := f.Pack(f.Totals(), gangs, placer.Options{})
	domains := map[string]int{}
	for _, places := range packing.Places {
		domains[f.Nodes[places[0].Node].Domain]++
	}
	if diff := cmp.Diff(map[string]int{"d0": 1, "d1": 1, "d2": 1}, domains); diff != "" || packing.Unplaced != 0 {
		t.Errorf("%d unplaced, domains differ (-want +got):\n%s", packing.Unplaced, diff)
	}
}
