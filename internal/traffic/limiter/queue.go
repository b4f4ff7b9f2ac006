package limiter

import (
	"context"
	"slices"
	"time"
)

type waiter struct {
	request Request
	// deadline is when the request's caller gives up; zero if never.
	deadline time.Time
	ready    chan *Lease
	// late is closed when the request is refused because its time is too short.
	late chan struct{}
}

// enqueue returns a lease at once, an error at once, or a waiter.
func (l *Limiter) enqueue(ctx context.Context, r Request) (*waiter, *Lease, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, err := l.admit(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	if s.idle() {
		if m := l.pick(s, r); m != nil {
			return nil, l.lease(m), nil
		}
	}
	deadline, _ := ctx.Deadline()
	w := &waiter{request: r, deadline: deadline, ready: make(chan *Lease, 1), late: make(chan struct{})}
	s.waiting[r.Class] = append(s.waiting[r.Class], w)
	return w, nil, nil
}

func (l *Limiter) admit(ctx context.Context, r Request) (*service, error) {
	if l.closing {
		return nil, ErrClosing
	}
	if !l.fresh() {
		return nil, ErrStale
	}
	s, ok := l.services[r.Service]
	if _, known := l.view.Services[r.Service]; !ok || !known {
		return nil, ErrNoService
	}
	if !slices.ContainsFunc(s.minions, func(m *minion) bool { return !slices.Contains(r.Exclude, m.target.Address) }) {
		return nil, ErrNoMinion
	}
	if len(s.waiting[r.Class]) >= MaxWaiting {
		return nil, ErrOverloaded
	}
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(s.expectedWait(r.Class)).After(deadline) {
		return nil, ErrOverloaded
	}
	return s, nil
}

func (s *service) idle() bool {
	for c := range s.waiting {
		if len(s.waiting[c]) > 0 {
			return false
		}
	}
	return true
}

// expectedWait estimates the time until a request of the class gets a slot.
func (s *service) expectedWait(c Class) time.Duration {
	ahead := 0
	for i := range c + 1 {
		ahead += len(s.waiting[i])
	}
	slots, mean := 0, 0.0
	for _, m := range s.minions {
		slots += max(m.allowed, 0)
		mean += m.meanMS * float64(max(m.allowed, 0))
	}
	if slots == 0 || ahead == 0 {
		return 0
	}
	return time.Duration(float64(ahead) * mean / float64(slots) / float64(slots) * float64(time.Millisecond))
}

// serve hands free slots to waiting requests.
func (l *Limiter) serve(s *service) {
	if !l.fresh() {
		return
	}
	for !s.idle() {
		c := s.nextClass()
		w := s.waiting[c][0]
		m := l.pick(s, w.request)
		if m == nil {
			return
		}
		s.waiting[c] = s.waiting[c][1:]
		if w.tooLate(m) {
			close(w.late)
			continue
		}
		s.turns++
		w.ready <- l.lease(m)
	}
}

// tooLate reports whether the minion, at its usual pace, would answer only
// after the caller has given up.
func (w *waiter) tooLate(m *minion) bool {
	if w.deadline.IsZero() {
		return false
	}
	return time.Until(w.deadline) < time.Duration(m.meanMS*float64(time.Millisecond))
}

// nextClass returns the highest class that waits, and in turn the lowest.
func (s *service) nextClass() Class {
	first, last := classCount, Class(0)
	for c := range classCount {
		if len(s.waiting[c]) > 0 {
			first, last = min(first, c), c
		}
	}
	if s.turns%lowTurn == lowTurn-1 {
		return last
	}
	return first
}

func (l *Limiter) withdraw(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.services {
		queue := &s.waiting[w.request.Class]
		*queue = slices.DeleteFunc(*queue, func(o *waiter) bool { return o == w })
	}
}
