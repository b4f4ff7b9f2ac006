package tabulator_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

func newTable(t *testing.T, records ...tabulator.Record) *tabulator.Table {
	t.Helper()
	table := tabulator.New()
	for i, r := range records {
		if err := table.Apply(uint64(i), r); err != nil {
			t.Fatal(err)
		}
	}
	return table
}

// TestTermReplacesTheOneBefore applies the record of a released term and then
// that of the next one, which omits empty fields when encoded. No field of the
// first may remain.
func TestTermReplacesTheOneBefore(t *testing.T) {
	want := tabulator.Term{Number: 2, Holder: "b/1"}
	got := newTable(t,
		tabulator.TermRecord(tabulator.Term{Number: 1, Holder: "a/1", Released: true, Renewals: 7}),
		tabulator.TermRecord(want),
	).Term
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("term (-want +got):\n%s", diff)
	}
}

func submission(id, queue string) tabulator.Record {
	return tabulator.SubmissionRecord(tabulator.Submission{
		Job: describer.Job{ID: id, Queue: queue, Steps: []describer.Step{{Count: 1}}}, Queue: describer.Queue{Name: queue}, AcceptedMS: 5,
	})
}

func TestStates(t *testing.T) {
	unit := tabulator.UnitID{Job: "j"}
	placed := tabulator.UnitRecord(unit, tabulator.Unit{Phase: tabulator.PhasePlaced, Run: 1, Workers: []string{"w"}})
	for _, c := range []struct {
		name    string
		records []tabulator.Record
		state   tabulator.State
		pending map[string]int
	}{
		{"accepted", []tabulator.Record{submission("j", "q")}, tabulator.StateQueued, map[string]int{"q": 1}},
		{"accepted twice", []tabulator.Record{submission("j", "q"), submission("j", "q")}, tabulator.StateQueued, map[string]int{"q": 1}},
		{"placed", []tabulator.Record{submission("j", "q"), placed}, tabulator.StateRunning, map[string]int{}},
		{"placed before the submission is read", []tabulator.Record{placed, submission("j", "q")}, tabulator.StateRunning, map[string]int{}},
		{"cancelled", []tabulator.Record{submission("j", "q"), tabulator.CancelRecord("j", tabulator.Cancel{})}, tabulator.StateCancelled, map[string]int{}},
		{"ended", []tabulator.Record{submission("j", "q"), placed, tabulator.OutcomeRecord("j", tabulator.Outcome{State: tabulator.StateCompleted}), tabulator.DropUnit(unit)}, tabulator.StateCompleted, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newTable(t, c.records...)
			j, ok := table.Lookup("j")
			if !ok {
				t.Fatal("Lookup does not find the job")
			}
			if diff := cmp.Diff(c.state, j.State()); diff != "" {
				t.Errorf("state (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.pending, table.Pending); diff != "" {
				t.Errorf("pending (-want +got):\n%s", diff)
			}
		})
	}
}

func TestDroppedJobIsForgotten(t *testing.T) {
	table := newTable(t, append([]tabulator.Record{submission("j", "q"), tabulator.CancelRecord("j", tabulator.Cancel{})}, tabulator.DropJob("j")...)...)
	if _, ok := table.Lookup("j"); ok {
		t.Error("Lookup finds a job whose records were deleted")
	}
	if diff := cmp.Diff(map[string]int{}, table.Pending); diff != "" {
		t.Errorf("pending (-want +got):\n%s", diff)
	}
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	for _, r := range []tabulator.Record{{Key: "foreign", Value: []byte("x")}, {Key: "unit/j", Value: []byte("x")}, {Key: "submission/j", Value: []byte{0xff}}} {
		table := tabulator.New()
		if err := table.Apply(3, r); err == nil {
			t.Errorf("record %q was applied without an error", r.Key)
		}
		if _, ok := table.Lookup("j"); ok {
			t.Errorf("record %q added a job", r.Key)
		}
		if table.Next != 4 {
			t.Errorf("record %q: next offset is %d, want 4", r.Key, table.Next)
		}
	}
}
