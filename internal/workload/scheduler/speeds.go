package scheduler

import (
	"maps"

	"daisyhead/internal/workload/calibrator"
	"daisyhead/internal/workload/reducer"
)

// speedsIntervalMS is the least time between two records of the workers' speeds, which
// are several kilobytes long.
const speedsIntervalMS = 5000

// recordSpeeds proposes a record of the workers' speeds if they have changed, so that a
// later holder need not learn them anew.
func (m *Model) recordSpeeds() {
	if m.now.MonoMS-m.speedsRecordedMS < speedsIntervalMS {
		return
	}
	m.speedsRecordedMS = m.now.MonoMS
	levels := m.speeds.Levels()
	if maps.Equal(levels, m.Table.Speeds.Levels) {
		return
	}
	m.event("SpeedsRecorded", "Workers", len(m.fleet), "KnownWorkers", len(levels))
	m.propose(reducer.SpeedsRecord(reducer.Speeds{Levels: levels}))
}

// recordDuration records how long the work of a completed unit takes on its workers. The
// tasks of a gang end together, so what each of them takes is known from its progress.
func (m *Model) recordDuration(r *run, kind EndKind) {
	u := r.unit
	if kind != EndDone || u == nil || u.state != unitRunning || u.step.spec.Perpetual {
		return
	}
	if u.size() == 1 && r.progress.FromStart() {
		u.step.durations = append(u.step.durations, calibrator.Sample{Worker: r.worker.ID, TookMS: m.now.MonoMS - r.startedMS})
		return
	}
	for _, member := range u.runs {
		if tookMS, ok := member.progress.AverageTotalMS(); ok {
			u.step.durations = append(u.step.durations, calibrator.Sample{Worker: member.worker.ID, TookMS: tookMS})
		}
	}
}
