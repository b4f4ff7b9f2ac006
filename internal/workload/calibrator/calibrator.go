// Package calibrator estimates how fast workers are compared with each other, from how
// long similar tasks take on them. Members of a gang work on the same task at their own
// speeds, so one run tells their ratios almost exactly. Independent tasks of one step are
// alike, so a worker on which they take longer than on others, step after step, is slow.
// The package reads no clock.
//
//	var c calibrator.Calibrator
//	c.AddGang([]calibrator.Sample{{"w1", 1000, 0.04}, {"w2", 1300, 0.04}})
//	c.Add([]calibrator.Sample{{"w1", 1000, 0}, {"w2", 1300, 0}, {"w3", 1010, 0}, {"w4", 990, 0}})
//	level := c.Level("w2")
package calibrator

import (
	"cmp"
	"math"
	"slices"
)

// Sample is how long one task took on a worker, in milliseconds.
type Sample struct {
	Worker string
	TookMS int64
	// Noise is the standard deviation of the measurement, in the natural logarithm. Add
	// ignores it.
	Noise float64
}

// All deviations and differences are in the natural logarithm of the time that tasks take.
const (
	// minTasks is the least number of independent tasks that are compared with each other.
	minTasks = 4
	// learningDeviation is the spread of the workers that is assumed while samples are
	// added. It is broad, so that nothing is concluded from workers that are not known.
	learningDeviation = 0.3
	// maxOwnDivisor is the part of a step's tasks from which on those of a worker are left out
	// of the median that they are compared with.
	maxOwnDivisor = 8
	// minGangNoise and minTaskNoise are the least noise of a sample. Reports are in whole
	// percent and late by some milliseconds; independent tasks differ by themselves.
	minGangNoise = 0.03
	minTaskNoise = 0.12
	maxTaskNoise = 0.6
	// usualTaskNoise counts for as many tasks when the noise of a step is estimated: a few
	// tasks may agree by chance.
	usualTaskNoise = 0.25
	usualTasks     = 2
	// tailWeight is the number of degrees of freedom of the noise: the fewer, the less
	// samples count that are far from what is expected.
	tailWeight = 4
	// maxDifference bounds what one task says of its worker: workers differ by up to 2.7
	// times, while a task that was held up may take many times as long. Gang members that
	// differ by more from their median, 3 times, were held up and say nothing.
	maxDifference = 1.1
	// retention is what is kept of the earlier evidence with each sample, so that a worker
	// that has changed is noticed.
	retention = 0.92
	// surprise is the number of standard deviations beyond which a sample does not agree
	// with the estimate. Two in a row, in the same direction, mean that the worker has
	// changed; changeRetention is what is then kept of the evidence.
	surprise        = 3
	changeRetention = 0.05
	// minSpread is the least spread at which workers count as different. The smallest
	// difference of a deployment, 1.3 times for one worker in three, has a spread of 0.12.
	minSpread = 0.06
	// evidencePrecision is the precision of evidence that counts half for the spread.
	evidencePrecision = 1 / (0.15 * 0.15)
	// trimDivisor sets aside one in this many of the most different workers when the spread
	// is estimated, because faults slow down single workers for a while.
	trimDivisor = 10
	// equalWorkers is the number of workers without a difference that are assumed besides
	// the observed ones, and maxExcess bounds what one worker adds to the spread. A single
	// gang with a member that a fault has slowed down then distinguishes nobody.
	equalWorkers = 2
	maxExcess    = 0.2
	// minEvidence is the least evidence on the spread, in well known workers: two or three
	// gangs of four, of which not all can have met a fault.
	minEvidence = 1.0
	// outlierSamples, outlierDeviations and minOutlier are the evidence from which on one
	// worker counts as different although the others are equal.
	outlierSamples    = 8
	outlierDeviations = 5
	minOutlier        = 0.2
	// knownDeviation is the uncertainty below which a worker counts as known.
	knownDeviation = 0.15
	// caution is the part of the uncertainty that CautiousLevel adds to the mean. It puts
	// unknown workers between ordinary and slow ones.
	caution = 0.75
	// LevelWidth is the difference of slowness between two levels. It is large enough
	// that two workers of one speed rarely differ by more than one level.
	LevelWidth = 0.12
	// restoredPrecision is the precision of an estimate that is restored from a level.
	restoredPrecision = 4 / (LevelWidth * LevelWidth)
	// MaxLevel is the level of the slowest workers, -MaxLevel that of the fastest. Workers
	// that differ by 1.6 times from the average are at level 4.
	MaxLevel = 5
)

