// Package reporter is a structured log that never blocks its callers. It writes
// events as JSON lines in the background; events that don't fit into its queue
// are dropped and counted.
//
//	r := reporter.New(os.Stdout)
//	go r.Run(ctx)
//	r.Event("JobSeen", "Job", id)
package reporter

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// eventQueueCapacity is how many events can wait to be written.
	eventQueueCapacity = 4096
	// flushInterval is how often buffered lines are written out.
	flushInterval = 100 * time.Millisecond
	// maxWriteBytes limits a single write, unless one line alone is longer. Linux
	// writes up to this size to a pipe atomically (PIPE_BUF), so the lines of several
	// processes don't interleave.
	maxWriteBytes = 4096
)

// event is a queued log line.
type event struct {
	at     time.Time
	name   string
	fields []any
}

// Reporter writes events to a log through a bounded queue. Event, Counts and
// Done may be called by several goroutines at once.
type Reporter struct {
	events chan event
	target io.Writer
	// out buffers complete lines; line holds the one that is being formatted.
	out     *bufio.Writer
	line    *bytes.Buffer
	logger  *slog.Logger
	written atomic.Int64
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a reporter that writes to w once Run is called.
func New(w io.Writer) *Reporter {
	line := &bytes.Buffer{}
	return &Reporter{
		events: make(chan event, eventQueueCapacity), target: w, out: bufio.NewWriterSize(w, maxWriteBytes), line: line, done: make(chan struct{}),
		logger: slog.New(slog.NewJSONHandler(line, nil)),
	}
}

// Event queues an event with alternating keys and values as its fields. It drops
// the event if the queue is full.
func (r *Reporter) Event(name string, fields ...any) {
	select {
	case r.events <- event{at: time.Now(), name: name, fields: fields}:
	default:
		r.dropped.Add(1)
	}
}

// Counts returns how many lines were written to the buffer, and how many events
// were dropped. A failed flush counts as one drop, however many lines it loses.
func (r *Reporter) Counts() (written, dropped int64) { return r.written.Load(), r.dropped.Load() }

// Run writes queued events until the context ends, and then those that are still
// in the queue. It must be called only once.
func (r *Reporter) Run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reportedDrops int64
	for {
		select {
		case e := <-r.events:
			r.write(e)
			continue
		case <-ticker.C:
		case <-ctx.Done():
			r.drain()
			return
		}
		if dropped := r.dropped.Load(); dropped > reportedDrops {
			r.write(event{at: time.Now(), name: "EventsDropped", fields: []any{"Count", dropped - reportedDrops}})
			reportedDrops = dropped
		}
		r.flush()
	}
}

// Done returns a channel that is closed when Run returns.
func (r *Reporter) Done() <-chan struct{} { return r.done }

// drain writes the events that are left in the queue.
func (r *Reporter) drain() {
	for {
		select {
		case e := <-r.events:
			r.write(e)
		default:
			r.flush()
			return
		}
	}
}

// write formats an event and adds it to the buffer. It flushes the buffer first if
// the line doesn't fit, so that no write ends in the middle of a line.
func (r *Reporter) write(e event) {
	record := slog.NewRecord(e.at, slog.LevelInfo, e.name, 0)
	record.Add(e.fields...)
	r.line.Reset()
	if err := r.logger.Handler().Handle(context.Background(), record); err != nil {
		r.dropped.Add(1)
		return
	}
	if r.line.Len() > r.out.Available() {
		r.flush()
	}
	if _, err := r.out.Write(r.line.Bytes()); err != nil {
		r.dropped.Add(1)
		return
	}
	r.written.Add(1)
}

// flush writes out the buffered lines.
func (r *Reporter) flush() {
	if err := r.out.Flush(); err != nil {
		// The reader of the log may be gone. Reset discards the buffered lines and the
		// error, which would otherwise make all later writes fail.
		r.dropped.Add(1)
		r.out.Reset(r.target)
	}
}
