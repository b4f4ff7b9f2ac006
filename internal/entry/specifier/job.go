package specifier

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Adjacency is the level of the fleet topology within which all tasks of a gang
// must be placed.
type Adjacency string

// The adjacency levels, from the strictest to the least strict. The empty value
// means WithinAny.
const (
	WithinWorker Adjacency = "Worker"
	WithinRack   Adjacency = "Rack"
	WithinDomain Adjacency = "Domain"
	WithinRegion Adjacency = "Region"
	WithinAny    Adjacency = "Any"
)

// Limits and defaults of a job specification.
const (
	MaxTasks         = 4096
	MaxNameBytes     = 128
	MaxPayloadBytes  = 4096
	MaxMemoryMB      = 16 << 20 // 16 TiB for each task
	MaxProcessors    = 4096
	MaxAccelerators  = 64
	DefaultAttempts  = 3
	MaxAttemptsLimit = 20
)

// ErrInvalid marks the errors of Job.Validate and Ticket.Validate.
var ErrInvalid = errors.New("invalid specification")

// Job is a job specification as a caller submits it. The zero value of each
// optional field is its safe or usual setting, with one exception: a job counts as
// idempotent, and so may be started again, unless NonIdempotent is set.
type Job struct {
	// Key is the idempotency key: submitting again with the same workspace and key
	// returns the existing job, or is refused if the specification differs.
	Key       string
	Workspace string
	Name      string
	// Tasks is the size of the gang: either all tasks run at the same time or none does.
	Tasks int
	// Processors, MemoryMB and Accelerators are the resources that each task needs.
	Processors   int
	MemoryMB     int
	Accelerators int
	Within       Adjacency
	// RunTime is the caller's estimate of the run time. It is a hint for scheduling;
	// a job that runs longer isn't stopped.
	RunTime Duration
	Urgent  bool
	// NonIdempotent jobs are started at most once.
	NonIdempotent  bool
	Checkpointable bool
	MaxAttempts    int
	// Payload is passed to the workers unchanged.
	Payload string
}

// Normalize returns a copy of j with the defaults filled in. A non-idempotent job
// gets exactly one attempt.
func (j Job) Normalize() Job {
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	if j.Within == "" {
		j.Within = WithinAny
	}
	if j.MaxAttempts == 0 {
		j.MaxAttempts = DefaultAttempts
	}
	if j.NonIdempotent {
		j.MaxAttempts = 1
	}
	return j
}

// Validate returns an error, marked with ErrInvalid, for the first invalid field of j.
func (j Job) Validate() (err error) {
	defer func() {
		if err != nil {
			err = errors.Mark(errors.Wrapf(err, "job %q", j.Name), ErrInvalid)
		}
	}()
	if err := validateName("Workspace", j.Workspace); err != nil {
		return err
	}
	if len(j.Name) > MaxNameBytes || len(j.Key) > MaxNameBytes {
		return errors.Newf("Name and Key take at most %d bytes", MaxNameBytes)
	}
	if len(j.Payload) > MaxPayloadBytes {
		return errors.Newf("Payload takes at most %d bytes", MaxPayloadBytes)
	}
	if j.Processors == 0 && j.MemoryMB == 0 && j.Accelerators == 0 {
		return errors.New("a task needs Processors, MemoryMB or Accelerators")
	}
	if j.RunTime < 0 {
		return errors.New("RunTime is negative")
	}
	if !j.Within.Valid() {
		return errors.Newf("Within %q is not one of Worker, Rack, Domain, Region, Any", j.Within)
	}
	return j.validateRanges()
}

// validateRanges checks the numeric fields against their limits.
func (j Job) validateRanges() error {
	amounts := []struct {
		name             string
		value, low, high int
	}{
		{"Tasks", j.Tasks, 1, MaxTasks},
		{"Processors", j.Processors, 0, MaxProcessors},
		{"MemoryMB", j.MemoryMB, 0, MaxMemoryMB},
		{"Accelerators", j.Accelerators, 0, MaxAccelerators},
		{"MaxAttempts", j.MaxAttempts, 1, MaxAttemptsLimit},
	}
	for _, a := range amounts {
		if a.value < a.low || a.value > a.high {
			return errors.Newf("%s is %d, must be %d to %d", a.name, a.value, a.low, a.high)
		}
	}
	return nil
}

// ID returns the job's identifier, a hash of its workspace and key. Repeated
// submissions therefore have the same ID.
func (j Job) ID() string {
	return "j-" + strconv.FormatUint(xxhash.Sum64String(j.Workspace+"\x00"+j.Key), 36)
}

// TotalAccelerators returns the number of accelerators that the whole gang needs.
func (j Job) TotalAccelerators() int { return j.Tasks * j.Accelerators }

// Valid reports whether a is empty or one of the defined levels.
func (a Adjacency) Valid() bool {
	switch a {
	case "", WithinWorker, WithinRack, WithinDomain, WithinRegion, WithinAny:
		return true
	}
	return false
}

// Satisfies reports whether a placement within level a also meets level b, that is,
// whether a is at least as strict as b.
func (a Adjacency) Satisfies(b Adjacency) bool { return a.rank() <= b.rank() }

// rank orders the levels from the strictest to the least strict.
func (a Adjacency) rank() int {
	switch a {
	case WithinWorker:
		return 0
	case WithinRack:
		return 1
	case WithinDomain:
		return 2
	case WithinRegion:
		return 3
	}
	return 4
}

// validateName requires a name that is not empty, at most MaxNameBytes long and free of
// spaces and URL delimiters.
func validateName(field, value string) error {
	if value == "" {
		return errors.Newf("%s is missing", field)
	}
	if len(value) > MaxNameBytes || strings.ContainsAny(value, " /?#%\t\r\n") {
		return errors.Newf("%s %q must be at most %d bytes without spaces or any of /?#%%", field, value, MaxNameBytes)
	}
	return nil
}
