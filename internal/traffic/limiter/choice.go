package limiter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// pick returns a minion that has a free slot and is not excluded by the request, or
// nil if there is none. Minions in the failure domain of this instance come first.
func (l *Limiter) pick(s *service, r Request) *minion {
	var sameDomain, otherDomains []*minion
	eligible := l.eligibleMinions(s)
	for _, m := range eligible {
		if m.inFlight >= m.limit || slices.Contains(r.Exclude, m.target.Address) {
			continue
		}
		if m.target.Domain == l.cfg.Domain {
			sameDomain = append(sameDomain, m)
		} else {
			otherDomains = append(otherDomains, m)
		}
	}
	if len(sameDomain) > 0 {
		return lessLoaded(sameDomain)
	}
	return lessLoaded(otherDomains)
}

// eligibleMinions returns the minions that are not ejected, or all minions if
// more than the allowed fraction is ejected.
func (l *Limiter) eligibleMinions(s *service) []*minion {
	var eligible, ejected []*minion
	for _, m := range s.minions {
		if time.Now().Before(m.ejectedUntil) {
			ejected = append(ejected, m)
		} else {
			eligible = append(eligible, m)
		}
	}
	if len(ejected)*maxEjectedDivisor > len(s.minions) {
		return s.minions
	}
	return eligible
}

// lessLoaded draws two minions at random and returns the less loaded one (power
// of two choices), or nil if there are none.
func lessLoaded(minions []*minion) *minion {
	if len(minions) == 0 {
		return nil
	}
	a, b := minions[rand.IntN(len(minions))], minions[rand.IntN(len(minions))]
	if cmp.Compare(b.load(), a.load()) < 0 {
		return b
	}
	return a
}

// load returns the utilization of the minion's slots with one more request,
// weighted by the mean hold time, so that a slow minion counts as more loaded.
func (m *minion) load() float64 {
	return (float64(m.inFlight) + 1) / float64(max(m.limit, 1)) * (m.meanHoldMS + 1)
}
