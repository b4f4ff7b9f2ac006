package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"daisyhead/internal/workload/scheduler"
)

// ignoredCommands is a dispatcher that executes nothing.
type ignoredCommands struct{}

func (ignoredCommands) Dispatch(scheduler.Command) {}

// TestInspectReadsNothingAfterItsEnd guards against a data race: the caller gives up before the
// control loop gets to the request, and its variables must not be set later.
func TestInspectReadsNothingAfterItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := scheduler.NewLoop(scheduler.New(scheduler.Config{}), time.Now())
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		read := false
		if l.Inspect(ended, func(*scheduler.Model) { read = true }) {
			t.Error("Inspect reports that it has read")
		}
		running, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		l.Run(running, ignoredCommands{})
		if read {
			t.Error("the model was read after Inspect had returned")
		}
	})
}
