package decider_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
	peerencoder "daisyhead/internal/peer/encoder"
)

// TestSnapshotIsChecked sends a follower another instance's SnapshotWritten entry,
// once with the checksum of the follower's own state and once with a different one.
func TestSnapshotIsChecked(t *testing.T) {
	record := func(n uint64, term uint64, e encoder.Entry) decider.ReadRecord {
		e.Term = term
		return decider.ReadRecord{Offset: n, Batch: encoder.Batch{Version: 1, Writer: "i2/1", Sequence: n + 1, Entries: []encoder.Entry{e}}}
	}
	claim := record(0, 0, encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: "i2/1"}})
	plan := record(1, 1, encoder.Entry{SnapshotPlanned: &encoder.SnapshotPlanned{}})
	state := reducer.New()
	state.Apply(0, claim.Batch)
	state.Apply(1, plan.Batch)
	data, err := serializer.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	hash := xxhash.Sum64(data)
	tests := []struct {
		name string
		hash uint64
		want []string
	}{
		{"matching checksum", hash, []string{"confirm"}},
		{"different checksum", hash + 1, []string{"StateDiverged"}},
	}
	for _, test := range tests {
		m := decider.New(decider.Config{Name: "i1", Writer: "i1/1", MaxStateAgeMS: 2000}, reducer.New())
		written := record(2, 1, encoder.Entry{SnapshotWritten: &encoder.SnapshotWritten{Next: 2, Hash: test.hash}})
		_, cmds := m.Update(decider.Instant{MonoMS: 1}, decider.RecordsReadMsg{Records: []decider.ReadRecord{claim, plan, written}, CaughtUp: true})
		var got []string
		for _, c := range cmds {
			switch c := c.(type) {
			case decider.ConfirmSnapshotCmd:
				got = append(got, "confirm")
			case decider.AlarmCmd:
				got = append(got, c.Name)
			}
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: commands differ (-want +got):\n%s", test.name, diff)
		}
	}
}

// TestSilentPeersAreForgotten receives one heartbeat from each of many short-lived
// instances, which must all be removed after a long silence.
func TestSilentPeersAreForgotten(t *testing.T) {
	m := decider.New(decider.Config{Name: "i1", Writer: "i1/1", MaxStateAgeMS: 2000, HolderTimeoutMS: 1500}, reducer.New())
	for n := range 50 {
		m, _ = m.Update(decider.Instant{MonoMS: int64(n)}, decider.HeartbeatMsg{Heartbeat: peerencoder.Heartbeat{Name: fmt.Sprint("old-", n)}})
	}
	m, _ = m.Update(decider.Instant{MonoMS: 3600 * 1000}, decider.TickMsg{})
	known := -1
	m.Update(decider.Instant{MonoMS: 3600*1000 + 1}, decider.InspectMsg{Done: make(chan struct{}), Read: func(_ *reducer.State, status decider.ControlStatus) { known = len(status.Peers) }})
	if known != 0 {
		t.Errorf("%d peers are still known an hour after their last heartbeat, want 0", known)
	}
}
