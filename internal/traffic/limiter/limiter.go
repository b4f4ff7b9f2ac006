// Package limiter limits the concurrent requests to each minion. It divides a
// minion's slots between the instances without a central counter, and queues
// requests while no slot is free.
//
// Each member of the current epoch may use its share of a minion's slots. The
// shares of one epoch add up to the number of slots. When a new epoch enlarges
// a share, the additional slots are used only after the other members have
// released them.
//
//	l := limiter.New("entry-1", limiter.Config{})
//	l.Update(view)
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

// Errors returned by Acquire. After each of them, nothing has been sent.
var (
	ErrNoService = errors.New("no such service")
	// ErrNoMinion means that the service has no minions, or that the request
	// excludes all of them.
	ErrNoMinion = errors.New("no minion of the service is in service")
	// ErrOverloaded means that the queue is full, or that the expected wait is
	// longer than the time to the deadline.
	ErrOverloaded = errors.New("too many requests wait")
	// ErrNoSlotInTime means that no slot became free before the context ended, or
	// too late for a response before the deadline.
	ErrNoSlotInTime = errors.New("no slot became free in time")
	ErrStaleView    = errors.New("the control state is too old to send requests")
	ErrClosing      = errors.New("the instance is stopping")
)

// Class is the priority of a request while requests are queued.
type Class int

// The classes, from the highest priority to the lowest.
const (
	ClassHigh Class = iota
	ClassNormal
	ClassLow
	classCount
)

// Limits of the queues and of outlier ejection.
const (
	// MaxQueueLength is the number of requests that may wait per service and
	// class.
	MaxQueueLength = 512
	// lowestClassInterval is the interval, in slots granted to queued requests,
	// at which the lowest waiting class goes first, so that the higher ones
	// don't starve it.
	lowestClassInterval = 8
	// EjectAfterFailures is the number of consecutive failures after which a
	// minion is ejected: it gets no requests for ejectionTime.
	EjectAfterFailures = 3
	ejectionTime       = 5 * time.Second
	// maxEjectedDivisor is the reciprocal of the largest fraction of a service's
	// minions that may be ejected. Above it, ejections are ignored.
	maxEjectedDivisor = 2
)

// Config holds the settings of a Limiter.
type Config struct {
	// MaxViewAge is the maximum age of a view on which slots are granted.
	MaxViewAge time.Duration
	// EpochSettleTimeout is how long after an epoch change a larger share stays
	// unused while a member of the old or the new epoch has not reported the new
	// one.
	EpochSettleTimeout time.Duration
	// ClockOrigin is the time to which the view's monotonic timestamps are
	// relative.
	ClockOrigin time.Time
	// Domain is this instance's failure domain. Minions in it are preferred.
	Domain string
}

// Request describes a request that needs a slot.
type Request struct {
	Service string
	Class   Class
	// Exclude lists the addresses of minions that were already tried.
	Exclude []string
}

// Result tells what a request showed about the health of its minion.
type Result int

// The results.
const (
	Success Result = iota
	// Failure means that the minion could not be reached, broke off its
	// response or returned a server error.
	Failure
	// Inconclusive changes neither the failure count nor the mean hold time of
	// the minion.
	Inconclusive
)

// Lease holds one slot of a minion until Release.
type Lease struct {
	Target decider.Target

	limiter  *Limiter
	minion   *minion
	once     sync.Once
	acquired time.Time
}

type minion struct {
	target   decider.Target
	inFlight int
	// limit is the number of slots that this instance may use now. It can be
	// negative while other instances use more than their shares.
	limit               int
	consecutiveFailures int
	ejectedUntil        time.Time
	// meanHoldMS is an exponential moving average of the time for which slots
	// are held by successful requests.
	meanHoldMS float64
}

type service struct {
	minions []*minion
	queues  [classCount][]*waiter
	// granted counts the slots that were granted to queued requests.
	granted int
}

// Limiter grants slots from this instance's share.
type Limiter struct {
	name string
	cfg  Config

	mu              sync.Mutex
	view            *decider.View
	services        map[string]*service
	minions         map[string]*minion
	epochStart      time.Time
	previousMembers []string
	closing         bool
}

