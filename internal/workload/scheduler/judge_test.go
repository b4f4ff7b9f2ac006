package scheduler_test

import (
	"fmt"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/scheduler"
)

// verdict is what the judge saw of one job.
type verdict struct {
	steps       []describer.Step
	queue       describer.Queue
	submittedMS int64
	cancelledMS int64
	startedMS   int64
	startsMS    []int64
	doneMS      int64
	// shownMS is when callers first saw the job as completed.
	shownMS int64
	// fails lets all of its tasks fail.
	fails bool
	// took replaces the estimates as the true time of work.
	took int64
}

// judge watches the workers and counts broken promises.
type judge struct {
	submitted map[string]*verdict
	running   map[string]int
	// confirmedDone are tasks whose end was confirmed.
	confirmedDone map[string]bool
	endedDone     map[string]bool
	broken        []string
	// wastedMS is the accelerator time of runs that did not end as done.
	wastedMS int64
	starts   int
	alone    int
	// unpermitted counts starts that were refused for want of a permit.
	unpermitted int
	// late is set while an order is carried out late: bounds in time don't hold
	// for those, all others do.
	late bool
}

func newJudge() *judge {
	return &judge{submitted: map[string]*verdict{}, running: map[string]int{}, confirmedDone: map[string]bool{}, endedDone: map[string]bool{}}
}

func (j *judge) step(ref scheduler.TaskRef) describer.Step {
	v, ok := j.submitted[ref.Unit.Job]
	if !ok {
		return describer.Step{}
	}
	return v.steps[ref.Unit.Step]
}

func (j *judge) workMS(ref scheduler.TaskRef) int64 {
	if took := j.submitted[ref.Unit.Job].took; took > 0 {
		return took
	}
	return j.step(ref).EstimateMS
}

func (j *judge) fails(ref scheduler.TaskRef) bool { return j.submitted[ref.Unit.Job].fails }

func (j *judge) breaks(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

func (j *judge) key(ref scheduler.TaskRef) string {
	return fmt.Sprintf("%s.%d.%d.%d", ref.Unit.Job, ref.Unit.Occurrence, ref.Unit.Step, ref.Member)
}

// cancelMS is the time in which starts of a cancelled job must have stopped.
const cancelMS = 3000

// began judges the start of a run.
func (j *judge) began(f *fakeWorker, run *fakeRun) {
	key, now := j.key(run.ref), f.world.nowMS
	v, ok := j.submitted[run.ref.Unit.Job]
	if !ok {
		j.breaks("%d: %s was never submitted", now, key)
		return
	}
	j.starts++
	if v.startedMS == 0 {
		v.startedMS = now
	}
	if j.running[key] > 0 {
		j.breaks("%d: %s runs twice, run %d on %s", now, key, run.ref.Run, f.id)
	}
	if j.confirmedDone[key] {
		j.breaks("%d: %s is started after its end was confirmed", now, key)
	}
	if v.shownMS > 0 && !j.late {
		j.breaks("%d: %s is started after the job was shown as completed at %d", now, key, v.shownMS)
	}
	if !j.late && v.cancelledMS > 0 && now > v.cancelledMS+cancelMS {
		j.breaks("%d: %s of a job cancelled at %d is started", now, key, v.cancelledMS)
	}
	for _, a := range v.steps[run.ref.Unit.Step].After {
		if !j.stepDone(run.ref.Unit.Job, a) {
			j.breaks("%d: %s starts before step %d has ended", now, key, a)
		}
	}
	j.running[key]++
	v.startsMS = append(v.startsMS, now)
	used := j.step(run.ref).Need
	for _, r := range f.runs {
		used = used.Add(j.step(r.ref).Need)
	}
	if !f.spec.Room.Fits(used) {
		j.breaks("%d: %s is overfull with %s", now, f.id, key)
	}
}

func (j *judge) stepDone(job string, step int) bool {
	for i := range j.submitted[job].steps[step].Count {
		if !j.endedDone[fmt.Sprintf("%s.0.%d.%d", job, step, i)] {
			return false
		}
	}
	return true
}

// shownCompleted judges that callers see a job as completed.
func (j *judge) shownCompleted(nowMS int64, job string) {
	v := j.submitted[job]
	if v.shownMS > 0 {
		return
	}
	v.shownMS = nowMS
	for step := range v.steps {
		if !j.stepDone(job, step) {
			j.breaks("%d: job %s is shown as completed, step %d is not", nowMS, job, step)
		}
	}
}

func (j *judge) ended(f *fakeWorker, run *fakeRun, kind scheduler.EndKind) {
	key := j.key(run.ref)
	j.running[key]--
	if kind == scheduler.EndAlone {
		j.alone++
	}
	if kind != scheduler.EndDone {
		j.wastedMS += (f.world.nowMS - run.startedMS) * int64(j.step(run.ref).Need.Accelerators)
		return
	}
	j.endedDone[key] = true
	j.submitted[run.ref.Unit.Job].doneMS = f.world.nowMS
}

func (j *judge) vanished(f *fakeWorker, run *fakeRun) {
	j.running[j.key(run.ref)]--
	j.wastedMS += (f.world.nowMS - run.startedMS) * int64(j.step(run.ref).Need.Accelerators)
}

func (j *judge) confirm(e scheduler.EndReport, _ *fakeWorker) {
	if e.Kind == scheduler.EndDone && !j.step(e.Task).Perpetual {
		j.confirmedDone[j.key(e.Task)] = true
	}
}
