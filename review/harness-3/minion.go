package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// The time limits of the settings that concern minions.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTimeout = 400 * time.Millisecond
	gangTimeout = 3 * time.Second
	startupTime = 500 * time.Millisecond
	silentBeats = 3
	listedEnds  = 500
	capacityCPU = 64000
	capacityMem = 131072
	capacityGPU = 8
	rackMinions = 4
)

// work is the content of a job's spec. It tells the stand-in what a task does.
type work struct {
	// MS is how long a task works. Lasts is set if it works until it is stopped.
	MS    int
	Lasts bool `json:",omitempty"`
	// Gang is the number of members, 0 for a task of its own.
	Gang int `json:",omitempty"`
	// FailAfterMS is set if each run fails after that time.
	FailAfterMS int `json:",omitempty"`
	// Name tells the jobs of a case apart in the record.
	Name string
}

// room is a minion's capacity or a task's need.
type room struct {
	CPU int `json:"cpu"`
	Mem int `json:"mem_mb"`
	GPU int `json:"gpu"`
}

// fleet is what the minions have in common. Its lock guards them.
type fleet struct {
	mu      sync.Mutex
	log     *record
	store   *store
	minions []*minion
	// dark is set if the connections of a minion that crashes fall silent and are not closed.
	dark bool
	// onStart and onEnd, if set, are called with the lock held.
	onStart func(m *minion, r *run)
	onEnd   func(m *minion, r *run, how string)
	// onSeen, if set, is called when an end is taken note of.
	onSeen func(m *minion, e *end)
	// late, if set, tells whether a call gets no response and after which time it is carried out.
	late func(m *minion, path string, c call) (after time.Duration, late bool)
}

// minion is a stand-in for a worker.
type minion struct {
	fleet   *fleet
	id      string
	address string
	kind    string
	rack    string
	room    room

	up   bool
	gone bool
	born time.Time
	// lost is closed at the end of a life.
	lost       chan struct{}
	server     *http.Server
	token      uint64
	leaseUntil time.Time
	runs       map[string]*run
	lastEnded  map[string]int
	ends       []*end
	endCount   int64
	seq        int
	// ended is closed and replaced whenever a run ends.
	ended chan struct{}
}

// run is one run of a task on a minion.
type run struct {
	minion   *minion
	task     string
	number   int
	work     work
	started  time.Time
	begun    time.Time
	stopping bool
	timer    *time.Timer
}

// end is an ended run in the list of a minion.
type end struct {
	number int64
	task   string
	run    int
	how    string
	// startedAgain is set once the task, or one of its gang, was started after the end. lapsed is
	// set once the minion's lease has lapsed since.
	startedAgain, lapsed bool
}

// call is the body of an order.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int    `json:"wait_ms"`
}

// newFleet returns a fleet of count minions that are up and registered.
func newFleet(log *record, s *store, count int, kind func(i int) string) *fleet {
	f := &fleet{log: log, store: s}
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fatal(err)
		}
		m := &minion{fleet: f, id: fmt.Sprintf("i-%04d", i+1), address: l.Addr().String(), kind: kind(i), rack: fmt.Sprintf("r%d", i/rackMinions+1), room: room{capacityCPU, capacityMem, capacityGPU}}
		f.minions = append(f.minions, m)
		f.mu.Lock()
		m.begin(l)
		f.mu.Unlock()
	}
	go f.tick()
	return f
}

// begin begins a life. The caller holds the lock.
func (m *minion) begin(l net.Listener) {
	m.up, m.born, m.token, m.leaseUntil = true, time.Now(), 0, time.Time{}
	m.runs, m.lastEnded, m.ends, m.endCount, m.seq = map[string]*run{}, map[string]int{}, nil, 0, 0
	m.lost, m.ended = make(chan struct{}), make(chan struct{})
	m.server = &http.Server{Handler: m}
	go m.server.Serve(l)
	m.register()
	go m.beat(m.lost)
}

// beat registers the minion at each heartbeat of its life.
func (m *minion) beat(lost chan struct{}) {
	for {
		select {
		case <-lost:
			return
		case <-time.After(heartbeat):
		}
		m.fleet.mu.Lock()
		if m.lost == lost && m.up {
			m.register()
		}
		m.fleet.mu.Unlock()
	}
}

func (m *minion) register() {
	m.seq++
	m.fleet.store.put("keyed.servers", m.id, map[string]any{
		"service": "s", "address": m.address, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "seq": m.seq,
		"capacity": m.room, "labels": []string{m.kind, m.rack}, "born": m.born.UnixMilli(),
	})
}

