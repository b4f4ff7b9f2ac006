package sequencer

// admissionMargin divides the work before a job for the decision to refuse it: true times
// are at least half as long as the estimates.
const admissionMargin = 2

// Hopeless reports whether a job can't start before it has lost all value, even if the work
// before it takes only a part of the time that is estimated.
func Hopeless(it Item, nowMS int64, ahead float64) bool {
	return float64(nowMS)+ahead/admissionMargin > float64(it.LastUsefulStartMS)
}

// Bounds of the time after which a refused caller is asked to return.
const (
	minRetryAfterMS = 1000
	maxRetryAfterMS = 30_000
	// minReturnGapMS is the least time between two returns, so that callers of small jobs
	// don't return together.
	minReturnGapMS = 250
)

// Returns assigns times of return to refused callers. The zero value has assigned none.
type Returns struct {
	// latestMS is the latest time of return of each class.
	latestMS map[string]int64
}

// After returns after how long a caller that is refused now should return. A job like it
// could end in time after waitMS; jobs that were refused before and return earlier take
// the capacity of workMS each.
func (r *Returns) After(class string, nowMS int64, waitMS, workMS float64) int64 {
	if r.latestMS == nil {
		r.latestMS = map[string]int64{}
	}
	returnMS := max(nowMS+max(int64(waitMS), minRetryAfterMS), r.latestMS[class]+max(int64(workMS), minReturnGapMS))
	returnMS = min(returnMS, nowMS+maxRetryAfterMS)
	r.latestMS[class] = returnMS
	return returnMS - nowMS
}
