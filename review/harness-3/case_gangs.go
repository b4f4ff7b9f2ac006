package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The disruptions of the case. One of gangMinions minions crashes each gangCrashEvery and is back
// after gangDown. A share gangLate of the orders that are sent in the first gangLateFor of each
// gangLateEvery gets no answer and is carried out lateLeast to lateMost later.
const (
	gangMinions    = 12
	gangCrashEvery = 1500 * time.Millisecond
	gangDown       = time.Second
	gangLate       = 0.5
	gangLateFor    = 5 * time.Second
	gangLateEvery  = 6 * time.Second
	lateLeast      = 2 * time.Second
	lateMost       = 12 * time.Second
	gangSpan       = 80 * time.Second
	gangEvery      = 150 * time.Millisecond
	gangMembers    = 3
)

// playGangs runs gangs while orders are carried out late and minions crash, and checks that no end
// is taken note of after its gang was started again.
func playGangs(p *play) {
	p.begin(gangMinions, 3, 4, func(int) string { return "a" })
	draw := rand.New(rand.NewPCG(1, 1))
	begun := time.Now()
	p.fleet.mu.Lock()
	p.fleet.onSeen = func(m *minion, e *end) {
		p.fleet.log.line("the end of run %s/%d on %s (%s) is taken note of", e.task, e.run, m.id, e.how)
		if e.how == "done" && e.startedAgain && !e.lapsed {
			p.log.violation("TWICE: the end %s/%d on %s is taken note of, and its gang was started again after it", e.task, e.run, m.id)
		}
	}
	if p.trouble {
		p.fleet.late = func(m *minion, path string, c call) (time.Duration, bool) {
			if path == "/-/hold" || time.Since(begun)%gangLateEvery > gangLateFor || draw.Float64() > gangLate {
				return 0, false
			}
			after := lateLeast + time.Duration(draw.Int64N(int64(lateMost-lateLeast)))
			p.fleet.log.line("%s of %s/%d at %s gets no answer and is carried out in %.3f s", path, c.Task, c.Run, m.id, after.Seconds())
			return after, true
		}
	}
	p.fleet.mu.Unlock()
	nextJob, nextCrash := begun, begun.Add(gangCrashEvery)
	for job := 0; time.Since(begun) < gangSpan; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(nextJob) {
			nextJob = nextJob.Add(gangEvery)
			job++
			if !p.client.submit(fmt.Sprintf("00000000000e%03x1", job), work{MS: 700, Gang: gangMembers, Name: "gang"}, map[string]any{"count": gangMembers, "cpu": 1000, "mem_mb": 1000, "gpu": 1, "estimate_ms": 700, "gang": true, "anti_affinity": 1}) {
				fatal(errNotAccepted)
			}
		}
		if p.trouble && time.Now().After(nextCrash) {
			nextCrash = nextCrash.Add(gangCrashEvery)
			p.fleet.mu.Lock()
			if m := p.fleet.minions[draw.IntN(gangMinions)]; m.up {
				m.crash("disruption")
				time.AfterFunc(gangDown, m.comeBack)
			}
			p.fleet.mu.Unlock()
		}
		p.fleet.mu.Lock()
		broken := len(p.log.broken) > 0
		p.fleet.mu.Unlock()
		if broken {
			return
		}
	}
}