// crash ends the minion's life. The caller holds the lock.
func (m *minion) crash(why string) {
	if !m.up {
		return
	}
	m.up = false
	m.fleet.log.line("minion %s crashes (%s)", m.id, why)
	close(m.lost)
	if !m.fleet.dark {
		go m.server.Close()
	}
	for _, key := range slices.Sorted(maps.Keys(m.runs)) {
		r := m.runs[key]
		r.timer.Stop()
		m.fleet.log.line("run %s/%d on %s is lost with its minion", r.task, r.number, m.id)
		if m.fleet.onEnd != nil {
			m.fleet.onEnd(m, r, "crashed")
		}
	}
	runs := m.runs
	m.runs = map[string]*run{}
	for _, r := range runs {
		m.fleet.breakGang(r)
	}
	down := m.lost
	time.AfterFunc(silentBeats*heartbeat, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		if !m.up && m.lost == down {
			m.fleet.store.put("keyed.servers", m.id, nil)
		}
	})
}

// comeBack begins the next life of a crashed minion at the same address.
func (m *minion) comeBack() {
	var l net.Listener
	var err error
	m.server.Close()
	for range 100 {
		if l, err = net.Listen("tcp", m.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		fatal(err)
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.begin(l)
	m.fleet.log.line("minion %s is up again, kind %s", m.id, m.kind)
}

// tick ends what has no lease any more.
func (f *fleet) tick() {
	for range time.Tick(20 * time.Millisecond) {
		f.mu.Lock()
		for _, m := range f.minions {
			if m.up && time.Now().After(m.leaseUntil) {
				for _, e := range m.ends {
					e.lapsed = true
				}
				for _, key := range slices.Sorted(maps.Keys(m.runs)) {
					m.end(m.runs[key], "lapsed")
				}
			}
		}
		f.mu.Unlock()
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func key(task string, run int) string { return fmt.Sprint(task, "/", run) }

func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// gang returns the runs of all members of a gang's run that are present.
func (f *fleet) gang(r *run) (members []*run) {
	for _, m := range f.minions {
		for _, o := range m.runs {
			if stepOf(o.task) == stepOf(r.task) && o.number == r.number {
				members = append(members, o)
			}
		}
	}
	return members
}

// end ends a run and lists the end. The caller holds the lock.
func (m *minion) end(r *run, how string) {
	if r == nil || m.runs[key(r.task, r.number)] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, key(r.task, r.number))
	m.lastEnded[r.task] = max(m.lastEnded[r.task], r.number)
	m.endCount++
	m.ends = append(m.ends, &end{number: m.endCount, task: r.task, run: r.number, how: how})
	m.fleet.log.line("run %s/%d on %s ends: %s", r.task, r.number, m.id, how)
	if m.fleet.onEnd != nil {
		m.fleet.onEnd(m, r, how)
	}
	close(m.ended)
	m.ended = make(chan struct{})
	switch {
	case r.work.Gang == 0:
	case how == "done":
		for _, o := range m.fleet.gang(r) {
			o.minion.end(o, "done")
		}
	default:
		m.fleet.breakGang(r)
	}
}

// breakGang ends the rest of a gang that has begun.
func (f *fleet) breakGang(r *run) {
	if r.work.Gang == 0 || r.begun.IsZero() {
		return
	}
	for _, o := range f.gang(r) {
		o.minion.end(o, "broken")
	}
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !m.up {
		m.leaveUnanswered(r)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	lost := m.lost
	if f.late != nil {
		if after, late := f.late(m, r.URL.Path, c); late {
			time.AfterFunc(after, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if m.up {
					m.execute(r, c, true)
				}
			})
			f.mu.Unlock()
			select {
			case <-r.Context().Done():
			case <-lost:
			}
			f.mu.Lock()
			panic(http.ErrAbortHandler)
		}
	}
	status, body := m.execute(r, c, false)
	if lost != m.lost || !m.up {
		m.leaveUnanswered(r)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// leaveUnanswered ends a call without an answer, after the caller has given up if crashes are
// dark. The caller holds the lock.
func (m *minion) leaveUnanswered(r *http.Request) {
	if m.fleet.dark {
		m.fleet.mu.Unlock()
		<-r.Context().Done()
		m.fleet.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// execute carries out an order. The caller holds the lock, which a hold releases while it waits.
func (m *minion) execute(r *http.Request, c call, late bool) (status int, body map[string]any) {
	body = map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
	if c.Token < m.token {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	m.token = c.Token
	switch r.URL.Path {
	case "/-/run-start":
		return m.start(c, body, late)
	case "/-/run-stop":
		m.stop(c)
		return http.StatusOK, body
	case "/-/hold":
		m.extend(c.Deadline)
		return m.hold(r, c, late)
	}
	return http.StatusNotFound, body
}

// extend extends the lease to a time on the minion's clock, by holdMax at most.
func (m *minion) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	until := time.Now().Add(min(time.Duration(deadline-m.clock())*time.Millisecond, holdMax))
	if until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

func (m *minion) start(c call, body map[string]any, late bool) (int, map[string]any) {
	if m.runs[key(c.Task, c.Run)] != nil {
		m.extend(c.Deadline)
		return http.StatusOK, body
	}
	if c.Run <= m.lastEnded[c.Task] {
		m.extend(c.Deadline)
		body["reason"] = "old"
		return http.StatusConflict, body
	}
	if c.Deadline < m.clock() {
		body["reason"] = "late"
		return http.StatusConflict, body
	}
	m.extend(c.Deadline)
	r := &run{minion: m, task: c.Task, number: c.Run, started: time.Now()}
	_ = json.Unmarshal([]byte(c.Spec), &r.work)
	m.fleet.noteStart(r)
	m.runs[key(r.task, r.number)] = r
	m.fleet.log.line("run %s/%d (%s) starts on %s, kind %s, late %t, token %d", r.task, r.number, r.work.Name, m.id, m.kind, late, c.Token)
	if m.fleet.onStart != nil {
		m.fleet.onStart(m, r)
	}
	m.begins(r)
	return http.StatusOK, body
}

// noteStart notes the ends that are not taken note of yet and that a start follows.
func (f *fleet) noteStart(r *run) {
	for _, m := range f.minions {
		for _, e := range m.ends {
			if m.up && e.how == "done" && (e.task == r.task || r.work.Gang > 0 && stepOf(e.task) == stepOf(r.task)) {
				e.startedAgain = true
			}
		}
	}
}

// begins begins the work of a run, or of a gang that is complete.
func (m *minion) begins(r *run) {
	f := m.fleet
	members := []*run{r}
	if r.work.Gang > 0 {
		members = f.gang(r)
		if len(members) < r.work.Gang {
			r.timer = time.AfterFunc(gangTimeout, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if r.begun.IsZero() {
					m.end(r, "alone")
				}
			})
			return
		}
	}
	for _, o := range members {
		o.begun = time.Now()
		if o.timer != nil {
			o.timer.Stop()
		}
		after, how := time.Duration(o.work.MS)*time.Millisecond, "done"
		if o.work.FailAfterMS > 0 {
			after, how = time.Duration(o.work.FailAfterMS)*time.Millisecond, "failed"
		}
		if o.work.Lasts && how == "done" {
			after = time.Hour
		}
		o.timer = time.AfterFunc(after, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			o.minion.end(o, how)
		})
	}
}

// stop ends a run within stopTimeout, and makes the minion reject it from then on.
func (m *minion) stop(c call) {
	m.lastEnded[c.Task] = max(m.lastEnded[c.Task], c.Run)
	r := m.runs[key(c.Task, c.Run)]
	if r == nil || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopTimeout/2, func() {
		m.fleet.mu.Lock()
		defer m.fleet.mu.Unlock()
		m.end(r, "stopped")
	})
}

// percent is how far a run has come.
func (r *run) percent() int {
	switch {
	case r.begun.IsZero():
		return 0
	case r.work.Lasts && time.Since(r.begun) >= startupTime:
		return 100
	case r.work.Lasts:
		return 10
	}
	return min(int(time.Since(r.begun).Milliseconds())*100/max(r.work.MS, 1), 99)
}

func (m *minion) hold(r *http.Request, c call, late bool) (int, map[string]any) {
	for len(m.ends) > 0 && m.ends[0].number <= c.LastSeen {
		if m.fleet.onSeen != nil {
			m.fleet.onSeen(m, m.ends[0])
		}
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && c.WaitMS > 0 && !late {
		ended, lost := m.ended, m.lost
		m.fleet.mu.Unlock()
		select {
		case <-ended:
		case <-lost:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.fleet.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, k := range slices.Sorted(maps.Keys(m.runs)) {
		o := m.runs[k]
		load := 500
		if o.work.Lasts {
			load = 20
		}
		running = append(running, []any{o.task, o.number, "", o.percent(), load})
	}
	for _, e := range m.ends[:min(len(m.ends), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
}
