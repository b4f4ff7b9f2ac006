package assembler

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"daisyhead/internal/workload/forwarder"
)

// StartForTest runs the instance without listeners until ctx ends, and returns the handler for
// its peers.
func (inst *Instance) StartForTest(ctx context.Context) (peers http.Handler, wait func() error) {
	group, ctx := errgroup.WithContext(ctx)
	inst.deps.Peers.SetPeers(inst.settings.Seeds)
	inst.startBackground(group, ctx)
	return forwarder.Handler(inst, inst.storer), group.Wait
}
