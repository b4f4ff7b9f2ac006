// Package forecaster estimates from the progress reports of a run how long the
// run will still take, and whether it has stalled or slowed down. It reads no
// clock; callers pass all times in milliseconds of one clock of their choice.
//
//	var p forecaster.Progress
//	p.AddReport(1000, 10)
//	p.AddReport(2000, 30)
//	left := p.RemainingMS(2500, 8000) // 3000: 70 percent at 20 percent a second, less 500
package forecaster

// Progress records the progress of one run. The zero value has no reports.
type Progress struct {
	// startMS is when the work began, as given to SetStart.
	startMS int64
	reports int
	// previous and latest are the reports that the speed is measured between.
	previous, latest sample
	// first is the first report, and atWork the latest one of unfinished work.
	first, atWork sample
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

// SetStart sets when the work of the run began. RemainingMS counts from that time
// until there is a report.
func (p *Progress) SetStart(atMS int64) { p.startMS = atMS }

// AddReport records a report of how much of the work is done. A percentage lower
// than the latest one discards the earlier reports, since the work started over.
func (p *Progress) AddReport(atMS int64, percent int) {
	report := sample{atMS, percent}
	if p.reports == 0 || percent < p.latest.percent {
		*p = Progress{startMS: p.startMS, reports: 1, previous: report, latest: report, first: report, atWork: report, lastProgressMS: atMS}
		return
	}
	p.reports++
	if percent < completePercent {
		p.atWork = report
	}
	if percent > p.latest.percent {
		p.lastProgressMS = atMS
	}
	if p.latest.percent-p.previous.percent >= minSpeedPercent {
		p.previous = p.latest
	}
	p.latest = report
	if totalMS, ok := p.measuredTotalMS(); ok && (p.fastestTotalMS == 0 || totalMS < p.fastestTotalMS) {
		p.fastestTotalMS = totalMS
	}
}

// Percent returns the percentage of the latest report.
func (p Progress) Percent() int { return p.latest.percent }

// FullSpeedTotalMS returns how long the entire run takes at the highest speed measured
// so far, which is taken as the speed on a healthy worker. It returns estimateMS before
// the first measurement.
func (p Progress) FullSpeedTotalMS(estimateMS int64) int64 {
	if p.fastestTotalMS > 0 {
		return p.fastestTotalMS
	}
	return estimateMS
}

// DoneWorkMS returns how long the work done so far takes at the speed of
// FullSpeedTotalMS.
func (p Progress) DoneWorkMS(estimateMS int64) int64 {
	return p.FullSpeedTotalMS(estimateMS) * int64(p.latest.percent) / completePercent
}

// SinceProgressMS returns how long before the latest report the progress last rose.
func (p Progress) SinceProgressMS() int64 { return p.latest.atMS - p.lastProgressMS }

// TotalMS returns how long the entire run takes at its latest speed. It returns
// estimateMS if the latest reports show too little progress to measure a speed.
func (p Progress) TotalMS(estimateMS int64) int64 {
	if totalMS, ok := p.measuredTotalMS(); ok {
		return totalMS
	}
	return estimateMS
}

// measuredTotalMS returns how long the entire run takes at the speed between the
// previous and the latest report. It returns false if they are less than
// minSpeedPercent apart.
func (p Progress) measuredTotalMS() (totalMS int64, ok bool) {
	gained := p.latest.percent - p.previous.percent
	if gained < minSpeedPercent {
		return 0, false
	}
	return completePercent * (p.latest.atMS - p.previous.atMS) / int64(gained), true
}

// FromStart reports whether the run has been observed since the beginning of its work.
func (p Progress) FromStart() bool { return p.reports > 0 && p.first.percent == 0 }

// Average is the average speed of a run over a part of its work.
type Average struct {
	// TotalMS is how long the entire run takes at this speed.
	TotalMS int64
	// Percent is the size of the part, and ElapsedMS the time that it took.
	Percent   int
	ElapsedMS int64
	// FromStart is set if the part begins with the work of the run.
	FromStart bool
}

// Average returns the average speed of the run so far, without the time after its work was
// done. It returns false before there is any progress.
func (p Progress) Average() (a Average, ok bool) {
	a = Average{Percent: p.atWork.percent - p.first.percent, ElapsedMS: p.atWork.atMS - p.first.atMS, FromStart: p.FromStart()}
	if a.Percent <= 0 || a.ElapsedMS <= 0 {
		return Average{}, false
	}
	a.TotalMS = completePercent * a.ElapsedMS / int64(a.Percent)
	return a, true
}

// RemainingMS returns how long after nowMS the run is expected to end, or 0 if it
// is overdue.
func (p Progress) RemainingMS(nowMS, estimateMS int64) int64 {
	remainingMS := p.TotalMS(estimateMS) * int64(completePercent-p.latest.percent) / completePercent
	asOfMS := p.latest.atMS
	if p.reports == 0 {
		asOfMS = p.startMS
	}
	return max(remainingMS-(nowMS-asOfMS), 0)
}

// Stalled reports whether the run is incomplete and has reported no progress for
// a while. The more work is estimated, the longer that has to last.
func (p Progress) Stalled(estimateMS int64) bool {
	return p.reports > 1 && p.latest.percent < completePercent && p.SinceProgressMS() >= max(minStallMS, estimateMS/stallEstimateDivisor)
}

// Slow reports whether the run takes more than factor times as long as at its
// highest measured speed. It doesn't compare with the caller's estimate, which
// is too rough for this.
func (p Progress) Slow(factor int64) bool {
	totalMS, ok := p.measuredTotalMS()
	if elapsedMS := p.latest.atMS - p.previous.atMS; !ok && elapsedMS >= minStallMS {
		// Too little progress to measure a speed. Reports are in whole percents, so the
		// run has gained at most one percent more than they show; the total is at least
		// this long.
		totalMS = completePercent * elapsedMS / int64(p.latest.percent-p.previous.percent+1)
	}
	return p.fastestTotalMS > 0 && p.latest.percent < completePercent && totalMS > factor*p.fastestTotalMS
}
