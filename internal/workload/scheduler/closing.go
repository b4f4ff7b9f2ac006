package scheduler

import (
	"maps"
	"math"
	"slices"

	"daisyhead/internal/workload/reducer"
)

// A holder can't know which starts of its predecessor got no answer, so without a further
// record it takes all units that are not recorded as settled for units that may start late. The
// predecessor knows. Once it has lost or handed over the term, it writes a closing record that
// lists the units of which a start may still be executed.

const (
	// answersAfterTermMS is how long a closing record waits for the answers to starts that
	// are in flight: the time for which their sender waits, and a margin.
	answersAfterTermMS = maxOrderWayMS + 200
	// closingRetryMS is the pause before a closing record is appended again after a failure.
	closingRetryMS = 500
	// closingLifetimeMS is the age at which the holder removes a closing record. The starts
	// that it tells about expire after half of that time.
	closingLifetimeMS = 30000
)

// closings is what this process knows about the end of terms.
type closings struct {
	// holders are the processes that held the terms, as this process has read it.
	holders map[uint64]string
	// lastTerm is the latest of these terms.
	lastTerm uint64
	// readMS is when this process read the closing record of a term.
	readMS map[uint64]int64
	// unwritten are the closing records that this process has to write.
	unwritten []*unwrittenClosing
}

// unwrittenClosing is a closing record that is not known to be stored.
type unwrittenClosing struct {
	term     uint64
	inactive bool
	// untilMS is until when starts of a unit may be executed. inFlight are the starts without
	// an answer so far.
	untilMS  map[reducer.UnitID]int64
	inFlight map[sentStart]bool
	// endedMS is when the term ended for this process.
	endedMS int64
	// appending is set while an append awaits its result, nextMS is the earliest time of the
	// next one.
	appending bool
	nextMS    int64
	appends   int
	// firstSentMS is when the first append was sent, relayedMS when the record was last
	// relayed to another instance.
	firstSentMS, relayedMS int64
	relays                 int
}

// sentStart identifies a start that awaits its answer.
type sentStart struct {
	worker string
	task   TaskRef
}

// noteTermHolder remembers who holds a term. If this process was named as the holder of the
// term before and has never taken it over, it closes that one: no start was sent in it.
func (m *Model) noteTermHolder(number uint64, holder string) {
	c := &m.closings
	if _, seen := c.holders[number]; seen || number == 0 {
		return
	}
	if c.holders == nil {
		c.holders = map[uint64]string{}
	}
	before := c.lastTerm
	c.holders[number], c.lastTerm = holder, number
	if c.holders[before] == m.cfg.Holder && m.term.number < before {
		c.unwritten = append(c.unwritten, &unwrittenClosing{term: before, inactive: true, endedMS: m.now.MonoMS})
	}
}

// closeTerm collects the starts that may still be executed, for the closing record of the term
// that this process has just lost. It has to precede the clearing of the holder's state; no
// start may be sent after it.
func (m *Model) closeTerm() {
	c := &unwrittenClosing{term: m.term.number, untilMS: map[reducer.UnitID]int64{}, inFlight: map[sentStart]bool{}, endedMS: m.now.MonoMS}
	add := func(id reducer.UnitID, untilMS int64) {
		if untilMS > m.now.MonoMS {
			c.untilMS[id] = max(c.untilMS[id], untilMS)
		}
	}
	for _, w := range m.fleet {
		for _, r := range w.runs.list {
			add(r.ref.Unit, r.lateStartUntilMS)
			if r.startInFlight {
				c.inFlight[sentStart{worker: w.ID, task: r.ref}] = true
			}
		}
	}
	for _, r := range m.lateStarts {
		add(r.ref.Unit, r.lateStartUntilMS)
	}
	for _, j := range m.jobs {
		for u := range j.units {
			add(u.id, m.untrackedStartsMS(u))
		}
	}
	m.closings.unwritten = append(m.closings.unwritten, c)
	m.sendClosings()
}

// untrackedStartsMS returns until when starts of the unit that earlier holders sent may be
// executed if no run stands for them, 0 if there are none.
func (m *Model) untrackedStartsMS(u *unit) int64 {
	if u.record.Phase == "" || u.record.Settled || u.record.Term >= m.term.number || len(u.runs) > 0 || u.lateStarts > 0 {
		return 0
	}
	return m.earlierStartsMS(u)
}

// noteAnswerAfterTerm takes the answer to a start into account that comes while the term is
// being handed over, or after it was lost.
func (m *Model) noteAnswerAfterTerm(msg Msg) {
	s, ok := msg.(StartedMsg)
	if !ok {
		return
	}
	lateUntilMS := int64(0)
	if s.Result == OrderUnknown {
		lateUntilMS = m.now.MonoMS + maxOrderDelayMS
	}
	if m.term.active && m.shuttingDown && s.Term == m.term.number {
		if r := m.findRun(s.Worker, s.Task); r != nil && r.startInFlight {
			r.startInFlight, r.lateStartUntilMS = false, max(r.lateStartUntilMS, lateUntilMS)
		}
	}
	start := sentStart{worker: s.Worker, task: s.Task}
	for _, c := range m.closings.unwritten {
		if c.term == s.Term && c.inFlight[start] {
			delete(c.inFlight, start)
			if lateUntilMS > 0 {
				c.untilMS[s.Task.Unit] = max(c.untilMS[s.Task.Unit], lateUntilMS)
			}
		}
	}
}

