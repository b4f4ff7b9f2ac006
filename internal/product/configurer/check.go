package configurer

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/parser"
	"daisyhead/internal/entry/specifier"
)

// Load reads and checks a settings file. Keys that the file doesn't set keep
// their defaults.
func Load(file string) (s Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse parses and checks settings. file is the name to use in errors.
func Parse(file string, data []byte) (s Settings, err error) {
	s = Default()
	lines, err := parser.ParseLines(file, data, &s)
	if err != nil {
		return Settings{}, err
	}
	c := checker{file: file, lines: lines}
	c.check(s)
	if len(c.faults) > 0 {
		return Settings{}, c.faults
	}
	return s, nil
}

// Encode returns the settings as YAML, which Parse accepts if they are valid.
func Encode(s Settings) (data []byte, err error) {
	node, err := yamlNode(s)
	if err != nil {
		return nil, err
	}
	return yaml.Marshal(node)
}

// checker collects the faults that it finds in settings.
type checker struct {
	file   string
	lines  parser.Lines
	faults parser.FieldErrors
}

// addFault records a fault at the line of the key, or of its nearest ancestor that
// is set in the file.
func (c *checker) addFault(key, format string, args ...any) {
	line, ancestor := 1, key
	for ancestor != "" {
		if l, ok := c.lines[ancestor]; ok {
			line = l
			break
		}
		ancestor = parentKey(ancestor)
	}
	c.faults = append(c.faults, parser.FieldError{File: c.file, Line: line, Key: key, Message: fmt.Sprintf(format, args...)})
}

// parentKey returns the key that contains the given one, or "" at the top level.
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

func (c *checker) check(s Settings) {
	for _, f := range []struct{ key, value string }{{"Instance.Name", s.Instance.Name}, {"Instance.Domain", s.Instance.Domain}} {
		if f.value == "" {
			c.addFault(f.key, "is missing")
		}
	}
	c.checkListeners(s.Listeners)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	c.checkTiming(s.Timing)
	c.checkLimits(s.Limits)
	c.checkTokens(s)
}

func (c *checker) checkListeners(l Listeners) {
	c.checkAddress("Listeners.API.Address", l.API.Address)
	c.checkAddress("Listeners.Admin.Address", l.Admin.Address)
	c.checkAddress("Listeners.Peer.Address", l.Peer.Address)
	if l.API.Address == l.Admin.Address {
		c.addFault("Listeners.Admin.Address", "%s is also the address of the API listener", l.Admin.Address)
	}
	if samePort(l.API.Address, l.Peer.Address) || samePort(l.Admin.Address, l.Peer.Address) {
		c.addFault("Listeners.Peer.Address", "%s uses the same port as another listener", l.Peer.Address)
	}
	c.checkKeyPair("Listeners.API", l.API.CertificateFile, l.API.KeyFile)
	c.checkKeyPair("Listeners.Admin", l.Admin.CertificateFile, l.Admin.KeyFile)
}

func samePort(a, b string) bool {
	_, p, errA := net.SplitHostPort(a)
	_, q, errB := net.SplitHostPort(b)
	return errA == nil && errB == nil && p == q
}

func (c *checker) checkKeyPair(key, certificate, privateKey string) {
	if (certificate == "") != (privateKey == "") {
		c.addFault(key, "needs both CertificateFile and KeyFile, or neither")
	}
}

func (c *checker) checkAddress(key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
		c.addFault(key, "%q is not IP:PORT", address)
	}
}

func (c *checker) checkPlatform(p Platform) {
	if len(p.LogAddresses) == 0 {
		c.addFault("Platform.LogAddresses", "must list at least one address")
	}
	for i, a := range p.LogAddresses {
		c.checkAddress(fmt.Sprintf("Platform.LogAddresses[%d]", i), a)
	}
	for i, a := range p.InstanceAddresses {
		c.checkAddress(fmt.Sprintf("Platform.InstanceAddresses[%d]", i), a)
	}
	streams := map[string]string{}
	for _, f := range []struct{ key, name string }{
		{"Platform.LedgerStream", p.LedgerStream}, {"Platform.ConfigStream", p.ConfigStream}, {"Platform.SnapshotStream", p.SnapshotStream},
	} {
		if f.name == "" {
			c.addFault(f.key, "is missing")
		}
		if other, ok := streams[f.name]; ok {
			c.addFault(f.key, "is the same stream as %s", other)
		}
		streams[f.name] = f.key
	}
}

func (c *checker) checkPeers(p Peers) {
	for _, f := range []struct{ key, file string }{
		{"Peers.CertificateFile", p.CertificateFile}, {"Peers.KeyFile", p.KeyFile}, {"Peers.AuthorityFile", p.AuthorityFile},
	} {
		if f.file == "" {
			c.addFault(f.key, "is missing: instances communicate only over mutual TLS")
		}
	}
	c.checkRange("Peers.Heartbeat", p.Heartbeat, 50*time.Millisecond, time.Minute)
	for i, seed := range p.Seeds {
		c.checkAddress(fmt.Sprintf("Peers.Seeds[%d].Address", i), seed.Address)
	}
}

