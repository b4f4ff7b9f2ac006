package scheduler_test

import "testing"

// TestTaskOfLostWorkerWaitsForNoLateLease guards against units that wait for as long as late
// orders may extend a lease although the list shows that their worker is not up, and against
// units that wait for longer where it is. A task has just been started beside another one when
// its worker is lost for good or cut off.
func TestTaskOfLostWorkerWaitsForNoLateLease(t *testing.T) {
	for cut, limitMS := range map[bool]int64{false: 8000, true: 20000} {
		for afterMS := int64(0); afterMS < 2400; afterMS += 300 {
			sim := newSmallFleet(t)
			sim.run(15000)
			sim.submit("render", "b", jobB, independentTasks(1, 1, 60000))
			sim.run(16000)
			f := sim.workerRunning(t, jobB)
			for _, o := range sim.workers {
				o.spec.Draining = o != f
			}
			sim.run(18000 + afterMS)
			sim.submit("render", "a", jobA, independentTasks(1, 4, 60000))
			sim.run(18100 + afterMS)
			if len(sim.checker.jobs[jobA].startTimesMS) == 0 {
				t.Fatal("the task was not started")
			}
			for _, o := range sim.workers {
				o.spec.Draining = false
			}
			if cut {
				f.unreachable = true
			} else {
				f.crash(1 << 30)
			}
			lostMS := sim.nowMS
			for len(sim.checker.jobs[jobA].startTimesMS) < 2 && sim.nowMS < 60000 {
				sim.run(sim.nowMS + 10)
			}
			if waitedMS := sim.nowMS - lostMS; waitedMS > limitMS {
				t.Errorf("cut off: %t: the task was placed again after %d ms, the limit is %d ms", cut, waitedMS, limitMS)
			}
			sim.expectNoViolations(t)
		}
	}
}