// sendClosings appends the closing records that are due. Each append tells the waits that are
// left. A record is given up once no start of its term can be executed any more.
func (m *Model) sendClosings() {
	m.closings.unwritten = slices.DeleteFunc(m.closings.unwritten, func(c *unwrittenClosing) bool {
		ageMS := m.now.MonoMS - c.endedMS
		m.relayClosing(c)
		if c.appending || m.now.MonoMS < c.nextMS || len(c.inFlight) > 0 && ageMS < answersAfterTermMS {
			return false
		}
		if ageMS > predecessorDelayMS {
			m.event("TermNotClosed", "Term", c.term, "Appends", c.appends, "Reason", "not stored in time")
			return true
		}
		r, ok := m.closingRecord(c)
		if !ok {
			m.event("TermNotClosed", "Term", c.term, "Units", len(c.untilMS), "Reason", "too many units")
			return true
		}
		c.appending = true
		if c.appends++; c.appends == 1 {
			c.firstSentMS = m.now.MonoMS
		}
		m.emit(AppendClosingCmd{Term: c.term, Record: r})
		return false
	})
}

func (m *Model) closingRecord(c *unwrittenClosing) (r reducer.Record, ok bool) {
	return reducer.ClosingRecord(reducer.Closing{Term: c.term, Holder: m.cfg.Holder, Inactive: c.inactive, Waits: c.waits(m.now.MonoMS)})
}

// relayClosing relays a closing record that this process can't append to the other instances in
// turn, as it does with outcomes: a process often loses the term because it alone can't append.
func (m *Model) relayClosing(c *unwrittenClosing) {
	if c.appends == 0 || m.now.MonoMS-c.firstSentMS < closingRetryMS || m.now.MonoMS-c.relayedMS < closingRetryMS {
		return
	}
	others := m.termCandidates()
	if holder, known := m.Table.Instances[reducer.InstanceOf(m.Table.Term.Holder)]; known {
		others = slices.Insert(others, 0, holder)
	}
	others = slices.DeleteFunc(others, func(i reducer.Instance) bool { return i.Name == m.cfg.Instance })
	r, ok := m.closingRecord(c)
	if len(others) == 0 || !ok {
		return
	}
	to := others[c.relays%len(others)]
	c.relays++
	c.relayedMS = m.now.MonoMS
	m.event("ClosingRelayed", "Term", c.term, "To", to.Name)
	m.emit(RelayOutcomesCmd{Outcomes: []reducer.Record{r}, To: to.Name, Address: to.Address})
}

// writeRelayedClosing writes the closing record of another process, if this instance reaches the
// ledger.
func (m *Model) writeRelayedClosing(term uint64, r reducer.Record) {
	_, stored := m.Table.Closings[term]
	if stored || r.Oversized() || m.now.MonoMS-m.tableAsOfMS > relayTableAgeMS {
		return
	}
	m.emit(AppendClosingCmd{Term: term, Record: r})
}

// waits returns for how much longer starts of each unit may be executed. A start that has no
// answer yet may not even have left this process.
func (c *unwrittenClosing) waits(nowMS int64) map[string]int64 {
	waits := map[string]int64{}
	for id, untilMS := range c.untilMS {
		if untilMS > nowMS {
			waits[id.String()] = untilMS - nowMS
		}
	}
	for s := range c.inFlight {
		waits[s.task.Unit.String()] = maxOrderDelayMS
	}
	return waits
}

// handleClosingAppended forgets a closing record that is stored.
func (m *Model) handleClosingAppended(msg ClosingAppendedMsg) {
	for _, c := range m.closings.unwritten {
		if c.term == msg.Term {
			c.appending, c.nextMS = false, m.now.MonoMS+closingRetryMS
		}
	}
	if msg.Err == "" {
		m.forgetClosing(msg.Term)
	}
}

// forgetClosing forgets the closing record of a term that this process held, since it is stored.
func (m *Model) forgetClosing(term uint64) {
	m.closings.unwritten = slices.DeleteFunc(m.closings.unwritten, func(c *unwrittenClosing) bool {
		if c.term != term {
			return false
		}
		m.event("TermClosed", "Term", c.term, "Step", "Written", "Units", len(c.waits(m.now.MonoMS)), "Inactive", c.inactive, "AfterMS", m.now.MonoMS-c.endedMS)
		return true
	})
}

// readClosing notes when the closing record of a term was read, and applies it if this process
// is the holder.
func (m *Model) readClosing(term uint64) {
	if m.closings.readMS == nil {
		m.closings.readMS = map[uint64]int64{}
	}
	m.closings.readMS[term] = m.now.MonoMS
	c, ok := m.Table.Closings[term]
	if ok && c.Holder == m.cfg.Holder {
		m.forgetClosing(term)
	}
	if ok && m.term.active {
		m.event("TermClosed", "Term", term, "Step", "Read", "Units", len(c.Waits), "Inactive", c.Inactive, "Holder", c.Holder, "HeldBy", m.closings.holders[term])
		m.applyClosings()
	}
}

