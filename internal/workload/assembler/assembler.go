// Package assembler builds an instance from its parts: the control loop, the readers of its
// feeds, the client that sends orders to workers, and the HTTP servers for callers and peers.
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

	"daisyhead/internal/entry/gatekeeper"
	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// Settings are an instance's identity, its addresses, and the time limits that the platform
// sets.
type Settings struct {
	Instance string
	// Power is the instance's CPU share, in thousandths of a core.
	Power int
	// Peer is the address at which the instance listens for peers and at which they reach it.
	// Metrics is the listen address for metrics.
	Peer, Metrics string
	// Seeds are the peer addresses in the settings, which are used before the ledger has been
	// read.
	Seeds []string
	// Lease is the longest lease that workers grant.
	Lease time.Duration
	// GangWait is how long the tasks of a gang wait for each other.
	GangWait time.Duration
	// Stop is the longest time that a worker takes to stop a task.
	Stop time.Duration
	// Reclaim is the time in which urgent work within its workspace's guarantee has to begin.
	Reclaim time.Duration
	// Retain is how long callers may ask for a job after it has ended.
	Retain time.Duration
	// Grace is the time from the stop signal to the end of the process.
	Grace time.Duration
	// ConfigDeadline is the time within which a new configuration must be in force.
	ConfigDeadline time.Duration
	// ConfigStale is the maximum age of a configuration that is used to report job states
	// during an outage of the platform.
	ConfigStale time.Duration
	// Visible is the time within which an accepted job must be visible at every instance.
	Visible time.Duration
	// LimitTolerance is the part of its limit by which a workspace may exceed it.
	LimitTolerance float64
	// ShareWindow is the window in which a workspace's new jobs are counted for its share; 0 is
	// the scheduler's default.
	ShareWindow time.Duration
	// RecordBytes is the store's limit for one record, 0 if it is not known.
	RecordBytes int
	// PeerLimits and MetricsLimits are the limits of the listeners for peers and for metrics.
	PeerLimits, MetricsLimits gatekeeper.Limits
}

// WorkerClient sends orders to workers. Start and Stop are for one task; Hold extends the
// worker's lease and returns its report.
type WorkerClient interface {
	Start(ctx context.Context, c scheduler.StartCmd) (scheduler.OrderResult, error)
	Stop(ctx context.Context, c scheduler.StopCmd) (scheduler.OrderResult, error)
	Hold(ctx context.Context, c scheduler.HoldCmd) (scheduler.WorkerReport, scheduler.OrderResult, error)
}

// Adviser asks the platform's recommendation service which workers may run a step, and for how
// long the answer is valid.
type Adviser interface {
	Advise(ctx context.Context, c scheduler.AdviseCmd) ([]scheduler.Permit, time.Duration, error)
}

// Reporter writes events to the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// Dependencies are what the instance uses of the platform, the client for its peers, and its
// log.
type Dependencies struct {
	Ledger       follower.Ledger
	OperatorFeed follower.Feed[describer.Change]
	WorkerFeed   follower.Feed[describer.WorkerChange]
	WorkerClient WorkerClient
	Adviser      Adviser
	Peers        *forwarder.Forwarder
	Reporter     Reporter
}

// Listener is a listen address and the handler that serves it.
type Listener struct {
	Name    string
	Address string
	Handler http.Handler
	// Optional is set if the instance works without the listener.
	Optional bool
	// Limits are the limits of its clients.
	Limits gatekeeper.Limits
}

// Listeners is the list of an instance's listeners.
type Listeners []Listener

// Instance is one process of the system. It answers the calls of callers and peers.
type Instance struct {
	settings     Settings
	deps         Dependencies
	start        time.Time
	loop         *scheduler.Loop
	writer       *follower.Writer
	ledger       *follower.Reader[reducer.Record]
	config       *follower.ConfigHandler
	workerReader *workerReader
	acceptor     *acceptor.Acceptor
	storer       *storer
	// holder identifies this process as the holder of a term. It differs after each restart.
	holder string
	meter  *meter
	status sharedState
}

