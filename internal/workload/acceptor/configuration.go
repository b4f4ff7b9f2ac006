package acceptor

import (
	"context"
	"time"

	"daisyhead/internal/workload/describer"
)

// usable reports whether calls may be answered using the configuration: it is recent enough
// and not older than one that callers have already been answered with.
func (a *Acceptor) usable(cfg *describer.Configuration, asOf time.Time) bool {
	return cfg != nil && cfg.Version >= a.servedVersion.Load() && time.Since(asOf) <= a.MaxConfigAge
}

// usableInOutage reports whether a job's state may be reported using an outdated
// configuration. The search for a peer with a newer one has failed, so the platform is assumed
// to be unreachable for all instances.
func (a *Acceptor) usableInOutage(cfg *describer.Configuration, asOf time.Time, c Call) bool {
	if cfg == nil || cfg.Version < a.servedVersion.Load() || c.Forwarded {
		return false
	}
	return c.Kind == KindState && time.Since(asOf) <= a.MaxOutageConfigAge
}

// recordServedVersion records the newest configuration version that callers have been answered
// with.
func (a *Acceptor) recordServedVersion(answer Answer) {
	for {
		served := a.servedVersion.Load()
		if answer.ConfigVersion <= served || a.servedVersion.CompareAndSwap(served, answer.ConfigVersion) {
			return
		}
	}
}

// searchNewerConfiguration forwards the call to peers, one of which may have a newer
// configuration.
func (a *Acceptor) searchNewerConfiguration(ctx context.Context, c Call) (answer Answer, ok bool) {
	if c.Forwarded || time.Now().UnixNano() < a.skipSearchUntil.Load() {
		return answer, false
	}
	if answer, ok = a.Peers.Forward(ctx, c, configSearchTries); !ok {
		a.skipSearchUntil.Store(time.Now().Add(configSearchPause).UnixNano())
	}
	return answer, ok
}

// admit finds the call's queue and checks its key. refusal is empty if the call is admitted.
func admit(cfg *describer.Configuration, c Call) (q describer.Queue, workspace string, refusal Verdict) {
	q, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return q, "", QueueNotFound
	}
	w, ok := cfg.WorkspaceByKey(c.Key)
	if !ok && !q.Public {
		return q, "", InvalidKey
	}
	return q, w.Name, ""
}
