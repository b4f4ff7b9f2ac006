package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of jobs.
const (
	jobA = "00000000000000aa"
	jobB = "00000000000000bb"
)

// minionCount is the number of minions in most cases: one of them is a tenth.
const minionCount = 10

// equalMinions adds minions of 8 GPUs. The first carries the label "b".
func equalMinions(f *fleet) error {
	for i := range minionCount {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if err := f.addMinion(fmt.Sprintf("i-%04d", i), fmt.Sprintf("127.0.3.%d", 10+i), []string{kind, fmt.Sprintf("r1-%d", i/5)}, 128000); err != nil {
			return err
		}
	}
	return nil
}

// isFinal reports whether a job's state does not change any more.
func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// awaitFinal asks for a job's state at an instance until it is final.
func awaitFinal(in *instance, id string, limit time.Duration) (state string) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		if state = in.state(id); isFinal(state) {
			break
		}
	}
	return state
}

// countTwice: a task fails once, after a start that was first left unanswered. Then the
// leading process is stopped as planned. The job has two attempts and must not be shown as
// failed.
func countTwice(rec *recorder, trouble bool) (broken string, err error) {
	const attempts = 2
	var mu sync.Mutex
	delayed := map[string]bool{}
	f := &fleet{
		behave: func(task string, run int) behaviour {
			switch {
			case strings.HasPrefix(task, jobA) && run == 1:
				return behaviour{1500 * time.Millisecond, "failed"}
			case strings.HasPrefix(task, jobA), strings.HasPrefix(task, jobB):
				return behaviour{1500 * time.Millisecond, "done"}
			}
			return behaviour{500 * time.Millisecond, "done"}
		},
	}
	if trouble {
		// The first order to start each of the two tasks is left unanswered and carried out
		// late; the repeated one is answered.
		f.delay = func(_ *minion, task string, run int) (time.Duration, bool) {
			mu.Lock()
			defer mu.Unlock()
			if delayed[task] || run != 1 || !strings.HasPrefix(task, jobA) && !strings.HasPrefix(task, jobB) {
				return 0, false
			}
			delayed[task] = true
			return 2500 * time.Millisecond, true
		}
	}
	c, err := newCluster(rec, 3, f, attempts, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	leader := c.leader()
	client := c.others(leader)[0]
	// Other work, so that the two late orders are few among all.
	if err := c.submit(client, "00000000000000cc", job(step(48, 1000, 1, 500*time.Millisecond, map[string]any{"requires": "a"}))); err != nil {
		return "", err
	}
	only := map[string]any{"requires": "b"}
	if err := c.submit(client, jobB, job(step(1, 1000, 1, 1500*time.Millisecond, only))); err != nil {
		return "", err
	}
	if state := awaitFinal(client, jobB, 10*time.Second); state != "completed" {
		return "", fmt.Errorf("the first job is %q", state)
	}
	if err := c.submit(client, jobA, job(step(1, 1000, 1, 1500*time.Millisecond, only))); err != nil {
		return "", err
	}
	failed := func() (n int) {
		for _, e := range f.runsOf(jobA) {
			if e.kind == "failed" {
				n++
			}
		}
		return n
	}
	for deadline := time.Now().Add(10 * time.Second); failed() == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("the task has not failed")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		leader = c.leader()
		client = c.others(leader)[0]
		leader.signal(syscall.SIGTERM)
		go leader.restart(500 * time.Millisecond)
	}
	state := awaitFinal(client, jobA, 60*time.Second)
	rec.log("job %s is shown as %q; %d of its runs have ended failed, %d attempts are allowed", jobA, state, failed(), attempts)
	if state == "failed" && failed() < attempts {
		return fmt.Sprintf("LOST: the job is shown as failed after %d failed run, and has %d attempts", failed(), attempts), nil
	}
	if state != "completed" {
		return "", fmt.Errorf("the job is %q", state)
	}
	return "", nil
}

