package tabulator

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Table is the fold of the ledger. Only one goroutine may use it at a time.
type Table struct {
	// Next is the offset of the next record to fold.
	Next      uint64
	Term      Term
	Jobs      map[string]*Job
	Instances map[string]Instance
	// Started holds the offsets of the instances' records: a larger one belongs
	// to a process that was started later.
	Started map[string]uint64
	// Unheard holds the workers that holders have not reached.
	Unheard map[string]Unheard
	// Pending counts, for each queue, the live jobs without a started task.
	Pending map[string]int
}

// Job is what the ledger tells of one job.
type Job struct {
	Submission
	Cancelled bool
	CancelMS  int64
	// Outcome is set once the job has ended.
	Outcome *Outcome
	Units   map[UnitID]Unit
	// Started is set once any task was placed.
	Started bool
	known   bool
	pending bool
}

// New returns an empty table.
func New() *Table {
	return &Table{Jobs: map[string]*Job{}, Instances: map[string]Instance{}, Started: map[string]uint64{}, Unheard: map[string]Unheard{}, Pending: map[string]int{}}
}

// State returns what callers see of the job.
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

// Lookup returns an accepted job.
func (t *Table) Lookup(id string) (*Job, bool) {
	j, ok := t.Jobs[id]
	return j, ok && j.known
}

// Apply folds the record at an offset. A record that can't be read changes
// nothing but Next.
func (t *Table) Apply(offset uint64, r Record) error {
	t.Next = max(t.Next, offset+1)
	kind, name, _ := strings.Cut(r.Key, "/")
	switch kind {
	case keyTerm:
		return t.applyTerm(r)
	case kindInstance:
		return t.applyInstance(offset, name, r)
	case kindSubmission, kindCancel, kindOutcome:
		return t.applyJob(kind, name, r)
	case kindUnit:
		return t.applyUnit(name, r)
	case kindUnheard:
		return t.applyUnheard(name, r)
	}
	return errors.Wrapf(ErrUnreadable, "key %q", r.Key)
}

func (t *Table) applyTerm(r Record) error {
	var next Term
	if err := decode(r, &next); err != nil {
		return err
	}
	t.Term = next
	return nil
}

func (t *Table) applyUnheard(worker string, r Record) error {
	delete(t.Unheard, worker)
	if len(r.Value) == 0 {
		return nil
	}
	var u Unheard
	if err := decode(r, &u); err != nil {
		return err
	}
	t.Unheard[worker] = u
	return nil
}

func (t *Table) applyInstance(offset uint64, name string, r Record) error {
	if len(r.Value) == 0 {
		delete(t.Instances, name)
		delete(t.Started, name)
		return nil
	}
	var i Instance
	if err := decode(r, &i); err != nil {
		return err
	}
	t.Instances[name], t.Started[name] = i, offset
	return nil
}

func (t *Table) applyJob(kind, id string, r Record) error {
	if len(r.Value) == 0 {
		t.drop(kind, id)
		return nil
	}
	j := t.job(id)
	err := j.apply(kind, r)
	t.count(j)
	return err
}

func (j *Job) apply(kind string, r Record) error {
	switch kind {
	case kindSubmission:
		// A repeated submission keeps the first one's time.
		if j.known {
			return nil
		}
		if err := decode(r, &j.Submission); err != nil {
			return err
		}
		j.known = true
	case kindCancel:
		var c Cancel
		if err := decode(r, &c); err != nil {
			return err
		}
		j.Cancelled, j.CancelMS = true, c.AtMS
	case kindOutcome:
		var o Outcome
		if err := decode(r, &o); err != nil {
			return err
		}
		j.Outcome = &o
	}
	return nil
}

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
	j := t.job(id.Job)
	j.Units[id] = u
	j.Started = true
	t.count(j)
	return nil
}

func (t *Table) job(id string) *Job {
	j, ok := t.Jobs[id]
	if !ok {
		j = &Job{Units: map[UnitID]Unit{}}
		t.Jobs[id] = j
	}
	return j
}

func (t *Table) drop(kind, id string) {
	j, ok := t.Jobs[id]
	if !ok || kind != kindSubmission {
		return
	}
	j.known = false
	t.count(j)
	delete(t.Jobs, id)
}

// count keeps Pending in step with a job.
func (t *Table) count(j *Job) {
	pending := j.known && !j.Started && !j.Cancelled && j.Outcome == nil
	if pending == j.pending {
		return
	}
	j.pending = pending
	if pending {
		t.Pending[j.Job.Queue]++
		return
	}
	t.Pending[j.Job.Queue]--
	if t.Pending[j.Job.Queue] == 0 {
		delete(t.Pending, j.Job.Queue)
	}
}

func decode(r Record, v any) error {
	if err := cbor.Unmarshal(r.Value, v); err != nil {
		return errors.Wrapf(errors.CombineErrors(ErrUnreadable, err), "key %q", r.Key)
	}
	return nil
}
