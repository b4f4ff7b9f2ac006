// Package messenger exchanges messages between instances over QUIC with mutual TLS.
// It sends heartbeats to all known peers and provides the control state to an
// instance that starts while the log is unavailable.
//
//	m, err := messenger.Listen(messenger.Config{Name: "entry-1", Address: "127.0.0.1:7301", TLS: tls})
//	m.SetPeers([]messenger.Peer{{Name: "entry-2", Address: "127.0.0.1:7302"}})
//	m.Run(ctx, handler)
package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"daisyhead/internal/peer/encoder"
)

// ALPNProtocol is the TLS application protocol on which both ends of a connection
// must agree.
const ALPNProtocol = "daisyhead/1"

// Timeouts and limits of connections.
const (
	sendTimeout  = time.Second
	stateTimeout = 30 * time.Second
	idleTimeout  = 10 * time.Second
	maxStreams   = 32
)

// Peer is the name and the address of another instance.
type Peer struct {
	Name    string
	Address string
}

// Config identifies the instance and sets the interval of its heartbeats.
type Config struct {
	Name    string
	Address string
	// TLS contains the instance's certificate. Its RootCAs and ClientCAs contain the
	// certificate authority of all instances.
	TLS *tls.Config
	// Interval is the time between heartbeats.
	Interval time.Duration
}

// Handler provides the messages to send and handles those that are received.
type Handler interface {
	// CurrentHeartbeat returns the current heartbeat to send to the peers.
	CurrentHeartbeat() encoder.Heartbeat
	// HandleHeartbeat handles a peer's heartbeat.
	HandleHeartbeat(encoder.Heartbeat)
	// EncodedState returns the encoded state and the offset of the first ledger
	// record that it doesn't include.
	EncodedState() (data []byte, next uint64, err error)
}

// Messenger exchanges messages with the peers.
type Messenger struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener
	// handshakes are those of incoming connections.
	handshakes handshakes

	mu    sync.Mutex
	peers map[string]*link

	bytesOut atomic.Uint64
	bytesIn  atomic.Uint64
}

// link is the outgoing connection to a peer, which is dialed when it is needed.
type link struct {
	peer Peer
	// sending is set while a heartbeat is being sent. Later heartbeats are skipped
	// meanwhile.
	sending atomic.Bool
	mu      sync.Mutex
	conn    *quic.Conn
}

// Listen starts listening on the address in cfg. Run accepts the connections.
func Listen(cfg Config) (m *Messenger, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "listen for peers on %s", cfg.Address)
		}
	}()
	addr, err := net.ResolveUDPAddr("udp", cfg.Address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, err
	}
	m = &Messenger{cfg: cfg, peers: map[string]*link{}}
	m.handshakes.isPeer = m.isPeer
	m.transport = &quic.Transport{Conn: conn, VerifySourceAddress: m.handshakes.mustVerify, ConnContext: m.handshakes.begin}
	m.listener, err = m.transport.Listen(m.tlsConfig(""), quicConfig())
	if err != nil {
		return nil, errors.CombineErrors(err, conn.Close())
	}
	return m, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: 2 * time.Second, MaxIdleTimeout: idleTimeout, KeepAlivePeriod: idleTimeout / 3,
		MaxIncomingStreams: maxStreams, MaxIncomingUniStreams: maxStreams,
	}
}

// tlsConfig returns the TLS configuration of both ends of a connection. server is the
// name that the peer's certificate must have, and is empty for the listener.
func (m *Messenger) tlsConfig(server string) *tls.Config {
	c := m.cfg.TLS.Clone()
	c.NextProtos = []string{ALPNProtocol}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.MinVersion = tls.VersionTLS13
	c.ServerName = server
	return c
}

// Traffic returns the total bytes of heartbeats sent and received.
func (m *Messenger) Traffic() (out, in uint64) { return m.bytesOut.Load(), m.bytesIn.Load() }

