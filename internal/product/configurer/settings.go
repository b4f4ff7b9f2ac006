// Package configurer reads and checks the settings of an instance.
//
//	settings, err := configurer.Load("entry-1.yaml")
//
// Each mistake is reported with file, line and key, all of them at once.
package configurer

import (
	"time"

	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/specifier"
)

// Settings are all settings of an instance.
type Settings struct {
	Instance       Instance
	Listeners      Listeners
	Platform       Platform
	Peers          Peers
	Timing         Timing
	Limits         Limits
	Tokens         []authenticator.Token
	AllowAnonymous bool
	Logging        Logging
}

// Instance is the instance's identity.
type Instance struct {
	Name   string
	Domain string
}

// Listeners are the addresses that the instance serves.
type Listeners struct {
	API   Listener
	Admin Listener
	// Peer takes QUIC over UDP.
	Peer PeerListener
}

// Listener is a TCP address, with TLS when both files are set.
type Listener struct {
	Address         string
	CertificateFile string
	KeyFile         string
}

// PeerListener is the UDP address for other instances.
type PeerListener struct {
	Address string
}

// Platform says where the platform's services are.
type Platform struct {
	LogAddresses      []string
	InstanceAddresses []string
	LedgerStream      string
	ConfigStream      string
	SnapshotStream    string
}

// Peers holds the keys for mutual TLS between instances.
type Peers struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	Heartbeat       specifier.Duration
	// Seeds are peers that are known without the platform's list.
	Seeds []Seed
}

// Seed is a peer's name and address.
type Seed struct {
	Name    string
	Address string
}

// Timing holds the time limits of the control loop.
type Timing struct {
	Lease            specifier.Duration
	Renew            specifier.Duration
	MessageLife      specifier.Duration
	ReservationHold  specifier.Duration
	StartWindow      specifier.Duration
	StartLease       specifier.Duration
	Fresh            specifier.Duration
	HolderTimeout    specifier.Duration
	MemberTimeout    specifier.Duration
	LostAfter        specifier.Duration
	Margin           specifier.Duration
	Plan             specifier.Duration
	Tick             specifier.Duration
	LogWait          specifier.Duration
	LogTimeout       specifier.Duration
	SnapshotInterval specifier.Duration
	ShutdownDelay    specifier.Duration
	ShutdownTimeout  specifier.Duration
	ListInterval     specifier.Duration
}

// Limits bound what the instance takes and spends.
type Limits struct {
	AppendsPerSecond float64
	AppendBurst      int
	RetriesPerSecond float64
	SnapshotRecords  int
	MaxHeaderBytes   int
	// MinionConnections bounds the connections to one minion.
	MinionConnections int
}

// Logging sets what is logged.
type Logging struct {
	Verbosity int
	// Access turns the access log on.
	Access bool
}

// Default returns settings that need only names, addresses and keys.
func Default() Settings {
	s := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	return Settings{
		Instance:  Instance{Name: "entry-1", Domain: "domain-1"},
		Listeners: Listeners{API: Listener{Address: "127.0.0.1:7201"}, Admin: Listener{Address: "127.0.0.1:7211"}, Peer: PeerListener{Address: "127.0.0.1:7221"}},
		Platform: Platform{
			LogAddresses: []string{"127.0.0.1:7000"}, InstanceAddresses: []string{"127.0.0.1:7001"},
			LedgerStream: "ledger", ConfigStream: "config", SnapshotStream: "snapshots",
		},
		Peers: Peers{CertificateFile: "keys/entry-1.crt", KeyFile: "keys/entry-1.key", AuthorityFile: "keys/authority.crt", Heartbeat: s(time.Second)},
		Timing: Timing{
			Lease: s(20 * time.Second), Renew: s(4 * time.Second), MessageLife: s(2 * time.Second),
			ReservationHold: s(4 * time.Second), StartWindow: s(3 * time.Second), StartLease: s(4 * time.Second),
			Fresh: s(2 * time.Second), HolderTimeout: s(3500 * time.Millisecond), MemberTimeout: s(10 * time.Second),
			LostAfter: s(90 * time.Second), Margin: s(time.Second), Plan: s(50 * time.Millisecond), Tick: s(100 * time.Millisecond),
			LogWait: s(500 * time.Millisecond), LogTimeout: s(time.Second), SnapshotInterval: s(5 * time.Minute),
			ShutdownDelay: s(2 * time.Second), ShutdownTimeout: s(2 * time.Minute), ListInterval: s(2 * time.Second),
		},
		Limits:  Limits{AppendsPerSecond: 8, AppendBurst: 16, RetriesPerSecond: 10, SnapshotRecords: 5000, MaxHeaderBytes: 64 << 10, MinionConnections: 16},
		Logging: Logging{Access: true},
	}
}
