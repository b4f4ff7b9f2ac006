package main

import (
	"fmt"
	"time"
)

// The disruption of the case: four of kindMinions minions, two of each kind, crash at a time and
// come back after kindDown or a little later with the other kind.
const (
	kindMinions = 32
	kindOfEach  = 2
	kindRounds  = 32
	kindDown    = 1000 * time.Millisecond
	kindStep    = 37 * time.Millisecond
	kindPause   = 2900 * time.Millisecond
	kindJobs    = 15
)

// playKinds lets minions crash and return under their IDs as minions of another kind, while tasks
// wait that require one kind.
func playKinds(p *play) {
	p.begin(kindMinions, 3, 4, func(i int) string { return []string{"a", "b"}[i%2] })
	p.fleet.mu.Lock()
	p.fleet.onStart = func(m *minion, r *run) {
		if r.work.Name == "needs-a" && m.kind != "a" {
			p.log.violation("ROUTE: run %s/%d starts on %s, which has kind %s since %.3f s; its step requires kind a", r.task, r.number, m.id, m.kind, time.Since(m.born).Seconds())
		}
	}
	p.fleet.mu.Unlock()
	for i := range kindJobs {
		id := fmt.Sprintf("0000000000000c%x1", i)
		if !p.client.submit(id, work{MS: 8000, Name: "needs-a"}, map[string]any{"count": 120, "cpu": 5600, "mem_mb": 8000, "gpu": 1, "estimate_ms": 8000, "requires": "a"}) {
			fatal(errNotAccepted)
		}
	}
	time.Sleep(3 * time.Second)
	for round := range kindRounds {
		if p.trouble {
			p.changeKinds(round)
		}
		time.Sleep(kindPause)
		if len(p.log.broken) > 0 {
			return
		}
	}
}

// changeKinds crashes minions of both kinds, which come back with the other kind.
func (p *play) changeKinds(round int) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for i, from := range []string{"a", "b"} {
		left := kindOfEach
		for n := range kindMinions {
			m := p.fleet.minions[(n+5*round)%kindMinions]
			if left == 0 || !m.up || m.kind != from {
				continue
			}
			left--
			m.crash("disruption")
			time.AfterFunc(kindDown+time.Duration(2*i+left+4*(round%8))*kindStep, func() {
				p.fleet.mu.Lock()
				m.kind = map[string]string{"a": "b", "b": "a"}[from]
				p.fleet.mu.Unlock()
				m.comeBack()
			})
		}
	}
}
