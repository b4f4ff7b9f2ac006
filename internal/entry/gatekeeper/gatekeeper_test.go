package gatekeeper_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"daisyhead/internal/entry/gatekeeper"
)

// events records the names and fields of events.
type events struct {
	mu    sync.Mutex
	lines []string
}

func (e *events) Event(name string, fields ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lines = append(e.lines, fmt.Sprint(name, fields))
}

// server is a protected server. Requests for /wait end once release is closed, those for /ignore don't
// read their body, and those for /big have a long response.
type server struct {
	address string
	release chan struct{}
	// ignored is closed by a request for /ignore.
	ignored chan struct{}
	gate    *gatekeeper.Gatekeeper
	log     *events
}

func start(t *testing.T, l gatekeeper.Limits) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: listener.Addr().String(), release: make(chan struct{}), ignored: make(chan struct{}), log: &events{}}
	s.gate = gatekeeper.New("Test", l, s.log)
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/wait":
			<-s.release
		case "/ignore":
			close(s.ignored)
			return
		case "/big":
			// More than the buffers of a connection hold.
			for range 64 {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					return
				}
			}
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	})}
	s.gate.Protect(h)
	go func() { _ = h.Serve(s.gate.Listener(listener)) }()
	t.Cleanup(func() { h.Close() })
	return s
}

// dial opens a connection and sends a text.
func (s *server) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// status reads a response and returns its status, 0 if the connection was closed.
func status(t *testing.T, c net.Conn) int {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			t.Fatal("no response, and the connection is open")
		}
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// await waits until the gatekeeper counts so many connections in a phase.
func (s *server) await(t *testing.T, phase string, count int) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if s.metric(t, "daisyhead_connections", phase) == float64(count) {
			return
		}
	}
	t.Fatalf("not %d connections are %s", count, phase)
}

// awaitMemory waits until the requests with a small or a large body have the memory reserved.
func (s *server) awaitMemory(t *testing.T, size string, bytes int) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if s.metric(t, "daisyhead_body_memory_bytes", size) == float64(bytes) {
			return
		}
	}
	t.Fatalf("not %d bytes are reserved for %s bodies", bytes, size)
}

// metric returns the value of a metric with the given last label.
func (s *server) metric(t *testing.T, name, label string) float64 {
	t.Helper()
	registry := prometheus.NewRegistry()
	registry.MustRegister(gatekeeper.Collectors{s.gate})
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if labels := m.GetLabel(); f.GetName() == name && labels[len(labels)-1].GetValue() == label {
				return m.GetGauge().GetValue() + m.GetCounter().GetValue()
			}
		}
	}
	t.Fatalf("no metric %s of %s", name, label)
	return 0
}

// TestFullServerClosesIdleThenHeads guards against a full server that refuses new callers while
// it has connections that nobody needs, or that cuts a request in progress.
func TestFullServerClosesIdleThenHeads(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 3})
	busy := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	s.await(t, "active", 1)
	head := s.dial(t, "GET / HTTP/1.1\r\n")
	s.await(t, "reading", 1)
	idle := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(t, idle); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	s.await(t, "idle", 1)

	second := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(t, idle); got != 0 {
		t.Errorf("the idle connection got status %d, want it closed", got)
	}
	s.await(t, "active", 2)
	third := s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := status(t, head); got != 0 {
		t.Errorf("the connection without a whole head got status %d, want it closed", got)
	}
	s.await(t, "active", 3)
	if got := status(t, s.dial(t, "")); got != http.StatusServiceUnavailable {
		t.Errorf("the connection to a server with requests in progress got status %d, want 503", got)
	}
	close(s.release)
	for _, c := range []net.Conn{busy, second, third} {
		if got := status(t, c); got != http.StatusOK {
			t.Errorf("a request in progress got status %d", got)
		}
	}
	for reason, want := range map[string]float64{"Idle": 1, "Head": 1, "Full": 1} {
		if got := s.metric(t, "daisyhead_clients_refused_total", reason); got != want {
			t.Errorf("%v refusals with reason %s, want %v", got, reason, want)
		}
	}
	if diff := cmp.Diff([]string{"ClientsRefused[Listener Test Connections 3 Limit 3 Idle 1]"}, s.log.lines); diff != "" {
		t.Errorf("log (-want +got):\n%s", diff)
	}
}

// TestPartialNextHeadIsNotIdle guards against closing a connection on which the next request is
// being received before one that has been silent since its response.
func TestPartialNextHeadIsNotIdle(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 2})
	first := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status(t, first)
	s.await(t, "idle", 1)
	second := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	status(t, second)
	s.await(t, "idle", 2)
	if _, err := io.WriteString(first, "GET / HTT"); err != nil {
		t.Fatal(err)
	}
	s.await(t, "reading", 1)
	if got := status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
	if got := status(t, second); got != 0 {
		t.Errorf("the idle connection got status %d, want it closed", got)
	}
	if _, err := io.WriteString(first, "P/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got := status(t, first); got != http.StatusOK {
		t.Errorf("the connection with the next request got status %d", got)
	}
}

