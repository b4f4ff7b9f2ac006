package scheduler

// advanceClock sets the current time. After a suspension that the monotonic clock did
// not count, the table and the last confirmation of the term are older than they seem, also
// those that answers in flight will bring. A step of the wall clock may hide a suspension or
// look like one.
func (m *Model) advanceClock(at Instant) {
	first := m.now == Instant{}
	if first {
		m.suspendedMS = at.SuspendedMS
	}
	suspended := at.SuspendedMS - m.suspendedMS
	ahead := max(suspended, (at.WallMS-at.MonoMS)-(m.now.WallMS-m.now.MonoMS))
	m.now = at
	if first || ahead <= clockJumpMS {
		return
	}
	if suspended > clockJumpMS {
		m.suspendedMS = at.SuspendedMS
	}
	m.clockJumps = append(m.clockJumps, clockJump{seenMS: at.MonoMS, aheadMS: ahead})
	if len(m.clockJumps) > maxClockJumps {
		m.clockJumps = m.clockJumps[1:]
	}
	m.tableAsOfMS -= ahead
	m.listAsOfMS -= ahead
	m.proposer.confirmedMS -= ahead
	m.proposer.sentAsOfMS -= ahead
	m.event("ClockJumped", "AheadMS", ahead, "SuspendedMS", suspended)
}

// maxClockJumps is how many jumps are remembered: more than a message in flight can miss.
const maxClockJumps = 16

// clockJump is an advance of time that the monotonic clock did not count.
type clockJump struct{ seenMS, aheadMS int64 }

// agedMS returns a monotonic time that was read earlier, brought forward by what the clock
// has not counted since.
func (m *Model) agedMS(atMS int64) int64 {
	aged := atMS
	for _, j := range m.clockJumps {
		if atMS <= j.seenMS {
			aged -= j.aheadMS
		}
	}
	return aged
}
