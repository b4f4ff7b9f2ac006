package gatekeeper_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sys/unix"

	"daisyhead/internal/entry/gatekeeper"
)

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestRefusedHeadMakesRoom guards against a server that refuses callers because of connections
// whose head was refused, which stay open for some time.
func TestRefusedHeadMakesRoom(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 1, HeadBytes: 16 << 10, HeadLines: 4096})
	for range 3 {
		if got := status(t, s.dial(t, "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 64<<10))); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("a head over the limit got status %d, want 431", got)
		}
		if got := status(t, s.dial(t, get)); got != http.StatusOK {
			t.Errorf("a request after it got status %d, want 200", got)
		}
	}
}

// slowServer is a connection whose bytes have arrived, but are read by the server only once ready
// is closed.
type slowServer struct {
	*net.TCPConn
	ready chan struct{}
}

func (c slowServer) Read(p []byte) (int, error) {
	<-c.ready
	return c.TCPConn.Read(p)
}

// TestArrivedHeadIsNotClosed guards against a full server that closes the connection of a caller
// whose head it has not read yet.
func TestArrivedHeadIsNotClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	s := &server{address: listener.Addr().String()}
	g := gatekeeper.New("Test", gatekeeper.Limits{Connections: 2}, nil)
	h := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	g.Protect(h)
	conns := make(chan net.Conn)
	go func() { _ = h.Serve(g.Listener(scriptedListener{listener, conns})) }()
	defer h.Close()
	accept := func(text string) (client net.Conn, accepted *net.TCPConn) {
		client = s.dial(t, text)
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return client, c.(*net.TCPConn)
	}

	ready := make(chan struct{})
	ordinary, accepted := accept(get)
	// The bytes must have arrived before the next connections are accepted.
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if n, err := unreadBytes(accepted); err != nil || n == len(get) {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the request has not arrived")
		}
	}
	conns <- slowServer{accepted, ready}
	for range 5 {
		_, silent := accept("")
		conns <- silent
	}
	close(ready)
	if got := status(t, ordinary); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	close(conns)
}

// TestNewConnectionHasTimeForItsHead guards against a full server that closes a connection before
// its client can have sent anything.
func TestNewConnectionHasTimeForItsHead(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 1})
	began := time.Now()
	silent := s.dial(t, "")
	if got := status(t, s.dial(t, get)); got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if took := time.Since(began); took < 5*time.Millisecond {
		t.Errorf("a new connection was closed after %s", took)
	}
	if got := status(t, silent); got != 0 {
		t.Errorf("the silent connection got status %d, want it closed", got)
	}
}

// TestUnreadResponseMakesRoom guards against clients that send requests, read no responses and take
// all connections.
func TestUnreadResponseMakesRoom(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 1})
	s.dial(t, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n")
	s.await(t, "active", 1)
	// A busy machine may take long to fill the buffers of the connection.
	got := 0
	for until := time.Now().Add(10 * time.Second); got != http.StatusOK && time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		got = status(t, s.dial(t, get))
	}
	if got != http.StatusOK {
		t.Errorf("status %d, want 200", got)
	}
	if got := s.metric(t, "daisyhead_clients_refused_total", "Unread"); got != 1 {
		t.Errorf("%v connections were closed because of unread responses, want 1", got)
	}
}

// TestArrivedBodiesNeedNoPlace guards against slow bodies that keep ordinary submissions out, whose
// bodies arrive with their heads.
func TestArrivedBodiesNeedNoPlace(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 12, BodyBytes: 64 << 10, BodyMemory: 16 << 20, HeadTimeout: 5 * time.Second, BodyTimeout: 10 * time.Second})
	post := func(length int, body string) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
	}
	for range 8 {
		s.dial(t, post(10, "x"))
	}
	s.awaitMemory(t, "small", 8*4<<10)
	for _, body := range []string{"0123456789", strings.Repeat("x", 10<<10)} {
		c := s.dial(t, post(len(body), body))
		if got := status(t, c); got != http.StatusOK {
			t.Errorf("a body of %d bytes got status %d, want 200", len(body), got)
		}
		if _, err := io.WriteString(c, post(len(body), body)); err != nil {
			t.Fatal(err)
		}
		if got := status(t, c); got != http.StatusOK {
			t.Errorf("the second body of %d bytes got status %d, want 200", len(body), got)
		}
	}
	if got := status(t, s.dial(t, post(10, "x"))); got != http.StatusServiceUnavailable {
		t.Errorf("a body that has not arrived got status %d, want 503", got)
	}
}

// TestRefusedBodiesLeaveNoGoroutines guards against refused requests that each take memory for some
// time after their response.
func TestRefusedBodiesLeaveNoGoroutines(t *testing.T) {
	const connections = 4
	s := start(t, gatekeeper.Limits{Connections: connections, BodyBytes: 1000})
	before := runtime.NumGoroutine()
	var got []int
	for range 200 {
		c := s.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1099511627776\r\n\r\n")
		got = append(got, status(t, c))
		c.Close()
	}
	goroutines := runtime.NumGoroutine() - before
	want := make([]int, len(got))
	for i := range want {
		want[i] = http.StatusRequestEntityTooLarge
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
	// Each connection may have one goroutine, and another one while the server releases it.
	if limit := 2*connections + 10; goroutines > limit {
		t.Errorf("%d more goroutines, want %d at most", goroutines, limit)
	}
}

// TestRefusedConnectionGetsResponse guards against a refusal that the client can't read because its
// connection is reset.
func TestRefusedConnectionGetsResponse(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 1})
	s.dial(t, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	s.await(t, "active", 1)
	for range 3 {
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		for range 5 {
			if _, err := io.WriteString(c, strings.Repeat("x", 1000)); err != nil {
				t.Errorf("the connection was reset while the request was sent: %v", err)
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if got := status(t, c); got != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", got)
		}
	}
	close(s.release)
}

// TestIgnoredBodyMakesRoom guards against a server that refuses callers because of connections
// on which it still receives a body that the handler did not need.
func TestIgnoredBodyMakesRoom(t *testing.T) {
	s := start(t, gatekeeper.Limits{Connections: 1, BodyBytes: 1000, BodyTimeout: 5 * time.Second})
	s.dial(t, "POST /ignore HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n")
	<-s.ignored
	if got := status(t, s.dial(t, get)); got != http.StatusOK {
		t.Errorf("a request after it got status %d, want 200", got)
	}
}

// TestStreamsHaveNoBodyLimits guards against limits of bodies that are passed on as they arrive.
func TestStreamsHaveNoBodyLimits(t *testing.T) {
	s := start(t, gatekeeper.Limits{BodyBytes: 10, BodyMemory: 64 << 10, Streams: func(r *http.Request) bool { return r.URL.Path == "/stream" }})
	for path, want := range map[string]int{"/stream": http.StatusOK, "/": http.StatusRequestEntityTooLarge} {
		if got := status(t, s.dial(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\n"+strings.Repeat("x", 20))); got != want {
			t.Errorf("%s: status %d, want %d", path, got, want)
		}
	}
}

// unreadBytes returns the number of bytes that have arrived on a connection.
func unreadBytes(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
