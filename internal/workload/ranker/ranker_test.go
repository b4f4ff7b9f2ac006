package ranker_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/ranker"
)

func job(priority int, acceptedMS, estimateMS int64) ranker.Input {
	return ranker.Input{
		Priority: priority, Steps: []describer.Step{{EstimateMS: estimateMS}}, Stretch: 3, ObjectiveMS: 1000, AcceptedMS: acceptedMS, NowMS: 100000,
	}
}

func TestOrder(t *testing.T) {
	jobs := map[string]ranker.Input{
		"urgent":             job(0, 99000, 5000),
		"little time left":   job(1, 90000, 4000),
		"much time left":     job(1, 99000, 8000),
		"too late to matter": job(1, 10000, 4000),
		"batch":              job(2, 80000, 5000),
	}
	want := []string{"urgent", "little time left", "much time left", "too late to matter", "batch"}
	got := slices.Clone(want)
	slices.Sort(got)
	slices.SortStableFunc(got, func(a, b string) int { return ranker.Compare(ranker.Rank(jobs[a]), ranker.Rank(jobs[b])) })
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestCriticalPath(t *testing.T) {
	steps := []describer.Step{{EstimateMS: 100}, {EstimateMS: 500}, {EstimateMS: 50, After: []int{0}}, {EstimateMS: 10, After: []int{1, 2}}}
	if got := ranker.CriticalPathMS(steps); got != 510 {
		t.Errorf("the critical path takes %d ms, want 510", got)
	}
}

func TestCredit(t *testing.T) {
	in := ranker.Input{Steps: []describer.Step{{EstimateMS: 2000}}, Stretch: 1.5, ObjectiveMS: 1000, AcceptedMS: 100}
	for _, c := range []struct {
		name      string
		elapsedMS int64
		want      int
	}{
		{"in time", 4000, ranker.CreditFull},
		{"late", 4001, ranker.CreditLate},
		{"last moment of late credit", 12000, ranker.CreditLate},
		{"too late", 12001, ranker.CreditNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			in.NowMS = in.AcceptedMS + c.elapsedMS
			if diff := cmp.Diff(c.want, ranker.Credit(in)); diff != "" {
				t.Errorf("credit (-want +got):\n%s", diff)
			}
		})
	}
}
