// Package dispatcher carries out the commands of the control loop, each in a
// goroutine of its own, and sends the results back as messages.
//
//	d := &dispatcher.Dispatcher{Recorder: recorder, Workers: client, …}
//	loop := decider.NewLoop(model, d, start, tick)
//	d.Attach(ctx, loop.Send)
package dispatcher

import (
	"context"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// Time limits of the effects.
const (
	ProposeTimeout  = 15 * time.Second
	MessageTimeout  = 2 * time.Second
	SnapshotTimeout = 2 * time.Minute
)

// Recorder appends entries to the ledger.
type Recorder interface {
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
	Resolve(sequence uint64, results []reducer.Result)
}

// Workers sends requests to workers.
type Workers interface {
	Exchange(ctx context.Context, address string, r runner.ExchangeRequest) (runner.ExchangeReply, error)
	Reserve(ctx context.Context, address string, r runner.ReserveRequest) (runner.Reply, error)
	Start(ctx context.Context, address string, r runner.StartRequest) (runner.Reply, error)
	Stop(ctx context.Context, address string, r runner.StopRequest) (runner.Reply, error)
}

// Snapshots writes the folded state.
type Snapshots interface {
	Write(ctx context.Context, next uint64, data []byte) (hash uint64, err error)
	// Confirm marks a snapshot as checked by another instance.
	Confirm(ctx context.Context, next, hash uint64) error
}

// Publisher takes new views for traffic goroutines.
type Publisher interface {
	Publish(*decider.View)
}

// Alarms takes conditions that an operator should know of.
type Alarms interface {
	Alarm(name, detail string)
}

// Dispatcher carries out commands.
type Dispatcher struct {
	Recorder  Recorder
	Workers   Workers
	Snapshots Snapshots
	Publisher Publisher
	Alarms    Alarms
	// Start is the zero of monotonic times.
	Start time.Time

	ctx  context.Context
	send func(decider.Msg) bool
}

// Attach sets where results go. It must be called before Dispatch.
func (d *Dispatcher) Attach(ctx context.Context, send func(decider.Msg) bool) {
	d.ctx, d.send = ctx, send
}

// Dispatch starts the effect of a command and returns at once.
func (d *Dispatcher) Dispatch(c decider.Command) {
	switch c := c.(type) {
	case decider.ResolveCmd:
		d.Recorder.Resolve(c.Sequence, c.Results)
	case decider.PublishCmd:
		d.Publisher.Publish(c.View)
	case decider.AlarmCmd:
		d.Alarms.Alarm(c.Name, c.Detail)
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
	case decider.SnapshotCmd:
		go d.snapshot(c)
	case decider.ConfirmCmd:
		go d.confirm(c)
	}
}

func (d *Dispatcher) propose(c decider.ProposeCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, ProposeTimeout)
	defer cancel()
	results, err := d.Recorder.Propose(ctx, c.Entries...)
	d.send(decider.ProposedMsg{Keys: c.Keys, Results: results, Err: text(err)})
}

func (d *Dispatcher) exchange(c decider.ExchangeCmd) {
	wait := time.Duration(c.Request.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(d.ctx, wait+MessageTimeout)
	defer cancel()
	reply, err := d.Workers.Exchange(ctx, c.Address, c.Request)
	d.send(decider.ExchangedMsg{Worker: c.Worker, Reply: reply, Err: text(err)})
}

func (d *Dispatcher) reserve(c decider.ReserveCmd) {
	msg := decider.ReservedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt}
	msg.Reply, msg.Err = d.bounded(c.ValidMS, func(ctx context.Context) (runner.Reply, error) {
		return d.Workers.Reserve(ctx, c.Address, c.Request)
	})
	d.send(msg)
}

func (d *Dispatcher) startTasks(c decider.StartCmd) {
	msg := decider.StartedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt}
	msg.Reply, msg.Err = d.bounded(c.ValidMS, func(ctx context.Context) (runner.Reply, error) {
		return d.Workers.Start(ctx, c.Address, c.Request)
	})
	d.send(msg)
}

// bounded sends a message only while the fold that it rests on is fresh. A
// process that was paused finds the time passed and sends nothing.
func (d *Dispatcher) bounded(validMS int64, send func(context.Context) (runner.Reply, error)) (runner.Reply, string) {
	left := time.Duration(validMS)*time.Millisecond - time.Since(d.Start)
	if left <= 0 {
		return runner.Reply{}, "not sent: the control state is too old"
	}
	ctx, cancel := context.WithTimeout(d.ctx, min(left, MessageTimeout))
	defer cancel()
	reply, err := send(ctx)
	return reply, text(err)
}

func (d *Dispatcher) stopTasks(c decider.StopCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, MessageTimeout)
	defer cancel()
	reply, err := d.Workers.Stop(ctx, c.Address, c.Request)
	d.send(decider.StoppedMsg{Worker: c.Worker, Job: c.Request.Job, Attempt: c.Request.Attempt, Reply: reply, Err: text(err)})
}

func (d *Dispatcher) snapshot(c decider.SnapshotCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, SnapshotTimeout)
	defer cancel()
	hash, err := d.Snapshots.Write(ctx, c.Next, c.Data)
	d.send(decider.SnapshotDoneMsg{Next: c.Next, Hash: hash, Err: text(err)})
}

func (d *Dispatcher) confirm(c decider.ConfirmCmd) {
	ctx, cancel := context.WithTimeout(d.ctx, SnapshotTimeout)
	defer cancel()
	if err := d.Snapshots.Confirm(ctx, c.Next, c.Hash); err != nil {
		d.Alarms.Alarm("SnapshotUnconfirmed", err.Error())
	}
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
