package decider

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/runner"
)

// Bounds of the exchange with workers.
const (
	minRetryMS = 200
	maxRetryMS = 5000
	// avoidMS is how long a worker that refused a reservation is passed over.
	avoidMS = 2000
)

// worker is what the holder knows of one worker from its own exchanges.
type worker struct {
	name    string
	address string
	boot    string
	// clockMS was the worker's clock at clockAtMS, monotonic time, or earlier.
	clockMS   int64
	clockAtMS int64
	version   uint64
	heardMS   int64
	heard     bool
	inFlight  bool
	failures  int
	retryMS   int64
	avoidMS   int64
	lastError string
	// leaseEndMS is when every lease that was sent so far has surely run out.
	leaseEndMS int64
	// grantedMS is when the leases that the worker confirmed run out.
	grantedMS int64
	// sentMS is when the renewal in flight was sent; 0 if it renews nothing.
	sentMS int64
	table  map[runner.Reference]runner.Status
}

// Liaison is a copy of what the holder knows of the workers.
type Liaison struct {
	Holder  bool
	FreshMS int64
	Workers map[string]WorkerView
	Pending map[string]string
	Peers   map[string]PeerView
	Plans   uint64
}

// WorkerView describes one worker as the holder last saw it.
type WorkerView struct {
	Heard      bool
	HeardAgoMS int64
	Boot       string
	Tasks      int
	LastError  string
}

// PeerView describes another instance.
type PeerView struct {
	peerencoder.Heartbeat
	HeardAgoMS int64
}

func (m *Model) liaison() Liaison {
	l := Liaison{
		Holder: m.holds(), FreshMS: m.at.MonoMS - m.freshMS, Plans: m.plans,
		Workers: map[string]WorkerView{}, Pending: map[string]string{}, Peers: map[string]PeerView{},
	}
	for name, w := range m.workers {
		l.Workers[name] = WorkerView{Heard: w.heard, HeardAgoMS: m.at.MonoMS - w.heardMS, Boot: w.boot, Tasks: len(w.table), LastError: w.lastError}
	}
	for id, p := range m.pending {
		l.Pending[id] = p.reason
	}
	for name, p := range m.peers {
		l.Peers[name] = PeerView{Heartbeat: p.Heartbeat, HeardAgoMS: m.at.MonoMS - p.heardMS}
	}
	return l
}

func (w *worker) resetForTerm(leaseEnd int64) {
	w.heard, w.version, w.failures, w.retryMS, w.avoidMS = false, 0, 0, 0, 0
	w.table = map[runner.Reference]runner.Status{}
	w.leaseEndMS, w.grantedMS, w.sentMS = leaseEnd, leaseEnd, 0
}

// clockAt returns a reading that the worker's clock has reached by now.
func (w *worker) clockAt(nowMS int64) int64 { return w.clockMS + nowMS - w.clockAtMS }

// syncWorkers follows the worker groups of accepted tickets.
func (m *Model) syncWorkers() {
	if m.workersRev == m.state.Revision {
		return
	}
	m.workersRev = m.state.Revision
	known := map[string]bool{}
	for _, g := range m.state.WorkerGroups {
		for _, spec := range g.Spec.Workers {
			known[spec.Name] = true
			m.syncWorker(spec.Name, spec.Address)
		}
	}
	for name := range m.workers {
		if !known[name] {
			delete(m.workers, name)
		}
	}
}

func (m *Model) syncWorker(name, address string) {
	w, ok := m.workers[name]
	if ok && w.address == address {
		return
	}
	w = &worker{name: name, address: address, inFlight: ok && w.inFlight}
	w.resetForTerm(m.at.MonoMS + m.cfg.LostAfterMS)
	m.workers[name] = w
}

// watchWorkers keeps one exchange in flight with each worker and notes which
// of them are silent.
func (m *Model) watchWorkers() {
	for _, name := range reducer.SortedKeys(m.workers) {
		m.exchange(m.workers[name])
	}
	if m.mayDecide() {
		m.noteSilence()
	}
}

