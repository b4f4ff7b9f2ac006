package assembler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

const (
	// orderTimeout limits the wait for a worker's answer to an order to start or stop a task.
	orderTimeout = 300 * time.Millisecond
	// holdAllowance is added to the time for which a worker may delay its answer to a hold, to
	// allow for the round trip.
	holdAllowance = 800 * time.Millisecond
	// relayWriteTimeout limits the attempts to write relayed outcomes.
	relayWriteTimeout = time.Second
	// closingTimeout limits one attempt to write a closing record: the longest append, and a
	// wait for the one before it.
	closingTimeout = 5 * time.Second
)

// dispatcher executes the control loop's commands. Commands that wait for an answer run in
// goroutines of their own.
type dispatcher struct {
	instance *Instance
	ctx      context.Context
}

// Dispatch implements scheduler.Dispatcher.
func (d dispatcher) Dispatch(c scheduler.Command) {
	inst := d.instance
	switch c := c.(type) {
	case scheduler.EventCmd:
		inst.deps.Reporter.Event(c.Name, c.Fields...)
		inst.meter.events.WithLabelValues(c.Name).Inc()
	case scheduler.EndConfirmedCmd:
		inst.meter.endConfirmation.Observe(float64(c.WaitMS) / 1000)
	case scheduler.ReadCmd:
		inst.ledger.ReadNow()
	case scheduler.StoredCmd:
		inst.storer.deliver(c)
	case scheduler.PollWorkersCmd:
		inst.status.holdsTerm.Store(c.On)
		inst.workerReader.setEnabled(c.On)
	default:
		go d.execute(c)
	}
}

// execute runs one command that waits for an answer, and sends the result to the control loop.
func (d dispatcher) execute(c scheduler.Command) {
	inst := d.instance
	switch c := c.(type) {
	case scheduler.ClaimCmd:
		if delayed(c.SendByWallMS, time.Now()) {
			inst.loop.Send(scheduler.ClaimedMsg{Err: "delayed for too long to be sent"})
			return
		}
		inst.loop.Send(inst.writer.Claim(d.ctx, c))
	case scheduler.ProbeCmd:
		inst.loop.Send(d.probe(c))
	case scheduler.AppendCmd:
		inst.loop.Send(inst.writer.AppendInTerm(d.ctx, c))
	case scheduler.AdviseCmd:
		inst.loop.Send(d.advise(c))
	case scheduler.AskAliveCmd:
		process, err := inst.deps.Peers.Process(d.ctx, c.Address)
		inst.loop.Send(scheduler.AskedAliveMsg{Term: c.Term, Alive: err == nil && process == c.Holder, Err: errorText(err)})
	case scheduler.YieldCmd:
		if err := inst.deps.Peers.Yield(d.ctx, c.Address, c.Term); err != nil {
			inst.deps.Reporter.Event("YieldUnanswered", "Term", c.Term, "To", c.To, "Error", err.Error())
		}
	case scheduler.RelayOutcomesCmd:
		if err := inst.deps.Peers.RelayOutcomes(d.ctx, c.Address, c.Outcomes); err != nil {
			inst.deps.Reporter.Event("RelayUnanswered", "To", c.To, "Error", err.Error())
		}
	case scheduler.AppendClosingCmd:
		ctx, cancel := context.WithTimeout(d.ctx, closingTimeout)
		defer cancel()
		inst.loop.Send(scheduler.ClosingAppendedMsg{Term: c.Term, Err: errorText(inst.writer.Append(ctx, c.Record))})
	case scheduler.WriteOutcomesCmd:
		d.writeOutcomes(c.Outcomes)
	case scheduler.HoldCmd:
		ctx, cancel := context.WithTimeout(d.ctx, time.Duration(c.WaitMS)*time.Millisecond+holdAllowance)
		defer cancel()
		report, result, err := inst.deps.WorkerClient.Hold(ctx, c)
		inst.meter.countOrder("Hold", result)
		inst.loop.Send(scheduler.HeldMsg{OrderID: c.OrderID, Term: c.Term, Worker: c.Worker, Sequence: c.Sequence, Result: result, Report: report, Err: errorText(err)})
	case scheduler.StartCmd:
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		msg := SendStart(ctx, inst.deps.WorkerClient, c, time.Now())
		inst.meter.countOrder("Start", msg.Result)
		inst.loop.Send(msg)
	case scheduler.StopCmd:
		ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
		defer cancel()
		result, err := inst.deps.WorkerClient.Stop(ctx, c)
		inst.meter.countOrder("Stop", result)
		inst.loop.Send(scheduler.StoppedMsg{OrderID: c.OrderID, Term: c.Term, Worker: c.Worker, Task: c.Task, Result: result, Err: errorText(err)})
	}
}

// SendStart sends a start and returns its result. It sends nothing if the process has been
// paused since the start was decided: meanwhile the term may have passed to another
// instance, the job been cancelled or the worker's domain been closed.
func SendStart(ctx context.Context, w WorkerClient, c scheduler.StartCmd, now time.Time) scheduler.StartedMsg {
	msg := scheduler.StartedMsg{OrderID: c.OrderID, Term: c.Term, Worker: c.Worker, Task: c.Task}
	if delayed(c.SendByWallMS, now) {
		msg.Result = scheduler.OrderNotSent
		return msg
	}
	result, err := w.Start(ctx, c)
	msg.Result, msg.Err = result, errorText(err)
	return msg
}

