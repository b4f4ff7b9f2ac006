// Package reducer keeps the table of jobs that all instances agree on. Each
// instance builds it by applying the keyed records of the ledger in order. Only
// the newest record of a key has to be kept, so a new instance first loads the
// newest record of every key and then applies the records that follow.
//
//	t := reducer.New()
//	err := t.Apply(offset, record)
//	job := t.Jobs["5c0e7a21d94b36f8"]
package reducer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"daisyhead/internal/workload/describer"
)

// ErrUnreadable marks a record that this version can't decode.
var ErrUnreadable = errors.New("unreadable record")

// ErrSuperseded marks a term record that came too late to count.
var ErrSuperseded = errors.New("superseded record")

// Record is one record of the ledger. A record without a value is a tombstone,
// which deletes its key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's offset in the ledger if it was read as the newest one of its
	// key, and 0 otherwise.
	Offset uint64
}

// Kinds of records. A key is a kind, a slash and an identifier.
const (
	kindSubmission = "submission"
	kindCancel     = "cancel"
	kindUnit       = "unit"
	kindOutcome    = "outcome"
	kindInstance   = "instance"
	// "unheard" is the stored name.
	kindUnreached = "unheard"
	// keyTerm and keySpeeds are the keys without an identifier.
	keyTerm   = "term"
	keySpeeds = "speeds"
)

// MaxRecordBytes limits the key and the value of a caller's record together. It stays below
// the platform's limit for one record, 256 KB. An append with a larger one fails however
// often it is repeated, and the holder writes nothing else meanwhile.
const MaxRecordBytes = 192 << 10

// StoreRecordBytes is the platform's limit for one record.
const StoreRecordBytes = 256 << 10

// Oversized reports whether the record exceeds MaxRecordBytes.
func (r Record) Oversized() bool { return len(r.Key)+len(r.Value) > MaxRecordBytes }

// InstancePrefix is the prefix of the keys of the records of instances.
const InstancePrefix = kindInstance + "/"

// LoadSplits returns keys that divide the records of a busy ledger into parts of similar
// size: most records are units, whose keys continue with a job's hexadecimal ID.
func LoadSplits() []string { return []string{kindUnit + "/", kindUnit + "/8"} }

// Submission records an accepted job. The instance that accepts the job writes
// it.
type Submission struct {
	Job describer.Job
	// Queue is the policy of the job's queue at the time of acceptance. It applies
	// once operators have removed the queue from the configuration.
	Queue describer.Queue
	// AcceptedMS is when the job was accepted, in Unix milliseconds by the clock of
	// the accepting instance.
	AcceptedMS int64
}

// Cancel records a caller's cancellation of a job, at a time in Unix
// milliseconds. The instance that receives the request writes it.
type Cancel struct{ AtMS int64 }

// Term records which process is the leader. The leader, called the holder of the
// term, writes it when it claims, renews or releases the term.
type Term struct {
	Number uint64
	// Holder identifies the process by its instance's name and a nonce.
	Holder string
	// Released is set when the holder gives up the term on purpose.
	Released bool `cbor:",omitempty"`
	// Renewals counts the renewals of the term.
	Renewals uint64 `cbor:",omitempty"`
	// Recent tells since when the latest terms have run, the newest first. A process that
	// has just started knows it only from here.
	Recent []TermAge `cbor:",omitempty"`
}

// TermAge records for how long, at least, a term had begun when the record was written, in
// milliseconds.
type TermAge struct {
	Number uint64
	AgeMS  int64
}

// Instance records the address of an instance for its peers.
type Instance struct {
	Name string
	// Holder is the value of Term.Holder when this process holds a term.
	Holder  string
	Address string
	// Power is the instance's CPU share, in thousandths of a core.
	Power int
}

// InstanceOf returns the instance's name from a holder of the form NAME/NONCE.
func InstanceOf(holder string) string {
	if i := strings.LastIndexByte(holder, '/'); i >= 0 {
		return holder[:i]
	}
	return holder
}

