package decider

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/runner"
)

// Delays after a failed request to a worker.
const (
	minRetryDelayMS = 200
	maxRetryDelayMS = 5000
	// refusalBackoffMS is how long no job is placed on a worker that did not reserve.
	refusalBackoffMS = 2000
)

// worker holds what the holder has learned about one worker from its own exchanges.
type worker struct {
	name    string
	address string
	bootID  string
	// clockMS is the worker's clock as reported in the reply received at the monotonic
	// time clockAtMS. The actual clock may have been ahead by the network delay.
	clockMS   int64
	clockAtMS int64
	// version is the version of the statuses that the worker last reported.
	version     uint64
	lastHeardMS int64
	// heard is set once the worker has replied to this holder in this term.
	heard            bool
	exchangeInFlight bool
	// failures counts the failed exchanges since the last reply.
	failures int
	// retryAtMS is the earliest time of the next exchange.
	retryAtMS int64
	// avoidUntilMS is the time until which no job is placed on the worker.
	avoidUntilMS int64
	lastError    string
	// maxLeaseEndMS is the latest time at which any lease sent so far can end.
	maxLeaseEndMS int64
	// confirmedLeaseEndMS is when the leases that the worker has confirmed end.
	confirmedLeaseEndMS int64
	// renewalSentMS is when the renewal in flight was sent, or 0 if the exchange in
	// flight renews nothing.
	renewalSentMS int64
	statuses      map[runner.Reference]runner.Status
}

// ControlStatus is a copy of what this instance knows about workers, pending starts and
// peers.
type ControlStatus struct {
	IsHolder       bool
	StateAgeMS     int64
	Workers        map[string]WorkerView
	PendingReasons map[string]string
	Peers          map[string]PeerView
	PlanCount      uint64
}

// WorkerView describes one worker according to its last reply to the holder.
type WorkerView struct {
	Heard      bool
	HeardAgoMS int64
	Boot       string
	Tasks      int
	LastError  string
}

// PeerView describes another instance according to its last heartbeat.
type PeerView struct {
	peerencoder.Heartbeat
	HeardAgoMS int64
}

// copyStatus returns a copy of the status for InspectMsg.
func (m *Model) copyStatus() ControlStatus {
	status := ControlStatus{
		IsHolder: m.isHolder(), StateAgeMS: m.now.MonoMS - m.stateAsOfMS, PlanCount: m.planCount,
		Workers: map[string]WorkerView{}, PendingReasons: map[string]string{}, Peers: map[string]PeerView{},
	}
	for name, w := range m.workers {
		status.Workers[name] = WorkerView{Heard: w.heard, HeardAgoMS: m.now.MonoMS - w.lastHeardMS, Boot: w.bootID, Tasks: len(w.statuses), LastError: w.lastError}
	}
	for id, p := range m.pendingGangs {
		status.PendingReasons[id] = p.reason
	}
	for name, p := range m.peers {
		status.Peers[name] = PeerView{Heartbeat: p.Heartbeat, HeardAgoMS: m.now.MonoMS - p.lastHeardMS}
	}
	return status
}

// resetForTerm discards what earlier replies told. leaseEnd is when every lease that an
// earlier holder can have granted has ended.
func (w *worker) resetForTerm(leaseEnd int64) {
	w.heard, w.version, w.failures, w.retryAtMS, w.avoidUntilMS = false, 0, 0, 0, 0
	w.statuses = map[runner.Reference]runner.Status{}
	w.maxLeaseEndMS, w.confirmedLeaseEndMS, w.renewalSentMS = leaseEnd, leaseEnd, 0
}

// clockAt returns a lower bound of the worker's clock at nowMS.
func (w *worker) clockAt(nowMS int64) int64 { return w.clockMS + nowMS - w.clockAtMS }

