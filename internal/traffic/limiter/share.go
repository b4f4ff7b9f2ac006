package limiter

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"daisyhead/internal/control/decider"
)

// computeLimits sets how many slots of each minion this instance may use now.
// Until all members have adopted the epoch, the smaller share of the previous
// and the current epoch applies.
func (l *Limiter) computeLimits() {
	epochSettled := l.epochSettled()
	for _, s := range l.services {
		for _, m := range s.minions {
			m.limit = Share(m.target, l.view.Members, l.name)
			if !epochSettled {
				m.limit = min(m.limit, Share(m.target, l.previousMembers, l.name))
			}
			m.limit = min(m.limit, m.target.Slots-l.slotsHeldByOthers(m.target))
		}
	}
}

// formerMemberTimeout is how long after its last heartbeat the requests of a
// former member are counted as in flight. It is longer than
// router.AbandonedRequestTimeout, for which a request can outlive its caller.
const formerMemberTimeout = 2 * time.Minute

// slotsHeldByOthers returns how many of the target's slots other instances use or
// may use. For a member with more requests in flight than its share, the requests
// in flight are counted.
func (l *Limiter) slotsHeldByOthers(t decider.Target) int {
	total := 0
	for _, name := range l.view.Members {
		if name != l.name {
			total += max(Share(t, l.view.Members, name), l.view.Peers[name].SlotsUsed[t.Address])
		}
	}
	for name, p := range l.view.Peers {
		sinceHeard := time.Duration(p.HeardAgoMS) * time.Millisecond
		if name != l.name && sinceHeard < formerMemberTimeout && !slices.Contains(l.view.Members, name) {
			total += p.SlotsUsed[t.Address]
		}
	}
	return total
}

// epochSettled reports whether all other members of the previous and the current
// epoch have reported the current one, or EpochSettleTimeout has passed.
func (l *Limiter) epochSettled() bool {
	if time.Since(l.epochStart) >= l.cfg.EpochSettleTimeout {
		return true
	}
	for _, name := range append(slices.Clone(l.view.Members), l.previousMembers...) {
		if p := l.view.Peers[name]; name != l.name && p.Epoch < l.view.Epoch {
			return false
		}
	}
	return true
}

// Share returns how many of the target's slots a member may use. The shares of
// all members add up to the number of slots. The slots that remain after an even
// division go to the members with the lowest rendezvous hashes, so that all
// instances compute the same shares, and the remaining slots of different minions
// spread over the members.
func Share(t decider.Target, members []string, name string) int {
	if !slices.Contains(members, name) {
		return 0
	}
	n := len(members)
	share, remainder := t.Slots/n, t.Slots%n
	if remainder == 0 {
		return share
	}
	ownHash, rank := rendezvousHash(t, name), 0
	for _, other := range members {
		if otherHash := rendezvousHash(t, other); otherHash < ownHash || (otherHash == ownHash && other < name) {
			rank++
		}
	}
	if rank < remainder {
		share++
	}
	return share
}

// rendezvousHash is the hash of a minion and a member that decides which members
// get the remaining slots.
func rendezvousHash(t decider.Target, name string) uint64 {
	return xxhash.Sum64String(t.Address + "\x00" + name)
}
