package reporter_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/reporter"
)

func TestEvent(t *testing.T) {
	var out bytes.Buffer
	r := reporter.New(&out)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.Event("JobSeen", "Job", "j", "Units", 3)
	r.Run(ctx)
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	delete(line, "time")
	want := map[string]any{"level": "INFO", "msg": "JobSeen", "Job": "j", "Units": 3.0}
	if diff := cmp.Diff(want, line); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}

// TestEventDoesNotBlock checks that Event doesn't block when the reader of
// the log has stopped reading, and that every event is either written or counted
// as dropped.
func TestEventDoesNotBlock(t *testing.T) {
	read, write := io.Pipe()
	r := reporter.New(write)
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	const events = 200000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range events {
			r.Event("RunEnded", "Job", "5c0e7a21d94b36f8")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("Event blocks while the log is not read")
	}
	if _, dropped := r.Counts(); dropped == 0 {
		t.Error("no events were dropped")
	}
	cancel()
	go func() { <-r.Done(); write.Close() }()
	out, err := io.ReadAll(read)
	if err != nil {
		t.Fatal(err)
	}
	written, dropped := r.Counts()
	if lines := int64(strings.Count(string(out), "\n")); lines != written || written+dropped < events {
		t.Errorf("%d lines, %d written, %d dropped of %d", lines, written, dropped, events)
	}
}

// pipeAtomicBytes is the largest write to a pipe that is atomic on Linux.
const pipeAtomicBytes = 4096

// recordingWriter fails the given number of writes, then records all later ones.
type recordingWriter struct {
	writes   []string
	failures int
}

func (w *recordingWriter) Write(p []byte) (int, error) {
	if w.failures > 0 {
		w.failures--
		return 0, io.ErrClosedPipe
	}
	w.writes = append(w.writes, string(p))
	return len(p), nil
}

// reportEvents writes a number of equal events to w and returns the reporter.
func reportEvents(w io.Writer, events int) *reporter.Reporter {
	r := reporter.New(w)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range events {
		r.Event("RunEnded", "Job", "5c0e7a21d94b36f8", "Kind", "Done")
	}
	r.Run(ctx)
	return r
}

// TestWritesAreWholeLines checks that a burst of events is written in chunks of
// complete lines that are small enough to be atomic on a pipe. Larger writes would
// be split and interleave with the lines of other processes.
func TestWritesAreWholeLines(t *testing.T) {
	var w recordingWriter
	reportEvents(&w, 1000)
	lines := 0
	for i, s := range w.writes {
		if len(s) > pipeAtomicBytes || !strings.HasSuffix(s, "\n") {
			t.Errorf("write %d has %d bytes and ends with %q", i, len(s), s[len(s)-1])
		}
		lines += strings.Count(s, "\n")
	}
	if lines != 1000 {
		t.Errorf("%d lines, want 1000", lines)
	}
}

// TestLogGoesOnAfterAFailedWrite checks that a failed write, which loses its lines,
// is counted as a drop and that later lines are still written.
func TestLogGoesOnAfterAFailedWrite(t *testing.T) {
	w := recordingWriter{failures: 1}
	r := reportEvents(&w, 1000)
	if len(w.writes) == 0 {
		t.Fatal("nothing was written after a failed write")
	}
	if _, dropped := r.Counts(); dropped == 0 {
		t.Error("the failed write is not counted as a drop")
	}
}
