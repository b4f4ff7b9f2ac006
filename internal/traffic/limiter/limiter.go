// Package limiter shares the slots of minions between instances without a
// central counter, and queues requests that find no slot.
//
// Each member of the current epoch may use its share of a minion's slots. The
// shares of one epoch add up to the slots, and a share that grows with a new
// epoch is used only once the others have given theirs up:
//
//	l := limiter.New("entry-1", limiter.Config{})
//	l.Update(view, now)
//	lease, err := l.Acquire(ctx, limiter.Request{Service: "fit"})
//	defer lease.Release(limiter.Success)
package limiter

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisyhead/internal/control/decider"
)

// Errors of Acquire. None of them leaves anything sent.
var (
	ErrNoService  = errors.New("no such service")
	ErrNoMinion   = errors.New("no minion of the service is in service")
	ErrOverloaded = errors.New("too many requests wait")
	ErrTooLate    = errors.New("no slot became free in time")
	ErrStale      = errors.New("the control state is too old to send requests")
	ErrClosing    = errors.New("the instance is stopping")
)

// Class orders requests under overload.
type Class int

// The classes.
const (
	ClassHigh Class = iota
	ClassNormal
	ClassLow
	classCount
)

// Bounds and times.
const (
	// MaxWaiting bounds the queue of each class and service.
	MaxWaiting = 512
	// lowTurn gives one slot in so many to the lowest class that waits.
	lowTurn = 8
	// EjectAfter is the number of failures in a row that ejects a minion.
	EjectAfter = 3
	ejectTime  = 5 * time.Second
	// ejectShare is the largest part of a service's minions, one in so many,
	// that may be ejected at once.
	ejectShare = 2
)

// Config sets the times of membership changes.
type Config struct {
	// Fresh is the greatest age of the view with which requests are sent.
	Fresh time.Duration
	// SettleTime is the wait before a share that grew is used while a member
	// of the new epoch has not been heard in it.
	SettleTime time.Duration
	// Start is the zero of the view's monotonic times.
	Start time.Time
	// Domain is this instance's failure domain; its minions are preferred.
	Domain string
}

// Request asks for a slot.
type Request struct {
	Service string
	Class   Class
	// Exclude lists minions that were tried already.
	Exclude []string
}

// Verdict tells what came of the request, for the judgement of the minion.
type Verdict int

// The verdicts.
const (
	Success Verdict = iota
	// Failure means that the minion could not be reached or broke off.
	Failure
	// NoJudgement leaves the minion's record as it was.
	NoJudgement
)

// Lease is a slot of a minion.
type Lease struct {
	Target decider.Target

	limiter *Limiter
	minion  *minion
	once    sync.Once
	since   time.Time
}

type minion struct {
	target   decider.Target
	used     int
	allowed  int
	failures int
	ejected  time.Time
	// meanMS is a moving average of the time for which slots are held.
	meanMS float64
}

type waiter struct {
	request Request
	// deadline is when the request's caller gives up; zero if never.
	deadline time.Time
	ready    chan *Lease
	// late is closed when the request is refused because its time is too short.
	late chan struct{}
}

type service struct {
	minions []*minion
	waiting [classCount][]*waiter
	turns   int
}

// Limiter hands out this instance's share of slots.
type Limiter struct {
	name string
	cfg  Config

	mu         sync.Mutex
	view       *decider.View
	services   map[string]*service
	minions    map[string]*minion
	epochSince time.Time
	oldMembers []string
	closing    bool
}

// New returns a limiter that hands out nothing before the first Update.
func New(name string, cfg Config) *Limiter {
	return &Limiter{name: name, cfg: cfg, services: map[string]*service{}, minions: map[string]*minion{}, view: &decider.View{}}
}

// Update follows a new view.
func (l *Limiter) Update(v *decider.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Epoch != l.view.Epoch {
		l.oldMembers, l.epochSince = l.view.Members, time.Now()
	}
	rebuilt := v.Revision != l.view.Revision || l.view.Services == nil
	l.view = v
	if rebuilt {
		l.rebuild()
	}
	l.share()
	for _, s := range l.services {
		l.serve(s)
	}
}

// Close makes waiting and new requests fail with ErrClosing.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, s := range l.services {
		for c := range s.waiting {
			for _, w := range s.waiting[c] {
				close(w.ready)
			}
			s.waiting[c] = nil
		}
	}
}

// Used returns the requests in flight for each minion with any.
func (l *Limiter) Used() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := map[string]int{}
	for address, m := range l.minions {
		if m.used > 0 {
			used[address] = m.used
		}
	}
	return used
}

func (l *Limiter) rebuild() {
	kept := map[string]*minion{}
	for name, targets := range l.view.Services {
		s, ok := l.services[name]
		if !ok {
			s = &service{}
			l.services[name] = s
		}
		s.minions = s.minions[:0]
		for _, t := range targets {
			m, ok := l.minions[t.Address]
			if !ok {
				m = &minion{}
			}
			m.target = t
			kept[t.Address] = m
			s.minions = append(s.minions, m)
		}
	}
	for name, s := range l.services {
		if _, ok := l.view.Services[name]; !ok {
			s.minions = nil
		}
	}
	// Minions that left stay as long as requests are in flight there.
	for address, m := range l.minions {
		if kept[address] == nil && m.used > 0 {
			kept[address] = m
		}
	}
	l.minions = kept
}

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
		if name != l.name && !slices.Contains(l.view.Members, name) {
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

// Acquire waits for a slot until the context ends.
func (l *Limiter) Acquire(ctx context.Context, r Request) (lease *Lease, err error) {
	w, lease, err := l.enqueue(ctx, r)
	if w == nil {
		return lease, err
	}
	select {
	case lease = <-w.ready:
	case <-w.late:
		return nil, ErrTooLate
	case <-ctx.Done():
		l.withdraw(w)
		// A slot may have been handed over at the last moment.
		select {
		case lease = <-w.ready:
		default:
			return nil, ErrTooLate
		}
	}
	if lease == nil {
		return nil, ErrClosing
	}
	return lease, nil
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

// fresh reports whether the view is recent enough, or cannot have changed
// because nobody can read the ledger.
func (l *Limiter) fresh() bool {
	age := time.Since(l.cfg.Start) - time.Duration(l.view.FreshMS)*time.Millisecond
	return l.view.CaughtUp && (age <= l.cfg.Fresh || l.view.OutageAgreed)
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

func (l *Limiter) lease(m *minion) *Lease {
	m.used++
	return &Lease{Target: m.target, limiter: l, minion: m, since: time.Now()}
}

// Release gives the slot back. Only the first call counts.
func (lease *Lease) Release(v Verdict) {
	lease.once.Do(func() { lease.limiter.release(lease, v) })
}

func (l *Limiter) release(lease *Lease, v Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := lease.minion
	m.used--
	switch v {
	case Success:
		m.failures = 0
		m.meanMS += (float64(time.Since(lease.since).Milliseconds()) - m.meanMS) / 8
	case Failure:
		m.failures++
		if m.failures >= EjectAfter {
			m.failures, m.ejected = 0, time.Now().Add(ejectTime)
		}
	}
	for _, s := range l.services {
		if slices.Contains(s.minions, m) {
			l.serve(s)
		}
	}
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
