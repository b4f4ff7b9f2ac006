package main

import (
	"fmt"
	"sync"
	"time"
)

// lastingAway: the minion that gets the first order to start a task that lasts is lost for
// good at that moment. The task must have begun elsewhere well before the calm after that has
// lasted for the 3 s and the 4 s before them.
func lastingAway(rec *recorder, trouble bool) (broken string, err error) {
	// 3 s in which the disruption still counts as near, 4 s of calm and 3 s in which nothing
	// of the task runs.
	const allowed = 10 * time.Second
	var mu sync.Mutex
	done := !trouble
	f := &fleet{behave: func(string, int) behaviour { return behaviour{takes: time.Hour} }}
	f.delay = func(m *minion, _ string, _ int) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if done {
			return 0, false
		}
		done = true
		go m.crash(0)
		return caseLimit, true
	}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	if err := c.submit(c.instances[0], jobA, job(step(1, 1000, 1, time.Minute, map[string]any{"perpetual": true}))); err != nil {
		return "", err
	}
	accepted := time.Now()
	for time.Since(accepted) < 40*time.Second && len(f.runsOf(jobA)) == 0 {
		time.Sleep(50 * time.Millisecond)
	}
	waited := time.Since(accepted).Round(100 * time.Millisecond)
	rec.log("the task began %s after the acceptance", waited)
	if waited > allowed {
		return fmt.Sprintf("LOST: a task that lasts did not run for %s, beside %d idle minions", waited, minionCount-1), nil
	}
	return "", nil
}
