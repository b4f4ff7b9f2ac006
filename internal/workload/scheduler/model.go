// Package scheduler decides which tasks run on which workers. One goroutine owns the
// model. Update takes a message and returns the commands to execute; their results come
// back as further messages:
//
//	m := scheduler.New(cfg)
//	cmds := m.Update(scheduler.Instant{MonoMS: 10, WallMS: now}, scheduler.TickMsg{})
//
// Update reads no clock and performs no I/O. All instances read the same ledger and
// apply its records to their own tables, but only one of them, the holder of the
// current term, makes decisions. It records the placement of a unit, which is a single
// task or a gang, before it starts any of the unit's tasks, and the end of a task
// before it confirms that end to the worker. The ledger and the workers' own task lists
// therefore tell a successor everything that may be running.
//
// A term is a numbered period in which one process, the holder, makes the decisions. A
// process claims the next term by writing a term record, of which the ledger stores only
// the first for each term. A process that reads its own record there has therefore read
// everything that earlier holders wrote. The holder renews its term regularly, and other
// instances claim the next one when the renewals stop, the most powerful one first.
//
// A hold is the holder's regular request to a worker. It extends the lease on the
// worker's tasks, confirms the ends that are durable, and is answered by a report of the
// tasks that run or have ended.
//
// A pass goes through the steps with waiting units in order of rank and places as many
// of these units as fit. If urgent work does not fit, a pass may stop other work for it
// and reserve the capacity until that becomes free.
package scheduler

import (
	"daisyhead/internal/workload/accountant"
	"daisyhead/internal/workload/calibrator"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/throttler"
)

// Config holds the identity of this process and the platform's time limits, which are
// in milliseconds.
type Config struct {
	// Instance is the name of the instance. Holder is that name with a suffix that is
	// unique to this process.
	Instance string
	Holder   string
	// Power is the instance's share of a core, in thousandths.
	Power int
	// LeaseMS is how long a worker keeps running its tasks without a lease renewal.
	LeaseMS int64
	// GangMS is how long the tasks of a gang wait for each other after the start.
	GangMS int64
	// StopMS is the longest time that a worker takes to stop a task.
	StopMS int64
	// ReclaimMS is the time in which urgent work within its workspace's guarantee has to begin.
	ReclaimMS int64
	// RetainMS is how long callers can query a job after its end.
	RetainMS int64
	// LimitTolerance is the part of a workspace's limit by which it may be exceeded.
	LimitTolerance float64
	// ShareWindowMS is the window in which a workspace's new jobs are counted for its share; 0
	// counts as defaultShareWindowMS.
	ShareWindowMS int64
}

