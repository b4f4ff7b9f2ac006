package reducer_test

import (
	"fmt"
	"strings"
	"testing"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// TestMaxUnitBytesCoversRecords guards against accepted gangs whose record the store refuses, so
// that the holder repeats the refused append for ever.
func TestMaxUnitBytesCoversRecords(t *testing.T) {
	for _, tasks := range []int{1, 78, 3000} {
		id := reducer.UnitID{Job: strings.Repeat("a", 16), Occurrence: describer.MaxJobTasks, Step: describer.MaxSteps}
		placed := reducer.Unit{Term: 1 << 40, Phase: reducer.PhasePlaced, Run: 100, Settled: true, Checkpoint: strings.Repeat("x", 200)}
		late := placed
		for i := range tasks {
			worker := fmt.Sprintf("i-%010d", i)
			placed.Workers, placed.Incarnations = append(placed.Workers, worker), append(placed.Incarnations, 1<<45)
			late.LateStarts = append(late.LateStarts, reducer.LateStart{Worker: worker, Member: i, Run: 100, WaitMS: 15500})
		}
		limit := reducer.MaxUnitBytes(describer.Step{Count: tasks, Gang: true})
		for _, u := range []reducer.Unit{placed, late} {
			r := reducer.UnitRecord(id, u)
			if size := len(r.Key) + len(r.Value); size > limit {
				t.Errorf("%d tasks: the record has %d bytes, at most %d are expected", tasks, size, limit)
			}
		}
	}
}

// FuzzDecodeSubmission checks that any value of a submission's record gives either a valid job or
// none.
func FuzzDecodeSubmission(f *testing.F) {
	job := describer.Job{ID: "a", Workspace: "w", Queue: "q", Spec: "x", Steps: []describer.Step{{Count: 2, Gang: true, After: []int{}}}}
	f.Add(reducer.SubmissionRecord(reducer.Submission{Job: job}).Value)
	f.Add([]byte{0xa1, 0x63, 'J', 'o', 'b', 0xf6})
	f.Fuzz(func(t *testing.T, value []byte) {
		s, ok := reducer.DecodeSubmission(reducer.Record{Key: "submission/a", Value: value})
		if ok && s.Job.Validate() != nil {
			t.Errorf("job %+v is not valid", s.Job)
		}
	})
}
