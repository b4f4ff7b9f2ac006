package assembler

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisyhead/internal/workload/scheduler"
)

// meter holds the instance's metrics.
type meter struct {
	registry *prometheus.Registry
	calls    *prometheus.HistogramVec
	orders   *prometheus.CounterVec
	events   *prometheus.CounterVec
	step     prometheus.Histogram
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
	}
	m.registry.MustRegister(m.calls, m.orders, m.events, m.step, collectors.NewGoCollector())
	return m
}

func (m *meter) countOrder(kind string, result scheduler.OrderResult) {
	m.orders.WithLabelValues(kind, string(result)).Inc()
}

func (m *meter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	return mux
}
