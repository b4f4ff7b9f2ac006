// Package reducer folds the ledger's records into the control state.
//
// The fold is deterministic: it reads no clock, draws no random number and
// visits maps in sorted order wherever the order shows. Every instance that
// has folded the same records holds the same state:
//
//	s := reducer.New()
//	results := s.Apply(offset, batch)
//
// The first valid entry in offset order wins. A losing entry leaves the state
// as it was and yields a typed refusal for its writer.
package reducer

import (
	"slices"
	"strings"

	"daisyhead/internal/control/placer"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// Bounds of what the state keeps.
const (
	MaxWriters      = 2048
	MaxAudit        = 20000
	MaxVerdicts     = 2000
	MaxEndedJobs    = 5000
	MaxJobEvents    = 96
	MaxJobAttempts  = 24
	ClaimRetainMS   = 24 * 60 * 60 * 1000
	MaxClaims       = 200000
	MaxAnswerBytes  = 4096
	QuarantineMS    = 60 * 1000
	QuarantineAfter = 3
	// QuarantineShare is the largest part of the fleet, one in so many, that
	// may be quarantined at once.
	QuarantineShare = 10
)

// State is everything that is agreed between instances. Only one goroutine
// may use it.
type State struct {
	// Next is the offset of the next record to fold.
	Next uint64
	// NowMS is the latest wall time seen in a record, Unix milliseconds.
	NowMS int64
	// HorizonMS is the time before which history has expired.
	HorizonMS int64

	Term uint64
	// Holder is the writer that decides: an instance's name and its process.
	Holder     string
	TermSince  int64
	Epoch      uint64
	Members    []string
	ConfigNext uint64
	// Revision counts accepted changes that traffic or placement depend on.
	Revision uint64

	Workspaces   map[string]Workspace
	Domains      map[string]Domain
	WorkerGroups map[string]WorkerGroup
	MinionGroups map[string]MinionGroup
	Tickets      map[uint64]TicketRecord
	Verdicts     []Verdict

	Jobs    map[string]*Job
	Ended   []string
	Workers map[string]WorkerHealth
	Claims  map[string]Claim
	// ClaimOrder lists the claims' keys, oldest first.
	ClaimOrder []string
	Writers    map[string]Writer
	Audit      []AuditEntry
	AuditNext  uint64
	// Skipped counts records that could not be read.
	Skipped uint64
	// SnapshotNext and SnapshotMS tell how far the newest snapshot reaches and
	// when it was written.
	SnapshotNext uint64
	SnapshotMS   int64

	fleet         *placer.Fleet
	fleetRevision uint64
}

// Workspace is a workspace with the ticket that last wrote it.
type Workspace struct {
	Spec   specifier.Workspace
	Ticket uint64
}

// Domain is a failure domain with the ticket that last wrote it.
type Domain struct {
	Spec   specifier.Domain
	Ticket uint64
	// SinceMS is when the state last changed.
	SinceMS int64
}

// WorkerGroup is a group of workers with the ticket that last wrote it.
type WorkerGroup struct {
	Spec   specifier.WorkerGroup
	Ticket uint64
}

// MinionGroup is a group of minions with the ticket that last wrote it.
type MinionGroup struct {
	Spec   specifier.MinionGroup
	Ticket uint64
}

// TicketRecord is an accepted ticket.
type TicketRecord struct {
	Ticket   specifier.Ticket
	Digest   string
	Offset   uint64
	AtMS     int64
	Warnings []string `cbor:",omitempty"`
}

// Verdict is the answer to one publication of a ticket.
type Verdict struct {
	SubmissionID string
	ConfigOffset uint64
	Number       uint64
	Accepted     bool
	Repeat       bool
	Code         RefusalCode
	Reason       string
	Warnings     []string `cbor:",omitempty"`
}

// WorkerHealth is what the fold knows of one worker.
type WorkerHealth struct {
	Silent       bool
	SilentReason string
	SinceMS      int64
	FailedJobs   []string `cbor:",omitempty"`
	// FailedMS is when a job last failed there.
	FailedMS      int64
	QuarantinedMS int64
	// UntilMS ends the quarantine; afterwards the worker is on probation until
	// a job finishes there.
	UntilMS   int64
	Probation bool
}

// Claim is a non-idempotent request.
type Claim struct {
	Workspace string
	Key       string
	Holder    string
	Service   string
	Digest    string
	AtMS      int64
	Ended     bool
	Outcome   encoder.Outcome
	Status    int
	Type      string
	Body      []byte
	Truncated bool
	Reason    string
}

// Writer is the position of one writer of the ledger.
type Writer struct {
	Sequence uint64
	Offset   uint64
}

// AuditEntry is one line of the audit trail.
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

// ClaimKey joins a workspace and an idempotency key.
func ClaimKey(workspace, key string) string { return workspace + "\x00" + key }

// DomainOpen reports whether the domain exists and takes new work.
func (s *State) DomainOpen(name string) bool {
	return s.Domains[name].Spec.State == specifier.DomainIn
}

// IsMember reports whether the instance shares the minions' limits.
func (s *State) IsMember(instance string) bool { return slices.Contains(s.Members, instance) }

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

// InstanceName returns the part of a writer that names its instance.
func InstanceName(writer string) string {
	name, _, _ := strings.Cut(writer, "/")
	return name
}
