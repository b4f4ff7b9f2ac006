package follower

import (
	"sync/atomic"
	"time"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// Sink accepts messages for the control loop.
type Sink interface {
	Send(scheduler.Msg) bool
}

// Reporter writes events to the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// LedgerHandler passes the ledger's records to the control loop.
type LedgerHandler struct {
	Sink     Sink
	Reporter Reporter
	// Start is the zero of the control loop's monotonic clock.
	Start time.Time
	// OnRecovery, if set, is called when the ledger answers again after an outage.
	OnRecovery func()

	availability availability
}

// Load implements Handler.
func (h *LedgerHandler) Load(items []reducer.Record, next uint64, sent time.Time) {
	t := reducer.New()
	for _, r := range items {
		if err := t.Apply(r.Offset, r); err != nil {
			h.Reporter.Event("LedgerRecordSkipped", "Key", r.Key, "Error", err.Error())
		}
	}
	t.Next = next
	var bytes int
	for _, r := range items {
		bytes += len(r.Key) + len(r.Value)
	}
	h.Reporter.Event("LedgerTransferred", "Records", len(items), "Bytes", bytes, "TookMS", time.Since(sent).Milliseconds())
	h.Sink.Send(scheduler.LedgerLoadedMsg{Table: t, AsOfMS: h.ms(sent)})
}

// Update implements Handler.
func (h *LedgerHandler) Update(from uint64, items []reducer.Record, asOf time.Time, caughtUp bool) {
	if h.availability.recordSuccess(h.Reporter, "Ledger") && h.OnRecovery != nil {
		h.OnRecovery()
	}
	h.Sink.Send(scheduler.LedgerReadMsg{From: from, Records: items, AsOfMS: h.ms(asOf), CaughtUp: caughtUp})
}

// SampleLatency passes the latency of a read to the control loop.
func (h *LedgerHandler) SampleLatency(s LatencySample) {
	h.Sink.Send(scheduler.LedgerLatencyMsg{EstimateMS: s.Estimate.Milliseconds(), LatencyMS: s.Latency.Milliseconds(), Exact: s.Exact})
}

// ReportUnanswered tells the control loop that a read which measures the latency got no answer.
func (h *LedgerHandler) ReportUnanswered() { h.Sink.Send(scheduler.LedgerLatencyMsg{Unanswered: true}) }

// DownFor reports whether all reads of the ledger have failed for at least the duration d.
func (h *LedgerHandler) DownFor(d time.Duration) bool { return h.availability.downFor(d) }

// Fail implements Handler.
func (h *LedgerHandler) Fail(err error) {
	h.availability.recordFailure(h.Reporter, "Ledger", err)
	h.Sink.Send(scheduler.LedgerFailedMsg{Err: err.Error()})
}

func (h *LedgerHandler) ms(t time.Time) int64 { return t.Sub(h.Start).Milliseconds() }

// ConfigHandler keeps the configuration in force. Calls are answered using it, and each new one
// is sent to the control loop.
type ConfigHandler struct {
	Sink     Sink
	Reporter Reporter

	current atomic.Pointer[describer.Configuration]
	// asOf is the time as of which current was the newest, in Unix nanoseconds.
	asOf         atomic.Int64
	availability availability
}

// Current returns the configuration in force and the time as of which it was the newest one.
// cfg is nil until the first configuration is known.
func (c *ConfigHandler) Current() (cfg *describer.Configuration, asOf time.Time) {
	return c.current.Load(), time.Unix(0, c.asOf.Load())
}

// Load implements Handler. It ignores a version that is older than the one in force, but takes
// over the closed domains as they were loaded.
func (c *ConfigHandler) Load(items []describer.Change, _ uint64, sent time.Time) {
	base := &describer.Configuration{}
	if inForce := c.current.Load(); inForce != nil {
		copied := *inForce
		copied.Closed = nil
		base = &copied
	}
	c.apply(base, items)
	c.confirmNewest(sent)
}

// Update implements Handler.
func (c *ConfigHandler) Update(_ uint64, items []describer.Change, asOf time.Time, caughtUp bool) {
	base := c.current.Load()
	if base == nil {
		base = &describer.Configuration{}
	}
	if len(items) > 0 {
		c.apply(base, items)
	}
	if caughtUp {
		c.confirmNewest(asOf)
	}
}

// apply applies changes to cfg, puts the result in force and sends it to the control loop.
func (c *ConfigHandler) apply(cfg *describer.Configuration, items []describer.Change) {
	for _, change := range items {
		cfg, _ = cfg.Apply(change)
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

// confirmNewest records that the configuration in force was the newest one at asOf.
func (c *ConfigHandler) confirmNewest(asOf time.Time) {
	c.asOf.Store(max(c.asOf.Load(), asOf.UnixNano()))
	c.availability.recordSuccess(c.Reporter, "OperatorsFeed")
}

// Fail implements Handler.
func (c *ConfigHandler) Fail(err error) {
	c.availability.recordFailure(c.Reporter, "OperatorsFeed", err)
}

// WorkerList keeps the list of workers while this instance holds the term.
type WorkerList struct {
	Sink     Sink
	Reporter Reporter
	// Start is the zero of the control loop's monotonic clock.
	Start time.Time

	workers      map[string]describer.Worker
	availability availability
}

// Load implements Handler.
func (l *WorkerList) Load(items []describer.WorkerChange, _ uint64, sent time.Time) {
	l.workers = map[string]describer.Worker{}
	l.Update(0, items, sent, true)
}

// Update implements Handler.
func (l *WorkerList) Update(_ uint64, items []describer.WorkerChange, asOf time.Time, caughtUp bool) {
	l.availability.recordSuccess(l.Reporter, "WorkersFeed")
	changed := false
	for _, c := range items {
		changed = l.apply(c) || changed
	}
	if changed {
		l.send()
	}
	if caughtUp {
		l.Sink.Send(scheduler.ListReadMsg{AsOfMS: asOf.Sub(l.Start).Milliseconds()})
	}
}

// apply updates one entry. changed is false if the entry is the same as before.
func (l *WorkerList) apply(c describer.WorkerChange) (changed bool) {
	switch {
	case c.ID == "":
		return false
	case c.Worker == nil:
		_, changed = l.workers[c.ID]
		delete(l.workers, c.ID)
	default:
		changed = !l.workers[c.ID].Equal(*c.Worker)
		l.workers[c.ID] = *c.Worker
	}
	return changed
}

// send sends the entire list to the control loop.
func (l *WorkerList) send() {
	msg := scheduler.ListedMsg{Workers: make([]describer.Worker, 0, len(l.workers))}
	for _, w := range l.workers {
		msg.Workers = append(msg.Workers, w)
	}
	l.Sink.Send(msg)
}

// Fail implements Handler.
func (l *WorkerList) Fail(err error) { l.availability.recordFailure(l.Reporter, "WorkersFeed", err) }

// availability tracks whether a dependency answers. It logs the first failure of an outage and
// the recovery.
type availability struct {
	failing atomic.Bool
	// failedAt is when the latest outage began, in Unix nanoseconds.
	failedAt atomic.Int64
}

// downFor reports whether the dependency has failed for at least d without a success.
func (a *availability) downFor(d time.Duration) bool {
	return a.failing.Load() && time.Now().UnixNano()-a.failedAt.Load() >= int64(d)
}

// recordSuccess records that the dependency has answered. recovered is true after a failure.
func (a *availability) recordSuccess(r Reporter, name string) (recovered bool) {
	if !a.failing.Swap(false) {
		return false
	}
	r.Event("DependencyRegained", "Dependency", name)
	return true
}

// recordFailure records that the dependency has failed to answer.
func (a *availability) recordFailure(r Reporter, name string, err error) {
	if !a.failing.Swap(true) {
		a.failedAt.Store(time.Now().UnixNano())
		r.Event("DependencyLost", "Dependency", name, "Error", err.Error())
	}
}
