//go:build e2e

package assembler_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"daisyhead/internal/product/configurer"
)

const (
	// crowdConnections is the limit of connections in the settings of the process under test.
	crowdConnections = 64
	// crowdMaxFDs allows two full listeners, refused connections that are still open, and 100
	// others.
	crowdMaxFDs = 2*(crowdConnections+16) + 100
	// crowdMaxMemoryMB is the memory of the node on which an instance runs.
	crowdMaxMemoryMB = 256
	// crowdClients and crowdTime are the size of a crowd and how long it stays.
	crowdClients = 200
	crowdTime    = 2 * time.Second
)

// crowdKinds are loads of clients that nobody controls. Each is called for a new connection again
// and again.
var crowdKinds = map[string]func(c net.Conn){
	"Silent":      func(net.Conn) {},
	"EndlessHead": func(c net.Conn) { repeat(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n", "X-Field: some value\r\n", 4<<20) },
	"EndlessRequestLine": func(c net.Conn) {
		repeat(c, "GET /", strings.Repeat("x", 1000), 4<<20)
	},
	"EndlessBody": func(c net.Conn) {
		repeat(c, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nContent-Length: 1099511627776\r\n\r\n{\"Payload\":\"", strings.Repeat("x", 1000), 64<<20)
	},
	"EndlessChunks": func(c net.Conn) {
		repeat(c, "POST /v1/jobs HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n{\r\n", 4<<20)
	},
	"UnreadResponses": func(c net.Conn) { repeat(c, "", "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", 64<<20) },
}

// repeat writes a text again and again until the server closes the connection or limit bytes have
// been written.
func repeat(c net.Conn, start, text string, limit int) {
	_, err := io.WriteString(c, start)
	for n := 0; err == nil && n < limit; n += len(text) {
		_, err = io.WriteString(c, text)
	}
}

// crowd runs the clients of a kind, which return as soon as their connection is closed, until the
// end of crowdTime.
func crowd(dial func() (net.Conn, error), send func(net.Conn)) {
	var group sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for range crowdClients {
		group.Go(func() {
			for time.Now().Before(until) {
				c, err := dial()
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(until)
				send(c)
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}
		})
	}
	group.Wait()
}

// crowdProbe measures a process.
type crowdProbe struct {
	pid                   int
	peakFDs, peakMemoryMB atomic.Int64
}

// watch records the largest number of descriptors and the largest resident memory until done is
// closed.
func (p *crowdProbe) watch(done <-chan struct{}) {
	for {
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
			p.peakFDs.Store(max(p.peakFDs.Load(), int64(len(entries))))
		}
		if data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid)); err == nil {
			for line := range strings.Lines(string(data)) {
				if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
					kb, _ := strconv.ParseInt(f[1], 10, 64)
					p.peakMemoryMB.Store(max(p.peakMemoryMB.Load(), kb>>10))
				}
			}
		}
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// isServed reports whether an ordinary request gets another response than 503.
func isServed(dial func() (net.Conn, error), path string) bool {
	c, err := dial()
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode != http.StatusServiceUnavailable
}

// TestCrowdsOfClients guards against clients that nobody controls and that end a process, take all of
// its descriptors, or keep ordinary ones out, on the API, on the encrypted admin listener and on the
// one for peers.
func TestCrowdsOfClients(t *testing.T) {
	admin := map[string]string{}
	s := newTestSystem(t, time.Hour, func(c *configurer.Settings) {
		c.Limits.MaxConnections = crowdConnections
		c.Listeners.Admin.CertificateFile, c.Listeners.Admin.KeyFile = c.Peers.CertificateFile, c.Peers.KeyFile
		admin[c.Instance.Name] = c.Listeners.Admin.Address
	})
	name := s.instances[0].Name
	probe := &crowdProbe{pid: s.processes[name].Process.Pid}
	done := make(chan struct{})
	defer close(done)
	go probe.watch(done)
	dialAPI := func() (net.Conn, error) { return net.DialTimeout("tcp", s.apiAddrs[0], 5*time.Second) }
	dialTLS := func() (net.Conn, error) {
		return tls.DialWithDialer(&net.Dialer{Timeout: 5 * time.Second}, "tcp", admin[name], &tls.Config{InsecureSkipVerify: true})
	}
	// Silent clients of the encrypted listener don't even begin the handshake.
	dialAdmin := func() (net.Conn, error) { return net.DialTimeout("tcp", admin[name], 5*time.Second) }
	for _, listener := range []struct {
		name, path           string
		dial, dialUnfinished func() (net.Conn, error)
	}{{"API", "/v1/jobs", dialAPI, dialAPI}, {"Admin", "/healthz", dialTLS, dialAdmin}} {
		for kind, send := range crowdKinds {
			t.Run(listener.name+kind, func(t *testing.T) {
				dial := listener.dial
				if kind == "Silent" {
					dial = listener.dialUnfinished
				}
				var group sync.WaitGroup
				group.Go(func() { crowd(dial, send) })
				time.Sleep(crowdTime / 4)
				served := 0
				for range 10 {
					if isServed(listener.dial, listener.path) {
						served++
					}
				}
				group.Wait()
				t.Logf("%d of 10 ordinary requests beside the crowd were served", served)
				if served == 0 {
					t.Error("no ordinary request was served beside the crowd")
				}
				probe.check(t)
				s.await("an ordinary request is served", 20*time.Second, func() bool { return isServed(listener.dial, listener.path) })
			})
		}
	}
	t.Run("PeersDatagrams", func(t *testing.T) {
		sendDatagrams(t, s.instances[0].PeerAddress)
		probe.check(t)
		s.await("an instance is heard", 20*time.Second, func() bool { return s.holder("") != "" })
	})
}

// check checks that the process runs and has stayed within its bounds.
func (p *crowdProbe) check(t *testing.T) {
	t.Helper()
	if _, err := os.Stat(fmt.Sprintf("/proc/%d/fd/0", p.pid)); err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	memory, fds := p.peakMemoryMB.Load(), p.peakFDs.Load()
	t.Logf("peak memory so far %d MB of %d, peak descriptors %d of %d", memory, crowdMaxMemoryMB, fds, crowdMaxFDs)
	if memory > crowdMaxMemoryMB {
		t.Errorf("%d MB were resident, %d are allowed", memory, crowdMaxMemoryMB)
	}
	if fds > crowdMaxFDs {
		t.Errorf("%d descriptors were open, %d are allowed", fds, crowdMaxFDs)
	}
}

// sendDatagrams sends datagrams to the QUIC listener from many ports: first packets of a connection,
// whose rest never comes, and random bytes.
func sendDatagrams(t *testing.T, address string) {
	t.Helper()
	var group sync.WaitGroup
	until := time.Now().Add(crowdTime)
	for n := range 20 {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			c, err := net.Dial("udp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			for time.Now().Before(until) {
				packet := make([]byte, 1200)
				for i := range packet {
					packet[i] = byte(rng.Uint32())
				}
				if rng.IntN(2) == 0 {
					// Version 1, and IDs of eight bytes.
					copy(packet, []byte{0xc3, 0, 0, 0, 1, 8})
					packet[14] = 8
				}
				_, _ = c.Write(packet)
			}
		})
	}
	group.Wait()
}
