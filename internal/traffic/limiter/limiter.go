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
	"context"
	"slices"
	"sync"
	"time"

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

// fresh reports whether the view is recent enough, or cannot have changed
// because nobody can read the ledger.
func (l *Limiter) fresh() bool {
	age := time.Since(l.cfg.Start) - time.Duration(l.view.FreshMS)*time.Millisecond
	return l.view.CaughtUp && (age <= l.cfg.Fresh || l.view.OutageAgreed)
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
