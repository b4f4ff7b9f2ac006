// Package demonstrator runs the whole system in one process: stand-ins for the
// platform, the workers and the minions, and three instances on loopback. It
// applies the tickets and submits the jobs of an example site, injects failures and
// uses the stand-ins' records to count violations of the system's invariants.
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

// Options configures a demonstration.
type Options struct {
	// Site is the directory of the example, such as pescados.
	Site string
	// Progress receives one line per step.
	Progress io.Writer
	// Verbose prints the instances' logs to Progress.
	Verbose bool
}

// Time limits of the demonstration.
const (
	// MaxDuration limits the duration of a demonstration.
	MaxDuration = 55 * time.Second
	// GuaranteeTimeout is the time after submission within which all tasks of a job
	// that a guarantee covers must run.
	GuaranteeTimeout = 10 * time.Second
	// DomainOutGracePeriod is the time after which no job may start in a failure domain
	// that was taken out.
	DomainOutGracePeriod = 5 * time.Second
	// stepPause is the pause after a step.
	stepPause = 2 * time.Second
)

// demo is one running demonstration.
type demo struct {
	options   Options
	startTime time.Time
	platform  *platform
	fleet     *fleet
	cluster   *cluster
	callers   *callerPool
	client    *caller.Client
	jobs      []specifier.Job
	// jobIDs maps job names to IDs.
	jobIDs map[string]string
	// guaranteedSince maps the IDs of jobs that a guarantee covers to when they were
	// submitted.
	guaranteedSince map[string]time.Time
}

// Run runs the demonstration of a site and returns its results.
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
	ctx, cancel := context.WithTimeout(ctx, MaxDuration)
	defer cancel()
	d := &demo{options: o, startTime: time.Now(), jobIDs: map[string]string{}, guaranteedSince: map[string]time.Time{}}
	if err := d.start(ctx); err != nil {
		return Summary{}, err
	}
	defer d.stop()
	if err := d.runScript(ctx); err != nil {
		return Summary{}, err
	}
	return d.summarize(ctx)
}

func (d *demo) logProgress(format string, args ...any) {
	fmt.Fprintf(d.options.Progress, "%6.1fs  %s\n", time.Since(d.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the stand-ins and the instances and waits for a holder of the term.
func (d *demo) start(ctx context.Context) (err error) {
	fleetTicket, err := d.readTicket("001-fleet.yaml")
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
	d.logProgress("started stand-ins for the log, the instance list, %d workers and %d minions; starting instances %s",
		len(d.fleet.workers), len(d.fleet.minions), d.cluster.names())
	if d.client, err = caller.New(caller.Config{Servers: d.cluster.apiAddresses()}); err != nil {
		return err
	}
	return d.awaitHolder(ctx)
}

// awaitHolder waits until an instance holds the term or the context ends.
func (d *demo) awaitHolder(ctx context.Context) error {
	for ctx.Err() == nil {
		if holder := d.cluster.holder(); holder != nil {
			d.logProgress("%s holds the term and controls the fleet", holder.instance.Name())
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("no instance has claimed the term")
}

func (d *demo) stop() {
	d.cluster.stop()
	d.fleet.stop()
	d.platform.stop()
}

// readTicket reads one of the site's ticket files.
func (d *demo) readTicket(name string) (t specifier.Ticket, err error) {
	file := d.options.Site + "/" + name
	data, err := examples.Files.ReadFile(file)
	if err != nil {
		return t, err
	}
	return t, parser.Parse(file, data, &t)
}

// jobFile is the content of a site's jobs.yaml.
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

// applyTicket applies a ticket and retries until it has a verdict.
func (d *demo) applyTicket(ctx context.Context, t specifier.Ticket) (v presenter.TicketResult, err error) {
	for ctx.Err() == nil {
		v, err = d.client.ApplyTicket(ctx, t, false)
		if err == nil {
			return v, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return v, err
}
