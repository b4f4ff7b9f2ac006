package configurer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/product/configurer"
)

func ExampleParse() {
	_, err := configurer.Parse("entry.yaml", []byte("AllowAnonymous: true\nTiming:\n  Lease: 15\n"))
	fmt.Println(err)
	// Output:
	// entry.yaml:3: Timing.Lease: "15" is not a duration with a unit, such as 500ms, 2s or 1h30m
}

// TestParseErrors checks that each kind of mistake is reported in one line with
// file, line and key.
func TestParseErrors(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown key", "AllowAnonymous: true\nInstanse:\n  Name: x\n", "f:2: Instanse: unknown key"},
		{"key in another case", "AllowAnonymous: true\ninstance:\n  Name: x\n", "f:2: instance: unknown key (did you mean Instance?)"},
		{"unknown unit", "AllowAnonymous: true\nTiming:\n  Lease: 15 seconds\n", `f:3: Timing.Lease: "15 seconds" is not a duration with a unit, such as 500ms, 2s or 1h30m`},
		{"bad address", "AllowAnonymous: true\nListeners:\n  API:\n    Address: localhost\n", `f:4: Listeners.API.Address: "localhost" is not IP:PORT`},
		{"two listeners on one port", "AllowAnonymous: true\nListeners:\n  Admin:\n    Address: 127.0.0.1:7201\n", "f:4: Listeners.Admin.Address: 127.0.0.1:7201 is also the address of the API listener"},
		{"a peer listener on the port of another listener", "AllowAnonymous: true\nListeners:\n  Peer:\n    Address: 127.0.0.1:7211\n", "f:4: Listeners.Peer.Address: 127.0.0.1:7211 uses the same port as another listener"},
		{"a certificate without its key", "AllowAnonymous: true\nListeners:\n  API:\n    CertificateFile: a.crt\n", "f:3: Listeners.API: needs both CertificateFile and KeyFile, or neither"},
		{"out of range", "AllowAnonymous: true\nTiming:\n  Fresh: 1m\n", "f:3: Timing.Fresh: 1m0s must be from 100ms to 3s"},
		{"a limit that must be shorter than another", "AllowAnonymous: true\nTiming:\n  Renew: 10s\n", "f:3: Timing.Renew: three times Renew (30s) must be less than Lease (20s)"},
		{"wrong type", "AllowAnonymous: maybe\n", `f:1: AllowAnonymous: "maybe" is not true or false`},
		{"a key twice", "AllowAnonymous: true\nAllowAnonymous: true\n", "f:2: AllowAnonymous: the key is set more than once"},
		{"no token", "Logging:\n  Access: true\n", "f:1: Tokens: is empty and AllowAnonymous is false: nobody could use the instance"},
		{"a token whose hash is not a hash", "Tokens:\n  - Name: a\n    Role: Operator\n    Hash: secret\n", `f:2: Tokens[0]: token "a": Hash must be a SHA-256 in hexadecimal`},
		{"one stream for two uses", "AllowAnonymous: true\nPlatform:\n  ConfigStream: ledger\n", "f:3: Platform.ConfigStream: is the same stream as Platform.LedgerStream"},
		{"invalid YAML", "a: [\n", "f: line 1: did not find expected node content"},
		{"an empty file", "", "f:1: the file is empty"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := configurer.Parse("f", []byte(test.text))
			if err == nil {
				t.Fatal("no error")
			}
			if diff := cmp.Diff(test.want, err.Error()); diff != "" {
				t.Errorf("error differs (-want +got):\n%s", diff)
			}
		})
	}
}

// TestDefaultRoundTrip checks that the default settings can be written and read
// back unchanged, and that durations are written with a unit.
func TestDefaultRoundTrip(t *testing.T) {
	want := configurer.Default()
	want.AllowAnonymous = true
	data, err := configurer.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := configurer.Parse("f", data)
	if err != nil {
		t.Fatal(err)
	}
	got.Tokens, got.Peers.Seeds = nil, nil
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
	if !strings.Contains(string(data), "Lease: 20s") {
		t.Errorf("durations are written without a unit:\n%s", data)
	}
}
