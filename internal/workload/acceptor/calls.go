package acceptor

import (
	"time"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

// Kind is what a caller asks for.
type Kind string

// The kinds of call.
const (
	KindSubmit Kind = "Submit"
	KindState  Kind = "State"
	KindCancel Kind = "Cancel"
)

// Call is a caller's request.
type Call struct {
	Kind Kind
	Host string
	Path string
	// Key proves the workspace.
	Key string
	// Job is set for KindSubmit; its ID and Workspace are filled in here.
	Job *describer.Job `cbor:",omitempty"`
	// Fault tells why the submitted job could not be understood.
	Fault string `cbor:",omitempty"`
	// WithinMS is how long the caller waits for the answer.
	WithinMS int64
	// Forwarded is set when a peer has passed the call on.
	Forwarded bool `cbor:",omitempty"`
	// ConfigVersion is the version that the peer has in force: its callers must not
	// see an older one.
	ConfigVersion uint64 `cbor:",omitempty"`
	// Admitted is set when the peer has found the queue and checked the key, and asks
	// just for the job's state.
	Admitted bool `cbor:",omitempty"`
}

// Verdict is the kind of an answer.
type Verdict string

// The verdicts.
const (
	// Accepted means that the job is stored.
	Accepted Verdict = "Accepted"
	// Told carries a job's State.
	Told Verdict = "Told"
	// Counted carries a queue's Pending.
	Counted Verdict = "Counted"
	// Cancelled means that the cancellation is stored.
	Cancelled Verdict = "Cancelled"
	// NoQueue means that no queue has the host and path.
	NoQueue Verdict = "NoQueue"
	// NoKey means that the key belongs to no workspace.
	NoKey Verdict = "NoKey"
	// NoJob means that there is no such job.
	NoJob Verdict = "NoJob"
	// Invalid means that the job can't be understood.
	Invalid Verdict = "Invalid"
	// NotRun means that the call had no effect and will have none.
	NotRun Verdict = "NotRun"
	// Unknown means that the call may have had an effect.
	Unknown Verdict = "Unknown"
)

// Answer is what the caller gets.
type Answer struct {
	Verdict Verdict
	State   tabulator.State `cbor:",omitempty"`
	Pending int             `cbor:",omitempty"`
	// RetryAfterMS tells when to come back, for NotRun.
	RetryAfterMS int64  `cbor:",omitempty"`
	Reason       string `cbor:",omitempty"`
	// ConfigVersion is the version that the answer was judged by, 0 if none was used.
	ConfigVersion uint64 `cbor:",omitempty"`
}

// JobView is what the ledger tells of a job.
type JobView struct {
	Known     bool
	Cancelled bool
	State     tabulator.State
	// AsOf is the time as of which the ledger was read completely.
	AsOf time.Time
}
