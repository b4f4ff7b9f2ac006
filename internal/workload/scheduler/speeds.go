package scheduler

import (
	"maps"
	"math"
	"slices"

	"daisyhead/internal/workload/calibrator"
	"daisyhead/internal/workload/forecaster"
	"daisyhead/internal/workload/reducer"
)

const (
	// speedsIntervalMS is the least time between two records of the workers' speeds, which
	// are several kilobytes long. earlySpeedsIntervalMS replaces it once one worker in
	// earlySpeedsDivisor has become known since the last record.
	speedsIntervalMS      = 5000
	earlySpeedsIntervalMS = 1000
	earlySpeedsDivisor    = 10
	// minSamplePercent is the progress of the members of a gang from which their speeds are
	// compared. minLastPercent is enough for some of them once another one has done its work:
	// workers differ by up to 2.7 times.
	minSamplePercent = 12
	minLastPercent   = 8
	// percentNoise is the error of a progress in whole percent, reportNoiseMS that of the time
	// of a report, and ownNoise what the members of a gang differ by themselves.
	percentNoise  = 0.4
	reportNoiseMS = 50
	ownNoise      = 0.02
	// maxGangSamples bounds how often one run of a gang is used, and minNoiseGain is how much
	// smaller the noise has to be the second time.
	maxGangSamples = 2
	minNoiseGain   = 2
	// speedReportMS is the longest wait of a hold at a worker whose speed a running gang is
	// about to tell: the fast members of a short gang have done a third of their work then.
	speedReportMS = 500
	// speedReportsMS is how long after the start of a gang such reports are requested.
	speedReportsMS = 4000
	// minKnownDivisor is the part of the fleet that has to be known before no more such
	// reports are requested because all workers are equally fast.
	minKnownDivisor = 8
)

// gangSamples is how often a run of a gang was used to compare its workers, and the mean
// noise the last time.
type gangSamples struct {
	run, count int
	noise      float64
}

// recordSpeeds proposes a record of the workers' speeds if they have changed, so that a
// later holder need not learn them anew.
func (m *Model) recordSpeeds() {
	interval, known := int64(speedsIntervalMS), m.speeds.KnownCount()
	if known-m.speedsRecordedKnown > len(m.fleet)/earlySpeedsDivisor {
		interval = earlySpeedsIntervalMS
	}
	if m.now.MonoMS-m.speedsRecordedMS < interval {
		return
	}
	m.speedsRecordedMS, m.speedsRecordedKnown = m.now.MonoMS, known
	levels := m.speeds.Levels()
	if maps.Equal(levels, m.Table.Speeds.Levels) {
		return
	}
	different := 0
	for _, level := range levels {
		if level != 0 {
			different++
		}
	}
	m.event("SpeedsRecorded", "Workers", len(m.fleet), "KnownWorkers", len(levels), "DifferentWorkers", different, "SpreadPercent", int(math.Round(100*m.speeds.Spread())))
	m.propose(reducer.SpeedsRecord(reducer.Speeds{Levels: levels}))
}

// recordDuration records how long the work of a completed unit takes on its workers. The
// tasks of a gang end together, so what each of them takes is known from its progress.
func (m *Model) recordDuration(r *run, kind EndKind) {
	u := r.unit
	if kind != EndDone || u == nil || u.state != unitRunning || !u.tellsSpeeds() {
		return
	}
	if u.size() > 1 {
		for _, member := range u.runs {
			if average, ok := member.progress.Average(); ok && average.Percent >= minLastPercent {
				u.step.memberTimesMS = append(u.step.memberTimesMS, average.TotalMS)
			}
		}
		m.sampleGang(u, true)
		return
	}
	if r.progress.FromStart() && !m.heldUp(r) {
		u.step.durations = append(u.step.durations, calibrator.Sample{Worker: r.worker.ID, TookMS: m.now.MonoMS - r.startedMS})
	}
}

