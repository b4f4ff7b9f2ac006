package packer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

func node(rack string, free int) packer.Node {
	return packer.Node{
		Rack: rack, Labels: []string{rack},
		Free: describer.Resources{CPU: 64000, MemoryMB: 1000, Accelerators: free},
		Room: describer.Resources{CPU: 64000, MemoryMB: 1000, Accelerators: 8},
	}
}

func need(accelerators int) describer.Resources {
	return describer.Resources{CPU: 1000, MemoryMB: 10, Accelerators: accelerators}
}

func ExamplePlace() {
	fleet := []packer.Node{{Rack: "r1", Free: describer.Resources{Accelerators: 8}}, {Rack: "r2", Free: describer.Resources{Accelerators: 4}}}
	places, ok := packer.Place(fleet, packer.Request{Count: 1, Need: describer.Resources{Accelerators: 4}})
	fmt.Println(places, ok)
	// Output: [1] true
}

func TestPlace(t *testing.T) {
	closed := node("a", 8)
	closed.Closed = true
	costly := node("a", 8)
	costly.Cost = 5
	occupied := node("a", 8)
	occupied.StepTasks = 2
	slow := node("a", 8)
	slow.Slowness = 1
	fast, verySlow := node("a", 8), node("a", 8)
	fast.Slowness, verySlow.Slowness = -4, 4
	unknown := node("a", 8)
	unknown.Slowness, unknown.Unknown = 1, true
	inRack := func(rack string, nodes ...packer.Node) []packer.Node {
		for i := range nodes {
			nodes[i].Rack = rack
		}
		return nodes
	}
	bulkGang := packer.Request{Count: 2, Need: need(8), SameRack: true, Speed: packer.SlowFirst}
	gang := packer.Request{Count: 2, Need: need(8), SameRack: true}
	for _, c := range []struct {
		name  string
		nodes []packer.Node
		r     packer.Request
		want  []int
	}{
		{"best fit", []packer.Node{node("a", 8), node("a", 3), node("b", 2)}, packer.Request{Count: 1, Need: need(2)}, []int{2}},
		{"a whole worker stays free", []packer.Node{node("a", 8), node("b", 5)}, packer.Request{Count: 4, Need: need(1)}, []int{1, 1, 1, 1}},
		{"a gang goes to one rack", []packer.Node{node("a", 8), node("a", 8), node("b", 4), node("b", 4)}, packer.Request{Count: 2, Need: need(4), SameRack: true}, []int{2, 3}},
		{"a gang waits for a rack", []packer.Node{node("a", 4), node("b", 4)}, packer.Request{Count: 2, Need: need(4), SameRack: true}, nil},
		{"a gang too large for any rack spans racks", []packer.Node{node("a", 8), node("b", 8)}, packer.Request{Count: 2, Need: need(8), SameRack: true}, []int{0, 1}},
		{"closed nodes are left out", []packer.Node{closed, node("b", 8)}, packer.Request{Count: 1, Need: need(8)}, []int{1}},
		{"lowest cost first", []packer.Node{costly, node("b", 8)}, packer.Request{Count: 1, Need: need(1)}, []int{1}},
		{"the cost of a rack counts only the nodes used", []packer.Node{node("a", 8), costly, costly, costly, node("b", 8)}, packer.Request{Count: 1, Need: need(8), SameRack: true}, []int{0}},
		{"a rack that costs nothing", []packer.Node{costly, node("a", 8), node("b", 8), node("b", 8)}, packer.Request{Count: 2, Need: need(8), SameRack: true}, []int{2, 3}},
		{"fast nodes first", []packer.Node{slow, node("b", 8)}, packer.Request{Count: 1, Need: need(1)}, []int{1}},
		{"slow nodes first", []packer.Node{node("b", 8), slow}, packer.Request{Count: 1, Need: need(1), Speed: packer.SlowFirst}, []int{1}},
		{"cost goes before speed", []packer.Node{costly, slow}, packer.Request{Count: 1, Need: need(1)}, []int{1}},
		{"a gang avoids the rack with a slow node", []packer.Node{slow, node("a", 8), node("b", 8), node("b", 8), node("b", 8)}, gang, []int{2, 3}},
		{"a rack's slow node that is not used does not count", []packer.Node{slow, node("a", 8), node("a", 8)}, gang, []int{1, 2}},
		{"a gang with an ordinary member takes no fast one", []packer.Node{fast, node("a", 8), node("a", 8), verySlow}, packer.Request{Count: 2, Need: need(8)}, []int{1, 2}},
		{"a gang of fast members", []packer.Node{fast, node("a", 8), fast}, packer.Request{Count: 2, Need: need(8)}, []int{0, 2}},
		{"a gang with one member of unknown speed takes no other", []packer.Node{unknown, unknown, node("a", 8), unknown}, packer.Request{Count: 2, Need: need(8)}, []int{2, 0}},
		{"a bulk gang takes slow members", []packer.Node{fast, fast, node("a", 8), node("a", 8), verySlow, verySlow}, bulkGang, []int{4, 5}},
		{"a bulk gang is not slowed down by one slow member", []packer.Node{fast, fast, node("a", 8), node("a", 8), verySlow}, bulkGang, []int{2, 3}},
		{"a bulk gang leaves a rack of fast nodes to others", append(inRack("b", fast, fast), node("a", 8), verySlow), bulkGang, []int{3, 2}},
		{"nodes beyond the limit are left out", []packer.Node{verySlow, node("a", 8)}, packer.Request{Count: 2, Need: need(8), MaxSlowness: 2}, nil},
		{"a gang is not spread because of a slow node", []packer.Node{verySlow, node("a", 8), node("b", 8)}, packer.Request{Count: 2, Need: need(8), SameRack: true, MaxSlowness: 2}, nil},
		{"not all tasks fit", []packer.Node{node("a", 8)}, packer.Request{Count: 9, Need: need(1)}, nil},
		{"required label", []packer.Node{node("a", 8), node("b", 8)}, packer.Request{Count: 1, Need: need(1), RequireLabel: "b"}, []int{1}},
		{"preferred rack", []packer.Node{node("a", 1), node("b", 8)}, packer.Request{Count: 1, Need: need(1), PreferRack: "b"}, []int{1}},
		{"preferred rack is full", []packer.Node{node("a", 1), node("b", 0)}, packer.Request{Count: 1, Need: need(1), PreferRack: "b"}, []int{0}},
		{"nothing on a node that is over its capacity", []packer.Node{node("a", -1), node("b", 8)}, packer.Request{Count: 1, Need: need(0)}, []int{1}},
		{"limit of tasks per worker", []packer.Node{occupied, node("b", 8)}, packer.Request{Count: 2, Need: need(1), MaxPerWorker: 2}, []int{1, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := packer.Place(c.nodes, c.r)
			if ok != (c.want != nil) {
				t.Fatalf("Place returned ok = %t with places %v", ok, got)
			}
			if diff := cmp.Diff(c.want, got); ok && diff != "" {
				t.Errorf("places (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFitsEmptyFleet(t *testing.T) {
	closed := node("a", 0)
	closed.Closed = true
	if !packer.FitsEmptyFleet([]packer.Node{closed}, packer.Request{Count: 8, Need: need(1)}) {
		t.Error("FitsEmptyFleet is false for a request that fits once the node is empty and open")
	}
	if packer.FitsEmptyFleet([]packer.Node{node("a", 8)}, packer.Request{Count: 1, Need: need(9)}) {
		t.Error("FitsEmptyFleet is true for a task larger than any worker")
	}
}

// TestPlaceNeverOverfills places random requests on random fleets and checks
// that no node is closed, over capacity or over the limit of tasks per worker.
func TestPlaceNeverOverfills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]packer.Node, rapid.IntRange(1, 20).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = node(fmt.Sprint(i/4), rapid.IntRange(0, 8).Draw(t, "free"))
			nodes[i].Closed = rapid.Bool().Draw(t, "closed")
			nodes[i].Cost = float64(rapid.IntRange(0, 3).Draw(t, "cost"))
		}
		r := packer.Request{Count: rapid.IntRange(1, 12).Draw(t, "count"), Need: need(rapid.IntRange(0, 8).Draw(t, "need")), SameRack: rapid.Bool().Draw(t, "same rack"), MaxPerWorker: rapid.IntRange(0, 3).Draw(t, "max per worker")}
		places, ok := packer.Place(nodes, r)
		if !ok {
			return
		}
		if len(places) != r.Count {
			t.Fatalf("%d places for %d tasks", len(places), r.Count)
		}
		tasksOn := map[int]int{}
		for _, i := range places {
			tasksOn[i]++
			nodes[i].Free = nodes[i].Free.Sub(r.Need)
			if nodes[i].Closed || nodes[i].Free.Accelerators < 0 || r.MaxPerWorker > 0 && tasksOn[i] > r.MaxPerWorker {
				t.Fatalf("node %d can't take %d tasks: %+v", i, tasksOn[i], nodes[i])
			}
		}
	})
}
