package encoder

import "daisyhead/internal/entry/specifier"

// Batch is one record of the ledger.
type Batch struct {
	Version int
	// Writer is an instance's name and the nonce of its process.
	Writer   string
	Sequence uint64
	Entries  []Entry
}

// Entry is one event. Exactly one of its pointers is set; a reader that knows
// none of them skips the entry.
type Entry struct {
	// At is the writer's wall time in Unix milliseconds.
	At int64
	// Term fences decisions: an entry with a term other than the current one
	// is refused. It is 0 on entries that any instance may write.
	Term uint64 `cbor:",omitempty"`

	TermClaimed      *TermClaimed      `cbor:",omitempty"`
	TermRenewed      *TermRenewed      `cbor:",omitempty"`
	MembersChanged   *MembersChanged   `cbor:",omitempty"`
	TicketReceived   *TicketReceived   `cbor:",omitempty"`
	JobSubmitted     *JobSubmitted     `cbor:",omitempty"`
	CancelRequested  *CancelRequested  `cbor:",omitempty"`
	JobRefused       *JobRefused       `cbor:",omitempty"`
	JobNoted         *JobNoted         `cbor:",omitempty"`
	AttemptUnwound   *AttemptUnwound   `cbor:",omitempty"`
	AttemptCommitted *AttemptCommitted `cbor:",omitempty"`
	AttemptRunning   *AttemptRunning   `cbor:",omitempty"`
	StopRequested    *StopRequested    `cbor:",omitempty"`
	AttemptEnded     *AttemptEnded     `cbor:",omitempty"`
	WorkerObserved   *WorkerObserved   `cbor:",omitempty"`
	RequestClaimed   *RequestClaimed   `cbor:",omitempty"`
	RequestEnded     *RequestEnded     `cbor:",omitempty"`
	SnapshotPlanned  *SnapshotPlanned  `cbor:",omitempty"`
	SnapshotWritten  *SnapshotWritten  `cbor:",omitempty"`
}

// TermClaimed makes the writer the only instance whose decisions count.
type TermClaimed struct {
	// Term must be one more than the current term.
	Term uint64
	// Holder is the writer of the batch.
	Holder string
	Reason string
}

// TermRenewed shows instances that don't hear the holder that it lives.
type TermRenewed struct{}

// MembersChanged replaces the set of instances that share the minions' limits.
type MembersChanged struct {
	// Epoch must be one more than the current epoch.
	Epoch   uint64
	Members []string
}

// TicketReceived carries a ticket from the operators' stream to the ledger.
type TicketReceived struct {
	// ConfigOffset is the ticket's place in the operators' stream. It must be
	// the next one that the fold expects, or later.
	ConfigOffset uint64
	SubmissionID string
	// Fault is set instead of a usable ticket when the record can't be read.
	Fault  string `cbor:",omitempty"`
	Ticket specifier.Ticket
}

// JobSubmitted accepts a job. A repeat with the same content counts as the same job.
type JobSubmitted struct {
	ID  string
	By  string
	Job specifier.Job
}

// CancelRequested asks that a job never starts, or stops.
type CancelRequested struct {
	ID     string
	By     string
	Reason string
}

// JobRefused ends a waiting job that can never run.
type JobRefused struct {
	ID     string
	Reason string
}

// JobNoted records why a job is waiting; written when the reason changes.
type JobNoted struct {
	ID     string
	Reason string
}

// AttemptUnwound records that reservations for an attempt failed and nothing
// of it was started.
type AttemptUnwound struct {
	ID     string
	Reason string
}

// SnapshotPlanned makes every instance take the checksum of its state after this
// record; the holder writes that state as a snapshot.
type SnapshotPlanned struct{}

// SnapshotWritten records that a snapshot of all records before Next is complete.
type SnapshotWritten struct {
	Next uint64
	Hash uint64
}

// Placement is a number of a gang's tasks on one worker.
type Placement struct {
	Worker string
	Tasks  int
	// Boot is the worker process that acknowledged the reservation.
	Boot string `cbor:",omitempty"`
}