// tellsSpeeds reports whether the time that the unit's tasks take depends on nothing but their
// work and their workers. Tasks that fill idle time depend on other tasks, and those with data
// on the way to it.
func (u *unit) tellsSpeeds() bool {
	s := u.step.spec
	return !s.Perpetual && !s.FillsIdle &&
		(s.DataRack == "" || !slices.ContainsFunc(u.runs, func(r *run) bool { return r.worker.Rack != s.DataRack }))
}

// heldUp reports whether work has stalled or slowed down on the run's worker meanwhile.
func (m *Model) heldUp(r *run) bool {
	return r.worker.health.slowQuarantineUntilMS > r.unit.runningSinceMS
}

// sampleGang compares the speeds of the members of a running gang: once as soon as all of them
// have made enough progress, and again at the end of the run if that is more exact.
func (m *Model) sampleGang(u *unit, atEnd bool) {
	if u.speeds.run != u.record.Run {
		u.speeds = gangSamples{run: u.record.Run}
	}
	if u.size() < 2 || u.speeds.count >= maxGangSamples || u.speeds.count > 0 && !atEnd || !u.tellsSpeeds() {
		return
	}
	minPercent := minSamplePercent
	if atEnd || slices.ContainsFunc(u.runs, func(r *run) bool { return r.progress.Percent() == completePercent }) {
		minPercent = minLastPercent
	}
	var samples []calibrator.Sample
	noise := 0.0
	for _, r := range u.runs {
		average, ok := r.progress.Average()
		if !ok || average.Percent < minPercent {
			if !atEnd && r.progress.Percent() < completePercent {
				return
			}
			continue
		}
		if m.heldUp(r) {
			continue
		}
		sample := calibrator.Sample{Worker: r.worker.ID, TookMS: average.TotalMS, Noise: sampleNoise(average)}
		samples = append(samples, sample)
		noise += sample.Noise
	}
	noise /= float64(max(len(samples), 1))
	if len(samples) < 2 || u.speeds.count > 0 && noise*minNoiseGain > u.speeds.noise {
		return
	}
	u.speeds.count++
	u.speeds.noise = noise
	m.speeds.AddGang(samples)
}

// sampleNoise returns the standard deviation of an average speed, in the natural logarithm.
func sampleNoise(a forecaster.Average) float64 {
	percentError := percentNoise
	if !a.FromStart {
		percentError *= math.Sqrt2
	}
	return math.Sqrt(ownNoise*ownNoise + math.Pow(percentError/float64(a.Percent), 2) + math.Pow(reportNoiseMS/float64(a.ElapsedMS), 2))
}

// awaitsSpeed reports whether the run is part of a gang that is about to tell the speeds of
// its workers, and these are not known.
func (m *Model) awaitsSpeed(r *run) bool {
	u := r.unit
	if u == nil || u.state != unitRunning || u.size() < 2 || u.speeds.run == u.record.Run && u.speeds.count > 0 {
		return false
	}
	if m.now.MonoMS-u.runningSinceMS > speedReportsMS || !u.tellsSpeeds() || m.foundEqual() {
		return false
	}
	return slices.ContainsFunc(u.runs, func(r *run) bool { return !m.speeds.Known(r.worker.ID) })
}

// foundEqual reports whether enough workers are known to say that all are equally fast.
func (m *Model) foundEqual() bool {
	return m.speeds.Spread() == 0 && m.speeds.KnownCount() > len(m.fleet)/minKnownDivisor
}

// requestSpeedReports replaces the holds that wait at the workers of a gang that has just
// started. Such a hold may wait for another 2 s. Those that extend a lease or confirm an end
// stay: an order that is left unanswered may be executed late.
func (m *Model) requestSpeedReports(u *unit) {
	for _, r := range u.runs {
		w := r.worker
		if w.holdInFlight && w.holdWaits && !w.grantingHold && w.confirmingEnd <= w.confirmationAnswered && w.holdFailures == 0 && m.awaitsSpeed(r) {
			w.holdInFlight = false
			w.expediteHold(m.now.MonoMS)
			m.hold(w)
		}
	}
}
