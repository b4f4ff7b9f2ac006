// Package demonstrator shows the whole system in one process: stand-ins of the
// platform, three instances on loopback, a site's tickets and jobs, and
// failures while it all runs. The stand-ins count broken promises.
//
//	summary, err := demonstrator.Run(ctx, demonstrator.Options{Site: "pescados", Progress: os.Stderr})
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/examples"
	"daisyhead/internal/entry/caller"
	"daisyhead/internal/entry/parser"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/product/assembler"
)

// Options select what is shown.
type Options struct {
	Site     string
	Progress io.Writer
	// Verbose prints the instances' logs to Progress.
	Verbose bool
}

// Bounds of the demonstration.
const (
	// Limit is the longest that a demonstration takes.
	Limit = 55 * time.Second
	// ClaimBound is the time in which a claimed guarantee must run.
	ClaimBound = 10 * time.Second
	// DomainBound is the time after which nothing may start in a domain that
	// was taken out.
	DomainBound = 5 * time.Second
	// settle is a pause between steps.
	settle = 2 * time.Second
)

// demo is one running demonstration.
type demo struct {
	options  Options
	began    time.Time
	platform *platform
	fleet    *fleet
	cluster  *cluster
	callers  *callers
	client   *caller.Client
	jobs     []specifier.Job
	ids      map[string]string
	// claimed is when each job that claims a guarantee was submitted.
	claimed map[string]time.Time
}

// Run shows a site and returns what came of it.
func Run(ctx context.Context, o Options) (summary Summary, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "demonstration")
		}
	}()
	logs := io.Discard
	if o.Verbose {
		logs = o.Progress
	}
	assembler.LogJSON(logs, 0)
	ctx, cancel := context.WithTimeout(ctx, Limit)
	defer cancel()
	d := &demo{options: o, began: time.Now(), ids: map[string]string{}, claimed: map[string]time.Time{}}
	if err := d.start(ctx); err != nil {
		return Summary{}, err
	}
	defer d.stop()
	if err := d.play(ctx); err != nil {
		return Summary{}, err
	}
	return d.summarize(ctx)
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, "%6.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) start(ctx context.Context) (err error) {
	fleetTicket, err := d.ticket("001-fleet.yaml")
	if err != nil {
		return err
	}
	if d.platform, err = startPlatform(); err != nil {
		return err
	}
	if d.fleet, err = startFleet(fleetTicket); err != nil {
		return err
	}
	if d.cluster, err = startCluster(d.platform, fleetTicket.Domains); err != nil {
		return err
	}
	d.say("stand-ins of the log, the instance list, %d workers and %d minions run; instances %s start",
		len(d.fleet.workers), len(d.fleet.minions), d.cluster.names())
	if d.client, err = caller.New(caller.Config{Servers: d.cluster.apiAddresses()}); err != nil {
		return err
	}
	return d.awaitHolder(ctx)
}

func (d *demo) awaitHolder(ctx context.Context) error {
	for ctx.Err() == nil {
		if holder := d.cluster.holder(); holder != nil {
			d.say("%s holds the term and decides", holder.instance.Name())
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("no instance took the term")
}

func (d *demo) stop() {
	d.cluster.stop()
	d.fleet.stop()
	d.platform.stop()
}

func (d *demo) ticket(name string) (t specifier.Ticket, err error) {
	file := d.options.Site + "/" + name
	data, err := examples.Files.ReadFile(file)
	if err != nil {
		return t, err
	}
	return t, parser.Parse(file, data, &t)
}

// jobFile is the form of a site's jobs.
type jobFile struct{ Jobs []specifier.Job }

func (d *demo) readJobs() (err error) {
	file := d.options.Site + "/jobs.yaml"
	data, err := examples.Files.ReadFile(file)
	if err != nil {
		return err
	}
	var f jobFile
	if err := parser.Parse(file, data, &f); err != nil {
		return err
	}
	d.jobs = f.Jobs
	return nil
}

// apply applies a ticket until it has a verdict.
func (d *demo) apply(ctx context.Context, t specifier.Ticket) (v presenter.TicketResult, err error) {
	for ctx.Err() == nil {
		v, err = d.client.ApplyTicket(ctx, t, false)
		if err == nil {
			return v, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return v, err
}
