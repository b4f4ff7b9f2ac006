// Package taskrunner is a stand-in for a worker: it runs simulated tasks under
// leases and reports their states.
//
// The payload of a job describes how its tasks behave, for example
// "run=2s memory=4000", "run=1s fail=1" or "run=9s crash=100ms down=3s".
//
//	r := taskrunner.New(taskrunner.Config{Name: "w1", Processors: 64, MemoryMB: 128000, Accelerators: 8})
//	http.ListenAndServe(address, r)
package taskrunner

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"daisyhead/internal/platform/runner"
	"daisyhead/internal/standin/observer"
)

// defaultRunTime is the run time of tasks whose payload doesn't set one.
const defaultRunTime = time.Second

// maxPollWait limits the duration of a long poll.
const maxPollWait = 30 * time.Second

// Config describes a worker.
type Config struct {
	Name         string
	Processors   int
	MemoryMB     int
	Accelerators int
	// CheckpointTime is the duration of a checkpoint.
	CheckpointTime time.Duration
	// UsageLag is the age of the reported memory usage.
	UsageLag time.Duration
}

// Faults are faults of the worker that can be switched on.
type Faults struct {
	// FailAll makes every task fail soon after its start.
	FailAll bool
	// Silent fails every request except those that set the faults.
	Silent bool
	// Slow delays every request.
	Slow time.Duration
}

// Runner is a stand-in for one worker.
type Runner struct {
	cfg Config
	mux *http.ServeMux

	mu       sync.Mutex
	boot     string
	bootedAt time.Time
	version  uint64
	term     uint64
	entries  map[runner.Reference]*entry
	changed  chan struct{}
	events   []observer.Event
	faults   Faults
	// down is set from a crash until the machine has booted.
	down bool
}

// entry is one attempt in the worker's table.
type entry struct {
	runner.Status
	request    runner.ReserveRequest
	holdUntil  int64
	leaseUntil int64
	startedAt  time.Time
	// speed is the percentage of full speed at which the tasks run.
	speed  int
	timers []*time.Timer
}

// New returns a worker that has just booted and runs no tasks.
func New(cfg Config) *Runner {
	r := &Runner{cfg: cfg, mux: http.NewServeMux()}
	r.Reboot()
	r.mux.HandleFunc("POST /v1/exchange", jsonHandler(r, r.exchange))
	r.mux.HandleFunc("POST /v1/reserve", jsonHandler(r, r.reserve))
	r.mux.HandleFunc("POST /v1/start", jsonHandler(r, r.startTasks))
	r.mux.HandleFunc("POST /v1/stop", jsonHandler(r, r.stopTasks))
	r.mux.HandleFunc("POST /v1/throttle", jsonHandler(r, r.throttle))
	r.mux.HandleFunc("GET /v1/observed", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Events()) })
	r.mux.HandleFunc("POST /admin/faults", r.serveFaults)
	return r
}

// ServeHTTP serves the worker's API and its fault injection API.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f, down := r.currentFaults()
	if f.Slow > 0 {
		time.Sleep(f.Slow)
	}
	if (f.Silent || down) && !strings.HasPrefix(req.URL.Path, "/admin/") {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	r.mux.ServeHTTP(w, req)
}

// Reboot simulates a crash of the machine: running tasks stop, and the table and
// the term are lost. The recorded events and the faults are kept.
func (r *Runner) Reboot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reboot()
}

// reboot is Reboot with the lock held.
func (r *Runner) reboot() {
	for _, e := range r.entries {
		if e.State == runner.TaskRunning {
			r.recordEvent(e, observer.KindStopped)
		}
		e.stopTimers()
	}
	if r.changed != nil {
		close(r.changed)
	}
	r.boot, r.bootedAt, r.version, r.term = uuid.NewString(), time.Now(), 1, 0
	r.entries, r.changed = map[runner.Reference]*entry{}, make(chan struct{})
}

// SetFaults replaces the active faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Events returns the events that the worker has recorded so far.
func (r *Runner) Events() []observer.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// currentFaults returns the active faults, and whether the machine is down.
func (r *Runner) currentFaults() (f Faults, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults, r.down
}

func (r *Runner) serveFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetFaults(f)
}

// clockMS returns the reading of the monotonic clock: the time since the boot.
func (r *Runner) clockMS() int64 { return time.Since(r.bootedAt).Milliseconds() }

// bumpVersion records a change of the table and wakes the long polls.
func (r *Runner) bumpVersion() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

// recordEvent adds an event about an attempt for Events to return.
func (r *Runner) recordEvent(e *entry, kind observer.Kind) {
	q := e.request
	r.events = append(r.events, observer.Event{
		Kind: kind, Worker: r.cfg.Name, Job: q.Job, Workspace: q.Workspace, Name: q.Name, Attempt: q.Attempt,
		Tasks: q.Tasks, GangTasks: q.GangTasks, Accelerators: q.Tasks * q.Accelerators, NonIdempotent: q.NonIdempotent, Resumed: q.ProgressMS > 0, At: time.Now(),
	})
}

// end moves an entry to a final state, which releases its resources. The event is
// recorded only if the tasks were running.
func (r *Runner) end(e *entry, state runner.TaskState, kind observer.Kind, reason string) {
	e.RanMS = e.ranMS()
	if e.State == runner.TaskRunning {
		r.recordEvent(e, kind)
	}
	e.State, e.Reason = state, reason
	e.stopTimers()
	r.bumpVersion()
}

// ranMS returns the run time since the latest start or change of speed, scaled to
// full speed.
func (e *entry) ranMS() int64 {
	if e.startedAt.IsZero() {
		return 0
	}
	return time.Since(e.startedAt).Milliseconds() * int64(e.speed) / 100
}

func (e *entry) stopTimers() {
	for _, t := range e.timers {
		t.Stop()
	}
	e.timers = nil
}

// payload describes the simulated behavior of tasks.
type payload struct {
	run      time.Duration
	memoryMB int
	fail     bool
	// crash, if not 0, is when the tasks crash their worker, and down is how long the
	// worker takes to boot after that.
	crash, down time.Duration
}

// parsePayload parses a job's payload, such as "run=2s memory=4000". It ignores
// unknown and invalid settings.
func parsePayload(text string) payload {
	p := payload{run: defaultRunTime}
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "run":
			parseDuration(&p.run, value)
		case "crash":
			parseDuration(&p.crash, value)
		case "down":
			parseDuration(&p.down, value)
		case "memory":
			p.memoryMB, _ = strconv.Atoi(value)
		case "fail":
			p.fail = value != "0"
		}
	}
	return p
}

// parseDuration sets d to the value, unless that is invalid.
func parseDuration(d *time.Duration, value string) {
	if parsed, err := time.ParseDuration(value); err == nil {
		*d = parsed
	}
}

// jsonHandler returns a handler that passes the decoded request to f and encodes
// its result.
func jsonHandler[Q, A any](r *Runner, f func(*http.Request, Q) A) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var q Q
		if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, f(req, q))
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