// Unreached records that the holder has not reached a worker in its term. The
// holder has then granted the worker no lease, and deletes the record before it
// grants one. The record tells the next holder since when no lease of the worker
// can have been extended.
type Unreached struct {
	// FirstTerm and LastTerm are the first and last of the consecutive terms whose
	// holders did not reach the worker.
	FirstTerm uint64
	LastTerm  uint64
	// AgeMS is for how long, at least, no lease could have been granted when the
	// record was written.
	AgeMS int64
}

// Speeds records how fast the workers are, as the holder has learned it, for later
// holders.
type Speeds struct {
	// Levels holds how slow each worker is, by its ID: above 0 if it is slower than the
	// average, below 0 if it is faster. Workers that are not listed are not known.
	Levels map[string]int
}

// Phase is the progress of a unit.
type Phase string

// The phases of a unit. A unit without a record is waiting.
const (
	PhaseWaiting Phase = "Waiting"
	PhasePlaced  Phase = "Placed"
	PhaseDone    Phase = "Done"
	PhaseFailed  Phase = "Failed"
)

// UnitID identifies a unit: the tasks that are placed together. That is a single
// task, or all tasks of a gang, for which Index is 0.
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

// ParseUnitID parses the form that String returns.
func ParseUnitID(s string) (id UnitID, err error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return id, errors.Wrapf(ErrUnreadable, "unit ID %q is not of the form JOB.OCCURRENCE.STEP.INDEX", s)
	}
	id.Job = parts[0]
	for i, field := range []*int{&id.Occurrence, &id.Step, &id.Index} {
		if *field, err = strconv.Atoi(parts[i+1]); err != nil || *field < 0 {
			return id, errors.Wrapf(ErrUnreadable, "unit ID %q is not of the form JOB.OCCURRENCE.STEP.INDEX", s)
		}
	}
	return id, nil
}

// Unit records the state of one unit. It is written before any task of the unit
// is started, so the next holder knows on which workers tasks may be running.
type Unit struct {
	// Term is the latest term in which a start of the run may have been sent.
	Term  uint64
	Phase Phase
	// Run counts the starts of the unit. All tasks of a gang share it.
	Run int
	// Workers holds the worker ID of each task while Phase is PhasePlaced, and
	// Incarnations the incarnation of each of these workers, which is 0 in records of
	// earlier versions.
	Workers      []string `cbor:",omitempty"`
	Incarnations []int64  `cbor:",omitempty"`
	// Begun is set once all tasks of a run were present at the same time. It stays set.
	Begun bool `cbor:",omitempty"`
	// Settled is set once no start of the run that got no answer can be executed any more.
	Settled bool `cbor:",omitempty"`
	// Unreported is set for a settled unit with a task that no report of its worker has shown
	// yet, if orders without an answer may extend the worker's lease. The worker may have
	// restarted before the start, unknown to the holder, and its lease then last for longer.
	Unreported bool `cbor:",omitempty"`
	// SettlesMS is for how much longer, at most, starts of a unit that runs could be executed
	// when the record was written, 0 if that is not known.
	SettlesMS int64 `cbor:",omitempty"`
	// InGuarantee is set if the unit was placed within its workspace's guarantee, so that no
	// other workspace's claim preempts it.
	InGuarantee bool `cbor:",omitempty"`
	// WaitTerm is the term in which SettlesMS, or the waits of LateStarts, were determined, and
	// WaitTermAgeMS how old that term was then at most. Term 0 stands for an unknown age.
	WaitTerm      uint64 `cbor:",omitempty"`
	WaitTermAgeMS int64  `cbor:",omitempty"`
	// LateStarts are the starts that may still be executed after the run is over. A unit
	// that has any waits for them: nothing else of the run is left, and its end is already
	// counted.
	LateStarts []LateStart `cbor:",omitempty"`
	// Failures counts the runs that failed because of a task itself.
	Failures   int    `cbor:",omitempty"`
	Checkpoint string `cbor:",omitempty"`
	// SavedMS is how much of the unit's work the checkpoint saves, in milliseconds
	// of run time.
	SavedMS int64 `cbor:",omitempty"`
	// Crashes are the losses of workers that may have been caused by the unit's tasks.
	Crashes []Crash `cbor:",omitempty"`
}

