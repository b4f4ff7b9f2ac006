package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leaseMax      = 10 * time.Second
	stopTakes     = 100 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	endsPerReport = 500
)

// behaviour is how a task's run ends by itself. A run without a kind lasts until it is
// stopped.
type behaviour struct {
	takes time.Duration
	kind  string
}

// fleet is what the minions have in common.
type fleet struct {
	rec     *recorder
	store   *store
	service string
	// behave tells how a run ends.
	behave func(task string, run int) behaviour
	// delay tells whether an order to start gets no answer, and when it is carried out. It
	// may be nil.
	delay func(m *minion, task string, run int) (late time.Duration, unanswered bool)

	mu      sync.Mutex
	history []*execution
	minions []*minion
}

// execution is one run of a task, as its minion saw it.
type execution struct {
	minion, task string
	run          int
	began, ended time.Time
	kind         string
}

// runsOf returns the runs of the tasks of a job.
func (f *fleet) runsOf(job string) (found []execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.history {
		if len(e.task) > len(job) && e.task[:len(job)] == job {
			found = append(found, *e)
		}
	}
	return found
}

// minion is a stand-in for a minion. It starts whatever it is told to start.
type minion struct {
	fleet  *fleet
	id, ip string
	labels []string
	cpu    int

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	born     time.Time
	token    uint64
	// leaseUntil is when everything is killed.
	leaseUntil time.Time
	runs       map[string]*activeRun
	// barred is the number of the last run of each task that was stopped or has ended.
	barred   map[string]int
	ends     []end
	endCount int64
	ended    chan struct{}
	// hangsUntil is until when orders to start and stop get no answer and are not carried out.
	hangsUntil time.Time
	seq        int
	// crashed is set between two lives.
	crashed bool
}

type activeRun struct {
	execution *execution
	timer     *time.Timer
	takes     time.Duration
	stopping  bool
}

