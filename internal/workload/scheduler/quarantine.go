package scheduler

import "slices"

const (
	// quarantineAfterFailures failures of different jobs in a row make a worker suspect.
	// One is not enough: some jobs fail wherever they run.
	quarantineAfterFailures = 2
	// quarantineMS is how long a suspect worker gets nothing new. Afterwards one
	// more failure is enough, until something succeeds there.
	quarantineMS = 6000
	// maxQuarantinedDivisor is the largest part of the fleet, one in so many, that may
	// be suspect at once.
	maxQuarantinedDivisor = 5
)

// workerHealth is a worker's record with what it was given.
type workerHealth struct {
	// failedJobs failed here since the last success.
	failedJobs               []string
	failureQuarantineUntilMS int64
	// slowQuarantineUntilMS is until when the worker gets nothing new because work stood
	// still or became slow there. A success does not clear it.
	slowQuarantineUntilMS int64
}

// failurePenalty is what a doubtful worker costs, in core-milliseconds: anything that does not
// outweigh work that would be lost, so that it is used last.
const failurePenalty = 1000

// failedSinceSuccess reports whether something failed here and nothing has succeeded since: a gang
// is lost with one task.
func (t workerHealth) failedSinceSuccess() bool { return len(t.failedJobs) > 0 }

// noteFailure counts a failed run against its worker.
func (m *Model) noteFailure(w *worker, job string) {
	if !slices.Contains(w.health.failedJobs, job) {
		w.health.failedJobs = append(w.health.failedJobs, job)
	}
	if len(w.health.failedJobs) < quarantineAfterFailures || m.quarantinedCount() >= len(m.fleet)/maxQuarantinedDivisor {
		return
	}
	w.health.failureQuarantineUntilMS = m.now.MonoMS + quarantineMS
	m.event("WorkerSuspected", "Worker", w.ID, "FailedJobs", w.health.failedJobs, "ForMS", quarantineMS)
}

// noteSuccess clears a worker's record.
func (m *Model) noteSuccess(w *worker) {
	if m.quarantinedForFailures(w) {
		m.event("WorkerTrusted", "Worker", w.ID)
	}
	w.health.failedJobs, w.health.failureQuarantineUntilMS = nil, 0
}

func (m *Model) quarantinedForFailures(w *worker) bool {
	return m.now.MonoMS < w.health.failureQuarantineUntilMS
}

func (m *Model) quarantinedCount() (count int) {
	for _, w := range m.fleet {
		if m.quarantinedForFailures(w) || m.quarantinedForSlowness(w) {
			count++
		}
	}
	return count
}
