package assembler

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/scheduler"
)

// meter holds the instance's metrics.
type meter struct {
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	orders   *prometheus.CounterVec
	events   *prometheus.CounterVec
	step     prometheus.Histogram
	// endConfirmation and endsUnconfirmed are of the ends of tasks that workers list.
	endConfirmation prometheus.Histogram
	endsUnconfirmed prometheus.Gauge

	// Gauges of the way to the workers.
	ordersInFlight, ordersLimit      prometheus.Gauge
	ordersQueued, ordersQueueAge     *prometheus.GaugeVec
	ordersDroppedUnsent, passesPaced prometheus.Gauge
	// Gauges of the workspaces.
	workspaceUse, workspaceLimit *prometheus.GaugeVec

	// Counters of the order under scarcity.
	jobsDelayed, jobsRefused *prometheus.CounterVec
	queueStats               scheduler.QueueStats

	// Gauges of the capacity that is kept for gangs.
	backfillGangs, backfillTasks, backfillReady prometheus.Gauge
}

func newMeter() *meter {
	m := &meter{
		registry: prometheus.NewRegistry(),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisyhead_call_seconds", Help: "Time of callers' calls by kind and verdict.",
			Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 3},
		}, []string{"kind", "verdict"}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_orders_total", Help: "Orders to workers by kind and result.",
		}, []string{"kind", "result"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_events_total", Help: "Decisions and changes by name, as in the log.",
		}, []string{"name"}),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "daisyhead_control_step_seconds", Help: "Time of one step of the control loop.",
			Buckets: []float64{.0001, .0005, .001, .005, .01, .05, .1},
		}),
		endConfirmation: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "daisyhead_end_confirmation_seconds", Help: "Time from the first listing of a task's end to its confirmation, by this holder.",
			Buckets: []float64{.01, .025, .05, .1, .25, .5, 1, 2, 4, 8, 13, 16, 30},
		}),
		endsUnconfirmed: newGauge("daisyhead_ends_unconfirmed", "Ends of tasks that wait for their confirmation."),
		ordersInFlight:  newGauge("daisyhead_orders_in_flight", "Orders to workers that await an answer."),
		ordersLimit:     newGauge("daisyhead_orders_limit", "Bound of daisyhead_orders_in_flight, by the time that answers take."),
		ordersQueued: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "daisyhead_orders_queued", Help: "Orders that wait to be sent, by kind.",
		}, []string{"kind"}),
		ordersQueueAge: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "daisyhead_orders_queue_age_seconds", Help: "How long the first of the queued orders has waited, by kind.",
		}, []string{"kind"}),
		ordersDroppedUnsent: newGauge("daisyhead_orders_dropped_unsent", "Orders dropped since the start because they were no longer wanted when their turn came."),
		passesPaced:         newGauge("daisyhead_passes_paced", "Scheduling passes since the start that were ended early because of queued starts."),
		workspaceUse: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "daisyhead_workspace_use", Help: "What counts towards the limit of each workspace, at the holder.",
		}, workspaceLabels),
		workspaceLimit: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "daisyhead_workspace_limit", Help: "Limit of each workspace, at the holder. Resources without a limit are left out.",
		}, workspaceLabels),
		backfillGangs: newGauge("daisyhead_backfill_gangs", "Gangs for which capacity is kept until they fit."),
		backfillTasks: newGauge("daisyhead_backfill_tasks", "Tasks of the gangs for which capacity is kept."),
		backfillReady: newGauge("daisyhead_backfill_ready_seconds", "Longest time until one of these gangs is expected to fit; negative if it is overdue."),
	}
	m.jobsDelayed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisyhead_jobs_delayed_total", Help: "Jobs that this instance, as the holder, has put behind others for lack of capacity, by reason.",
	}, []string{"reason"})
	m.jobsRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "daisyhead_jobs_refused_total", Help: "Jobs that this instance, as the holder, has refused for lack of capacity, by reason.",
	}, []string{"reason"})
	m.registry.MustRegister(m.jobsDelayed, m.jobsRefused, m.calls, m.orders, m.events, m.step, m.endConfirmation, m.endsUnconfirmed, collectors.NewGoCollector(),
		m.ordersInFlight, m.ordersLimit, m.ordersQueued, m.ordersQueueAge, m.ordersDroppedUnsent, m.passesPaced, m.workspaceUse, m.workspaceLimit,
		m.backfillGangs, m.backfillTasks, m.backfillReady)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

// watchLatency registers the gauge of the ledger's estimated latency.
func (m *meter) watchLatency(s follower.LatencySource) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "daisyhead_ledger_latency_seconds", Help: "Estimated latency of the ledger by its reads, 0 if it is unknown.",
	}, func() float64 {
		latency, _ := s.EstimatedLatency()
		return latency.Seconds()
	}))
}

// setOrderStats sets the gauges of the way to the workers.
func (m *meter) setOrderStats(s scheduler.OrderStats) {
	m.ordersInFlight.Set(float64(s.InFlight))
	m.ordersLimit.Set(float64(s.Limit))
	m.ordersDroppedUnsent.Set(float64(s.DroppedUnsent))
	m.passesPaced.Set(float64(s.PassesPaced))
	for k, q := range s.Queues {
		m.ordersQueued.WithLabelValues(k.String()).Set(float64(q.Orders))
		m.ordersQueueAge.WithLabelValues(k.String()).Set(float64(q.OldestMS) / 1000)
	}
}

// workspaceLabels are the labels of the gauges of the workspaces.
var workspaceLabels = []string{"Workspace", "Resource"}

// setWorkspaceUses sets the gauges of the workspaces.
func (m *meter) setWorkspaceUses(uses []scheduler.WorkspaceUse) {
	m.workspaceUse.Reset()
	m.workspaceLimit.Reset()
	for _, u := range uses {
		m.workspaceUse.WithLabelValues(u.Workspace, u.Resource).Set(float64(u.Use))
		if u.Limit > 0 {
			m.workspaceLimit.WithLabelValues(u.Workspace, u.Resource).Set(float64(u.Limit))
		}
	}
}

// setQueueStats advances the counters of the order under scarcity to those of the model.
func (m *meter) setQueueStats(s scheduler.QueueStats) {
	for reason, n := range s.Delayed {
		m.jobsDelayed.WithLabelValues(reason).Add(float64(n - m.queueStats.Delayed[reason]))
	}
	for reason, n := range s.Refused {
		m.jobsRefused.WithLabelValues(reason).Add(float64(n - m.queueStats.Refused[reason]))
	}
	m.queueStats = s
}

// setBackfillStats sets the gauges of the capacity that is kept for gangs.
func (m *meter) setBackfillStats(s scheduler.BackfillStats) {
	m.backfillGangs.Set(float64(s.Gangs))
	m.backfillTasks.Set(float64(s.Tasks))
	m.backfillReady.Set(float64(s.LatestReadyInMS) / 1000)
}

func (m *meter) countOrder(kind string, result scheduler.OrderResult) {
	m.orders.WithLabelValues(kind, string(result)).Inc()
}

func (m *meter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
