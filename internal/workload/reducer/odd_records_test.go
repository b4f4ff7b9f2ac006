package reducer_test

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// FuzzForeignRecord applies any record between those of a job. It guards against records
// of another writer that end the process or change the job.
func FuzzForeignRecord(f *testing.F) {
	const job = "5c0e7a21d94b36f8"
	var big []byte
	big, err := cbor.Marshal(map[string]any{"Job": map[string]any{"ID": "x", "Steps": []any{map[string]any{"Count": 1e300}}}, "Number": "x", "Run": uint64(1 << 63)})
	if err != nil {
		f.Fatal(err)
	}
	values := [][]byte{nil, {0xff}, []byte("null"), {0xf6}, bytes.Repeat([]byte{0x81}, 200_000), bytes.Repeat([]byte{0xa1, 0x60}, 100_000), {0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, big}
	for _, key := range []string{"", "/", "term", "speeds", "instance/x", "submission/x", "cancel/x", "outcome/x", "unheard/x", "closing/1", "closing/x", "unit/x.0.0.0", "unit/x", "unit/x.-1.0.0", "unit/x.99999999999999999999.0.0", "other/x", "\xff"} {
		for _, v := range values {
			f.Add(key, v)
		}
	}
	submission := reducer.SubmissionRecord(reducer.Submission{Job: describer.Job{ID: job, Queue: "q", Steps: []describer.Step{{Count: 1}}}})
	unit := reducer.UnitRecord(reducer.UnitID{Job: job}, reducer.Unit{Term: 1, Phase: reducer.PhasePlaced, Run: 1, Workers: []string{"w"}})
	want := reducer.New()
	apply(f, want, submission, unit)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if bytes.Contains([]byte(key), []byte(job)) {
			t.Skip("a record of the job itself")
		}
		table := reducer.New()
		apply(t, table, submission)
		_ = table.Apply(table.Next, reducer.Record{Key: key, Value: value})
		apply(t, table, unit)
		if diff := cmp.Diff(want.Jobs[job], table.Jobs[job], cmpopts.IgnoreUnexported(reducer.Job{})); diff != "" {
			t.Errorf("job (-want +got):\n%s", diff)
		}
		if table.Next != 3 {
			t.Errorf("next offset %d, want 3", table.Next)
		}
	})
}

// apply applies records that must be readable.
func apply(t testing.TB, table *reducer.Table, records ...reducer.Record) {
	t.Helper()
	for _, r := range records {
		if err := table.Apply(table.Next, r); err != nil {
			t.Fatal(err)
		}
	}
}
