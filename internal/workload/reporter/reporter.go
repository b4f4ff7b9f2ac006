// Package reporter writes events as JSON lines without ever blocking whoever
// reports them. What doesn't fit into its buffer is dropped and counted.
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
	// bufferedEvents bounds the events that wait for the writer.
	bufferedEvents = 4096
	// flushInterval is how long a line may wait in memory.
	flushInterval = 100 * time.Millisecond
	// writeBytes bounds a single write. Pipes take writes of this size in one piece, so
	// that lines of several processes do not mix.
	writeBytes = 4096
)

type event struct {
	at     time.Time
	name   string
	fields []any
}

// Reporter is a bounded, non-blocking log.
type Reporter struct {
	events chan event
	to     io.Writer
	// out gathers whole lines; line holds the one that is being formatted.
	out     *bufio.Writer
	line    *bytes.Buffer
	logger  *slog.Logger
	written atomic.Int64
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a reporter whose lines go to w once Run is called.
func New(w io.Writer) *Reporter {
	line := &bytes.Buffer{}
	return &Reporter{
		events: make(chan event, bufferedEvents), to: w, out: bufio.NewWriterSize(w, writeBytes), line: line, done: make(chan struct{}),
		logger: slog.New(slog.NewJSONHandler(line, nil)),
	}
}

// Event queues a line with alternating keys and values.
func (r *Reporter) Event(name string, fields ...any) {
	select {
	case r.events <- event{at: time.Now(), name: name, fields: fields}:
	default:
		r.dropped.Add(1)
	}
}

// Counts returns how many lines were written and how many were dropped.
func (r *Reporter) Counts() (written, dropped int64) { return r.written.Load(), r.dropped.Load() }

// Run writes lines until the context ends and the queue is empty.
func (r *Reporter) Run(ctx context.Context) {
	defer close(r.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	var reported int64
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
		if dropped := r.dropped.Load(); dropped > reported {
			r.write(event{at: time.Now(), name: "EventsDropped", fields: []any{"Count", dropped - reported}})
			reported = dropped
		}
		r.flush()
	}
}

// Done is closed once the last line is written.
func (r *Reporter) Done() <-chan struct{} { return r.done }

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

func (r *Reporter) flush() {
	if err := r.out.Flush(); err != nil {
		// The reader of the log has gone; a new buffer goes on with later lines.
		r.dropped.Add(1)
		r.out.Reset(r.to)
	}
}
