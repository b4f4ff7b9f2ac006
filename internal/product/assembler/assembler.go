// Package assembler builds an instance from its components and runs it.
//
//	instance, err := assembler.New(settings, peerTLS)
//	err = instance.Run(ctx)
//
// Run shuts the instance down gracefully when its context ends.
package assembler

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/control/dispatcher"
	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/gatekeeper"
	"daisyhead/internal/entry/server"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/peer/messenger"
	"daisyhead/internal/platform/appender"
	"daisyhead/internal/platform/lister"
	"daisyhead/internal/platform/runner"
	"daisyhead/internal/product/configurer"
	"daisyhead/internal/product/meter"
	"daisyhead/internal/traffic/claimer"
	"daisyhead/internal/traffic/limiter"
	"daisyhead/internal/traffic/router"
)

var errKilled = errors.New("the instance was killed")

// Instance is one process of the system. It serves the API, proxies requests to
// minions and takes part in the control of the fleet.
type Instance struct {
	settings configurer.Settings
	name     string
	// writer is the name and a random suffix, which identify this process in the
	// ledger.
	writer string
	// start is the zero of all monotonic times of this process.
	start  time.Time
	logger klog.Logger

	ledgerStream   *appender.Client
	configStream   *appender.Client
	snapshotStream *appender.Client
	instanceList   *lister.Client
	recorder       *recorder.Recorder
	messenger      *messenger.Messenger
	limiter        *limiter.Limiter
	meter          *meter.Meter
	loop           *decider.Loop
	servers        []*http.Server
	listeners      []net.Listener
	gates          gatekeeper.Collectors

	// view is the newest published copy of the control state.
	view atomic.Pointer[decider.View]
	// started is set once the control loop runs.
	started atomic.Bool
	// ready is set while the control loop runs and the instance isn't leaving.
	ready   atomic.Bool
	leaving atomic.Bool
	// drained is set once a leaving instance has answered its last request.
	drained    atomic.Bool
	goroutines sync.WaitGroup
	// cancel ends Run without a graceful shutdown.
	cancel context.CancelFunc
}

// New creates an instance and binds its listeners. Call Run to serve.
func New(s configurer.Settings, peerTLS *tls.Config) (i *Instance, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "instance %s", s.Instance.Name)
		}
	}()
	auth, err := authenticator.New(s.Tokens, s.AllowAnonymous)
	if err != nil {
		return nil, err
	}
	i = &Instance{settings: s, name: s.Instance.Name, start: time.Now(), meter: meter.New()}
	i.writer = i.name + "/" + uuid.NewString()[:8]
	i.logger = klog.Background().WithValues("Instance", i.name)
	i.view.Store(&decider.View{})
	i.initPlatformClients()
	i.initLimiter()
	if err := i.bindListeners(auth, peerTLS); err != nil {
		i.closeListeners()
		return nil, err
	}
	i.registerMetrics()
	i.meter.Add(i.gates)
	return i, nil
}

// initPlatformClients creates the clients of the platform's log and instance list.
func (i *Instance) initPlatformClients() {
	p := i.settings.Platform
	transport := platformTransport()
	i.ledgerStream = appender.New(transport, p.LogAddresses, p.LedgerStream)
	i.configStream = appender.New(transport, p.LogAddresses, p.ConfigStream)
	i.snapshotStream = appender.New(transport, p.LogAddresses, p.SnapshotStream)
	i.instanceList = lister.New(transport, p.InstanceAddresses)
	i.recorder = recorder.New(recorder.Config{
		Writer: i.writer, AppendTimeout: i.settings.Timing.LogTimeout.TimeDuration() + i.settings.Timing.LogWait.TimeDuration(),
		AppendsPerSecond: i.settings.Limits.AppendsPerSecond, AppendBurst: i.settings.Limits.AppendBurst,
	}, i.ledgerStream)
}

func platformTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 64 << 10}
}

func (i *Instance) initLimiter() {
	i.limiter = limiter.New(i.name, limiter.Config{
		MaxViewAge: i.settings.Timing.Fresh.TimeDuration(), EpochSettleTimeout: i.settings.Timing.Fresh.TimeDuration() + i.settings.Timing.Margin.TimeDuration(),
		ClockOrigin: i.start, Domain: i.settings.Instance.Domain,
	})
}

