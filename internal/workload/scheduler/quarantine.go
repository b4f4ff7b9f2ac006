package scheduler

import "slices"

const (
	// quarantineAfterFailures is the number of different jobs that have to fail in a
	// row before their worker is quarantined. One is not enough, since some jobs fail
	// on any worker.
	quarantineAfterFailures = 2
	// quarantineMS is how long a quarantined worker gets no new tasks. After that, one
	// more failure is enough for the next quarantine, until a task succeeds there.
	quarantineMS = 6000
	// maxQuarantinedDivisor limits the workers in quarantine to one in this many.
	maxQuarantinedDivisor = 5
)

// workerHealth tracks failures and slowness of a worker's tasks.
type workerHealth struct {
	// failedJobs are the jobs that have failed on the worker since the last success
	// there.
	failedJobs               []string
	failureQuarantineUntilMS int64
	// slowQuarantineUntilMS is the end of the quarantine after a task stalled or slowed
	// down on the worker. Unlike failureQuarantineUntilMS, a success does not clear it.
	slowQuarantineUntilMS int64
}

// failurePenalty is the placement cost, in core-milliseconds, of a worker with a
// failure since its last success. It makes such a worker the last choice, but is small
// compared with the loss of work.
const failurePenalty = 1000

// failedSinceSuccess reports whether a task has failed on the worker since the last
// success there. Such workers are used last because one failed task ends its whole
// gang.
func (h workerHealth) failedSinceSuccess() bool { return len(h.failedJobs) > 0 }

// countFailure counts a failed run against its worker.
func (m *Model) countFailure(w *worker, job string) {
	if !slices.Contains(w.health.failedJobs, job) {
		w.health.failedJobs = append(w.health.failedJobs, job)
	}
	if len(w.health.failedJobs) < quarantineAfterFailures || m.quarantinedCount() >= len(m.fleet)/maxQuarantinedDivisor {
		return
	}
	w.health.failureQuarantineUntilMS = m.now.MonoMS + quarantineMS
	m.event("WorkerSuspected", "Worker", w.ID, "FailedJobs", w.health.failedJobs, "ForMS", quarantineMS)
}

// resetFailures clears the worker's failures and their quarantine.
func (m *Model) resetFailures(w *worker) {
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