// New returns a limiter that grants no slots before the first Update.
func New(name string, cfg Config) *Limiter {
	return &Limiter{name: name, cfg: cfg, services: map[string]*service{}, minions: map[string]*minion{}, view: &decider.View{}}
}

// Update applies a new view of the control state and grants the slots that
// become available with it.
func (l *Limiter) Update(v *decider.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Epoch != l.view.Epoch {
		l.previousMembers, l.epochStart = l.view.Members, time.Now()
	}
	servicesChanged := v.Revision != l.view.Revision || l.view.Services == nil
	l.view = v
	if servicesChanged {
		l.rebuildServices()
	}
	l.computeLimits()
	for _, s := range l.services {
		l.dispatch(s)
	}
}

// Close makes queued and new requests fail with ErrClosing.
func (l *Limiter) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for _, s := range l.services {
		for c := range s.queues {
			for _, w := range s.queues[c] {
				close(w.ready)
			}
			s.queues[c] = nil
		}
	}
}

// InFlight returns the number of requests in flight by the minion's address.
// Minions without requests in flight are left out.
func (l *Limiter) InFlight() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	inFlight := map[string]int{}
	for address, m := range l.minions {
		if m.inFlight > 0 {
			inFlight[address] = m.inFlight
		}
	}
	return inFlight
}

// rebuildServices replaces the services and minions with those of the view. Minions
// that were known before keep their counters.
func (l *Limiter) rebuildServices() {
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
	// Minions that left the view stay while they have requests in flight, so
	// that InFlight reports them.
	for address, m := range l.minions {
		if kept[address] == nil && m.inFlight > 0 {
			kept[address] = m
		}
	}
	l.minions = kept
}

// Acquire returns a slot of one of the service's minions. If none is free, it
// queues the request until the context ends.
func (l *Limiter) Acquire(ctx context.Context, r Request) (lease *Lease, err error) {
	w, lease, err := l.acquireOrEnqueue(ctx, r)
	if w == nil {
		return lease, err
	}
	select {
	case lease = <-w.ready:
	case <-w.refused:
		return nil, ErrNoSlotInTime
	case <-ctx.Done():
		l.cancelWaiter(w)
		// A slot may have been granted before the waiter was removed.
		select {
		case lease = <-w.ready:
		default:
			return nil, ErrNoSlotInTime
		}
	}
	if lease == nil {
		return nil, ErrClosing
	}
	return lease, nil
}

// viewUsable reports whether slots may be granted on the view: it is caught up
// with the ledger, and it is recent enough or cannot have changed because no
// member can read the ledger.
func (l *Limiter) viewUsable() bool {
	age := time.Since(l.cfg.ClockOrigin) - time.Duration(l.view.StateAsOfMS)*time.Millisecond
	return l.view.CaughtUp && (age <= l.cfg.MaxViewAge || l.view.LedgerOutageAgreed)
}

// grant takes a slot of the minion. The caller holds l.mu.
func (l *Limiter) grant(m *minion) *Lease {
	m.inFlight++
	return &Lease{Target: m.target, limiter: l, minion: m, acquired: time.Now()}
}

// Release returns the slot. Only the first call has an effect.
func (lease *Lease) Release(result Result) {
	lease.once.Do(func() { lease.limiter.release(lease, result) })
}

// release updates the health of the minion and grants the free slot to a queued
// request.
func (l *Limiter) release(lease *Lease, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := lease.minion
	m.inFlight--
	switch result {
	case Success:
		m.consecutiveFailures = 0
		m.meanHoldMS += (float64(time.Since(lease.acquired).Milliseconds()) - m.meanHoldMS) / 8
	case Failure:
		m.consecutiveFailures++
		if m.consecutiveFailures >= EjectAfterFailures {
			m.consecutiveFailures, m.ejectedUntil = 0, time.Now().Add(ejectionTime)
		}
	}
	for _, s := range l.services {
		if slices.Contains(s.minions, m) {
			l.dispatch(s)
		}
	}
}
