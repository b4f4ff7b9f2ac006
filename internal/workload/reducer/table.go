package reducer

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Table is the state that results from applying the records of the ledger. It is
// not safe for concurrent use.
type Table struct {
	// Next is the offset of the next record to apply.
	Next uint64
	Term Term
	// TermOffset is the offset of the newest record of the term.
	TermOffset uint64
	Jobs       map[string]*Job
	Instances  map[string]Instance
	// InstanceOffsets holds the offset of each instance's record, by the instance's
	// name. A process that started later has a larger offset.
	InstanceOffsets map[string]uint64
	// Unreached holds the workers that the holders of the latest terms have not
	// reached, by worker ID.
	Unreached map[string]Unreached
	// Closings holds the closing records of terms that have ended, by term.
	Closings map[uint64]Closing
	// Speeds holds what the holders have learned of the workers' speeds.
	Speeds Speeds
	// PendingByQueue counts, for each queue, the submitted jobs that have neither begun nor
	// ended nor been cancelled.
	PendingByQueue map[string]int
}

// Job is the state of one job according to the ledger.
type Job struct {
	Submission
	// Offset is that of the job's submission in the ledger.
	Offset        uint64
	Cancelled     bool
	CancelledAtMS int64
	// Outcome is set once the job has ended.
	Outcome *Outcome
	Units   map[UnitID]Unit
	// Started is set once a unit has begun. A placement alone may have to wait for its start.
	Started bool
	// submitted is set once the submission has been applied. Records of other kinds
	// may come first.
	submitted bool
	// countedPending is set while the job is counted in Table.PendingByQueue.
	countedPending bool
}

// New returns an empty table.
func New() *Table {
	return &Table{Jobs: map[string]*Job{}, Instances: map[string]Instance{}, InstanceOffsets: map[string]uint64{}, Unreached: map[string]Unreached{}, Closings: map[uint64]Closing{}, PendingByQueue: map[string]int{}}
}

// State returns the state of the job as callers see it.
func (j *Job) State() State {
	switch {
	case j.Outcome != nil:
		return j.Outcome.State
	case j.Cancelled:
		return StateCancelled
	case j.Started:
		return StateRunning
	}
	return StateQueued
}

// Lookup returns the job with the given ID, and false if its submission has not
// been applied.
func (t *Table) Lookup(id string) (*Job, bool) {
	j, ok := t.Jobs[id]
	return j, ok && j.submitted
}

// Apply updates the table with the record at an offset. A record that can't be
// decoded advances Next and leaves the accepted jobs as they are.
func (t *Table) Apply(offset uint64, r Record) error {
	t.Next = max(t.Next, offset+1)
	kind, name, _ := strings.Cut(r.Key, "/")
	switch kind {
	case keyTerm:
		return t.applyTerm(offset, r)
	case keySpeeds:
		return t.applySpeeds(r)
	case kindInstance:
		return t.applyInstance(offset, name, r)
	case kindSubmission, kindCancel, kindOutcome:
		return t.applyJob(offset, kind, name, r)
	case kindUnit:
		return t.applyUnit(name, r)
	case kindUnreached:
		return t.applyUnreached(name, r)
	case kindClosing:
		return t.applyClosing(name, r)
	}
	return errors.Wrapf(ErrUnreadable, "key %q has an unknown kind", r.Key)
}

func (t *Table) applyTerm(offset uint64, r Record) error {
	var next Term
	if err := decode(r, &next); err != nil {
		return err
	}
	// The first record of a term names its holder.
	if next.Number < t.Term.Number || next.Number == t.Term.Number && next.Holder != t.Term.Holder && t.Term.Holder != "" {
		return errors.Wrapf(ErrSuperseded, "term %d of %s after term %d of %s", next.Number, next.Holder, t.Term.Number, t.Term.Holder)
	}
	t.Term, t.TermOffset = next, offset
	return nil
}

func (t *Table) applySpeeds(r Record) error {
	var s Speeds
	if err := decode(r, &s); err != nil {
		return err
	}
	t.Speeds = s
	return nil
}

// applyUnreached replaces the record of a worker that has not been reached. The old
// one is removed even if the new one can't be decoded.
func (t *Table) applyUnreached(worker string, r Record) error {
	delete(t.Unreached, worker)
	if len(r.Value) == 0 {
		return nil
	}
	var u Unreached
	if err := decode(r, &u); err != nil {
		return err
	}
	t.Unreached[worker] = u
	return nil
}

