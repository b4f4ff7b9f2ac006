// Package configurer reads and checks the settings of an instance.
//
//	settings, err := configurer.Load("entry-1.yaml")
//
// All mistakes are reported at once, each with file, line and key.
package configurer

import (
	"time"

	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/specifier"
)

// Settings holds all settings of an instance.
type Settings struct {
	Instance  Instance
	Listeners Listeners
	Platform  Platform
	Peers     Peers
	Timing    Timing
	Limits    Limits
	// Tokens are the bearer tokens of the API's callers.
	Tokens []authenticator.Token
	// AllowAnonymous accepts calls without a token and gives them the Operator role.
	AllowAnonymous bool
	Logging        Logging
}

// Instance is the instance's name and its failure domain.
type Instance struct {
	Name   string
	Domain string
}

// Listeners are the addresses on which the instance listens.
type Listeners struct {
	API   Listener
	Admin Listener
	// Peer is for other instances, with QUIC over UDP.
	Peer PeerListener
}

// Listener is a TCP address that serves HTTP, with TLS if both files are set.
type Listener struct {
	Address         string
	CertificateFile string
	KeyFile         string
}

// PeerListener is a UDP address for other instances.
type PeerListener struct {
	Address string
}

// Platform holds the addresses of the platform's log and instance list, and the
// names of the log's streams.
type Platform struct {
	LogAddresses      []string
	InstanceAddresses []string
	LedgerStream      string
	ConfigStream      string
	SnapshotStream    string
}

// Peers holds the settings of the connections between instances, which use
// mutual TLS.
type Peers struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	// Heartbeat is the interval between heartbeats.
	Heartbeat specifier.Duration
	// Seeds are peers that are known even if the platform's list doesn't name them.
	Seeds []Seed
}

// Seed is a peer's name and address.
type Seed struct {
	Name    string
	Address string
}

// Timing holds the intervals and timeouts of the control loop, the platform's
// clients and the shutdown.
type Timing struct {
	// Lease is how long a worker runs tasks without a renewal.
	Lease specifier.Duration
	// Renew is the interval between renewals.
	Renew specifier.Duration
	// MessageLife is the time within which a reservation or a start must arrive
	// at the worker.
	MessageLife specifier.Duration
	// ReservationHold is how long a worker holds a reservation.
	ReservationHold specifier.Duration
	// StartWindow is the time within which all tasks of a gang must have started.
	StartWindow specifier.Duration
	// StartLease is the first lease, until the whole gang has started.
	StartLease specifier.Duration
	// Fresh is the maximum age of the control state at which the instance makes
	// new decisions and forwards requests.
	Fresh specifier.Duration
	// HolderTimeout is how long the holder of the term may be silent before another
	// instance claims the term.
	HolderTimeout specifier.Duration
	// MemberTimeout is how long a member may be silent before it is removed.
	MemberTimeout specifier.Duration
	// LostAfter is how long a worker may be silent, after a change of holder,
	// before its tasks are given up.
	LostAfter specifier.Duration
	// Margin is added to every wait for a lease to expire.
	Margin specifier.Duration
	// Plan is the shortest interval between planning passes.
	Plan specifier.Duration
	// Tick is the interval of the control loop's timer.
	Tick specifier.Duration
	// LogWait is how long a read of the log waits for new records.
	LogWait specifier.Duration
	// LogTimeout limits a call to the log, beyond LogWait.
	LogTimeout specifier.Duration
	// SnapshotInterval is the interval between snapshots.
	SnapshotInterval specifier.Duration
	// ShutdownDelay is the wait between handing the term over and closing the
	// listeners.
	ShutdownDelay specifier.Duration
	// ShutdownTimeout is the longest wait for requests in flight at shutdown.
	ShutdownTimeout specifier.Duration
	// ListInterval is the interval between reads of the platform's instance list.
	ListInterval specifier.Duration
}

// Limits holds the limits on rates, sizes and connections.
type Limits struct {
	// AppendsPerSecond and AppendBurst limit the appends to the ledger.
	AppendsPerSecond float64
	AppendBurst      int
	// RetriesPerSecond limits the retries of requests to minions.
	RetriesPerSecond float64
	// SnapshotRecords is the number of ledger records after which a snapshot is
	// written even if SnapshotInterval has not passed.
	SnapshotRecords int
	// MaxHeaderBytes limits the headers of a request to a TCP listener.
	MaxHeaderBytes int
	// MaxConnections limits the open connections to each TCP listener.
	MaxConnections int
	// BodyMemoryMB limits the memory of the requests with a body that the API serves at a
	// time. Requests to services are not counted, since their bodies are passed on.
	BodyMemoryMB int
	// MinionConnections limits the connections to one minion.
	MinionConnections int
}

// Logging selects what is logged.
type Logging struct {
	Verbosity int
	// Access enables the access log.
	Access bool
}

// Default returns the default settings. Names, addresses and keys must be adapted
// to the installation. Without a token, Parse accepts them only with AllowAnonymous.
func Default() Settings {
	duration := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	return Settings{
		Instance:  Instance{Name: "entry-1", Domain: "domain-1"},
		Listeners: Listeners{API: Listener{Address: "127.0.0.1:7201"}, Admin: Listener{Address: "127.0.0.1:7211"}, Peer: PeerListener{Address: "127.0.0.1:7221"}},
		Platform: Platform{
			LogAddresses: []string{"127.0.0.1:7000"}, InstanceAddresses: []string{"127.0.0.1:7001"},
			LedgerStream: "ledger", ConfigStream: "config", SnapshotStream: "snapshots",
		},
		Peers: Peers{CertificateFile: "keys/entry-1.crt", KeyFile: "keys/entry-1.key", AuthorityFile: "keys/authority.crt", Heartbeat: duration(time.Second)},
		Timing: Timing{
			Lease: duration(20 * time.Second), Renew: duration(4 * time.Second), MessageLife: duration(2 * time.Second),
			ReservationHold: duration(4 * time.Second), StartWindow: duration(3 * time.Second), StartLease: duration(4 * time.Second),
			Fresh: duration(2 * time.Second), HolderTimeout: duration(3500 * time.Millisecond), MemberTimeout: duration(10 * time.Second),
			LostAfter: duration(90 * time.Second), Margin: duration(time.Second), Plan: duration(50 * time.Millisecond), Tick: duration(100 * time.Millisecond),
			LogWait: duration(500 * time.Millisecond), LogTimeout: duration(time.Second), SnapshotInterval: duration(5 * time.Minute),
			ShutdownDelay: duration(2 * time.Second), ShutdownTimeout: duration(2 * time.Minute), ListInterval: duration(2 * time.Second),
		},
		Limits:  Limits{AppendsPerSecond: 8, AppendBurst: 16, RetriesPerSecond: 10, SnapshotRecords: 5000, MaxHeaderBytes: 64 << 10, MaxConnections: 1000, BodyMemoryMB: 64, MinionConnections: 16},
		Logging: Logging{Access: true},
	}
}
