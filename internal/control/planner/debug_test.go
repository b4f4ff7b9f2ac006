package planner_test

import (
	"fmt"
	"testing"

	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/reducer"
)

func TestDebug(t *testing.T) {
	s := sites[1]
	for _, seed := range policySeeds {
		d := newDriver(s.draw(seed), planner.Plan)
		d.run()
		n := 0
		for _, id := range reducer.SortedKeys(d.s.Jobs) {
			j := d.s.Jobs[id]
			urgentLate := j.Spec.Urgent && d.watch.startedMS[id]-j.SubmittedMS > 30000
			if (!j.Status.Final() || urgentLate) && n < 2 {
				n++
				fmt.Println(seed, j.Status, j.WaitingFor, j.Spec.Tasks, j.Spec.Accelerators, j.Spec.NonIdempotent, j.Spec.Workspace, d.trueMS[id]/1000, j.EventsLost)
				for i, e := range j.Events {
					if i < 6 || i > len(j.Events)-6 {
						fmt.Println("   ", e.AtMS/1000%1000000, e.Text)
					}
				}
			}
		}
	}
}
