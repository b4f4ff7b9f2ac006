package demonstrator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/platform/lister"
	"daisyhead/internal/product/assembler"
	"daisyhead/internal/product/configurer"
	"daisyhead/internal/product/keymaker"
	"daisyhead/internal/standin/logkeeper"
	"daisyhead/internal/standin/registrar"
)

// platform holds the stand-ins of the platform's services.
type platform struct {
	log         *logkeeper.Keeper
	list        *registrar.Registrar
	logAddress  string
	listAddress string
	servers     []*http.Server
}

func startPlatform() (p *platform, err error) {
	p = &platform{log: logkeeper.New(logkeeper.Config{Retention: time.Hour}), list: registrar.New(time.Second)}
	if p.logAddress, err = p.serve(p.log); err != nil {
		return nil, err
	}
	p.listAddress, err = p.serve(p.list)
	return p, err
}

func (p *platform) serve(h http.Handler) (address string, err error) {
	server, address, err := serveLoopback(h, nil)
	if err != nil {
		return "", err
	}
	p.servers = append(p.servers, server)
	return address, nil
}

func (p *platform) stop() {
	for _, s := range p.servers {
		_ = s.Close()
	}
}

// serveLoopback serves a handler on a free port.
func serveLoopback(h http.Handler, state func(net.Conn, http.ConnState)) (s *http.Server, address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s = &http.Server{Handler: h, ConnState: state, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// node is one running instance.
type node struct {
	instance *assembler.Instance
	settings configurer.Settings
	tls      *tls.Config
	api      string
	stop     context.CancelFunc
	done     chan struct{}
	dead     bool
}

// cluster holds the instances.
type cluster struct {
	mu    sync.Mutex
	nodes []*node
}

// instanceCount is how many instances a demonstration runs.
const instanceCount = 3

func startCluster(p *platform, domains []specifier.Domain) (c *cluster, err error) {
	authority, err := keymaker.NewAuthority("daisyhead demonstration")
	if err != nil {
		return nil, err
	}
	c = &cluster{}
	var listed []lister.Instance
	for i := range instanceCount {
		n, err := newNode(p, authority, i, domains[i%len(domains)].Name)
		if err != nil {
			return nil, err
		}
		c.nodes = append(c.nodes, n)
		listed = append(listed, lister.Instance{Name: n.settings.Instance.Name, PeerAddress: n.settings.Listeners.Peer.Address, State: lister.StateLive})
	}
	p.list.Set(listed)
	for _, n := range c.nodes {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func newNode(p *platform, authority *keymaker.Authority, i int, domain string) (n *node, err error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	s := configurer.Default()
	s.Instance = configurer.Instance{Name: "entry-" + string(rune('1'+i)), Domain: domain}
	s.Listeners.API.Address, s.Listeners.Admin.Address, s.Listeners.Peer.Address = addresses[0], addresses[1], addresses[2]
	s.Platform.LogAddresses, s.Platform.InstanceAddresses = []string{p.logAddress}, []string{p.listAddress}
	s.AllowAnonymous = true
	s.Peers.Heartbeat = specifier.Duration(250 * time.Millisecond)
	s.Timing = quickTiming(s.Timing)
	pair, err := authority.Certificate(s.Instance.Name, []string{"127.0.0.1"})
	if err != nil {
		return nil, err
	}
	cfg, err := keymaker.TLS(pair, authority.Pair.Certificate)
	return &node{settings: s, tls: cfg, api: addresses[0]}, err
}

// quickTiming shortens the waits, so that failures fit into a minute.
func quickTiming(t configurer.Timing) configurer.Timing {
	s := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	t.Lease, t.Renew, t.LostAfter = s(4*time.Second), s(time.Second), s(8*time.Second)
	t.HolderTimeout, t.MemberTimeout, t.Margin = s(1500*time.Millisecond), s(3*time.Second), s(500*time.Millisecond)
	t.LogWait, t.ShutdownDelay, t.ListInterval = s(300*time.Millisecond), s(300*time.Millisecond), s(500*time.Millisecond)
	return t
}

// freeAddresses finds ports that are free for TCP and UDP.
func freeAddresses(n int) (addresses []string, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}

func (n *node) start() (err error) {
	instance, err := assembler.New(n.settings, n.tls)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.instance, n.stop, n.done, n.dead = instance, cancel, make(chan struct{}), false
	done := n.done
	go func() {
		defer close(done)
		_ = instance.Run(ctx)
	}()
	return nil
}

func (c *cluster) names() string {
	var names []string
	for _, n := range c.nodes {
		names = append(names, n.settings.Instance.Name)
	}
	return strings.Join(names, ", ")
}

func (c *cluster) apiAddresses() []string {
	var addresses []string
	for _, n := range c.nodes {
		addresses = append(addresses, n.api)
	}
	return addresses
}

// holder returns the instance that holds the term, or nil.
func (c *cluster) holder() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if !n.dead && n.instance.IsHolder() && len(n.instance.View().Members) > 0 {
			return n
		}
	}
	return nil
}

func (c *cluster) anyFollower() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if !n.dead && !n.instance.IsHolder() {
			return n
		}
	}
	return c.nodes[0]
}

// replace stops an instance gracefully and starts a new process of it.
func (c *cluster) replace(n *node) error {
	n.stop()
	<-n.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 20 {
		if err := n.start(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Newf("%s could not be started again", n.settings.Instance.Name)
}

func (c *cluster) kill(n *node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.dead = true
	n.instance.Kill()
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.instance.Kill()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}
