package limiter

import (
	"context"
	"slices"
	"time"
)

// waiter is a queued request.
type waiter struct {
	request Request
	// deadline is when the caller stops waiting, or zero if there is no limit.
	deadline time.Time
	// ready receives the lease. Close closes it without one.
	ready chan *Lease
	// refused is closed when the time to the deadline is too short for a response.
	refused chan struct{}
}

// acquireOrEnqueue returns a lease if a slot is free, an error if the request is
// not admitted, and otherwise a waiter.
func (l *Limiter) acquireOrEnqueue(ctx context.Context, r Request) (*waiter, *Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.admit(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	if s.queuesEmpty() {
		if m := l.pick(s, r); m != nil {
			return nil, l.grant(m), nil
		}
	}
	deadline, _ := ctx.Deadline()
	w := &waiter{request: r, deadline: deadline, ready: make(chan *Lease, 1), refused: make(chan struct{})}
	s.queues[r.Class] = append(s.queues[r.Class], w)
	return w, nil, nil
}

// admit decides whether a request may be granted a slot or queued. It rejects
// requests whose expected wait is longer than the time to their deadline.
func (l *Limiter) admit(ctx context.Context, r Request) (*service, error) {
	if l.closing {
		return nil, ErrClosing
	}
	if !l.viewUsable() {
		return nil, ErrStaleView
	}
	s, ok := l.services[r.Service]
	if _, known := l.view.Services[r.Service]; !ok || !known {
		return nil, ErrNoService
	}
	if !slices.ContainsFunc(s.minions, func(m *minion) bool { return !slices.Contains(r.Exclude, m.target.Address) }) {
		return nil, ErrNoMinion
	}
	if len(s.queues[r.Class]) >= MaxQueueLength {
		return nil, ErrOverloaded
	}
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(s.expectedWait(r.Class)).After(deadline) {
		return nil, ErrOverloaded
	}
	return s, nil
}

// queuesEmpty reports whether no request of any class is queued.
func (s *service) queuesEmpty() bool {
	for c := range s.queues {
		if len(s.queues[c]) > 0 {
			return false
		}
	}
	return true
}

// expectedWait estimates the wait of a new request of the class, from the number
// of queued requests of this and higher classes, the slots and the mean hold time.
func (s *service) expectedWait(c Class) time.Duration {
	ahead := 0
	for i := range c + 1 {
		ahead += len(s.queues[i])
	}
	slots, mean := 0, 0.0
	for _, m := range s.minions {
		slots += max(m.limit, 0)
		mean += m.meanHoldMS * float64(max(m.limit, 0))
	}
	if slots == 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) * mean / float64(slots) / float64(slots) * float64(time.Millisecond))
}

// dispatch grants free slots to queued requests, and refuses those that would miss
// their deadline.
func (l *Limiter) dispatch(s *service) {
	if !l.viewUsable() {
		return
	}
	for !s.queuesEmpty() {
		c := s.nextClass()
		w := s.queues[c][0]
		m := l.pick(s, w.request)
		if m == nil {
			return
		}
		s.queues[c] = s.queues[c][1:]
		if w.wouldMissDeadline(m) {
			close(w.refused)
			continue
		}
		s.granted++
		w.ready <- l.grant(m)
	}
}

// wouldMissDeadline reports whether a response of the minion, after its mean hold
// time, would come after the deadline.
func (w *waiter) wouldMissDeadline(m *minion) bool {
	if w.deadline.IsZero() {
		return false
	}
	return time.Until(w.deadline) < time.Duration(m.meanHoldMS*float64(time.Millisecond))
}

// nextClass returns the highest waiting class, or, once in every
// lowestClassInterval granted slots, the lowest.
func (s *service) nextClass() Class {
	first, last := classCount, Class(0)
	for c := range classCount {
		if len(s.queues[c]) > 0 {
			first, last = min(first, c), c
		}
	}
	if s.granted%lowestClassInterval == lowestClassInterval-1 {
		return last
	}
	return first
}

// cancelWaiter removes the waiter from its queue.
func (l *Limiter) cancelWaiter(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		queue := &s.queues[w.request.Class]
		*queue = slices.DeleteFunc(*queue, func(other *waiter) bool { return other == w })
	}
}
