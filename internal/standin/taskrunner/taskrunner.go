// Package taskrunner is a stand-in of a worker: it runs pretended tasks under
// leases and reports them.
//
// A job's payload tells what its tasks pretend to do, for example
// "run=2s memory=4000" or "run=1s fail=1".
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

// defaultRun is how long tasks run when the payload doesn't say.
const defaultRun = time.Second

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

// Config describes the worker.
type Config struct {
	Name         string
	Processors   int
	MemoryMB     int
	Accelerators int
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// UsageLag is how old reported usage is.
	UsageLag time.Duration
}

// Faults are troubles of the worker that can be switched on.
type Faults struct {
	// FailAll makes every task fail soon after its start.
	FailAll bool
	// Silent refuses every request.
	Silent bool
	// Slow delays every request.
	Slow time.Duration
}

// Runner is one worker.
type Runner struct {
	cfg Config
	mux *http.ServeMux

	mu      sync.Mutex
	boot    string
	start   time.Time
	version uint64
	term    uint64
	entries map[runner.Reference]*entry
	changed chan struct{}
	events  []observer.Event
	faults  Faults
}

type entry struct {
	runner.Status
	request    runner.ReserveRequest
	holdUntil  int64
	leaseUntil int64
	startedAt  time.Time
	// speed is the share of full speed after throttling, in percent.
	speed  int
	timers []*time.Timer
}

// New returns a worker that has just booted.
func New(cfg Config) *Runner {
	r := &Runner{cfg: cfg, mux: http.NewServeMux()}
	r.Reboot()
	r.mux.HandleFunc("POST /v1/exchange", handle(r, r.exchange))
	r.mux.HandleFunc("POST /v1/reserve", handle(r, r.reserve))
	r.mux.HandleFunc("POST /v1/start", handle(r, r.startTasks))
	r.mux.HandleFunc("POST /v1/stop", handle(r, r.stopTasks))
	r.mux.HandleFunc("POST /v1/throttle", handle(r, r.throttle))
	r.mux.HandleFunc("GET /v1/observed", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, r.Events()) })
	r.mux.HandleFunc("POST /admin/faults", r.serveFaults)
	return r
}

// ServeHTTP serves the worker's requests.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f := r.currentFaults()
	if f.Slow > 0 {
		time.Sleep(f.Slow)
	}
	if f.Silent && !strings.HasPrefix(req.URL.Path, "/admin/") {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	r.mux.ServeHTTP(w, req)
}

// Reboot forgets everything, as a crash of the machine does.
func (r *Runner) Reboot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		if e.State == runner.TaskRunning {
			r.observe(e, observer.KindStopped)
		}
		e.stopTimers()
	}
	if r.changed != nil {
		close(r.changed)
	}
	r.boot, r.start, r.version, r.term = uuid.NewString(), time.Now(), 1, 0
	r.entries, r.changed = map[runner.Reference]*entry{}, make(chan struct{})
}

// SetFaults switches faults.
func (r *Runner) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Events returns what the worker saw so far.
func (r *Runner) Events() []observer.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

func (r *Runner) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

func (r *Runner) serveFaults(w http.ResponseWriter, req *http.Request) {
	var f Faults
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetFaults(f)
}

func (r *Runner) clock() int64 { return time.Since(r.start).Milliseconds() }

// change wakes the long polls.
func (r *Runner) change() {
	r.version++
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Runner) observe(e *entry, kind observer.Kind) {
	q := e.request
	r.events = append(r.events, observer.Event{
		Kind: kind, Worker: r.cfg.Name, Job: q.Job, Workspace: q.Workspace, Name: q.Name, Attempt: q.Attempt,
		Tasks: q.Tasks, GangTasks: q.GangTasks, Accelerators: q.Tasks * q.Accelerators, NonIdempotent: q.NonIdempotent, Resumed: q.ProgressMS > 0, At: time.Now(),
	})
}

// end closes an entry and frees its resources.
func (r *Runner) end(e *entry, state runner.TaskState, kind observer.Kind, reason string) {
	e.RanMS = e.ranMS()
	if e.State == runner.TaskRunning {
		r.observe(e, kind)
	}
	e.State, e.Reason = state, reason
	e.stopTimers()
	r.change()
}

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

// payload is what tasks pretend to do.
type payload struct {
	run      time.Duration
	memoryMB int
	fail     bool
}

func parsePayload(text string) payload {
	p := payload{run: defaultRun}
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "run":
			if d, err := time.ParseDuration(value); err == nil {
				p.run = d
			}
		case "memory":
			p.memoryMB, _ = strconv.Atoi(value)
		case "fail":
			p.fail = value != "0"
		}
	}
	return p
}

func handle[Q, A any](r *Runner, f func(*http.Request, Q) A) http.HandlerFunc {
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