// New returns an instance, which starts when Run is called.
func New(s Settings, deps Dependencies) *Instance {
	inst := &Instance{settings: s, deps: deps, start: time.Now(), meter: newMeter(), holder: s.Instance + "/" + uuid.NewString()}
	model := scheduler.New(scheduler.Config{
		Instance: s.Instance, Holder: inst.holder, Power: s.Power, LeaseMS: s.Lease.Milliseconds(),
		GangMS: s.GangWait.Milliseconds(), StopMS: s.Stop.Milliseconds(), ReclaimMS: s.Reclaim.Milliseconds(), RetainMS: s.Retain.Milliseconds(),
		LimitTolerance: s.LimitTolerance, ShareWindowMS: s.ShareWindow.Milliseconds(),
	})
	inst.loop = scheduler.NewLoop(model, inst.start)
	inst.SetSeeds(s.Seeds)
	inst.loop.Measure = func(took time.Duration) { inst.meter.step.Observe(took.Seconds()) }
	inst.writer = follower.NewWriter(deps.Ledger)
	handler := &follower.LedgerHandler{Sink: inst.loop, Reporter: deps.Reporter, Start: inst.start, OnRecovery: inst.writer.RetryInFlight}
	inst.ledger = follower.NewReader(deps.Ledger, handler, inst.ledgerPace)
	inst.ledger.Latency.OnSample, inst.ledger.Latency.OnUnanswered = handler.SampleLatency, handler.ReportUnanswered
	inst.writer.SetLatencySource(inst.ledger)
	inst.meter.watchLatency(inst.ledger)
	inst.config = &follower.ConfigHandler{Sink: inst.loop, Reporter: deps.Reporter}
	inst.workerReader = &workerReader{feed: deps.WorkerFeed, handler: &follower.WorkerList{Sink: inst.loop, Reporter: deps.Reporter, Start: inst.start}}
	inst.storer = &storer{instance: inst, ledger: handler}
	inst.acceptor = &acceptor.Acceptor{
		Jobs: jobTable{inst}, Ledger: inst.storer, Config: inst.config, Peers: peerCaller{inst}, Reporter: deps.Reporter,
		MaxConfigAge: s.ConfigDeadline * 3 / 4, MaxOutageConfigAge: s.ConfigStale, MaxTableAge: s.Visible / 2,
		LimitTolerance: s.LimitTolerance,
		MaxRecordBytes: s.RecordBytes,
	}
	return inst
}

// Wait times and intervals of reading the feeds. Each read has a cost, so only the holder
// reads the ledger often.
const (
	ledgerWait             = 600 * time.Millisecond
	holderLedgerInterval   = 30 * time.Millisecond
	followerLedgerInterval = 200 * time.Millisecond
	// lowRankLedgerInterval is for instances that are unlikely to hold the next term, nearly
	// all of a large fleet. It stays below the age at which a table is too old to answer
	// callers.
	lowRankLedgerInterval = time.Second
	operatorsInterval     = 100 * time.Millisecond
	workersWait           = time.Second
	workersInterval       = 300 * time.Millisecond
)

// ledgerPace returns how often to read the ledger, which depends on how likely this instance is
// to hold the term.
func (inst *Instance) ledgerPace() follower.Pace {
	switch {
	case inst.status.holdsTerm.Load():
		return follower.Pace{Wait: ledgerWait, Interval: holderLedgerInterval}
	case inst.status.lowRank.Load():
		return follower.Pace{Wait: ledgerWait, Interval: lowRankLedgerInterval}
	}
	return follower.Pace{Wait: ledgerWait, Interval: followerLedgerInterval}
}

// Answer answers a call of a caller or a peer.
func (inst *Instance) Answer(ctx context.Context, c acceptor.Call) acceptor.Answer {
	began := time.Now()
	a := inst.acceptor.Answer(ctx, c)
	inst.meter.calls.WithLabelValues(string(c.Kind), string(a.Verdict)).Observe(time.Since(began).Seconds())
	return a
}

// SetSeeds replaces the peer addresses that come from the settings.
func (inst *Instance) SetSeeds(addresses []string) { inst.status.seeds.Store(&addresses) }

