package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"daisyhead/internal/product/assembler"
	"daisyhead/internal/product/configurer"
	"daisyhead/internal/product/keymaker"
	"daisyhead/internal/product/printer"
)

type serveCommand struct {
	Config string `long:"config" required:"true" description:"settings file"`
}

// Execute runs an instance until it is interrupted.
func (c *serveCommand) Execute([]string) (err error) {
	ctx, reload := daemonSignals()
	s, err := configurer.Load(c.Config)
	if err != nil {
		return exitError{exitUsage, err}
	}
	assembler.LogJSON(os.Stderr, s.Logging.Verbosity)
	pair, authority, err := readPeerKeys(s.Peers)
	if err != nil {
		return exitError{exitUsage, err}
	}
	tls, err := keymaker.TLS(pair, authority)
	if err != nil {
		return exitError{exitUsage, err}
	}
	instance, err := assembler.New(s, tls)
	if err != nil {
		return err
	}
	go func() {
		for range reload {
			klog.InfoS("Reload ignored", "Reason", "settings take effect at the next start")
		}
	}()
	return instance.Run(ctx)
}

func readPeerKeys(p configurer.Peers) (pair keymaker.Pair, authority []byte, err error) {
	for _, f := range []struct {
		name string
		data *[]byte
	}{{p.CertificateFile, &pair.Certificate}, {p.KeyFile, &pair.Key}, {p.AuthorityFile, &authority}} {
		if *f.data, err = os.ReadFile(f.name); err != nil {
			return pair, nil, errors.Wrap(err, "read certificates and key for peer connections")
		}
	}
	return pair, authority, nil
}

type configCheckCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute validates a settings file.
func (c *configCheckCommand) Execute([]string) error {
	if _, err := configurer.Load(c.Args.File); err != nil {
		return exitError{exitUsage, err}
	}
	fmt.Println(c.Args.File + ": valid")
	return nil
}

type configDefaultCommand struct{}

// Execute prints the default settings.
func (configDefaultCommand) Execute([]string) error {
	data, err := configurer.Encode(configurer.Default())
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(data)
	return err
}

type keysAuthorityCommand struct {
	Out  string `long:"out" default:"keys" description:"directory for authority.crt and authority.key"`
	Name string `long:"name" default:"daisyhead try-out" description:"name of the authority"`
}

// Execute generates a certificate authority and writes its certificate and key.
func (c *keysAuthorityCommand) Execute([]string) error {
	a, err := keymaker.NewAuthority(c.Name)
	if err != nil {
		return err
	}
	return a.Write(c.Out, "authority")
}

type keysCertificateCommand struct {
	Out  string   `long:"out" default:"keys" description:"directory that contains the authority's files and receives the certificate"`
	Name string   `long:"name" required:"true" description:"name of the instance"`
	IP   []string `long:"ip" default:"127.0.0.1" description:"IP address of the instance; may be repeated"`
}

// Execute generates the certificate and key of an instance.
func (c *keysCertificateCommand) Execute([]string) error {
	a, err := keymaker.LoadAuthority(c.Out, "authority")
	if err != nil {
		return err
	}
	pair, err := a.Certificate(c.Name, c.IP)
	if err != nil {
		return err
	}
	return pair.Write(c.Out, c.Name)
}

type keysTokenCommand struct{}

// Execute generates a bearer token and prints it with its hash.
func (keysTokenCommand) Execute([]string) error {
	t, err := keymaker.NewToken()
	if err != nil {
		return err
	}
	table := printer.Table{Head: []string{"TOKEN", "HASH"}}
	table.Add(t.Token, t.Hash)
	return output().Print(t, table)
}

type versionCommand struct{}

// Execute prints the version.
func (versionCommand) Execute([]string) error {
	v := struct{ Version string }{version}
	table := printer.Table{}
	table.Add("daisyhead " + version)
	return output().Print(v, table)
}
