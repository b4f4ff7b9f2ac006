// Package decider is the control loop. One goroutine owns the control state;
// Update takes a message and returns the effects to carry out, whose results
// come back as further messages:
//
//	m := decider.New(cfg, state)
//	m, cmds := m.Update(decider.Instant{MonoMS: 10, WallMS: now}, decider.TickMsg{})
//
// Update reads no clock and starts nothing itself, so a recorded session of
// messages replays to the same commands.
package decider

import (
	"daisyhead/internal/control/planner"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
)

// Config holds the loop's identity and time limits, all in milliseconds.
type Config struct {
	Name string
	// Writer is Name and a nonce for this process.
	Writer string
	// LeaseMS is how long a worker runs tasks without a renewal.
	LeaseMS int64
	// RenewMS is the interval of renewals.
	RenewMS int64
	// MessageLifeMS bounds the time in which a reservation or a start must arrive.
	MessageLifeMS int64
	// HoldMS is how long a worker holds a reservation.
	HoldMS int64
	// StartWindowMS is the time in which all of a gang must have started.
	StartWindowMS int64
	// StartLeaseMS is the first lease, before the whole gang has started.
	StartLeaseMS int64
	// FreshMS is the greatest age of the fold on which anything new is decided.
	FreshMS int64
	// HolderTimeoutMS is how long the term's holder may be silent.
	HolderTimeoutMS int64
	// MemberTimeoutMS is how long a member may be silent before it is removed.
	MemberTimeoutMS int64
	// LostAfterMS is how long a worker may be silent, after a change of holder,
	// before its tasks are given up.
	LostAfterMS int64
	// MarginMS is added to every wait for a lease to run out.
	MarginMS int64
	// PlanMS is the least interval between decision passes.
	PlanMS int64
	// SnapshotMS and SnapshotRecords bound what a fresh instance has to replay.
	SnapshotMS      int64
	SnapshotRecords uint64
}

// Model is the loop's state.
type Model struct {
	cfg   Config
	state *reducer.State
	at    Instant

	caughtUp bool
	freshMS  int64
	leaving  bool

	peers   map[string]peer
	workers map[string]*worker
	pending map[string]*pending
	// clearing are the workers that are being cleared for waiting jobs.
	clearing map[string]planner.Pending
	// tried is the latest attempt number for which workers were reserved.
	tried    map[string]int
	seen     map[string]seenAttempt
	proposed map[string]bool

	// termSeen and holderName are the term and the holder that followTerm handled.
	termSeen   uint64
	holderName string
	// suspects are instances that were taken for dead, with the time.
	suspects    map[string]int64
	holderSince int64
	lastRenewMS int64
	// lastReconcileMS is when all attempts were last held against their workers.
	lastReconcileMS int64
	// holderSeenMS is when the ledger last showed that the holder lives.
	holderSeenMS int64
	workersRev   uint64
	viewRev      uint64
	plannedRev   uint64
	planned      bool
	lastPlanMS   int64
	lastViewMS   int64
	dirty        bool
	snapshotting bool
	// point is the state at the latest planned snapshot.
	point snapshotPoint
	plans uint64

	cmds []Command
}

type peer struct {
	peerencoder.Heartbeat
	heardMS int64
}

// New returns a model that goes on from the state.
func New(cfg Config, state *reducer.State) Model {
	m := Model{
		cfg: cfg, state: state, freshMS: -cfg.FreshMS - 1, viewRev: ^uint64(0), workersRev: ^uint64(0),
		peers: map[string]peer{}, workers: map[string]*worker{}, pending: map[string]*pending{},
		suspects: map[string]int64{}, tried: map[string]int{}, seen: map[string]seenAttempt{}, proposed: map[string]bool{},
	}
	m.syncWorkers()
	return m
}

// Update handles one message and returns the effects to carry out.
func (m Model) Update(at Instant, msg Msg) (Model, []Command) {
	m.at, m.cmds = at, nil
	m.handle(msg)
	m.publish()
	cmds := m.cmds
	m.cmds = nil
	return m, cmds
}

