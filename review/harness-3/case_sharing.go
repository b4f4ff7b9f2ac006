package main

import (
	"errors"
	"time"
)

var errNotAccepted = errors.New("a job of the case was not accepted")

// sharingMinions is the size of the fleet: one minion is left for the serving task.
const sharingMinions = 8

// lastsBound is the time after its last run in which a task that lasts has to run again, with the
// span that has to be calm.
const (
	lastsAfter = 6 * time.Second
	lastsCalm  = 7 * time.Second
)

// playSharing takes the minion of a serving task away for good while tasks that fill run on all
// others.
func playSharing(p *play) {
	const serving, filling = "00000000000000b1", "00000000000000b2"
	p.begin(sharingMinions, 3, 4, func(int) string { return "a" })
	if !p.client.submit(serving, work{Lasts: true, Name: "serving"}, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4000, "estimate_ms": 1000, "perpetual": true, "target_ms": 200, "image": "web"}) {
		fatal(errNotAccepted)
	}
	time.Sleep(2 * time.Second)
	if !p.client.submit(filling, work{Lasts: true, Name: "filling"}, map[string]any{"count": sharingMinions - 1, "cpu": 4000, "mem_mb": 4000, "estimate_ms": 1000, "perpetual": true, "fill_count": 1, "anti_affinity": 1, "max_unavailable": 1, "image": "batch"}) {
		fatal(errNotAccepted)
	}
	time.Sleep(3 * time.Second)
	servedBy, fills := p.present("serving"), p.present("filling")
	p.log.line("the serving task runs on %d minions, %d filling tasks run", len(servedBy), len(fills))
	if len(servedBy) != 1 || len(fills) != sharingMinions-1 {
		fatal(errors.New("the tasks were not placed as the case needs"))
	}
	if p.trouble {
		p.fleet.mu.Lock()
		servedBy[0].crash("lost for good")
		p.fleet.mu.Unlock()
	}
	lost := time.Now()
	for time.Since(lost) < 40*time.Second {
		time.Sleep(500 * time.Millisecond)
		if now := p.present("serving"); len(now) > 0 && time.Since(lost) > lastsAfter+lastsCalm {
			p.log.line("the serving task runs on %s", now[0].id)
			return
		}
	}
	state := p.client.state(serving)
	p.log.line("client: GET %s%s -> %s", prefix, serving, state)
	for _, l := range p.system.entries(`"JobWaits"`) {
		p.log.line("log of %s", l)
	}
	p.log.violation("LOST: the task of job %s, which lasts, has not run for %.0f s after its last run, and each of %d minions that are up has room for it 16 times over", serving, time.Since(lost).Seconds(), sharingMinions-1)
}

// present returns the minions that run a task of the named job.
func (p *play) present(name string) (found []*minion) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for _, m := range p.fleet.minions {
		for _, r := range m.runs {
			if r.work.Name == name && !r.stopping {
				found = append(found, m)
			}
		}
	}
	return found
}
