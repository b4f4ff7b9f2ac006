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

// platform holds the stand-ins for the platform's log and instance list.
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

// serveLoopback serves a handler on a free loopback port. connState, if not nil,
// is called when a connection changes state.
func serveLoopback(h http.Handler, connState func(net.Conn, http.ConnState)) (s *http.Server, address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	s = &http.Server{Handler: h, ConnState: connState, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

// clusterInstance is an instance with what is needed to stop and restart it.
type clusterInstance struct {
	instance   *assembler.Instance
	settings   configurer.Settings
	tls        *tls.Config
	apiAddress string
	cancel     context.CancelFunc
	done       chan struct{}
	killed     bool
}

// cluster holds all instances. mu guards their state.
type cluster struct {
	mu        sync.Mutex
	instances []*clusterInstance
}

// instanceCount is the number of instances in a demonstration.
const instanceCount = 3

// startCluster starts the instances, spread over the failure domains, and adds them
// to the platform's instance list.
func startCluster(p *platform, domains []specifier.Domain) (c *cluster, err error) {
	authority, err := keymaker.NewAuthority("daisyhead demonstration")
	if err != nil {
		return nil, err
	}
	c = &cluster{}
	var listed []lister.Instance
	for i := range instanceCount {
		n, err := newClusterInstance(p, authority, i, domains[i%len(domains)].Name)
		if err != nil {
			return nil, err
		}
		c.instances = append(c.instances, n)
		listed = append(listed, lister.Instance{Name: n.settings.Instance.Name, PeerAddress: n.settings.Listeners.Peer.Address, State: lister.StateLive})
	}
	p.list.Set(listed)
	for _, n := range c.instances {
		if err := n.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// newClusterInstance prepares the settings and keys of the instance with index i.
func newClusterInstance(p *platform, authority *keymaker.Authority, i int, domain string) (n *clusterInstance, err error) {
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
	s.Timing = shortenTiming(s.Timing)
	pair, err := authority.Certificate(s.Instance.Name, []string{"127.0.0.1"})
	if err != nil {
		return nil, err
	}
	cfg, err := keymaker.TLS(pair, authority.Pair.Certificate)
	return &clusterInstance{settings: s, tls: cfg, apiAddress: addresses[0]}, err
}

// shortenTiming shortens the timeouts, so that all failures and recoveries fit into
// MaxDuration.
func shortenTiming(t configurer.Timing) configurer.Timing {
	duration := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	t.Lease, t.Renew, t.LostAfter = duration(4*time.Second), duration(time.Second), duration(8*time.Second)
	t.HolderTimeout, t.MemberTimeout, t.Margin = duration(1500*time.Millisecond), duration(3*time.Second), duration(500*time.Millisecond)
	t.LogWait, t.ShutdownDelay, t.ListInterval = duration(300*time.Millisecond), duration(300*time.Millisecond), duration(500*time.Millisecond)
	return t
}

// freeAddresses returns loopback addresses whose TCP ports are free. The peer
// listener uses its port for UDP, for which the port is not checked.
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

// start creates the instance and runs it until cancel is called.
func (n *clusterInstance) start() (err error) {
	instance, err := assembler.New(n.settings, n.tls)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.instance, n.cancel, n.done, n.killed = instance, cancel, make(chan struct{}), false
	done := n.done
	go func() {
		defer close(done)
		_ = instance.Run(ctx)
	}()
	return nil
}

func (c *cluster) names() string {
	var names []string
	for _, n := range c.instances {
		names = append(names, n.settings.Instance.Name)
	}
	return strings.Join(names, ", ")
}

func (c *cluster) apiAddresses() []string {
	var addresses []string
	for _, n := range c.instances {
		addresses = append(addresses, n.apiAddress)
	}
	return addresses
}

// holder returns the running instance that holds the term and knows the members, or
// nil.
func (c *cluster) holder() *clusterInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.instances {
		if !n.killed && n.instance.IsHolder() && len(n.instance.View().Members) > 0 {
			return n
		}
	}
	return nil
}

// anyNonHolder returns a running instance that doesn't hold the term, or the first
// instance if there is none.
func (c *cluster) anyNonHolder() *clusterInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.instances {
		if !n.killed && !n.instance.IsHolder() {
			return n
		}
	}
	return c.instances[0]
}

// replace stops an instance gracefully and starts a new one in its place, with up
// to 20 attempts.
func (c *cluster) replace(n *clusterInstance) error {
	n.cancel()
	<-n.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for range 20 {
		if err := n.start(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.Newf("instance %s could not be started again", n.settings.Instance.Name)
}

// kill ends an instance at once, without a graceful shutdown.
func (c *cluster) kill(n *clusterInstance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n.killed = true
	n.instance.Kill()
}

// stop kills all instances and waits until they have ended.
func (c *cluster) stop() {
	for _, n := range c.instances {
		n.instance.Kill()
	}
	for _, n := range c.instances {
		<-n.done
	}
}
