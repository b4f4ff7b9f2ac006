package messenger

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
)

const (
	// maxHandshakes is the number of handshakes of clients that are not known as peers, and that
	// may be in progress at a time.
	maxHandshakes = 64
	// maxUnverifiedHandshakes is the number of handshakes from which on clients must prove that they
	// receive at their address, which takes a further round trip.
	maxUnverifiedHandshakes = 16
)

var errTooManyHandshakes = errors.New("too many handshakes are in progress")

// handshakes counts the handshakes in progress. Each takes memory, before the client has shown a
// certificate.
type handshakes struct {
	// isPeer reports whether an address is that of a known peer.
	isPeer func(net.Addr) bool

	mu    sync.Mutex
	count int
}

// mustVerify implements quic.Transport.VerifySourceAddress.
func (h *handshakes) mustVerify(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.count >= maxUnverifiedHandshakes
}

// handshakeKey is the key of the function that ends a handshake in the context of its connection.
type handshakeKey struct{}

// begin implements quic.Transport.ConnContext. Peers whose address is verified are always admitted, so
// that others can't keep them out.
func (h *handshakes) begin(ctx context.Context, client *quic.ClientInfo) (context.Context, error) {
	trusted := client.AddrVerified && h.isPeer(client.RemoteAddr)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.count >= maxHandshakes && !trusted {
		return nil, errTooManyHandshakes
	}
	h.count++
	end := sync.OnceFunc(func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.count--
	})
	context.AfterFunc(ctx, end)
	return context.WithValue(ctx, handshakeKey{}, end), nil
}

// end counts the handshake of a connection as complete.
func (h *handshakes) end(conn *quic.Conn) {
	if end, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		end()
	}
}