// bindListeners binds the API, admin and peer addresses.
func (i *Instance) bindListeners(auth *authenticator.Authenticator, peerTLS *tls.Config) (err error) {
	shared, once := router.NewTransports(i.settings.Limits.MinionConnections)
	traffic := &router.Router{
		Limiter: i.limiter, Log: i, PooledTransport: shared, SingleUseTransport: once, RetryBudget: router.NewRetryBudget(i.settings.Limits.RetriesPerSecond),
		Claimer: &claimer.Claimer{Recorder: i, Reader: i, Writer: i.writer},
	}
	api := server.New(server.Config{Name: i.name, Control: i, Router: traffic, Authenticator: auth, Meter: i.meter})
	if err := i.bindServer("API", i.settings.Listeners.API, api); err != nil {
		return err
	}
	if err := i.bindServer("Admin", i.settings.Listeners.Admin, i.adminHandler()); err != nil {
		return err
	}
	i.messenger, err = messenger.Listen(messenger.Config{
		Name: i.name, Address: i.settings.Listeners.Peer.Address, TLS: peerTLS, Interval: i.settings.Peers.Heartbeat.TimeDuration(),
	})
	return err
}

// bindServer binds one TCP address and adds the HTTP server that Run starts on it.
func (i *Instance) bindServer(name string, l configurer.Listener, h http.Handler) (err error) {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return err
	}
	gate := i.newGate(name, l.CertificateFile != "")
	listener = gate.Listener(listener)
	if l.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(l.CertificateFile, l.KeyFile)
		if err != nil {
			return errors.CombineErrors(err, listener.Close())
		}
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12})
	}
	i.listeners = append(i.listeners, listener)
	s := &http.Server{Handler: h}
	gate.Protect(s)
	i.servers = append(i.servers, s)
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		_ = l.Close()
	}
}

// Run serves until the context ends and then shuts down gracefully. After Kill
// it returns an error instead of shutting down gracefully.
func (i *Instance) Run(ctx context.Context) (err error) {
	runCtx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	defer cancel()
	for n, s := range i.servers {
		i.goTracked(func() { _ = s.Serve(i.listeners[n]) })
	}
	i.goTracked(func() { i.messenger.Run(runCtx, peerHandler{i}) })
	i.goTracked(func() { i.watchInstanceList(runCtx) })
	i.logger.Info("Instance started", "Writer", i.writer, "API", i.settings.Listeners.API.Address)
	if i.startControl(runCtx, ctx) {
		select {
		case <-ctx.Done():
		case <-runCtx.Done():
			i.goroutines.Wait()
			return errKilled
		}
	}
	err = i.shutdown(runCtx)
	cancel()
	i.goroutines.Wait()
	i.logger.Info("Instance stopped")
	return err
}

// goTracked runs f in a goroutine that Run waits for.
func (i *Instance) goTracked(f func()) {
	i.goroutines.Add(1)
	go func() {
		defer i.goroutines.Done()
		f()
	}()
}

// startControl loads the state and starts the control loop, which runs until
// runCtx ends. It returns false if stopCtx ended before the state was loaded.
func (i *Instance) startControl(runCtx, stopCtx context.Context) bool {
	state := i.loadState(stopCtx)
	if state == nil {
		return false
	}
	d := &dispatcher.Dispatcher{
		Recorder: i, Workers: runner.New(workerTransport()), Snapshots: snapshotWriter{i.snapshotStream},
		Publisher: i, Alarms: i, ClockStart: i.start,
	}
	i.loop = decider.NewLoop(decider.New(i.loopConfig(), state), d, i.start, i.settings.Timing.Tick.TimeDuration())
	i.loop.Measure = func(took time.Duration) { i.meter.StepSeconds.Observe(took.Seconds()) }
	d.SetSink(runCtx, i.loop.Send)
	next := state.Next
	i.goTracked(func() { i.loop.Run(runCtx) })
	i.goTracked(func() { i.recorder.Run(runCtx) })
	i.goTracked(func() { i.newFollower().Run(runCtx, next) })
	i.goTracked(func() { i.relayTickets(runCtx) })
	i.started.Store(true)
	i.ready.Store(!i.leaving.Load())
	return true
}

func workerTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 3, MaxConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 16 << 10}
}