func (m *Model) handle(msg Msg) {
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case RecordsReadMsg:
		m.foldRecords(msg)
	case StateLoadedMsg:
		m.loadState(msg)
	case ConfigReadMsg:
		m.relayTickets(msg)
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
	case PeerMsg:
		m.peers[msg.Heartbeat.Name] = peer{Heartbeat: msg.Heartbeat, heardMS: m.at.MonoMS}
	case SnapshotDoneMsg:
		m.finishSnapshot(msg)
	case LeaveMsg:
		m.leaving = true
	case InspectMsg:
		msg.Read(m.state, m.liaison())
		close(msg.Done)
	}
}

func (m *Model) tick() {
	m.forgetPeers()
	m.claimTerm()
	if !m.holds() {
		return
	}
	m.changeMembers()
	m.renewTerm()
	m.watchWorkers()
	m.expirePending()
	if m.at.MonoMS-m.lastReconcileMS >= reconcileMS {
		m.reconcileAll()
	}
	m.plan()
	m.planSnapshot()
}

func (m *Model) foldRecords(msg RecordsReadMsg) {
	for _, r := range msg.Records {
		m.foldRecord(r)
	}
	if msg.CaughtUp {
		m.caughtUp = true
		m.freshMS = max(m.freshMS, msg.SentMS)
	}
	m.syncWorkers()
	m.followTerm()
	if len(msg.Records) == 0 || !m.mayDecide() {
		return
	}
	m.dirty = true
	m.reconcileAll()
	m.plan()
}

// foldRecord applies one record. A duplicate of an own batch resolves it
// without results: its fate was folded in a snapshot.
func (m *Model) foldRecord(r ReadRecord) {
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
		m.holderSeenMS = m.at.MonoMS
	}
	m.followSnapshots(r.Batch, results)
	if r.Batch.Writer == m.cfg.Writer {
		m.emit(ResolveCmd{Sequence: r.Batch.Sequence, Results: results})
	}
}

func (m *Model) loadState(msg StateLoadedMsg) {
	if msg.State.Next <= m.state.Next {
		return
	}
	m.state = msg.State
	m.viewRev, m.workersRev = ^uint64(0), ^uint64(0)
	m.syncWorkers()
	m.followTerm()
}

// holds reports whether this process holds the term.
func (m *Model) holds() bool { return m.state.Holder == m.cfg.Writer }

// fresh reports whether the fold is recent enough to act on.
func (m *Model) fresh() bool {
	return m.caughtUp && m.at.MonoMS-m.freshMS <= m.cfg.FreshMS
}

// mayDecide reports whether this process may decide anything new.
func (m *Model) mayDecide() bool { return m.holds() && m.fresh() && !m.leaving }

func (m *Model) emit(c Command) { m.cmds = append(m.cmds, c) }

// propose appends entries with the term, unless one with the same key is
// under way.
func (m *Model) propose(key string, e encoder.Entry) bool {
	if m.proposed[key] {
		return false
	}
	m.proposed[key] = true
	e.At, e.Term = m.at.WallMS, m.state.Term
	// Consecutive proposals of one message share an append.
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

func (m *Model) finishProposal(msg ProposedMsg) {
	for i, key := range msg.Keys {
		delete(m.proposed, key)
		ok := msg.Err == "" && i < len(msg.Results) && msg.Results[i].OK
		reason := msg.Err
		if msg.Err == "" && i < len(msg.Results) {
			reason = msg.Results[i].Reason
		}
		m.finishCommit(key, ok, reason)
	}
	m.dirty = true
}

func (m *Model) relayTickets(msg ConfigReadMsg) {
	if !m.mayDecide() {
		return
	}
	for _, t := range msg.Tickets {
		if t.ConfigOffset >= m.state.ConfigNext {
			m.propose(configKey(t.ConfigOffset), encoder.Entry{TicketReceived: &t})
		}
	}
}
