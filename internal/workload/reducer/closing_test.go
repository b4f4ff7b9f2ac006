package reducer_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/reducer"
)

// TestClosings guards against closing records that are applied under another term than their own,
// that outlive their tombstone, or that are larger than the store takes.
func TestClosings(t *testing.T) {
	want := reducer.Closing{Term: 7, Holder: "a/1", Waits: map[string]int64{"5c0e7a21d94b36f8.0.0.0": 1200}}
	r, ok := reducer.ClosingRecord(want)
	if term, isClosing := reducer.ClosingTerm(r); !ok || !isClosing || term != 7 {
		t.Fatalf("record of term %d, closing record %t, complete %t", term, isClosing, ok)
	}
	table := newTable(t, r)
	if diff := cmp.Diff(map[uint64]reducer.Closing{7: want}, table.Closings); diff != "" {
		t.Errorf("closings (-want +got):\n%s", diff)
	}
	for _, odd := range []reducer.Record{{Key: "closing/8", Value: r.Value}, {Key: "closing/x", Value: r.Value}, {Key: "closing/8", Value: []byte{0xff}}} {
		if err := table.Apply(table.Next, odd); err == nil {
			t.Errorf("no error for the record with key %q", odd.Key)
		}
	}
	apply(t, table, reducer.ClosingTombstone(7))
	if diff := cmp.Diff(map[uint64]reducer.Closing{}, table.Closings); diff != "" {
		t.Errorf("closings after the tombstone (-want +got):\n%s", diff)
	}
	for n := range 2001 {
		want.Waits[fmt.Sprintf("5c0e7a21d94b36f8.0.0.%d", n)] = 1
	}
	if _, ok := reducer.ClosingRecord(want); ok {
		t.Error("a record of 2001 units is not refused")
	}
}
