package acceptor

import (
	"context"
	"time"

	"daisyhead/internal/workload/describer"
)

// current reports whether calls may be judged by the configuration.
func (a *Acceptor) current(cfg *describer.Configuration, asOf time.Time) bool {
	return cfg != nil && cfg.Version >= a.shownVersion.Load() && time.Since(asOf) <= a.ConfigFresh
}

// usableInOutage reports whether a state may be told by the configuration although it is
// old: the platform is out of reach for all, so nobody knows a newer one.
func (a *Acceptor) usableInOutage(cfg *describer.Configuration, asOf time.Time, c Call) bool {
	if cfg == nil || cfg.Version < a.shownVersion.Load() || c.Forwarded {
		return false
	}
	return c.Kind == KindState && time.Since(asOf) <= a.ConfigStale
}

// noteShown remembers the newest configuration that callers have seen the effect of.
func (a *Acceptor) noteShown(answer Answer) {
	for {
		shown := a.shownVersion.Load()
		if answer.ConfigVersion <= shown || a.shownVersion.CompareAndSwap(shown, answer.ConfigVersion) {
			return
		}
	}
}

// askWidely looks for a peer with a newer configuration.
func (a *Acceptor) askWidely(ctx context.Context, c Call) (answer Answer, ok bool) {
	if c.Forwarded || time.Now().UnixNano() < a.aloneUntil.Load() {
		return answer, false
	}
	if answer, ok = a.Peers.Forward(ctx, c, wideTries); !ok {
		a.aloneUntil.Store(time.Now().Add(alonePause).UnixNano())
	}
	return answer, ok
}

// admit finds the queue and checks the key.
func admit(cfg *describer.Configuration, c Call) (q describer.Queue, workspace string, refusal Verdict) {
	q, ok := cfg.Route(c.Host, c.Path)
	if !ok {
		return q, "", NoQueue
	}
	w, ok := cfg.WorkspaceOfKey(c.Key)
	if !ok && !q.Public {
		return q, "", NoKey
	}
	return q, w.Name, ""
}
