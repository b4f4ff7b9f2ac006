// Package gatekeeper protects an HTTP server from clients that nobody controls. It limits the
// connections, the heads and the bodies of requests by what the process can afford, and chooses
// which connection is closed when there are too many.
//
//	g := gatekeeper.New("Callers", limits, reporter)
//	s := &http.Server{Handler: handler}
//	g.Protect(s)
//	err := s.Serve(g.Listener(listener))
package gatekeeper

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the limits of one server. A limit of 0 does not apply.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeadBytes limits the size of a request's head, HeadLines its number of lines. HeadLines
	// must be 0 if the connections are encrypted.
	HeadBytes, HeadLines int
	// HeadTimeout limits the time in which the head is received.
	HeadTimeout time.Duration
	// IdleTimeout limits the time between a response and the next request.
	IdleTimeout time.Duration
	// BodyBytes limits the size of a body, BodyTimeout the time in which it is received.
	BodyBytes   int64
	BodyTimeout time.Duration
	// BodyMemory limits the memory of the requests with a body that are served at a time, as
	// estimated from the sizes of the bodies.
	BodyMemory int64
	// Streams reports whether the body of a request is passed on as it arrives. The limits of bodies
	// don't apply to it. nil means that there are no such requests.
	Streams func(*http.Request) bool
}

// Reporter writes events to the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// Reasons for which a connection or a request is refused, or a connection closed.
const (
	reasonIdle        = "Idle"
	reasonHead        = "Head"
	reasonUnread      = "Unread"
	reasonFull        = "Full"
	reasonHeadLines   = "HeadLines"
	reasonHeadBytes   = "HeadBytes"
	reasonBodyTooLong = "BodyTooLong"
	reasonBodyMemory  = "BodyMemory"
)

var reasons = []string{reasonIdle, reasonHead, reasonUnread, reasonFull, reasonHeadLines, reasonHeadBytes, reasonBodyTooLong, reasonBodyMemory}

// reportInterval is the least time between two log lines of a server.
const reportInterval = 10 * time.Second

// Gatekeeper protects one server.
type Gatekeeper struct {
	name     string
	limits   Limits
	reporter Reporter
	bodies   *bodyPool

	mu sync.Mutex
	// conns are the open connections. idle and reading are those between two requests and
	// those whose request is being received, in the order in which they became so.
	conns         map[*conn]bool
	idle, reading list.List
	// releasing is the number of connections that were closed to make room and that the server has
	// not released yet. Each still has a goroutine.
	releasing int
	// admittedAt is when the last connection was admitted.
	admittedAt time.Time
	// waiting is set while a new connection waits for room.
	waiting atomic.Bool
	// refusals is the number of refused connections that are open.
	refusals int
	// counts are the refusals since the start by reason, reported those up to reportedAt.
	counts, reported map[string]int
	reportedAt       time.Time
}

// New returns the gatekeeper of the server with the given name.
func New(name string, l Limits, r Reporter) *Gatekeeper {
	return &Gatekeeper{
		name: name, limits: l, reporter: r, bodies: newBodyPool(l), conns: map[*conn]bool{},
		counts: map[string]int{}, reported: map[string]int{},
	}
}

// Protect sets the server's limits and wraps its handler. The server must serve the result of
// Listener, or a TLS listener on it.
func (g *Gatekeeper) Protect(s *http.Server) {
	s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = g.limits.HeadBytes, g.limits.HeadTimeout, g.limits.IdleTimeout
	s.ConnState = g.setState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	s.Handler = g.handler(s.Handler)
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// unwrap returns the gatekeeper's connection below c, which may be a TLS connection.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	inner, _ := c.(*conn)
	return inner
}

// setState implements http.Server.ConnState.
func (g *Gatekeeper) setState(c net.Conn, s http.ConnState) {
	inner := unwrap(c)
	if inner == nil {
		return
	}
	switch s {
	case http.StateNew:
		inner.encrypted = net.Conn(inner) != c
	case http.StateActive:
		inner.inHead.Store(false)
		g.move(inner, phaseActive)
		inner.headComplete.Store(false)
	case http.StateIdle:
		// The begin of the next head is not known if it was received before the response.
		inner.pipelined = inner.pipelined || inner.bodyBytes.Load() != inner.bodySize
		inner.head = headScanner{}
		inner.inHead.Store(true)
		g.move(inner, phaseIdle)
	case http.StateHijacked, http.StateClosed:
		g.release(inner)
	}
}

// move changes a connection's phase. It does nothing once the connection is closed or lingers.
func (g *Gatekeeper) move(c *conn, to phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.lingers {
		g.moveLocked(c, to)
	}
}

func (g *Gatekeeper) moveLocked(c *conn, to phase) {
	if c.phase == phaseClosed || c.phase == to {
		return
	}
	switch c.phase {
	case phaseIdle:
		g.idle.Remove(c.element)
	case phaseReading:
		g.reading.Remove(c.element)
	}
	c.phase = to
	switch to {
	case phaseIdle:
		c.element = g.idle.PushBack(c)
	case phaseReading:
		c.readingSince = time.Now()
		c.element = g.reading.PushBack(c)
	case phaseClosed:
		delete(g.conns, c)
	}
}

// release removes a connection that the server doesn't use any more, unless it lingers.
func (g *Gatekeeper) release(c *conn) (lingers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.evicted {
		c.evicted = false
		g.releasing--
	}
	if !c.lingers {
		g.moveLocked(c, phaseClosed)
	}
	return c.lingers
}

// closed reports whether the gatekeeper has closed the connection.
func (g *Gatekeeper) closed(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.phase == phaseClosed
}

// count counts a refusal and logs the sums at most once per reportInterval.
func (g *Gatekeeper) count(reason string) {
	g.mu.Lock()
	g.counts[reason]++
	var fields []any
	if now := time.Now(); now.Sub(g.reportedAt) >= reportInterval {
		fields = []any{"Listener", g.name, "Connections", len(g.conns), "Limit", g.limits.Connections}
		for _, r := range reasons {
			if n := g.counts[r] - g.reported[r]; n > 0 {
				fields = append(fields, r, n)
			}
			g.reported[r] = g.counts[r]
		}
		g.reportedAt = now
	}
	g.mu.Unlock()
	if fields != nil && g.reporter != nil {
		g.reporter.Event("ClientsRefused", fields...)
	}
}
