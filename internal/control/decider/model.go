// Package decider implements the control loop. One goroutine owns the control state.
// Update handles a message and returns commands to execute, whose results come back
// as further messages:
//
//	m := decider.New(cfg, state)
//	m, cmds := m.Update(decider.Instant{MonoMS: 10, WallMS: now}, decider.TickMsg{})
//
// Update reads no clock and has no side effects outside the model, so replaying
// recorded messages yields the same commands.
package decider

import (
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
)

// Config holds the loop's identity, its time limits in milliseconds and its other
// limits.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Writer identifies this process as a writer of the ledger: Name and a nonce.
	Writer string
	// LeaseMS is the duration of a lease: how long a worker runs tasks without a renewal.
	LeaseMS int64
	// RenewMS is the interval between lease renewals.
	RenewMS int64
	// MessageLifeMS is the time within which a reservation or start request must reach
	// the worker. Workers reject later ones.
	MessageLifeMS int64
	// HoldMS is how long a worker keeps a reservation that is not started.
	HoldMS int64
	// StartWindowMS is the time within which every worker of a gang must have started.
	StartWindowMS int64
	// StartLeaseMS is the duration of the initial lease, which applies until the whole
	// gang has started.
	StartLeaseMS int64
	// MaxStateAgeMS is the maximum age of the state on which new decisions may be based.
	MaxStateAgeMS int64
	// HolderTimeoutMS is how long the term's holder may be silent before another
	// instance claims the next term.
	HolderTimeoutMS int64
	// MemberTimeoutMS is how long a member may be silent before it is removed.
	MemberTimeoutMS int64
	// LostAfterMS is how long a worker may be silent after a change of holder before
	// its tasks are considered lost. It must cover every lease that the previous holder
	// can have granted.
	LostAfterMS int64
	// MarginMS is a safety margin added to every wait for a lease to expire.
	MarginMS int64
	// PlanMS is the minimum interval between planning passes.
	PlanMS int64
	// SnapshotMS and SnapshotRecords limit the age and the number of records since the
	// last snapshot, and so how much a new instance has to replay.
	SnapshotMS      int64
	SnapshotRecords uint64
}

// Model is the state of the control loop. Update is its only entry point.
type Model struct {
	cfg   Config
	state *reducer.State
	// now is the time of the message that is being handled.
	now Instant

	// caughtUp is set once a read has reached the end of the ledger.
	caughtUp bool
	// stateAsOfMS is the monotonic time as of which the state was up to date.
	stateAsOfMS int64
	// shuttingDown is set once a graceful shutdown has started.
	shuttingDown bool

	peers        map[string]peer
	workers      map[string]*worker
	pendingGangs map[string]*pendingGang
	// preemptionHolds holds, by waiting job, the workers that the planner keeps for it
	// while other jobs are stopped there.
	preemptionHolds map[string]planner.Assignment
	// lastTriedAttempt is, by job, the latest attempt number for which reservations were
	// requested.
	lastTriedAttempt map[string]int
	activeAttempts   map[string]activeAttempt
	// proposalsInFlight holds the keys of proposals whose results have not arrived yet.
	proposalsInFlight map[string]bool

	// handledTerm and handledHolder are the latest term and holder that
	// handleTermChange processed.
	handledTerm   uint64
	handledHolder string
	// formerHolders maps the names of instances that lost the term to the time of the loss.
	// They may still be running. An entry is removed when the instance is heard
	// again, or after silentPeerExpiryMS.
	formerHolders     map[string]int64
	holderSinceMS     int64
	lastTermRenewalMS int64
	// lastReconcileMS is when all attempts were last compared with their workers' reports.
	lastReconcileMS int64
	// lastHolderRecordMS is when a record of the current holder, or a change of term, was
	// last applied.
	lastHolderRecordMS int64
	// syncedRevision, publishedRevision and plannedRevision are the revisions of the
	// state at the last sync of the workers, published view and planning pass.
	syncedRevision    uint64
	publishedRevision uint64
	plannedRevision   uint64
	// plannedThisTerm is set after this process's first planning pass in its term. That pass
	// doesn't wait for the planning intervals.
	plannedThisTerm bool
	lastPlanMS      int64
	lastPublishMS   int64
	planNeeded      bool
	// snapshotInProgress is set while this process writes a snapshot. No other is planned
	// meanwhile.
	snapshotInProgress bool
	// snapshotChecksum is the checksum of the state at the latest planned snapshot.
	snapshotChecksum stateChecksum
	// planCount counts the planning passes of this process.
	planCount uint64

	cmds []Command
}

// peer is the last heartbeat of another instance and when it arrived.
type peer struct {
	peerencoder.Heartbeat
	lastHeardMS int64
}

// New returns a model that continues from the given state.
func New(cfg Config, state *reducer.State) Model {
	m := Model{
		cfg: cfg, state: state, stateAsOfMS: -cfg.MaxStateAgeMS - 1, publishedRevision: ^uint64(0), syncedRevision: ^uint64(0),
		peers: map[string]peer{}, workers: map[string]*worker{}, pendingGangs: map[string]*pendingGang{},
		formerHolders: map[string]int64{}, lastTriedAttempt: map[string]int{}, activeAttempts: map[string]activeAttempt{}, proposalsInFlight: map[string]bool{},
	}
	m.syncWorkers()
	return m
}

// Update handles one message and returns the commands to execute.
func (m Model) Update(at Instant, msg Msg) (Model, []Command) {
	m.now, m.cmds = at, nil
	m.handle(msg)
	m.publish()
	cmds := m.cmds
	m.cmds = nil
	return m, cmds
}