// starve: one of ten minions hangs for a few seconds, so that the start of a task gets no
// answer. Then the leading process is killed now and again. The task must run within the time
// in which all jobs are asked for, since nine minions are idle.
func starve(rec *recorder, trouble bool) (broken string, err error) {
	const (
		hang      = 5500 * time.Millisecond
		killPause = 12 * time.Second
		kills     = 6
	)
	f := &fleet{behave: func(string, int) behaviour { return behaviour{2 * time.Second, "done"} }}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	client := c.others(c.leader())[0]
	if trouble {
		hangMinion(rec, f.minions[4], hang)
	}
	// One task for each minion.
	if err := c.submit(client, jobA, job(step(minionCount, 16000, 8, 2*time.Second, nil))); err != nil {
		return "", err
	}
	began := time.Now()
	trafficEnd := began
	if trouble {
		for i := range kills {
			time.Sleep(time.Until(began.Add(9*time.Second + time.Duration(i)*killPause)))
			leader := c.leader()
			leader.signal(syscall.SIGKILL)
			go leader.restart(500 * time.Millisecond)
		}
		trafficEnd = time.Now()
	}
	rec.log("the traffic ends")
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	state := c.instances[0].state(jobA)
	done, running, last := 0, 0, time.Time{}
	for _, e := range f.runsOf(jobA) {
		switch {
		case e.kind == "":
			running++
		case e.kind == "done":
			done++
		}
		if e.ended.After(last) {
			last = e.ended
		}
	}
	rec.log("job %s is %q: %d of %d tasks done, %d running, nothing of it runs since %s", jobA, state, done, minionCount, running, time.Since(last).Round(time.Millisecond))
	if done < minionCount && running == 0 && time.Since(last) > 3*time.Second {
		return fmt.Sprintf("LOST: %s after the end of the traffic a task of the job does not run; nothing of the job has run for %s, and all %d minions are idle", finish, time.Since(last).Round(time.Second), minionCount), nil
	}
	if done < minionCount {
		return "", fmt.Errorf("%d tasks are done", done)
	}
	return "", nil
}

func hangMinion(rec *recorder, m *minion, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hangsUntil = time.Now().Add(d)
	rec.log("minion %s hangs for %s", m.id, d)
}

// cancelGone: an instance is cut off from the store. Another one accepts a job, and the
// client cancels it at the first one. Once that is answered, no task of the job may start
// later than cancel_ms.
func cancelGone(rec *recorder, trouble bool) (broken string, err error) {
	const (
		cut   = 1500 * time.Millisecond
		takes = 5 * time.Second
	)
	f := &fleet{behave: func(string, int) behaviour { return behaviour{takes, "done"} }}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	leader := c.leader()
	others := c.others(leader)
	accepting, cancelling := others[0], others[1]
	if trouble {
		rec.log("%s is cut off from the store", cancelling.name)
		cancelling.gate.cut()
		time.AfterFunc(cut, func() {
			rec.log("%s reaches the store again", cancelling.name)
			cancelling.gate.heal()
		})
	}
	if err := c.submit(accepting, jobA, job(step(1, 1000, 1, takes, nil), step(1, 1000, 1, takes, map[string]any{"start_after": []int{0}}))); err != nil {
		return "", err
	}
	status := 0
	for deadline := time.Now().Add(10 * time.Second); status/100 != 2 && status != http.StatusGone; time.Sleep(200 * time.Millisecond) {
		if status, _ = cancelling.call(http.MethodDelete, jobA, nil); time.Now().After(deadline) {
			return "", fmt.Errorf("the cancelling is not answered")
		}
	}
	answered := time.Now()
	time.Sleep(12 * time.Second)
	for _, in := range c.instances {
		in.state(jobA)
	}
	for _, e := range f.runsOf(jobA) {
		after := e.began.Sub(answered)
		rec.log("%s run %d began %d ms after the cancelling was answered and ended %q", e.task, e.run, after.Milliseconds(), e.kind)
		if after > cancelMS*time.Millisecond {
			broken = fmt.Sprintf("UNASKED: the cancelling of an accepted job was answered with %d, and %s started %d ms later", status, e.task, after.Milliseconds())
		}
	}
	return broken, nil
}

