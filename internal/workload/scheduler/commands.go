package scheduler

import "daisyhead/internal/workload/reducer"

// Command is an effect outside the model that Update requests: one of the …Cmd types of
// this package.
type Command any

// ClaimCmd claims a term for a process. Of all claims of the same term, the ledger must
// store only the first, and none once it has stored a record of a later term.
type ClaimCmd struct {
	Term reducer.Term
	// SendByWallMS is the wall-clock time after which the claim must not be sent any more.
	SendByWallMS int64
}

// ProbeCmd measures how long an append takes. The record that it writes tells nothing new.
type ProbeCmd struct{ Term uint64 }

// AppendCmd appends decisions of a term to the ledger. The ledger must reject the
// append once a higher term has been recorded, and must store each Sequence only once.
type AppendCmd struct {
	Term     uint64
	Sequence uint64
	Records  []reducer.Record
}

// AdviseCmd asks the advice service which workers may run a step.
type AdviseCmd struct {
	Step    StepRef
	Workers []string
}

// AskAliveCmd asks the process that holds the term whether it is alive.
type AskAliveCmd struct {
	Term    uint64
	Holder  string
	Address string
}

// YieldCmd asks another instance to claim the term that follows Term.
type YieldCmd struct {
	Term    uint64
	To      string
	Address string
}

// RelayOutcomesCmd asks another instance to write outcomes, or a closing record, to the ledger.
type RelayOutcomesCmd struct {
	Outcomes []reducer.Record
	To       string
	Address  string
}

// WriteOutcomesCmd writes outcomes that were relayed to this instance to the ledger.
type WriteOutcomesCmd struct{ Outcomes []reducer.Record }

// AppendClosingCmd writes the closing record of a term that this process no longer holds, by an
// append that is not fenced.
type AppendClosingCmd struct {
	Term   uint64
	Record reducer.Record
}

// ReadCmd requests an immediate read of the ledger.
type ReadCmd struct{}

// PassedCmd reports that a scheduling pass ran. The loop answers it with a PassTookMsg.
type PassedCmd struct{}

// PollWorkersCmd turns the polling of the list of workers on or off.
type PollWorkersCmd struct{ On bool }

// HoldCmd extends a worker's lease, confirms ends of its tasks and fetches its report.
type HoldCmd struct {
	// OrderID is returned with the answer. It is 0 for a hold that waits at the worker.
	OrderID  uint64
	Worker   string
	Address  string
	Sequence uint64
	Term     uint64
	// ConfirmedEnd is the number up to which all reported ends are durable, 0 if the worker
	// may have restarted.
	ConfirmedEnd int64
	// DeadlineMS is the end of the lease on the worker's clock, or 0 if the lease is not
	// extended.
	DeadlineMS int64
	// WaitMS is how long the worker may delay its answer until a task ends.
	WaitMS int64
}

// StartCmd starts a task.
type StartCmd struct {
	// OrderID is returned with the answer.
	OrderID uint64
	Worker  string
	Address string
	Task    TaskRef
	// Spec is passed to the task as the job's caller submitted it.
	Spec string
	// Checkpoint is where the task continues. It is empty for a start from the beginning.
	Checkpoint string
	// Ticket is the ticket of the permit, if one is needed.
	Ticket string
	// DeadlineMS is the end of the lease on the worker's clock.
	DeadlineMS int64
	Term       uint64
	// SendByWallMS is the wall-clock time after which the start must not be sent any more.
	SendByWallMS int64
}

// StopCmd stops a task.
type StopCmd struct {
	// OrderID is returned with the answer.
	OrderID uint64
	Worker  string
	Address string
	Task    TaskRef
	Term    uint64
}

// StoreResult is the result of a StoreMsg.
type StoreResult string

// The results of a StoreMsg.
const (
	// StoreDone means that the record is durable.
	StoreDone StoreResult = "Done"
	// StoreNotHolder means that nothing was written, because another instance decides.
	StoreNotHolder StoreResult = "NotHolder"
	// StoreCannotAppend means that nothing was written, because the holder can't append.
	StoreCannotAppend StoreResult = "CannotAppend"
	// StoreInvalid means that nothing was written, because the record can't be decoded.
	StoreInvalid StoreResult = "Invalid"
	// StoreRefused means that nothing was written, because there is no capacity for the job in
	// time.
	StoreRefused StoreResult = "Refused"
	// StoreUnknown means that the record may or may not have been written.
	StoreUnknown StoreResult = "Unknown"
)

// StoredCmd answers a StoreMsg.
type StoredCmd struct {
	RequestID uint64
	Result    StoreResult
	// Reason and RetryAfterMS are set with StoreRefused.
	Reason       string
	RetryAfterMS int64
}

// EndConfirmedCmd reports that an end is confirmed, WaitMS after this holder first saw it.
type EndConfirmedCmd struct{ WaitMS int64 }

// EventCmd logs a decision or a change of the model's state. Fields holds alternating
// keys and values.
type EventCmd struct {
	Name   string
	Fields []any
}
