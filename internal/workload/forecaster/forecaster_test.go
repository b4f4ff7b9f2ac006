package forecaster_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/forecaster"
)

func progressOf(reports ...[2]int) (p forecaster.Progress) {
	for _, r := range reports {
		p.AddReport(int64(r[0]), r[1])
	}
	return p
}

func ExampleProgress() {
	var p forecaster.Progress
	p.AddReport(1000, 10)
	p.AddReport(2000, 30)
	fmt.Println(p.RemainingMS(2500, 8000), p.Stalled(8000))
	// Output: 3000 false
}

func TestRemaining(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [][2]int
		nowMS   int64
		want    int64
	}{
		{"no report", nil, 500, 3500},
		{"one report", [][2]int{{1000, 25}}, 1000, 3000},
		{"one report, some time ago", [][2]int{{1000, 25}}, 2000, 2000},
		{"a measured speed overrides the estimate", [][2]int{{1000, 0}, {3000, 20}}, 3000, 8000},
		{"the latest speed is used", [][2]int{{1000, 0}, {2000, 50}, {4000, 60}}, 4000, 8000},
		{"too little progress to measure a speed", [][2]int{{1000, 0}, {1100, 3}}, 1100, 3880},
		{"overdue", [][2]int{{1000, 0}, {2000, 50}}, 9000, 0},
		{"lower progress discards the earlier reports", [][2]int{{1000, 80}, {2000, 10}}, 2000, 3600},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, progressOf(c.reports...).RemainingMS(c.nowMS, 4000)); diff != "" {
				t.Errorf("remaining (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAverage guards against an average that counts the time in which a finished member waits
// for its gang, and against a percentage from before the first report.
func TestAverage(t *testing.T) {
	type average = forecaster.Average
	for _, c := range []struct {
		name    string
		reports [][2]int
		want    average
		wantOK  bool
	}{
		{"no report", nil, average{}, false},
		{"no progress", [][2]int{{1000, 0}, {1500, 0}}, average{}, false},
		{"done between two reports", [][2]int{{1000, 0}, {1500, 100}}, average{}, false},
		{"little progress", [][2]int{{1000, 0}, {1500, 20}}, average{TotalMS: 2500, Percent: 20, ElapsedMS: 500, FromStart: true}, true},
		{"steady", [][2]int{{1000, 0}, {1500, 20}, {2000, 40}}, average{2500, 40, 1000, true}, true},
		{"slower later", [][2]int{{1000, 0}, {1500, 20}, {3000, 40}}, average{5000, 40, 2000, true}, true},
		{"waits for the others of its gang", [][2]int{{1000, 0}, {2000, 50}, {9000, 100}}, average{2000, 50, 1000, true}, true},
		{"seen from its middle on", [][2]int{{1000, 50}, {2000, 70}}, average{5000, 20, 1000, false}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ok := progressOf(c.reports...).Average()
			if diff := cmp.Diff(c.want, got); diff != "" || ok != c.wantOK {
				t.Errorf("ok is %t, want %t, average (-want +got):\n%s", ok, c.wantOK, diff)
			}
		})
	}
}

func TestStalled(t *testing.T) {
	for _, c := range []struct {
		name       string
		reports    [][2]int
		estimateMS int64
		want       bool
	}{
		{"no report", nil, 4000, false},
		{"one report", [][2]int{{1000, 0}}, 4000, false},
		{"makes progress", [][2]int{{1000, 0}, {2000, 25}, {3000, 50}}, 4000, false},
		{"has stalled", [][2]int{{1000, 0}, {2000, 25}, {3000, 25}}, 4000, true},
		{"has stalled from the start", [][2]int{{1000, 0}, {2000, 0}}, 4000, true},
		{"pauses briefly", [][2]int{{1000, 0}, {2000, 25}, {2500, 25}}, 4000, false},
		{"makes progress again", [][2]int{{1000, 25}, {2500, 25}, {2600, 27}}, 4000, false},
		{"too long a run for whole percents to show progress yet", [][2]int{{1000, 25}, {2500, 25}}, 300000, false},
		{"is complete", [][2]int{{1000, 50}, {2000, 100}, {4000, 100}}, 4000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, progressOf(c.reports...).Stalled(c.estimateMS)); diff != "" {
				t.Errorf("stalled (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSlow(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports [][2]int
		want    bool
	}{
		{"no report", nil, false},
		{"constant speed", [][2]int{{1000, 0}, {2000, 25}, {3000, 50}}, false},
		{"twice as slow", [][2]int{{1000, 0}, {2000, 25}, {3000, 37}}, false},
		{"six times as slow", [][2]int{{1000, 0}, {2000, 25}, {4000, 33}}, true},
		{"too little progress to measure a speed", [][2]int{{1000, 0}, {2000, 25}, {3500, 28}}, true},
		{"slow from the start", [][2]int{{1000, 0}, {3000, 5}, {5000, 10}}, false},
		{"slow only briefly", [][2]int{{1000, 0}, {2000, 25}, {2200, 26}}, false},
		{"one report", [][2]int{{1000, 20}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, progressOf(c.reports...).Slow(3)); diff != "" {
				t.Errorf("slow (-want +got):\n%s", diff)
			}
		})
	}
}
