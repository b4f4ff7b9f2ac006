package scheduler

import "slices"

const (
	// distrustAfter failures of different jobs in a row make a worker suspect.
	// One is not enough: some jobs fail wherever they run.
	distrustAfter = 2
	// distrustMS is how long a suspect worker gets nothing new. Afterwards one
	// more failure is enough, until something succeeds there.
	distrustMS = 6000
	// distrustShare is the largest part of the fleet, one in so many, that may
	// be suspect at once.
	distrustShare = 5
)

// trust is a worker's record with what it was given.
type trust struct {
	// failedJobs failed here since the last success.
	failedJobs []string
	untilMS    int64
	// sluggishUntilMS is until when the worker gets nothing new because work stood
	// still or became slow there. A success does not clear it.
	sluggishUntilMS int64
}

// doubtCost is what a doubtful worker costs, in core-milliseconds: anything that does not
// outweigh work that would be lost, so that it is used last.
const doubtCost = 1000

// doubtful reports whether something failed here and nothing has succeeded since: a gang
// is lost with one task.
func (t trust) doubtful() bool { return len(t.failedJobs) > 0 }

// noteFailure counts a failed run against its worker.
func (m *Model) noteFailure(w *worker, job string) {
	if !slices.Contains(w.trust.failedJobs, job) {
		w.trust.failedJobs = append(w.trust.failedJobs, job)
	}
	if len(w.trust.failedJobs) < distrustAfter || m.suspects() >= len(m.fleet)/distrustShare {
		return
	}
	w.trust.untilMS = m.at.MonoMS + distrustMS
	m.event("WorkerSuspected", "Worker", w.ID, "FailedJobs", w.trust.failedJobs, "ForMS", distrustMS)
}

// noteSuccess clears a worker's record.
func (m *Model) noteSuccess(w *worker) {
	if m.suspected(w) {
		m.event("WorkerTrusted", "Worker", w.ID)
	}
	w.trust.failedJobs, w.trust.untilMS = nil, 0
}

func (m *Model) suspected(w *worker) bool { return m.at.MonoMS < w.trust.untilMS }

func (m *Model) suspects() (count int) {
	for _, w := range m.fleet {
		if m.suspected(w) || m.sluggish(w) {
			count++
		}
	}
	return count
}
