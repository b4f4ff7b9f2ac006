package gatekeeper

import "github.com/prometheus/client_golang/prometheus"

var (
	connectionsDesc = prometheus.NewDesc("daisyhead_connections", "Open connections of a listener by what they are used for.", []string{"listener", "phase"}, nil)
	limitDesc       = prometheus.NewDesc("daisyhead_connections_limit", "Largest number of open connections of a listener.", []string{"listener"}, nil)
	memoryDesc      = prometheus.NewDesc("daisyhead_body_memory_bytes", "Memory that is reserved for requests with a small or a large body.", []string{"listener", "size"}, nil)
	refusedDesc     = prometheus.NewDesc("daisyhead_clients_refused_total", "Connections closed and connections or requests refused by a listener, by reason.", []string{"listener", "reason"}, nil)
)

// Collectors is a prometheus.Collector of several gatekeepers.
type Collectors []*Gatekeeper

// Describe implements prometheus.Collector.
func (Collectors) Describe(descs chan<- *prometheus.Desc) {
	descs <- connectionsDesc
	descs <- limitDesc
	descs <- memoryDesc
	descs <- refusedDesc
}

// Collect implements prometheus.Collector.
func (c Collectors) Collect(metrics chan<- prometheus.Metric) {
	for _, g := range c {
		g.collect(metrics)
	}
}

func (g *Gatekeeper) collect(metrics chan<- prometheus.Metric) {
	g.mu.Lock()
	defer g.mu.Unlock()
	idle, reading := g.idle.Len(), g.reading.Len()
	for _, m := range []struct {
		phase string
		count int
	}{{"idle", idle}, {"reading", reading}, {"active", len(g.conns) - idle - reading}} {
		metrics <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(m.count), g.name, m.phase)
	}
	metrics <- prometheus.MustNewConstMetric(limitDesc, prometheus.GaugeValue, float64(g.limits.Connections), g.name)
	if g.bodies != nil {
		metrics <- prometheus.MustNewConstMetric(memoryDesc, prometheus.GaugeValue, float64(g.bodies.small.reserved.Load()), g.name, "small")
		metrics <- prometheus.MustNewConstMetric(memoryDesc, prometheus.GaugeValue, float64(g.bodies.large.reserved.Load()), g.name, "large")
	}
	for _, r := range reasons {
		metrics <- prometheus.MustNewConstMetric(refusedDesc, prometheus.CounterValue, float64(g.counts[r]), g.name, r)
	}
}
