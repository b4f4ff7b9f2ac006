package main

import (
	"fmt"
	"syscall"
	"time"
)

// completedTwice: the store is down when a job's task ends. The job is shown as completed.
// Then all processes are killed at the same moment, and the minion is lost for good. A process
// in touch may not start the task any more.
func completedTwice(rec *recorder, trouble bool) (broken string, err error) {
	const (
		takes  = 2 * time.Second
		outage = 4500 * time.Millisecond
		stable = 3 * time.Second
	)
	f := &fleet{behave: func(string, int) behaviour { return behaviour{takes, "done"} }}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	client := c.others(c.leader())[0]
	if err := c.submit(client, jobA, job(step(1, 1000, 1, takes, nil))); err != nil {
		return "", err
	}
	for deadline := time.Now().Add(5 * time.Second); len(f.runsOf(jobA)) == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("the task has not begun")
		}
	}
	time.Sleep(takes / 2)
	if trouble {
		rec.log("the store is down")
		for _, in := range c.instances {
			in.gate.cut()
		}
		time.AfterFunc(outage, func() {
			rec.log("the store is back")
			for _, in := range c.instances {
				in.gate.heal()
			}
		})
	}
	lastTrouble := time.Now().Add(outage)
	state := ""
	for deadline := time.Now().Add(takes/2 + 2500*time.Millisecond); state != "completed"; time.Sleep(100 * time.Millisecond) {
		for _, in := range c.instances {
			if state = in.state(jobA); state == "completed" {
				break
			}
		}
		if time.Now().After(deadline) {
			// Nobody was told that the job is complete, so nothing can be broken.
			rec.log("the job was not shown as completed in time")
			return "", nil
		}
	}
	shown := time.Now()
	if trouble {
		minion := f.runsOf(jobA)[0].minion
		for _, m := range f.minions {
			if m.id == minion {
				go m.crash(0)
			}
		}
		for _, in := range c.instances {
			in.signal(syscall.SIGKILL)
		}
		for _, in := range c.instances {
			go in.restart(500 * time.Millisecond)
		}
	}
	time.Sleep(30 * time.Second)
	for _, e := range f.runsOf(jobA) {
		after := e.began.Sub(shown)
		rec.log("%s run %d began %d ms after the job was shown as completed and ended %q", e.task, e.run, after.Milliseconds(), e.kind)
		if after > time.Second && e.began.Sub(lastTrouble) > stable {
			broken = fmt.Sprintf("TWICE: the job was shown as completed, and run %d of %s began %d ms later, %d ms after the last disruption", e.run, e.task, after.Milliseconds(), e.began.Sub(lastTrouble).Milliseconds())
		}
	}
	return broken, nil
}
