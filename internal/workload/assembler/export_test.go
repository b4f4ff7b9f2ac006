package assembler

import (
	"context"
	"time"

	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// AppendAsHolderForTest appends a record at an instance that holds the term and whose control
// loop gives the answer.
func AppendAsHolderForTest(ctx context.Context, r reducer.Record, answer scheduler.StoredCmd) error {
	inst := New(Settings{Instance: "i"}, Dependencies{})
	inst.status.holdsTerm.Store(true)
	answer.RequestID = 1
	go func() {
		for ctx.Err() == nil {
			inst.storer.deliver(answer)
			time.Sleep(time.Millisecond)
		}
	}()
	return inst.storer.Append(ctx, r)
}
