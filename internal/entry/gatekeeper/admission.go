package gatekeeper

import (
	"net"
	"time"
)

const (
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
	// maxLingeringRefusals is the number of connections beyond the limit that stay open after the
	// response that refuses them.
	maxLingeringRefusals = 16
)

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
