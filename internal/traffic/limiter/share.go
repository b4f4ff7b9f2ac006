package limiter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/control/decider"
)

// share computes how many slots of each minion this instance may use now.
func (l *Limiter) share() {
	settled := l.settled()
	for _, s := range l.services {
		for _, m := range s.minions {
			m.allowed = Share(m.target, l.view.Members, l.name)
			if !settled {
				m.allowed = min(m.allowed, Share(m.target, l.oldMembers, l.name))
			}
			m.allowed = min(m.allowed, m.target.Slots-l.othersOver(m.target))
		}
	}
}

// deadAfter is how long the requests of an instance that is no member and no
// longer heard are taken to be in flight; it is longer than AbandonTime of the
// router.
const deadAfter = 2 * time.Minute

// othersOver returns how many slots the others use or may use. A member that
// still has requests in flight beyond its new share keeps them.
func (l *Limiter) othersOver(t decider.Target) int {
	total := 0
	for _, name := range l.view.Members {
		if name != l.name {
			total += max(Share(t, l.view.Members, name), l.view.Peers[name].SlotsUsed[t.Address])
		}
	}
	for name, p := range l.view.Peers {
		silent := time.Duration(p.HeardAgoMS) * time.Millisecond
		if name != l.name && silent < deadAfter && !slices.Contains(l.view.Members, name) {
			total += p.SlotsUsed[t.Address]
		}
	}
	return total
}

// settled reports whether every other member has taken over the epoch.
func (l *Limiter) settled() bool {
	if time.Since(l.epochSince) >= l.cfg.SettleTime {
		return true
	}
	for _, name := range append(slices.Clone(l.view.Members), l.oldMembers...) {
		if p := l.view.Peers[name]; name != l.name && p.Epoch < l.view.Epoch {
			return false
		}
	}
	return true
}

// Share returns how many of the target's slots a member may use. The shares of
// all members add up to the slots.
func Share(t decider.Target, members []string, name string) int {
	if !slices.Contains(members, name) {
		return 0
	}
	n := len(members)
	share, rest := t.Slots/n, t.Slots%n
	if rest == 0 {
		return share
	}
	own, rank := shareOrder(t, name), 0
	for _, other := range members {
		if o := shareOrder(t, other); o < own || (o == own && other < name) {
			rank++
		}
	}
	if rank < rest {
		share++
	}
	return share
}

func shareOrder(t decider.Target, name string) uint64 {
	return xxhash.Sum64String(t.Address + "\x00" + name)
}