// Ready reports whether the instance can accept calls.
func (inst *Instance) Ready() bool {
	cfg, _ := inst.config.Current()
	return cfg != nil && inst.status.loaded.Load() && !inst.status.shuttingDown.Load()
}

// drainShare is the least part of the grace period that passes between the stop signal and the
// closing of connections. Callers stop sending calls to this instance once two readiness
// checks have failed.
const drainShare = 0.6

// Run serves until the context ends and then shuts down gracefully.
func (inst *Instance) Run(ctx context.Context, listeners Listeners) (err error) {
	inst.deps.Reporter.Event("Started", "Instance", inst.settings.Instance, "Process", os.Getpid(), "Power", inst.settings.Power)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	listeners = append(listeners,
		Listener{Name: "Peers", Address: inst.settings.Peer, Handler: forwarder.Handler(inst, inst.storer), Limits: inst.settings.PeerLimits},
		Listener{Name: "Metrics", Address: inst.settings.Metrics, Handler: inst.meter.handler(), Optional: true, Limits: inst.settings.MetricsLimits})
	servers, err := inst.startServers(group, listeners)
	if err != nil {
		return err
	}
	inst.deps.Peers.SetPeers(inst.settings.Seeds)
	inst.startBackground(group, work)
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		inst.shutDown(servers)
		stopWork()
		return nil
	})
	err = group.Wait()
	inst.deps.Reporter.Event("Stopped", "Instance", inst.settings.Instance)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// startBackground starts the goroutines that run until ctx ends.
func (inst *Instance) startBackground(group *errgroup.Group, ctx context.Context) {
	inst.workerReader.ctx = ctx
	for _, run := range []func(context.Context){
		func(ctx context.Context) { inst.loop.Run(ctx, dispatcher{inst, ctx}) },
		inst.writer.Run, inst.useLedger, inst.watchControlLoop,
		follower.NewReader(inst.deps.OperatorFeed, inst.config, func() follower.Pace {
			return follower.Pace{Wait: inst.settings.ConfigDeadline / 2, Interval: operatorsInterval}
		}).Run,
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
}

// startServers listens on all addresses and serves them in goroutines of the group.
func (inst *Instance) startServers(group *errgroup.Group, listeners Listeners) (servers []*http.Server, err error) {
	var gates gatekeeper.Collectors
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil && l.Optional {
			inst.deps.Reporter.Event("ListenerSkipped", "Name", l.Name, "Address", l.Address, "Error", err.Error())
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", l.Name)
		}
		s := &http.Server{Handler: inst.closeOnShutdown(l.Handler)}
		gate := gatekeeper.New(l.Name, l.Limits, inst.deps.Reporter)
		gate.Protect(s)
		gates = append(gates, gate)
		servers = append(servers, s)
		group.Go(func() error {
			if err := s.Serve(gate.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
				return errors.Wrapf(err, "serve %s", l.Name)
			}
			return nil
		})
	}
	inst.meter.registry.MustRegister(gates)
	return servers, nil
}

// closeShare is the part of the grace period in which the last answers are written. The
// rest is left for the process to exit.
const closeShare = 0.25

// closeOnShutdown makes callers close their connections after the next answer once the
// instance is shutting down.
func (inst *Instance) closeOnShutdown(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if inst.status.shuttingDown.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// shutDown stops the servers within the grace period. The instance goes on answering calls until
// callers have noticed that it is no longer ready; then shutDown waits for the last answers.
func (inst *Instance) shutDown(servers []*http.Server) {
	drainTime, closeTime := fraction(inst.settings.Grace, drainShare), fraction(inst.settings.Grace, closeShare)
	inst.acceptor.CloseBy(time.Now().Add(drainTime + closeTime))
	inst.status.shuttingDown.Store(true)
	inst.deps.Reporter.Event("Leaving", "Instance", inst.settings.Instance)
	inst.loop.Send(scheduler.ShutdownMsg{})
	time.Sleep(drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	var group errgroup.Group
	for _, s := range servers {
		group.Go(func() error { return s.Shutdown(ctx) })
	}
	if err := group.Wait(); err != nil {
		inst.deps.Reporter.Event("ConnectionsCut", "Error", fmt.Sprint(err))
	}
}

func fraction(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
