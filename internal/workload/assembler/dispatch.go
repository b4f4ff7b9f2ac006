package assembler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

const (
	// orderTimeout bounds the answer to a start or a stop.
	orderTimeout = 300 * time.Millisecond
	// holdAllowance is added to the wait of a hold.
	holdAllowance = 800 * time.Millisecond
)

// dispatcher carries out the control loop's commands in goroutines.
type dispatcher struct {
	node *Node
	ctx  context.Context
}

// Dispatch implements scheduler.Dispatcher.
func (d dispatcher) Dispatch(c scheduler.Command) {
	n := d.node
	switch c := c.(type) {
	case scheduler.EventCmd:
		n.ports.Reporter.Event(c.Name, c.Fields...)
		n.meter.events.WithLabelValues(c.Name).Inc()
	case scheduler.ReadCmd:
		n.ledger.ReadNow()
	case scheduler.StoredCmd:
		n.storer.answer(c)
	case scheduler.FollowWorkersCmd:
		n.status.deciding.Store(c.On)
		n.roster.set(c.On)
	default:
		go d.carryOut(c)
	}
}

func (d dispatcher) carryOut(c scheduler.Command) {
	n := d.node
	switch c := c.(type) {
	case scheduler.ClaimCmd:
		n.loop.Send(n.writer.Claim(d.ctx, c))
	case scheduler.AppendCmd:
		n.loop.Send(n.writer.AppendInTerm(d.ctx, c))
	case scheduler.AdviseCmd:
		n.loop.Send(d.advise(c))
	case scheduler.YieldCmd:
		if err := n.ports.Peers.Yield(d.ctx, c.Address, c.Term); err != nil {
			n.ports.Reporter.Event("YieldUnanswered", "Term", c.Term, "To", c.To, "Error", err.Error())
		}
	case scheduler.WitnessCmd:
		err := n.ports.Peers.Witness(d.ctx, c.Address, c.Outcome)
		n.loop.Send(scheduler.WitnessedMsg{Job: c.Job, By: c.To, Err: text(err)})
	case scheduler.SettleCmd:
		for _, r := range c.Outcomes {
			if err := n.writer.Append(d.ctx, r); err != nil {
				n.ports.Reporter.Event("WitnessedOutcomeNotWritten", "Key", r.Key, "Error", err.Error())
			}
		}
	case scheduler.HoldCmd:
		ctx, cancel := context.WithTimeout(d.ctx, time.Duration(c.WaitMS)*time.Millisecond+holdAllowance)
		defer cancel()
		report, result, err := n.ports.Orders.Hold(ctx, c)
		n.meter.order("Hold", result)
		n.loop.Send(scheduler.HeldMsg{Worker: c.Worker, Sequence: c.Sequence, Result: result, Report: report, Err: text(err)})
	case scheduler.StartCmd:
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		result, err := n.ports.Orders.Start(ctx, c)
		n.meter.order("Start", result)
		n.loop.Send(scheduler.StartedMsg{Worker: c.Worker, Task: c.Task, Result: result, Err: text(err)})
	case scheduler.StopCmd:
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		result, err := n.ports.Orders.Stop(ctx, c)
		n.meter.order("Stop", result)
		n.loop.Send(scheduler.StoppedMsg{Worker: c.Worker, Task: c.Task, Result: result, Err: text(err)})
	}
}

// adviceTimeout bounds one call for advice: the service handles calls in turn.
const adviceTimeout = 4 * time.Second

func (d dispatcher) advise(c scheduler.AdviseCmd) scheduler.AdvisedMsg {
	ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
	defer cancel()
	msg := scheduler.AdvisedMsg{Step: c.Step, Workers: c.Workers, AskedMS: d.node.loop.NowMS()}
	permits, valid, err := d.node.ports.Adviser.Advise(ctx, c)
	msg.Permits, msg.ValidMS, msg.Err = permits, valid.Milliseconds(), text(err)
	return msg
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// status is what traffic goroutines know of the instance.
type status struct {
	loaded   atomic.Bool
	deciding atomic.Bool
	leaving  atomic.Bool
	// rear is set while many others would decide before this instance.
	rear  atomic.Bool
	seeds atomic.Pointer[[]string]
}

// rosterSwitch reads the list of workers only while this instance decides.
type rosterSwitch struct {
	feed    follower.Feed[describer.WorkerChange]
	handler *follower.WorkerList
	ctx     context.Context

	mu   sync.Mutex
	stop context.CancelFunc
}

func (r *rosterSwitch) set(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	if !on {
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.stop = cancel
	handler := &follower.WorkerList{Sink: r.handler.Sink, Reporter: r.handler.Reporter}
	go follower.NewReader(r.feed, handler, func() follower.Pace {
		return follower.Pace{Wait: workersWait, Interval: workersInterval}
	}).Run(ctx)
}

// jobs lets the acceptor look into the control loop's table.
type jobs struct{ node *Node }

// Job implements acceptor.Jobs.
func (j jobs) Job(ctx context.Context, id string) (v acceptor.JobView, ok bool) {
	ok = j.node.loop.Inspect(ctx, func(m *scheduler.Model) {
		v.AsOf = j.node.asOf(m)
		if job, known := m.Table.Lookup(id); known {
			v.Known, v.Cancelled, v.State = true, job.Cancelled, m.StateOf(job)
		}
	})
	return v, ok
}

// Pending implements acceptor.Jobs.
func (j jobs) Pending(ctx context.Context, queue string) (count int, asOf time.Time, ok bool) {
	ok = j.node.loop.Inspect(ctx, func(m *scheduler.Model) {
		count, asOf = m.Table.Pending[queue], j.node.asOf(m)
	})
	return count, asOf, ok
}

// Refresh implements acceptor.Jobs.
func (j jobs) Refresh() { j.node.ledger.ReadNow() }

func (n *Node) asOf(m *scheduler.Model) time.Time {
	return n.start.Add(time.Duration(m.FreshMS()) * time.Millisecond)
}

const (
	registerRetry = 500 * time.Millisecond
	watchInterval = 500 * time.Millisecond
)

// register tells the other instances where this one is.
func (n *Node) register(ctx context.Context) {
	record := tabulator.InstanceRecord(tabulator.Instance{Name: n.settings.Instance, Holder: n.holder, Address: n.settings.Peer, Power: n.settings.Power})
	for ctx.Err() == nil {
		err := n.writer.Append(ctx, record)
		if err == nil {
			n.ports.Reporter.Event("InstanceRegistered", "Instance", n.settings.Instance, "Address", n.settings.Peer)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

// watch keeps what traffic goroutines know in step with the control loop.
func (n *Node) watch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchInterval):
		}
		peers := map[string]bool{}
		for _, s := range *n.status.seeds.Load() {
			peers[s] = true
		}
		n.loop.Inspect(ctx, func(m *scheduler.Model) {
			if m.FreshMS() > 0 {
				n.status.loaded.Store(true)
			}
			n.status.rear.Store(m.Rear())
			for _, i := range m.Table.Instances {
				peers[i.Address] = true
			}
		})
		delete(peers, n.settings.Peer)
		addresses := make([]string, 0, len(peers))
		for p := range peers {
			addresses = append(addresses, p)
		}
		n.ports.Peers.SetPeers(addresses)
	}
}
