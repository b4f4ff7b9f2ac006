// Package scheduler decides which tasks run where. One goroutine owns the
// model; Update takes a message and returns the effects to carry out, whose
// results come back as further messages:
//
//	m := scheduler.New(cfg)
//	cmds := m.Update(scheduler.Instant{MonoMS: 10, WallMS: now}, scheduler.TickMsg{})
//
// Update reads no clock and starts nothing itself. Every instance folds the
// ledger; only the holder of the term decides. It records where a unit is
// placed before it starts any of its tasks, and what ended before it confirms
// the end to the worker, so the ledger and the workers' own lists together
// tell a successor all that may be running.
package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/tabulator"
)

// Config holds the model's identity and the platform's time limits, all in
// milliseconds.
type Config struct {
	// Instance is the instance's name, Holder adds a nonce for this process.
	Instance string
	Holder   string
	// Power is the instance's share of a core, in thousandths.
	Power int
	// LeaseMS is how long a worker runs tasks without a renewal.
	LeaseMS int64
	// GangMS is how long tasks of a gang wait for each other.
	GangMS int64
	// StopMS is how long a worker takes at most to stop a task.
	StopMS int64
	// RetainMS is how long an ended job can be asked for.
	RetainMS int64
}

// Time limits of the control loop, in milliseconds.
const (
	// holderTimeoutMS without a record of the holder lets another instance claim the
	// term: three renewals.
	holderTimeoutMS = 1500
	renewIntervalMS = 500
	// reclaimDelayMS is how long a new process lets others claim the term of its
	// predecessor first: their silenceMS, less a renewal that came before.
	reclaimDelayMS = holderTimeoutMS - renewIntervalMS
	// claimStaggerMS keeps instances from claiming at the same moment: two ticks.
	claimStaggerMS = 100
	// claimRetryMS is the pause after a claim that failed; movedPauseMS is that after
	// one that came too late for its offset: a read, and the others' ranks.
	claimRetryMS         = 300
	claimConflictRetryMS = 50
	// yieldAfterMS without a successful append lets the holder ask another
	// instance to take over: a few retries.
	yieldAfterMS = 500
	// yieldIntervalMS is the pause before the next instance is asked.
	yieldIntervalMS = 250
	// maxConfirmationAgeMS is how long a holder goes on without word from the ledger that
	// the term is still its own. A successor waits it out for workers that it
	// can't reach.
	maxConfirmationAgeMS = 4000
	// maxTableAgeMS is the greatest age of the table on which a task is started:
	// two long reads of the ledger.
	maxTableAgeMS = 2000
	// clockJumpMS between the time of day and the steady clock means that the
	// process was suspended, or that the time of day was set.
	clockJumpMS = 500
	// maxHoldWaitMS is how long a worker's answer waits for an end: the longest
	// that workers accept.
	maxHoldWaitMS = 2000
	// unresponsiveAfterMS without an answer makes a worker unfit for new tasks: one hold
	// and a retry.
	unresponsiveAfterMS = 3500
	// orderRetryMS is the pause before an unanswered order is sent again.
	orderRetryMS = 150
	// workerCooldownMS is how long a worker that refused or ignored a start is passed over.
	workerCooldownMS = 2000
	// clockDriftDivisor bounds the error of workers' clocks: 1 in so many.
	clockDriftDivisor = 50
	// leaseMarginMS is added to every wait for a lease to run out: a scheduling delay.
	leaseMarginMS = 200
	// minPassIntervalMS is the least interval between two passes, so that changes that come
	// together are decided on together.
	minPassIntervalMS = 20
	// passIntervalMS is the interval of passes that were not caused by a change.
	passIntervalMS = 100
)

// Model is the state of the control loop. Only one goroutine may use it.
type Model struct {
	Table  *tabulator.Table
	Config *describer.Configuration

	cfg Config
	now Instant

	loaded bool
	// tableAsOfMS is when the latest read that found the table complete was sent.
	tableAsOfMS  int64
	shuttingDown bool

	term termState
	// termFirstSeenMS is when this process first saw each term.
	termFirstSeenMS map[uint64]int64
	// unreachedReadMS is when this process read each worker's latest record of not
	// having been reached.
	unreachedReadMS map[string]int64
	proposer        proposer
	workers         map[string]*worker
	// fleet lists the workers by ID.
	fleet []*worker
	jobs  map[string]*job
	// pendingStores are the tickets of records that are not durable yet.
	pendingStores map[uint64]bool
	// liveJobs lists the live jobs in liveJobs of acceptance.
	liveJobs     []*job
	reservations []*reservation
	// pendingOutcomes are the outcomes of this holder that are not durable yet.
	pendingOutcomes map[string]*pendingOutcome
	// witnessedOutcomes are outcomes of other holders that are not durable yet.
	witnessedOutcomes map[string]witnessedOutcome
	dirty             bool
	lastPassMS        int64
	ended             []endedJob

	cmds []Command
}

// endedJob is a job that is forgotten at a time.
type endedJob struct {
	id       string
	forgetMS int64
}

// New returns a model that knows nothing yet.
func New(cfg Config) *Model {
	return &Model{
		Table: tabulator.New(), Config: &describer.Configuration{}, cfg: cfg,
		tableAsOfMS: -1 << 40, workers: map[string]*worker{}, jobs: map[string]*job{}, pendingStores: map[uint64]bool{}, termFirstSeenMS: map[uint64]int64{}, unreachedReadMS: map[string]int64{}, pendingOutcomes: map[string]*pendingOutcome{}, witnessedOutcomes: map[string]witnessedOutcome{},
	}
}

