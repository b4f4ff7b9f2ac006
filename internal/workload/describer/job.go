// Package describer holds the terms in which jobs of many steps are described:
// what a caller submits, what a queue allows, and what a worker is.
//
//	j := describer.Job{ID: "5c0e7a21d94b36f8", Steps: []describer.Step{{Count: 4, Need: describer.Resources{Accelerators: 2}}}}
//	err := j.Check()
package describer

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a submission that no fleet could carry out.
var ErrInvalid = errors.New("invalid job")

// Bounds of a submission.
const (
	MaxSteps     = 256
	MaxStepTasks = 65536
	MaxSpecBytes = 4000
)

// Resources are what a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int `cbor:",omitempty"`
	MemoryMB     int `cbor:",omitempty"`
	Accelerators int `cbor:",omitempty"`
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns the difference.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// acceleratorCores is how many cores an accelerator counts for: the platform
// bills it so.
const acceleratorCores = 8

// MilliCores returns the processor share with accelerators counted in, in
// thousandths of a core.
func (r Resources) MilliCores() int { return r.CPU + acceleratorCores*1000*r.Accelerators }

// Step is one stage of a job: Count tasks with equal needs.
type Step struct {
	Count int
	Need  Resources
	// EstimateMS is the caller's rough estimate of a task's run time.
	EstimateMS int64
	// After lists earlier steps that must have finished.
	After []int `cbor:",omitempty"`
	// Gang tasks work only while all of them are present.
	Gang bool `cbor:",omitempty"`
	// SameRack tasks slow down when they span racks.
	SameRack     bool   `cbor:",omitempty"`
	Checkpoints  bool   `cbor:",omitempty"`
	Speculative  bool   `cbor:",omitempty"`
	RequireLabel string `cbor:",omitempty"`
	// DataRack is the rack beside whose data the tasks run at full speed.
	DataRack string `cbor:",omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 is no bound.
	MaxPerWorker int `cbor:",omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool   `cbor:",omitempty"`
	Image     string `cbor:",omitempty"`
	// LatencyTargetMS bounds the tail latency of a perpetual task that serves users.
	LatencyTargetMS int64 `cbor:",omitempty"`
	// FillsIdle tasks use only processor time that others leave idle.
	FillsIdle bool `cbor:",omitempty"`
	// MaxUnavailable bounds the tasks that planned work may take away at once.
	MaxUnavailable int `cbor:",omitempty"`
}

// Reserved returns what a task takes from a worker's room.
func (s Step) Reserved() Resources {
	r := s.Need
	if s.FillsIdle {
		r.CPU = 0
	}
	return r
}

// Schedule repeats a job's steps.
type Schedule struct {
	// Count is the number of occurrences; 0 means that the job runs once, at once.
	Count int `cbor:",omitempty"`
	// FirstMS is when the first occurrence is due, Unix milliseconds.
	FirstMS    int64 `cbor:",omitempty"`
	IntervalMS int64 `cbor:",omitempty"`
}

// Occurrences returns how many times the steps run.
func (s Schedule) Occurrences() int { return max(s.Count, 1) }

// DueMS returns when an occurrence may begin, or 0 for at once.
func (s Schedule) DueMS(occurrence int) int64 {
	if s.Count == 0 {
		return 0
	}
	return s.FirstMS + int64(occurrence)*s.IntervalMS
}

// Job is what a caller submits.
type Job struct {
	ID        string
	Workspace string
	Queue     string
	// Spec is handed to each task as it is.
	Spec     string `cbor:",omitempty"`
	Steps    []Step
	Schedule Schedule
}

// Check tells what makes the job impossible to carry out.
func (j Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalid, "%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Wrapf(ErrInvalid, "spec has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
	}
	return nil
}

func (s Step) check(number int) error {
	if s.Count < 1 || s.Count > MaxStepTasks {
		return errors.Wrapf(ErrInvalid, "step %d has %d tasks, 1 to %d are allowed", number, s.Count, MaxStepTasks)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return errors.Wrapf(ErrInvalid, "step %d needs negative resources", number)
	}
	for _, a := range s.After {
		if a < 0 || a >= number {
			return errors.Wrapf(ErrInvalid, "step %d starts after step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}

// Queue is the policy for the jobs of one entry route.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue for a call.
	Host       string
	PathPrefix string
	Service    string
	// Priority 0 comes first and may preempt others.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Stretch times a job's longest chain of work, plus ObjectiveMS, is the
	// time in which callers expect it to end.
	Stretch     float64
	ObjectiveMS int64
	TimeoutMS   int64
	// Public queues take calls without a key.
	Public bool
	// Advised queues need a permit for each worker.
	Advised bool
}

// Workspace is a customer with its keys and its guarantee.
type Workspace struct {
	Name string
	Keys []string
	// GuaranteedAccelerators belong to its jobs of priority 0.
	GuaranteedAccelerators int
}

// Worker is one life of a machine that runs tasks.
type Worker struct {
	ID      string
	Address string
	Service string
	Domain  string
	Rack    string
	Labels  []string
	Room    Resources
	// Draining workers take nothing new.
	Draining bool
	// RemainingMS is the least time that a draining worker has left.
	RemainingMS int64
}

// Equal reports whether two entries of the list say the same.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Address == o.Address && w.Service == o.Service && w.Domain == o.Domain && w.Rack == o.Rack &&
		w.Room == o.Room && w.Draining == o.Draining && w.RemainingMS == o.RemainingMS && slices.Equal(w.Labels, o.Labels)
}
