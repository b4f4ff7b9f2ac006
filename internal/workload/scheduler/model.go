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
	// silenceMS without a record of the holder lets another instance claim the
	// term: three renewals.
	silenceMS = 1500
	renewMS   = 500
	// rejoinMS is how long a new process lets others claim the term of its
	// predecessor first: their silenceMS, less a renewal that came before.
	rejoinMS = silenceMS - renewMS
	// rankDelayMS keeps instances from claiming at the same moment: two ticks.
	rankDelayMS = 100
	// claimPauseMS is the pause after a claim that failed; movedPauseMS is that after
	// one that came too late for its offset: a read, and the others' ranks.
	claimPauseMS = 300
	movedPauseMS = 50
	// yieldAfterMS without a successful append lets the holder ask another
	// instance to take over: a few retries.
	yieldAfterMS = 500
	// yieldPauseMS is the pause before the next instance is asked.
	yieldPauseMS = 250
	// blindMS is how long a holder goes on without word from the ledger that
	// the term is still its own. A successor waits it out for workers that it
	// can't reach.
	blindMS = 4000
	// startFreshMS is the greatest age of the table on which a task is started:
	// two long reads of the ledger.
	startFreshMS = 2000
	// clockJumpMS between the time of day and the steady clock means that the
	// process was suspended, or that the time of day was set.
	clockJumpMS = 500
	// holdWaitMS is how long a worker's answer waits for an end: the longest
	// that workers accept.
	holdWaitMS = 2000
	// deafMS without an answer makes a worker unfit for new tasks: one hold
	// and a retry.
	deafMS = 3500
	// retryOrderMS is the pause before an unanswered order is sent again.
	retryOrderMS = 150
	// avoidMS is how long a worker that refused or ignored a start is passed over.
	avoidMS = 2000
	// driftDivisor bounds the error of workers' clocks: 1 in so many.
	driftDivisor = 50
	// leaseMarginMS is added to every wait for a lease to run out: a scheduling delay.
	leaseMarginMS = 200
	// passGapMS is the least interval between two passes, so that changes that come
	// together are decided on together.
	passGapMS = 20
	// passMS is the interval of passes that were not caused by a change.
	passMS = 100
)

// Model is the state of the control loop. Only one goroutine may use it.
type Model struct {
	Table  *tabulator.Table
	Config *describer.Configuration

	cfg Config
	at  Instant

	loaded bool
	// freshMS is when the latest read that found the table complete was sent.
	freshMS int64
	leaving bool

	terms terms
	// termSeenMS is when this process first saw each term.
	termSeenMS map[uint64]int64
	// unheardReadMS is when this process read each worker's latest record of not
	// having been reached.
	unheardReadMS map[string]int64
	proposer      proposer
	workers       map[string]*worker
	// fleet lists the workers by ID.
	fleet []*worker
	jobs  map[string]*job
	// storing are the tickets of records that are not durable yet.
	storing map[uint64]bool
	// order lists the live jobs in order of acceptance.
	order    []*job
	bookings []*booking
	// unsettled are the outcomes of this holder that are not durable yet.
	unsettled map[string]*outcome
	// witnessed are outcomes of other holders that are not durable yet.
	witnessed map[string]witnessed
	dirty     bool
	passMS    int64
	ended     []endedJob

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
		freshMS: -1 << 40, workers: map[string]*worker{}, jobs: map[string]*job{}, storing: map[uint64]bool{}, termSeenMS: map[uint64]int64{}, unheardReadMS: map[string]int64{}, unsettled: map[string]*outcome{}, witnessed: map[string]witnessed{},
	}
}

// Update handles one message and returns the effects to carry out.
func (m *Model) Update(at Instant, msg Msg) []Command {
	m.cmds = nil
	m.advance(at)
	m.handle(msg)
	if m.deciding() {
		m.pass()
	}
	m.flush()
	return m.cmds
}

// advance takes the time. After a suspension that the steady clock did not
// count, what was fresh is not so any more.
func (m *Model) advance(at Instant) {
	ahead := (at.WallMS - at.MonoMS) - (m.at.WallMS - m.at.MonoMS)
	jumped := m.at != Instant{} && ahead > clockJumpMS
	m.at = at
	if !jumped {
		return
	}
	m.freshMS -= ahead
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
		m.terms.silentSinceMS = m.at.MonoMS
	case ConfiguredMsg:
		m.configure(msg)
	case ListedMsg:
		m.listWorkers(msg)
	case ClaimedMsg:
		m.finishClaim(msg)
	case AppendedMsg:
		m.finishAppend(msg)
	case HeldMsg, StartedMsg, StoppedMsg, AdvisedMsg:
		m.finishOrder(msg)
	case StoreMsg:
		m.store(msg)
	case WitnessMsg:
		m.witness(msg)
	case WitnessedMsg:
		m.finishWitness(msg)
	case YieldMsg:
		m.terms.yielded = max(m.terms.yielded, msg.Term)
		m.watchTerm()
	case LeaveMsg:
		m.leave()
	case InspectMsg:
		msg.Read(m)
		close(msg.Done)
	}
}

// finishOrder takes the answer to an order, unless the term is being released:
// the successor asks the workers itself.
func (m *Model) finishOrder(msg Msg) {
	if !m.deciding() {
		return
	}
	switch msg := msg.(type) {
	case HeldMsg:
		m.finishHold(msg)
	case StartedMsg:
		m.finishStart(msg)
	case StoppedMsg:
		m.finishStop(msg)
	case AdvisedMsg:
		m.finishAdvice(msg)
	}
}

func (m *Model) tick() {
	m.watchTerm()
	m.settleWitnessed()
	if !m.deciding() {
		return
	}
	m.renewTerm()
	m.yield()
	m.watchWorkers()
	m.watchUnits()
	m.seekWitnesses()
	m.forgetJobs()
	if m.at.MonoMS-m.passMS >= passMS {
		m.dirty = true
	}
}

// FreshMS returns the monotonic time as of which the table was complete.
func (m *Model) FreshMS() int64 { return m.freshMS }

// Deciding reports whether this process holds the term and has taken it over.
func (m *Model) Deciding() bool { return m.deciding() }

func (m *Model) deciding() bool { return m.terms.active && !m.leaving }

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
		m.noteTerm()
		if worker, ok := tabulator.UnheardWorker(r); ok {
			m.unheardReadMS[worker] = m.at.MonoMS
		}
		m.follow(r)
	}
	if msg.CaughtUp {
		m.freshMS = max(m.freshMS, msg.SentMS)
	}
	m.followTerm()
}

// follow lets the holder see what other instances have recorded.
func (m *Model) follow(r tabulator.Record) {
	if id, ok := tabulator.OutcomeOf(r); ok {
		m.settled(id)
	}
	if tabulator.IsHolders(r) {
		m.terms.silentSinceMS = m.at.MonoMS
		return
	}
	if id, ok := tabulator.JobOf(r); ok && m.terms.active {
		m.syncJob(id)
	}
}

func (m *Model) loadLedger(msg LedgerLoadedMsg) {
	if m.loaded && msg.Table.Next <= m.Table.Next {
		return
	}
	m.Table, m.loaded, m.freshMS = msg.Table, true, max(m.freshMS, msg.SentMS)
	m.terms.silentSinceMS = m.at.MonoMS
	for worker := range m.Table.Unheard {
		m.unheardReadMS[worker] = m.at.MonoMS
	}
	m.event("LedgerLoaded", "Offset", m.Table.Next, "Jobs", len(m.Table.Jobs), "Term", m.Table.Term.Number)
	m.followTerm()
	if m.terms.active {
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