func (i *Instance) loopConfig() decider.Config {
	t := i.settings.Timing
	return decider.Config{
		Name: i.name, Writer: i.writer, LeaseMS: t.Lease.Milliseconds(), RenewMS: t.Renew.Milliseconds(),
		MessageLifeMS: t.MessageLife.Milliseconds(), HoldMS: t.ReservationHold.Milliseconds(),
		StartWindowMS: t.StartWindow.Milliseconds(), StartLeaseMS: t.StartLease.Milliseconds(), MaxStateAgeMS: t.Fresh.Milliseconds(),
		HolderTimeoutMS: t.HolderTimeout.Milliseconds(), MemberTimeoutMS: t.MemberTimeout.Milliseconds(),
		LostAfterMS: t.LostAfter.Milliseconds(), MarginMS: t.Margin.Milliseconds(), PlanMS: t.Plan.Milliseconds(),
		SnapshotMS: t.SnapshotInterval.Milliseconds(), SnapshotRecords: uint64(i.settings.Limits.SnapshotRecords),
	}
}

func (i *Instance) newFollower() *recorder.Follower {
	return &recorder.Follower{
		Log: i.ledgerStream, Loader: stateLoader{i}, Sink: i,
		Wait: i.settings.Timing.LogWait.TimeDuration(), Timeout: i.settings.Timing.LogTimeout.TimeDuration(),
	}
}

// shutdown fails readiness, hands the term over and waits for the requests in
// flight, for ShutdownTimeout at most.
func (i *Instance) shutdown(runCtx context.Context) (err error) {
	i.beginLeaving()
	i.messenger.SendHeartbeats(runCtx, peerHandler{i})
	i.awaitHandover(runCtx)
	time.Sleep(i.settings.Timing.ShutdownDelay.TimeDuration())
	shutdownCtx, cancel := context.WithTimeout(context.Background(), i.settings.Timing.ShutdownTimeout.TimeDuration())
	defer cancel()
	for _, s := range i.servers {
		if shutdownErr := s.Shutdown(shutdownCtx); shutdownErr != nil {
			i.RaiseAlarm("RequestsCut", "requests were still in flight at the end of ShutdownTimeout")
			err = errors.CombineErrors(err, errors.CombineErrors(shutdownErr, s.Close()))
		}
	}
	i.limiter.Close()
	i.drained.Store(true)
	i.messenger.SendHeartbeats(runCtx, peerHandler{i})
	time.Sleep(finalHeartbeatDelay)
	return err
}

// finalHeartbeatDelay gives the last heartbeat time to reach the peers.
const finalHeartbeatDelay = 50 * time.Millisecond

// beginLeaving fails readiness and tells the control loop to make no more decisions.
// Another instance then claims the term. Further calls do nothing.
func (i *Instance) beginLeaving() {
	if !i.leaving.CompareAndSwap(false, true) {
		return
	}
	i.ready.Store(false)
	i.logger.Info("Instance leaving")
	if i.started.Load() {
		i.loop.Send(decider.ShutdownMsg{})
	}
}

// handoverTimeout bounds the wait for another instance to claim the term.
const handoverTimeout = 3 * time.Second

// awaitHandover waits until this instance no longer holds the term, for
// handoverTimeout at most. Without peers there is no instance to wait for.
func (i *Instance) awaitHandover(ctx context.Context) {
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for handoverCtx.Err() == nil && i.View().IsHolder && len(i.View().Peers) > 0 {
		select {
		case <-handoverCtx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Kill ends everything at once, as if the process had been killed.
func (i *Instance) Kill() {
	for _, s := range i.servers {
		_ = s.Close()
	}
	if i.cancel != nil {
		i.cancel()
	}
}

// Name returns the instance's name.
func (i *Instance) Name() string { return i.name }

// IsHolder reports whether the instance believes that it holds the term.
func (i *Instance) IsHolder() bool { return i.View().IsHolder }

// View returns the newest published view of the control state.
func (i *Instance) View() *decider.View { return i.view.Load() }

// Publish stores a new view from the control loop and passes it to the limiter.
func (i *Instance) Publish(v *decider.View) {
	i.view.Store(v)
	i.limiter.Update(v)
}

// HandleSnapshot passes a state that the follower loaded to get past a gap in the ledger
// to the control loop.
func (i *Instance) HandleSnapshot(s *reducer.State) { i.loop.Send(decider.StateLoadedMsg{State: s}) }