// Calibrator holds the estimates. The zero value knows no worker.
type Calibrator struct {
	workers map[string]evidence
	// spread is the estimated spread of the workers and known how many of them are known, if
	// they are up to date.
	spread   float64
	known    int
	upToDate bool
}

// evidence is a mean weighted by precision, the inverse of the variance.
type evidence struct {
	weightedSum, precision float64
	// samples counts the samples since the worker was last found to have changed.
	samples int
	// surprises counts the latest samples that were all much longer than expected, or, if
	// it is negative, much shorter.
	surprises int
}

// estimate returns the mean and the variance of the slowness if the workers have the spread.
func (e evidence) estimate(spread float64) (mean, variance float64) {
	if spread == 0 {
		return 0, 0
	}
	variance = 1 / (e.precision + 1/(spread*spread))
	return e.weightedSum * variance, variance
}

// outlier reports whether the evidence alone shows that the worker differs from the others.
func (e evidence) outlier() bool {
	return e.samples >= outlierSamples && math.Abs(e.weightedSum) > e.precision*minOutlier &&
		math.Abs(e.weightedSum) > outlierDeviations*math.Sqrt(e.precision)
}

// observation is a sample with what is known of its worker and what is assumed of its noise.
type observation struct {
	worker         string
	log            float64
	mean, variance float64
	noise          float64
}

// work returns the logarithm of the time on an average worker, by what is known.
func (o observation) work() float64 { return o.log - o.mean }

func (c *Calibrator) observe(samples []Sample) []observation {
	observations := make([]observation, len(samples))
	for i, s := range samples {
		o := observation{worker: s.Worker, log: math.Log(float64(max(s.TookMS, 1))), noise: max(s.Noise, minGangNoise)}
		o.mean, o.variance = c.workers[s.Worker].estimate(learningDeviation)
		observations[i] = o
	}
	return observations
}

// observeWorkers merges the samples of each worker: those of one run of a gang tell nothing
// new of its worker.
func (c *Calibrator) observeWorkers(samples []Sample) (merged []observation) {
	index, count := map[string]int{}, []float64{}
	for _, o := range c.observe(samples) {
		i, known := index[o.worker]
		if !known {
			index[o.worker] = len(merged)
			merged, count = append(merged, o), append(count, 1)
			continue
		}
		count[i]++
		merged[i].log += (o.log - merged[i].log) / count[i]
		merged[i].noise = min(merged[i].noise, o.noise)
	}
	return merged
}

// AddGang compares the members of one run of a gang with each other. A gang on a single worker
// is ignored.
func (c *Calibrator) AddGang(samples []Sample) {
	observations := c.observeWorkers(samples)
	if len(observations) < 2 {
		return
	}
	works := make([]float64, len(observations))
	for i, o := range observations {
		works[i] = o.work()
	}
	center, limit := median(works), maxDifference
	if len(observations) == 2 {
		// The median lies in the middle between the two.
		limit /= 2
	}
	weights, total, sum := make([]float64, len(observations)), 0.0, 0.0
	for i, o := range observations {
		if math.Abs(works[i]-center) > limit {
			continue
		}
		variance := o.variance + o.noise*o.noise
		weights[i] = tailFactor((works[i]-center)/math.Sqrt(variance)) / variance
		total += weights[i]
		sum += weights[i] * works[i]
	}
	for i, o := range observations {
		others := total - weights[i]
		if weights[i] == 0 || others <= 0 {
			continue
		}
		c.update(o, (sum-weights[i]*works[i])/others, 1/others)
	}
}

