package follower

import (
	"sync/atomic"
	"time"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// Sink takes messages for the control loop.
type Sink interface {
	Send(scheduler.Msg) bool
}

// Reporter takes events for the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// LedgerHandler hands the ledger's records to the control loop.
type LedgerHandler struct {
	Sink     Sink
	Reporter Reporter
	Start    time.Time
	// Regained, if set, is called when the ledger answers after an outage.
	Regained func()

	link link
}

// Load implements Handler.
func (h *LedgerHandler) Load(items []tabulator.Record, next uint64, sent time.Time) {
	t := tabulator.New()
	for _, r := range items {
		if err := t.Apply(0, r); err != nil {
			h.Reporter.Event("LedgerRecordSkipped", "Key", r.Key, "Error", err.Error())
		}
	}
	t.Next = next
	h.Sink.Send(scheduler.LedgerLoadedMsg{Table: t, SentMS: h.ms(sent)})
}

// Take implements Handler.
func (h *LedgerHandler) Take(from uint64, items []tabulator.Record, asOf time.Time, caughtUp bool) {
	if h.link.up(h.Reporter, "Ledger") && h.Regained != nil {
		h.Regained()
	}
	h.Sink.Send(scheduler.LedgerReadMsg{From: from, Records: items, SentMS: h.ms(asOf), CaughtUp: caughtUp})
}

// DownFor reports whether reads of the ledger have failed for that long.
func (h *LedgerHandler) DownFor(d time.Duration) bool { return h.link.downFor(d) }

// Fail implements Handler.
func (h *LedgerHandler) Fail(err error) {
	h.link.down(h.Reporter, "Ledger", err)
	h.Sink.Send(scheduler.LedgerFailedMsg{Err: err.Error()})
}

func (h *LedgerHandler) ms(t time.Time) int64 { return t.Sub(h.Start).Milliseconds() }

// Catalog keeps the configuration in force for traffic and the control loop.
type Catalog struct {
	Sink     Sink
	Reporter Reporter

	current atomic.Pointer[describer.Configuration]
	asOf    atomic.Int64
	link    link
}

// Current returns the configuration in force and the time as of which it was
// the newest one. It is nil before the first one is known.
func (c *Catalog) Current() (cfg *describer.Configuration, asOf time.Time) {
	return c.current.Load(), time.Unix(0, c.asOf.Load())
}

// Load implements Handler. A version that is older than the one in force
// changes nothing.
func (c *Catalog) Load(items []describer.Change, _ uint64, sent time.Time) {
	base := &describer.Configuration{}
	if now := c.current.Load(); now != nil {
		copied := *now
		copied.Closed = nil
		base = &copied
	}
	c.apply(base, items)
	c.confirm(sent)
}

// Take implements Handler.
func (c *Catalog) Take(_ uint64, items []describer.Change, asOf time.Time, caughtUp bool) {
	base := c.current.Load()
	if base == nil {
		base = &describer.Configuration{}
	}
	if len(items) > 0 {
		c.apply(base, items)
	}
	if caughtUp {
		c.confirm(asOf)
	}
}

func (c *Catalog) apply(cfg *describer.Configuration, items []describer.Change) {
	for _, change := range items {
		cfg, _ = cfg.With(change)
	}
	if cfg.Version == 0 || cfg == c.current.Load() {
		return
	}
	c.current.Store(cfg)
	closed := make([]string, 0, len(cfg.Closed))
	for d := range cfg.Closed {
		closed = append(closed, d)
	}
	c.Reporter.Event("ConfigurationInForce", "Version", cfg.Version, "Queues", len(cfg.Queues), "Workspaces", len(cfg.Workspaces), "ClosedDomains", closed)
	c.Sink.Send(scheduler.ConfiguredMsg{Configuration: cfg})
}

func (c *Catalog) confirm(asOf time.Time) {
	c.asOf.Store(max(c.asOf.Load(), asOf.UnixNano()))
	c.link.up(c.Reporter, "OperatorsFeed")
}

// Fail implements Handler.
func (c *Catalog) Fail(err error) { c.link.down(c.Reporter, "OperatorsFeed", err) }

// Roster keeps the list of workers while this instance decides.
type Roster struct {
	Sink     Sink
	Reporter Reporter

	workers map[string]describer.Worker
	link    link
}

// Load implements Handler.
func (r *Roster) Load(items []describer.WorkerChange, _ uint64, _ time.Time) {
	r.workers = map[string]describer.Worker{}
	r.Take(0, items, time.Time{}, true)
}

// Take implements Handler.
func (r *Roster) Take(_ uint64, items []describer.WorkerChange, _ time.Time, _ bool) {
	r.link.up(r.Reporter, "WorkersFeed")
	changed := false
	for _, c := range items {
		changed = r.apply(c) || changed
	}
	if changed {
		r.send()
	}
}

func (r *Roster) apply(c describer.WorkerChange) (changed bool) {
	switch {
	case c.ID == "":
		return false
	case c.Worker == nil:
		_, changed = r.workers[c.ID]
		delete(r.workers, c.ID)
	default:
		changed = !r.workers[c.ID].Equal(*c.Worker)
		r.workers[c.ID] = *c.Worker
	}
	return changed
}

func (r *Roster) send() {
	msg := scheduler.ListedMsg{Workers: make([]describer.Worker, 0, len(r.workers))}
	for _, w := range r.workers {
		msg.Workers = append(msg.Workers, w)
	}
	r.Sink.Send(msg)
}

// Fail implements Handler.
func (r *Roster) Fail(err error) { r.link.down(r.Reporter, "WorkersFeed", err) }

// link reports the first failure and the recovery of a dependency.
type link struct {
	failing atomic.Bool
	// failedAt is when the latest failure began, Unix nanoseconds.
	failedAt atomic.Int64
}

// downFor reports whether the dependency has failed for that long without a success.
func (l *link) downFor(d time.Duration) bool {
	return l.failing.Load() && time.Now().UnixNano()-l.failedAt.Load() >= int64(d)
}

func (l *link) up(r Reporter, name string) (regained bool) {
	if !l.failing.Swap(false) {
		return false
	}
	r.Event("DependencyRegained", "Dependency", name)
	return true
}

func (l *link) down(r Reporter, name string, err error) {
	if !l.failing.Swap(true) {
		l.failedAt.Store(time.Now().UnixNano())
		r.Event("DependencyLost", "Dependency", name, "Error", err.Error())
	}
}
