// Package reducer applies the ledger's records to the control state, which is
// replicated on every instance.
//
// Applying a record is deterministic: it reads no clock, draws no random numbers
// and iterates over maps in sorted order wherever the order affects the state.
// All instances that have applied the same records have the same state:
//
//	s := reducer.New()
//	results := s.Apply(offset, batch)
//
// Of conflicting entries, the first valid one in offset order wins. The others
// don't change the state, and their writers get a refusal with a code.
package reducer

import (
	"slices"
	"strings"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// Limits on the size of the state, and the rules of quarantine.
const (
	MaxWriters = 2048
	MaxAudit   = 20000
	// MaxTicketResults limits State.Verdicts. The older half is dropped beyond it.
	MaxTicketResults = 2000
	MaxEndedJobs     = 5000
	MaxJobEvents     = 96
	MaxJobAttempts   = 24
	// ClaimRetentionMS is how long a claim is kept, in milliseconds.
	ClaimRetentionMS = 24 * 60 * 60 * 1000
	MaxClaims        = 200000
	// MaxStoredResponseBytes is how much of a response body is kept with a claim.
	MaxStoredResponseBytes = 4096
	// QuarantineDurationMS is how long a quarantine lasts, in milliseconds.
	QuarantineDurationMS = 60 * 1000
	// QuarantineThreshold is the number of different jobs that must fail on a worker
	// in a row before it is quarantined.
	QuarantineThreshold = 3
	// QuarantineDivisor limits how many workers may be quarantined at once: one
	// in every QuarantineDivisor workers, and at least one.
	QuarantineDivisor = 10
)

// State is the control state that all instances derive from the ledger. It is not
// safe for concurrent use.
type State struct {
	// Next is the offset of the next record to apply.
	Next uint64
	// NowMS is the latest wall-clock time in any record, in Unix milliseconds.
	NowMS int64
	// HorizonMS is the Unix time in milliseconds before which the history of jobs
	// and the audit trail are incomplete, because the oldest entries were deleted.
	HorizonMS int64

	Term uint64
	// Holder is the writer, in the form instance/process, that holds the term and
	// makes the control decisions.
	Holder    string
	TermSince int64
	// Epoch is the version of Members.
	Epoch uint64
	// Members are the instances that share the minions' limits.
	Members []string
	// ConfigNext is the next offset to read from the operators' stream of tickets.
	ConfigNext uint64
	// Revision counts accepted tickets and changes of Members. Caches of values
	// that are derived from them are valid for one revision.
	Revision uint64

	Workspaces   map[string]Workspace
	Domains      map[string]Domain
	WorkerGroups map[string]WorkerGroup
	MinionGroups map[string]MinionGroup
	Tickets      map[uint64]TicketRecord
	// Verdicts are the results of the latest submissions, oldest first.
	Verdicts []TicketResult

	Jobs map[string]*Job
	// Ended lists the IDs of the ended jobs, oldest first.
	Ended   []string
	Workers map[string]WorkerHealth
	Claims  map[string]Claim
	// ClaimOrder lists the keys of Claims in the order in which they were added.
	ClaimOrder []string
	Writers    map[string]Writer
	Audit      []AuditEntry
	// AuditNext is the number of the latest audit entry.
	AuditNext uint64
	// Skipped counts records that could not be decoded.
	Skipped uint64
	// SnapshotNext is the offset of the first record that the newest snapshot
	// doesn't include. SnapshotMS is the Unix time in milliseconds at which that
	// snapshot was recorded.
	SnapshotNext uint64
	SnapshotMS   int64

	fleet         *placer.Fleet
	fleetRevision uint64
}

// Workspace is a workspace with the number of the ticket that last changed it.
type Workspace struct {
	Spec   specifier.Workspace
	Ticket uint64
}

// Domain is a failure domain with the number of the ticket that last changed it.
type Domain struct {
	Spec   specifier.Domain
	Ticket uint64
	// SinceMS is when Spec.State last changed, in Unix milliseconds.
	SinceMS int64
}

// WorkerGroup is a group of workers with the number of the ticket that last
// changed it.
type WorkerGroup struct {
	Spec   specifier.WorkerGroup
	Ticket uint64
}

// MinionGroup is a group of minions with the number of the ticket that last
// changed it.
type MinionGroup struct {
	Spec   specifier.MinionGroup
	Ticket uint64
}

// TicketRecord is an accepted ticket with its warnings.
type TicketRecord struct {
	Ticket specifier.Ticket
	// Digest is the ticket's TicketDigest.
	Digest   string
	Offset   uint64
	AtMS     int64
	Warnings []string `cbor:",omitempty"`
}

// TicketResult is the result of one submission of a ticket.
type TicketResult struct {
	SubmissionID string
	ConfigOffset uint64
	Number       uint64
	Accepted     bool
	Repeat       bool
	Code         RefusalCode
	Reason       string
	Warnings     []string `cbor:",omitempty"`
}

// WorkerHealth records whether a worker responds and whether jobs fail on it. The
// times are Unix milliseconds.
type WorkerHealth struct {
	// Silent is set while the worker doesn't respond.
	Silent       bool
	SilentReason string
	// SinceMS is when Silent last changed.
	SinceMS int64
	// FailedJobs are the jobs that failed there since a job last finished there or
	// the worker was last quarantined, except those that failed permanently.
	FailedJobs []string `cbor:",omitempty"`
	// FailedMS is when a job last failed there.
	FailedMS      int64
	QuarantinedMS int64
	// UntilMS is when the quarantine ends.
	UntilMS int64
	// Probation is set from the start of a quarantine until a job finishes there.
	// Meanwhile, a single failure starts the next quarantine.
	Probation bool
}

// Claim gives one writer the right to send a non-idempotent request, and keeps the
// request's outcome.
type Claim struct {
	Workspace string
	// Key is the request's idempotency key.
	Key string
	// Holder is the writer that may send the request.
	Holder  string
	Service string
	// Digest identifies the request's content.
	Digest  string
	AtMS    int64
	Ended   bool
	Outcome encoder.Outcome
	// Status, Type and Body are the response's HTTP status, content type and body.
	Status int
	Type   string
	Body   []byte
	// Truncated is set when Body is not the whole response body.
	Truncated bool
	Reason    string
}

// Writer is the sequence number and the offset of a writer's latest batch.
type Writer struct {
	Sequence uint64
	Offset   uint64
}

// AuditEntry is an entry in the audit trail.
type AuditEntry struct {
	Number uint64
	Offset uint64
	AtMS   int64
	Actor  string
	Action string
	Object string
	Ticket uint64 `cbor:",omitempty"`
	Before string `cbor:",omitempty"`
	After  string `cbor:",omitempty"`
	Result string
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Workspaces:   map[string]Workspace{},
		Domains:      map[string]Domain{},
		WorkerGroups: map[string]WorkerGroup{},
		MinionGroups: map[string]MinionGroup{},
		Tickets:      map[uint64]TicketRecord{},
		Jobs:         map[string]*Job{},
		Workers:      map[string]WorkerHealth{},
		Claims:       map[string]Claim{},
		Writers:      map[string]Writer{},
	}
}

