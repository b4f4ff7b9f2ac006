package main

import (
	"fmt"
	"time"
)

// crashes plays a perpetual job and a stream of ordinary jobs while one minion at a time crashes
// and comes back. No run ends failed, so no job may be shown as failed (LOST).
func crashes(record *recorder, trouble bool) (broken []string, err error) {
	const (
		minions    = 8
		crashEvery = 3 * time.Second
		downFor    = 2 * time.Second
		playFor    = 84 * time.Second
		taskTime   = 4 * time.Second
	)
	d, err := newDeployment(record, 3, minions, 4, resources{64000, 131072, 8})
	if d != nil {
		defer d.close()
		track(d)
	}
	if err != nil {
		return nil, err
	}
	lasting := route{Name: "r-lasting", Host: "nony24.example", PathPrefix: "/lohu930/", Service: serviceName, Priority: 1, Attempts: 4, Stretch: 3, SLOMS: 1000, TimeoutMS: 3000, Kind: "unsafe"}
	plain := route{Name: "r-plain", Host: "nony24.example", PathPrefix: "/pule252/", Service: serviceName, Priority: 2, Attempts: 4, Stretch: 3, SLOMS: 3000, TimeoutMS: 3000, Kind: "unsafe"}
	d.configure([]route{lasting, plain}, []tenant{{Name: "kaje80", APIKeys: []string{"d4a3hwrr6x73d3zji9n7"}, Priority: 1, Guaranteed: map[string]int{"gpu": 8}}})
	failedRuns := map[string]int{}
	d.fleet.onEnd = func(_ *minion, r *run, how string) {
		if how == "failed" {
			failedRuns[r.task[:16]]++
		}
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := d.newClient()
	var jobs []*job
	hand := func(r route, s step) error {
		j := &job{id: newID(), route: r, key: "d4a3hwrr6x73d3zji9n7", Spec: "review", Steps: []step{s}}
		if !c.submit(j, len(jobs)) {
			return fmt.Errorf("job %s was not accepted", j.id)
		}
		jobs = append(jobs, j)
		return nil
	}
	if err := hand(lasting, step{Count: 8, CPU: 8000, MemMB: 8000, GPU: 1, EstimateMS: 60000, Perpetual: true}); err != nil {
		return nil, err
	}
	began, lastCrash, next := time.Now(), time.Now(), 0
	for time.Since(began) < playFor {
		if err := hand(plain, step{Count: 3, CPU: 7500, MemMB: 8000, GPU: 1, EstimateMS: int(taskTime.Milliseconds()), work: taskTime}); err != nil {
			return nil, err
		}
		if trouble && time.Since(lastCrash) >= crashEvery {
			lastCrash = time.Now()
			d.fleet.minions[next%minions].crash(downFor)
			next++
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	for n, j := range jobs {
		status, state := c.state(j, n)
		d.fleet.mu.Lock()
		failed := failedRuns[j.id]
		d.fleet.mu.Unlock()
		if state == "failed" && failed == 0 {
			kind := "job"
			if j.Steps[0].Perpetual {
				kind = "perpetual job"
			}
			broken = append(broken, fmt.Sprintf("%s %s is shown as failed, but none of its runs ended failed", kind, j.id))
		}
		if status == 410 {
			broken = append(broken, fmt.Sprintf("accepted job %s is answered 410", j.id))
		}
	}
	record.write("case", "%d jobs, %d shown as failed without a failed run, %d crashes", len(jobs), len(broken), next)
	return broken, nil
}
