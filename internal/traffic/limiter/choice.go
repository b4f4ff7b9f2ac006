package limiter

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// pick chooses a minion with a free slot: near ones first, the less loaded of
// two that are drawn.
func (l *Limiter) pick(s *service, r Request) *minion {
	var near, far []*minion
	open := l.openMinions(s)
	for _, m := range open {
		if m.used >= m.allowed || slices.Contains(r.Exclude, m.target.Address) {
			continue
		}
		if m.target.Domain == l.cfg.Domain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	if len(near) > 0 {
		return lessLoaded(near)
	}
	return lessLoaded(far)
}

// openMinions leaves out ejected minions, but never more than their share.
func (l *Limiter) openMinions(s *service) []*minion {
	var open, ejected []*minion
	for _, m := range s.minions {
		if time.Now().Before(m.ejected) {
			ejected = append(ejected, m)
		} else {
			open = append(open, m)
		}
	}
	if len(ejected)*ejectShare > len(s.minions) {
		return s.minions
	}
	return open
}

func lessLoaded(list []*minion) *minion {
	if len(list) == 0 {
		return nil
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if cmp.Compare(b.load(), a.load()) < 0 {
		return b
	}
	return a
}

func (m *minion) load() float64 {
	return (float64(m.used) + 1) / float64(max(m.allowed, 1)) * (m.meanMS + 1)
}
