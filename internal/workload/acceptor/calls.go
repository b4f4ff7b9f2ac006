package acceptor

import (
	"time"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
)

// Kind is the operation that a call requests.
type Kind string

const (
	KindSubmit Kind = "Submit"
	KindState  Kind = "State"
	KindCancel Kind = "Cancel"
)

// Call is a request of a caller. It is encoded as CBOR under its field names when it is
// forwarded to a peer.
type Call struct {
	Kind Kind
	Host string
	Path string
	// Key is the API key, which identifies the workspace.
	Key string
	// Job is set for KindSubmit. The acceptor sets its ID, Workspace and Queue.
	Job *describer.Job `cbor:",omitempty"`
	// Fault is the reason why the submitted job could not be decoded.
	Fault string `cbor:",omitempty"`
	// WithinMS is how long the caller waits for the answer, in milliseconds; 0 if it does not
	// say.
	WithinMS int64
	// Forwarded is set if a peer has forwarded the call. Such a call is not forwarded again.
	Forwarded bool `cbor:",omitempty"`
	// ConfigVersion is the configuration version in force at the forwarding peer. Its callers
	// must not get an answer that is based on an older one.
	ConfigVersion uint64 `cbor:",omitempty"`
	// Admitted is set if the forwarding peer has found the queue and checked the key, and asks
	// only for the job's state.
	Admitted bool `cbor:",omitempty"`
}

// Verdict is the outcome of a call.
type Verdict string

const (
	// Accepted means that the job is stored.
	Accepted Verdict = "Accepted"
	// StateReported means that the answer carries a job's State.
	StateReported Verdict = "Told"
	// PendingReported means that the answer carries the number of jobs Pending in a queue.
	PendingReported Verdict = "Counted"
	// Cancelled means that the cancellation is stored.
	Cancelled Verdict = "Cancelled"
	// QueueNotFound means that no queue matches the host and path.
	QueueNotFound Verdict = "NoQueue"
	// InvalidKey means that the key belongs to no workspace.
	InvalidKey Verdict = "NoKey"
	// JobNotFound means that there is no such job.
	JobNotFound Verdict = "NoJob"
	// Invalid means that the job or its ID is malformed.
	Invalid Verdict = "Invalid"
	// OverLimit means that the job needs more than its workspace may ever have running.
	OverLimit Verdict = "OverLimit"
	// NotRun means that the call had no effect and will have none, so it is safe to retry.
	NotRun Verdict = "NotRun"
	// OutcomeUnknown means that the call may have had an effect.
	OutcomeUnknown Verdict = "Unknown"
)

// Answer is the result of a call. It is encoded as CBOR under its field names when a peer
// returns it.
type Answer struct {
	Verdict Verdict
	State   reducer.State `cbor:",omitempty"`
	Pending int           `cbor:",omitempty"`
	// RetryAfterMS is how long the caller should wait before it retries, for NotRun.
	RetryAfterMS int64  `cbor:",omitempty"`
	Reason       string `cbor:",omitempty"`
	// Overloaded is set with NotRun if the holder has refused the job for lack of capacity.
	// Another instance would only ask the same holder.
	Overloaded bool `cbor:",omitempty"`
	// ConfigVersion is the version of the configuration that the answer is based on, 0 if none
	// was used.
	ConfigVersion uint64 `cbor:",omitempty"`
}

// JobView is the state of a job according to this instance's table of jobs.
type JobView struct {
	Known     bool
	Cancelled bool
	State     reducer.State
	// Workspace is the workspace of the caller that submitted the job, empty if it sent no key.
	Workspace string
	// Queue is the name of the job's queue, Public its policy when the job was accepted.
	Queue  string
	Public bool
	// AsOf is the time up to which the ledger has been read completely.
	AsOf time.Time
}

// visible reports whether a caller of a workspace may see the job through the queue of its call:
// if the job is the workspace's own or nobody's, or if both queues are public.
func (v JobView) visible(q describer.Queue, workspace string) bool {
	if v.Workspace == "" || v.Workspace == workspace {
		return true
	}
	return q.Public && (v.Public || v.Queue == q.Name)
}