// Add compares independent tasks of the same step with each other. Fewer than four are
// ignored.
func (c *Calibrator) Add(samples []Sample) {
	if len(samples) < minTasks {
		return
	}
	observations := c.observe(samples)
	works, tasks, variance := make([]float64, len(observations)), map[string]int{}, 0.0
	for i, o := range observations {
		works[i] = o.work()
		if tasks[o.worker]++; tasks[o.worker] == 1 {
			variance += o.variance
		}
	}
	variance /= float64(len(tasks))
	center := median(works)
	deviations := make([]float64, len(works))
	for i := range works {
		deviations[i] = math.Abs(works[i] - center)
	}
	// The deviation of a normal distribution is 1.48 times its median absolute deviation.
	// What is not known of the workers is part of that.
	deviation := 1.48 * median(deviations)
	n := float64(len(works))
	noise := math.Sqrt((n*max(deviation*deviation-variance, 0) + usualTasks*usualTaskNoise*usualTaskNoise) / (n + usualTasks))
	noise = min(max(noise, minTaskNoise), maxTaskNoise)
	centers := map[string]float64{}
	for _, o := range observations {
		others := len(works) - tasks[o.worker]
		if others < minTasks-1 {
			continue
		}
		reference := center
		if tasks[o.worker]*maxOwnDivisor > len(works) {
			if _, known := centers[o.worker]; !known {
				centers[o.worker] = centerOfOthers(observations, o.worker)
			}
			reference = centers[o.worker]
		}
		o.noise = noise
		// A median is less exact than a mean by a factor of pi/2.
		c.update(o, reference, math.Pi/2*(noise*noise/float64(others)+variance/float64(len(tasks)-1)))
	}
}

// centerOfOthers returns the median work of the tasks on other workers.
func centerOfOthers(observations []observation, worker string) float64 {
	var works []float64
	for _, o := range observations {
		if o.worker != worker {
			works = append(works, o.work())
		}
	}
	return median(works)
}

// update adds a sample to the evidence on its worker. Work is the logarithm of how long the
// task takes on an average worker, and variance its uncertainty.
func (c *Calibrator) update(o observation, work, variance float64) {
	if c.workers == nil {
		c.workers = map[string]evidence{}
	}
	e := c.workers[o.worker]
	variance += o.noise * o.noise
	difference := min(max(o.log-work, -maxDifference), maxDifference)
	deviations := (difference - o.mean) / math.Sqrt(variance+o.variance)
	kept := retention
	switch {
	case math.Abs(deviations) < surprise:
		e.surprises = 0
	case deviations > 0:
		e.surprises = max(e.surprises, 0) + 1
	default:
		e.surprises = min(e.surprises, 0) - 1
	}
	if max(e.surprises, -e.surprises) >= 2 {
		kept, e.samples, e.surprises = changeRetention, 0, 0
		o.variance = learningDeviation * learningDeviation
		deviations = (difference - o.mean) / math.Sqrt(variance+o.variance)
	}
	precision := tailFactor(deviations) / variance
	e.weightedSum = e.weightedSum*kept + difference*precision
	e.precision = e.precision*kept + precision
	e.samples++
	c.workers[o.worker] = e
	c.upToDate = false
}

// tailFactor returns how much a sample counts that is that many standard deviations from
// what is expected, by Student's t distribution.
func tailFactor(deviations float64) float64 {
	return (tailWeight + 1) / (tailWeight + deviations*deviations)
}

// Spread returns the standard deviation of the workers' slowness, 0 if they count as equal.
func (c *Calibrator) Spread() float64 {
	c.bringUpToDate()
	return c.spread
}

