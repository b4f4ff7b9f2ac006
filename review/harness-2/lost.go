package main

import (
	"fmt"
	"time"
)

// lost plays a short stream of small jobs, during whose last second one minion is lost for good.
// finishS after the end of the traffic the jobs are asked for (LOST).
func lost(record *recorder, trouble bool) (broken []string, err error) {
	const (
		minions   = 8
		handEvery = 150 * time.Millisecond
		playFor   = 8 * time.Second
		loseAt    = 7 * time.Second
		finish    = 14 * time.Second
		// watch is for how long a job must have nothing running.
		watch    = 3 * time.Second
		taskTime = 2500 * time.Millisecond
	)
	d, err := newDeployment(record, 3, minions, 4, resources{64000, 131072, 8})
	if d != nil {
		defer d.close()
		track(d)
	}
	if err != nil {
		return nil, err
	}
	plain := route{Name: "r-plain", Host: "nony24.example", PathPrefix: "/pule252/", Service: serviceName, Priority: 1, Attempts: 4, Stretch: 3, SLOMS: 1000, TimeoutMS: 3000, Kind: "unsafe"}
	const key = "d4a3hwrr6x73d3zji9n7"
	d.configure([]route{plain}, []tenant{{Name: "kaje80", APIKeys: []string{key}, Priority: 1, Guaranteed: map[string]int{"gpu": 8}}})
	// running holds the runs of each job at present, ranAt when the latest one began or ended.
	running, ranAt, done := map[string]int{}, map[string]time.Time{}, map[string]bool{}
	d.fleet.onStart = func(_ *minion, r *run) {
		running[r.task[:16]]++
		ranAt[r.task[:16]] = time.Now()
	}
	d.fleet.onEnd = func(_ *minion, r *run, how string) {
		running[r.task[:16]]--
		ranAt[r.task[:16]] = time.Now()
		done[r.task[:16]] = done[r.task[:16]] || how == "done"
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	c := d.newClient()
	var jobs []*job
	gone := !trouble
	for began := time.Now(); time.Since(began) < playFor; time.Sleep(handEvery) {
		if !gone && time.Since(began) >= loseAt {
			gone = true
			// The fullest minion with room for two more tasks gets the next ones.
			var next *minion
			d.fleet.mu.Lock()
			for _, m := range d.fleet.minions {
				if len(m.runs) <= m.capacity.GPU-2 && (next == nil || len(m.runs) > len(next.runs)) {
					next = m
				}
			}
			d.fleet.mu.Unlock()
			next.vanish()
		}
		j := &job{id: newID(), route: plain, key: key, Spec: "small", Steps: []step{{Count: 1, CPU: 7500, MemMB: 11000, GPU: 1, EstimateMS: int(taskTime.Milliseconds()), work: taskTime}}}
		if !c.submit(j, len(jobs)) {
			return nil, fmt.Errorf("job %s was not accepted", j.id)
		}
		jobs = append(jobs, j)
	}
	record.write("case", "the traffic ends")
	time.Sleep(finish + watch)
	record.write("case", "the jobs are asked for")
	for n, j := range jobs {
		status, state := c.state(j, n)
		d.fleet.mu.Lock()
		idle := !done[j.id] && running[j.id] == 0 && time.Since(ranAt[j.id]) >= watch
		used := 0
		for _, m := range d.fleet.minions {
			used += len(m.runs)
		}
		d.fleet.mu.Unlock()
		if idle && status == 200 {
			broken = append(broken, fmt.Sprintf("job %s, accepted %.1f s ago, is %s and has had nothing running for over 3 s, %.0f s after the end of the traffic; the sound minions run %d tasks and have room for %d", j.id, time.Since(j.acceptedAt).Seconds(), state, (finish+watch).Seconds(), used, (minions-1)*8))
		}
	}
	time.Sleep(15 * time.Second)
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	left := 0
	for _, j := range jobs {
		if !done[j.id] {
			left++
		}
	}
	record.write("case", "%d jobs, %d were idle, %d are not done 15 s later", len(jobs), len(broken), left)
	return broken, nil
}
