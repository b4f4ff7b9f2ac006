package decider

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

// stateChecksum is the checksum of the state before the record at offset next.
type stateChecksum struct {
	next uint64
	hash uint64
}

// planSnapshot proposes a snapshot when the records since the last one are too many
// or too old.
func (m *Model) planSnapshot() {
	if !m.mayDecide() || m.snapshotInProgress || m.state.Next == 0 {
		return
	}
	records := m.state.Next - m.state.SnapshotNext
	age := m.now.WallMS - max(m.state.SnapshotMS, m.state.TermSince)
	if records < m.cfg.SnapshotRecords && (age < m.cfg.SnapshotMS || records == 0) {
		return
	}
	m.propose("plan-snapshot", encoder.Entry{SnapshotPlanned: &encoder.SnapshotPlanned{}})
}

// handleSnapshotEntries acts on the snapshot entries of an applied batch.
func (m *Model) handleSnapshotEntries(b encoder.Batch, results []reducer.Result) {
	for i, res := range results {
		switch e := b.Entries[i]; {
		case !res.OK:
		case e.SnapshotPlanned != nil:
			m.takeSnapshot()
		case e.SnapshotWritten != nil:
			m.checkSnapshot(*e.SnapshotWritten)
		}
	}
}

// takeSnapshot stores the checksum of the state. The holder also writes the snapshot.
func (m *Model) takeSnapshot() {
	data, err := serializer.Marshal(m.state)
	if err != nil {
		m.emit(AlarmCmd{Name: "SnapshotFailed", Detail: err.Error()})
		return
	}
	m.snapshotChecksum = stateChecksum{next: m.state.Next, hash: xxhash.Sum64(data)}
	if m.isHolder() {
		m.snapshotInProgress = true
		m.emit(WriteSnapshotCmd{Next: m.state.Next, Data: data})
	}
}

// checkSnapshot confirms another instance's snapshot if its checksum matches this
// instance's own state. A mismatch means that the replicas have diverged.
func (m *Model) checkSnapshot(w encoder.SnapshotWritten) {
	if m.isHolder() || m.snapshotChecksum.next != w.Next {
		return
	}
	if m.snapshotChecksum.hash != w.Hash {
		m.emit(AlarmCmd{Name: "StateDiverged", Detail: fmt.Sprintf("the snapshot before offset %d does not match this instance's state", w.Next)})
		return
	}
	m.emit(ConfirmSnapshotCmd(w))
}

// finishSnapshot proposes the record of a snapshot that was written.
func (m *Model) finishSnapshot(msg SnapshotWrittenMsg) {
	m.snapshotInProgress = false
	if msg.Err != "" {
		m.emit(AlarmCmd{Name: "SnapshotFailed", Detail: msg.Err})
		return
	}
	if m.mayDecide() {
		m.propose("snapshot", encoder.Entry{SnapshotWritten: &encoder.SnapshotWritten{Next: msg.Next, Hash: msg.Hash}})
	}
}
