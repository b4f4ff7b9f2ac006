// Package assembler builds an instance out of its parts and runs it.
//
//	instance, err := assembler.New(settings, keys, assembler.Options{})
//	err = instance.Run(ctx)
//
// Run ends with a graceful shutdown when its context ends.
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

// Instance is one entry instance.
type Instance struct {
	settings configurer.Settings
	name     string
	writer   string
	start    time.Time
	logger   klog.Logger

	ledger    *appender.Client
	config    *appender.Client
	snapshots *appender.Client
	list      *lister.Client
	recorder  *recorder.Recorder
	messenger *messenger.Messenger
	limiter   *limiter.Limiter
	meter     *meter.Meter
	loop      *decider.Loop
	servers   []*http.Server
	listeners []net.Listener

	view atomic.Pointer[decider.View]
	// started is set once the control loop runs.
	started atomic.Bool
	ready   atomic.Bool
	leave   atomic.Bool
	// drained is set when a leaving instance has answered its last request.
	drained atomic.Bool
	work    sync.WaitGroup
	cancel  context.CancelFunc
}

// New binds the listeners. Run must be called afterwards.
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
	i.connectPlatform()
	i.buildTraffic()
	if err := i.bind(auth, peerTLS); err != nil {
		i.closeListeners()
		return nil, err
	}
	i.registerMetrics()
	return i, nil
}

func (i *Instance) connectPlatform() {
	p := i.settings.Platform
	transport := platformTransport()
	i.ledger = appender.New(transport, p.LogAddresses, p.LedgerStream)
	i.config = appender.New(transport, p.LogAddresses, p.ConfigStream)
	i.snapshots = appender.New(transport, p.LogAddresses, p.SnapshotStream)
	i.list = lister.New(transport, p.InstanceAddresses)
	i.recorder = recorder.New(recorder.Config{
		Writer: i.writer, AppendTimeout: i.settings.Timing.LogTimeout.TimeDuration() + i.settings.Timing.LogWait.TimeDuration(),
		AppendsPerSecond: i.settings.Limits.AppendsPerSecond, AppendBurst: i.settings.Limits.AppendBurst,
	}, i.ledger)
}

func platformTransport() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 64 << 10}
}

func (i *Instance) buildTraffic() {
	i.limiter = limiter.New(i.name, limiter.Config{
		MaxViewAge: i.settings.Timing.Fresh.TimeDuration(), EpochSettleTimeout: i.settings.Timing.Fresh.TimeDuration() + i.settings.Timing.Margin.TimeDuration(),
		ClockOrigin: i.start, Domain: i.settings.Instance.Domain,
	})
}

func (i *Instance) bind(auth *authenticator.Authenticator, peerTLS *tls.Config) (err error) {
	shared, once := router.NewTransports(i.settings.Limits.MinionConnections)
	traffic := &router.Router{
		Limiter: i.limiter, Log: i, PooledTransport: shared, SingleUseTransport: once, RetryBudget: router.NewRetryBudget(i.settings.Limits.RetriesPerSecond),
		Claimer: &claimer.Claimer{Recorder: i, Reader: i, Writer: i.writer},
	}
	api := server.New(server.Config{Name: i.name, Control: i, Router: traffic, Authenticator: auth, Meter: i.meter})
	if err := i.listen(i.settings.Listeners.API, api); err != nil {
		return err
	}
	if err := i.listen(i.settings.Listeners.Admin, i.adminHandler()); err != nil {
		return err
	}
	i.messenger, err = messenger.Listen(messenger.Config{
		Name: i.name, Address: i.settings.Listeners.Peer.Address, TLS: peerTLS, Interval: i.settings.Peers.Heartbeat.TimeDuration(),
	})
	return err
}

func (i *Instance) listen(l configurer.Listener, h http.Handler) (err error) {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return err
	}
	if l.CertificateFile != "" {
		certificate, err := tls.LoadX509KeyPair(l.CertificateFile, l.KeyFile)
		if err != nil {
			return errors.CombineErrors(err, listener.Close())
		}
		listener = tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12})
	}
	i.listeners = append(i.listeners, listener)
	i.servers = append(i.servers, &http.Server{
		Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: i.settings.Limits.MaxHeaderBytes,
	})
	return nil
}

func (i *Instance) closeListeners() {
	for _, l := range i.listeners {
		_ = l.Close()
	}
}

