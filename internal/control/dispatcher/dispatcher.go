// Package dispatcher executes the commands of the control loop and sends their
// results back as messages. Commands that do I/O run in a goroutine of their own.
//
//	d := &dispatcher.Dispatcher{Recorder: recorder, Workers: client, …}
//	loop := decider.NewLoop(model, d, start, tick)
//	d.SetSink(ctx, loop.Send)
package dispatcher

import (
	"context"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// Time limits of the commands.
const (
	ProposeTimeout = 15 * time.Second
	// WorkerRequestTimeout limits a request to a worker. An exchange gets its WaitMS
	// on top.
	WorkerRequestTimeout = 2 * time.Second
	SnapshotTimeout      = 2 * time.Minute
)

// Recorder appends entries to the ledger.
type Recorder interface {
	// Propose appends the entries and returns their results once they are applied.
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
	// DeliverResults hands over the results of an applied batch, which Propose awaits.
	DeliverResults(sequence uint64, results []reducer.Result)
}

// WorkerClient sends requests to workers.
type WorkerClient interface {
	Exchange(ctx context.Context, address string, r runner.ExchangeRequest) (runner.ExchangeReply, error)
	Reserve(ctx context.Context, address string, r runner.ReserveRequest) (runner.Reply, error)
	Start(ctx context.Context, address string, r runner.StartRequest) (runner.Reply, error)
	Stop(ctx context.Context, address string, r runner.StopRequest) (runner.Reply, error)
}

// SnapshotStore stores snapshots of the control state.
type SnapshotStore interface {
	Write(ctx context.Context, next uint64, data []byte) (hash uint64, err error)
	// Confirm records that another instance's state matches the snapshot.
	Confirm(ctx context.Context, next, hash uint64) error
}

// Publisher makes a new view available to the goroutines that route requests.
type Publisher interface {
	Publish(*decider.View)
}

// AlarmReporter reports conditions that an operator should know about.
type AlarmReporter interface {
	RaiseAlarm(name, detail string)
}

// Dispatcher executes the commands that decider.Model.Update returns.
type Dispatcher struct {
	Recorder  Recorder
	Workers   WorkerClient
	Snapshots SnapshotStore
	Publisher Publisher
	Alarms    AlarmReporter
	// ClockStart is the time from which monotonic milliseconds are counted.
	ClockStart time.Time

	ctx  context.Context
	send func(decider.Msg) bool
}

// SetSink sets the function that receives the results, and the context of all
// commands. It must be called before Dispatch.
func (d *Dispatcher) SetSink(ctx context.Context, send func(decider.Msg) bool) {
	d.ctx, d.send = ctx, send
}

// Dispatch starts executing a command and does not wait for its result.
func (d *Dispatcher) Dispatch(c decider.Command) {
	switch c := c.(type) {
	case decider.ResolveCmd:
		d.Recorder.DeliverResults(c.Sequence, c.Results)
	case decider.PublishCmd:
		d.Publisher.Publish(c.View)
	case decider.AlarmCmd:
		d.Alarms.RaiseAlarm(c.Name, c.Detail)
	case decider.ProposeCmd:
		go d.propose(c)
	case decider.ExchangeCmd:
		go d.exchange(c)
	case decider.ReserveCmd:
		go d.reserve(c)
	case decider.StartCmd:
		go d.startTasks(c)
	case decider.StopCmd:
		go d.stopTasks(c)
	case decider.WriteSnapshotCmd:
		go d.writeSnapshot(c)
	case decider.ConfirmSnapshotCmd:
		go d.confirmSnapshot(c)
	}
}

func (d *Dispatcher) propose(c decider.ProposeCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, ProposeTimeout)
	defer cancel()
	results, err := d.Recorder.Propose(ctx, c.Entries...)
	d.send(decider.ProposedMsg{Keys: c.Keys, Results: results, Err: errorText(err)})
}

func (d *Dispatcher) exchange(c decider.ExchangeCmd) {
	wait := time.Duration(c.Request.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(d.ctx, wait+WorkerRequestTimeout)
	defer cancel()
	reply, err := d.Workers.Exchange(ctx, c.Address, c.Request)
	d.send(decider.ExchangedMsg{Worker: c.Worker, Reply: reply, Err: errorText(err)})
}

func (d *Dispatcher) reserve(c decider.ReserveCmd) {
	msg := decider.ReservedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt}
	msg.Reply, msg.Err = d.sendWhileValid(c.ValidMS, func(ctx context.Context) (runner.Reply, error) {
		return d.Workers.Reserve(ctx, c.Address, c.Request)
	})
	d.send(msg)
}

func (d *Dispatcher) startTasks(c decider.StartCmd) {
	msg := decider.StartedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt}
	msg.Reply, msg.Err = d.sendWhileValid(c.ValidMS, func(ctx context.Context) (runner.Reply, error) {
		return d.Workers.Start(ctx, c.Address, c.Request)
	})
	d.send(msg)
}

// sendWhileValid sends a request only until validMS, monotonic time, when the state
// that it was decided on becomes stale. A process that resumes after a pause thus
// sends no outdated request.
func (d *Dispatcher) sendWhileValid(validMS int64, send func(context.Context) (runner.Reply, error)) (runner.Reply, string) {
	remaining := time.Duration(validMS)*time.Millisecond - time.Since(d.ClockStart)
	if remaining <= 0 {
		return runner.Reply{}, "not sent: the control state is too old"
	}
	ctx, cancel := context.WithTimeout(d.ctx, min(remaining, WorkerRequestTimeout))
	defer cancel()
	reply, err := send(ctx)
	return reply, errorText(err)
}

func (d *Dispatcher) stopTasks(c decider.StopCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, WorkerRequestTimeout)
	defer cancel()
	reply, err := d.Workers.Stop(ctx, c.Address, c.Request)
	d.send(decider.StoppedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt, Reply: reply, Err: errorText(err)})
}

func (d *Dispatcher) writeSnapshot(c decider.WriteSnapshotCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, SnapshotTimeout)
	defer cancel()
	hash, err := d.Snapshots.Write(ctx, c.Next, c.Data)
	d.send(decider.SnapshotWrittenMsg{Next: c.Next, Hash: hash, Err: errorText(err)})
}

// confirmSnapshot sends no message: a failure only raises an alarm, since the control
// loop does not depend on the result.
func (d *Dispatcher) confirmSnapshot(c decider.ConfirmSnapshotCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, SnapshotTimeout)
	defer cancel()
	if err := d.Snapshots.Confirm(ctx, c.Next, c.Hash); err != nil {
		d.Alarms.RaiseAlarm("SnapshotUnconfirmed", err.Error())
	}
}

// errorText returns the text of the error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
