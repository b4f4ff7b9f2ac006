// Package calibrator estimates how fast workers are compared with each other, from how
// long similar tasks take on them. Tasks of one step are alike, so a worker on which they
// take longer than on others, step after step, is slow. The package reads no clock.
//
//	var c calibrator.Calibrator
//	c.Add([]calibrator.Sample{{"w1", 1000}, {"w2", 1300}, {"w3", 1010}, {"w4", 990}})
//	level := c.Level("w2")
package calibrator

import "math"

// Sample is how long one task took on a worker, in milliseconds.
type Sample struct {
	Worker string
	TookMS int64
}

const (
	// minSamples is the least number of tasks that are compared with each other.
	minSamples = 4
	// priorDeviation is the assumed standard deviation of the workers' slowness before
	// anything is known of them, in the natural logarithm.
	priorDeviation = 0.15
	// minDeviation is the least standard deviation that the tasks of a step are credited
	// with, so that a few tasks that agree by chance do not count for too much.
	minDeviation = 0.05
	// maxDifference bounds what one task says of its worker. A task that was held up for
	// another reason may take many times as long.
	maxDifference = 0.7
	// levelWidth is the difference of slowness between two levels. It is large enough
	// that two workers of one speed rarely differ by more than one level.
	levelWidth = 0.12
	// restoredPrecision is the precision of an estimate that is restored from a level.
	restoredPrecision = 4 / (levelWidth * levelWidth)
	// MaxLevel is the level of the slowest workers, -MaxLevel that of the fastest.
	MaxLevel = 3
)

// Calibrator holds the estimates. The zero value knows no worker.
type Calibrator struct {
	workers map[string]estimate
}

// estimate is a mean weighted by precision, the inverse of the variance.
type estimate struct {
	weightedSum, precision float64
}

// slowness returns the natural logarithm of how much longer tasks take on the worker than
// on an average one. Without samples it is 0.
func (e estimate) slowness() float64 {
	return e.weightedSum / (e.precision + 1/(priorDeviation*priorDeviation))
}

// Add compares tasks of the same step with each other. Fewer than four are ignored.
func (c *Calibrator) Add(samples []Sample) {
	if len(samples) < minSamples {
		return
	}
	if c.workers == nil {
		c.workers = map[string]estimate{}
	}
	n := float64(len(samples))
	// works are the logarithms of the times on an average worker, by what is known.
	works := make([]float64, len(samples))
	mean := 0.0
	for i, s := range samples {
		works[i] = math.Log(float64(max(s.TookMS, 1))) - c.workers[s.Worker].slowness()
		mean += works[i] / n
	}
	variance := minDeviation * minDeviation
	for _, work := range works {
		variance += (work - mean) * (work - mean) / (n - 1)
	}
	// A worker's own sample is part of the mean; n/(n-1) makes up for that.
	updated := map[string]estimate{}
	for i, s := range samples {
		e, ok := updated[s.Worker]
		if !ok {
			e = c.workers[s.Worker]
		}
		difference := (works[i]-mean)*n/(n-1) + c.workers[s.Worker].slowness()
		e.weightedSum += min(max(difference, -maxDifference), maxDifference) / variance
		e.precision += 1 / variance
		updated[s.Worker] = e
	}
	for worker, e := range updated {
		c.workers[worker] = e
	}
}

// Level returns how slow the worker is, from -MaxLevel to MaxLevel. Workers that are
// about as fast as the average or not known are at 0, slower ones above.
func (c *Calibrator) Level(worker string) int {
	level := int(math.Round(c.workers[worker].slowness() / levelWidth))
	return min(max(level, -MaxLevel), MaxLevel)
}

// Levels returns the levels of all workers whose level is not 0.
func (c *Calibrator) Levels() map[string]int {
	levels := map[string]int{}
	for worker := range c.workers {
		if level := c.Level(worker); level != 0 {
			levels[worker] = level
		}
	}
	return levels
}

// Restore takes over levels from Levels for the workers that are not known yet.
func (c *Calibrator) Restore(levels map[string]int) {
	if c.workers == nil {
		c.workers = map[string]estimate{}
	}
	for worker, level := range levels {
		if _, known := c.workers[worker]; !known {
			c.workers[worker] = estimate{weightedSum: float64(level) * levelWidth * restoredPrecision, precision: restoredPrecision}
		}
	}
}

// Forget drops what is known of a worker.
func (c *Calibrator) Forget(worker string) { delete(c.workers, worker) }
