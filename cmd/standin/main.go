// Command standin runs a stand-in for a part of the platform (the log service, the
// list of instances, workers or minions), for trial setups with real processes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"daisyhead/internal/platform/lister"
	"daisyhead/internal/standin/answerer"
	"daisyhead/internal/standin/logkeeper"
	"daisyhead/internal/standin/registrar"
	"daisyhead/internal/standin/taskrunner"
)

type logCommand struct {
	Listen     string        `long:"listen" default:"127.0.0.1:7000" description:"listen address"`
	Retention  time.Duration `long:"retention" default:"24h" description:"how long records are kept"`
	MaxRecords int           `long:"max-records" description:"maximum number of records kept per stream; 0 means no limit"`
}

// Execute runs the log service.
func (c *logCommand) Execute([]string) error {
	return serve(c.Listen, logkeeper.New(logkeeper.Config{Retention: c.Retention, MaxRecords: c.MaxRecords}))
}

type membersCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:7001" description:"listen address"`
	Lag      time.Duration `long:"lag" default:"2s" description:"delay until a change of the list is visible"`
	Instance []string      `long:"instance" description:"NAME=IP:PORT of an instance's peer listener; may be repeated"`
}

// Execute runs the service that lists the instances.
func (c *membersCommand) Execute([]string) error {
	r := registrar.New(c.Lag)
	var instances []lister.Instance
	for _, text := range c.Instance {
		name, address, ok := strings.Cut(text, "=")
		if !ok {
			return errors.Newf("%q is not NAME=IP:PORT", text)
		}
		instances = append(instances, lister.Instance{Name: name, PeerAddress: address, State: lister.StateLive})
	}
	r.Set(instances)
	return serve(c.Listen, r)
}

type workerCommand struct {
	Listen       string        `long:"listen" default:"127.0.0.1:7101" description:"listen address of the first worker; further workers use the following ports"`
	Count        int           `long:"count" default:"1" description:"number of workers"`
	Name         string        `long:"name" default:"worker" description:"name; with several workers, -1, -2, ... is appended"`
	Processors   int           `long:"processors" default:"64" description:"processors per worker"`
	MemoryMB     int           `long:"memory" default:"131072" description:"memory per worker in MB"`
	Accelerators int           `long:"accelerators" default:"8" description:"accelerators per worker"`
	Checkpoint   time.Duration `long:"checkpoint" default:"500ms" description:"duration of a checkpoint"`
	UsageLag     time.Duration `long:"usage-lag" default:"5s" description:"age of the reported memory usage"`
	FailAll      bool          `long:"fail-all" description:"make every task fail"`
}

// Execute runs the workers.
func (c *workerCommand) Execute([]string) error {
	return serveMany(c.Listen, c.Count, func(n int) http.Handler {
		r := taskrunner.New(taskrunner.Config{
			Name: indexedName(c.Name, n, c.Count), Processors: c.Processors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators,
			CheckpointTime: c.Checkpoint, UsageLag: c.UsageLag,
		})
		r.SetFaults(taskrunner.Faults{FailAll: c.FailAll})
		return r
	})
}

type minionCommand struct {
	Listen      string `long:"listen" default:"127.0.0.1:7401" description:"listen address of the first minion; further minions use the following ports"`
	Count       int    `long:"count" default:"1" description:"number of minions"`
	Name        string `long:"name" default:"minion" description:"name; with several minions, -1, -2, ... is appended"`
	Slots       int    `long:"slots" default:"8" description:"maximum number of concurrent requests per minion"`
	Connections int    `long:"connections" default:"64" description:"maximum number of concurrent connections per minion; more are counted, not refused"`
}

// Execute runs the minions.
func (c *minionCommand) Execute([]string) error {
	return serveMany(c.Listen, c.Count, func(n int) http.Handler {
		return answerer.New(answerer.Config{Name: indexedName(c.Name, n, c.Count), Slots: c.Slots, Connections: c.Connections})
	})
}

// indexedName appends the number of the server, counted from 1, unless there is
// only one.
func indexedName(name string, n, count int) string {
	if count == 1 {
		return name
	}
	return fmt.Sprintf("%s-%d", name, n+1)
}

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"log", "The platform's log service", &logCommand{}},
		{"members", "The platform's list of instances", &membersCommand{}},
		{"worker", "Workers that simulate tasks", &workerCommand{}},
		{"minion", "Minions that answer requests", &minionCommand{}},
	} {
		if _, err := p.AddCommand(c.name, c.short, "", c.data); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