// HolderProcessEnded reports whether the process that holds the term has ended: a newer
// process of its instance has registered since the holder's latest renewal.
func (t *Table) HolderProcessEnded() bool {
	name := InstanceOf(t.Term.Holder)
	registered, ok := t.Instances[name]
	return ok && registered.Holder != "" && registered.Holder != t.Term.Holder && t.InstanceOffsets[name] > t.TermOffset
}

func (t *Table) applyInstance(offset uint64, name string, r Record) error {
	if len(r.Value) == 0 {
		delete(t.Instances, name)
		delete(t.InstanceOffsets, name)
		return nil
	}
	var i Instance
	if err := decode(r, &i); err != nil {
		return err
	}
	t.Instances[name], t.InstanceOffsets[name] = i, offset
	return nil
}

// applyJob applies a submission, a cancellation or an outcome, or the tombstone of
// one of them.
func (t *Table) applyJob(offset uint64, kind, id string, r Record) error {
	if len(r.Value) == 0 {
		t.applyJobTombstone(kind, id)
		return nil
	}
	j := t.ensureJob(id)
	err := j.apply(offset, kind, r)
	t.updatePending(j)
	return err
}

// apply updates the job with a record that is not a tombstone.
func (j *Job) apply(offset uint64, kind string, r Record) error {
	switch kind {
	case kindSubmission:
		// A repeated submission doesn't change the time of acceptance.
		if j.submitted {
			return nil
		}
		var s Submission
		if err := decode(r, &s); err != nil {
			return err
		}
		if err := s.Job.Validate(); err != nil {
			return errors.Wrapf(errors.CombineErrors(ErrUnreadable, err), "record with key %q", r.Key)
		}
		j.Submission, j.Offset, j.submitted = s, offset, true
	case kindCancel:
		var c Cancel
		if err := decode(r, &c); err != nil {
			return err
		}
		j.Cancelled, j.CancelledAtMS = true, c.AtMS
	case kindOutcome:
		var o Outcome
		if err := decode(r, &o); err != nil {
			return err
		}
		j.Outcome = &o
	}
	return nil
}

// applyUnit applies the record of a unit, or its tombstone. The job's submission may
// follow later.
func (t *Table) applyUnit(name string, r Record) error {
	id, err := ParseUnitID(name)
	if err != nil {
		return err
	}
	if len(r.Value) == 0 {
		if j, ok := t.Jobs[id.Job]; ok {
			delete(j.Units, id)
		}
		return nil
	}
	var u Unit
	if err := decode(r, &u); err != nil {
		return err
	}
	j := t.ensureJob(id.Job)
	j.Units[id] = u
	// Records of earlier versions tell only by Settled that a unit runs.
	j.Started = j.Started || u.Begun || u.Settled || u.Phase == PhaseDone
	t.updatePending(j)
	return nil
}

// ensureJob returns the job with the given ID, adding it if the table has none.
func (t *Table) ensureJob(id string) *Job {
	j, ok := t.Jobs[id]
	if !ok {
		j = &Job{Units: map[UnitID]Unit{}}
		t.Jobs[id] = j
	}
	return j
}

// applyJobTombstone removes a job when its submission is deleted. Tombstones of
// its cancellation and its outcome have no effect of their own.
func (t *Table) applyJobTombstone(kind, id string) {
	j, ok := t.Jobs[id]
	if !ok || kind != kindSubmission {
		return
	}
	j.submitted = false
	t.updatePending(j)
	delete(t.Jobs, id)
}

// updatePending adds the job to PendingByQueue, or removes it, as its state
// requires.
func (t *Table) updatePending(j *Job) {
	pending := j.submitted && !j.Started && !j.Cancelled && j.Outcome == nil
	if pending == j.countedPending {
		return
	}
	j.countedPending = pending
	if pending {
		t.PendingByQueue[j.Job.Queue]++
		return
	}
	t.PendingByQueue[j.Job.Queue]--
	if t.PendingByQueue[j.Job.Queue] == 0 {
		delete(t.PendingByQueue, j.Job.Queue)
	}
}

func decode(r Record, v any) error {
	if err := cbor.Unmarshal(r.Value, v); err != nil {
		return errors.Wrapf(errors.CombineErrors(ErrUnreadable, err), "decode the record with key %q", r.Key)
	}
	return nil
}
