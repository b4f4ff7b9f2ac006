package decider

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
)

// snapshotPoint is the checksum of the state before an offset.
type snapshotPoint struct {
	next uint64
	hash uint64
}

// planSnapshot plans a snapshot before the records since the last one grow old
// or many.
func (m *Model) planSnapshot() {
	if !m.mayDecide() || m.snapshotting || m.state.Next == 0 {
		return
	}
	records := m.state.Next - m.state.SnapshotNext
	age := m.at.WallMS - max(m.state.SnapshotMS, m.state.TermSince)
	if records < m.cfg.SnapshotRecords && (age < m.cfg.SnapshotMS || records == 0) {
		return
	}
	m.propose("plan-snapshot", encoder.Entry{SnapshotPlanned: &encoder.SnapshotPlanned{}})
}

// followSnapshots acts on what a folded batch says of snapshots.
func (m *Model) followSnapshots(b encoder.Batch, results []reducer.Result) {
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

// takeSnapshot keeps the checksum of the state, and on the holder writes it.
func (m *Model) takeSnapshot() {
	data, err := serializer.Marshal(m.state)
	if err != nil {
		m.emit(AlarmCmd{Name: "SnapshotFailed", Detail: err.Error()})
		return
	}
	m.point = snapshotPoint{next: m.state.Next, hash: xxhash.Sum64(data)}
	if m.holds() {
		m.snapshotting = true
		m.emit(SnapshotCmd{Next: m.state.Next, Data: data})
	}
}

// checkSnapshot confirms a snapshot of another instance that matches this one's
// own fold. One that does not shows that the folds have parted.
func (m *Model) checkSnapshot(w encoder.SnapshotWritten) {
	if m.holds() || m.point.next != w.Next {
		return
	}
	if m.point.hash != w.Hash {
		m.emit(AlarmCmd{Name: "StateDiverged", Detail: fmt.Sprintf("the snapshot before offset %d does not match this instance's fold", w.Next)})
		return
	}
	m.emit(ConfirmCmd(w))
}

func (m *Model) finishSnapshot(msg SnapshotDoneMsg) {
	m.snapshotting = false
	if msg.Err != "" {
		m.emit(AlarmCmd{Name: "SnapshotFailed", Detail: msg.Err})
		return
	}
	if m.mayDecide() {
		m.propose("snapshot", encoder.Entry{SnapshotWritten: &encoder.SnapshotWritten{Next: msg.Next, Hash: msg.Hash}})
	}
}
