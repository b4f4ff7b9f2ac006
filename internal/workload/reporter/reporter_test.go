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

// TestSlowReaderBlocksNobody floods a log whose reader has stopped.
func TestSlowReaderBlocksNobody(t *testing.T) {
	read, write := io.Pipe()
	r := reporter.New(write)
	ctx, cancel := context.WithCancel(context.Background())
	go r.Run(ctx)
	const flood = 200000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range flood {
			r.Event("RunEnded", "Job", "5c0e7a21d94b36f8")
		}
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("reporting blocks on the reader")
	}
	if _, dropped := r.Counts(); dropped == 0 {
		t.Error("nothing was dropped")
	}
	cancel()
	go func() { <-r.Done(); write.Close() }()
	out, err := io.ReadAll(read)
	if err != nil {
		t.Fatal(err)
	}
	written, dropped := r.Counts()
	if lines := int64(strings.Count(string(out), "\n")); lines != written || written+dropped < flood {
		t.Errorf("%d lines, %d written, %d dropped of %d", lines, written, dropped, flood)
	}
}

// pipeBytes is the largest write that pipes take in one piece.
const pipeBytes = 4096

// writes notes the writes that it takes, the failing one not.
type writes struct {
	taken []string
	fails int
}

func (w *writes) Write(p []byte) (int, error) {
	if w.fails > 0 {
		w.fails--
		return 0, io.ErrClosedPipe
	}
	w.taken = append(w.taken, string(p))
	return len(p), nil
}

func report(w io.Writer, events int) *reporter.Reporter {
	r := reporter.New(w)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range events {
		r.Event("RunEnded", "Job", "5c0e7a21d94b36f8", "Kind", "Done")
	}
	r.Run(ctx)
	return r
}

// TestWritesAreWholeLines holds a burst against what a pipe takes in one piece: longer
// writes come out in parts, mixed with those of other processes.
func TestWritesAreWholeLines(t *testing.T) {
	var w writes
	report(&w, 1000)
	lines := 0
	for i, s := range w.taken {
		if len(s) > pipeBytes || !strings.HasSuffix(s, "\n") {
			t.Errorf("write %d has %d bytes and ends with %q", i, len(s), s[len(s)-1])
		}
		lines += strings.Count(s, "\n")
	}
	if lines != 1000 {
		t.Errorf("%d lines, want 1000", lines)
	}
}

// TestLogGoesOnAfterAFailedWrite loses what a failed write held, and nothing after it.
func TestLogGoesOnAfterAFailedWrite(t *testing.T) {
	w := writes{fails: 1}
	r := report(&w, 1000)
	if len(w.taken) == 0 {
		t.Fatal("nothing was written after a failed write")
	}
	if _, dropped := r.Counts(); dropped == 0 {
		t.Error("the failed write is not counted")
	}
}
