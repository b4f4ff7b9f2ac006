package decider_test

import (
	"testing"
	"testing/synctest"
	"time"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/standin/logkeeper"
	"daisyhead/internal/standin/observer"
	"daisyhead/internal/standin/taskrunner"
)

// gang returns a job of two tasks that each fill a worker, placed within a rack.
func gang(name, workspace, payload string) specifier.Job {
	return specifier.Job{
		Name: name, Workspace: workspace, Tasks: 2, Processors: 64, MemoryMB: 64000, Accelerators: 8,
		Within: specifier.WithinRack, RunTime: specifier.Duration(5 * time.Second), Payload: payload,
	}
}

// single returns a job of one task that fills a worker.
func single(name, workspace, payload string) specifier.Job {
	j := gang(name, workspace, payload)
	j.Tasks = 1
	return j
}

// faultCase runs against three instances after the workers' ticket is accepted.
type faultCase struct {
	name string
	log  logkeeper.Config
	// leaseMS and renewMS override the testbed's defaults if set.
	leaseMS, renewMS int64
	run              func(b *testbed)
}

var faultCases = []faultCase{
	{name: "holder killed while a gang runs", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=10s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		b.holder().kill()
		b.awaitStatus(id, 30*time.Second, reducer.JobFinished)
		if n := b.startsOf(id); n != 1 {
			b.t.Errorf("started %d times, want 1: the new holder must take over the running gang", n)
		}
	}},
	{name: "holder killed right after submission", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=2s"))
		b.holder().kill()
		b.awaitStatus(id, 30*time.Second, reducer.JobFinished)
	}},
	{name: "holder paused for longer than every lease, then resumed", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=20s"))
		late := single("late", "b", "run=2s")
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		h := b.holder()
		h.freeze(15 * time.Second)
		b.await("another holder", 10*time.Second, func() bool { n := b.holder(); return n != nil && n != h })
		other := b.submit(late)
		b.awaitStatus(other, 20*time.Second, reducer.JobFinished)
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
		time.Sleep(10 * time.Second)
	}},
	{name: "log down for longer than every lease", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=30s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		b.log.SetFaults(logkeeper.Faults{Down: true})
		time.Sleep(25 * time.Second)
		b.log.SetFaults(logkeeper.Faults{})
		b.awaitStatus(id, 30*time.Second, reducer.JobFinished)
		if n := b.startsOf(id); n != 1 {
			b.t.Errorf("started %d times, want 1: running tasks must continue while the log is down", n)
		}
	}},
	{name: "answers of appends lost and records doubled", run: func(b *testbed) {
		b.log.SetFaults(logkeeper.Faults{LoseAnswers: 30, Duplicate: 30})
		var ids []string
		for _, name := range []string{"g1", "g2", "g3"} {
			j := gang(name, "a", "run=2s")
			j.NonIdempotent = true
			ids = append(ids, b.submit(j))
		}
		for _, id := range ids {
			b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
		}
	}},
	{name: "holder cut off from the log and its peers but not from workers", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=40s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		h := b.holder()
		for _, i := range b.live() {
			b.net.setCut(true, [2]string{h.name, i.name})
		}
		b.net.setCut(true, [2]string{h.name, logAddress})
		b.await("another holder", 10*time.Second, func() bool {
			for _, i := range b.live() {
				if i != h && i.View().IsHolder {
					return true
				}
			}
			return false
		})
		time.Sleep(15 * time.Second)
		b.net.setCut(false, [2]string{h.name, logAddress})
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
		if n := b.startsOf(id); n != 1 {
			b.t.Errorf("started %d times, want 1", n)
		}
	}},
	{name: "peers unreachable while all read the log: two claim, one decides", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=15s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		for _, i := range b.live() {
			for _, o := range b.live() {
				b.net.setCut(true, [2]string{i.name, o.name})
			}
		}
		for range 3 {
			b.submit(single("s", "b", "run=1s"))
			time.Sleep(4 * time.Second)
		}
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
	}},
	{name: "a worker of a running gang goes silent, then returns", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=20s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		w := b.workerOf(id)
		b.workers[w].SetFaults(taskrunner.Faults{Silent: true})
		b.await("a second attempt", 40*time.Second, func() bool { return b.job(id).AttemptCount > 1 })
		b.workers[w].SetFaults(taskrunner.Faults{})
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
	}},
	{name: "a silent worker makes a non-idempotent job unknown, never not run", run: func(b *testbed) {
		j := single("booking", "b", "run=20s")
		j.NonIdempotent = true
		id := b.submit(j)
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		w := b.workerOf(id)
		b.workers[w].SetFaults(taskrunner.Faults{Silent: true})
		b.awaitStatus(id, 60*time.Second, reducer.JobUnknown)
		if o := b.job(id).Outcome; o != encoder.OutcomeUnknown {
			b.t.Errorf("outcome %s, want Unknown", o)
		}
	}},
	{name: "a worker restarts under a gang", run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=10s"))
		b.awaitStatus(id, 5*time.Second, reducer.JobRunning)
		b.workers[b.workerOf(id)].Reboot()
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
		if n := b.job(id).AttemptCount; n != 2 {
			b.t.Errorf("%d attempts, want 2", n)
		}
	}},
	{name: "starts that are late are rejected by the worker", run: func(b *testbed) {
		b.net.setDelay("/v1/start", 2500*time.Millisecond)
		j := gang("g", "a", "run=2s")
		j.NonIdempotent = true
		id := b.submit(j)
		time.Sleep(12 * time.Second)
		if n := b.startsOf(id); n != 0 {
			b.t.Errorf("started %d times, want 0: every start request arrived after its deadline", n)
		}
		b.net.setDelay("/v1/start", 0)
		b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
	}},
	{name: "no start in a domain that was taken out", run: func(b *testbed) {
		for n := range 6 {
			b.submit(single("s"+string(rune('0'+n)), "b", "run=3s"))
		}
		out := specifier.Ticket{Number: 2, Operator: "op", Domains: []specifier.Domain{{Name: "d0", Region: "r", State: specifier.DomainOut}}}
		b.net.setDelay("/v1/start", 1500*time.Millisecond)
		b.publish(out)
		b.await("the ticket is accepted", 5*time.Second, func() bool { return b.accepted(2) })
		b.outages = append(b.outages, observer.Outage{Domain: "d0", From: time.Now()})
		for n := range 6 {
			b.submit(single("t"+string(rune('0'+n)), "b", "run=3s"))
		}
		time.Sleep(20 * time.Second)
	}},
	{name: "a fresh instance starts from a snapshot after records expired", log: logkeeper.Config{MaxRecords: 60}, run: func(b *testbed) {
		for n := range 12 {
			b.awaitStatus(b.submit(single("s"+string(rune('a'+n)), "b", "run=1s")), 10*time.Second, reducer.JobFinished)
		}
		time.Sleep(6 * time.Second)
		fresh := b.startInstance("i4")
		b.await("the fresh instance has loaded the ticket", 10*time.Second, func() (ok bool) {
			fresh.inspect(func(s *reducer.State) { _, ok = s.Tickets[1] })
			return ok
		})
	}},
	{name: "many cancellations race with starts", run: func(b *testbed) {
		var ids []string
		for n := range 12 {
			ids = append(ids, b.submit(single("s"+string(rune('a'+n)), "b", "run=30s")))
		}
		for _, id := range ids {
			b.cancelJob(id)
		}
		for _, id := range ids {
			b.awaitStatus(id, 30*time.Second, reducer.JobCancelled)
			j := b.job(id)
			if ran := b.startsOf(id) > 0; ran && j.Outcome == encoder.OutcomeNotRun {
				b.t.Errorf("job %s has outcome NotRun but was started", id)
			}
		}
	}},
	{name: "a worker that fails everything is quarantined and jobs finish elsewhere", run: func(b *testbed) {
		b.workers["d0-r0-w0"].SetFaults(taskrunner.Faults{FailAll: true})
		var ids []string
		for n := range 10 {
			ids = append(ids, b.submit(single("s"+string(rune('a'+n)), "b", "run=1s")))
		}
		for _, id := range ids {
			b.awaitStatus(id, 60*time.Second, reducer.JobFinished)
		}
	}},
	{name: "the renewal interval equals the first lease", leaseMS: 20000, renewMS: 4000, run: func(b *testbed) {
		id := b.submit(gang("g", "a", "run=15s"))
		b.awaitStatus(id, 25*time.Second, reducer.JobFinished)
		if n := b.startsOf(id); n != 1 {
			b.t.Errorf("started %d times, want 1", n)
		}
	}},
	{name: "a guarantee is reclaimed from borrowers", run: func(b *testbed) {
		for n := range 8 {
			j := single("borrow"+string(rune('0'+n)), "b", "run=60s")
			j.Checkpointable = true
			b.submit(j)
		}
		time.Sleep(3 * time.Second)
		claim := b.submit(gang("claim", "a", "run=2s"))
		b.awaitStatus(claim, 5*time.Second, reducer.JobRunning)
		b.awaitStatus(claim, 10*time.Second, reducer.JobFinished)
	}},
}

// TestFaults injects faults and checks that jobs reach the expected status and that
// the workers never violate an invariant.
func TestFaults(t *testing.T) {
	for _, c := range faultCases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestbed(t, 1, c.log)
				if c.leaseMS > 0 {
					b.leaseMS, b.renewMS = c.leaseMS, c.renewMS
				}
				for _, name := range []string{"i1", "i2", "i3"} {
					b.startInstance(name)
				}
				b.publishAndAwait(b.startWorkers())
				time.Sleep(time.Second)
				c.run(b)
				b.checkInvariants()
			})
		})
	}
}
