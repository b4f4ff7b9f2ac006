package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// resources are those of a minion or of a task.
type resources struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

func (r resources) plus(o resources) resources {
	return resources{r.CPU + o.CPU, r.MemMB + o.MemMB, r.GPU + o.GPU}
}

func (r resources) within(o resources) bool {
	return r.CPU <= o.CPU && r.MemMB <= o.MemMB && r.GPU <= o.GPU
}

// fleet is what the minions have in common.
type fleet struct {
	store  *store
	record *recorder
	// mu guards the minions too.
	mu      sync.Mutex
	minions []*minion
	// jobs are the submitted jobs by their IDs; minions look up how long a task works.
	jobs map[string]*job
	// onStart and onEnd, if set, are called with the lock held.
	onStart func(m *minion, r *run)
	onEnd   func(m *minion, r *run, how string)
	// late, if set, tells for how long a start is left without an answer before it is carried
	// out; it is called with the lock held.
	late func(m *minion, o order) (time.Duration, bool)
	ids  int
}

// run is one run of a task on a minion.
type run struct {
	task     string
	number   int
	step     *step
	started  time.Time
	begun    bool
	stopping bool
	timer    *time.Timer
}

type end struct {
	n    int
	task string
	run  int
	how  string
}

// minion is one machine; each of its lives has an ID of its own.
type minion struct {
	fleet    *fleet
	id       string
	address  string
	rack     string
	capacity resources
	born     time.Time
	// life counts the lives. down is set between two of them.
	life int
	down bool
	// dark is set once the machine is lost: calls to it get no answer.
	dark       bool
	server     *http.Server
	token      uint64
	leaseUntil time.Time
	runs       map[string]*run
	// lastRun is the highest run of each task that was stopped or ended.
	lastRun map[string]int
	ends    []end
	endSeq  int
	changed chan struct{}
	seq     int
}

// addMinion starts a minion on an address.
func (f *fleet) addMinion(address, rack string, capacity resources) (*minion, error) {
	m := &minion{fleet: f, address: address, rack: rack, capacity: capacity}
	if err := m.begin(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	go m.watchLease()
	return m, nil
}

// begin begins a new life: nothing of an earlier one is known.
func (m *minion) begin() error {
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids++
	m.id = fmt.Sprintf("i-%03x%07x", f.ids, time.Now().UnixNano()&0xfffffff)
	m.address = listener.Addr().String()
	m.born, m.down, m.token, m.leaseUntil = time.Now(), false, 0, time.Time{}
	m.runs, m.lastRun, m.ends, m.endSeq, m.changed, m.seq = map[string]*run{}, map[string]int{}, nil, 0, make(chan struct{}), 0
	m.life++
	m.server = &http.Server{Handler: m}
	go m.server.Serve(listener)
	go m.heartbeat(m.life, m.id)
	return nil
}

// heartbeat writes the minion's entry until its life ends. The entry expires three heartbeats
// after the last one.
func (m *minion) heartbeat(life int, id string) {
	for {
		m.fleet.mu.Lock()
		if m.life != life || m.down {
			m.fleet.mu.Unlock()
			time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { m.fleet.store.put("keyed.servers", id, nil) })
			return
		}
		m.seq++
		entry := map[string]any{
			"service": serviceName, "address": m.address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "seq": m.seq, "born": m.born.UnixMilli(), "clock_ms": m.clock(), "capacity": m.capacity, "labels": []string{"a", m.rack},
		}
		m.fleet.mu.Unlock()
		m.fleet.store.put("keyed.servers", id, entry)
		time.Sleep(heartbeatMS * time.Millisecond)
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		m.fleet.mu.Lock()
		if !m.down && time.Now().After(m.leaseUntil) {
			for _, r := range m.runs {
				m.end(r, "lapsed")
			}
		}
		m.fleet.mu.Unlock()
	}
}

// crash ends the life: everything that runs is gone. The next life begins after back, or never
// if that is negative.
func (m *minion) crash(back time.Duration) {
	f := m.fleet
	f.mu.Lock()
	m.down = true
	server := m.server
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		f.record.write("minion", "%s crashes under %s run %d", m.id, r.task, r.number)
		if f.onEnd != nil {
			f.onEnd(m, r, "crashed")
		}
	}
	m.runs, m.ends = map[string]*run{}, nil
	f.record.write("minion", "%s at %s crashes, back in %v", m.id, m.address, back)
	f.mu.Unlock()
	server.Close()
	if back < 0 {
		return
	}
	time.AfterFunc(back, func() {
		if err := m.begin(); err != nil {
			f.record.write("minion", "%s does not come back: %v", m.address, err)
			return
		}
		f.record.write("minion", "%s at %s is up", m.id, m.address)
	})
}

// vanish loses the machine for good: everything that runs is gone, and open and new connections
// stay without an answer.
func (m *minion) vanish() {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m.down, m.dark = true, true
	for _, r := range m.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		f.record.write("minion", "%s is lost with %s run %d", m.id, r.task, r.number)
		if f.onEnd != nil {
			f.onEnd(m, r, "lost")
		}
	}
	m.runs, m.ends = map[string]*run{}, nil
	f.record.write("minion", "%s at %s is lost for good", m.id, m.address)
}

// keepSilent never answers a call. The caller holds the lock.
func (m *minion) keepSilent(r *http.Request) {
	m.fleet.mu.Unlock()
	<-r.Context().Done()
	m.fleet.mu.Lock()
	panic(http.ErrAbortHandler)
}