// loadClosings notes the closing records of a table that was loaded.
func (m *Model) loadClosings() {
	for term := range m.Table.Closings {
		m.readClosing(term)
	}
}

// removeClosings removes closing records that are too old to tell anything.
func (m *Model) removeClosings() {
	for _, term := range slices.Sorted(maps.Keys(m.Table.Closings)) {
		if m.now.MonoMS-m.closings.readMS[term] >= closingLifetimeMS {
			m.closings.readMS[term] = m.now.MonoMS
			m.propose(reducer.ClosingTombstone(term))
		}
	}
}

// anyTerm stands for the term of a unit whose job has not ended before this term. Each earlier
// holder has known all starts of such a unit.
const anyTerm = math.MaxUint64

// closedStartsMS returns until when starts of the unit that earlier holders sent may be
// executed, if closing records tell that. They do so back to the latest term of which the
// holder's process has written one, whether or not it had taken the term over, without a gap. The
// last one has to be of a holder that knew the unit: one that took over, in the given term or
// before.
func (m *Model) closedStartsMS(id reducer.UnitID, term uint64) (untilMS int64, known bool) {
	for n := m.term.number; n > 1; {
		n--
		c, closed := m.Table.Closings[n]
		if !closed || c.Holder == "" || c.Holder != m.closings.holders[n] {
			return 0, false
		}
		waitMS := min(max(c.Waits[id.String()], 0), predecessorDelayMS)
		untilMS = max(untilMS, m.closings.readMS[n]+waitMS)
		if !c.Inactive && n <= term {
			return untilMS, true
		}
	}
	return 0, false
}

// earlierStartsMS returns until when starts of a live unit that earlier holders sent may be
// executed.
func (m *Model) earlierStartsMS(u *unit) int64 {
	expiresMS := m.startsExpireMS(u.record.Term)
	if closedMS, known := m.closedStartsMS(u.id, anyTerm); known {
		return min(expiresMS, closedMS)
	}
	return expiresMS
}

// startsOfEndedJobMS does the same for a unit of a job that had ended before this term.
func (m *Model) startsOfEndedJobMS(id reducer.UnitID) int64 {
	t, known := m.Table.Lookup(id.Job)
	if !known || t.Outcome == nil {
		return m.startsExpireMS(0)
	}
	if t.Outcome.Settled {
		return 0
	}
	expiresMS := m.startsExpireMS(t.Outcome.Term)
	if closedMS, known := m.closedStartsMS(id, t.Outcome.Term); known && t.Outcome.Term < m.term.number {
		return min(expiresMS, closedMS)
	}
	return expiresMS
}

// applyClosings shortens the waits for starts of earlier holders to what closing records tell.
// Starts that this holder has sent keep their own bounds.
func (m *Model) applyClosings() {
	if !m.term.active || len(m.Table.Closings) == 0 {
		return
	}
	shorten := func(r *run) {
		if r.startUnanswered || r.startInFlight || m.now.MonoMS >= r.lateStartUntilMS || m.unit(r.ref.Unit) == nil {
			return
		}
		if closedMS, known := m.closedStartsMS(r.ref.Unit, anyTerm); known {
			r.lateStartUntilMS = min(r.lateStartUntilMS, closedMS)
		}
	}
	for _, r := range m.lateStarts {
		shorten(r)
	}
	for _, w := range m.fleet {
		for _, r := range w.runs.list {
			shorten(r)
		}
		m.shortenEndWaits(w)
	}
}

// shortenEndWaits confirms the ends of a worker that no longer wait for an earlier holder's
// starts.
func (m *Model) shortenEndWaits(w *worker) {
	confirmed := w.confirmedEnd
	for _, e := range w.ends {
		if e.notBeforeMS > m.now.MonoMS {
			e.notBeforeMS = min(e.notBeforeMS, m.endWaitMS(e.task.Unit, m.unit(e.task.Unit)))
		}
	}
	m.advanceConfirmedEnd(w)
	if w.confirmedEnd > confirmed {
		w.expediteHold(m.now.MonoMS)
	}
}

// endWaitMS returns until when the end of a run that this holder has not seen is held, because
// a start of its unit that an earlier holder sent may be executed.
func (m *Model) endWaitMS(id reducer.UnitID, u *unit) int64 {
	switch {
	case u == nil:
		return m.startsOfEndedJobMS(id)
	case !u.record.Settled:
		return m.earlierStartsMS(u)
	}
	return 0
}

// jobSettled reports whether no start of any of the job's units can be executed any more.
func (m *Model) jobSettled(j *job) bool {
	for u := range j.units {
		if m.mayStartLate(u) || m.now.MonoMS < m.untrackedStartsMS(u) {
			return false
		}
	}
	return true
}