// SortedKeys returns m's keys in ascending order.
func SortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// ClaimKey returns the key in State.Claims for a workspace and an idempotency key.
func ClaimKey(workspace, key string) string { return workspace + "\x00" + key }

// DomainInService reports whether the domain exists and takes new work.
func (s *State) DomainInService(name string) bool {
	return s.Domains[name].Spec.State == specifier.DomainIn
}

// IsMember reports whether the instance shares the minions' limits.
func (s *State) IsMember(instance string) bool { return slices.Contains(s.Members, instance) }

// audit adds an entry to the audit trail and drops the oldest ones when the trail
// is an eighth over its limit.
func (s *State) audit(offset uint64, e encoder.Entry, a AuditEntry) {
	s.AuditNext++
	a.Number, a.Offset, a.AtMS = s.AuditNext, offset, e.At
	s.Audit = append(s.Audit, a)
	if len(s.Audit) <= MaxAudit+MaxAudit/8 {
		return
	}
	s.Audit = slices.Clone(s.Audit[len(s.Audit)-MaxAudit:])
	s.HorizonMS = max(s.HorizonMS, s.Audit[0].AtMS)
}

// InstanceName returns the instance's name from a writer's name, which has the
// form instance/process.
func InstanceName(writer string) string {
	name, _, _ := strings.Cut(writer, "/")
	return name
}
