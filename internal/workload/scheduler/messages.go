package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// Msg is an event that Update handles: one of the …Msg types of this package.
type Msg any

// Instant is the time at which a message reached the model, in milliseconds. MonoMS is
// monotonic and counts from the start of the process, WallMS is the wall-clock time.
type Instant struct {
	MonoMS int64
	WallMS int64
	// SuspendedMS is for how long the machine has been suspended since the start of the
	// process. MonoMS does not count that time.
	SuspendedMS int64
}

// TickMsg triggers the work that depends on time.
type TickMsg struct{}

// PassTookMsg tells how long the step with the latest scheduling pass took.
type PassTookMsg struct{ TookMS int64 }

// LedgerReadMsg delivers ledger records that start at offset From. CaughtUp is set if the
// ledger had no further records: the records are then complete as of AsOfMS, a monotonic
// time.
type LedgerReadMsg struct {
	From     uint64
	Records  []reducer.Record
	AsOfMS   int64
	CaughtUp bool
}

// LedgerLoadedMsg replaces the table with one that was built from the latest records. The
// table is complete as of AsOfMS, a monotonic time.
type LedgerLoadedMsg struct {
	Table  *reducer.Table
	AsOfMS int64
}

// LedgerFailedMsg reports that the ledger could not be read.
type LedgerFailedMsg struct{ Err string }

// LedgerLatencyMsg reports the latency of a read of the ledger and the estimate that follows
// from it and other reads. Exact is not set if the read has waited for records for an unknown
// part of the time. If Unanswered is set, a read that does not wait got no answer in time, and
// nothing else is known.
type LedgerLatencyMsg struct {
	Unanswered bool
	EstimateMS int64
	LatencyMS  int64
	Exact      bool
}

// ConfiguredMsg delivers the current configuration.
type ConfiguredMsg struct{ Configuration *describer.Configuration }

// ListedMsg delivers the platform's list of workers.
type ListedMsg struct{ Workers []describer.Worker }

// ListReadMsg reports that the platform's list of workers is known as of AsOfMS, a monotonic
// time. It follows the ListedMsg with what has changed.
type ListReadMsg struct{ AsOfMS int64 }

// ClaimedMsg delivers the result of a ClaimCmd. Without an error, some claim of the term
// has been stored; only the ledger's records tell whose.
type ClaimedMsg struct{ Err string }

// AskedAliveMsg delivers the result of an AskAliveCmd for the same term. Alive is set if the
// process that holds the term has answered, and not another process at its address.
type AskedAliveMsg struct {
	Term  uint64
	Alive bool
	Err   string
}

// ProbedMsg delivers the result of a ProbeCmd for the same term.
type ProbedMsg struct {
	Term   uint64
	TookMS int64
	Err    string
}

// AppendResult is the result of an append.
type AppendResult string

// The results of an append.
const (
	// AppendDone means that the records are durable.
	AppendDone AppendResult = "Done"
	// AppendUnknown means that the records may or may not have been written.
	AppendUnknown AppendResult = "Unknown"
	// AppendFenced means that the ledger rejected the append because of a newer term.
	AppendFenced AppendResult = "Fenced"
)

// AppendedMsg delivers the result of an AppendCmd.
type AppendedMsg struct {
	Term     uint64
	Sequence uint64
	Result   AppendResult
	// Refused is set if an append with an unknown result failed at once, for example because
	// its connection was reset, and not by running out of time.
	Refused bool
	Err     string
}

// ClosingAppendedMsg delivers the result of an AppendClosingCmd for the same term.
type ClosingAppendedMsg struct {
	Term uint64
	Err  string
}

// TaskRef identifies a run of a task.
type TaskRef struct {
	Unit reducer.UnitID
	// Member is the task's index in its step.
	Member int
	// Run is the number of the unit's placement. Each placement starts a new run of every
	// task of the unit.
	Run int
}

// RunReport is a running task as reported by its worker.
type RunReport struct {
	Task       TaskRef
	Checkpoint string
	// Percent is the share of the work that the task has done.
	Percent int
	// Load is a rough measure by the worker: tail latency in milliseconds for a task
	// that serves users, processor use in thousandths of a core for any other.
	Load float64
}

// EndKind is how a run ended.
type EndKind string

