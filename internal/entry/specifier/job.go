package specifier

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Adjacency names the smallest part of the fleet that must hold a whole gang.
type Adjacency string

// The adjacency levels, from the tightest to the loosest. The empty value
// means WithinAny.
const (
	WithinWorker Adjacency = "Worker"
	WithinRack   Adjacency = "Rack"
	WithinDomain Adjacency = "Domain"
	WithinRegion Adjacency = "Region"
	WithinAny    Adjacency = "Any"
)

// Limits of one job.
const (
	MaxTasks         = 4096
	MaxNameBytes     = 128
	MaxPayloadBytes  = 4096
	MaxMemoryMB      = 16 << 20
	MaxProcessors    = 4096
	MaxAccelerators  = 64
	DefaultAttempts  = 3
	MaxAttemptsLimit = 20
)

// ErrInvalid marks a specification that can't be accepted as written.
var ErrInvalid = errors.New("invalid specification")

// Job is what a caller submits. The zero value of each optional field is its
// safe or usual setting, except that an unmarked job is idempotent.
type Job struct {
	// Key makes a repeated submission return the first one's job.
	Key       string
	Workspace string
	Name      string
	// Tasks is the gang's size; all tasks run at once or none does.
	Tasks int
	// Processors, MemoryMB and Accelerators are needed by each task.
	Processors   int
	MemoryMB     int
	Accelerators int
	Within       Adjacency
	// RunTime is the caller's estimate; it is a hint and never a limit.
	RunTime Duration
	Urgent  bool
	// NonIdempotent jobs are started at most once.
	NonIdempotent  bool
	Checkpointable bool
	MaxAttempts    int
	// Payload is handed to the workers as it is.
	Payload string
}

// Normalize returns j with its defaults filled in.
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

// Validate reports the first field of j that can't be accepted.
func (j Job) Validate() (err error) {
	defer func() {
		if err != nil {
			err = errors.Mark(errors.Wrapf(err, "job %q", j.Name), ErrInvalid)
		}
	}()
	if err := checkName("Workspace", j.Workspace); err != nil {
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
	return j.validateAmounts()
}

func (j Job) validateAmounts() error {
	amounts := []struct {
		name            string
		value, low, top int
	}{
		{"Tasks", j.Tasks, 1, MaxTasks},
		{"Processors", j.Processors, 0, MaxProcessors},
		{"MemoryMB", j.MemoryMB, 0, MaxMemoryMB},
		{"Accelerators", j.Accelerators, 0, MaxAccelerators},
		{"MaxAttempts", j.MaxAttempts, 1, MaxAttemptsLimit},
	}
	for _, a := range amounts {
		if a.value < a.low || a.value > a.top {
			return errors.Newf("%s is %d, must be %d to %d", a.name, a.value, a.low, a.top)
		}
	}
	return nil
}

// ID returns the job's identifier, the same for every submission with the same
// workspace and key.
func (j Job) ID() string {
	return "j-" + strconv.FormatUint(xxhash.Sum64String(j.Workspace+"\x00"+j.Key), 36)
}

// TotalAccelerators returns the accelerators of the whole gang.
func (j Job) TotalAccelerators() int { return j.Tasks * j.Accelerators }

// Valid reports whether a is one of the defined levels.
func (a Adjacency) Valid() bool {
	switch a {
	case "", WithinWorker, WithinRack, WithinDomain, WithinRegion, WithinAny:
		return true
	}
	return false
}

// Satisfies reports whether a place within a is also within b.
func (a Adjacency) Satisfies(b Adjacency) bool { return a.rank() <= b.rank() }

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

func checkName(field, value string) error {
	if value == "" {
		return errors.Newf("%s is missing", field)
	}
	if len(value) > MaxNameBytes || strings.ContainsAny(value, " /?#%\t\r\n") {
		return errors.Newf("%s %q must be at most %d bytes without spaces or any of /?#%%", field, value, MaxNameBytes)
	}
	return nil
}