// LateStart records a start that got no answer and may still be executed by its worker.
type LateStart struct {
	Worker string
	// Member is the index in the step of the task.
	Member int
	Run    int
	// WaitMS is for how much longer, at most, the start could be executed when the record was
	// written.
	WaitMS int64
}

// Crash records that a worker was lost while tasks of a unit may have been present there.
type Crash struct {
	Worker string
	// Incarnation is the incarnation of the worker that was lost.
	Incarnation int64 `cbor:",omitempty"`
	// Members are the indexes in the step of the tasks that may have been present.
	Members []int
	// Unconfirmed is set while the worker may have been out of reach only: nothing has
	// answered in its place.
	Unconfirmed bool      `cbor:",omitempty"`
	Suspicion   Suspicion `cbor:",omitempty"`
	// AtMS is when the loss was noticed, in Unix milliseconds.
	AtMS int64 `cbor:",omitempty"`
}

// Suspicion is how likely it is that a unit's tasks caused a crash.
type Suspicion int

// The degrees of suspicion.
const (
	// SuspicionLow means that the tasks had run on the worker for a while.
	SuspicionLow Suspicion = iota
	// SuspicionUnknown means that it is not known whether and since when they were present.
	SuspicionUnknown
	// SuspicionHigh means that they had just started.
	SuspicionHigh
	// SuspicionSole means that they had just started, and tasks of no other unit had.
	SuspicionSole
)

// String returns the name that logs use.
func (s Suspicion) String() string {
	names := []string{"Low", "Unknown", "High", "Sole"}
	if s < 0 || int(s) >= len(names) {
		return strconv.Itoa(int(s))
	}
	return names[s]
}

// Outcome records the end of a job.
type Outcome struct {
	State  State
	Reason string `cbor:",omitempty"`
	AtMS   int64
	// Term is the latest term in which a start of the job's tasks may have been sent, 0 in
	// records of earlier versions.
	Term uint64 `cbor:",omitempty"`
	// Settled is set if no start of the job's tasks could be executed any more when the outcome
	// was recorded.
	Settled bool `cbor:",omitempty"`
	// Left lists the workers on which runs of the job may be present, or be started, although the
	// records of its units are removed.
	Left []LeftRuns `cbor:",omitempty"`
}

// LeftRuns is what may be present of an ended job on one worker.
type LeftRuns struct {
	Worker string
	// Need is the sum of what the tasks need.
	Need describer.Resources
	// Late is set if some of them may still be started late.
	Late bool `cbor:",omitempty"`
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StateQueued    State = "Queued"
	StateRunning   State = "Running"
	StateCompleted State = "Completed"
	StateFailed    State = "Failed"
	StateCancelled State = "Cancelled"
)

// encode returns the record that stores v under a key.
func encode(key string, v any) Record {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // can't happen: all record types can be encoded
	}
	return Record{Key: key, Value: data}
}

// SubmissionRecord returns the record of an accepted job.
func SubmissionRecord(s Submission) Record { return encode(kindSubmission+"/"+s.Job.ID, s) }

// CancelRecord returns the record of a cancellation.
func CancelRecord(job string, c Cancel) Record { return encode(kindCancel+"/"+job, c) }

// TermRecord returns the record of a term.
func TermRecord(t Term) Record { return encode(keyTerm, t) }

// SpeedsRecord returns the record of the workers' speeds.
func SpeedsRecord(s Speeds) Record { return encode(keySpeeds, s) }