// Time limits of the control loop, in milliseconds.
const (
	// holderTimeoutMS is the time without a record of the holder after which another
	// instance claims the term, whether or not the holder answers. Slow appends of the
	// holder should not exceed it.
	holderTimeoutMS = 1500
	renewIntervalMS = 250
	// reclaimDelayMS is how long a new process waits before it claims the term that an
	// earlier process of the same instance held, so that other instances can claim it
	// first. Their timeout counts from the last renewal, which came up to
	// renewIntervalMS before this process started.
	reclaimDelayMS = holderTimeoutMS - renewIntervalMS
	// claimStaggerMS is the difference between the claim delays of two instances with
	// successive ranks, which keeps them from claiming simultaneously: two ticks.
	claimStaggerMS = 100
	// lowRankStaggerMS is that difference for ranks from lowRank on. In a large fleet,
	// the last ranks would otherwise wait for too long.
	lowRankStaggerMS = 20
	// firstClaimDelayMS is the delay of the first claim of all. All instances start
	// within 300 ms, and should know each other before the most powerful one claims.
	firstClaimDelayMS = 500
	// claimRetryMS is the pause after a claim.
	claimRetryMS = 300
	// yieldAfterMS is the time without a successful append after which the holder asks
	// another instance to take over: a few append retries. It doubles with each recent
	// change of the holder, at most maxYieldShift times, unless appends fail at once.
	yieldAfterMS  = 500
	maxYieldShift = 3
	// yieldIntervalMS is the pause before the holder asks the next instance.
	yieldIntervalMS = 250
	// refusedYieldAfterMS replaces yieldAfterMS if appends fail at once: two retries.
	// refusedYieldIntervalMS is then the pause between the first fastYields requests.
	refusedYieldAfterMS    = 300
	refusedYieldIntervalMS = 100
	fastYields             = 8
	// sharedOutageSilenceMS is for how long an instance that was asked to take over lets the
	// holder write nothing if it could not read the ledger itself within recentOutageMS:
	// after an outage for all, the holder can go on as soon as its call in flight has ended.
	sharedOutageSilenceMS = 1000
	recentOutageMS        = 2000
	// offerIntervalMS is the time after which a holder with little power asks a more
	// powerful instance to take over: the time of a take-over.
	offerIntervalMS = 1000
	// maxProbeMS is the longest time that an append may take at an instance that takes
	// over because the holder's appends take too long: half of yieldAfterMS.
	maxProbeMS = yieldAfterMS / 2
	// recentTermMS is how long a change of the holder counts as recent. It covers the
	// time that a new holder needs to reach the workers and to catch up.
	recentTermMS = 20000
	// quietTerms is the number of recent terms that don't prolong the silence after
	// which the term is claimed; each further one adds termPenaltyMS, at most
	// maxTermPenaltyMS in all.
	quietTerms       = 3
	termPenaltyMS    = 500
	maxTermPenaltyMS = 2000
	// maxConfirmationAgeMS is how long a holder keeps extending leases after the ledger
	// last confirmed its term. A successor adds this time to the lease of a worker that
	// it can't reach.
	maxConfirmationAgeMS = 4000
	// maxTableAgeMS is the maximum age of the table at which tasks are started: the
	// time of two slow ledger reads.
	maxTableAgeMS = 2000
	// maxListAgeMS is the maximum age of the list of workers at which tasks are started: a
	// read that waits until it times out, and its retries. It is shorter than the time for
	// which the platform still counts a capacity that has shrunk.
	maxListAgeMS = 3000
	// maxSendDelayMS is how long after the decision a start or a claim may be sent. A
	// process that is paused in between no longer knows whether it is allowed.
	maxSendDelayMS = 500
	// clockJumpMS is the least advance of the wall clock over the monotonic clock that
	// counts as a jump: the process was suspended, or the wall clock was set.
	clockJumpMS = 500
	// maxHoldWaitMS is how long a worker may wait for a task to end before it answers a
	// hold: the longest wait that workers accept.
	maxHoldWaitMS = 2000
	// silentAfterMS is the time without an answer after which a worker counts as silent
	// and gets no new tasks: one hold and a retry.
	silentAfterMS = 3500
	// maxOrderWayMS is the longest time after which an order that is answered was executed:
	// the time for which its sender waits.
	maxOrderWayMS = 300
	// orderRetryMS is the pause before an unanswered order or append is sent again.
	orderRetryMS = 150
	// workerCooldownMS is how long a worker gets no new tasks after it refused or did
	// not confirm a start. It is also the pause before the next hold after another
	// incarnation of the worker answered one.
	workerCooldownMS = 2000
	// clockDriftDivisor limits the assumed drift of the workers' clocks: they run fast or
	// slow by at most one part in this many.
	clockDriftDivisor = 50
	// leaseMarginMS is added to every wait for the expiry of a lease, to cover
	// scheduling delays.
	leaseMarginMS = 200
	// minPassIntervalMS is the least interval between two scheduling passes, so that
	// one pass covers several changes that arrive together.
	minPassIntervalMS = 20
	// passPauseFactor times the duration of a pass is the least interval to the next
	// one, up to maxPassPauseMS. The rest of the time is left for orders and answers.
	passPauseFactor = 2
	maxPassPauseMS  = 200
	// passIntervalMS is the interval between scheduling passes when nothing has
	// changed.
	passIntervalMS = 100
)