// The kinds of end.
const (
	// EndDone is a run that has completed its work.
	EndDone EndKind = "Done"
	// EndFailed is a run that failed by itself.
	EndFailed EndKind = "Failed"
	// EndStopped is a run that was stopped by an order.
	EndStopped EndKind = "Stopped"
	// EndLeaseExpired is a run that the worker ended because the lease expired.
	EndLeaseExpired EndKind = "Lapsed"
	// EndGangBroken is a member of a gang that ended because another member did.
	EndGangBroken EndKind = "Broken"
	// EndGangTimeout is a member of a gang whose other members did not start in time.
	EndGangTimeout EndKind = "Alone"
)

// EndReport is an ended run as reported by its worker. The worker repeats the report
// until the end is confirmed.
type EndReport struct {
	// Number orders the ends that one incarnation of the worker reports.
	Number     int64
	Task       TaskRef
	Kind       EndKind
	Checkpoint string
}

// WorkerReport is a worker's answer to a HoldCmd.
type WorkerReport struct {
	// IncarnationMS is the start time of the worker's process. It identifies its
	// incarnation.
	IncarnationMS int64
	// ClockMS is the time on the worker's clock.
	ClockMS int64
	Running []RunReport
	Ended   []EndReport
}

// OrderResult is a worker's answer to an order.
type OrderResult string

// The answers to orders.
const (
	// OrderDone means that the worker has accepted the order.
	OrderDone OrderResult = "Done"
	// OrderUnknown means that no answer came. The order may still be executed.
	OrderUnknown OrderResult = "Unknown"
	// OrderNotSent means that the order was not sent: too much time has passed since it was
	// decided, or no connection to the worker was established.
	OrderNotSent OrderResult = "NotSent"
	// OrderFenced means that the worker has seen a newer term.
	OrderFenced OrderResult = "Fenced"
	// OrderRunEnded means that the run has already ended or been stopped on the worker.
	OrderRunEnded OrderResult = "Old"
	// OrderLeaseExpired means that the lease had expired when the order arrived.
	OrderLeaseExpired OrderResult = "Late"
	// OrderNoRoom means that the worker lacks capacity.
	OrderNoRoom OrderResult = "NoRoom"
	// OrderUnhealthy means that the worker is unhealthy and has not executed the order.
	OrderUnhealthy OrderResult = "Unhealthy"
	// OrderOtherIncarnation means that another incarnation of the worker answered.
	OrderOtherIncarnation OrderResult = "Gone"
	// OrderNoPermit means that the start had no valid permit.
	OrderNoPermit OrderResult = "NoPermit"
	// OrderInvalid means that the order can't succeed, even if it is repeated.
	OrderInvalid OrderResult = "Invalid"
)

// HeldMsg delivers a worker's answer to a HoldCmd of the same term.
type HeldMsg struct {
	OrderID  uint64
	Term     uint64
	Worker   string
	Sequence uint64
	Result   OrderResult
	Report   WorkerReport
	Err      string
}

// StartedMsg delivers a worker's answer to a StartCmd of the same term.
type StartedMsg struct {
	OrderID uint64
	Term    uint64
	Worker  string
	Task    TaskRef
	Result  OrderResult
	Err     string
}

// StoppedMsg delivers a worker's answer to a StopCmd of the same term.
type StoppedMsg struct {
	OrderID uint64
	Term    uint64
	Worker  string
	Task    TaskRef
	Result  OrderResult
	Err     string
}

// StoreMsg asks the holder to record a caller's request. The answer is a StoredCmd with
// the same request ID.
type StoreMsg struct {
	RequestID uint64
	Record    reducer.Record
}

// Permit allows one worker to run a step.
type Permit struct {
	Worker string
	Ticket string
}

// AdvisedMsg delivers the answer to an AdviseCmd. AskedMS is when the command was sent;
// ValidMS is how long the permits are valid from then on.
type AdvisedMsg struct {
	Step    StepRef
	Workers []string
	Permits []Permit
	AskedMS int64
	ValidMS int64
	Err     string
}

// OutcomesMsg asks this instance to write outcomes that the holder can't write to the ledger
// at present, or a closing record that a former holder can't write.
type OutcomesMsg struct{ Outcomes []reducer.Record }

// YieldMsg asks this instance to claim the next term, because the holder of Term can't
// write to the ledger.
type YieldMsg struct{ Term uint64 }

// ShutdownMsg starts a graceful shutdown, which releases the term.
type ShutdownMsg struct{}

// InspectMsg runs Read in the control goroutine and then closes Done. Read must not
// change the model or keep a reference to it.
type InspectMsg struct {
	Read func(*Model)
	Done chan struct{}
}
