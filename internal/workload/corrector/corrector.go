// Package corrector learns by how much the callers of each queue misjudge the run times of
// their tasks.
//
//	var c corrector.Corrector
//	c.Add("batch", 4000, 6000)
//	expectedMS := float64(estimateMS) * c.Factor("batch")
package corrector

import (
	"math"
	"slices"
)

const (
	// windowSize is how many of the latest steps of a queue are considered, so that the
	// factor follows a change of the load.
	windowSize = 64
	// minSteps is the least number of steps for a correction. True times are 0.5 to 8 times
	// the estimates, so a few of them say little.
	minSteps = 8
	// minFactor and maxFactor bound the correction by what is plausible.
	minFactor, maxFactor = 0.5, 8
)

// Corrector holds the latest ratios of actual to estimated times of each queue. The zero
// value corrects nothing.
type Corrector struct{ queues map[string]*window }

type window struct {
	ratios []float64
	// next is the index of the oldest ratio once the window is full.
	next   int
	factor float64
}

// Add records that a typical task of a completed step took tookMS.
func (c *Corrector) Add(queue string, estimateMS, tookMS int64) {
	if estimateMS <= 0 || tookMS <= 0 {
		return
	}
	if c.queues == nil {
		c.queues = map[string]*window{}
	}
	w := c.queues[queue]
	if w == nil {
		w = &window{}
		c.queues[queue] = w
	}
	ratio := float64(tookMS) / float64(estimateMS)
	if len(w.ratios) < windowSize {
		w.ratios = append(w.ratios, ratio)
	} else {
		w.ratios[w.next] = ratio
		w.next = (w.next + 1) % windowSize
	}
	// The median ignores the tail: 3 percent of all tasks take 7 times as long as others. It
	// counts by the number of steps that it is taken from.
	n := float64(len(w.ratios))
	w.factor = min(max(math.Pow(median(w.ratios), n/(n+minSteps)), minFactor), maxFactor)
}

// Factor returns the factor by which the estimates of the queue's callers are to be
// multiplied. It is 1 until enough steps of the queue have been completed.
func (c *Corrector) Factor(queue string) float64 {
	if w := c.queues[queue]; w != nil && len(w.ratios) >= minSteps {
		return w.factor
	}
	return 1
}

// Median returns the upper median of the times, 0 if there are none.
func Median(timesMS []int64) int64 {
	if len(timesMS) == 0 {
		return 0
	}
	return median(timesMS)
}

func median[T int64 | float64](values []T) T {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