// KnownCount returns the number of workers that Known reports as known.
func (c *Calibrator) KnownCount() int {
	c.bringUpToDate()
	return c.known
}

func (c *Calibrator) bringUpToDate() {
	if c.upToDate {
		return
	}
	c.spread, c.known, c.upToDate = c.estimateSpread(), 0, true
	for _, e := range c.workers {
		if e.known() {
			c.known++
		}
	}
}

// estimateSpread estimates the spread from how much the evidence on the workers differs by
// more than its own uncertainty. Some workers without a difference are added.
func (c *Calibrator) estimateSpread() float64 {
	type excess struct{ variance, weight float64 }
	found := make([]excess, 0, len(c.workers))
	for _, e := range c.workers {
		mean := e.weightedSum / e.precision
		share := e.precision / (e.precision + evidencePrecision)
		found = append(found, excess{min(mean*mean-1/e.precision, maxExcess), share * share})
	}
	slices.SortFunc(found, func(a, b excess) int {
		return cmp.Or(cmp.Compare(a.variance, b.variance), cmp.Compare(a.weight, b.weight))
	})
	sum, weights := 0.0, float64(equalWorkers)
	for _, e := range found[:len(found)-len(found)/trimDivisor] {
		sum += e.weight * e.variance
		weights += e.weight
	}
	if spread := math.Sqrt(max(sum/weights, 0)); spread >= minSpread && weights-equalWorkers >= minEvidence {
		return spread
	}
	return 0
}

// estimate returns the mean and the variance of the worker's slowness.
func (c *Calibrator) estimate(worker string) (mean, variance float64) {
	e := c.workers[worker]
	if e.outlier() {
		return e.estimate(max(c.Spread(), learningDeviation))
	}
	return e.estimate(c.Spread())
}

// Level returns how slow the worker is, from -MaxLevel to MaxLevel. Workers that are
// about as fast as the average or not known are at 0, slower ones above.
func (c *Calibrator) Level(worker string) int {
	mean, _ := c.estimate(worker)
	return level(mean)
}

// CautiousLevel returns the level that the worker has at the upper end of what is likely.
// On a fleet of different speeds, an unknown worker is above an ordinary one.
func (c *Calibrator) CautiousLevel(worker string) int {
	mean, variance := c.estimate(worker)
	return level(mean + caution*math.Sqrt(variance))
}

// level returns the level of a slowness.
func level(slowness float64) int {
	return min(max(int(math.Round(slowness/LevelWidth)), -MaxLevel), MaxLevel)
}

// Known reports whether enough is known of the worker to place work by it.
func (c *Calibrator) Known(worker string) bool { return c.workers[worker].known() }

func (e evidence) known() bool { return e.precision >= 1/(knownDeviation*knownDeviation) }

// Levels returns the levels of all known workers, including those at level 0, if workers
// differ. It returns no worker of a fleet of equal ones.
func (c *Calibrator) Levels() map[string]int {
	levels := map[string]int{}
	for worker, e := range c.workers {
		if level := c.Level(worker); level != 0 || c.Spread() > 0 && e.known() {
			levels[worker] = level
		}
	}
	return levels
}

// Restore takes over levels from Levels for the workers that are not known yet.
func (c *Calibrator) Restore(levels map[string]int) {
	if c.workers == nil {
		c.workers = map[string]evidence{}
	}
	for worker, level := range levels {
		if _, known := c.workers[worker]; !known {
			c.workers[worker] = evidence{weightedSum: float64(level) * LevelWidth * restoredPrecision, precision: restoredPrecision, samples: outlierSamples}
		}
	}
	c.upToDate = false
}

// Forget drops what is known of a worker.
func (c *Calibrator) Forget(worker string) {
	delete(c.workers, worker)
	c.upToDate = false
}

// median returns the middle of the values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}
