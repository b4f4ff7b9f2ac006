package summarizer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"daisyhead/internal/workload/summarizer"
)

const (
	holderLog = `12.5 front-1 {"time":"2026-05-21T01:24:20Z","level":"INFO","msg":"TermTaken","Term":1}
{"time":"2026-05-21T01:24:20.1Z","msg":"JobSeen","Job":"a1","Queue":"render","AgeMS":3}
{"time":"2026-05-21T01:24:20.2Z","msg":"JobSeen","Job":"a2","Queue":"render","AgeMS":3}
{"time":"2026-05-21T01:24:20.3Z","msg":"UnitStarted","Job":"a1","SinceAcceptedMS":40}
{"time":"2026-05-21T01:24:20.4Z","msg":"UnitStarted","Job":"a1","SinceAcceptedMS":900}
{"time":"2026-05-21T01:24:21Z","msg":"JobWaits","Job":"a2","Reason":"no room"}
{"time":"2026-05-21T01:24:22Z","msg":"UnitStopping","Job":"a1","Reason":"preempted for job 5c0e7a21d94b36f8","LostCoreMS":1500}
{"time":"2026-05-21T01:24:23Z","msg":"UnitStopping","Job":"a1","Reason":"preempted for job 6c0e7a21d94b36f8","LostCoreMS":500}
{"time":"2026-05-21T01:24:24Z","msg":"JobEnded","Job":"a1","State":"Completed"}
not a line
`
	otherLog = `{"time":"2026-05-21T01:24:25Z","msg":"TermTaken","Term":2}
{"time":"2026-05-21T01:24:24.5Z","msg":"JobSeen","Job":"a2","Queue":"render","AgeMS":4000}
{"time":"2026-05-21T01:24:26Z","msg":"DependencyLost","Dependency":"Ledger"}
{"time":"2026-05-21T01:24:27Z","msg":"CallRefused","Reason":"the ledger can't be written: status 503","Forwarded":false}
{"time":"2026-05-21T01:24:27Z","msg":"CallRefused","Reason":"the ledger can't be written: status 503","Forwarded":true}
{"time":"2026-05-21T01:24:28Z","msg":"WorkerLost","Worker":"w1"}
`
)

func ExampleSummary() {
	var s summarizer.Summary
	if err := s.AddLog("entry-1", strings.NewReader(holderLog)); err != nil {
		fmt.Println(err)
	}
	fmt.Println(s.Jobs["render"].Ended["Completed"], s.Stops["preempted for …"].LostCoreS)
	// Output: 1 2
}

// TestSummary adds the logs of two instances that held the term one after the other.
func TestSummary(t *testing.T) {
	var s summarizer.Summary
	for _, log := range []struct{ instance, text string }{{"front-2", otherLog}, {"front-1", holderLog}} {
		if err := s.AddLog(log.instance, strings.NewReader(log.text)); err != nil {
			t.Fatal(err)
		}
	}
	at := func(second int) time.Time { return time.Date(2026, 5, 21, 1, 24, second, 0, time.UTC) }
	want := summarizer.Summary{
		From: at(20), To: at(28), Lines: 15, Unreadable: 1,
		Terms:    []summarizer.Term{{at(20), 1, "front-1"}, {at(25), 2, "front-2"}},
		Outages:  map[string]*summarizer.Outage{"Ledger": {Instances: 1, Times: 1, First: at(26), Last: at(26)}},
		Jobs:     map[string]*summarizer.Queue{"render": {Seen: 2, Ended: map[string]int{"Completed": 1}, Started: 1, Waits: summarizer.Percentiles{P50: 40, P95: 40, Max: 40}}},
		Stops:    map[string]*summarizer.Stop{"preempted for …": {Units: 2, LostCoreS: 2}},
		Refusals: map[string]int{"the ledger can't be written": 1},
		Waits:    map[string]int{"no room": 1},
		Workers:  map[string]int{"WorkerLost": 1},
	}
	ignored := cmpopts.IgnoreUnexported(summarizer.Summary{}, summarizer.Outage{}, summarizer.Queue{})
	if diff := cmp.Diff(want, s, ignored); diff != "" {
		t.Errorf("summary (-want +got):\n%s", diff)
	}
}

// TestSummaryOfNothing reads an empty log.
func TestSummaryOfNothing(t *testing.T) {
	var s summarizer.Summary
	if err := s.AddLog("front-1", strings.NewReader("")); err != nil || s.Lines != 0 {
		t.Errorf("%d lines, error %v", s.Lines, err)
	}
}
