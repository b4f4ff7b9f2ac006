package gatekeeper

import (
	"container/list"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseReading connections are receiving the head of a request, or wait for the first one.
	phaseReading phase = iota
	// phaseIdle connections are between two requests, or their last response has been sent.
	phaseIdle
	// phaseActive connections have a request in progress.
	phaseActive
	// phaseClosed connections are closed or not the server's any more.
	phaseClosed
)

// writeTimeout limits the time of one write to a connection. Without it, a client that sends
// requests and reads no responses keeps its connection for ever.
const writeTimeout = 30 * time.Second

// headSlop is what http.Server reads of a head beyond its limit.
const headSlop = 4096

var (
	// errHeadLines is the error of a read in a head with too many lines.
	errHeadLines = errors.New("the head of the request has too many lines")
	// errHeadBytes is the error of a read in a head that is too long. http.Server sends no
	// response of its own after errors of reads.
	errHeadBytes = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is too long")}
)

// headRefusal is the response to a head that is too long.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// conn is an admitted connection.
type conn struct {
	net.Conn
	gate *Gatekeeper
	// inHead is set while the head of a request is received or awaited.
	inHead atomic.Bool
	// head is only used between two changes of inHead, by one goroutine at a time.
	head headScanner
	// headComplete is set between the end of a head and the begin of its request.
	headComplete atomic.Bool
	// encrypted is set before the first read if the content is encrypted. Heads are not scanned
	// then.
	encrypted bool
	// writeBegan is when the write in progress began, in nanoseconds since 1970, 0 if there is none.
	writeBegan atomic.Int64
	// readBytes is the number of bytes whose reads have returned.
	readBytes atomic.Int64
	// bodyBytes is what was received after the end of the last head.
	bodyBytes atomic.Int64
	// bodySize is the size of the last request's body, -1 if it was not announced. pipelined is set
	// once a head may have been received as part of a body. Only the server's goroutine uses them.
	bodySize  int64
	pipelined bool

	// The gatekeeper guards the following fields. element is the place in one of its lists.
	phase   phase
	element *list.Element
	// readingSince is when phaseReading began.
	readingSince time.Time
	// lingers is set once the last response was sent and the gatekeeper, not the server, will close
	// the connection. linger is the timer that does it.
	lingers bool
	linger  *time.Timer
	// evicted is set while the server has yet to notice that the gatekeeper closed the connection.
	evicted bool
}

// Read implements net.Conn. It fails if a head is too long or has too many lines.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	received := n
	defer func() { c.readBytes.Add(int64(received)) }()
	if !c.inHead.Load() {
		c.bodyBytes.Add(int64(n))
		return n, err
	}
	if c.head.bytes == 0 {
		c.gate.move(c, phaseReading)
	}
	if c.encrypted {
		c.head.bytes += n
		return n, err
	}
	c.bodyBytes.Store(int64(c.head.add(p[:n])))
	c.headComplete.Store(c.head.complete && !c.pipelined)
	limits := c.gate.limits
	if limits.HeadLines > 0 && c.head.lines > limits.HeadLines {
		c.gate.count(reasonHeadLines)
		return 0, errHeadLines
	}
	if limits.HeadBytes > 0 && !c.head.complete && c.head.bytes >= limits.HeadBytes+headSlop {
		c.gate.count(reasonHeadBytes)
		if c.gate.beginLinger(c) {
			c.gate.respondAndLinger(c, c, headRefusal)
		}
		return 0, errHeadBytes
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (n int, err error) {
	now := time.Now()
	if err := c.Conn.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.writeBegan.Store(now.UnixNano())
	defer c.writeBegan.Store(0)
	return c.Conn.Write(p)
}

// Close implements net.Conn. A connection that lingers stays open.
func (c *conn) Close() error {
	if c.gate.release(c) {
		return nil
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side. http.Server does so after the last response, and keeps the
// connection for some time, in which the gatekeeper may close it.
func (c *conn) CloseWrite() error {
	c.gate.move(c, phaseIdle)
	return c.closeWrite()
}

func (c *conn) closeWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// hasReceived reports whether a body of the given size has arrived.
func (c *conn) hasReceived(size int64) bool {
	return !c.encrypted && !c.pipelined && size >= 0 && c.bodyBytes.Load()+c.unread() >= size
}

// unread returns the number of bytes that have arrived but were not looked at, 0 if it is not known.
func (c *conn) unread() (n int64) {
	if info := c.tcpInfo(); info != nil {
		n = max(int64(info.Bytes_received)-c.readBytes.Load(), 0)
	}
	return n
}

// queueTime returns how long ago the connection was established or, if the client has sent anything,
// received the last bytes, 0 if it is not known. For a new connection that is how long it has waited
// to be accepted.
func (c *conn) queueTime() (d time.Duration) {
	if info := c.tcpInfo(); info != nil {
		d = time.Duration(info.Last_data_recv) * time.Millisecond
	}
	return d
}

// tcpInfo returns what the kernel knows of the connection, nil if it can't be asked.
func (c *conn) tcpInfo() (info *unix.TCPInfo) {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			info = nil
		}
	})
	return info
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

// add counts the lines in the next bytes of the connection, and returns the number of bytes after
// the end of the head.
func (h *headScanner) add(p []byte) (rest int) {
	h.bytes += len(p)
	for i, b := range p {
		switch {
		case h.complete:
			return len(p) - i
		case b == '\n':
			h.lines++
			h.complete = h.begun && h.lineBytes == 0
			h.begun = h.begun || h.lineBytes > 0
			h.lineBytes = 0
		case b != '\r':
			h.lineBytes++
		}
	}
	return 0
}
