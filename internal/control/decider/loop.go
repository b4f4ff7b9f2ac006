package decider

import (
	"context"
	"time"
)

// Dispatcher carries out commands. It must not block.
type Dispatcher interface {
	Dispatch(Command)
}

// Loop feeds messages to a model in one goroutine.
type Loop struct {
	// Measure, if set, takes the time of each step.
	Measure func(took time.Duration)

	model      Model
	dispatcher Dispatcher
	inbox      chan Msg
	start      time.Time
	tick       time.Duration
	done       chan struct{}
}

// inboxSize bounds the messages that wait; senders block beyond it.
const inboxSize = 4096

// NewLoop returns a loop that is not running yet. Monotonic times count from start.
func NewLoop(m Model, d Dispatcher, start time.Time, tick time.Duration) *Loop {
	return &Loop{model: m, dispatcher: d, inbox: make(chan Msg, inboxSize), start: start, tick: tick, done: make(chan struct{})}
}

// Run handles messages until the context ends.
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

// Send queues a message. It returns false when the loop has ended.
func (l *Loop) Send(msg Msg) bool {
	select {
	case l.inbox <- msg:
		return true
	case <-l.done:
		return false
	}
}
