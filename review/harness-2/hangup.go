package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// hangup plays a planned stop of an instance during which its settings change: SIGTERM, then
// SIGHUP within the grace period. Calls that the instance has read must be answered (LOST).
func hangup(record *recorder, trouble bool) (broken []string, err error) {
	const callers = 24
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
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var lost []string
	for round := range 3 {
		at := d.instances[round]
		stop := make(chan struct{})
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				// Each caller keeps its open connection and asks for a job that it never got
				// an answer for.
				c := d.newClient()
				for {
					select {
					case <-stop:
						return
					default:
					}
					began := time.Now()
					id := newID()
					status, _, took, err := c.call(at, "GET", plain, id, key, nil)
					if status == 0 && time.Since(began) > lossSlackMS*time.Millisecond && took < (deadlineMS-500)*time.Millisecond {
						mu.Lock()
						lost = append(lost, fmt.Sprintf("GET %s at %s: the connection ended %d ms after the call was sent (%v)", id, at.name, took.Milliseconds(), err))
						mu.Unlock()
						return
					}
					if status == 0 {
						return
					}
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				}
			})
		}
		time.Sleep(time.Second)
		at.signal(syscall.SIGTERM)
		time.Sleep(1500 * time.Millisecond)
		if trouble {
			at.signal(syscall.SIGHUP)
		}
		time.Sleep(500 * time.Millisecond)
		record.write("case", "%s, 2 s after SIGTERM, has ended: %t", at.name, at.ended())
		close(stop)
		group.Wait()
		for limit := time.Now().Add(graceMS * time.Millisecond); !at.ended() && time.Now().Before(limit); {
			time.Sleep(50 * time.Millisecond)
		}
		if err := at.start(); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	}
	return lost, nil
}
