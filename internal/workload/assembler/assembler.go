// Package assembler puts an instance together: the control loop, the feeds it
// reads, the orders it sends and the listeners that callers and peers use.
package assembler

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// Settings are an instance's identity and the platform's time limits.
type Settings struct {
	Instance string
	// Power is the share of a core, in thousandths.
	Power int
	// Peer and Metrics are the addresses that peers and the metrics use.
	Peer, Metrics string
	// Seeds are peer addresses that were known before the start.
	Seeds          []string
	Lease          time.Duration
	GangWait       time.Duration
	Stop           time.Duration
	Retain         time.Duration
	Grace          time.Duration
	ConfigDeadline time.Duration
	// ConfigStale is how old a configuration may be for telling states in an outage.
	ConfigStale time.Duration
	Visible     time.Duration
}

// Orders speaks to workers.
type Orders interface {
	Start(ctx context.Context, c scheduler.StartCmd) (scheduler.OrderResult, error)
	Stop(ctx context.Context, c scheduler.StopCmd) (scheduler.OrderResult, error)
	Hold(ctx context.Context, c scheduler.HoldCmd) (scheduler.WorkerReport, scheduler.OrderResult, error)
}

// Adviser tells which workers may run a step, and for how long.
type Adviser interface {
	Advise(ctx context.Context, c scheduler.AdviseCmd) ([]scheduler.Permit, time.Duration, error)
}

// Reporter takes events for the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// Ports are what the instance needs of the platform.
type Ports struct {
	Ledger    follower.Ledger
	Operators follower.Feed[describer.Change]
	Workers   follower.Feed[describer.WorkerChange]
	Orders    Orders
	Adviser   Adviser
	Peers     *forwarder.Forwarder
	Reporter  Reporter
}

// Listener is an address with what it serves.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
}

// Listen lists an instance's listeners.
type Listen []Listener

// Node is one instance. It implements the Answerer of the listeners.
type Node struct {
	settings Settings
	ports    Ports
	start    time.Time
	loop     *scheduler.Loop
	writer   *follower.Writer
	ledger   *follower.Reader[tabulator.Record]
	catalog  *follower.Catalog
	roster   *rosterSwitch
	acceptor *acceptor.Acceptor
	storer   *storer
	// holder names this process in terms.
	holder string
	meter  *meter
	status status
}

// New returns an instance that is not running yet.
func New(s Settings, p Ports) *Node {
	n := &Node{settings: s, ports: p, start: time.Now(), meter: newMeter(), holder: s.Instance + "/" + uuid.NewString()}
	model := scheduler.New(scheduler.Config{
		Instance: s.Instance, Holder: n.holder, Power: s.Power, LeaseMS: s.Lease.Milliseconds(),
		GangMS: s.GangWait.Milliseconds(), StopMS: s.Stop.Milliseconds(), RetainMS: s.Retain.Milliseconds(),
	})
	n.loop = scheduler.NewLoop(model, n.start)
	n.SetSeeds(s.Seeds)
	n.loop.Measure = func(took time.Duration) { n.meter.step.Observe(took.Seconds()) }
	n.writer = follower.NewWriter(p.Ledger)
	handler := &follower.LedgerHandler{Sink: n.loop, Reporter: p.Reporter, Start: n.start, OnRecovery: n.writer.RetryInFlight}
	n.ledger = follower.NewReader(p.Ledger, handler, n.ledgerPace)
	n.catalog = &follower.Catalog{Sink: n.loop, Reporter: p.Reporter}
	n.roster = &rosterSwitch{feed: p.Workers, handler: &follower.WorkerList{Sink: n.loop, Reporter: p.Reporter}}
	n.storer = &storer{node: n, ledger: handler}
	n.acceptor = &acceptor.Acceptor{
		Jobs: jobs{n}, Ledger: n.storer, Catalog: n.catalog, Peers: peers{n}, Reporter: p.Reporter,
		ConfigFresh: s.ConfigDeadline * 3 / 4, ConfigStale: s.ConfigStale, TableFresh: s.Visible / 2,
	}
	return n
}

