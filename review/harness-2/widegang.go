package main

import (
	"fmt"
	"sync"
	"time"
)

// widegang plays one gang of very many small tasks that fits into a fraction of the fleet, and a
// stream of small urgent jobs within their tenant's guarantee (LOST, RECLAIM).
func widegang(record *recorder, trouble bool) (broken []string, err error) {
	const (
		gangTasks = 13000
		playFor   = 70 * time.Second
	)
	d, err := newDeployment(record, 3, 8, 4, resources{64000, 131072, 8})
	if d != nil {
		defer d.close()
		track(d)
	}
	if err != nil {
		return nil, err
	}
	plain := route{Name: "r-plain", Host: "nony24.example", PathPrefix: "/pule252/", Service: serviceName, Priority: 1, Attempts: 4, Stretch: 3, SLOMS: 1000, TimeoutMS: 3000, Kind: "unsafe"}
	urgent := route{Name: "r-urgent", Host: "ficu95.example", PathPrefix: "/pufi791/", Service: serviceName, Priority: 0, Attempts: 3, Stretch: 1.5, SLOMS: 250, TimeoutMS: 3000, Kind: "unsafe"}
	const key = "d4a3hwrr6x73d3zji9n7"
	d.configure([]route{plain, urgent}, []tenant{{Name: "kaje80", APIKeys: []string{key}, Priority: 1, Guaranteed: map[string]int{"gpu": 32}}})
	var mu sync.Mutex
	starts := map[string]time.Time{}
	d.fleet.onStart = func(_ *minion, r *run) {
		mu.Lock()
		defer mu.Unlock()
		if _, ok := starts[r.task]; !ok {
			starts[r.task] = time.Now()
		}
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := d.newClient()
	if trouble {
		wide := &job{id: newID(), route: plain, key: key, Spec: "wide", Steps: []step{{Count: gangTasks, CPU: 10, MemMB: 10, EstimateMS: 2000, Gang: true, work: 2 * time.Second}}}
		if !c.submit(wide, 0) {
			return nil, fmt.Errorf("job %s was not accepted", wide.id)
		}
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	refused := 0
	for began := time.Now(); time.Since(began) < playFor; time.Sleep(800 * time.Millisecond) {
		j := &job{id: newID(), route: urgent, key: key, Spec: "small", Steps: []step{{Count: 2, CPU: 7500, MemMB: 8000, GPU: 1, EstimateMS: 2500, work: 2500 * time.Millisecond}}}
		if c.submit(j, len(jobs)) {
			jobs = append(jobs, j)
		} else {
			refused++
		}
	}
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for _, j := range jobs {
		for i := range j.Steps[0].Count {
			at, ok := starts[fmt.Sprintf("%s.0.0.%d", j.id, i)]
			if !ok {
				at = time.Now()
			}
			if gap := at.Sub(j.acceptedAt); gap > reclaimMS*time.Millisecond {
				broken = append(broken, fmt.Sprintf("task %d of job %s: %d ms after the acknowledgement, begun: %t", i, j.id, gap.Milliseconds(), ok))
			}
		}
	}
	record.write("case", "%d jobs accepted, %d not, %d tasks late", len(jobs), refused, len(broken))
	return broken, nil
}
