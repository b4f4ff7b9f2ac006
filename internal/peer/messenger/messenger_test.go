package messenger_test

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"testing"
	"time"

	"daisyhead/internal/peer/encoder"
	"daisyhead/internal/peer/messenger"
	"daisyhead/internal/product/keymaker"
)

// handler sends heartbeats with its name and stores those that it receives.
type handler struct {
	name     string
	received chan encoder.Heartbeat
}

func (h handler) CurrentHeartbeat() encoder.Heartbeat {
	return encoder.Heartbeat{Name: h.name, Term: 7}
}

func (h handler) HandleHeartbeat(b encoder.Heartbeat) {
	select {
	case h.received <- b:
	default:
	}
}

func (h handler) EncodedState() (data []byte, next uint64, err error) {
	return []byte("state"), 42, nil
}

// startMessenger starts a messenger on a free port that runs until the test ends.
// certificate is the name in its certificate, name the one in its heartbeats.
func startMessenger(t *testing.T, authority *keymaker.Authority, certificate, name string) (*messenger.Messenger, handler, string) {
	t.Helper()
	l, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.LocalAddr().String()
	_ = l.Close()
	pair, err := authority.Certificate(certificate, []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	tls, err := keymaker.TLS(pair, authority.Pair.Certificate)
	if err != nil {
		t.Fatal(err)
	}
	m, err := messenger.Listen(messenger.Config{Name: name, Address: address, TLS: tls, Interval: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	h := handler{name: name, received: make(chan encoder.Heartbeat, 16)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx, h)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return m, h, address
}

func newAuthority(t *testing.T) *keymaker.Authority {
	t.Helper()
	a, err := keymaker.NewAuthority("test")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestHeartbeatsAndState(t *testing.T) {
	authority := newAuthority(t)
	a, _, _ := startMessenger(t, authority, "a", "a")
	_, hb, address := startMessenger(t, authority, "b", "b")
	a.SetPeers([]messenger.Peer{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: address}})
	if got := <-hb.received; got.Name != "a" || got.Term != 7 {
		t.Errorf("received %+v", got)
	}
	data, reply, err := a.FetchState(t.Context())
	if err != nil || string(data) != "state" || reply.Next != 42 {
		t.Errorf("state %q before %d, %v", data, reply.Next, err)
	}
}

// TestHeartbeatsOfUntrustedPeersAreIgnored starts one peer whose certificate is from
// another authority, and one whose heartbeats have another name than its
// certificate. Both send until several heartbeats of a valid peer are received.
func TestHeartbeatsOfUntrustedPeersAreIgnored(t *testing.T) {
	authority := newAuthority(t)
	_, h, address := startMessenger(t, authority, "b", "b")
	peers := []messenger.Peer{{Name: "b", Address: address}}
	foreign, _, _ := startMessenger(t, newAuthority(t), "a", "foreign")
	foreign.SetPeers(peers)
	impostor, _, _ := startMessenger(t, authority, "a", "liar")
	impostor.SetPeers(peers)
	valid, _, _ := startMessenger(t, authority, "proper", "proper")
	valid.SetPeers(peers)
	for range 10 {
		if got := <-h.received; got.Name != "proper" {
			t.Fatalf("received %+v", got)
		}
	}
}

// TestUnfinishedHandshakesAreFew guards against clients that begin connections and never complete
// their handshake, each of which takes memory. A peer still connects.
func TestUnfinishedHandshakesAreFew(t *testing.T) {
	authority := newAuthority(t)
	_, h, address := startMessenger(t, authority, "b", "b")
	c, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	before := runtime.NumGoroutine()
	for n := range 2000 {
		// The first packet of a connection of version 1, with IDs of eight bytes, no token and a
		// content that can't be decrypted.
		packet := make([]byte, 1200)
		copy(packet, []byte{0xc3, 0, 0, 0, 1, 8})
		binary.BigEndian.PutUint64(packet[6:], uint64(n)+1)
		packet[14] = 8
		copy(packet[24:], []byte{0x44, 0x90})
		if _, err := c.Write(packet); err != nil {
			t.Fatal(err)
		}
		if n%100 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(100 * time.Millisecond)
	// Each handshake takes up to three goroutines.
	if n := runtime.NumGoroutine() - before; n > 250 {
		t.Errorf("%d more goroutines, want 250 at most", n)
	}
	valid, _, _ := startMessenger(t, authority, "proper", "proper")
	valid.SetPeers([]messenger.Peer{{Name: "b", Address: address}})
	select {
	case got := <-h.received:
		if got.Name != "proper" {
			t.Errorf("received %+v", got)
		}
	case <-time.After(10 * time.Second):
		t.Error("no heartbeat was received")
	}
}
