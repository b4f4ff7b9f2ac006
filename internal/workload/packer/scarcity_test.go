package packer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
)

// TestPlaceByScarcestResource guards against small tasks that each break up another worker's free
// memory while accelerators are idle, and against placements that change while nothing is scarce.
func TestPlaceByScarcestResource(t *testing.T) {
	withMemory := func(freeMB ...int) (nodes []packer.Node) {
		for _, mb := range freeMB {
			n := node("a", 4)
			n.Free.MemoryMB = mb
			nodes = append(nodes, n)
		}
		return nodes
	}
	fewAccelerators := withMemory(200, 100, 0, 0)
	for i := range fewAccelerators {
		fewAccelerators[i].Free.Accelerators = 1
		fewAccelerators[i].Room.Accelerators = 100
	}
	fewProcessors := withMemory(900, 900, 900)
	fewProcessors[0].Free.CPU, fewProcessors[1].Free.CPU, fewProcessors[2].Free.CPU = 9000, 5000, 500
	for _, c := range []struct {
		name  string
		nodes []packer.Node
		want  []int
	}{
		{"memory is scarce", withMemory(200, 100, 0, 0), []int{1}},
		{"nothing is scarce", withMemory(900, 600, 100), []int{0}},
		{"accelerators are scarcer", fewAccelerators, []int{0}},
		{"processors are scarce", fewProcessors, []int{1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, _ := packer.Place(c.nodes, packer.Request{Count: 1, Need: describer.Resources{CPU: 1000, MemoryMB: 50, Accelerators: 1}})
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("places (-want +got):\n%s", diff)
			}
		})
	}
}
