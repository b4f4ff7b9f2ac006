package main

import (
	"fmt"
	"sync"
	"time"
)

// gone plays a job that lasts while single minions are lost for good. Each of its tasks must run
// again in time (LOST).
func gone(record *recorder, trouble bool) (broken []string, err error) {
	const (
		minions   = 16
		losses    = 4
		lossEvery = 16500 * time.Millisecond
		never     = -1
		// Each task must run from 6 s after its last run; 3 s without a run are too long.
		limit = 9 * time.Second
	)
	holdMaxMS = 10000 // as on rendimento-sul
	d, err := newDeployment(record, 3, minions, 4, resources{128000, 262144, 8})
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
	endedAt := map[string]time.Time{}
	d.fleet.onEnd = func(_ *minion, r *run, _ string) {
		mu.Lock()
		defer mu.Unlock()
		endedAt[r.task] = time.Now()
	}
	report := func(task string, gap time.Duration, after string) {
		record.write("case", "%s: %d ms without a run, %s", task, gap.Milliseconds(), after)
		if gap > limit {
			broken = append(broken, fmt.Sprintf("task %s had no run for %d ms, %s; 15 of 16 minions were sound and three quarters of their room free", task, gap.Milliseconds(), after))
		}
	}
	d.fleet.onStart = func(_ *minion, r *run) {
		mu.Lock()
		defer mu.Unlock()
		if at, ok := endedAt[r.task]; ok {
			report(r.task, time.Since(at), "then it ran again")
			delete(endedAt, r.task)
		}
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	j := &job{id: newID(), route: lasting, key: key, Spec: "lasting", Steps: []step{{Count: 32, CPU: 15000, MemMB: 31000, GPU: 1, Perpetual: true}}}
	if !d.newClient().submit(j, 0) {
		return nil, fmt.Errorf("job %s was not accepted", j.id)
	}
	time.Sleep(8 * time.Second)
	for n := range losses {
		if trouble {
			d.fleet.mu.Lock()
			var m *minion
			for _, o := range d.fleet.minions {
				if !o.down && len(o.runs) > 0 {
					m = o
				}
			}
			d.fleet.mu.Unlock()
			if m == nil {
				return nil, fmt.Errorf("no minion runs anything before loss %d", n)
			}
			m.crash(never)
		}
		time.Sleep(lossEvery)
	}
	d.fleet.mu.Lock()
	mu.Lock()
	defer mu.Unlock()
	defer d.fleet.mu.Unlock()
	for task, at := range endedAt {
		report(task, time.Since(at), "and never ran again")
	}
	return broken, nil
}
