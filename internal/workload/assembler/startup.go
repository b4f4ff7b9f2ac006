package assembler

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

const (
	// smallPower is the CPU share, in thousandths of a core, below which an instance waits
	// for smallDelay before its first call to the ledger: the time in which powerful ones load
	// it. A large fleet mostly consists of such instances.
	smallPower = 300
	smallDelay = 300 * time.Millisecond
	// minLedgerDelay and maxLedgerDelay limit for how long an instance lets
	// more powerful ones use the ledger first. After a loss of power all instances register
	// and load the ledger at once; it handles their appends one at a time, and those that
	// can decide should not wait for the rest.
	minLedgerDelay = 400 * time.Millisecond
	maxLedgerDelay = 1700 * time.Millisecond
	// findPeersTimeout limits the wait for the records of the instances.
	findPeersTimeout = 500 * time.Millisecond
)

// useLedger registers this instance and reads the ledger until ctx ends. If there are
// instances with at least twice its power, they go first and answer its callers meanwhile.
func (inst *Instance) useLedger(ctx context.Context) {
	if inst.settings.Power < smallPower {
		pause(ctx, smallDelay)
	}
	if peers := inst.findPowerfulPeers(ctx); len(peers) > 0 {
		inst.status.earlyPeers.Store(&peers)
		inst.deps.Peers.SetPeers(slices.Concat(*inst.status.seeds.Load(), peers))
		pause(ctx, LedgerDelay())
	}
	var group sync.WaitGroup
	group.Go(func() { inst.registerInstance(ctx) })
	inst.ledger.Run(ctx)
	group.Wait()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// LedgerDelay returns a random delay, so that the instances that wait don't all go on at
// once.
func LedgerDelay() time.Duration { return minLedgerDelay + rand.N(maxLedgerDelay-minLedgerDelay) }

// findPowerfulPeers looks up the addresses of the instances with at least twice the power
// of this one. It returns none if the ledger does not answer.
func (inst *Instance) findPowerfulPeers(ctx context.Context) (addresses []string) {
	records, err := inst.deps.Ledger.ReadPrefix(ctx, reducer.InstancePrefix, findPeersTimeout)
	if err != nil {
		inst.deps.Reporter.Event("InstancesUnreadable", "Error", err.Error())
		return nil
	}
	return PowerfulPeers(reducer.Instances(records), inst.settings.Power)
}

// PowerfulPeers returns the addresses of the instances with at least twice the given power.
func PowerfulPeers(instances []reducer.Instance, power int) (addresses []string) {
	for _, i := range instances {
		if i.Power >= 2*power {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses
}

// registerRetryPause is the pause before a failed registration is retried.
const registerRetryPause = 500 * time.Millisecond

// record returns the record by which the other instances know this one.
func (inst *Instance) record() reducer.Record {
	return reducer.InstanceRecord(reducer.Instance{Name: inst.settings.Instance, Holder: inst.holder, Address: inst.settings.Peer, Power: inst.settings.Power})
}

// registerInstance records this instance's address in the ledger, where the other instances
// find it. It retries until the record is written.
func (inst *Instance) registerInstance(ctx context.Context) {
	record := inst.record()
	for ctx.Err() == nil {
		err := inst.writer.Append(ctx, record)
		if err == nil {
			inst.deps.Reporter.Event("InstanceRegistered", "Instance", inst.settings.Instance, "Address", inst.settings.Peer)
			inst.ledger.ReadNow()
			return
		}
		pause(ctx, registerRetryPause)
	}
}

// watchInterval is how often watchControlLoop copies the control loop's state.
const watchInterval = 500 * time.Millisecond

// watchControlLoop regularly copies the state of the control loop that other goroutines need to
// inst.status, and updates the list of peers.
func (inst *Instance) watchControlLoop(ctx context.Context) {
	for {
		pause(ctx, watchInterval)
		if ctx.Err() != nil {
			return
		}
		peers := map[string]bool{}
		for _, s := range *inst.status.seeds.Load() {
			peers[s] = true
		}
		inst.loop.Inspect(ctx, func(m *scheduler.Model) {
			if m.TableAsOfMS() > 0 {
				inst.status.loaded.Store(true)
			}
			inst.status.lowRank.Store(m.LowRank())
			inst.meter.setOrderStats(m.OrderStats())
			inst.meter.setWorkspaceUses(m.WorkspaceUses())
			inst.meter.setQueueStats(m.QueueStats())
			inst.meter.setBackfillStats(m.BackfillStats())
			inst.meter.endsUnconfirmed.Set(float64(m.UnconfirmedEnds()))
			for _, registered := range m.Table.Instances {
				peers[registered.Address] = true
			}
		})
		if early := inst.status.earlyPeers.Load(); early != nil && !inst.status.loaded.Load() {
			for _, p := range *early {
				peers[p] = true
			}
		}
		delete(peers, inst.settings.Peer)
		inst.deps.Peers.SetPeers(slices.Sorted(maps.Keys(peers)))
	}
}
