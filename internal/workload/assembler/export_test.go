package assembler

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// StartForTest runs the instance without listeners until ctx ends, and returns the handler for
// its peers.
func (inst *Instance) StartForTest(ctx context.Context) (peers http.Handler, wait func() error) {
	group, ctx := errgroup.WithContext(ctx)
	inst.deps.Peers.SetPeers(inst.settings.Seeds)
	inst.startBackground(group, ctx)
	return forwarder.Handler(inst, inst.storer), group.Wait
}

// AppendAsHolderForTest appends a record at an instance that holds the term and whose control
// loop gives the answer.
func AppendAsHolderForTest(ctx context.Context, r reducer.Record, answer scheduler.StoredCmd) error {
	inst := New(Settings{Instance: "i"}, Dependencies{})
	inst.status.holdsTerm.Store(true)
	answer.RequestID = 1
	go inst.loop.Run(ctx, discardDispatcher{})
	go func() {
		for ctx.Err() == nil {
			inst.storer.deliver(answer)
			time.Sleep(time.Millisecond)
		}
	}()
	return inst.storer.Append(ctx, r)
}

// discardDispatcher drops the commands of a control loop that only has to answer inspections.
type discardDispatcher struct{}

// Dispatch implements scheduler.Dispatcher.
func (discardDispatcher) Dispatch(scheduler.Command) {}