// writeOutcomes appends relayed outcomes together. The holder relays them again if that fails.
func (d dispatcher) writeOutcomes(outcomes []reducer.Record) {
	ctx, cancel := context.WithTimeout(d.ctx, relayWriteTimeout)
	defer cancel()
	var group errgroup.Group
	for _, r := range outcomes {
		group.Go(func() error { return d.instance.writer.Append(ctx, r) })
	}
	if err := group.Wait(); err != nil {
		d.instance.deps.Reporter.Event("RelayedOutcomesNotWritten", "Outcomes", len(outcomes), "Error", err.Error())
	}
}

// delayed reports whether now is after the wall-clock time by which a command must be sent.
// The wall clock goes on while the process is suspended.
func delayed(sendByWallMS int64, now time.Time) bool { return now.UnixMilli() > sendByWallMS }

// adviceTimeout limits one call to the recommendation service, which handles calls one at a
// time.
const adviceTimeout = 4 * time.Second

func (d dispatcher) advise(c scheduler.AdviseCmd) scheduler.AdvisedMsg {
	ctx, cancel := context.WithTimeout(d.ctx, adviceTimeout)
	defer cancel()
	msg := scheduler.AdvisedMsg{Step: c.Step, Workers: c.Workers, AskedMS: d.instance.loop.NowMS()}
	permits, valid, err := d.instance.deps.Adviser.Advise(ctx, c)
	msg.Permits, msg.ValidMS, msg.Err = permits, valid.Milliseconds(), errorText(err)
	return msg
}

// probe measures how long it takes to write this instance's record again. It writes nothing if
// a read is not answered soon: the ledger may be slow for all instances, and an append would
// delay those of the holder.
func (d dispatcher) probe(c scheduler.ProbeCmd) scheduler.ProbedMsg {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	readCtx, cancelRead := context.WithTimeout(ctx, follower.SlowLatency)
	defer cancelRead()
	if err := d.instance.ledger.CheckLatency(readCtx); err != nil {
		return scheduler.ProbedMsg{Term: c.Term, TookMS: time.Since(began).Milliseconds(), Err: "read before the append: " + err.Error()}
	}
	err := d.instance.writer.Append(ctx, d.instance.record())
	// A claim needs a recent table.
	d.instance.ledger.ReadNow()
	return scheduler.ProbedMsg{Term: c.Term, TookMS: time.Since(began).Milliseconds(), Err: errorText(err)}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sharedState is the state of the instance that goroutines outside the control loop read.
type sharedState struct {
	// loaded is set once the ledger has been read.
	loaded atomic.Bool
	// holdsTerm is set while this instance is the holder.
	holdsTerm atomic.Bool
	// shuttingDown is set once the instance has begun to shut down.
	shuttingDown atomic.Bool
	// lowRank is set while several other instances would claim the next term before this one.
	lowRank atomic.Bool
	// seeds holds the peer addresses from the settings, which change when these are reloaded.
	seeds atomic.Pointer[[]string]
	// earlyPeers holds the addresses of more powerful instances, from before this one has
	// loaded the ledger.
	earlyPeers atomic.Pointer[[]string]
}

// workerReader reads the list of workers, but only while this instance holds the term.
type workerReader struct {
	feed follower.Feed[describer.WorkerChange]
	// handler is the model for the handlers that setEnabled creates; it handles no records
	// itself.
	handler *follower.WorkerList
	ctx     context.Context

	mu   sync.Mutex
	stop context.CancelFunc
}

// setEnabled starts or stops the reading. Each start reads the entire list again, with a new
// handler.
func (r *workerReader) setEnabled(on bool) {
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
	handler := &follower.WorkerList{Sink: r.handler.Sink, Reporter: r.handler.Reporter, Start: r.handler.Start}
	go follower.NewReader(r.feed, handler, func() follower.Pace {
		return follower.Pace{Wait: workersWait, Interval: workersInterval}
	}).Run(ctx)
}

// jobTable gives the acceptor read access to the control loop's table of jobs.
type jobTable struct{ instance *Instance }

// Job implements acceptor.Jobs.
func (j jobTable) Job(ctx context.Context, id string) (v acceptor.JobView, ok bool) {
	ok = j.instance.loop.Inspect(ctx, func(m *scheduler.Model) {
		v.AsOf = j.instance.asOf(m)
		if job, known := m.Table.Lookup(id); known {
			v.Known, v.Cancelled, v.State = true, job.Cancelled, job.State()
			v.Workspace, v.Queue, v.Public = job.Job.Workspace, job.Job.Queue, job.Queue.Public
		}
	})
	return v, ok
}

// Pending implements acceptor.Jobs.
func (j jobTable) Pending(ctx context.Context, queue string) (count int, asOf time.Time, ok bool) {
	ok = j.instance.loop.Inspect(ctx, func(m *scheduler.Model) {
		count, asOf = m.Table.PendingByQueue[queue], j.instance.asOf(m)
	})
	return count, asOf, ok
}

// Refresh implements acceptor.Jobs.
func (j jobTable) Refresh() { j.instance.ledger.ReadNow() }

// asOf returns the time up to which the model knows the ledger.
func (inst *Instance) asOf(m *scheduler.Model) time.Time {
	return inst.start.Add(time.Duration(m.TableAsOfMS()) * time.Millisecond)
}
