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

const (
	// reportInterval is the least time between two log lines of a server.
	reportInterval = 10 * time.Second
	// headGrace is the time that a client has for the first bytes of a head before a full server
	// closes its connection. Clients send them right after the connection is established.
	headGrace = 10 * time.Millisecond
	// writeGrace is the time after which a full server closes a connection whose client does not
	// read. A response that fits into the buffers of the connection takes no time.
	writeGrace = 250 * time.Millisecond
	// admitPatience is how long a full server lets new connections wait without admitting one
	// before it refuses them. It exceeds the times after which it closes others.
	admitPatience = 750 * time.Millisecond
	// admitInterval is how often a full server looks for a connection to close.
	admitInterval = 2 * time.Millisecond
	// maxQueueTime is how long a connection may have waited in the listener's queue before a full
	// server refuses it. It is a third of what callers usually wait for an answer.
	maxQueueTime = time.Second
	// maxReleasing is the number of connections that were closed to make room and still have a
	// goroutine of the server. http.Server keeps one for half a second after some responses.
	maxReleasing = 512
	// lingerTime is how long a connection stays open after its last response. Closing it while
	// the client still sends would reset it, and the client might lose the response.
	lingerTime = 500 * time.Millisecond
	// maxLingeringRefusals is the number of connections beyond the limit that stay open after the
	// response that refuses them.
	maxLingeringRefusals = 16
)

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

// beginLinger makes the gatekeeper close the connection instead of the server, whose goroutine need
// not wait for it. It returns false if the connection is closed.
func (g *Gatekeeper) beginLinger(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == phaseClosed {
		return false
	}
	g.moveLocked(c, phaseIdle)
	c.lingers = true
	return true
}

// cancelLinger undoes beginLinger.
func (g *Gatekeeper) cancelLinger(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.lingers = false
}

// respondAndLinger sends the last response to a client after beginLinger. Its connection is closed
// some time later, or earlier if the server is full. outer is the connection, or the encrypted one
// on it.
func (g *Gatekeeper) respondAndLinger(c *conn, outer net.Conn, response string) {
	writeNow(outer, response)
	_ = c.closeWrite()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase != phaseClosed {
		c.linger = time.AfterFunc(lingerTime, func() { g.endLinger(c) })
	}
}

// endLinger closes a connection that lingers.
func (g *Gatekeeper) endLinger(c *conn) {
	g.mu.Lock()
	g.moveLocked(c, phaseClosed)
	g.mu.Unlock()
	c.Conn.Close()
}

// closed reports whether the gatekeeper has closed the connection.
func (g *Gatekeeper) closed(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.phase == phaseClosed
}

// admit adds a new connection. If there are too many it closes another one, for which it may have
// to wait. Meanwhile further connections wait in the order in which they arrived. It returns nil if
// no connection can be closed.
func (g *Gatekeeper) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, gate: g}
	c.inHead.Store(true)
	defer g.waiting.Store(false)
	for {
		admitted, wait := g.tryAdmit(c)
		if admitted {
			return c
		}
		if !wait {
			g.count(reasonFull)
			return nil
		}
		g.waiting.Store(true)
		time.Sleep(admitInterval)
	}
}

// tryAdmit adds a new connection if there is room for it or a connection that may be closed. It
// reports whether there may be one soon.
func (g *Gatekeeper) tryAdmit(c *conn) (admitted, wait bool) {
	now := time.Now()
	g.mu.Lock()
	var victim *conn
	reason := ""
	if limit := g.limits.Connections; limit > 0 && len(g.conns) >= limit {
		if g.releasing < maxReleasing {
			victim, reason = g.victim(now)
		}
		if victim == nil {
			wait = now.Sub(g.admittedAt) < admitPatience
			g.mu.Unlock()
			return false, wait && c.queueTime() < maxQueueTime
		}
		g.evictLocked(victim)
	}
	c.phase, c.readingSince = phaseReading, now
	c.element = g.reading.PushBack(c)
	g.conns[c] = true
	g.admittedAt = now
	g.mu.Unlock()
	if victim != nil {
		victim.Conn.Close()
		g.count(reason)
	}
	return true, false
}

// evictLocked removes a connection that the caller closes.
func (g *Gatekeeper) evictLocked(c *conn) {
	g.moveLocked(c, phaseClosed)
	if !c.lingers {
		c.evicted = true
		g.releasing++
	} else if c.linger != nil {
		c.linger.Stop()
	}
}

// victim returns the connection to close first, nil if there is none: the one that has been idle
// for longest, else the one that has waited for its client for longest, for the rest of a head or
// to read a response. A head that has arrived and waits for the server is not the client's fault.
func (g *Gatekeeper) victim(now time.Time) (c *conn, reason string) {
	if e := g.idle.Front(); e != nil {
		return e.Value.(*conn), reasonIdle
	}
	for e := g.reading.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.readingSince) < headGrace {
			break
		}
		if !c.headComplete.Load() && c.unread() == 0 {
			return c, reasonHead
		}
	}
	for c := range g.conns {
		if began := c.writeBegan.Load(); began > 0 && now.UnixNano()-began >= int64(writeGrace) {
			return c, reasonUnread
		}
	}
	return nil, ""
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

// Listener returns a listener that admits the connections of l.
func (g *Gatekeeper) Listener(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

type listener struct {
	net.Listener
	gate *Gatekeeper
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.admit(raw); c != nil {
			return c, nil
		}
		l.gate.refuse(raw)
	}
}

// refusal is the response to a connection that is refused. Nothing of its request was read.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuse sends the response to a connection that was not admitted, and closes it.
func (g *Gatekeeper) refuse(c net.Conn) {
	writeNow(c, refusal)
	g.mu.Lock()
	lingers := g.refusals < maxLingeringRefusals
	if lingers {
		g.refusals++
	}
	g.mu.Unlock()
	if !lingers {
		c.Close()
		return
	}
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	time.AfterFunc(lingerTime, func() {
		c.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.refusals--
	})
}

// writeNow writes a response without waiting for the client. A client that does not get it sees
// that the connection is closed.
func writeNow(c net.Conn, response string) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
	_, _ = c.Write([]byte(response))
}
