package assembler

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/snapshotter"
	"daisyhead/internal/platform/appender"
	"daisyhead/internal/traffic/router"
)

var errNotReady = errors.New("the instance has not loaded its state yet")

// Inspect runs read in the goroutine of the control loop, which owns the state,
// and returns once read has finished.
func (i *Instance) Inspect(ctx context.Context, read func(*reducer.State, decider.ControlStatus)) (err error) {
	if !i.started.Load() {
		return errNotReady
	}
	done := make(chan struct{})
	if !i.loop.Send(decider.InspectMsg{Read: read, Done: done}) {
		return errNotReady
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose appends entries to the ledger and logs the result of each.
func (i *Instance) Propose(ctx context.Context, entries ...encoder.Entry) (results []reducer.Result, err error) {
	results, err = i.recorder.Propose(ctx, entries...)
	for n, e := range entries {
		i.logEntry(e, n, results, err)
	}
	return results, err
}

// DeliverResults passes the results of a batch that was read back from the ledger to
// the proposals that wait for it.
func (i *Instance) DeliverResults(sequence uint64, results []reducer.Result) {
	i.recorder.DeliverResults(sequence, results)
}

// Claim looks up the claim of a non-idempotent request by its key.
func (i *Instance) Claim(ctx context.Context, key string) (claim reducer.Claim, known bool, err error) {
	err = i.Inspect(ctx, func(s *reducer.State, _ decider.ControlStatus) { claim, known = s.Claims[key] })
	return claim, known, err
}

// HandleRecords passes ledger records from the follower to the control loop. sent is
// when the read was sent.
func (i *Instance) HandleRecords(records []recorder.DecodedRecord, sent time.Time, caughtUp bool) {
	msg := decider.RecordsReadMsg{SentMS: sent.Sub(i.start).Milliseconds(), CaughtUp: caughtUp}
	for _, r := range records {
		msg.Records = append(msg.Records, decider.ReadRecord(r))
	}
	i.loop.Send(msg)
}

// RaiseAlarm logs and counts a condition that an operator should know about.
func (i *Instance) RaiseAlarm(name, detail string) {
	i.meter.CountAlarm(name)
	i.logger.Error(nil, "Alarm", "Alarm", name, "Detail", detail)
}

// LogAccess counts a finished request and writes it to the access log, if that is
// enabled.
func (i *Instance) LogAccess(a router.AccessRecord) {
	i.meter.ObserveRequest(a)
	if !i.settings.Logging.Access {
		return
	}
	i.logger.Info("Request", "Request", a.RequestID, "Workspace", a.Workspace, "Service", a.Service, "Method", a.Method,
		"Path", a.Path, "Key", a.Key, "Minion", a.Minion, "Status", a.Status, "Outcome", a.Outcome, "Tries", a.Tries,
		"Bytes", a.Bytes, "WaitMS", a.WaitMS, "TookMS", a.TookMS, "Error", a.Error)
}

// snapshotWriter writes and confirms snapshots on the snapshot stream.
type snapshotWriter struct{ log *appender.Client }

func (w snapshotWriter) Write(ctx context.Context, next uint64, data []byte) (uint64, error) {
	return snapshotter.Write(ctx, w.log, next, data)
}

func (w snapshotWriter) Confirm(ctx context.Context, next, hash uint64) error {
	return snapshotter.Confirm(ctx, w.log, next, hash)
}

// adminHandler serves health, readiness and metrics.
func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !i.ready.Load() || !i.View().CaughtUp {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.Handle("GET /metrics", i.meter.Handler())
	return mux
}

// registerMetrics registers the metrics that are read when they are collected.
func (i *Instance) registerMetrics() {
	view := func(read func(*decider.View) float64) func() float64 {
		return func() float64 { return read(i.View()) }
	}
	i.meter.AddGauge("daisyhead_fold_age_seconds", "Age of the control state built from the ledger.", view(func(v *decider.View) float64 {
		return (time.Since(i.start) - time.Duration(v.StateAsOfMS)*time.Millisecond).Seconds()
	}))
	i.meter.AddGauge("daisyhead_term", "Current term.", view(func(v *decider.View) float64 { return float64(v.Term) }))
	i.meter.AddGauge("daisyhead_holder", "1 if this instance holds the term, else 0.", view(func(v *decider.View) float64 { return boolToFloat(v.IsHolder) }))
	i.meter.AddGauge("daisyhead_members", "Number of instances that share the minions' limits.", view(func(v *decider.View) float64 { return float64(len(v.Members)) }))
	i.meter.AddGauge("daisyhead_ledger_next_offset", "Offset of the next ledger record to apply.", view(func(v *decider.View) float64 { return float64(v.Next) }))
	i.meter.AddGauge("daisyhead_ledger_queued", "Proposals that wait to be appended to the ledger.", func() float64 { return float64(i.recorder.Queued()) })
	i.meter.AddCounter("daisyhead_ledger_appends_total", "Appends sent to the ledger.", func() float64 { n, _ := i.recorder.Appends(); return float64(n) })
	i.meter.AddCounter("daisyhead_ledger_append_failures_total", "Appends that failed or got no answer.", func() float64 { _, n := i.recorder.Appends(); return float64(n) })
	i.meter.AddCounter("daisyhead_peer_sent_bytes_total", "Bytes of messages sent to other instances.", func() float64 { n, _ := i.messenger.Traffic(); return float64(n) })
	i.meter.AddCounter("daisyhead_peer_received_bytes_total", "Bytes of messages received from other instances.", func() float64 { _, n := i.messenger.Traffic(); return float64(n) })
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// publishedTicket is the JSON form in which the API appends tickets to the
// configuration stream. Operators may also append a bare ticket, as YAML or JSON.
type publishedTicket struct {
	SubmissionID string
	Ticket       specifier.Ticket
}