type end struct {
	number int64
	task   string
	run    int
	kind   string
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func (f *fleet) addMinion(id, ip string, labels []string, cpu int) error {
	m := &minion{fleet: f, id: id, ip: ip, labels: labels, cpu: cpu}
	if err := m.begin(ip + ":0"); err != nil {
		return err
	}
	f.minions = append(f.minions, m)
	go m.watchLease()
	go m.register()
	return nil
}

// begin begins a life of the minion.
func (m *minion) begin(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listener, m.server, m.born, m.token, m.leaseUntil = l, &http.Server{Handler: m}, time.Now(), 0, time.Time{}
	m.crashed = false
	m.runs, m.barred, m.ends, m.endCount, m.ended = map[string]*activeRun{}, map[string]int{}, nil, 0, make(chan struct{})
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	return nil
}

func (m *minion) register() {
	for ; ; time.Sleep(heartbeat) {
		m.mu.Lock()
		if m.crashed {
			m.mu.Unlock()
			continue
		}
		m.seq++
		entry := map[string]any{
			"service": m.fleet.service, "address": m.listener.Addr().String(), "zone": "z1", "version": "1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "seq": m.seq, "born": m.born.UnixMilli(), "clock_ms": m.clock(),
			"capacity": map[string]int{"cpu": m.cpu, "mem_mb": 262144, "gpu": 8}, "labels": m.labels,
		}
		m.mu.Unlock()
		m.fleet.store.put("keyed.servers", m.id, entry)
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) watchLease() {
	for range time.Tick(20 * time.Millisecond) {
		m.mu.Lock()
		if time.Now().After(m.leaseUntil) {
			for _, r := range m.runs {
				m.finish(r, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// extend moves the end of the lease; the caller holds the lock.
func (m *minion) extend(deadline int64) {
	left := min(time.Duration(deadline-m.clock())*time.Millisecond, leaseMax)
	if until := time.Now().Add(left); deadline > 0 && until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

// crash ends the minion's life. The next one begins after the pause, under the same id and at
// the same address. With a pause of 0 the minion is lost for good.
func (m *minion) crash(pause time.Duration) {
	m.mu.Lock()
	if m.crashed {
		m.mu.Unlock()
		return
	}
	m.crashed = true
	address := m.listener.Addr().String()
	_ = m.server.Close()
	for _, r := range m.runs {
		r.timer.Stop()
		m.fleet.mu.Lock()
		r.execution.ended, r.execution.kind = time.Now(), "crash"
		m.fleet.mu.Unlock()
	}
	m.fleet.rec.log("minion %s crashes with %d runs", m.id, len(m.runs))
	m.runs = map[string]*activeRun{}
	m.mu.Unlock()
	if pause == 0 {
		return
	}
	time.Sleep(pause)
	if err := m.begin(address); err != nil {
		m.fleet.rec.log("minion %s: %v", m.id, err)
		return
	}
	m.fleet.rec.log("minion %s has started again", m.id)
}

// finish ends a run and lists its end; the caller holds the lock.
func (m *minion) finish(r *activeRun, kind string) {
	e := r.execution
	if m.runs[e.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, e.task)
	m.barred[e.task] = max(m.barred[e.task], e.run)
	m.endCount++
	m.ends = append(m.ends, end{m.endCount, e.task, e.run, kind})
	m.fleet.mu.Lock()
	e.ended, e.kind = time.Now(), kind
	m.fleet.mu.Unlock()
	m.fleet.rec.log("minion %s: end %d of %s run %d: %s", m.id, m.endCount, e.task, e.run, kind)
	close(m.ended)
	m.ended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/hold":
		m.hold(w, r, o)
	case "/-/run-start", "/-/run-stop":
		m.mu.Lock()
		hangs := time.Now().Before(m.hangsUntil)
		m.mu.Unlock()
		if hangs {
			m.fleet.rec.log("minion %s: %s %s run %d gets no answer and is not carried out", m.id, r.URL.Path, o.Task, o.Run)
			<-r.Context().Done()
			return
		}
		if r.URL.Path == "/-/run-stop" {
			m.answer(w, "stop", o, m.stop(o))
			return
		}
		if m.fleet.delay != nil {
			if late, unanswered := m.fleet.delay(m, o.Task, o.Run); unanswered {
				m.fleet.rec.log("minion %s: start %s run %d gets no answer; it is carried out in %s", m.id, o.Task, o.Run, late)
				time.AfterFunc(late, func() {
					m.fleet.rec.log("minion %s: late start %s run %d is carried out: %q", m.id, o.Task, o.Run, m.start(o))
				})
				<-r.Context().Done()
				return
			}
		}
		m.answer(w, "start", o, m.start(o))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers an order; reason is empty if it was carried out.
func (m *minion) answer(w http.ResponseWriter, what string, o order, reason string) {
	m.fleet.rec.log("minion %s: %s %s run %d token %d: %s", m.id, what, o.Task, o.Run, o.Token, map[bool]string{true: "200", false: "409 " + reason}[reason == ""])
	m.mu.Lock()
	clock := m.clock()
	m.mu.Unlock()
	if reason == "" {
		fmt.Fprintf(w, `{"clock_ms":%d}`, clock)
		return
	}
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clock_ms":%d,"reason":%q}`, clock, reason)
}

// admit checks the fencing token; the caller holds the lock.
func (m *minion) admit(o order) bool {
	if o.Token < m.token {
		return false
	}
	m.token = o.Token
	return true
}

func (m *minion) start(o order) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return "crashed"
	}
	switch {
	case !m.admit(o):
		return "fence"
	case o.Deadline <= m.clock():
		return "late"
	}
	m.extend(o.Deadline)
	if r := m.runs[o.Task]; r != nil && r.execution.run == o.Run {
		return ""
	}
	if o.Run <= m.barred[o.Task] {
		return "old"
	}
	e := &execution{minion: m.id, task: o.Task, run: o.Run, began: time.Now()}
	m.fleet.mu.Lock()
	m.fleet.history = append(m.fleet.history, e)
	m.fleet.mu.Unlock()
	b := m.fleet.behave(o.Task, o.Run)
	r := &activeRun{execution: e, takes: b.takes}
	r.timer = time.AfterFunc(b.takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if b.kind != "" {
			m.finish(r, b.kind)
		}
	})
	m.runs[o.Task] = r
	m.fleet.rec.log("minion %s: %s run %d begins", m.id, o.Task, o.Run)
	return ""
}

func (m *minion) stop(o order) (reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.admit(o) {
		return "fence"
	}
	m.barred[o.Task] = max(m.barred[o.Task], o.Run)
	if r := m.runs[o.Task]; r != nil && r.execution.run == o.Run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTakes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.finish(r, "stopped")
		})
	}
	return ""
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if !m.admit(o) {
		m.mu.Unlock()
		m.answer(w, "hold", o, "fence")
		return
	}
	m.extend(o.Deadline)
	kept := m.ends[:0]
	for _, e := range m.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		} else {
			m.fleet.rec.log("minion %s: end %d of %s run %d is taken note of", m.id, e.number, e.task, e.run)
		}
	}
	m.ends = kept
	ended, wait := m.ended, len(m.ends) == 0
	m.mu.Unlock()
	if wait {
		select {
		case <-ended:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	report := struct {
		Born     int64   `json:"born"`
		Clock    int64   `json:"clock_ms"`
		Running  [][]any `json:"running"`
		Finished [][]any `json:"finished"`
	}{Born: m.born.UnixMilli(), Clock: m.clock(), Running: [][]any{}, Finished: [][]any{}}
	for _, run := range m.runs {
		percent := min(int(100*time.Since(run.execution.began)/run.takes), 99)
		report.Running = append(report.Running, []any{run.execution.task, run.execution.run, "", percent, 1000})
	}
	for _, e := range m.ends[:min(len(m.ends), endsPerReport)] {
		report.Finished = append(report.Finished, []any{e.number, e.task, e.run, e.kind, ""})
	}
	_ = json.NewEncoder(w).Encode(report)
}