// SetPeers replaces the set of peers to send heartbeats to. Connections to removed
// or changed peers are closed.
func (m *Messenger) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := map[string]*link{}
	for _, p := range peers {
		if p.Name == m.cfg.Name {
			continue
		}
		if old, ok := m.peers[p.Name]; ok && old.peer == p {
			next[p.Name] = old
			continue
		}
		next[p.Name] = &link{peer: p}
	}
	for name, old := range m.peers {
		if next[name] != old {
			// close waits for a dial in progress.
			go old.close("peer removed")
		}
	}
	m.peers = next
}

// isPeer reports whether an address is that of a peer, which also sends from there.
func (m *Messenger) isPeer(addr net.Addr) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.peers {
		if l.peer.Address == addr.String() {
			return true
		}
	}
	return false
}

func (m *Messenger) links() []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := make([]*link, 0, len(m.peers))
	for _, l := range m.peers {
		links = append(links, l)
	}
	return links
}

// Run sends and receives messages until ctx is done, then closes all connections.
func (m *Messenger) Run(ctx context.Context, h Handler) {
	go m.accept(ctx, h)
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	for {
		m.SendHeartbeats(ctx, h)
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-ticker.C:
		}
	}
}

// SendHeartbeats starts sending a heartbeat to every peer, without waiting for the
// next interval. It skips peers to which a heartbeat is still being sent.
func (m *Messenger) SendHeartbeats(ctx context.Context, h Handler) {
	heartbeat := h.CurrentHeartbeat()
	data, err := encoder.Encode(encoder.Message{Heartbeat: &heartbeat})
	if err != nil {
		return
	}
	for _, l := range m.links() {
		if l.sending.CompareAndSwap(false, true) {
			go m.sendHeartbeat(ctx, l, data)
		}
	}
}

func (m *Messenger) close() {
	for _, l := range m.links() {
		l.close("instance stopped")
	}
	_ = m.listener.Close()
	_ = m.transport.Close()
	_ = m.transport.Conn.Close()
}

func (l *link) close(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.CloseWithError(0, reason)
		l.conn = nil
	}
}

// sendHeartbeat sends an encoded heartbeat to the peer. It closes the connection if
// that fails, so that the next heartbeat dials a new one.
func (m *Messenger) sendHeartbeat(ctx context.Context, l *link, data []byte) {
	defer l.sending.Store(false)
	sctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := m.writeToPeer(sctx, l, data); err != nil {
		l.close("send failed")
		return
	}
	m.bytesOut.Add(uint64(len(data)))
}

// writeToPeer writes data to a new stream of the peer's connection.
func (m *Messenger) writeToPeer(ctx context.Context, l *link, data []byte) error {
	conn, err := m.connect(ctx, l)
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		return err
	}
	if _, err := stream.Write(data); err != nil {
		return err
	}
	return stream.Close()
}

// connect returns the open connection of the link, or dials a new one.
func (m *Messenger) connect(ctx context.Context, l *link) (*quic.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil
	}
	addr, err := net.ResolveUDPAddr("udp", l.peer.Address)
	if err != nil {
		return nil, err
	}
	conn, err := m.transport.Dial(ctx, addr, m.tlsConfig(l.peer.Name), quicConfig())
	if err != nil {
		return nil, err
	}
	l.conn = conn
	return conn, nil
}

// accept receives messages from each connection that a peer opens, until the listener
// is closed or ctx is done.
func (m *Messenger) accept(ctx context.Context, h Handler) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		m.handshakes.end(conn)
		go m.receiveHeartbeats(ctx, conn, h)
		go m.acceptStateRequests(ctx, conn, h)
	}
}