// AttemptCommitted is the durable intent to start an attempt. Start messages
// leave only after it stands in the ledger.
type AttemptCommitted struct {
	ID      string
	Attempt int
	// Claim names the guarantee that the attempt uses; empty when it borrows.
	Claim      string `cbor:",omitempty"`
	Placements []Placement
	Reason     string
}

// AttemptRunning records that each worker of the gang confirmed its start.
type AttemptRunning struct {
	ID      string
	Attempt int
}

// StopCause says why an attempt was asked to stop.
type StopCause string

// The causes of a stop.
const (
	StopCancel  StopCause = "Cancel"
	StopReclaim StopCause = "Reclaim"
	StopDrain   StopCause = "Drain"
	StopPartial StopCause = "Partial"
	// StopUrgent waits for no checkpoint.
	StopUrgent StopCause = "Urgent"
)

// StopRequested is the durable intent to stop an attempt.
type StopRequested struct {
	ID      string
	Attempt int
	Cause   StopCause
	Reason  string
}

// Result says how an attempt ended.
type Result string

// The results of an attempt.
const (
	// ResultFinished means that all tasks completed.
	ResultFinished Result = "Finished"
	// ResultFailed means that a task reported failure.
	ResultFailed Result = "Failed"
	// ResultStopped means that each worker confirmed the stop.
	ResultStopped Result = "Stopped"
	// ResultNotRun means that each worker proved that it never started a task.
	ResultNotRun Result = "NotRun"
	// ResultLost means that a worker's leases ran out without an answer.
	ResultLost Result = "Lost"
)

// AttemptEnded closes an attempt.
type AttemptEnded struct {
	ID      string
	Attempt int
	Result  Result
	// Worker is the one that failed or was lost, if there was one.
	Worker string `cbor:",omitempty"`
	Reason string
	// Checkpointed tells that every worker confirmed a checkpoint as the last
	// thing that its tasks did, so that the job can go on from there.
	Checkpointed bool `cbor:",omitempty"`
	// ProgressMS is the work kept by a checkpoint, in milliseconds of run time.
	ProgressMS int64 `cbor:",omitempty"`
	// RunMS is how long the attempt ran.
	RunMS int64 `cbor:",omitempty"`
}

// WorkerObserved records that a worker fell silent or answered again.
type WorkerObserved struct {
	Worker string
	Silent bool
	Reason string
}

// RequestClaimed gives the writer the only right to send a non-idempotent request.
type RequestClaimed struct {
	Workspace string
	Key       string
	Holder    string
	Service   string
	// Digest identifies the request's content.
	Digest string
}

// RequestEnded records the outcome of a claimed request.
type RequestEnded struct {
	Workspace string
	Key       string
	Outcome   Outcome
	Status    int    `cbor:",omitempty"`
	Type      string `cbor:",omitempty"`
	Body      []byte `cbor:",omitempty"`
	Truncated bool   `cbor:",omitempty"`
	Reason    string `cbor:",omitempty"`
}

// Outcome tells a caller what is known of its request.
type Outcome string

// The outcomes. Unknown is said whenever neither of the others is proved.
const (
	OutcomeNotRun  Outcome = "NotRun"
	OutcomeRan     Outcome = "Ran"
	OutcomeUnknown Outcome = "Unknown"
)

// DecisionOnly reports whether only the term's holder may write the entry.
func (e Entry) DecisionOnly() bool {
	switch {
	case e.TermRenewed != nil, e.MembersChanged != nil, e.TicketReceived != nil, e.JobRefused != nil, e.JobNoted != nil:
		return true
	case e.AttemptUnwound != nil, e.AttemptCommitted != nil, e.AttemptRunning != nil:
		return true
	case e.StopRequested != nil, e.AttemptEnded != nil, e.WorkerObserved != nil, e.SnapshotPlanned != nil, e.SnapshotWritten != nil:
		return true
	}
	return false
}
