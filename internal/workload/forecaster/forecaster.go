// Package forecaster tells from a run's reports when its work will end, and
// whether it goes on at all. It is pure:
//
//	var t forecaster.Track
//	t.Note(1000, 10)
//	t.Note(2000, 30)
//	left := t.RemainingMS(2500, 8000) // 3000: 70 percent at 20 percent a second, less 500
package forecaster

// Track follows one run. The zero value has seen no report.
type Track struct {
	// beganMS is when the work began, as far as is known.
	beganMS int64
	reports int
	// previous and latest are the reports that the speed is taken from.
	previous, latest sample
	// movedMS is when a report last showed progress.
	movedMS int64
	// bestMS is the time of the whole work at the greatest speed so far, 0 before
	// one was measured.
	bestMS int64
}

type sample struct {
	atMS    int64
	percent int
}

const (
	whole = 100
	// speedPercent is the least progress that a speed is taken from: reports are
	// in whole percents.
	speedPercent = 4
	// stallMS is the shortest standstill that counts, several times the platform's
	// delays of reports.
	stallMS = 900
	// stallShare of the estimated work, one part in so many, has to pass without
	// progress: a percent and a half of work that takes twice as long as estimated.
	stallShare = 33
)

// Begin tells when the work began. It stands in for reports until there are some.
func (t *Track) Begin(atMS int64) { t.beganMS = atMS }

// Note takes a report of how much of the work is done.
func (t *Track) Note(atMS int64, percent int) {
	now := sample{atMS, percent}
	if t.reports == 0 || percent < t.latest.percent {
		*t = Track{beganMS: t.beganMS, reports: 1, previous: now, latest: now, movedMS: atMS}
		return
	}
	t.reports++
	if percent > t.latest.percent {
		t.movedMS = atMS
	}
	if t.latest.percent-t.previous.percent >= speedPercent {
		t.previous = t.latest
	}
	t.latest = now
	if total, ok := t.measuredMS(); ok && (t.bestMS == 0 || total < t.bestMS) {
		t.bestMS = total
	}
}

// Percent returns the progress of the latest report.
func (t Track) Percent() int { return t.latest.percent }

// SoundMS returns how long the whole work takes at the greatest speed so far.
// Without a measured speed the estimate stands in.
func (t Track) SoundMS(estimateMS int64) int64 {
	if t.bestMS > 0 {
		return t.bestMS
	}
	return estimateMS
}

// DoneMS returns how long that much work takes at the greatest speed so far.
func (t Track) DoneMS(estimateMS int64) int64 {
	return t.SoundMS(estimateMS) * int64(t.latest.percent) / whole
}

// StillMS returns for how long the reports show no progress.
func (t Track) StillMS() int64 { return t.latest.atMS - t.movedMS }

// TotalMS returns how long the whole work takes at the run's speed. Without a
// measured speed the estimate stands in.
func (t Track) TotalMS(estimateMS int64) int64 {
	if total, ok := t.measuredMS(); ok {
		return total
	}
	return estimateMS
}

// measuredMS returns the time of the whole work at the speed of the latest reports.
func (t Track) measuredMS() (totalMS int64, ok bool) {
	moved := t.latest.percent - t.previous.percent
	if moved < speedPercent {
		return 0, false
	}
	return whole * (t.latest.atMS - t.previous.atMS) / int64(moved), true
}

// RemainingMS returns how much longer the run is expected to work.
func (t Track) RemainingMS(nowMS, estimateMS int64) int64 {
	left := t.TotalMS(estimateMS) * int64(whole-t.latest.percent) / whole
	since := t.latest.atMS
	if t.reports == 0 {
		since = t.beganMS
	}
	return max(left-(nowMS-since), 0)
}

// Stalled reports whether the latest reports show no progress of work that is
// not complete.
func (t Track) Stalled(estimateMS int64) bool {
	return t.reports > 1 && t.latest.percent < whole && t.StillMS() >= max(stallMS, estimateMS/stallShare)
}

// Slow reports whether the run has become more than factor times as slow as it
// was. Estimates are too rough to tell.
func (t Track) Slow(factor int64) bool {
	total, ok := t.measuredMS()
	if took := t.latest.atMS - t.previous.atMS; !ok && took >= stallMS {
		// At most this much has been done in the time.
		total = whole * took / int64(t.latest.percent-t.previous.percent+1)
	}
	return t.bestMS > 0 && t.latest.percent < whole && total > factor*t.bestMS
}
