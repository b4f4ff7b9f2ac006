// Command standin runs one of the small stand-ins of the platform, for trying
// daisyhead out with real processes.
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
	Listen     string        `long:"listen" default:"127.0.0.1:7000" description:"address"`
	Retention  time.Duration `long:"retention" default:"24h" description:"how long records are kept"`
	MaxRecords int           `long:"max-records" description:"how many records of a stream are kept; 0 is no bound"`
}

// Execute runs the log.
func (c *logCommand) Execute([]string) error {
	return serve(c.Listen, logkeeper.New(logkeeper.Config{Retention: c.Retention, MaxRecords: c.MaxRecords}))
}

type membersCommand struct {
	Listen   string        `long:"listen" default:"127.0.0.1:7001" description:"address"`
	Lag      time.Duration `long:"lag" default:"2s" description:"how far the list lags behind"`
	Instance []string      `long:"instance" description:"NAME=IP:PORT of an instance's peer listener; may be repeated"`
}

// Execute runs the list of instances.
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
	Listen       string        `long:"listen" default:"127.0.0.1:7101" description:"address of the first worker; the others follow port by port"`
	Count        int           `long:"count" default:"1" description:"how many workers to run"`
	Name         string        `long:"name" default:"worker" description:"name; a number follows when there are several"`
	Processors   int           `long:"processors" default:"64" description:"processors of each"`
	MemoryMB     int           `long:"memory" default:"131072" description:"memory of each in MB"`
	Accelerators int           `long:"accelerators" default:"8" description:"accelerators of each"`
	Checkpoint   time.Duration `long:"checkpoint" default:"500ms" description:"how long a checkpoint takes"`
	UsageLag     time.Duration `long:"usage-lag" default:"5s" description:"how old reported usage is"`
	FailAll      bool          `long:"fail-all" description:"fail every task"`
}

// Execute runs workers.
func (c *workerCommand) Execute([]string) error {
	return serveMany(c.Listen, c.Count, func(n int) http.Handler {
		r := taskrunner.New(taskrunner.Config{
			Name: numbered(c.Name, n, c.Count), Processors: c.Processors, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators,
			CheckpointTime: c.Checkpoint, UsageLag: c.UsageLag,
		})
		r.SetFaults(taskrunner.Faults{FailAll: c.FailAll})
		return r
	})
}

type minionCommand struct {
	Listen      string `long:"listen" default:"127.0.0.1:7401" description:"address of the first minion; the others follow port by port"`
	Count       int    `long:"count" default:"1" description:"how many minions to run"`
	Name        string `long:"name" default:"minion" description:"name; a number follows when there are several"`
	Slots       int    `long:"slots" default:"8" description:"requests at once"`
	Connections int    `long:"connections" default:"64" description:"connections at once"`
}

// Execute runs minions.
func (c *minionCommand) Execute([]string) error {
	return serveMany(c.Listen, c.Count, func(n int) http.Handler {
		return answerer.New(answerer.Config{Name: numbered(c.Name, n, c.Count), Slots: c.Slots, Connections: c.Connections})
	})
}

func numbered(name string, n, count int) string {
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
		{"worker", "Workers that pretend to run tasks", &workerCommand{}},
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
