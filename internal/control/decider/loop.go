package decider

import (
	"context"
	"time"
)

// Dispatcher executes commands. Dispatch must not block.
type Dispatcher interface {
	Dispatch(Command)
}

// Loop passes messages to a model in a single goroutine and dispatches its commands.
type Loop struct {
	// Measure, if set, receives the duration of each step.
	Measure func(took time.Duration)

	model      Model
	dispatcher Dispatcher
	inbox      chan Msg
	start      time.Time
	tick       time.Duration
	done       chan struct{}
}

// inboxSize is the number of messages that can be queued before Send blocks.
const inboxSize = 4096

// NewLoop returns a loop that is not running yet. Monotonic times are measured from
// start.
func NewLoop(m Model, d Dispatcher, start time.Time, tick time.Duration) *Loop {
	return &Loop{model: m, dispatcher: d, inbox: make(chan Msg, inboxSize), start: start, tick: tick, done: make(chan struct{})}
}

// Run handles messages until the context is canceled.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-l.inbox:
			l.step(msg)
		case <-ticker.C:
			l.step(TickMsg{})
		}
	}
}

// step passes one message to the model and dispatches the commands.
func (l *Loop) step(msg Msg) {
	now := time.Now()
	var cmds []Command
	l.model, cmds = l.model.Update(Instant{MonoMS: now.Sub(l.start).Milliseconds(), WallMS: now.UnixMilli()}, msg)
	for _, c := range cmds {
		l.dispatcher.Dispatch(c)
	}
	if l.Measure != nil {
		l.Measure(time.Since(now))
	}
}

// Send queues a message, blocking while the queue is full. It returns false if the
// loop has ended.
func (l *Loop) Send(msg Msg) bool {
	select {
	case l.inbox <- msg:
		return true
	case <-l.done:
		return false
	}
}