// Model is the state of the control loop. It must be used from one goroutine only.
type Model struct {
	// Table is what the ledger's records up to Table.Next add up to.
	Table *reducer.Table
	// Config is the latest configuration that the operators have published.
	Config *describer.Configuration

	cfg Config
	now Instant
	// clockJumps are what the monotonic clock has not counted, in the order of their
	// detection.
	clockJumps []clockJump
	// suspendedMS is the time of suspension that they account for.
	suspendedMS int64

	// loaded is set once the table has been loaded from the ledger.
	loaded bool
	// tableAsOfMS is the monotonic time as of which the table was known to be complete.
	tableAsOfMS int64
	// listAsOfMS is the monotonic time as of which the list of workers was known.
	listAsOfMS int64
	// listSinceMS is since when the list has been read without a gap.
	listSinceMS  int64
	shuttingDown bool

	term termState
	// termFirstSeenMS is when this process first saw each term. termBegunMS is a time at
	// which each term had begun, which may be before the start of this process.
	termFirstSeenMS map[uint64]int64
	termBegunMS     map[uint64]int64
	// termAge bounds the age of the latest term from above.
	termAge termAgeBound
	// lostTermMS is when this process last saw each instance lose the term.
	lostTermMS map[string]int64
	// lateStartsReadMS is, for each unit whose record tells for how long its starts may be
	// executed, when this process read that record.
	lateStartsReadMS map[reducer.UnitID]int64
	closings         closings
	// unreachedReadMS is, for each worker, when this process read the latest record
	// saying that a holder has not reached the worker.
	unreachedReadMS map[string]int64
	liveness        liveness
	latency         ledgerLatency
	proposer        proposer
	// orders queues the orders to workers. It outlives a term, because orders of an
	// earlier one may still be in flight.
	orders throttler.Throttler[queuedOrder]
	// passPacedMS is when a pass was last ended early because of queued starts.
	passPacedMS int64
	// droppedUnsent and passesPaced are counters for metrics.
	droppedUnsent, passesPaced int

	workers map[string]*worker
	// speeds compares the workers' speeds. It outlives a term.
	speeds calibrator.Calibrator
	// sequencing decides the order of waiting work when capacity is short.
	sequencing sequencing
	// speedsRecordedMS is when this holder last compared the speeds with their record.
	speedsRecordedMS int64
	// speedsRecordedKnown is how many workers were known then.
	speedsRecordedKnown int
	// lateStarts are runs that were removed while their starts could still reach the
	// workers.
	lateStarts []*run
	// lateStartCounts counts them for each worker that has any.
	lateStartCounts map[string]int
	// unsettled are running units that are not recorded as settled, or whose runs were not all
	// reported yet.
	unsettled []*unit
	// accounts holds what each workspace uses: its runs, its late starts and left.
	accounts accountant.Accounts
	// left are runs of ended jobs that may be present on workers that have not answered yet.
	left []*leftRuns
	// shares counts the jobs in the table by their acceptance.
	shares accountant.Shares
	// fleet lists the workers by ID.
	fleet []*worker
	jobs  map[string]*job
	// pendingStores holds the request IDs of callers' records that are not durable yet.
	pendingStores map[uint64]bool
	// heldStores are callers' records that are not proposed before the append in flight has
	// been answered.
	heldStores []StoreMsg
	// liveJobs lists the live jobs in the order of their acceptance.
	liveJobs     []*job
	reservations []*reservation
	// backfills is the capacity that is kept for gangs, in the order of its choice.
	backfills []*backfill
	// unconfirmedCrashes are the units with crashes that may still turn out to be none.
	unconfirmedCrashes []*unit
	// pendingOutcomes holds this holder's outcomes that are not durable yet.
	pendingOutcomes map[string]*pendingOutcome
	// relays counts how often this process has relayed outcomes, relayedMS is when it last
	// did.
	relays    int
	relayedMS int64
	// urgentSeenMS is when the latest urgent job was first seen.
	urgentSeenMS int64
	// waitsReportedMS is when the steps that wait were last logged.
	waitsReportedMS int64
	// passNeeded is set when a change calls for a scheduling pass.
	passNeeded bool
	lastPassMS int64
	// passPauseMS is the least interval between two passes, by what the last one took.
	passPauseMS int64
	// endedJobs lists the jobs that callers can still query, the first to be removed
	// first.
	endedJobs []endedJob

	// cmds are the commands that the current call of Update returns.
	cmds []Command
}