// pending: one of ten minions hangs for a few seconds, so that one of ten jobs can't begin.
// The queue's count of pending jobs must include at least half of the jobs that were accepted
// long enough ago and have not begun.
func pending(rec *recorder, trouble bool) (broken string, err error) {
	const hang = 5500 * time.Millisecond
	f := &fleet{behave: func(string, int) behaviour { return behaviour{2 * time.Second, "done"} }}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	if trouble {
		hangMinion(rec, f.minions[4], hang)
	}
	leader := c.leader()
	ids := []string{}
	for i := range minionCount {
		id := fmt.Sprintf("00000000000000%02x", i)
		if err := c.submit(c.others(leader)[0], id, job(step(1, 16000, 8, 2*time.Second, nil))); err != nil {
			return "", err
		}
		ids = append(ids, id)
	}
	accepted := time.Now()
	// The hang has ended for longer than stable_window_ms by then.
	time.Sleep(time.Until(accepted.Add(hang + 3500*time.Millisecond)))
	for range 4 {
		waiting := 0
		for _, id := range ids {
			if len(f.runsOf(id)) == 0 {
				waiting++
			}
		}
		for _, in := range c.instances {
			status, answer := in.call(http.MethodGet, "", nil)
			count, ok := answer["pending"].(float64)
			stillWaiting := 0
			for _, id := range ids {
				if len(f.runsOf(id)) == 0 {
					stillWaiting++
				}
			}
			rec.log("%s gives %v as pending (status %d); %d jobs that were accepted %s ago have not begun", in.name, answer["pending"], status, stillWaiting, time.Since(accepted).Round(100*time.Millisecond))
			if ok && 2*int(count) < min(waiting, stillWaiting) {
				broken = fmt.Sprintf("MIXED: %s gives %d as pending, and %d job accepted %s before has not begun", in.name, int(count), stillWaiting, time.Since(accepted).Round(100*time.Millisecond))
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken, nil
}

// crashes: minions crash now and again, one of ten at a time, and start again. A job whose
// tasks last and never end by themselves must not be shown as failed.
func crashes(rec *recorder, trouble bool) (broken string, err error) {
	const (
		down   = time.Second
		pause  = 3 * time.Second
		waves  = 26
		tasks  = 40
		jobMem = 256
	)
	f := &fleet{behave: func(string, int) behaviour { return behaviour{takes: time.Hour} }}
	c, err := newCluster(rec, 3, f, 3, equalMinions)
	defer c.close()
	if err != nil {
		return "", err
	}
	client := c.others(c.leader())[0]
	lasting := step(tasks, 1000, 1, time.Minute, map[string]any{"perpetual": true, "mem_mb": jobMem, "anti_affinity": 8})
	if err := c.submit(client, jobA, job(lasting)); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	state := ""
	for i := range waves {
		time.Sleep(time.Until(began.Add(time.Duration(i) * pause)))
		if trouble {
			go f.minions[random.IntN(minionCount)].crash(down)
		}
		if state = client.state(jobA); isFinal(state) {
			break
		}
	}
	time.Sleep(3 * time.Second)
	state = client.state(jobA)
	failed, lost := 0, 0
	for _, e := range f.runsOf(jobA) {
		switch e.kind {
		case "failed":
			failed++
		case "crash":
			lost++
		}
	}
	rec.log("job %s is %q: %d runs lost in crashes, %d ended failed", jobA, state, lost, failed)
	if state == "failed" && failed == 0 {
		return fmt.Sprintf("LOST: a job whose %d tasks last is shown as failed; none of its runs has ended failed, %d were lost with their minions", tasks, lost), nil
	}
	if state != "running" {
		return "", fmt.Errorf("the job is %q", state)
	}
	return "", nil
}
