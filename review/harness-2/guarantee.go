package main

import (
	"fmt"
	"time"
)

// guarantee plays a tenant whose jobs of priority 0 take all accelerators, beyond what it is
// guaranteed, and another one that then claims its own guarantee (RECLAIM). In the first round the
// large jobs are of the size and length of the site's urgent class, in the second one they last.
func guarantee(record *recorder, trouble bool) (broken []string, err error) {
	d, err := newDeployment(record, 3, 8, 4, resources{64000, 131072, 8})
	if d != nil {
		defer d.close()
		track(d)
	}
	if err != nil {
		return nil, err
	}
	const (
		largeKey, smallKey = "d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"
		largeWork          = 8 * time.Second
		watchFor           = 30 * time.Second
	)
	urgent := route{Name: "r-urgent", Host: "ficu95.example", PathPrefix: "/pufi791/", Service: serviceName, Priority: 0, Attempts: 3, Stretch: 1.5, SLOMS: 250, TimeoutMS: 3000, Kind: "unsafe"}
	d.configure([]route{urgent}, []tenant{
		{Name: "kaje80", APIKeys: []string{largeKey}, Priority: 1, Guaranteed: map[string]int{"gpu": 16}},
		{Name: "mola31", APIKeys: []string{smallKey}, Priority: 1, Guaranteed: map[string]int{"gpu": 16}},
	})
	starts := map[string]time.Time{}
	d.fleet.onStart = func(_ *minion, r *run) {
		if _, ok := starts[r.task]; !ok {
			starts[r.task] = time.Now()
		}
	}
	if err := d.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := d.newClient()
	for _, lasting := range []bool{false, true} {
		// Two jobs of eight tasks with four accelerators each fill the fleet.
		large := step{Count: 8, CPU: 7500, MemMB: 11000, GPU: 4, EstimateMS: int(largeWork.Milliseconds()), work: largeWork}
		if lasting {
			large.Perpetual, large.EstimateMS = true, 0
		}
		for n := 0; n < 2 && trouble; n++ {
			if j := (&job{id: newID(), route: urgent, key: largeKey, Spec: "large", Steps: []step{large}}); !c.submit(j, n) {
				return nil, fmt.Errorf("job %s was not accepted", j.id)
			}
			time.Sleep(500 * time.Millisecond)
		}
		claim := &job{id: newID(), route: urgent, key: smallKey, Spec: "claim", Steps: []step{{Count: 2, CPU: 7500, MemMB: 11000, GPU: 1, EstimateMS: 2500, work: 2500 * time.Millisecond}}}
		if !c.submit(claim, 0) {
			return nil, fmt.Errorf("job %s was not accepted", claim.id)
		}
		for time.Since(claim.acceptedAt) < watchFor {
			time.Sleep(500 * time.Millisecond)
			if status, state := c.state(claim, 1); status == 200 && state == "completed" {
				break
			}
		}
		d.fleet.mu.Lock()
		for i := range claim.Steps[0].Count {
			at, ok := starts[fmt.Sprintf("%s.0.0.%d", claim.id, i)]
			gap := at.Sub(claim.acceptedAt)
			if !ok {
				gap = time.Since(claim.acceptedAt)
			}
			if gap > reclaimMS*time.Millisecond {
				broken = append(broken, fmt.Sprintf("task %d of job %s: %d ms after the acknowledgement, begun: %t, beside jobs that last: %t; its tenant uses 2 of 16 guaranteed accelerators", i, claim.id, gap.Milliseconds(), ok, lasting))
			}
		}
		d.fleet.mu.Unlock()
		time.Sleep(time.Second)
	}
	return broken, nil
}
