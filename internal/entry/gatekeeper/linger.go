package gatekeeper

import (
	"net"
	"time"
)

// lingerTime is how long a connection stays open after its last response. Closing it while
// the client still sends would reset it, and the client might lose the response.
const lingerTime = 500 * time.Millisecond

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

// writeNow writes a response without waiting for the client. A client that does not get it sees
// that the connection is closed.
func writeNow(c net.Conn, response string) {
	_ = c.SetWriteDeadline(time.Now().Add(time.Millisecond))
	_, _ = c.Write([]byte(response))
}
