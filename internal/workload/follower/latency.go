package follower

import (
	"sync"
	"time"
)

const (
	// latencyWindow is how far the estimate looks back. It covers several reads of the holder.
	latencyWindow = time.Second
	// maxLatencyAge is the age from which on the last read tells nothing any more. Instances
	// of low rank begin a read each second.
	maxLatencyAge = 2500 * time.Millisecond
	// maxLatencySamples limits the samples that are kept, far more than a window has.
	maxLatencySamples = 64
)

// Latency estimates how long the platform takes to answer, from the reads of one feed. The zero
// value knows nothing.
//
// The estimate is the smallest latency of the reads in the latest window and of the last exact
// one: a read that was answered with records after it may have waited for them only looks slower.
// Reads in flight raise it before they are answered: a call
// that has no answer yet, and that no later call has overtaken, has taken at least its age.
type Latency struct {
	// OnSample, if set, is called after each answered read.
	OnSample func(LatencySample)
	// OnUnanswered, if set, is called when a read that measures the latency got no answer.
	OnUnanswered func()

	mu sync.Mutex
	// samples are the latest ones, exact the last exact one.
	samples []latencySample
	exact   latencySample
	// inFlight holds the times from which on the answers of the reads in flight were possible.
	inFlight map[*ReadTimer]time.Time
	// answeredFrom is the latest such time of an answered read. One that was answered with records
	// before the end of its wait counts from when it was sent.
	answeredFrom time.Time
}

// LatencySample is what one answered read tells.
type LatencySample struct {
	// Estimate is the estimate with this read.
	Estimate time.Duration
	// Latency is the latency of this read. Exact is not set if the read has waited for records
	// for an unknown part of it.
	Latency time.Duration
	Exact   bool
}

type latencySample struct {
	at      time.Time
	latency time.Duration
}

// ReadTimer measures one read.
type ReadTimer struct {
	latency *Latency
	sent    time.Time
	wait    time.Duration
}

// Begin starts the measurement of a read that waits for records for at most wait.
func (l *Latency) Begin(wait time.Duration) *ReadTimer {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &ReadTimer{latency: l, sent: time.Now(), wait: wait}
	if l.inFlight == nil {
		l.inFlight = map[*ReadTimer]time.Time{}
	}
	l.inFlight[r] = r.sent.Add(wait)
	return r
}

// Answered ends the measurement. empty is set if the read has brought no records.
func (r *ReadTimer) Answered(empty bool) {
	l := r.latency
	l.mu.Lock()
	now := time.Now()
	took := now.Sub(r.sent)
	exact := r.wait == 0 || empty && took >= r.wait
	if empty && took >= r.wait {
		took -= r.wait
	}
	from := r.sent
	if exact {
		from = r.sent.Add(r.wait)
	}
	if from.After(l.answeredFrom) {
		l.answeredFrom = from
	}
	delete(l.inFlight, r)
	sample := latencySample{now, took}
	if exact {
		l.exact = sample
	}
	l.samples = append(l.samples, sample)
	if len(l.samples) > maxLatencySamples {
		l.samples = l.samples[1:]
	}
	estimate, _ := l.estimate(now)
	onSample := l.OnSample
	l.mu.Unlock()
	if onSample != nil {
		onSample(LatencySample{Estimate: estimate, Latency: took, Exact: exact})
	}
}

// Dropped ends the measurement of a read that failed or was given up.
func (r *ReadTimer) Dropped() {
	r.latency.mu.Lock()
	defer r.latency.mu.Unlock()
	delete(r.latency.inFlight, r)
}

// NeedsExact reports whether the next read should not wait for records: the last one took long,
// and no exact one in the window tells whether it has waited.
func (l *Latency) NeedsExact() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.samples)
	return n > 0 && l.samples[n-1].latency >= SlowLatency && time.Since(l.exact.at) > latencyWindow
}

// Estimate returns the estimate. known is false if there has been no exact read for a while.
func (l *Latency) Estimate() (latency time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(time.Now())
}

// Latest returns the estimate, or the latency of the last exact read if that is recent and higher.
// It rises at once when the platform becomes slow, and also after a single late answer.
func (l *Latency) Latest() (latency time.Duration, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	latency, known = l.estimate(now)
	if known && now.Sub(l.exact.at) <= latencyWindow {
		latency = max(latency, l.exact.latency)
	}
	return latency, known
}

func (l *Latency) estimate(now time.Time) (latency time.Duration, known bool) {
	if len(l.samples) == 0 || now.Sub(l.exact.at) > maxLatencyAge {
		return 0, false
	}
	latency = l.exact.latency
	for _, s := range l.samples {
		if now.Sub(s.at) <= latencyWindow {
			latency = min(latency, s.latency)
		}
	}
	for _, from := range l.inFlight {
		if from.After(l.answeredFrom) {
			latency = max(latency, now.Sub(from))
		}
	}
	return latency, true
}
