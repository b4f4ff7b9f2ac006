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

// Inspect runs read in the control goroutine.
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

// Propose appends entries and logs what became of them.
func (i *Instance) Propose(ctx context.Context, entries ...encoder.Entry) (results []reducer.Result, err error) {
	results, err = i.recorder.Propose(ctx, entries...)
	for n, e := range entries {
		i.logEntry(e, n, results, err)
	}
	return results, err
}

// DeliverResults hands over the results of a folded batch.
func (i *Instance) DeliverResults(sequence uint64, results []reducer.Result) {
	i.recorder.DeliverResults(sequence, results)
}

// Claim looks a claimed request up.
func (i *Instance) Claim(ctx context.Context, key string) (claim reducer.Claim, known bool, err error) {
	err = i.Inspect(ctx, func(s *reducer.State, _ decider.ControlStatus) { claim, known = s.Claims[key] })
	return claim, known, err
}

// HandleRecords takes records from the follower.
func (i *Instance) HandleRecords(records []recorder.DecodedRecord, sent time.Time, caughtUp bool) {
	msg := decider.RecordsReadMsg{SentMS: sent.Sub(i.start).Milliseconds(), CaughtUp: caughtUp}
	for _, r := range records {
		msg.Records = append(msg.Records, decider.ReadRecord(r))
	}
	i.loop.Send(msg)
}

// RaiseAlarm logs and counts a condition that an operator should know of.
func (i *Instance) RaiseAlarm(name, detail string) {
	i.meter.Alarm(name)
	i.logger.Error(nil, "Alarm", "Alarm", name, "Detail", detail)
}

// LogAccess logs and counts a finished request.
func (i *Instance) LogAccess(a router.AccessRecord) {
	i.meter.ObserveRequest(a)
	if !i.settings.Logging.Access {
		return
	}
	i.logger.Info("Request", "Request", a.RequestID, "Workspace", a.Workspace, "Service", a.Service, "Method", a.Method,
		"Path", a.Path, "Key", a.Key, "Minion", a.Minion, "Status", a.Status, "Outcome", a.Outcome, "Tries", a.Tries,
		"Bytes", a.Bytes, "WaitMS", a.WaitMS, "TookMS", a.TookMS, "Error", a.Error)
}

// snapshotWriter writes snapshots to their stream.
type snapshotWriter struct{ log *appender.Client }

func (w snapshotWriter) Write(ctx context.Context, next uint64, data []byte) (uint64, error) {
	return snapshotter.Write(ctx, w.log, next, data)
}

func (w snapshotWriter) Confirm(ctx context.Context, next, hash uint64) error {
	return snapshotter.Confirm(ctx, w.log, next, hash)
}

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

func (i *Instance) registerMetrics() {
	view := func(read func(*decider.View) float64) func() float64 {
		return func() float64 { return read(i.View()) }
	}
	i.meter.Gauge("daisyhead_fold_age_seconds", "Age of the folded control state.", view(func(v *decider.View) float64 {
		return (time.Since(i.start) - time.Duration(v.StateAsOfMS)*time.Millisecond).Seconds()
	}))
	i.meter.Gauge("daisyhead_term", "Current term.", view(func(v *decider.View) float64 { return float64(v.Term) }))
	i.meter.Gauge("daisyhead_holder", "1 on the instance that holds the term.", view(func(v *decider.View) float64 { return boolNumber(v.IsHolder) }))
	i.meter.Gauge("daisyhead_members", "Instances that share the minions' limits.", view(func(v *decider.View) float64 { return float64(len(v.Members)) }))
	i.meter.Gauge("daisyhead_ledger_next_offset", "Offset of the next record to fold.", view(func(v *decider.View) float64 { return float64(v.Next) }))
	i.meter.Gauge("daisyhead_ledger_queued", "Proposals that wait for an append.", func() float64 { return float64(i.recorder.Queued()) })
	i.meter.Counter("daisyhead_ledger_appends_total", "Appends sent to the ledger.", func() float64 { n, _ := i.recorder.Appends(); return float64(n) })
	i.meter.Counter("daisyhead_ledger_append_failures_total", "Appends without a good answer.", func() float64 { _, n := i.recorder.Appends(); return float64(n) })
	i.meter.Counter("daisyhead_peer_sent_bytes_total", "Bytes of messages sent to other instances.", func() float64 { n, _ := i.messenger.Traffic(); return float64(n) })
	i.meter.Counter("daisyhead_peer_received_bytes_total", "Bytes of messages received from other instances.", func() float64 { _, n := i.messenger.Traffic(); return float64(n) })
}

func boolNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// publishedTicket is the form in which the API puts tickets on the operators'
// stream. Operators may also publish a bare ticket, as YAML or JSON.
type publishedTicket struct {
	SubmissionID string
	Ticket       specifier.Ticket
}
