package assembler

import (
	"net/http"
	"strings"
	"time"

	"daisyhead/internal/entry/gatekeeper"
	"daisyhead/internal/entry/server"
)

const (
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	// maxHeadLines is more than ordinary heads have. Short lines take fifteen times their size
	// once they are parsed.
	maxHeadLines = 1024
	// bodyTimeout allows the largest body at 2.2 Mbit/s.
	bodyTimeout = 30 * time.Second
)

// newGate returns the gatekeeper of a listener. The lines of heads on encrypted connections can't be
// counted before they are decrypted.
func (i *Instance) newGate(name string, encrypted bool) *gatekeeper.Gatekeeper {
	limits := gatekeeper.Limits{
		Connections: i.settings.Limits.MaxConnections, HeadBytes: i.settings.Limits.MaxHeaderBytes, HeadLines: maxHeadLines,
		HeadTimeout: headTimeout, IdleTimeout: idleTimeout, BodyBytes: server.MaxBodyBytes, BodyTimeout: bodyTimeout,
		BodyMemory: int64(i.settings.Limits.BodyMemoryMB) << 20,
		Streams:    func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, server.ServicesPath) },
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
