// Package forecaster estimates from the progress reports of a run how long the
// run will still take, and whether it has stalled or slowed down. It reads no
// clock; callers pass all times in milliseconds of one clock of their choice.
//
//	var t forecaster.Track
//	t.Note(1000, 10)
//	t.Note(2000, 30)
//	left := t.RemainingMS(2500, 8000) // 3000: 70 percent at 20 percent a second, less 500
package forecaster

// Track records the progress of one run. The zero value has no reports.
type Track struct {
	// startMS is when the work began, as given to Begin.
	startMS int64
	reports int
	// previous and latest are the reports that the speed is measured between.
	previous, latest sample
	// lastProgressMS is the time of the latest report with a higher percentage
	// than the one before.
	lastProgressMS int64
	// fastestTotalMS is how long the entire run takes at the highest speed measured
	// so far, or 0 before the first measurement.
	fastestTotalMS int64
}

// sample is one progress report.
type sample struct {
	atMS    int64
	percent int
}

const (
	completePercent = 100
	// minSpeedPercent is the least progress from which a speed is measured. Reports
	// are in whole percents, so less progress gives too rough a speed.
	minSpeedPercent = 4
	// minStallMS is the shortest time without progress that counts as a stall. It is
	// several times as long as the platform delays progress reports.
	minStallMS = 900
	// stallEstimateDivisor divides the estimated run time into the shortest time
	// without progress that counts as a stall. If the run takes twice as long as
	// estimated, that is one and a half percent of it, enough for a report in whole
	// percents to show progress.
	stallEstimateDivisor = 33
)

// Begin sets when the work of the run began. RemainingMS counts from that time
// until there is a report.
func (t *Track) Begin(atMS int64) { t.startMS = atMS }

// Note records a report of how much of the work is done. A percentage lower
// than the latest one starts the track again, since the work started over.
func (t *Track) Note(atMS int64, percent int) {
	report := sample{atMS, percent}
	if t.reports == 0 || percent < t.latest.percent {
		*t = Track{startMS: t.startMS, reports: 1, previous: report, latest: report, lastProgressMS: atMS}
		return
	}
	t.reports++
	if percent > t.latest.percent {
		t.lastProgressMS = atMS
	}
	if t.latest.percent-t.previous.percent >= minSpeedPercent {
		t.previous = t.latest
	}
	t.latest = report
	if totalMS, ok := t.measuredTotalMS(); ok && (t.fastestTotalMS == 0 || totalMS < t.fastestTotalMS) {
		t.fastestTotalMS = totalMS
	}
}

// Percent returns the percentage of the latest report.
func (t Track) Percent() int { return t.latest.percent }

// SoundMS returns how long the entire run takes at the highest speed measured so
// far, which is taken as the speed on a healthy worker. It returns estimateMS
// before the first measurement.
func (t Track) SoundMS(estimateMS int64) int64 {
	if t.fastestTotalMS > 0 {
		return t.fastestTotalMS
	}
	return estimateMS
}

// DoneMS returns how long the work done so far takes at the speed of SoundMS.
func (t Track) DoneMS(estimateMS int64) int64 {
	return t.SoundMS(estimateMS) * int64(t.latest.percent) / completePercent
}

// StillMS returns how long before the latest report the progress last rose.
func (t Track) StillMS() int64 { return t.latest.atMS - t.lastProgressMS }

// TotalMS returns how long the entire run takes at its latest speed. It returns
// estimateMS if the latest reports show too little progress to measure a speed.
func (t Track) TotalMS(estimateMS int64) int64 {
	if totalMS, ok := t.measuredTotalMS(); ok {
		return totalMS
	}
	return estimateMS
}

// measuredTotalMS returns how long the entire run takes at the speed between the
// previous and the latest report. It returns false if they are less than
// minSpeedPercent apart.
func (t Track) measuredTotalMS() (totalMS int64, ok bool) {
	gained := t.latest.percent - t.previous.percent
	if gained < minSpeedPercent {
		return 0, false
	}
	return completePercent * (t.latest.atMS - t.previous.atMS) / int64(gained), true
}

// RemainingMS returns how long after nowMS the run is expected to end, or 0 if it
// is overdue.
func (t Track) RemainingMS(nowMS, estimateMS int64) int64 {
	remainingMS := t.TotalMS(estimateMS) * int64(completePercent-t.latest.percent) / completePercent
	asOfMS := t.latest.atMS
	if t.reports == 0 {
		asOfMS = t.startMS
	}
	return max(remainingMS-(nowMS-asOfMS), 0)
}

// Stalled reports whether the run is incomplete and has reported no progress for
// a while. The more work is estimated, the longer that has to last.
func (t Track) Stalled(estimateMS int64) bool {
	return t.reports > 1 && t.latest.percent < completePercent && t.StillMS() >= max(minStallMS, estimateMS/stallEstimateDivisor)
}

// Slow reports whether the run takes more than factor times as long as at its
// highest measured speed. It doesn't compare with the caller's estimate, which
// is too rough for this.
func (t Track) Slow(factor int64) bool {
	totalMS, ok := t.measuredTotalMS()
	if elapsedMS := t.latest.atMS - t.previous.atMS; !ok && elapsedMS >= minStallMS {
		// Too little progress to measure a speed. Reports are in whole percents, so the
		// run has gained at most one percent more than they show; the total is at least
		// this long.
		totalMS = completePercent * elapsedMS / int64(t.latest.percent-t.previous.percent+1)
	}
	return t.fastestTotalMS > 0 && t.latest.percent < completePercent && totalMS > factor*t.fastestTotalMS
}