// TestHeadLines guards against heads within the size limit that take many times their size once
// they are parsed. The lines of a body don't count.
func TestHeadLines(t *testing.T) {
	s := start(t, gatekeeper.Limits{HeadLines: 20, BodyBytes: 1000, BodyTimeout: 5 * time.Second})
	if got := status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 30)+"\r\n")); got != http.StatusBadRequest {
		t.Errorf("a head with many lines got status %d, want 400", got)
	}
	c := s.dial(t, "")
	for range 3 {
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"+strings.Repeat("\n", 100)); err != nil {
			t.Fatal(err)
		}
		if got := status(t, c); got != http.StatusOK {
			t.Errorf("a body with many lines got status %d", got)
		}
	}
}

// TestBodies guards against bodies that are too large, that together need too much memory, or
// that arrive too slowly. A small body is served while large ones take all memory.
func TestBodies(t *testing.T) {
	s := start(t, gatekeeper.Limits{BodyBytes: 64 << 10, BodyMemory: 256 << 10, BodyTimeout: 2 * time.Second})
	post := func(length int, body string) net.Conn {
		return s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body))
	}
	if got := status(t, post(64<<10+1, "")); got != http.StatusRequestEntityTooLarge {
		t.Errorf("a body over the limit got status %d, want 413", got)
	}
	s.await(t, "active", 0)
	slow := post(64<<10, "x")
	// The slow body takes all of the memory for large ones.
	s.awaitMemory(t, "large", 192<<10)
	if got := status(t, post(64<<10, "")); got != http.StatusServiceUnavailable {
		t.Errorf("a body without memory got status %d, want 503", got)
	}
	if got := status(t, post(3, "abc")); got != http.StatusOK {
		t.Errorf("a small body got status %d, want 200", got)
	}
	if got := status(t, slow); got != http.StatusBadRequest {
		t.Errorf("a slow body got status %d, want 400", got)
	}
	if got := status(t, post(64<<10, strings.Repeat("x", 64<<10))); got != http.StatusOK {
		t.Errorf("a body of the largest size got status %d, want 200", got)
	}
}

// TestSlowBodiesLeaveConnections guards against slow bodies that take all connections, or all
// places of bodies of the other size.
func TestSlowBodiesLeaveConnections(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 12, BodyBytes: 64 << 10, BodyMemory: 16 << 20, HeadTimeout: 2 * time.Second, BodyTimeout: 10 * time.Second})
	post := func(length int, body string) net.Conn {
		return s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body))
	}
	var slow []net.Conn
	for range 8 {
		slow = append(slow, post(10, "x"))
	}
	s.awaitMemory(t, "small", 8*4<<10)
	for range 12 {
		if got := status(t, post(10, "x")); got != http.StatusServiceUnavailable {
			t.Errorf("a small body beside slow ones got status %d, want 503", got)
		}
	}
	if got := status(t, post(20<<10, strings.Repeat("x", 20<<10))); got != http.StatusOK {
		t.Errorf("a large body beside slow small ones got status %d, want 200", got)
	}
	if got := status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")); got != http.StatusOK {
		t.Errorf("a request beside slow bodies got status %d, want 200", got)
	}
	for _, c := range slow {
		if got := status(t, c); got != http.StatusBadRequest {
			t.Errorf("a slow small body got status %d, want 400", got)
		}
	}
	if got := status(t, post(10, "0123456789")); got != http.StatusOK {
		t.Errorf("a small body after the slow ones got status %d, want 200", got)
	}
}

// TestLongAnswer guards against the time limit of a body that ends the request's context while
// the request is served.
func TestLongAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := gatekeeper.New("Test", gatekeeper.Limits{BodyBytes: 100, BodyTimeout: 100 * time.Millisecond}, nil)
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusTeapot)
		case <-time.After(300 * time.Millisecond):
		}
	})}
	g.Protect(h)
	go func() { _ = h.Serve(g.Listener(listener)) }()
	defer h.Close()
	s := &server{address: listener.Addr().String()}
	if got := status(t, s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
}

// lateHead is a connection that delivers a whole head once it has been closed, as if the head had
// been read just before.
type lateHead struct {
	net.Conn
	once   sync.Once
	closed chan struct{}
	head   *strings.Reader
}

func (c *lateHead) Read(p []byte) (int, error) {
	<-c.closed
	return c.head.Read(p)
}

func (c *lateHead) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

func (c *lateHead) Write(p []byte) (int, error) { return len(p), nil }

func (c *lateHead) SetReadDeadline(time.Time) error { return nil }

// scriptedListener returns the connections of a channel.
type scriptedListener struct {
	net.Listener
	conns chan net.Conn
}

func (l scriptedListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// TestRequestOfClosedConnectionHasNoEffect guards against a submission that is executed although
// its connection was closed to make room, so that its caller gets no response.
func TestRequestOfClosedConnectionHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	served := make(chan string, 2)
	g := gatekeeper.New("Test", gatekeeper.Limits{Connections: 1}, nil)
	h := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served <- r.URL.Path })}
	g.Protect(h)
	conns := make(chan net.Conn)
	go func() { _ = h.Serve(g.Listener(scriptedListener{listener, conns})) }()
	defer h.Close()
	newConn := func(path string) *lateHead {
		raw, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { raw.Close() })
		return &lateHead{Conn: raw, closed: make(chan struct{}), head: strings.NewReader("POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")}
	}
	first, second := newConn("/first"), newConn("/second")
	second.Close()
	conns <- first
	conns <- second
	if got := <-served; got != "/second" {
		t.Errorf("%s was served", got)
	}
	select {
	case got := <-served:
		t.Errorf("%s was served too", got)
	case <-time.After(200 * time.Millisecond):
	}
	close(conns)
}
