package main

import (
	"time"
)

// The disruption of the case: a minion crashes this long after it has started a task, and is
// down for crashDown.
const (
	crashAfter = 500 * time.Millisecond
	crashDown  = 4500 * time.Millisecond
	crashes    = 2
)

// playCrashes lets the minions of one task crash twice, one after the other. No run of the task
// ends failed.
func playCrashes(p *play) {
	const id = "00000000000000a1"
	crashed, failed := 0, 0
	p.begin(12, 3, 4, func(int) string { return "a" })
	p.fleet.mu.Lock()
	p.fleet.onStart = func(m *minion, r *run) {
		if !p.trouble || crashed == crashes {
			return
		}
		crashed++
		time.AfterFunc(crashAfter, func() {
			p.fleet.mu.Lock()
			defer p.fleet.mu.Unlock()
			m.crash("disruption")
			time.AfterFunc(crashDown, m.comeBack)
		})
	}
	p.fleet.onEnd = func(_ *minion, _ *run, how string) {
		if how == "failed" {
			failed++
		}
	}
	p.fleet.mu.Unlock()
	if !p.client.submit(id, work{MS: 8500, Name: "render"}, map[string]any{"count": 1, "cpu": 26000, "mem_mb": 60000, "gpu": 4, "estimate_ms": 8500}) {
		fatal(errNotAccepted)
	}
	last := ""
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		state := p.client.state(id)
		if state != last && state != "" {
			p.log.line("client: GET %s%s -> %s", prefix, id, state)
			last = state
		}
		switch state {
		case "completed":
			return
		case "failed":
			p.fleet.mu.Lock()
			defer p.fleet.mu.Unlock()
			for _, l := range p.system.entries(`"JobEnded"`) {
				p.log.line("log of %s", l)
			}
			p.log.violation("LOST: job %s is shown as failed; %d of its runs have ended failed, 4 attempts are allowed, and %d minions crashed under it", id, failed, crashed)
			return
		}
	}
	p.log.line("the job has not ended")
}
