package scheduler

import "daisyhead/internal/workload/tabulator"

// Command is an effect that Update asks for: one of the …Cmd types.
type Command any

// ClaimCmd claims a term. The claim must only be recorded at the offset At.
type ClaimCmd struct {
	At   uint64
	Term tabulator.Term
}

// AppendCmd records decisions of a term. The ledger must refuse it once a
// higher term has been recorded, and must record a Sequence only once.
type AppendCmd struct {
	Term     uint64
	Sequence uint64
	Records  []tabulator.Record
}

// AdviseCmd asks which workers may run a step.
type AdviseCmd struct {
	Step    StepRef
	Workers []string
}

// YieldCmd asks another instance to claim the term after this one.
type YieldCmd struct {
	Term    uint64
	To      string
	Address string
}

// WitnessCmd asks another instance to remember an outcome until it is durable.
type WitnessCmd struct {
	Job     string
	Outcome tabulator.Record
	To      string
	Address string
}

// SettleCmd records outcomes that this instance was asked to remember.
type SettleCmd struct{ Outcomes []tabulator.Record }

// ReadCmd asks for a read of the ledger without delay.
type ReadCmd struct{}

// FollowWorkersCmd turns the reading of the list of workers on or off.
type FollowWorkersCmd struct{ On bool }

// HoldCmd extends a worker's lease, confirms its ends and fetches its report.
type HoldCmd struct {
	Worker   string
	Address  string
	Sequence uint64
	Term     uint64
	// ConfirmedEnd is the number up to which ends are durable.
	ConfirmedEnd int64
	// DeadlineMS is a time on the worker's clock; 0 extends nothing.
	DeadlineMS int64
	// WaitMS lets the answer wait for an end.
	WaitMS int64
}

// StartCmd starts a task.
type StartCmd struct {
	Worker     string
	Address    string
	Task       TaskRef
	Spec       string
	Checkpoint string
	// Ticket proves a permit, where one is needed.
	Ticket     string
	DeadlineMS int64
	Term       uint64
}

// StopCmd stops a task.
type StopCmd struct {
	Worker  string
	Address string
	Task    TaskRef
	Term    uint64
}

// StoreResult is what became of a StoreMsg.
type StoreResult string

// The results of a StoreMsg.
const (
	StoreDone StoreResult = "Done"
	// StoreNotHolder tells that nothing was written: another instance decides.
	StoreNotHolder StoreResult = "NotHolder"
	// StoreInvalid tells that nothing was written: the record can't be read.
	StoreInvalid StoreResult = "Invalid"
	// StoreUnknown tells that the record may have been written.
	StoreUnknown StoreResult = "Unknown"
)

// StoredCmd answers a StoreMsg.
type StoredCmd struct {
	Ticket uint64
	Result StoreResult
}

// EventCmd reports a decision or a change of what the process believes. Fields
// are alternating keys and values.
type EventCmd struct {
	Name   string
	Fields []any
}
