// Package messenger carries the inner protocol between instances over QUIC with
// mutual TLS. It sends heartbeats to every known peer and hands the folded
// state to an instance that starts while the log is down.
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

// Protocol is the name that both ends must agree on.
const Protocol = "daisyhead/1"

// Time limits and bounds of connections.
const (
	sendTimeout  = time.Second
	stateTimeout = 30 * time.Second
	idleTimeout  = 10 * time.Second
	maxStreams   = 32
)

// Peer is another instance.
type Peer struct {
	Name    string
	Address string
}

// Config holds the instance's identity.
type Config struct {
	Name    string
	Address string
	// TLS has the instance's certificate and, as roots and client roots, the
	// certificate authority of all instances.
	TLS *tls.Config
	// Interval is the time between heartbeats.
	Interval time.Duration
}

// Handler supplies and takes messages.
type Handler interface {
	// Heartbeat returns what to tell the peers now.
	Heartbeat() encoder.Heartbeat
	// Heard takes a peer's heartbeat.
	Heard(encoder.Heartbeat)
	// State returns the encoded state and the offset that it reaches.
	State() (data []byte, next uint64, err error)
}

// Messenger sends and receives messages.
type Messenger struct {
	cfg       Config
	transport *quic.Transport
	listener  *quic.Listener

	mu    sync.Mutex
	peers map[string]*link

	bytesOut atomic.Uint64
	bytesIn  atomic.Uint64
}

// link is the outgoing side to one peer.
type link struct {
	peer Peer
	busy atomic.Bool
	mu   sync.Mutex
	conn *quic.Conn
}

// Listen binds the address.
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
	m = &Messenger{cfg: cfg, transport: &quic.Transport{Conn: conn}, peers: map[string]*link{}}
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

func (m *Messenger) tlsConfig(server string) *tls.Config {
	c := m.cfg.TLS.Clone()
	c.NextProtos = []string{Protocol}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.MinVersion = tls.VersionTLS13
	c.ServerName = server
	return c
}

// Traffic returns the bytes of messages sent and received so far.
func (m *Messenger) Traffic() (out, in uint64) { return m.bytesOut.Load(), m.bytesIn.Load() }

// SetPeers replaces the set of peers that heartbeats go to.
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
			go old.close("peer removed")
		}
	}
	m.peers = next
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

// Run sends and receives until the context ends, then closes all connections.
func (m *Messenger) Run(ctx context.Context, h Handler) {
	go m.accept(ctx, h)
	ticker := time.NewTicker(m.cfg.Interval)
	defer ticker.Stop()
	for {
		m.Announce(ctx, h)
		select {
		case <-ctx.Done():
			m.close()
			return
		case <-ticker.C:
		}
	}
}

// Announce sends a heartbeat to every peer at once.
func (m *Messenger) Announce(ctx context.Context, h Handler) {
	heartbeat := h.Heartbeat()
	data, err := encoder.Encode(encoder.Message{Heartbeat: &heartbeat})
	if err != nil {
		return
	}
	for _, l := range m.links() {
		if l.busy.CompareAndSwap(false, true) {
			go m.send(ctx, l, data)
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

func (m *Messenger) send(ctx context.Context, l *link, data []byte) {
	defer l.busy.Store(false)
	sctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := m.trySend(sctx, l, data); err != nil {
		l.close("send failed")
		return
	}
	m.bytesOut.Add(uint64(len(data)))
}

func (m *Messenger) trySend(ctx context.Context, l *link, data []byte) error {
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

func (m *Messenger) accept(ctx context.Context, h Handler) {
	for {
		conn, err := m.listener.Accept(ctx)
		if err != nil {
			return
		}
		go m.acceptHeartbeats(ctx, conn, h)
		go m.acceptRequests(ctx, conn, h)
	}
}

// peerName returns the name that the peer's certificate proves.
func peerName(conn *quic.Conn) string {
	certs := conn.ConnectionState().TLS.PeerCertificates
	if len(certs) == 0 {
		return ""
	}
	return certs[0].Subject.CommonName
}

func (m *Messenger) acceptHeartbeats(ctx context.Context, conn *quic.Conn, h Handler) {
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
		h.Heard(*message.Heartbeat)
	}
}

func (m *Messenger) acceptRequests(ctx context.Context, conn *quic.Conn, h Handler) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		go m.serveState(stream, h)
	}
}

func (m *Messenger) serveState(stream *quic.Stream, h Handler) {
	defer stream.Close()
	_ = stream.SetDeadline(time.Now().Add(stateTimeout))
	message, _, err := encoder.Read(stream)
	if err != nil || message.StateRequest == nil {
		stream.CancelWrite(1)
		return
	}
	data, next, err := h.State()
	if err != nil {
		stream.CancelWrite(2)
		return
	}
	reply := &encoder.StateReply{Next: next, Hash: xxhash.Sum64(data), Size: len(data)}
	head, err := encoder.Encode(encoder.Message{StateReply: reply})
	if err != nil {
		stream.CancelWrite(2)
		return
	}
	_, _ = stream.Write([]byte{byte(len(head) >> 8), byte(len(head))})
	_, _ = stream.Write(head)
	_, _ = stream.Write(data)
}

// FetchState asks the peers in turn for the state and returns the first that
// arrives whole.
func (m *Messenger) FetchState(ctx context.Context) (data []byte, reply encoder.StateReply, err error) {
	err = errors.New("no peer is known")
	for _, l := range m.links() {
		data, reply, err = m.fetchFrom(ctx, l)
		if err == nil {
			return data, reply, nil
		}
	}
	return nil, encoder.StateReply{}, errors.Wrap(err, "fetch state from a peer")
}

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

func readState(r io.Reader) (data []byte, reply encoder.StateReply, err error) {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return nil, reply, err
	}
	head := make([]byte, int(length[0])<<8|int(length[1]))
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, reply, err
	}
	message, err := encoder.Decode(head)
	if err != nil || message.StateReply == nil {
		return nil, reply, errors.CombineErrors(encoder.ErrMalformed, err)
	}
	reply = *message.StateReply
	if reply.Size < 0 || reply.Size > encoder.MaxStateBytes {
		return nil, reply, errors.Wrapf(encoder.ErrMalformed, "state of %d bytes", reply.Size)
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
