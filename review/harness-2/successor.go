package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// leader returns the instance that last logged that it has taken the term.
func (d *deployment) leader() (leader *instance) {
	var latest []byte
	for _, i := range d.instances {
		data, err := os.ReadFile(filepath.Join(d.folder, i.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(data, []byte("\n")) {
			// The lines begin with the time in a form that sorts.
			if bytes.Contains(line, []byte(`"msg":"TermTaken"`)) && bytes.Compare(line, latest) > 0 {
				latest, leader = line, i
			}
		}
	}
	return leader
}

// successor plays a job that lasts. A start of one of its tasks gets no answer and is carried out
// late, its repetition is answered, the leading process is killed, and then the task fails by
// itself. It must run again in time (LOST).
func successor(record *recorder, trouble bool) (broken []string, err error) {
	const (
		tasks     = 17
		lateAfter = 2500 * time.Millisecond
		killAfter = 5 * time.Second
		// The killed process is started again restartAfter, the task fails failAfter the kill.
		restartAfter = 3 * time.Second
		failAfter    = 5 * time.Second
		watchFor     = 20 * time.Second
		rounds       = 2
		// Each task must run from 6 s after its last run; 3 s without a run are too long.
		limit = 9 * time.Second
	)
	d, err := newDeployment(record, 3, 12, 4, resources{64000, 131072, 8})
	if d != nil {
		defer d.close()
		track(d)
	}
	if err != nil {
		return nil, err
	}
	lasting := route{Name: "r-lasting", Host: "nony24.example", PathPrefix: "/lohu930/", Service: serviceName, Priority: 1, Attempts: 4, Stretch: 3, SLOMS: 1000, TimeoutMS: 3000, Kind: "unsafe"}
	const key = "d4a3hwrr6x73d3zji9n7"
	d.configure([]route{lasting}, []tenant{{Name: "kaje80", APIKeys: []string{key}, Priority: 1, Guaranteed: map[string]int{"gpu": 8}}})
	var mu sync.Mutex
	lateTask := ""
	startedAt := map[string]time.Time{}
	d.fleet.onStart = func(_ *minion, r *run) {
		mu.Lock()
		defer mu.Unlock()
		startedAt[r.task] = time.Now()
	}
	d.fleet.late = func(m *minion, o order) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || lateTask != "" {
			return 0, false
		}
		lateTask = o.Task
		record.write("minion", "%s: the start of %s run %d gets no answer and is carried out %v later", m.id, o.Task, o.Run, lateAfter)
		return lateAfter, true
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := d.newClient()
	for n := range rounds {
		mu.Lock()
		lateTask = ""
		mu.Unlock()
		j := &job{id: newID(), route: lasting, key: key, Spec: "lasting", Steps: []step{{Count: tasks, CPU: 7000, MemMB: 15000, GPU: 1, Perpetual: true}}}
		if !c.submit(j, n) {
			return nil, fmt.Errorf("job %s was not accepted", j.id)
		}
		time.Sleep(killAfter)
		mu.Lock()
		task := lateTask
		mu.Unlock()
		if task == "" {
			task = j.id + ".0.0.0"
		}
		killed := d.leader()
		if killed == nil {
			return nil, fmt.Errorf("no instance leads")
		}
		if trouble {
			killed.signal(syscall.SIGKILL)
		}
		time.Sleep(restartAfter)
		if trouble {
			if err := killed.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(failAfter - restartAfter)
		failedAt, found := time.Now(), false
		d.fleet.mu.Lock()
		for _, m := range d.fleet.minions {
			if r := m.runs[task]; r != nil {
				m.end(r, "failed")
				found = true
			}
		}
		d.fleet.mu.Unlock()
		if !found {
			return nil, fmt.Errorf("task %s does not run", task)
		}
		time.Sleep(watchFor)
		mu.Lock()
		at := startedAt[task]
		mu.Unlock()
		gap, again := at.Sub(failedAt), at.After(failedAt)
		if !again {
			gap = watchFor
		}
		record.write("case", "%s: %d ms without a run, runs again: %t", task, gap.Milliseconds(), again)
		if gap > limit {
			broken = append(broken, fmt.Sprintf("task %s has no run for %d ms after it failed by itself (runs again: %t); all minions are sound and two thirds of their room is free", task, gap.Milliseconds(), again))
		}
		status, _, _, _ := c.call(d.instances[(n+1)%len(d.instances)], "DELETE", lasting, j.id, key, nil)
		record.write("case", "job %s cancelled: %d", j.id, status)
		time.Sleep(2 * time.Second)
	}
	return broken, nil
}
