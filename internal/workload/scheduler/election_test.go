package scheduler_test

import (
	"fmt"
	"slices"
	"testing"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

const (
	// holderSilenceMS is the silence after which a holder counts as lost.
	holderSilenceMS = 1500
	// electionTargetMS is the time from then on within which another instance must decide.
	electionTargetMS = 1000
)

// largeFleetPowers are the CPU shares of a large fleet's instances, in thousandths.
var largeFleetPowers = []int{192, 400, 800, 192, 600}

// newElection returns a simulation of many unequal instances which all append records
// without pause, as callers' submissions and restarts make them do.
func newElection(t *testing.T, seed uint64, instances int) (sim *simulation, taken *int) {
	sim = newSimulation(t, seed, instances)
	for n, i := range sim.instances {
		i.power = largeFleetPowers[n%len(largeFleetPowers)]
	}
	sim.addWorkers(2, 6)
	taken = new(int)
	sim.trace = func(_ string, e scheduler.EventCmd) {
		if e.Name == "TermTaken" {
			*taken++
		}
	}
	n := 0
	var appendForever func()
	appendForever = func() {
		n++
		i := sim.instances[n%instances]
		if !sim.ledger.down && i.alive {
			sim.ledger.records = append(sim.ledger.records, reducer.InstanceRecord(reducer.Instance{Name: i.name, Holder: fmt.Sprintf("%s/%d", i.name, i.incarnation), Power: i.power}))
		}
		sim.after(5, appendForever)
	}
	sim.startAll()
	sim.after(0, appendForever)
	return sim, taken
}

// runUntilDecided runs until an instance decides, and returns how long that took.
func (sim *simulation) runUntilDecided(limitMS int64) (tookMS int64) {
	for tookMS < limitMS && sim.holder() == nil {
		sim.run(sim.nowMS + 10)
		tookMS += 10
	}
	return tookMS
}

// TestElectionAmongAppendingInstances kills the holder three times while all others go on
// appending. One of the most powerful instances must decide within the target each time,
// and no other one may take the term.
func TestElectionAmongAppendingInstances(t *testing.T) {
	for _, n := range []int{36, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			sim, taken := newElection(t, 1, n)
			sim.run(4000)
			for kill := 1; kill <= 3; kill++ {
				old := sim.holder()
				if old == nil {
					t.Fatal("there is no holder")
				}
				old.kill()
				if took := sim.runUntilDecided(10_000); took > holderSilenceMS+electionTargetMS {
					t.Errorf("kill %d: without a holder for %d ms, the target is %d ms after %d ms of silence", kill, took, electionTargetMS, holderSilenceMS)
				}
				if h := sim.holder(); h == nil || h.power != 800 {
					t.Fatalf("kill %d: the holder is %+v, want one of the most powerful instances", kill, h)
				}
				sim.run(sim.nowMS + 3000)
				if *taken != kill+1 {
					t.Fatalf("kill %d: the term was taken %d times, want %d", kill, *taken, kill+1)
				}
			}
		})
	}
}

// TestFirstElectionWaitsForThePowerful starts all instances within 0.3 s, the least
// powerful first. One of the most powerful must get the first term.
func TestFirstElectionWaitsForThePowerful(t *testing.T) {
	sim := newSimulation(t, 1, 30)
	for n, i := range sim.instances {
		i.power = []int{192, 400, 800}[n/10]
		sim.after(int64(n*10), i.start)
	}
	if took := sim.runUntilDecided(5000); took > 2000 {
		t.Errorf("no holder %d ms after the first start", took)
	}
	if h := sim.holder(); h == nil || h.power != 800 {
		t.Errorf("the holder is %+v, want one of the most powerful instances", h)
	}
}

// TestYieldAfterRecentChanges replaces the holder twice and then has the ledger refuse the
// third one. Recent changes must not delay its request to take over.
func TestYieldAfterRecentChanges(t *testing.T) {
	sim := newSimulation(t, 1, 6)
	sim.addWorkers(2, 3)
	sim.startAll()
	for range 2 {
		sim.run(sim.nowMS + 3000)
		sim.holder().kill()
	}
	sim.run(sim.nowMS + 3000)
	refused := sim.holder()
	refused.ledgerUnreachable = true
	sim.run(sim.nowMS + maxYieldMS)
	if !slices.ContainsFunc(sim.instances, func(i *instance) bool { return i != refused && i.alive && i.model.Deciding() }) {
		t.Errorf("no other instance has taken over after %d ms", maxYieldMS)
	}
}

// TestSlowLedgerKeepsTheHolder makes each append take 700 ms, whoever sends it. Another
// holder would be no faster, so the term must not change.
func TestSlowLedgerKeepsTheHolder(t *testing.T) {
	sim, taken := newElection(t, 1, 36)
	sim.run(4000)
	sim.ledger.slowMS = 700
	sim.run(12_000)
	if *taken != 1 {
		t.Errorf("the term was taken %d times, want once", *taken)
	}
}

// restartTargetMS is the time within which an instance must decide again after the
// processes of the holder, or all processes, have been restarted.
const restartTargetMS = 700

