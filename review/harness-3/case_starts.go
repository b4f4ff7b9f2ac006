package main

import (
	"fmt"
	"time"
)

// The disruption of the case: one of startMinions minions crashes at a time and is back after
// startDown, startCrashes times: the one that was given the latest task. Jobs of tasks that last are
// handed in each startEvery.
const (
	startMinions = 12
	startCrashes = 3
	startDown    = 4500 * time.Millisecond
	startSpan    = 15 * time.Second
	startEvery   = 300 * time.Millisecond
	startTasks   = 4
)

// absence is how a task that lasts is away.
type absence struct {
	running map[*run]bool
	// since is when the task's last run ended, or when its job was accepted.
	since time.Time
}

// playStarts hands jobs of tasks that last in while minions crash, and checks when each task runs.
func playStarts(p *play) {
	p.begin(startMinions, 3, 4, func(int) string { return "a" })
	tasks := map[string]*absence{}
	tracked := func(task string) *absence {
		if tasks[task] == nil {
			tasks[task] = &absence{running: map[*run]bool{}, since: time.Now()}
		}
		return tasks[task]
	}
	p.fleet.mu.Lock()
	p.fleet.dark = true
	var newest *minion
	p.fleet.onStart = func(m *minion, r *run) {
		tracked(r.task).running[r] = true
		newest = m
	}
	p.fleet.onEnd = func(_ *minion, r *run, _ string) {
		a := tracked(r.task)
		delete(a.running, r)
		a.since = time.Now()
	}
	p.fleet.mu.Unlock()

	begun, calmSince := time.Now(), time.Now()
	crashes, job, nextJob := 0, 0, time.Now()
	for time.Since(begun) < startCrashes*startSpan {
		time.Sleep(20 * time.Millisecond)
		if time.Now().After(nextJob) {
			nextJob = nextJob.Add(startEvery)
			id := fmt.Sprintf("00000000000d%03x1", job)
			job++
			if !p.client.submit(id, work{Lasts: true, Name: "lasting"}, map[string]any{"count": startTasks, "cpu": 500, "mem_mb": 200, "estimate_ms": 1000, "perpetual": true}) {
				fatal(errNotAccepted)
			}
			p.fleet.mu.Lock()
			for i := range startTasks {
				tracked(fmt.Sprintf("%s.0.0.%d", id, i))
			}
			p.fleet.mu.Unlock()
		}
		p.fleet.mu.Lock()
		if crashes < startCrashes && time.Since(begun) > 2*time.Second+time.Duration(crashes)*startSpan && p.trouble {
			m := newest
			m.crash("disruption")
			crashes++
			calmSince = time.Now().Add(startDown)
			time.AfterFunc(startDown, m.comeBack)
		}
		for task, a := range tasks {
			if away := time.Since(a.since); len(a.running) == 0 && away > lastsAfter+3*time.Second && time.Since(calmSince) > lastsCalm {
				p.log.violation("LOST: task %s, which lasts, has no run for %.1f s, the last %.1f s of them without a disruption", task, away.Seconds(), time.Since(calmSince).Seconds())
				// One violation a task and crash is enough.
				a.since = time.Now()
			}
		}
		p.fleet.mu.Unlock()
	}
}
