package gatekeeper

import (
	"container/list"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseReading connections are receiving the head of a request, or wait for the first one.
	phaseReading phase = iota
	// phaseIdle connections are between two requests.
	phaseIdle
	// phaseActive connections have a request in progress.
	phaseActive
	// phaseClosed connections are closed or not the server's any more.
	phaseClosed
)

// writeTimeout limits the time of one write to a connection. Without it, a client that sends
// requests and reads no responses keeps its connection for ever.
const writeTimeout = 30 * time.Second

// errHeadLines is the error of a read in a head with too many lines.
var errHeadLines = errors.New("the head of the request has too many lines")

// conn is an admitted connection.
type conn struct {
	net.Conn
	gate *Gatekeeper
	// inHead is set while the head of a request is received or awaited.
	inHead atomic.Bool
	// head is only used between two changes of inHead, by one goroutine at a time.
	head headScanner

	// phase and element, the place in the gatekeeper's list, are guarded by the gatekeeper.
	phase   phase
	element *list.Element
}

// Read implements net.Conn. It fails if a head has too many lines.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		return n, err
	}
	if c.head.bytes == 0 {
		c.gate.move(c, phaseReading)
	}
	c.head.add(p[:n])
	if limit := c.gate.limits.HeadLines; limit > 0 && c.head.lines > limit {
		c.gate.count(reasonHeadLines)
		return 0, errHeadLines
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (n int, err error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.gate.move(c, phaseClosed)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which http.Server does before it closes a connection.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// headScanner counts the lines of a head. A parsed head needs memory for each of its lines,
// fifteen times their size if they are short.
type headScanner struct {
	bytes, lines int
	// lineBytes is the length of the present line, without carriage returns.
	lineBytes int
	// begun is set after the first line that is not empty, complete at the end of the head.
	begun, complete bool
}

// add counts the lines in the next bytes of the connection.
func (h *headScanner) add(p []byte) {
	h.bytes += len(p)
	for _, b := range p {
		switch {
		case h.complete:
			return
		case b == '\n':
			h.lines++
			h.complete = h.begun && h.lineBytes == 0
			h.begun = h.begun || h.lineBytes > 0
			h.lineBytes = 0
		case b != '\r':
			h.lineBytes++
		}
	}
}