// syncWorkers updates the set of workers from the worker groups in the state.
func (m *Model) syncWorkers() {
	if m.syncedRevision == m.state.Revision {
		return
	}
	m.syncedRevision = m.state.Revision
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

// syncWorker adds the worker, or replaces its entry if its address has changed.
func (m *Model) syncWorker(name, address string) {
	w, ok := m.workers[name]
	if ok && w.address == address {
		return
	}
	w = &worker{name: name, address: address, exchangeInFlight: ok && w.exchangeInFlight}
	w.resetForTerm(m.now.MonoMS + m.cfg.LostAfterMS)
	m.workers[name] = w
}

// pollWorkers keeps one exchange in flight with each worker and records which of them
// are silent.
func (m *Model) pollWorkers() {
	for _, name := range reducer.SortedKeys(m.workers) {
		m.exchange(m.workers[name])
	}
	if m.mayDecide() {
		m.recordSilence()
	}
}

// exchange sends the next exchange request. Renewals continue while the ledger cannot
// be read, as long as no other instance can have taken over the workers.
func (m *Model) exchange(w *worker) {
	if w.exchangeInFlight || m.now.MonoMS < w.retryAtMS || !m.mayRenewLeases() {
		return
	}
	w.exchangeInFlight, w.renewalSentMS = true, 0
	if w.renewsLeases() {
		w.renewalSentMS = m.now.MonoMS
		w.maxLeaseEndMS = max(w.maxLeaseEndMS, m.now.MonoMS+m.cfg.LeaseMS)
	}
	m.emit(ExchangeCmd{Worker: w.name, Address: w.address, Request: m.exchangeRequest(w)})
}

// renewsLeases reports whether the next exchange renews leases. After a failure it only
// probes the worker: renewals sent to a silent worker would keep postponing the time
// at which all its leases are known to have expired.
func (w *worker) renewsLeases() bool { return w.heard && w.failures == 0 }

// mayRenewLeases reports whether leases may be extended. Without access to the ledger,
// they may be for a bounded time, and for longer only while every other member sends
// heartbeats that report the same outage.
func (m *Model) mayRenewLeases() bool {
	if !m.isHolder() {
		return false
	}
	age := m.now.MonoMS - m.stateAsOfMS
	if age <= m.cfg.LostAfterMS-m.cfg.LeaseMS-m.cfg.MarginMS {
		return true
	}
	return m.ledgerOutageAgreed()
}

// ledgerOutageAgreed reports whether every other member sends heartbeats that say that it
// cannot read the ledger either, and none of them has seen a later term.
func (m *Model) ledgerOutageAgreed() bool {
	for _, name := range m.state.Members {
		if name == m.cfg.Name {
			continue
		}
		p, ok := m.peers[name]
		if !ok || m.now.MonoMS-p.lastHeardMS > m.cfg.HolderTimeoutMS {
			return false
		}
		if p.Term > m.state.Term || p.LogAgeMS <= m.cfg.MaxStateAgeMS {
			return false
		}
	}
	return true
}

// exchangeRequest returns a request that renews the leases of all attempts that may
// continue, and tells the worker which ended attempts it may forget. The worker waits
// up to WaitMS for a change before it replies.
func (m *Model) exchangeRequest(w *worker) runner.ExchangeRequest {
	r := runner.ExchangeRequest{Term: m.state.Term, Boot: w.bootID, Since: w.version, WaitMS: m.cfg.RenewMS}
	if !w.renewsLeases() {
		r.WaitMS = 0
		return r
	}
	clock := w.clockAt(m.now.MonoMS)
	if m.awaitsFirstRenewal(w) {
		r.WaitMS = min(r.WaitMS, m.cfg.StartLeaseMS/firstRenewalDivisor)
	}
	// RenewAll ends one renewal interval early, so that it doesn't outlast the leases of gang
	// members that were renewed up to one interval ago.
	r.RenewAll = clock + m.cfg.LeaseMS - m.cfg.RenewMS
	for _, ref := range sortedReferences(w.statuses) {
		status := w.statuses[ref]
		switch {
		case m.renewable(ref, status):
			m.addRenewal(&r, w, ref, clock)
		case status.State == runner.TaskRunning:
			r.Except = append(r.Except, ref)
		case status.State.Final() && m.stateIsFresh() && !m.isActive(ref) && m.pendingGangs[ref.Job] == nil:
			r.Forget = append(r.Forget, ref)
		}
	}
	return r
}

// addRenewal adds the renewal of one attempt to the request. The attempt is covered by
// RenewAll unless its gang allows only a shorter lease, which is then listed separately.
func (m *Model) addRenewal(r *runner.ExchangeRequest, w *worker, ref runner.Reference, clock int64) {
	lease := m.leaseDuration(w, ref)
	if clock+lease >= r.RenewAll {
		return
	}
	r.Except = append(r.Except, ref)
	if lease > 0 {
		r.Leases = append(r.Leases, runner.Lease{Job: ref.Job, Attempt: ref.Attempt, Until: clock + lease})
	}
}

// firstRenewalDivisor divides the initial lease: a worker with tasks on an initial lease
// is asked again after this fraction of it.
const firstRenewalDivisor = 4

// awaitsFirstRenewal reports whether the worker has tasks whose initial lease has not been
// renewed yet. The first renewal must arrive before that lease ends, however long the
// renewal interval is.
func (m *Model) awaitsFirstRenewal(w *worker) bool {
	for ref, status := range w.statuses {
		if !status.State.Final() && !m.renewable(ref, status) {
			return true
		}
	}
	return false
}

// leaseDuration returns the lease that the attempt may get on the worker. It never ends
// later than the confirmed leases of the gang's other workers, so that all leases of a
// gang expire together when one of its workers becomes unreachable.
func (m *Model) leaseDuration(w *worker, ref runner.Reference) int64 {
	lease := m.cfg.LeaseMS
	for _, p := range m.state.Jobs[ref.Job].ActiveAttempt().Placements {
		if o := m.workers[p.Worker]; o != nil && o != w {
			lease = min(lease, o.confirmedLeaseEndMS-m.now.MonoMS)
		}
	}
	return lease
}

// renewable reports whether the attempt's lease may be renewed. A gang that has not
// fully started keeps its short initial lease.
func (m *Model) renewable(ref runner.Reference, status runner.Status) bool {
	j := m.state.Jobs[ref.Job]
	if status.State != runner.TaskRunning || !m.isActive(ref) {
		return false
	}
	return j.Status == reducer.JobRunning || j.Status == reducer.JobStopping
}

// isActive reports whether the reference names the active attempt of its job.
func (m *Model) isActive(ref runner.Reference) bool {
	j, ok := m.state.Jobs[ref.Job]
	if !ok {
		return false
	}
	a := j.ActiveAttempt()
	return a != nil && a.Number == ref.Attempt
}

// finishExchange handles the reply to an exchange, or its error, and sends the next
// exchange.
func (m *Model) finishExchange(msg ExchangedMsg) {
	w, ok := m.workers[msg.Worker]
	if !ok {
		return
	}
	w.exchangeInFlight = false
	if msg.Err != "" {
		m.scheduleRetry(w, msg.Err)
		return
	}
	if w.renewalSentMS > 0 {
		w.confirmedLeaseEndMS = max(w.confirmedLeaseEndMS, w.renewalSentMS+m.cfg.LeaseMS)
	}
	m.storeExchangeReply(w, msg.Reply)
	if msg.Reply.Term > m.state.Term || !m.isHolder() {
		w.retryAtMS = m.now.MonoMS + minRetryDelayMS
		return
	}
	m.reconcileWorker(w)
	m.exchange(w)
}

// scheduleRetry delays the next exchange, with exponential backoff and jitter.
func (m *Model) scheduleRetry(w *worker, reason string) {
	w.failures++
	w.lastError = reason
	limit := min(int64(minRetryDelayMS)<<min(w.failures, 6), maxRetryDelayMS)
	w.retryAtMS = m.now.MonoMS + minRetryDelayMS + m.jitter(w, limit)
}

// jitter returns a delay in [0, limit) that varies by instance, worker and number of
// failures. It hashes these instead of drawing a random number, so that Update stays
// deterministic.
func (m *Model) jitter(w *worker, limit int64) int64 {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", m.cfg.Writer, w.name, w.failures))
	return int64(h % uint64(limit))
}

// storeExchangeReply stores the statuses of a reply unless it is older than the last one.
func (m *Model) storeExchangeReply(w *worker, r runner.ExchangeReply) {
	rebooted := w.heard && w.bootID != r.Boot
	if !rebooted && w.heard && r.Version < w.version {
		return
	}
	w.bootID, w.version, w.clockMS, w.clockAtMS = r.Boot, r.Version, r.ClockMS, m.now.MonoMS
	w.heard, w.lastHeardMS, w.failures, w.lastError = true, m.now.MonoMS, 0, ""
	if r.Unchanged {
		return
	}
	w.statuses = make(map[runner.Reference]runner.Status, len(r.Tasks))
	for _, t := range r.Tasks {
		w.statuses[runner.Reference{Job: t.Job, Attempt: t.Attempt}] = t
	}
}

// isResponsive reports whether the worker has replied within two renewal intervals plus
// the margin.
func (m *Model) isResponsive(w *worker) bool {
	return w.heard && m.now.MonoMS-w.lastHeardMS <= 2*m.cfg.RenewMS+m.cfg.MarginMS
}

// recordSilence proposes an observation for each worker that has fallen silent or replies
// again.
func (m *Model) recordSilence() {
	for _, name := range reducer.SortedKeys(m.workers) {
		w := m.workers[name]
		silentTooLong := !m.isResponsive(w) && m.now.MonoMS-max(w.lastHeardMS, m.holderSinceMS) > m.cfg.LeaseMS
		responsive := m.isResponsive(w)
		recordedSilent := m.state.Workers[name].Silent
		if silentTooLong && !recordedSilent {
			m.proposeObservation(name, true, "no answer: "+w.lastError)
		}
		if responsive && recordedSilent {
			m.proposeObservation(name, false, "answers again")
		}
	}
}

func (m *Model) proposeObservation(name string, silent bool, reason string) {
	m.propose("worker/"+name, encoder.Entry{WorkerObserved: &encoder.WorkerObserved{Worker: name, Silent: silent, Reason: reason}})
}
