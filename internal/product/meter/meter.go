// Package meter holds an instance's Prometheus metrics.
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

// Meter records metrics. Its methods are safe for concurrent use.
type Meter struct {
	registry       *prometheus.Registry
	apiSeconds     *prometheus.HistogramVec
	requestsTotal  *prometheus.CounterVec
	requestSeconds *prometheus.HistogramVec
	retriesTotal   prometheus.Counter
	alarmsTotal    *prometheus.CounterVec
	// StepSeconds measures the steps of the control loop.
	StepSeconds prometheus.Histogram
}

// requestBuckets are in seconds and range from a fast local answer to a long
// render.
var requestBuckets = []float64{.001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// New returns a meter with its own registry.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		apiSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisyhead_api_seconds", Help: "Duration of API calls by operation and status.", Buckets: requestBuckets,
		}, []string{"operation", "status"}),
		requestsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_requests_total", Help: "Requests to minions by service, status and outcome.",
		}, []string{"service", "status", "outcome"}),
		requestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "daisyhead_request_seconds", Help: "Duration of requests to minions by service.", Buckets: requestBuckets,
		}, []string{"service"}),
		retriesTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "daisyhead_request_retries_total", Help: "Retries of requests to minions.",
		}),
		alarmsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "daisyhead_alarms_total", Help: "Conditions that an operator should know about, by name.",
		}, []string{"name"}),
		StepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "daisyhead_control_step_seconds", Help: "Duration of one step of the control loop.",
			Buckets: []float64{.00001, .00005, .0001, .0005, .001, .005, .01, .05, .1, .5},
		}),
	}
	m.registry.MustRegister(m.apiSeconds, m.requestsTotal, m.requestSeconds, m.retriesTotal, m.alarmsTotal, m.StepSeconds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// AddGauge adds a gauge that is read when metrics are collected.
func (m *Meter) AddGauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, read))
}

// Add adds metrics that are read when metrics are collected.
func (m *Meter) Add(c prometheus.Collector) { m.registry.MustRegister(c) }

// AddCounter adds a counter that is read when metrics are collected.
func (m *Meter) AddCounter(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, read))
}

// Observe records the duration of one API call.
func (m *Meter) Observe(operation string, status int, took time.Duration) {
	m.apiSeconds.WithLabelValues(operation, strconv.Itoa(status)).Observe(took.Seconds())
}

// ObserveRequest records one request to a minion. Requests for unknown services
// share one label value, so that callers can't create new time series.
func (m *Meter) ObserveRequest(a router.AccessRecord) {
	service := a.Service
	if a.Status == http.StatusNotFound && a.Tries == 0 {
		service = "unknown"
	}
	m.requestsTotal.WithLabelValues(service, strconv.Itoa(a.Status), string(a.Outcome)).Inc()
	m.requestSeconds.WithLabelValues(service).Observe(float64(a.TookMS) / 1000)
	m.retriesTotal.Add(float64(max(a.Tries-1, 0)))
}

// CountAlarm counts an alarm.
func (m *Meter) CountAlarm(name string) { m.alarmsTotal.WithLabelValues(name).Inc() }

// Handler serves the metrics in the Prometheus format.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
