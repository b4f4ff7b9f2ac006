package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
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
	// bootAtStart is the time since boot at start, including suspensions.
	bootAtStart time.Duration
	done        chan struct{}
	// slowReported is when a slow step was last logged.
	slowReported time.Time
}

const (
	// inboxSize is the capacity of the inbox; senders block when it is full.
	inboxSize = 4096
	// tickInterval is the resolution of the model's timeouts.
	tickInterval = 50 * time.Millisecond
	// slowStep is the duration from which on a step is logged: it delays the answers to
	// orders noticeably. At most one step is logged in each slowStepInterval.
	slowStep         = 50 * time.Millisecond
	slowStepInterval = time.Second
)

// NewLoop returns a loop that is not running yet. Monotonic times count from start.
func NewLoop(m *Model, start time.Time) *Loop {
	return &Loop{model: m, inbox: make(chan Msg, inboxSize), start: start, bootAtStart: sinceBoot() - time.Since(start), done: make(chan struct{})}
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
	boot := sinceBoot()
	now := time.Now()
	at := Instant{MonoMS: now.Sub(l.start).Milliseconds(), WallMS: now.UnixMilli(), SuspendedMS: (boot - l.bootAtStart - now.Sub(l.start)).Milliseconds()}
	passed := l.dispatch(l.model.Update(at, msg))
	took := time.Since(now)
	if passed {
		l.dispatch(l.model.Update(at, PassTookMsg{TookMS: took.Milliseconds()}))
	}
	if l.Measure != nil {
		l.Measure(took)
	}
	if took >= slowStep && now.Sub(l.slowReported) >= slowStepInterval {
		l.slowReported = now
		l.dispatcher.Dispatch(EventCmd{Name: "ControlStepSlow", Fields: []any{"Message", fmt.Sprintf("%T", msg), "TookMS", took.Milliseconds(), "Waiting", len(l.inbox)}})
	}
}

// dispatch executes the commands of one step and reports whether the step ran a pass.
func (l *Loop) dispatch(cmds []Command) (passed bool) {
	for _, c := range cmds {
		if _, ok := c.(PassedCmd); ok {
			passed = true
			continue
		}
		l.dispatcher.Dispatch(c)
	}
	return passed
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
// false if the loop or the context ended before. Read does not run after Inspect has
// returned, so that it may set variables of the caller.
func (l *Loop) Inspect(ctx context.Context, read func(*Model)) bool {
	done := make(chan struct{})
	// taken is set by the one that comes first: the start of read or the end of the context.
	var taken atomic.Bool
	readUnlessAbandoned := func(m *Model) {
		if taken.CompareAndSwap(false, true) {
			read(m)
		}
	}
	if !l.Send(InspectMsg{Read: readUnlessAbandoned, Done: done}) {
		return false
	}
	select {
	case <-done:
		return true
	case <-l.done:
		return false
	case <-ctx.Done():
		if taken.CompareAndSwap(false, true) {
			return false
		}
		<-done
		return true
	}
}