// Update handles one message and returns the effects to carry out.
func (m *Model) Update(at Instant, msg Msg) []Command {
	m.cmds = nil
	m.advanceClock(at)
	m.handle(msg)
	if m.deciding() {
		m.pass()
	}
	m.flush()
	return m.cmds
}

// advanceClock takes the time. After a suspension that the steady clock did not
// count, what was fresh is not so any more.
func (m *Model) advanceClock(at Instant) {
	ahead := (at.WallMS - at.MonoMS) - (m.now.WallMS - m.now.MonoMS)
	jumped := m.now != Instant{} && ahead > clockJumpMS
	m.now = at
	if !jumped {
		return
	}
	m.tableAsOfMS -= ahead
	m.proposer.confirmedMS -= ahead
	m.event("ClockJumped", "AheadMS", ahead)
}

func (m *Model) handle(msg Msg) {
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case LedgerReadMsg:
		m.readLedger(msg)
	case LedgerLoadedMsg:
		m.loadLedger(msg)
	case LedgerFailedMsg:
		m.term.silentSinceMS = m.now.MonoMS
	case ConfiguredMsg:
		m.configure(msg)
	case ListedMsg:
		m.listWorkers(msg)
	case ClaimedMsg:
		m.handleClaimed(msg)
	case AppendedMsg:
		m.handleAppended(msg)
	case HeldMsg, StartedMsg, StoppedMsg, AdvisedMsg:
		m.handleOrderResult(msg)
	case StoreMsg:
		m.store(msg)
	case WitnessMsg:
		m.rememberOutcome(msg)
	case WitnessedMsg:
		m.handleWitnessed(msg)
	case YieldMsg:
		m.term.yieldRequestedTerm = max(m.term.yieldRequestedTerm, msg.Term)
		m.claimTermIfDue()
	case LeaveMsg:
		m.releaseTerm()
	case InspectMsg:
		msg.Read(m)
		close(msg.Done)
	}
}

// handleOrderResult takes the answer to an order, unless the term is being released:
// the successor asks the workers itself.
func (m *Model) handleOrderResult(msg Msg) {
	if !m.deciding() {
		return
	}
	switch msg := msg.(type) {
	case HeldMsg:
		m.handleHeld(msg)
	case StartedMsg:
		m.handleStarted(msg)
	case StoppedMsg:
		m.handleStopped(msg)
	case AdvisedMsg:
		m.handleAdvised(msg)
	}
}

func (m *Model) tick() {
	m.claimTermIfDue()
	m.writeWitnessedOutcomes()
	if !m.deciding() {
		return
	}
	m.renewTerm()
	m.requestTakeover()
	m.checkWorkers()
	m.retryOrders()
	m.requestWitnesses()
	m.forgetJobs()
	if m.now.MonoMS-m.lastPassMS >= passIntervalMS {
		m.dirty = true
	}
}

// FreshMS returns the monotonic time as of which the table was complete.
func (m *Model) FreshMS() int64 { return m.tableAsOfMS }

// Deciding reports whether this process holds the term and has taken it over.
func (m *Model) Deciding() bool { return m.deciding() }

func (m *Model) deciding() bool { return m.term.active && !m.shuttingDown }

func (m *Model) readLedger(msg LedgerReadMsg) {
	if !m.loaded || msg.From > m.Table.Next {
		return
	}
	for i, r := range msg.Records {
		offset := msg.From + uint64(i)
		if offset < m.Table.Next {
			continue
		}
		if err := m.Table.Apply(offset, r); err != nil {
			m.event("LedgerRecordSkipped", "Offset", offset, "Error", err.Error())
			continue
		}
		m.noteTermSeen()
		if worker, ok := tabulator.UnheardWorker(r); ok {
			m.unreachedReadMS[worker] = m.now.MonoMS
		}
		m.observeRecord(r)
	}
	if msg.CaughtUp {
		m.tableAsOfMS = max(m.tableAsOfMS, msg.SentMS)
	}
	m.syncTerm()
}

// observeRecord lets the holder see what other instances have recorded.
func (m *Model) observeRecord(r tabulator.Record) {
	if id, ok := tabulator.OutcomeOf(r); ok {
		m.outcomeRecorded(id)
	}
	if tabulator.IsHolders(r) {
		m.term.silentSinceMS = m.now.MonoMS
		return
	}
	if id, ok := tabulator.JobOf(r); ok && m.term.active {
		m.syncJob(id)
	}
}

func (m *Model) loadLedger(msg LedgerLoadedMsg) {
	if m.loaded && msg.Table.Next <= m.Table.Next {
		return
	}
	m.Table, m.loaded, m.tableAsOfMS = msg.Table, true, max(m.tableAsOfMS, msg.SentMS)
	m.term.silentSinceMS = m.now.MonoMS
	for worker := range m.Table.Unheard {
		m.unreachedReadMS[worker] = m.now.MonoMS
	}
	m.event("LedgerLoaded", "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs), "Term", m.Table.Term.Number)
	m.syncTerm()
	if m.term.active {
		m.syncJobs()
	}
}

func (m *Model) configure(msg ConfiguredMsg) {
	m.Config = msg.Configuration
	m.dirty = true
}

func (m *Model) emit(c Command) { m.cmds = append(m.cmds, c) }

func (m *Model) event(name string, fields ...any) {
	m.emit(EventCmd{Name: name, Fields: fields})
}
