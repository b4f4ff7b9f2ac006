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