// Intervals of reading. Each call has a price, so only the holder reads often.
const (
	ledgerWait             = 600 * time.Millisecond
	holderLedgerInterval   = 30 * time.Millisecond
	followerLedgerInterval = 200 * time.Millisecond
	// rearLedgerInterval is for instances that are unlikely to decide next: with
	// the wait, less than the age at which a table is too old for callers.
	rearLedgerInterval = 600 * time.Millisecond
	operatorsInterval  = 100 * time.Millisecond
	workersWait        = time.Second
	workersInterval    = 300 * time.Millisecond
)

func (n *Node) ledgerPace() follower.Pace {
	switch {
	case n.status.deciding.Load():
		return follower.Pace{Wait: ledgerWait, Interval: holderLedgerInterval}
	case n.status.rear.Load():
		return follower.Pace{Wait: ledgerWait, Interval: rearLedgerInterval}
	}
	return follower.Pace{Wait: ledgerWait, Interval: followerLedgerInterval}
}

// Answer implements the Answerer of callers and peers.
func (n *Node) Answer(ctx context.Context, c acceptor.Call) acceptor.Answer {
	began := time.Now()
	a := n.acceptor.Answer(ctx, c)
	n.meter.calls.WithLabelValues(string(c.Kind), string(a.Verdict)).Observe(time.Since(began).Seconds())
	return a
}

// SetSeeds replaces the peer addresses that are known from the settings.
func (n *Node) SetSeeds(addresses []string) { n.status.seeds.Store(&addresses) }

// Ready reports whether the instance can take callers' work.
func (n *Node) Ready() bool {
	cfg, _ := n.catalog.Current()
	return cfg != nil && n.status.loaded.Load() && !n.status.leaving.Load()
}

// leaveShare of the grace period passes, at least, between a stop signal and the
// closing of connections: callers stop coming once readiness has failed twice.
const leaveShare = 0.6

// Run serves until the context ends, then shuts down gracefully.
func (n *Node) Run(ctx context.Context, listen Listen) (err error) {
	n.ports.Reporter.Event("Started", "Instance", n.settings.Instance, "Process", os.Getpid(), "Power", n.settings.Power)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	listen = append(listen,
		Listener{Name: "Peers", Address: n.settings.Peer, Handler: forwarder.Handler(n, n.storer)},
		Listener{Name: "Metrics", Address: n.settings.Metrics, Handler: n.meter.handler()})
	servers, err := n.serve(group, listen)
	if err != nil {
		return err
	}
	n.ports.Peers.SetPeers(n.settings.Seeds)
	n.background(group, work)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		n.leave(servers)
		stopWork()
		return nil
	})
	err = group.Wait()
	n.ports.Reporter.Event("Stopped", "Instance", n.settings.Instance)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *Node) background(group *errgroup.Group, ctx context.Context) {
	n.roster.ctx = ctx
	for _, run := range []func(context.Context){
		func(ctx context.Context) { n.loop.Run(ctx, dispatcher{n, ctx}) },
		n.writer.Run, n.ledger.Run, n.register, n.watch,
		follower.NewReader(n.ports.Operators, n.catalog, func() follower.Pace {
			return follower.Pace{Wait: n.settings.ConfigDeadline / 2, Interval: operatorsInterval}
		}).Run,
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
}

func (n *Node) serve(group *errgroup.Group, listen Listen) (servers []*http.Server, err error) {
	for _, l := range listen {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", l.Name)
		}
		s := &http.Server{Handler: n.closing(l.Handler), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", l.Name)
			}
			return nil
		})
	}
	return servers, nil
}

const (
	headerTimeout = 3 * time.Second
	// callerIdleTimeout is longer than any pause that callers usually make.
	callerIdleTimeout = 60 * time.Second
	// closeShare of the grace period is the wait for the last answers. The rest is left
	// for ending the process.
	closeShare = 0.25
)

// closing asks callers to leave with their next answer once the instance stops.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.status.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (n *Node) leave(servers []*http.Server) {
	stay, wait := share(n.settings.Grace, leaveShare), share(n.settings.Grace, closeShare)
	n.acceptor.CloseBy(time.Now().Add(stay + wait))
	n.status.leaving.Store(true)
	n.ports.Reporter.Event("Leaving", "Instance", n.settings.Instance)
	n.loop.Send(scheduler.LeaveMsg{})
	time.Sleep(stay)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		n.ports.Reporter.Event("ConnectionsCut", "Error", fmt.Sprint(err))
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