// handle dispatches a message by its type.
func (m *Model) handle(msg Msg) {
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case RecordsReadMsg:
		m.applyRecords(msg)
	case StateLoadedMsg:
		m.loadState(msg)
	case ConfigReadMsg:
		m.proposeTickets(msg)
	case ProposedMsg:
		m.finishProposal(msg)
	case ExchangedMsg:
		m.finishExchange(msg)
	case ReservedMsg:
		m.finishReservation(msg)
	case StartedMsg:
		m.finishWorkerReply(msg.Worker, "start", msg.Job, msg.Attempt, msg.Reply, msg.Err)
	case StoppedMsg:
		m.finishWorkerReply(msg.Worker, "stop", msg.Job, msg.Attempt, msg.Reply, msg.Err)
	case HeartbeatMsg:
		m.peers[msg.Heartbeat.Name] = peer{Heartbeat: msg.Heartbeat, lastHeardMS: m.now.MonoMS}
	case SnapshotWrittenMsg:
		m.finishSnapshot(msg)
	case ShutdownMsg:
		m.shuttingDown = true
	case InspectMsg:
		msg.Read(m.state, m.copyStatus())
		close(msg.Done)
	}
}

// tick does the periodic work. All but the first two steps are only for the holder.
func (m *Model) tick() {
	m.prunePeers()
	m.claimTerm()
	if !m.isHolder() {
		return
	}
	m.proposeMembers()
	m.renewTerm()
	m.pollWorkers()
	m.expireReservations()
	if m.now.MonoMS-m.lastReconcileMS >= reconcileIntervalMS {
		m.reconcileAll()
	}
	m.planIfDue()
	m.planSnapshot()
}

// applyRecords applies the records of one read, and then decides on the new state.
func (m *Model) applyRecords(msg RecordsReadMsg) {
	for _, r := range msg.Records {
		m.applyRecord(r)
	}
	if msg.CaughtUp {
		m.caughtUp = true
		m.stateAsOfMS = max(m.stateAsOfMS, msg.SentMS)
	}
	m.syncWorkers()
	m.handleTermChange()
	if len(msg.Records) == 0 || !m.mayDecide() {
		return
	}
	m.planNeeded = true
	m.reconcileAll()
	m.planIfDue()
}

// applyRecord applies one record and delivers the results of a batch that this process
// wrote. For a duplicate it delivers none: the batch took effect earlier, and if that was
// in a snapshot that was loaded, its results are not known.
func (m *Model) applyRecord(r ReadRecord) {
	if r.Offset < m.state.Next {
		return
	}
	if r.Fault != "" {
		m.state.Skip(r.Offset)
		m.emit(AlarmCmd{Name: "UnreadableRecord", Detail: r.Fault})
		return
	}
	results := m.state.Apply(r.Offset, r.Batch)
	if r.Batch.Writer == m.state.Holder {
		m.lastHolderRecordMS = m.now.MonoMS
	}
	m.handleSnapshotEntries(r.Batch, results)
	if r.Batch.Writer == m.cfg.Writer {
		m.emit(ResolveCmd{Sequence: r.Batch.Sequence, Results: results})
	}
}

// loadState replaces the state unless the new one covers no more records.
func (m *Model) loadState(msg StateLoadedMsg) {
	if msg.State.Next <= m.state.Next {
		return
	}
	m.state = msg.State
	m.publishedRevision, m.syncedRevision = ^uint64(0), ^uint64(0)
	m.syncWorkers()
	m.handleTermChange()
}

// isHolder reports whether this process holds the current term.
func (m *Model) isHolder() bool { return m.state.Holder == m.cfg.Writer }

// stateIsFresh reports whether the state is recent enough to base decisions on.
func (m *Model) stateIsFresh() bool {
	return m.caughtUp && m.now.MonoMS-m.stateAsOfMS <= m.cfg.MaxStateAgeMS
}

// mayDecide reports whether this process may make new decisions.
func (m *Model) mayDecide() bool { return m.isHolder() && m.stateIsFresh() && !m.shuttingDown }

func (m *Model) emit(c Command) { m.cmds = append(m.cmds, c) }

// propose appends an entry with the current term, unless a proposal with the same key
// is in flight. It reports whether the entry was proposed.
func (m *Model) propose(key string, e encoder.Entry) bool {
	if m.proposalsInFlight[key] {
		return false
	}
	m.proposalsInFlight[key] = true
	e.At, e.Term = m.now.WallMS, m.state.Term
	// Consecutive proposals made while handling one message share an append.
	if n := len(m.cmds); n > 0 {
		if last, ok := m.cmds[n-1].(ProposeCmd); ok {
			last.Keys = append(last.Keys, key)
			last.Entries = append(last.Entries, e)
			m.cmds[n-1] = last
			return true
		}
	}
	m.emit(ProposeCmd{Keys: []string{key}, Entries: []encoder.Entry{e}})
	return true
}

// finishProposal handles the results of proposals. Only the commit of a pending gang needs
// further steps.
func (m *Model) finishProposal(msg ProposedMsg) {
	for i, key := range msg.Keys {
		delete(m.proposalsInFlight, key)
		ok := msg.Err == "" && i < len(msg.Results) && msg.Results[i].OK
		reason := msg.Err
		if msg.Err == "" && i < len(msg.Results) {
			reason = msg.Results[i].Reason
		}
		m.finishCommit(key, ok, reason)
	}
	m.planNeeded = true
}

// proposeTickets proposes the tickets that the state does not include yet.
func (m *Model) proposeTickets(msg ConfigReadMsg) {
	if !m.mayDecide() {
		return
	}
	for _, t := range msg.Tickets {
		if t.ConfigOffset >= m.state.ConfigNext {
			m.propose(configKey(t.ConfigOffset), encoder.Entry{TicketReceived: &t})
		}
	}
}