// InstanceRecord returns the record of an instance's address.
func InstanceRecord(i Instance) Record { return encode(kindInstance+"/"+i.Name, i) }

// Instances decodes records of instances, and leaves out what is none.
func Instances(records []Record) (instances []Instance) {
	for _, r := range records {
		var i Instance
		if strings.HasPrefix(r.Key, InstancePrefix) && decode(r, &i) == nil {
			instances = append(instances, i)
		}
	}
	return instances
}

// UnreachedRecord returns the record of a worker that has not been reached.
func UnreachedRecord(worker string, u Unreached) Record { return encode(kindUnreached+"/"+worker, u) }

// UnreachedTombstone returns the tombstone of an UnreachedRecord.
func UnreachedTombstone(worker string) Record { return Record{Key: kindUnreached + "/" + worker} }

// UnreachedWorker returns the worker ID of an UnreachedRecord, and false for any other
// record or a tombstone.
func UnreachedWorker(r Record) (worker string, ok bool) {
	kind, worker, _ := strings.Cut(r.Key, "/")
	return worker, kind == kindUnreached && len(r.Value) > 0
}

// UnitRecord returns the record of a unit.
func UnitRecord(id UnitID, u Unit) Record { return encode(kindUnit+"/"+id.String(), u) }

// OutcomeRecord returns the record that ends a job.
func OutcomeRecord(job string, o Outcome) Record { return encode(kindOutcome+"/"+job, o) }

// OutcomeJobID returns the job ID of an OutcomeRecord, and false for any other record
// or a tombstone.
func OutcomeJobID(r Record) (job string, ok bool) {
	kind, job, _ := strings.Cut(r.Key, "/")
	return job, kind == kindOutcome && len(r.Value) > 0
}

// UnitTombstone returns the tombstone of a unit.
func UnitTombstone(id UnitID) Record { return Record{Key: kindUnit + "/" + id.String()} }

// JobTombstones returns the tombstones of a job whose units are already deleted. The
// submission comes last, since its tombstone removes the job from the table.
func JobTombstones(job string) []Record {
	return []Record{
		{Key: kindCancel + "/" + job}, {Key: kindOutcome + "/" + job}, {Key: kindSubmission + "/" + job},
	}
}

// IsHolderRecord reports whether only the holder of the term writes records of this
// kind.
func IsHolderRecord(r Record) bool {
	kind, _, _ := strings.Cut(r.Key, "/")
	return kind == keyTerm || kind == keySpeeds || kind == kindUnit || kind == kindOutcome || kind == kindUnreached
}

// UnitRecordID returns the unit of a unit's record or tombstone, and false for any other record.
func UnitRecordID(r Record) (id UnitID, ok bool) {
	kind, name, _ := strings.Cut(r.Key, "/")
	if kind != kindUnit {
		return id, false
	}
	id, err := ParseUnitID(name)
	return id, err == nil
}

// IsTermRecord reports whether the record is one of a term.
func IsTermRecord(r Record) bool { return r.Key == keyTerm }

// CallerRecordJobID returns the job ID of a submission or cancellation, and false for
// any other record. Tombstones are included.
func CallerRecordJobID(r Record) (id string, ok bool) {
	kind, id, _ := strings.Cut(r.Key, "/")
	return id, kind == kindSubmission || kind == kindCancel
}

// IsSubmission reports whether the record is a submission or its tombstone.
func IsSubmission(r Record) bool { return strings.HasPrefix(r.Key, kindSubmission+"/") }

// DecodeSubmission decodes a submission. It returns false for any other record,
// and for one that can't be decoded or is oversized, also if that is only the record of one of
// the job's units.
func DecodeSubmission(r Record) (s Submission, ok bool) {
	if !IsSubmission(r) || r.Oversized() {
		return s, false
	}
	err := cbor.Unmarshal(r.Value, &s)
	return s, err == nil && s.Job.Validate() == nil && CheckUnitSizes(s.Job, StoreRecordBytes) == nil
}
