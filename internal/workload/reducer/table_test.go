package reducer_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

func newTable(t *testing.T, records ...reducer.Record) *reducer.Table {
	t.Helper()
	table := reducer.New()
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
	want := reducer.Term{Number: 2, Holder: "b/1"}
	got := newTable(t,
		reducer.TermRecord(reducer.Term{Number: 1, Holder: "a/1", Released: true, Renewals: 7}),
		reducer.TermRecord(want),
	).Term
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("term (-want +got):\n%s", diff)
	}
}

// TestFirstRecordOfATermCounts applies two claims of one term and a renewal of the term
// before it. The holder named by the first claim must remain.
func TestFirstRecordOfATermCounts(t *testing.T) {
	table := newTable(t, reducer.TermRecord(reducer.Term{Number: 2, Holder: "a/1"}))
	for i, late := range []reducer.Term{{Number: 2, Holder: "b/1"}, {Number: 1, Holder: "c/1", Renewals: 3}} {
		if err := table.Apply(uint64(i+1), reducer.TermRecord(late)); !errors.Is(err, reducer.ErrSuperseded) {
			t.Errorf("term %+v: error %v, want ErrSuperseded", late, err)
		}
	}
	renewed := reducer.Term{Number: 2, Holder: "a/1", Renewals: 1}
	if err := table.Apply(3, reducer.TermRecord(renewed)); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff(renewed, table.Term); diff != "" {
		t.Errorf("term (-want +got):\n%s", diff)
	}
}

func submission(id, queue string) reducer.Record {
	return reducer.SubmissionRecord(reducer.Submission{
		Job: describer.Job{ID: id, Queue: queue, Steps: []describer.Step{{Count: 1}}}, Queue: describer.Queue{Name: queue}, AcceptedMS: 5,
	})
}

func TestStates(t *testing.T) {
	unit := reducer.UnitID{Job: "j"}
	placed := reducer.UnitRecord(unit, reducer.Unit{Phase: reducer.PhasePlaced, Run: 1, Workers: []string{"w"}})
	begun := reducer.UnitRecord(unit, reducer.Unit{Phase: reducer.PhasePlaced, Run: 1, Workers: []string{"w"}, Begun: true})
	settled := reducer.UnitRecord(unit, reducer.Unit{Phase: reducer.PhasePlaced, Run: 1, Workers: []string{"w"}, Settled: true})
	again := reducer.UnitRecord(unit, reducer.Unit{Phase: reducer.PhasePlaced, Run: 2, Workers: []string{"w"}, Begun: true})
	for _, c := range []struct {
		name    string
		records []reducer.Record
		state   reducer.State
		pending map[string]int
	}{
		{"accepted", []reducer.Record{submission("j", "q")}, reducer.StateQueued, map[string]int{"q": 1}},
		{"accepted twice", []reducer.Record{submission("j", "q"), submission("j", "q")}, reducer.StateQueued, map[string]int{"q": 1}},
		{"placed and not begun", []reducer.Record{submission("j", "q"), placed}, reducer.StateQueued, map[string]int{"q": 1}},
		{"begun", []reducer.Record{submission("j", "q"), placed, begun}, reducer.StateRunning, map[string]int{}},
		{"begun by the record of an earlier version", []reducer.Record{submission("j", "q"), placed, settled}, reducer.StateRunning, map[string]int{}},
		{"begun before the submission is read", []reducer.Record{begun, submission("j", "q")}, reducer.StateRunning, map[string]int{}},
		{"placed again after it has begun", []reducer.Record{submission("j", "q"), again}, reducer.StateRunning, map[string]int{}},
		{"cancelled", []reducer.Record{submission("j", "q"), reducer.CancelRecord("j", reducer.Cancel{})}, reducer.StateCancelled, map[string]int{}},
		{"ended", []reducer.Record{submission("j", "q"), placed, reducer.OutcomeRecord("j", reducer.Outcome{State: reducer.StateCompleted}), reducer.UnitTombstone(unit)}, reducer.StateCompleted, map[string]int{}},
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
			if diff := cmp.Diff(c.pending, table.PendingByQueue); diff != "" {
				t.Errorf("pending (-want +got):\n%s", diff)
			}
		})
	}
}

