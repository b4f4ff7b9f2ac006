package explainer_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/standin/comparer"
	"daisyhead/internal/workload/explainer"
)

const (
	entryLog = `{"time":"2026-05-21T01:24:20.100Z","level":"INFO","msg":"JobSubmitted","Job":"5c0e7a21d94b36f8","Verdict":"Accepted"}
not a line
{"time":"2026-05-21T01:24:31.000Z","level":"INFO","msg":"DependencyLost","Dependency":"Ledger"}
`
	holderLog = `12.5 front-1 {"time":"2026-05-21T01:24:20.090Z","level":"INFO","msg":"JobSeen","Job":"5c0e7a21d94b36f8","Units":0}
{"time":"2026-05-21T01:24:20.200Z","level":"INFO","msg":"JobSeen","Job":"0000000000000001"}
{"time":"2026-05-21T01:24:30.000Z","level":"INFO","msg":"UnitStopping","Job":"5c0e7a21d94b36f8","Reason":"preempted for job 0000000000000001"}
{"time":"2026-05-21T01:24:32.000Z","level":"INFO","msg":"JobEnded","Job":"5c0e7a21d94b36f8","State":"Completed"}
`
)

// TestTimeline merges two logs with a prefixed line, a line that is not JSON, and a
// line about another job.
func TestTimeline(t *testing.T) {
	var timeline explainer.Timeline
	for name, log := range map[string]string{"entry-1": entryLog, "entry-2": holderLog} {
		if err := timeline.AddLog(name, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := timeline.Write(&out, "5c0e7a21d94b36f8"); err != nil {
		t.Fatal(err)
	}
	comparer.Golden(t, "testdata/timeline.golden", out.String())
	if timeline.Unreadable != 1 {
		t.Errorf("%d unreadable lines, want 1", timeline.Unreadable)
	}
}

// TestTimelineOfOneJob keeps only what the timeline of one job needs. It must look the same.
func TestTimelineOfOneJob(t *testing.T) {
	timeline := explainer.Timeline{Job: "5c0e7a21d94b36f8"}
	for name, log := range map[string]string{"entry-1": entryLog, "entry-2": holderLog} {
		if err := timeline.AddLog(name, strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	var out bytes.Buffer
	if err := timeline.Write(&out, timeline.Job); err != nil {
		t.Fatal(err)
	}
	comparer.Golden(t, "testdata/timeline.golden", out.String())
}

func TestTimelineOfUnknownJob(t *testing.T) {
	var timeline explainer.Timeline
	if err := timeline.Write(os.Stdout, "5c0e7a21d94b36f8"); !errors.Is(err, explainer.ErrNoLines) {
		t.Errorf("error %v, want %v", err, explainer.ErrNoLines)
	}
}
