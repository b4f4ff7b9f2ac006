package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"daisyhead/internal/workload/reducer"
)

// How long ago a term began bounds what its predecessors can still do. Each process notes when
// it first saw a term, and the records of the term carry these times on as ages, so that they
// add up over any number of holders and restarts.

// rememberTerm remembers when this process first saw the current term, and when it saw the
// preceding holder lose it.
func (m *Model) rememberTerm() {
	number, holder := m.Table.Term.Number, m.Table.Term.Holder
	m.noteTermHolder(number, holder)
	if _, seen := m.termFirstSeenMS[number]; !seen {
		m.termFirstSeenMS[number] = m.now.MonoMS
		m.noteTermBegun(number, m.now.MonoMS)
	}
	if before := m.term.holderSeen; before != "" && before != holder {
		m.lostTermMS[reducer.InstanceOf(before)] = m.now.MonoMS
	}
	m.term.holderSeen = holder
}

// termAgeBound is how old a term was at most when this process first saw it.
type termAgeBound struct {
	number uint64
	ageMS  int64
	at     Instant
}

// rememberTermAge notes how old a term may be that has just been read: it had not begun when the
// ledger was last known to be complete.
func (m *Model) rememberTermAge() {
	if number := m.Table.Term.Number; number > m.termAge.number && m.tableAsOfMS != neverMS {
		m.termAge = termAgeBound{number: number, ageMS: m.now.MonoMS - m.tableAsOfMS + clockJumpMS, at: m.now}
	}
}

// termAgeAtMost returns how old the holder's term is at most, if that is known. Suspensions of
// the machine count too; those that are too short to be noticed are in the margin.
func (m *Model) termAgeAtMost() (ms int64, known bool) {
	a := m.termAge
	return a.ageMS + m.now.MonoMS - a.at.MonoMS + m.now.SuspendedMS - a.at.SuspendedMS, a.number > 0 && a.number == m.term.number
}

// noteTermAges takes over what the latest record of the term tells about recent terms.
func (m *Model) noteTermAges() {
	for _, a := range m.Table.Term.Recent {
		m.noteTermBegun(a.Number, m.now.MonoMS-max(a.AgeMS, 0))
	}
}

// noteTermBegun notes that the term had begun at the given time.
func (m *Model) noteTermBegun(number uint64, atMS int64) {
	if before, known := m.termBegunMS[number]; !known || atMS < before {
		m.termBegunMS[number] = atMS
	}
}

// termBegunSince returns a time at which the term or a later one had begun: the earliest that is
// known, or the current time if none is.
func (m *Model) termBegunSince(term uint64) int64 {
	earliest := m.now.MonoMS
	for number, at := range m.termBegunMS {
		if number >= term {
			earliest = min(earliest, at)
		}
	}
	return earliest
}

// recentTermAges returns the ages of the latest terms, up to the first one that is so old that
// no order of its predecessors can be executed any more and the lease of each has expired.
func (m *Model) recentTermAges() (ages []reducer.TermAge) {
	limitMS := maxConfirmationAgeMS + predecessorDelayMS + withDrift(m.cfg.LeaseMS)
	numbers := slices.SortedFunc(maps.Keys(m.termBegunMS), func(a, b uint64) int { return cmp.Compare(b, a) })
	for _, n := range numbers {
		if n == 0 {
			break
		}
		age := m.now.MonoMS - m.termBegunSince(n)
		ages = append(ages, reducer.TermAge{Number: n, AgeMS: age})
		if age > limitMS {
			break
		}
	}
	return ages
}
