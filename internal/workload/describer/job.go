// Package describer defines the types that describe jobs with several steps,
// the queues and workspaces that they belong to, and the workers that run them.
//
//	j := describer.Job{ID: "5c0e7a21d94b36f8", Steps: []describer.Step{{Count: 4, Need: describer.Resources{Accelerators: 2}}}}
//	err := j.Validate()
package describer

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks a job that no fleet could run.
var ErrInvalid = errors.New("invalid job")

// Limits of a submission: the steps of a job, the tasks of a step, those of all steps in
// all occurrences, and the size of Job.Spec.
const (
	MaxSteps     = 256
	MaxStepTasks = 65536
	MaxJobTasks  = MaxStepTasks
	MaxSpecBytes = 4000
)

// Resources are the resources that a task needs or a worker has.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU          int `cbor:",omitempty"`
	MemoryMB     int `cbor:",omitempty"`
	Accelerators int `cbor:",omitempty"`
}

// Fits reports whether r is at least as large as need in every respect.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.Accelerators <= r.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// coresPerAccelerator converts accelerators to cores, as the platform does for
// billing.
const coresPerAccelerator = 8

// MilliCores returns the CPU and the accelerators as one number, in thousandths
// of a core.
func (r Resources) MilliCores() int { return r.CPU + coresPerAccelerator*1000*r.Accelerators }

// Step is one stage of a job: Count tasks that each need the same resources.
type Step struct {
	Count int
	// Need is what each task needs.
	Need Resources
	// EstimateMS is the caller's rough estimate of a task's run time.
	EstimateMS int64
	// After lists the indexes of earlier steps that must finish first.
	After []int `cbor:",omitempty"`
	// Gang tasks make progress only while all tasks of the step are running.
	Gang bool `cbor:",omitempty"`
	// SameRack tasks run slower if they are spread over several racks.
	SameRack bool `cbor:",omitempty"`
	// Checkpoints is set if the tasks save their progress and can resume from it.
	Checkpoints bool `cbor:",omitempty"`
	// Speculative is stored as the caller declared it; it has no effect at present.
	Speculative bool `cbor:",omitempty"`
	// RequireLabel is a label that the tasks' workers must have; empty means any
	// worker.
	RequireLabel string `cbor:",omitempty"`
	// DataRack is the rack that holds the tasks' data. They run at full speed only
	// there.
	DataRack string `cbor:",omitempty"`
	// MaxPerWorker limits the step's tasks on one worker; 0 means no limit.
	MaxPerWorker int `cbor:",omitempty"`
	// Perpetual tasks run until the job is cancelled.
	Perpetual bool `cbor:",omitempty"`
	// Image is stored as the caller declared it; it has no effect at present.
	Image string `cbor:",omitempty"`
	// LatencyTargetMS is the upper bound for the tail latency of a perpetual task that
	// serves users; 0 means that the task serves none.
	LatencyTargetMS int64 `cbor:",omitempty"`
	// FillsIdle tasks use only processor time that other tasks leave idle.
	FillsIdle bool `cbor:",omitempty"`
	// MaxUnavailable limits how many of the tasks planned operations may make
	// unavailable at once; 0 means no limit.
	MaxUnavailable int `cbor:",omitempty"`
}

// Reserved returns the resources that a task reserves on its worker. Tasks that
// fill idle time reserve no CPU.
func (s Step) Reserved() Resources {
	r := s.Need
	if s.FillsIdle {
		r.CPU = 0
	}
	return r
}

// Schedule describes when a job's steps run. Each run through all steps is an
// occurrence.
type Schedule struct {
	// Count is the number of occurrences; 0 means one that starts immediately.
	Count int `cbor:",omitempty"`
	// FirstMS is when the first occurrence may start, in Unix milliseconds.
	FirstMS    int64 `cbor:",omitempty"`
	IntervalMS int64 `cbor:",omitempty"`
}

// Occurrences returns the number of occurrences.
func (s Schedule) Occurrences() int { return max(s.Count, 1) }

// DueMS returns when an occurrence, counted from 0, may start, in Unix
// milliseconds. It returns 0 for an immediate start.
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
	// Spec is passed to each task unchanged.
	Spec     string `cbor:",omitempty"`
	Steps    []Step
	Schedule Schedule
}

// Validate returns an error that wraps ErrInvalid if the job exceeds a limit or no
// fleet could run it.
func (j Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.Wrapf(ErrInvalid, "%d steps, 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.Wrapf(ErrInvalid, "spec has %d bytes, at most %d are allowed", len(j.Spec), MaxSpecBytes)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxJobTasks/j.Schedule.Occurrences() {
		return errors.Wrapf(ErrInvalid, "%d tasks in each of %d occurrences, %d are allowed in all", tasks, j.Schedule.Occurrences(), MaxJobTasks)
	}
	return nil
}

// validate checks the step for Job.Validate; index is its place in Job.Steps. A step
// may only depend on earlier ones, so that steps can't wait for each other.
func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxStepTasks {
		return errors.Wrapf(ErrInvalid, "step %d has %d tasks, 1 to %d are allowed", index, s.Count, MaxStepTasks)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return errors.Wrapf(ErrInvalid, "step %d needs negative resources", index)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			return errors.Wrapf(ErrInvalid, "step %d starts after step %d, which is not an earlier one", index, dependency)
		}
	}
	return nil
}

// Queue is the policy for the jobs that are submitted by one route.
type Queue struct {
	Name string
	// Host and PathPrefix select the queue for a request.
	Host       string
	PathPrefix string
	// Service selects the workers that run the queue's jobs.
	Service string
	// Priority 0 is the highest; its jobs may preempt those of other priorities.
	Priority int
	// Attempts is the number of failed runs of a task at which its job fails; 0
	// counts as 1. Perpetual tasks may fail any number of times.
	Attempts int
	// Stretch times the critical path of a job, plus ObjectiveMS, is the time in
	// which callers expect the job to end.
	Stretch     float64
	ObjectiveMS int64
	// TimeoutMS is stored as operators set it; it has no effect at present.
	TimeoutMS int64
	// Public queues accept requests without an API key.
	Public bool
	// Advised queues may start tasks only on workers for which the recommendation
	// service has issued a permit.
	Advised bool
}

// Workspace is a customer with its API keys, its guarantee and its limit.
type Workspace struct {
	Name string
	Keys []string
	// GuaranteedAccelerators is how many accelerators the workspace's jobs of
	// priority 0 can always use.
	GuaranteedAccelerators int
	// Maximum is what the workspace may have running across all workers. A resource that is 0
	// there is not limited.
	Maximum Resources
	// Weight is the workspace's share, relative to the others, when all capacity is in use, and
	// the number of jobs a second that are within it. 0 counts as 1 among the others, and sets
	// no bound to the number of jobs.
	Weight float64
}

// Worker is a machine that runs tasks, from when the platform lists it until the
// platform removes it.
type Worker struct {
	ID      string
	Address string
	Service string
	Domain  string
	Rack    string
	Labels  []string
	Room    Resources
	// Draining workers take no new tasks.
	Draining bool
	// RemainingMS is how long a draining worker stays available, at least.
	RemainingMS int64
}

// Equal reports whether two entries are equal in all fields.
func (w Worker) Equal(o Worker) bool {
	return w.ID == o.ID && w.Address == o.Address && w.Service == o.Service && w.Domain == o.Domain && w.Rack == o.Rack &&
		w.Room == o.Room && w.Draining == o.Draining && w.RemainingMS == o.RemainingMS && slices.Equal(w.Labels, o.Labels)
}
