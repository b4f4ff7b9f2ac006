package scheduler

import (
	"context"
	"time"
)

// Dispatcher executes commands. Dispatch must not block.
type Dispatcher interface {
	Dispatch(Command)
}

// Loop feeds messages to a model in one goroutine.
type Loop struct {
	// Measure, if set, is called with the duration of each step.
	Measure func(took time.Duration)

	model      *Model
	dispatcher Dispatcher
	inbox      chan Msg
	start      time.Time
	done       chan struct{}
}

const (
	// inboxSize is the capacity of the inbox; senders block when it is full.
	inboxSize = 4096
	// tickInterval is the resolution of the model's timeouts.
	tickInterval = 50 * time.Millisecond
)

// NewLoop returns a loop that is not running yet. Monotonic times count from start.
func NewLoop(m *Model, start time.Time) *Loop {
	return &Loop{model: m, inbox: make(chan Msg, inboxSize), start: start, done: make(chan struct{})}
}

// Run handles messages until the context is cancelled.
func (l *Loop) Run(ctx context.Context, d Dispatcher) {
	defer close(l.done)
	l.dispatcher = d
	ticker := time.NewTicker(tickInterval)
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
	at := Instant{MonoMS: now.Sub(l.start).Milliseconds(), WallMS: now.UnixMilli()}
	for _, c := range l.model.Update(at, msg) {
		l.dispatcher.Dispatch(c)
	}
	if l.Measure != nil {
		l.Measure(time.Since(now))
	}
}

// NowMS returns the current monotonic time in the model's units.
func (l *Loop) NowMS() int64 { return time.Since(l.start).Milliseconds() }

// Send queues a message. It returns false if the loop has ended.
func (l *Loop) Send(msg Msg) bool {
	select {
	case l.inbox <- msg:
		return true
	case <-l.done:
		return false
	}
}

// Inspect runs read in the control goroutine and waits until it returns. It returns
// false if the loop or the context ended before.
func (l *Loop) Inspect(ctx context.Context, read func(*Model)) bool {
	done := make(chan struct{})
	if !l.Send(InspectMsg{Read: read, Done: done}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
}
