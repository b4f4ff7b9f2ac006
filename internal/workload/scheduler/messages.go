package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

// Msg is an event for Update: one of the …Msg types of this package.
type Msg any

// Instant is when a message reached the model, in milliseconds. MonoMS counts
// from the start of the process.
type Instant struct {
	MonoMS int64
	WallMS int64
}

// TickMsg lets time-driven work happen.
type TickMsg struct{}

// LedgerReadMsg brings records from an offset on. SentMS is when the read was
// sent; CaughtUp is set when nothing followed the records.
type LedgerReadMsg struct {
	From     uint64
	Records  []tabulator.Record
	SentMS   int64
	CaughtUp bool
}

// LedgerLoadedMsg replaces the table by one built from the newest records.
type LedgerLoadedMsg struct {
	Table  *tabulator.Table
	SentMS int64
}

// LedgerFailedMsg tells that the ledger could not be read.
type LedgerFailedMsg struct{ Err string }

// ConfiguredMsg brings the configuration in force.
type ConfiguredMsg struct{ Configuration *describer.Configuration }

// ListedMsg brings the list of workers as the platform keeps it.
type ListedMsg struct{ Workers []describer.Worker }

// ClaimedMsg brings the result of a ClaimCmd. Moved is set if nothing was written,
// since another record has taken the offset.
type ClaimedMsg struct {
	Err   string
	Moved bool
}

// AppendResult is what became of an append.
type AppendResult string

// The results of an append.
const (
	AppendDone    AppendResult = "Done"
	AppendUnknown AppendResult = "Unknown"
	AppendFenced  AppendResult = "Fenced"
)

// AppendedMsg brings the result of an AppendCmd.
type AppendedMsg struct {
	Term     uint64
	Sequence uint64
	Result   AppendResult
	Err      string
}

// TaskRef names a run of a task.
type TaskRef struct {
	Unit tabulator.UnitID
	// Member is the task's index in its step.
	Member int
	Run    int
}

// RunReport is a running task as its worker reports it.
type RunReport struct {
	Task       TaskRef
	Checkpoint string
	// Percent is how much of its work the task has done.
	Percent int
	// Load is the worker's rough figure: tail latency in milliseconds for a
	// task that serves users, thousandths of a core for any other.
	Load float64
}

// EndKind is how a run ended.
type EndKind string

// The kinds of end.
const (
	EndDone    EndKind = "Done"
	EndFailed  EndKind = "Failed"
	EndStopped EndKind = "Stopped"
	EndLapsed  EndKind = "Lapsed"
	EndBroken  EndKind = "Broken"
	EndAlone   EndKind = "Alone"
)

// EndReport is an ended run as its worker reports it, until it is confirmed.
type EndReport struct {
	Number     int64
	Task       TaskRef
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a HoldCmd.
type WorkerReport struct {
	// BornMS tells one life of the worker from the next.
	BornMS  int64
	ClockMS int64
	Running []RunReport
	Ended   []EndReport
}

// OrderResult is a worker's answer to an order.
type OrderResult string

// The answers to orders.
const (
	OrderDone OrderResult = "Done"
	// OrderUnknown is no answer: the order may still be carried out.
	OrderUnknown OrderResult = "Unknown"
	// OrderFenced is a refusal because a newer term has been seen.
	OrderFenced OrderResult = "Fenced"
	// OrderOld is a refusal of a run that ended or was stopped there.
	OrderOld OrderResult = "Old"
	// OrderLate is a refusal because the lease was over on arrival.
	OrderLate OrderResult = "Late"
	// OrderNoRoom is a refusal for want of room.
	OrderNoRoom OrderResult = "NoRoom"
	// OrderUnhealthy is a refusal by a worker that has done nothing.
	OrderUnhealthy OrderResult = "Unhealthy"
	// OrderGone is an answer by another life of the worker.
	OrderGone OrderResult = "Gone"
	// OrderNoPermit is a refusal of a start without a valid permit.
	OrderNoPermit OrderResult = "NoPermit"
	// OrderInvalid is a refusal that a repetition can't mend.
	OrderInvalid OrderResult = "Invalid"
)

// HeldMsg brings a worker's answer to a HoldCmd.
type HeldMsg struct {
	Worker   string
	Sequence uint64
	Result   OrderResult
	Report   WorkerReport
	Err      string
}

// StartedMsg brings a worker's answer to a StartCmd.
type StartedMsg struct {
	Worker string
	Task   TaskRef
	Result OrderResult
	Err    string
}

// StoppedMsg brings a worker's answer to a StopCmd.
type StoppedMsg struct {
	Worker string
	Task   TaskRef
	Result OrderResult
	Err    string
}

// StoreMsg asks the holder to record what a caller wants. The answer is a
// StoredCmd with the same ticket.
type StoreMsg struct {
	Ticket uint64
	Record tabulator.Record
}

// Permit lets one worker run a step.
type Permit struct {
	Worker string
	Ticket string
}

// AdvisedMsg brings the answer to an AdviseCmd. AskedMS is when it was sent.
type AdvisedMsg struct {
	Step    StepRef
	Workers []string
	Permits []Permit
	AskedMS int64
	ValidMS int64
	Err     string
}

// WitnessMsg asks to remember an outcome that the holder can't record for now.
type WitnessMsg struct{ Outcome tabulator.Record }

// WitnessedMsg brings the result of a WitnessCmd. By names the instance that was asked.
type WitnessedMsg struct {
	Job string
	By  string
	Err string
}

// YieldMsg tells that the holder of a term can't write to the ledger and asks this
// instance to claim the next one.
type YieldMsg struct{ Term uint64 }

// LeaveMsg starts a graceful shutdown: the term is released.
type LeaveMsg struct{}

// InspectMsg runs Read in the control goroutine and then closes Done. Read must
// not keep or change the model.
type InspectMsg struct {
	Read func(*Model)
	Done chan struct{}
}