// peerName returns the common name of the peer's certificate.
func peerName(conn *quic.Conn) string {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

// receiveHeartbeats passes the connection's heartbeats to the handler. It ignores
// those with a name other than the one in the peer's certificate.
func (m *Messenger) receiveHeartbeats(ctx context.Context, conn *quic.Conn, h Handler) {
	name := peerName(conn)
	for {
		stream, err := conn.AcceptUniStream(ctx)
		if err != nil {
			return
		}
		_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
		message, size, err := encoder.Read(stream)
		if err != nil || message.Heartbeat == nil || message.Heartbeat.Name != name {
			stream.CancelRead(1)
			continue
		}
		m.bytesIn.Add(uint64(size))
		h.HandleHeartbeat(*message.Heartbeat)
	}
}

// acceptStateRequests serves each StateRequest of the connection in a goroutine.
func (m *Messenger) acceptStateRequests(ctx context.Context, conn *quic.Conn, h Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.serveState(stream, h)
	}
}

// serveState answers a StateRequest with the length of the encoded StateReply, as
// two bytes in big-endian order, the StateReply, and the encoded state.
func (m *Messenger) serveState(stream *quic.Stream, h Handler) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(stateTimeout))
	message, _, err := encoder.Read(stream)
	if err != nil || message.StateRequest == nil {
		stream.CancelWrite(1)
		return
	}
	data, next, err := h.EncodedState()
	if err != nil {
		stream.CancelWrite(2)
		return
	}
	reply := &encoder.StateReply{Next: next, Hash: xxhash.Sum64(data), Size: len(data)}
	header, err := encoder.Encode(encoder.Message{StateReply: reply})
	if err != nil {
		stream.CancelWrite(2)
		return
	}
	_, _ = stream.Write([]byte{byte(len(header) >> 8), byte(len(header))})
	_, _ = stream.Write(header)
	_, _ = stream.Write(data)
}

// FetchState requests the state from one peer after the other and returns the first
// one that is received completely.
func (m *Messenger) FetchState(ctx context.Context) (data []byte, reply encoder.StateReply, err error) {
	err = errors.New("no peers are known")
	for _, l := range m.links() {
		data, reply, err = m.fetchFrom(ctx, l)
		if err == nil {
			return data, reply, nil
		}
	}
	return nil, encoder.StateReply{}, errors.Wrap(err, "fetch state from a peer")
}

// fetchFrom requests the state from one peer.
func (m *Messenger) fetchFrom(ctx context.Context, l *link) (data []byte, reply encoder.StateReply, err error) {
	fctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	conn, err := m.connect(fctx, l)
	if err != nil {
		return nil, reply, err
	}
	stream, err := conn.OpenStreamSync(fctx)
	if err != nil {
		return nil, reply, err
	}
	_ = stream.SetDeadline(time.Now().Add(stateTimeout))
	request, err := encoder.Encode(encoder.Message{StateRequest: &encoder.StateRequest{}})
	if err != nil {
		return nil, reply, err
	}
	if _, err := stream.Write(request); err != nil {
		return nil, reply, err
	}
	if err := stream.Close(); err != nil {
		return nil, reply, err
	}
	return readState(stream)
}

// readState reads the reply and the state that serveState writes, and verifies the
// state's checksum.
func readState(r io.Reader) (data []byte, reply encoder.StateReply, err error) {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, reply, err
	}
	header := make([]byte, int(length[0])<<8|int(length[1]))
	if _, err := io.ReadFull(r, header); err != nil {
		return nil, reply, err
	}
	message, err := encoder.Decode(header)
	if err != nil || message.StateReply == nil {
		return nil, reply, errors.CombineErrors(encoder.ErrMalformed, err)
	}
	reply = *message.StateReply
	if reply.Size < 0 || reply.Size > encoder.MaxStateBytes {
		return nil, reply, errors.Wrapf(encoder.ErrMalformed, "invalid state size of %d bytes", reply.Size)
	}
	data = make([]byte, reply.Size)
	if _, err := io.ReadFull(r, data); err != nil {
		return nil, reply, err
	}
	if xxhash.Sum64(data) != reply.Hash {
		return nil, reply, errors.Wrap(encoder.ErrMalformed, "the checksum does not match")
	}
	return data, reply, nil
}