// exchange sends the next renewal. Renewals go on while the ledger can't be
// read, as long as no other instance can have taken the workers over.
func (m *Model) exchange(w *worker) {
	if w.inFlight || m.at.MonoMS < w.retryMS || !m.mayRenew() {
		return
	}
	w.inFlight, w.sentMS = true, 0
	if w.renewing() {
		w.sentMS = m.at.MonoMS
		w.leaseEndMS = max(w.leaseEndMS, m.at.MonoMS+m.cfg.LeaseMS)
	}
	m.emit(ExchangeCmd{Worker: w.name, Address: w.address, Request: m.exchangeRequest(w)})
}

// renewing reports whether the next exchange renews leases. After a failure it
// only asks for an answer: a renewal to a silent worker would put off, again
// and again, the time when its leases have surely run out.
func (w *worker) renewing() bool { return w.heard && w.failures == 0 }

// mayRenew reports whether leases may be extended. Without the ledger that is
// so while every member is heard and none of them can read it either, and for
// a bounded time otherwise.
func (m *Model) mayRenew() bool {
	if !m.holds() {
		return false
	}
	age := m.at.MonoMS - m.freshMS
	if age <= m.cfg.LostAfterMS-m.cfg.LeaseMS-m.cfg.MarginMS {
		return true
	}
	return m.outageAgreed()
}

func (m *Model) outageAgreed() bool {
	for _, name := range m.state.Members {
		if name == m.cfg.Name {
			continue
		}
		p, ok := m.peers[name]
		if !ok || m.at.MonoMS-p.heardMS > m.cfg.HolderTimeoutMS {
			return false
		}
		if p.Term > m.state.Term || p.LogAgeMS <= m.cfg.FreshMS {
			return false
		}
	}
	return true
}

func (m *Model) exchangeRequest(w *worker) runner.ExchangeRequest {
	r := runner.ExchangeRequest{Term: m.state.Term, Boot: w.boot, Since: w.version, WaitMS: m.cfg.RenewMS}
	if !w.renewing() {
		r.WaitMS = 0
		return r
	}
	clock := w.clockAt(m.at.MonoMS)
	if m.hasFirstLease(w) {
		r.WaitMS = min(r.WaitMS, m.cfg.StartLeaseMS/firstLeaseShare)
	}
	r.RenewAll = clock + m.cfg.LeaseMS - m.cfg.RenewMS
	for _, ref := range sortedReferences(w.table) {
		status := w.table[ref]
		switch {
		case m.renewable(ref, status):
			m.renew(&r, w, ref, clock)
		case status.State == runner.TaskRunning:
			r.Except = append(r.Except, ref)
		case status.State.Final() && m.fresh() && !m.isActive(ref) && m.pending[ref.Job] == nil:
			r.Forget = append(r.Forget, ref)
		}
	}
	return r
}

// renew extends one attempt: with all others where its gang allows that, else
// by a lease of its own.
func (m *Model) renew(r *runner.ExchangeRequest, w *worker, ref runner.Reference, clock int64) {
	lease := m.leaseFor(w, ref)
	if clock+lease >= r.RenewAll {
		return
	}
	r.Except = append(r.Except, ref)
	if lease > 0 {
		r.Leases = append(r.Leases, runner.Lease{Job: ref.Job, Attempt: ref.Attempt, Until: clock + lease})
	}
}

// firstLeaseShare is the part of the first lease, one in so many, after which
// a worker with tasks on it is asked again.
const firstLeaseShare = 4

// hasFirstLease reports whether the worker has tasks whose first lease is not
// renewed yet. The first renewal must come before that lease ends, however
// rare renewals are.
func (m *Model) hasFirstLease(w *worker) bool {
	for ref, status := range w.table {
		if !status.State.Final() && !m.renewable(ref, status) {
			return true
		}
	}
	return false
}

