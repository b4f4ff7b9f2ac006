// Package meter holds an instance's metrics.
//
//	m := meter.New()
//	m.Observe("SubmitJob", 200, 3*time.Millisecond)
//	http.Handle("/metrics", m.Handler())
package meter

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"daisyhead/internal/traffic/router"
)

// Meter counts and measures. Its methods may be called from any goroutine.
type Meter struct {
	registry *prometheus.Registry
	api      *prometheus.HistogramVec
	requests *prometheus.CounterVec
	request  *prometheus.HistogramVec
	retries  prometheus.Counter
	alarms   *prometheus.CounterVec
	Update   prometheus.Histogram
}

// requestBuckets span from a fast local answer to a long render.
var requestBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// New returns a meter with a registry of its own.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		api: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisyhead_api_seconds", Help: "Time of API calls by operation and status.", Buckets: requestBuckets,
		}, []string{"operation", "status"}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_requests_total", Help: "Requests to minions by service, status and outcome.",
		}, []string{"service", "status", "outcome"}),
		request: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisyhead_request_seconds", Help: "Time of requests to minions by service.", Buckets: requestBuckets,
		}, []string{"service"}),
		retries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "daisyhead_request_retries_total", Help: "Tries beyond the first of requests to minions.",
		}),
		alarms: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_alarms_total", Help: "Conditions that an operator should know of, by name.",
		}, []string{"name"}),
		Update: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "daisyhead_control_step_seconds", Help: "Time of one step of the control loop.",
			Buckets: []float64{.00001, .00005, .0001, .0005, .001, .005, .01, .05, .1, .5},
		}),
	}
	m.registry.MustRegister(m.api, m.requests, m.request, m.retries, m.alarms, m.Update,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Gauge adds a gauge that is read when metrics are collected.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Counter adds a counter that is read when metrics are collected.
func (m *Meter) Counter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Observe measures one API call.
func (m *Meter) Observe(operation string, status int, took time.Duration) {
	m.api.WithLabelValues(operation, strconv.Itoa(status)).Observe(took.Seconds())
}

// ObserveRequest measures one request to a minion. Requests for unknown
// services share a label, so that callers can't make new ones.
func (m *Meter) ObserveRequest(a router.AccessRecord) {
	service := a.Service
	if a.Status == http.StatusNotFound && a.Tries == 0 {
		service = "unknown"
	}
	m.requests.WithLabelValues(service, strconv.Itoa(a.Status), string(a.Outcome)).Inc()
	m.request.WithLabelValues(service).Observe(float64(a.TookMS) / 1000)
	m.retries.Add(float64(max(a.Tries-1, 0)))
}

// Alarm counts an alarm.
func (m *Meter) Alarm(name string) { m.alarms.WithLabelValues(name).Inc() }

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
