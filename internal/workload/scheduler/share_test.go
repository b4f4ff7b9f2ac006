package scheduler_test

import (
	"fmt"
	"testing"
)

// TestFloodOfOneWorkspaceLeavesShares guards against a workspace whose many jobs keep those of
// another one from capacity.
func TestFloodOfOneWorkspaceLeavesShares(t *testing.T) {
	for _, c := range []struct {
		name string
		// weight is that of workspace a, the one that does not flood.
		weight float64
		// least and most bound how many of the 20 jobs of workspace a end in time.
		least, most int
	}{
		{"equal shares", 0, 19, 20},
		{"a small share", 0.01, 0, 17},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.addWorkers(2, 4)
			sim.config.Workspaces[0].Weight = c.weight
			sim.startAll()
			sim.run(3000)
			for n := range 40 {
				sim.submit("render", "b", fmt.Sprintf("bb%014x", n), independentTasks(12, 1, 3000))
			}
			sim.run(3500)
			for n := range 20 {
				sim.after(int64(n)*700, func() { sim.submit("render", "a", fmt.Sprintf("aa%014x", n), independentTasks(8, 1, 2000)) })
			}
			sim.run(30_000)
			inTime := 0
			for n := range 20 {
				id := fmt.Sprintf("aa%014x", n)
				if end := sim.endOf(id); end > 0 && end <= sim.checker.jobs[id].submittedMS+3*2000+1000 {
					inTime++
				}
			}
			if inTime < c.least || inTime > c.most {
				t.Errorf("%d of 20 jobs of workspace a ended in time, want %d to %d", inTime, c.least, c.most)
			}
			sim.expectNoViolations(t)
		})
	}
}