// leaseFor returns for how long the attempt may go on at the worker: never
// longer than at the gang's other workers, so that the leases of a gang run out
// together when one of its workers is cut off.
func (m *Model) leaseFor(w *worker, ref runner.Reference) int64 {
	lease := m.cfg.LeaseMS
	for _, p := range m.state.Jobs[ref.Job].Active().Placements {
		if o := m.workers[p.Worker]; o != nil && o != w {
			lease = min(lease, o.grantedMS-m.at.MonoMS)
		}
	}
	return lease
}

// renewable reports whether the attempt may go on. A gang that has not started
// as a whole keeps its short first lease.
func (m *Model) renewable(ref runner.Reference, status runner.Status) bool {
	j := m.state.Jobs[ref.Job]
	if status.State != runner.TaskRunning || !m.isActive(ref) {
		return false
	}
	return j.Status == reducer.JobRunning || j.Status == reducer.JobStopping
}

func (m *Model) isActive(ref runner.Reference) bool {
	j, ok := m.state.Jobs[ref.Job]
	if !ok {
		return false
	}
	a := j.Active()
	return a != nil && a.Number == ref.Attempt
}

func (m *Model) finishExchange(msg ExchangedMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.inFlight = false
	if msg.Err != "" {
		m.failExchange(w, msg.Err)
		return
	}
	if w.sentMS > 0 {
		w.grantedMS = max(w.grantedMS, w.sentMS+m.cfg.LeaseMS)
	}
	m.takeTable(w, msg.Reply)
	if msg.Reply.Term > m.state.Term || !m.holds() {
		w.retryMS = m.at.MonoMS + minRetryMS
		return
	}
	m.reconcileWorker(w)
	m.exchange(w)
}

func (m *Model) failExchange(w *worker, reason string) {
	w.failures++
	w.lastError = reason
	limit := min(int64(minRetryMS)<<min(w.failures, 6), maxRetryMS)
	w.retryMS = m.at.MonoMS + minRetryMS + m.jitter(w, limit)
}

// jitter spreads retries over the limit without drawing a random number.
func (m *Model) jitter(w *worker, limit int64) int64 {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m.cfg.Writer, w.name, w.failures))
	return int64(h % uint64(limit))
}

func (m *Model) takeTable(w *worker, r runner.ExchangeReply) {
	rebooted := w.heard && w.boot != r.Boot
	if !rebooted && w.heard && r.Version < w.version {
		return
	}
	w.boot, w.version, w.clockMS, w.clockAtMS = r.Boot, r.Version, r.ClockMS, m.at.MonoMS
	w.heard, w.heardMS, w.failures, w.lastError = true, m.at.MonoMS, 0, ""
	if r.Unchanged {
		return
	}
	w.table = make(map[runner.Reference]runner.Status, len(r.Tasks))
	for _, t := range r.Tasks {
		w.table[runner.Reference{Job: t.Job, Attempt: t.Attempt}] = t
	}
}

// answers reports whether the worker was heard within its renewal interval.
func (m *Model) answers(w *worker) bool {
	return w.heard && m.at.MonoMS-w.heardMS <= 2*m.cfg.RenewMS+m.cfg.MarginMS
}

func (m *Model) noteSilence() {
	for _, name := range reducer.SortedKeys(m.workers) {
		w := m.workers[name]
		silent := !m.answers(w) && m.at.MonoMS-max(w.heardMS, m.holderSince) > m.cfg.LeaseMS
		back := m.answers(w)
		known := m.state.Workers[name].Silent
		if silent && !known {
			m.observe(name, true, "no answer: "+w.lastError)
		}
		if back && known {
			m.observe(name, false, "answers again")
		}
	}
}

func (m *Model) observe(name string, silent bool, reason string) {
	m.propose("worker/"+name, encoder.Entry{WorkerObserved: &encoder.WorkerObserved{Worker: name, Silent: silent, Reason: reason}})
}