// endedJob is an ended job and the time when it is removed.
type endedJob struct {
	id       string
	removeMS int64
}

// neverMS is a monotonic time long before the start of the process.
const neverMS = -1 << 40

// New returns a model without any state.
func New(cfg Config) *Model {
	return &Model{
		Table: reducer.New(), Config: &describer.Configuration{}, cfg: cfg,
		tableAsOfMS: neverMS, listAsOfMS: neverMS, workers: map[string]*worker{}, jobs: map[string]*job{}, pendingStores: map[uint64]bool{}, termFirstSeenMS: map[uint64]int64{}, termBegunMS: map[uint64]int64{}, lostTermMS: map[string]int64{}, lateStartCounts: map[string]int{}, unreachedReadMS: map[string]int64{}, lateStartsReadMS: map[reducer.UnitID]int64{}, pendingOutcomes: map[string]*pendingOutcome{},
	}
}

// Update handles one message and returns the commands to execute.
func (m *Model) Update(at Instant, msg Msg) []Command {
	m.cmds = nil
	m.advanceClock(at)
	m.handle(msg)
	if m.deciding() {
		m.pass()
	}
	m.sendOrders()
	m.flush()
	return m.cmds
}

func (m *Model) handle(msg Msg) {
	switch msg := msg.(type) {
	case TickMsg:
		m.tick()
	case LedgerReadMsg:
		m.handleLedgerRead(msg)
	case LedgerLoadedMsg:
		m.handleLedgerLoaded(msg)
	case LedgerFailedMsg:
		m.term.silentSinceMS, m.term.ledgerFailedMS = m.now.MonoMS, m.now.MonoMS
	case LedgerLatencyMsg:
		m.handleLatency(msg)
	case ConfiguredMsg:
		m.handleConfigured(msg)
	case ListedMsg:
		m.handleListed(msg)
	case ListReadMsg:
		m.handleListRead(m.agedMS(msg.AsOfMS))
	case ClaimedMsg:
		m.handleClaimed(msg)
	case PassTookMsg:
		m.passPauseMS = min(passPauseFactor*msg.TookMS, maxPassPauseMS)
	case AskedAliveMsg:
		m.handleAskedAlive(msg)
	case ProbedMsg:
		m.handleProbed(msg)
	case AppendedMsg:
		m.handleAppended(msg)
	case ClosingAppendedMsg:
		m.handleClosingAppended(msg)
	case HeldMsg, StartedMsg, StoppedMsg, AdvisedMsg:
		m.countAnswer(msg)
		m.noteAnswerAfterTerm(msg)
		m.handleAnswer(msg)
	case StoreMsg:
		m.store(msg)
	case OutcomesMsg:
		m.handleRelayed(msg)
	case YieldMsg:
		m.probeIfAsked(msg)
	case ShutdownMsg:
		m.releaseTerm()
	case InspectMsg:
		msg.Read(m)
		close(msg.Done)
	}
}

// handleAnswer handles the answer of a worker or of the advice service, unless the term
// is being released: the successor queries the workers itself. Answers to orders of an
// earlier term say nothing about this one, even if the same process held it.
func (m *Model) handleAnswer(msg Msg) {
	if !m.deciding() {
		return
	}
	switch msg := msg.(type) {
	case HeldMsg:
		if msg.Term == m.term.number {
			m.handleHeld(msg)
		}
	case StartedMsg:
		if msg.Term == m.term.number {
			m.handleStarted(msg)
		}
	case StoppedMsg:
		if msg.Term == m.term.number {
			m.handleStopped(msg)
		}
	case AdvisedMsg:
		m.handleAdvised(msg)
	}
}

