package assembler

import (
	"time"

	"daisyhead/internal/entry/gatekeeper"
)

const (
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// maxHeadLines is more than ordinary heads have. Short lines take fifteen times their size
	// once they are parsed.
	maxHeadLines = 1024
)

// newGate returns the gatekeeper of a listener. It does not limit bodies, since requests to
// services are streams that are passed on. The lines of heads on encrypted connections can't be
// counted before they are decrypted.
func (i *Instance) newGate(name string, encrypted bool) *gatekeeper.Gatekeeper {
	limits := gatekeeper.Limits{
		Connections: i.settings.Limits.MaxConnections, HeadBytes: i.settings.Limits.MaxHeaderBytes, HeadLines: maxHeadLines,
		HeadTimeout: headTimeout, IdleTimeout: idleTimeout,
	}
	if encrypted {
		limits.HeadLines = 0
	}
	g := gatekeeper.New(name, limits, gateReporter{i})
	i.gates = append(i.gates, g)
	return g
}

// gateReporter writes a gatekeeper's events to the instance's log.
type gateReporter struct{ instance *Instance }

// Event implements gatekeeper.Reporter.
func (r gateReporter) Event(name string, fields ...any) { r.instance.logger.Info(name, fields...) }
