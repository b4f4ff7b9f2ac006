// Package tabulator keeps the table of jobs that all instances agree on. The
// table is a fold of keyed records: the newest record of a key is all that has
// to last, so a fresh instance starts from the newest records and goes on with
// those that follow.
//
//	t := tabulator.New()
//	err := t.Apply(offset, record)
//	job := t.Jobs["5c0e7a21d94b36f8"]
package tabulator

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"daisyhead/internal/workload/describer"
)

// ErrUnreadable marks a record that this version can't read.
var ErrUnreadable = errors.New("unreadable record")

// Record is one record of the ledger. A record without a value drops its key.
type Record struct {
	Key   string
	Value []byte
}

// The first parts of keys.
const (
	kindSubmission = "submission"
	kindCancel     = "cancel"
	kindUnit       = "unit"
	kindOutcome    = "outcome"
	kindInstance   = "instance"
	kindUnheard    = "unheard"
	// keyTerm is the one key without an identifier.
	keyTerm = "term"
)

// Submission is written by the instance that accepts a job.
type Submission struct {
	Job describer.Job
	// Queue is the queue's policy when the job was accepted. It stands in for
	// the queue once operators have removed it.
	Queue describer.Queue
	// AcceptedMS is the accepting instance's time of day, Unix milliseconds.
	AcceptedMS int64
}

// Cancel is written by the instance that takes a caller's cancellation.
type Cancel struct{ AtMS int64 }

// Term is written by the instance that decides.
type Term struct {
	Number uint64
	// Holder is the deciding process: an instance's name and a nonce.
	Holder string
	// Released is set when the holder leaves on purpose.
	Released bool `cbor:",omitempty"`
	// Renewals changes with each renewal.
	Renewals uint64 `cbor:",omitempty"`
}

// Instance tells where an instance's peers reach it.
type Instance struct {
	Name string
	// Holder is how the process names itself as the holder of a term.
	Holder  string
	Address string
	// Power is the instance's share of a core, in thousandths.
	Power int
}

// Unheard is written by a holder for a worker that it has not reached in its term:
// it has granted no lease there, and drops the record before it grants one. A
// successor so knows since when a lease can't have been extended.
type Unheard struct {
	// FirstTerm is the first of the terms in a row whose holders did not reach the
	// worker, LastTerm the latest.
	FirstTerm uint64
	LastTerm  uint64
	// AgeMS is how long before the record was written no lease could be granted
	// any more, at least.
	AgeMS int64
}

// Phase is where a unit of work stands.
type Phase string

// The phases of a unit. A unit without a record is waiting.
const (
	PhaseWaiting Phase = "Waiting"
	PhasePlaced  Phase = "Placed"
	PhaseDone    Phase = "Done"
	PhaseFailed  Phase = "Failed"
)

// UnitID names what is placed together: one task, or all tasks of a gang, for
// which Index is 0.
type UnitID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form JOB.OCCURRENCE.STEP.INDEX.
func (u UnitID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", u.Job, u.Occurrence, u.Step, u.Index)
}

// ParseUnitID reads the form that String writes.
func ParseUnitID(s string) (id UnitID, err error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return id, errors.Wrapf(ErrUnreadable, "unit %q", s)
	}
	id.Job = parts[0]
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil {
			return id, errors.Wrapf(ErrUnreadable, "unit %q", s)
		}
	}
	return id, nil
}

// Unit is the record of one unit. It is written before any of its tasks is
// started, so whoever takes over knows where they may be running.
type Unit struct {
	Term  uint64
	Phase Phase
	// Run numbers the starts; all tasks of a gang share it.
	Run int
	// Workers holds the worker of each task while Phase is PhasePlaced.
	Workers []string `cbor:",omitempty"`
	// Failures counts the runs that ended by a task's own fault.
	Failures   int    `cbor:",omitempty"`
	Checkpoint string `cbor:",omitempty"`
	// SavedMS is how much of the unit's work the checkpoint holds.
	SavedMS int64 `cbor:",omitempty"`
}

// Outcome ends a job.
type Outcome struct {
	State  State
	Reason string `cbor:",omitempty"`
	AtMS   int64
}

// State is what callers see of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "Queued"
	StateRunning   State = "Running"
	StateCompleted State = "Completed"
	StateFailed    State = "Failed"
	StateCancelled State = "Cancelled"
)

func encode(key string, v any) Record {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // every type here can be encoded
	}
	return Record{Key: key, Value: data}
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(s Submission) Record { return encode(kindSubmission+"/"+s.Job.ID, s) }

// CancelRecord returns the record of a cancellation.
func CancelRecord(job string, c Cancel) Record { return encode(kindCancel+"/"+job, c) }

// TermRecord returns the record of a term.
func TermRecord(t Term) Record { return encode(keyTerm, t) }

// InstanceRecord returns the record of an instance.
func InstanceRecord(i Instance) Record { return encode(kindInstance+"/"+i.Name, i) }

// UnheardRecord returns the record of a worker that is not reached.
func UnheardRecord(worker string, u Unheard) Record { return encode(kindUnheard+"/"+worker, u) }

// DropUnheard returns the record that forgets that a worker was not reached.
func DropUnheard(worker string) Record { return Record{Key: kindUnheard + "/" + worker} }

// UnheardWorker returns the worker that a record of UnheardRecord is about.
func UnheardWorker(r Record) (worker string, ok bool) {
	kind, worker, _ := strings.Cut(r.Key, "/")
	return worker, kind == kindUnheard && len(r.Value) > 0
}

// UnitRecord returns the record of a unit.
func UnitRecord(id UnitID, u Unit) Record { return encode(kindUnit+"/"+id.String(), u) }

// OutcomeRecord returns the record that ends a job.
func OutcomeRecord(job string, o Outcome) Record { return encode(kindOutcome+"/"+job, o) }

// OutcomeOf returns the job that a record of OutcomeRecord is about.
func OutcomeOf(r Record) (job string, ok bool) {
	kind, job, _ := strings.Cut(r.Key, "/")
	return job, kind == kindOutcome && len(r.Value) > 0
}

// DropUnit returns the record that forgets a unit.
func DropUnit(id UnitID) Record { return Record{Key: kindUnit + "/" + id.String()} }

// DropJob returns the records that forget a job without units.
func DropJob(job string) []Record {
	return []Record{
		{Key: kindCancel + "/" + job}, {Key: kindOutcome + "/" + job}, {Key: kindSubmission + "/" + job},
	}
}

// IsHolders reports whether only the holder of the term writes such records.
func IsHolders(r Record) bool {
	kind, _, _ := strings.Cut(r.Key, "/")
	return kind == keyTerm || kind == kindUnit || kind == kindOutcome || kind == kindUnheard
}

// JobOf returns the job that a caller's record is about.
func JobOf(r Record) (id string, ok bool) {
	kind, id, _ := strings.Cut(r.Key, "/")
	return id, kind == kindSubmission || kind == kindCancel
}

// IsSubmission reports whether the record hands a job in.
func IsSubmission(r Record) bool { return strings.HasPrefix(r.Key, kindSubmission+"/") }

// DecodeSubmission reads a record that hands a job in.
func DecodeSubmission(r Record) (s Submission, ok bool) {
	if !IsSubmission(r) {
		return s, false
	}
	err := cbor.Unmarshal(r.Value, &s)
	return s, err == nil
}