// Run serves until the context ends and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) (err error) {
	run, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	defer cancel()
	for n, s := range i.servers {
		i.spawn(func() { _ = s.Serve(i.listeners[n]) })
	}
	i.spawn(func() { i.messenger.Run(run, peerHandler{i}) })
	i.spawn(func() { i.watchList(run) })
	i.logger.Info("Instance started", "Writer", i.writer, "API", i.settings.Listeners.API.Address)
	if i.startControl(run, ctx) {
		select {
		case <-ctx.Done():
		case <-run.Done():
			i.work.Wait()
			return errKilled
		}
	}
	err = i.shutdown(run)
	cancel()
	i.work.Wait()
	i.logger.Info("Instance stopped")
	return err
}

func (i *Instance) spawn(f func()) {
	i.work.Add(1)
	go func() {
		defer i.work.Done()
		f()
	}()
}

// startControl loads the state and starts the control loop. It returns false
// when the stop context ended first.
func (i *Instance) startControl(run, stop context.Context) bool {
	state := i.loadState(stop)
	if state == nil {
		return false
	}
	d := &dispatcher.Dispatcher{
		Recorder: i, Workers: runner.New(workerTransport()), Snapshots: snapshotWriter{i.snapshots},
		Publisher: i, Alarms: i, ClockStart: i.start,
	}
	i.loop = decider.NewLoop(decider.New(i.loopConfig(), state), d, i.start, i.settings.Timing.Tick.TimeDuration())
	i.loop.Measure = func(took time.Duration) { i.meter.Update.Observe(took.Seconds()) }
	d.SetSink(run, i.loop.Send)
	next := state.Next
	i.spawn(func() { i.loop.Run(run) })
	i.spawn(func() { i.recorder.Run(run) })
	i.spawn(func() { i.follower().Run(run, next) })
	i.spawn(func() { i.relayConfig(run) })
	i.started.Store(true)
	i.ready.Store(!i.leave.Load())
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

func (i *Instance) follower() *recorder.Follower {
	return &recorder.Follower{
		Log: i.ledger, Loader: stateLoader{i}, Sink: i,
		Wait: i.settings.Timing.LogWait.TimeDuration(), Timeout: i.settings.Timing.LogTimeout.TimeDuration(),
	}
}

// shutdown lets readiness fail, hands the term over and waits for the work in
// flight, up to the configured bound.
func (i *Instance) shutdown(run context.Context) (err error) {
	i.beginLeaving()
	i.messenger.SendHeartbeats(run, peerHandler{i})
	i.awaitHandover(run)
	time.Sleep(i.settings.Timing.ShutdownDelay.TimeDuration())
	sctx, cancel := context.WithTimeout(context.Background(), i.settings.Timing.ShutdownTimeout.TimeDuration())
	defer cancel()
	for _, s := range i.servers {
		if serr := s.Shutdown(sctx); serr != nil {
			i.RaiseAlarm("RequestsCut", "requests were still in flight at the end of ShutdownTimeout")
			err = errors.CombineErrors(err, errors.CombineErrors(serr, s.Close()))
		}
	}
	i.limiter.Close()
	i.drained.Store(true)
	i.messenger.SendHeartbeats(run, peerHandler{i})
	time.Sleep(announceTime)
	return err
}

// announceTime lets the last heartbeat reach the peers.
const announceTime = 50 * time.Millisecond

// beginLeaving fails readiness and stops deciding, once.
func (i *Instance) beginLeaving() {
	if !i.leave.CompareAndSwap(false, true) {
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

func (i *Instance) awaitHandover(ctx context.Context) {
	hctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for hctx.Err() == nil && i.View().IsHolder && len(i.View().Peers) > 0 {
		select {
		case <-hctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Kill ends everything at once, as the death of the process does.
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

// IsHolder reports whether the instance holds the term, as it knows.
func (i *Instance) IsHolder() bool { return i.View().IsHolder }

// View returns the newest view of the control state.
func (i *Instance) View() *decider.View { return i.view.Load() }

// Publish takes a new view from the control loop.
func (i *Instance) Publish(v *decider.View) {
	i.view.Store(v)
	i.limiter.Update(v)
}

// HandleSnapshot takes a state that reaches beyond a gap in the ledger.
func (i *Instance) HandleSnapshot(s *reducer.State) { i.loop.Send(decider.StateLoadedMsg{State: s}) }