func (c *checker) checkRange(key string, d specifier.Duration, low, high time.Duration) {
	if d.TimeDuration() < low || d.TimeDuration() > high {
		c.addFault(key, "%s must be from %s to %s", d, low, high)
	}
}

func (c *checker) checkTiming(t Timing) {
	ranges := []struct {
		key       string
		value     specifier.Duration
		low, high time.Duration
	}{
		{"Lease", t.Lease, time.Second, 10 * time.Minute}, {"Renew", t.Renew, 100 * time.Millisecond, time.Minute},
		{"MessageLife", t.MessageLife, 100 * time.Millisecond, 5 * time.Second},
		{"ReservationHold", t.ReservationHold, 200 * time.Millisecond, 30 * time.Second},
		{"StartWindow", t.StartWindow, 200 * time.Millisecond, 30 * time.Second},
		{"StartLease", t.StartLease, 300 * time.Millisecond, time.Minute},
		{"Fresh", t.Fresh, 100 * time.Millisecond, 3 * time.Second},
		{"HolderTimeout", t.HolderTimeout, 200 * time.Millisecond, time.Minute},
		{"MemberTimeout", t.MemberTimeout, 500 * time.Millisecond, 5 * time.Minute},
		{"LostAfter", t.LostAfter, 2 * time.Second, time.Hour}, {"Margin", t.Margin, 10 * time.Millisecond, 30 * time.Second},
		{"Plan", t.Plan, 5 * time.Millisecond, 5 * time.Second}, {"Tick", t.Tick, 5 * time.Millisecond, time.Second},
		{"LogWait", t.LogWait, 10 * time.Millisecond, 10 * time.Second}, {"LogTimeout", t.LogTimeout, 50 * time.Millisecond, 30 * time.Second},
		{"SnapshotInterval", t.SnapshotInterval, time.Second, 24 * time.Hour},
		{"ShutdownDelay", t.ShutdownDelay, 0, time.Minute}, {"ShutdownTimeout", t.ShutdownTimeout, time.Second, time.Hour},
		{"ListInterval", t.ListInterval, 100 * time.Millisecond, time.Minute},
	}
	for _, r := range ranges {
		c.checkRange("Timing."+r.key, r.value, r.low, r.high)
	}
	c.checkTimingOrder(t)
}

// checkTimingOrder checks the time limits that must be shorter than others.
func (c *checker) checkTimingOrder(t Timing) {
	orders := []struct {
		key                string
		less, more         specifier.Duration
		lessName, moreName string
	}{
		{"Timing.Renew", 3 * t.Renew, t.Lease, "three times Renew", "Lease"},
		{"Timing.StartLease", t.StartWindow, t.StartLease, "StartWindow", "StartLease"},
		{"Timing.ReservationHold", t.MessageLife, t.ReservationHold, "MessageLife", "ReservationHold"},
		{"Timing.LostAfter", t.Lease + t.Margin, t.LostAfter, "Lease and Margin together", "LostAfter"},
		{"Timing.LogWait", t.LogWait, t.Fresh, "LogWait", "Fresh"},
	}
	for _, o := range orders {
		if o.less >= o.more {
			c.addFault(o.key, "%s (%s) must be less than %s (%s)", o.lessName, o.less, o.moreName, o.more)
		}
	}
}

func (c *checker) checkLimits(l Limits) {
	numbers := []struct {
		key       string
		value     float64
		low, high float64
	}{
		{"AppendsPerSecond", l.AppendsPerSecond, 0.1, 1000}, {"AppendBurst", float64(l.AppendBurst), 1, 10000},
		{"RetriesPerSecond", l.RetriesPerSecond, 0, 10000}, {"SnapshotRecords", float64(l.SnapshotRecords), 10, 1e7},
		{"MaxHeaderBytes", float64(l.MaxHeaderBytes), 4096, 1 << 20}, {"MaxConnections", float64(l.MaxConnections), 16, 1e6},
		{"BodyMemoryMB", float64(l.BodyMemoryMB), 8, 1e6}, {"MinionConnections", float64(l.MinionConnections), 1, 1024},
	}
	for _, n := range numbers {
		if n.value < n.low || n.value > n.high {
			c.addFault("Limits."+n.key, "%v must be from %v to %v", n.value, n.low, n.high)
		}
	}
}

// checkTokens checks each token by itself, so that every fault is reported at the line
// of its token.
func (c *checker) checkTokens(s Settings) {
	names := map[string]bool{}
	for i, t := range s.Tokens {
		key := fmt.Sprintf("Tokens[%d]", i)
		if _, err := authenticator.New([]authenticator.Token{t}, false); err != nil {
			c.addFault(key, "%s", err.Error())
		}
		if names[t.Name] {
			c.addFault(key+".Name", "%q is used more than once", t.Name)
		}
		names[t.Name] = true
	}
	if len(s.Tokens) == 0 && !s.AllowAnonymous {
		c.addFault("Tokens", "is empty and AllowAnonymous is false: nobody could use the instance")
	}
}
