package encoder

import "daisyhead/internal/entry/specifier"

// Batch is one record of the ledger.
type Batch struct {
	Version int
	// Writer identifies an instance's process: the instance's name and a nonce.
	Writer string
	// Sequence increases with each of the writer's batches.
	Sequence uint64
	Entries  []Entry
}

// Entry is one event. Exactly one of its pointers is set, and tells its kind. A reader
// refuses an entry of a kind that it doesn't know.
type Entry struct {
	// At is the writer's wall-clock time in Unix milliseconds.
	At int64
	// Term is the fencing token of a decision: the entry is refused unless this is
	// the current term and the batch's writer holds it. It is 0 on entries that any
	// instance may write.
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

// TermClaimed makes the writer the holder of a new term, and so the only writer whose
// decisions are accepted.
type TermClaimed struct {
	// Term must be one more than the current term.
	Term uint64
	// Holder is the writer of the batch.
	Holder string
	Reason string
}

// TermRenewed shows that the holder is alive to instances that don't receive its
// heartbeats.
type TermRenewed struct{}

// MembersChanged replaces the set of instances that share the minions' limits.
type MembersChanged struct {
	// Epoch must be one more than the current epoch.
	Epoch   uint64
	Members []string
}

// TicketReceived copies a ticket from the operators' stream into the ledger.
type TicketReceived struct {
	// ConfigOffset is the ticket's offset in the operators' stream. An entry with
	// an offset that was already processed has no effect.
	ConfigOffset uint64
	SubmissionID string
	// Fault explains why the record in the operators' stream can't be read. If it is
	// set, Ticket is unusable.
	Fault  string `cbor:",omitempty"`
	Ticket specifier.Ticket
}

// JobSubmitted adds a job. A repeat with the same ID and content has no effect.
type JobSubmitted struct {
	ID  string
	By  string
	Job specifier.Job
}

// CancelRequested cancels a job: a waiting job ends, a running one is stopped.
type CancelRequested struct {
	ID     string
	By     string
	Reason string
}

// JobRefused ends a waiting job because it can never run.
type JobRefused struct {
	ID     string
	Reason string
}

// JobNoted records why a job is waiting. It is written when the reason changes.
type JobNoted struct {
	ID     string
	Reason string
}

// AttemptUnwound records that an attempt was rolled back: its reservations failed
// and none of its tasks were started.
type AttemptUnwound struct {
	ID     string
	Reason string
}

// SnapshotPlanned makes every instance compute the checksum of its state after this
// record. The holder writes that state as a snapshot.
type SnapshotPlanned struct{}

// SnapshotWritten records that a snapshot of the state before offset Next is
// complete.
type SnapshotWritten struct {
	Next uint64
	// Hash is the checksum of the encoded state.
	Hash uint64
}

// Placement assigns a number of a gang's tasks to one worker.
type Placement struct {
	Worker string
	Tasks  int
	// Boot identifies the worker process that acknowledged the reservation.
	Boot string `cbor:",omitempty"`
}

// AttemptCommitted is the durable decision to start an attempt. Start messages are
// sent only after it is in the ledger.
type AttemptCommitted struct {
	ID      string
	Attempt int
	// Claim names the guarantee that the attempt uses. It is empty if the attempt
	// borrows capacity that no guarantee is using.
	Claim      string `cbor:",omitempty"`
	Placements []Placement
	Reason     string
}

// AttemptRunning records that all workers of the gang confirmed the start.
type AttemptRunning struct {
	ID      string
	Attempt int
}

// StopCause classifies why an attempt is stopped.
type StopCause string

// The causes of a stop.
const (
	// StopCancel means that the job was cancelled.
	StopCancel StopCause = "Cancel"
	// StopReclaim means that another job needs the workers, or the quota of its
	// workspace.
	StopReclaim StopCause = "Reclaim"
	// StopDrain means that a failure domain is taken out of service.
	StopDrain StopCause = "Drain"
	// StopPartial means that some tasks of the gang did not start or ended early.
	StopPartial StopCause = "Partial"
	// StopUrgent means that an urgent job needs the workers, so the stop doesn't
	// wait for a checkpoint.
	StopUrgent StopCause = "Urgent"
)

// StopRequested is the durable decision to stop an attempt.
type StopRequested struct {
	ID      string
	Attempt int
	Cause   StopCause
	Reason  string
}

// Result classifies how an attempt ended.
type Result string

// The results of an attempt.
const (
	// ResultFinished means that all tasks completed.
	ResultFinished Result = "Finished"
	// ResultFailed means that a task reported failure.
	ResultFailed Result = "Failed"
	// ResultStopped means that all workers confirmed the stop.
	ResultStopped Result = "Stopped"
	// ResultNotRun means that all workers confirmed that they never started a task.
	ResultNotRun Result = "NotRun"
	// ResultLost means that a worker's leases expired without a response.
	ResultLost Result = "Lost"
)

// AttemptEnded records the end of an attempt.
type AttemptEnded struct {
	ID      string
	Attempt int
	Result  Result
	// Worker is the worker that failed or was lost, if any.
	Worker string `cbor:",omitempty"`
	Reason string
	// Checkpointed reports that all workers confirmed a checkpoint after which
	// their tasks did no more work, so that the job can resume from it.
	Checkpointed bool `cbor:",omitempty"`
	// ProgressMS is the run time saved by a checkpoint, in milliseconds.
	ProgressMS int64 `cbor:",omitempty"`
	// RunMS is how long the attempt ran, in milliseconds.
	RunMS int64 `cbor:",omitempty"`
}

// WorkerObserved records that a worker stopped responding or responds again.
type WorkerObserved struct {
	Worker string
	Silent bool
	Reason string
}

// RequestClaimed gives the writer the exclusive right to send a non-idempotent
// request.
type RequestClaimed struct {
	Workspace string
	// Key is the request's idempotency key.
	Key     string
	Holder  string
	Service string
	// Digest identifies the request's content.
	Digest string
}

// RequestEnded records the outcome of a claimed request.
type RequestEnded struct {
	Workspace string
	Key       string
	Outcome   Outcome
	// Status, Type and Body are the response's HTTP status, content type and body.
	Status    int    `cbor:",omitempty"`
	Type      string `cbor:",omitempty"`
	Body      []byte `cbor:",omitempty"`
	Truncated bool   `cbor:",omitempty"`
	Reason    string `cbor:",omitempty"`
}

// Outcome tells a caller whether its job or request ran.
type Outcome string

// The outcomes. OutcomeUnknown applies unless one of the others is proved.
const (
	OutcomeNotRun  Outcome = "NotRun"
	OutcomeRan     Outcome = "Ran"
	OutcomeUnknown Outcome = "Unknown"
)

// HolderOnly reports whether only the term's holder may write the entry.
func (e Entry) HolderOnly() bool {
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