// tick does the work that has become due. Most of it is left to the holder.
func (m *Model) tick() {
	m.askSilentHolder()
	m.claimTermIfDue()
	m.retryHandover()
	m.sendClosings()
	if !m.deciding() {
		return
	}
	m.renewTerm()
	m.yieldTermIfDue()
	m.offerTermIfWeak()
	m.offerTermIfSlow()
	m.settleHeldStores()
	m.checkWorkers()
	m.settleLateStarts()
	m.releaseLeft()
	m.retryOrders()
	m.relayOutcomes()
	m.removeEndedJobs()
	m.recordSpeeds()
	m.reportWaits()
	m.reportUnconfirmedEnds()
	m.removeClosings()
	if m.now.MonoMS-m.lastPassMS >= passIntervalMS {
		m.passNeeded = true
	}
}

// TableAsOfMS returns the monotonic time as of which the table was known to be
// complete.
func (m *Model) TableAsOfMS() int64 { return m.tableAsOfMS }

// Deciding reports whether this process holds the term, has taken over, and is not
// shutting down.
func (m *Model) Deciding() bool { return m.deciding() }

func (m *Model) deciding() bool { return m.term.active && !m.shuttingDown }

// handleLedgerRead applies the records that follow the table, and takes over or steps
// down if they change the holder.
func (m *Model) handleLedgerRead(msg LedgerReadMsg) {
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
		m.rememberTermAge()
		m.rememberTerm()
		if worker, ok := reducer.UnreachedWorker(r); ok {
			m.unreachedReadMS[worker] = m.now.MonoMS
		}
		m.observeRecord(r)
	}
	if msg.CaughtUp {
		m.tableAsOfMS = max(m.tableAsOfMS, m.agedMS(msg.AsOfMS))
	}
	m.syncTerm()
	if m.term.provenTerm > 0 {
		// The table may have been too old when the holder asked to be replaced.
		m.claimTermIfDue()
	}
}

// observeRecord updates the state beside the table from a record that any instance has
// written: a job's outcome, proof that the holder is alive, or a caller's request.
func (m *Model) observeRecord(r reducer.Record) {
	if id, ok := reducer.OutcomeJobID(r); ok {
		m.outcomeRecorded(id)
	}
	if reducer.IsTermRecord(r) {
		m.noteTermAges()
	}
	if id, ok := reducer.UnitRecordID(r); ok {
		m.noteLateStarts(id)
	}
	if term, ok := reducer.ClosingTerm(r); ok {
		m.readClosing(term)
	}
	if reducer.IsHolderRecord(r) {
		m.term.silentSinceMS = m.now.MonoMS
		m.liveness.silentTerm, m.term.provenTerm = 0, 0
		return
	}
	if id, ok := reducer.CallerRecordJobID(r); ok && m.term.active {
		m.syncJob(id)
	}
}

// handleLedgerLoaded replaces the table, unless the current one is at least as recent.
func (m *Model) handleLedgerLoaded(msg LedgerLoadedMsg) {
	if m.loaded && msg.Table.Next <= m.Table.Next {
		return
	}
	m.Table, m.loaded, m.tableAsOfMS = msg.Table, true, max(m.tableAsOfMS, m.agedMS(msg.AsOfMS))
	m.term.silentSinceMS = m.now.MonoMS
	m.noteTermAges()
	clear(m.lateStartsReadMS)
	for _, j := range m.Table.Jobs {
		for id := range j.Units {
			m.noteLateStarts(id)
		}
	}
	m.loadClosings()
	for worker := range m.Table.Unreached {
		m.unreachedReadMS[worker] = m.now.MonoMS
	}
	m.event("LedgerLoaded", "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs), "Term", m.Table.Term.Number)
	m.syncTerm()
	if m.term.active {
		m.syncJobs()
	}
}

func (m *Model) handleConfigured(msg ConfiguredMsg) {
	m.Config = msg.Configuration
	m.passNeeded = true
}

func (m *Model) emit(c Command) { m.cmds = append(m.cmds, c) }

// event requests a log entry. The fields are alternating keys and values.
func (m *Model) event(name string, fields ...any) {
	m.emit(EventCmd{Name: name, Fields: fields})
}