// end ends a run and lists its end. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	if m.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(m.runs, r.task)
	m.lastRun[r.task] = max(m.lastRun[r.task], r.number)
	m.endSeq++
	m.ends = append(m.ends, end{m.endSeq, r.task, r.number, how})
	m.fleet.record.write("minion", "%s: %s run %d ended %s", m.id, r.task, r.number, how)
	if m.fleet.onEnd != nil {
		m.fleet.onEnd(m, r, how)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	if r.step == nil || !r.step.Gang || !r.begun {
		return
	}
	other := "broken"
	if how == "done" {
		other = "done"
	}
	for _, p := range m.fleet.gang(r) {
		if p.run.begun {
			p.minion.end(p.run, other)
		}
	}
}

type member struct {
	minion *minion
	run    *run
}

// gang returns the members of a gang's run that are present.
func (f *fleet) gang(r *run) (members []member) {
	name := r.task[:strings.LastIndexByte(r.task, '.')]
	for _, m := range f.minions {
		for task, o := range m.runs {
			if task[:strings.LastIndexByte(task, '.')] == name && o.number == r.number {
				members = append(members, member{m, o})
			}
		}
	}
	return members
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMS   int    `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case m.dark:
		m.keepSilent(r)
	case m.down:
		panic(http.ErrAbortHandler)
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != m.id:
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": m.clock()})
		return
	case err != nil:
		answer(w, http.StatusBadRequest, map[string]any{"clock_ms": m.clock()})
		return
	}
	if f.late != nil && r.URL.Path == "/-/run-start" {
		if after, ok := f.late(m, o); ok {
			life := m.life
			time.AfterFunc(after, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if !m.down && m.life == life {
					m.execute(httptest.NewRecorder(), r, o)
				}
			})
			m.keepSilent(r)
		}
	}
	m.execute(w, r, o)
}

// execute carries out an order. The caller holds the lock.
func (m *minion) execute(w http.ResponseWriter, r *http.Request, o order) {
	if o.Token < m.token {
		answer(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": "fence"})
		return
	}
	m.token = o.Token
	if o.Deadline > 0 {
		left := min(o.Deadline-m.clock(), holdMaxMS)
		if until := time.Now().Add(time.Duration(left) * time.Millisecond); until.After(m.leaseUntil) {
			m.leaseUntil = until
		}
	}
	switch r.URL.Path {
	case "/-/run-start":
		m.start(w, o)
	case "/-/run-stop":
		m.stop(o)
		answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
	case "/-/hold":
		m.hold(w, r, o)
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func (m *minion) start(w http.ResponseWriter, o order) {
	reason := ""
	current := m.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
	case o.Run <= m.lastRun[o.Task] || current != nil:
		reason = "old"
	case o.Deadline <= m.clock():
		reason = "late"
	}
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason})
		return
	}
	if current == nil {
		r := &run{task: o.Task, number: o.Run, step: m.fleet.step(o.Task), started: time.Now()}
		m.runs[o.Task] = r
		m.fleet.record.write("minion", "%s: %s run %d starts, token %d", m.id, o.Task, o.Run, o.Token)
		if m.fleet.onStart != nil {
			m.fleet.onStart(m, r)
		}
		m.beginWork(r)
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock()})
}

// beginWork begins the work of a run, and that of a gang once all of its members are present.
func (m *minion) beginWork(r *run) {
	f := m.fleet
	if r.step == nil {
		return
	}
	members := []member{{m, r}}
	if r.step.Gang {
		members = f.gang(r)
	}
	if r.step.Gang && len(members) < r.step.Count {
		r.timer = time.AfterFunc(gangMS*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !r.begun {
				m.end(r, "alone")
			}
		})
		return
	}
	for _, p := range members {
		p.run.begun = true
		if p.run.timer != nil {
			p.run.timer.Stop()
		}
		if r.step.Perpetual {
			continue
		}
		p.run.timer = time.AfterFunc(r.step.work, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			p.minion.end(p.run, "done")
		})
	}
}

// stop ends a run after the time that a stop takes, and bars it if it is not there.
func (m *minion) stop(o order) {
	r := m.runs[o.Task]
	if r == nil || r.number != o.Run {
		if r == nil {
			m.lastRun[o.Task] = max(m.lastRun[o.Task], o.Run)
		}
		return
	}
	if r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopMS/2*time.Millisecond, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		m.end(r, "stopped")
	})
}

const maxEnds = 500

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(m.ends) > 0 && m.ends[0].n <= o.LastSeen {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && o.WaitMS > 0 {
		changed, life := m.changed, m.life
		m.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.fleet.mu.Lock()
		if m.dark {
			m.keepSilent(r)
		}
		if m.down || m.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, p := range m.runs {
		percent := 100
		if p.step != nil && !p.step.Perpetual {
			percent = int(min(100*time.Since(p.started)/max(p.step.work, 1), 99))
		}
		running = append(running, []any{p.task, p.number, "", percent, 0})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished})
}

// step returns the step of a task, or nil for a task of no known job.
func (f *fleet) step(task string) *step {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil
	}
	j := f.jobs[parts[0]]
	var index int
	if _, err := fmt.Sscan(parts[2], &index); err != nil || j == nil || index >= len(j.Steps) {
		return nil
	}
	return &j.Steps[index]
}
