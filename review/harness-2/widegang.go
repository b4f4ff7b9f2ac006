package main

import (
	"fmt"
	"time"
)

// widegang plays one gang of very many small tasks, and small jobs after it. The small jobs must
// be run (LOST).
func widegang(record *recorder, trouble bool) (broken []string, err error) {
	const (
		gangTasks = 14000
		watchFor  = 60 * time.Second
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
	const key = "d4a3hwrr6x73d3zji9n7"
	d.configure([]route{plain}, []tenant{{Name: "kaje80", APIKeys: []string{key}, Priority: 1, Guaranteed: map[string]int{"gpu": 8}}})
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
	for n := range 4 {
		j := &job{id: newID(), route: plain, key: key, Spec: "small", Steps: []step{{Count: 2, CPU: 7500, MemMB: 8000, GPU: 1, EstimateMS: 2500, work: 2500 * time.Millisecond}}}
		if c.submit(j, n) {
			jobs = append(jobs, j)
		} else {
			broken = append(broken, fmt.Sprintf("job %s was not accepted in five attempts", j.id))
		}
	}
	time.Sleep(watchFor)
	for n, j := range jobs {
		if status, state := c.state(j, n); status != 200 || state != "completed" {
			broken = append(broken, fmt.Sprintf("job %s is shown as %d %q %v after its acknowledgement, although the fleet has nearly nothing to do", j.id, status, state, time.Since(j.acceptedAt).Round(time.Second)))
		}
	}
	return broken, nil
}