// TestRestartedHolderIsNotWaitedFor kills processes and starts them again 300 ms later: the
// holder's, all, and all after a weak instance has held the term. The new process tells
// that the old one has ended, so nobody may wait for the holder's silence, and one of the
// most powerful instances must decide.
func TestRestartedHolderIsNotWaitedFor(t *testing.T) {
	for _, c := range []struct {
		name string
		all  bool
		weak bool
	}{
		{"the holder", false, false},
		{"all", true, false},
		{"all, with a weak holder", true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, _ := newElection(t, 1, 30)
			sim.run(4000)
			holder := sim.holder()
			if c.weak {
				weak := sim.instances[0]
				sim.ledger.claim(scheduler.ClaimCmd{Term: reducer.Term{Number: 2, Holder: fmt.Sprintf("%s/%d", weak.name, weak.incarnation)}})
				sim.run(4500)
				if holder = sim.holder(); holder != weak {
					t.Fatalf("%s holds the term, want %s", holder.name, weak.name)
				}
			}
			restarted := []*instance{holder}
			if c.all {
				restarted = sim.instances
			}
			for _, i := range restarted {
				i.kill()
				sim.after(300, i.start)
			}
			sim.run(sim.nowMS + 300)
			if took := sim.runUntilDecided(5000); took > restartTargetMS {
				t.Errorf("without a holder for %d ms after the restart, the target is %d ms", took, restartTargetMS)
			}
			if h := sim.holder(); h == nil || h.power != 800 {
				t.Errorf("the holder is %+v, want one of the most powerful instances", h)
			}
		})
	}
}

// TestPowerfulInstanceDecidesAfterAnOutage cuts all instances off the ledger for several
// seconds, so that the holder asks one instance after the other to take over. Once the
// ledger answers again, an instance with at least half of the highest power must decide.
func TestPowerfulInstanceDecidesAfterAnOutage(t *testing.T) {
	sim, _ := newElection(t, 1, 30)
	sim.run(4000)
	for outageMS := int64(3000); outageMS < 5000; outageMS += 170 {
		sim.ledger.down = true
		sim.run(sim.nowMS + outageMS)
		sim.ledger.down = false
		sim.run(sim.nowMS + 1500)
		if h := sim.holder(); h == nil || h.power < 400 {
			t.Fatalf("after an outage of %d ms, the holder is %+v, want a powerful instance", outageMS, h)
		}
	}
}

// TestWeakHolderHandsOver gives the term to the weakest instance. A powerful one must take
// over although the weak one lacks nothing but power.
func TestWeakHolderHandsOver(t *testing.T) {
	sim, taken := newElection(t, 1, 30)
	sim.run(4000)
	weak := sim.instances[0]
	sim.ledger.claim(scheduler.ClaimCmd{Term: reducer.Term{Number: 2, Holder: fmt.Sprintf("%s/%d", weak.name, weak.incarnation)}})
	sim.run(8000)
	if h := sim.holder(); h == nil || h.power != 800 {
		t.Errorf("the holder is %+v, want one of the most powerful instances", h)
	}
	if *taken != 3 {
		t.Errorf("the term was taken %d times, want 3: first, by the weak one, and from it", *taken)
	}
}

// TestLostHolderIsReplacedSoon kills or freezes the holder for good. It neither writes nor
// answers, so another instance must decide well before the time after which a holder that is
// only silent is replaced.
func TestLostHolderIsReplacedSoon(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*instance)
	}{
		{"killed", func(i *instance) { i.kill() }},
		{"frozen", func(i *instance) { i.frozen = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim, _ := newElection(t, 1, 30)
			sim.run(4000)
			lost := sim.holder()
			c.lose(lost)
			lostMS := sim.nowMS
			for sim.nowMS < lostMS+5000 && !slices.ContainsFunc(sim.instances, func(i *instance) bool { return i != lost && i.alive && i.model.Deciding() }) {
				sim.run(sim.nowMS + 10)
			}
			if took := sim.nowMS - lostMS; took > lostHolderTargetMS {
				t.Errorf("no other instance decides after %d ms, the target is %d ms", took, lostHolderTargetMS)
			}
		})
	}
}

// lostHolderTargetMS is the time in which a holder that is lost must be replaced: 0.6 s of
// silence, 0.25 s without an answer, and the reads, ticks and claim around them.
const lostHolderTargetMS = 1200

// TestBusyHolderIsNotReplaced makes each append take so long that the holder is silent for
// longer than it takes to be suspected. It answers, so it must keep the term.
func TestBusyHolderIsNotReplaced(t *testing.T) {
	sim, taken := newElection(t, 1, 30)
	sim.run(4000)
	for ms := int64(600); ms <= 1000; ms += 100 {
		sim.ledger.slowMS = ms
		sim.run(sim.nowMS + 5000)
	}
	if *taken != 1 {
		t.Errorf("the term was taken %d times, want once", *taken)
	}
}

// TestOutageForAllKeepsTheHolder cuts all instances off the ledger for several seconds. The
// holder asks others to take over meanwhile, but it can go on as soon as they can, so the
// term must not change.
func TestOutageForAllKeepsTheHolder(t *testing.T) {
	sim, taken := newElection(t, 1, 30)
	sim.run(4000)
	for outageMS := int64(2000); outageMS < 5000; outageMS += 170 {
		sim.ledger.down = true
		sim.run(sim.nowMS + outageMS)
		sim.ledger.down = false
		sim.run(sim.nowMS + 2000)
	}
	if *taken != 1 {
		t.Errorf("the term was taken %d times, want once", *taken)
	}
}