// TestJobTombstonesRemoveJob checks that a deleted job is neither found nor counted as pending.
func TestJobTombstonesRemoveJob(t *testing.T) {
	table := newTable(t, append([]reducer.Record{submission("j", "q"), reducer.CancelRecord("j", reducer.Cancel{})}, reducer.JobTombstones("j")...)...)
	if _, ok := table.Lookup("j"); ok {
		t.Error("Lookup finds a job whose records were deleted")
	}
	if diff := cmp.Diff(map[string]int{}, table.PendingByQueue); diff != "" {
		t.Errorf("pending (-want +got):\n%s", diff)
	}
}

func TestUnreadableRecordsChangeNothing(t *testing.T) {
	for _, r := range []reducer.Record{
		{Key: "foreign", Value: []byte("x")}, {Key: "unit/j", Value: []byte("x")}, {Key: "submission/j", Value: []byte{0xff}},
		{Key: "unit/j.0.-1.0", Value: reducer.UnitRecord(reducer.UnitID{Job: "j"}, reducer.Unit{}).Value},
		reducer.SubmissionRecord(reducer.Submission{Job: describer.Job{ID: "j"}}),
		reducer.SubmissionRecord(reducer.Submission{Job: describer.Job{ID: "j", Steps: []describer.Step{{Count: 1, After: []int{7}}}}}),
	} {
		table := reducer.New()
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

// TestHolderProcessEnded orders the registrations of two processes of one instance and the
// records of the term in several ways. Only a registration of another process behind the
// holder's latest record shows that the holder has ended.
func TestHolderProcessEnded(t *testing.T) {
	register := func(instance, holder string) reducer.Record {
		return reducer.InstanceRecord(reducer.Instance{Name: instance, Holder: holder})
	}
	term := func(renewals uint64) reducer.Record {
		return reducer.TermRecord(reducer.Term{Number: 1, Holder: "a/1", Renewals: renewals})
	}
	for _, c := range []struct {
		name    string
		records []reducer.Record
		want    bool
	}{
		{"no term", []reducer.Record{register("a", "a/1")}, false},
		{"the holder itself", []reducer.Record{register("a", "a/1"), term(0)}, false},
		{"not registered", []reducer.Record{term(0)}, false},
		{"registered late", []reducer.Record{term(0), register("a", "a/1")}, false},
		{"an earlier process", []reducer.Record{register("a", "a/0"), term(0)}, false},
		{"a newer process", []reducer.Record{register("a", "a/1"), term(0), register("a", "a/2")}, true},
		{"a newer process of another instance", []reducer.Record{term(0), register("b", "b/2")}, false},
		{"a renewal behind the other process", []reducer.Record{term(0), register("a", "a/0"), term(1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := newTable(t, c.records...).HolderProcessEnded(); got != c.want {
				t.Errorf("ended: %t, want %t", got, c.want)
			}
		})
	}
}

// TestSpeeds replaces the workers' speeds, and keeps them if a record can't be decoded.
func TestSpeeds(t *testing.T) {
	want := reducer.Speeds{Levels: map[string]int{"w1": 2, "w2": -1}}
	table := newTable(t, reducer.SpeedsRecord(reducer.Speeds{Levels: map[string]int{"w3": 1}}), reducer.SpeedsRecord(want))
	if err := table.Apply(2, reducer.Record{Key: "speeds", Value: []byte{0xff}}); err == nil {
		t.Error("no error for a record that can't be decoded")
	}
	if diff := cmp.Diff(want, table.Speeds); diff != "" {
		t.Errorf("speeds (-want +got):\n%s", diff)
	}
}
