package demonstrator

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/standin/taskrunner"
)

// runScript runs the steps of the demonstration in order.
func (d *demo) runScript(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.applyTickets,
		d.startCallers,
		d.fillFleet,
		d.submitGuaranteed,
		d.cancelDrafts,
		d.takeDomainOut,
		d.replaceInstance,
		d.killHolder,
		d.returnDomain,
		d.awaitJobs,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for t or until the context ends.
func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// applyTickets applies the site's fleet and workspaces.
func (d *demo) applyTickets(ctx context.Context) error {
	if err := d.applyAccepted(ctx, d.fleet.ticket); err != nil {
		return err
	}
	workspaces, err := d.readTicket("002-workspaces.yaml")
	if err != nil {
		return err
	}
	if err := d.applyAccepted(ctx, workspaces); err != nil {
		return err
	}
	return d.applyConflicting(ctx, workspaces)
}

// applyAccepted applies a ticket and returns an error if it is refused.
func (d *demo) applyAccepted(ctx context.Context, t specifier.Ticket) error {
	v, err := d.applyTicket(ctx, t)
	if err != nil {
		return err
	}
	if !v.Accepted {
		return errors.Newf("ticket %d is refused: %s", v.Number, v.Reason)
	}
	d.logProgress("ticket %d of %s is accepted: %s", t.Number, t.Operator, t.Comment)
	for _, w := range v.Warnings {
		d.logProgress("  warning: %s", w)
	}
	return nil
}

// applyConflicting applies a ticket with a number that is taken and with different
// content, as another operator. It must be refused.
func (d *demo) applyConflicting(ctx context.Context, t specifier.Ticket) error {
	t.Operator, t.Workspaces = "racer", t.Workspaces[:1]
	v, err := d.applyTicket(ctx, t)
	if err != nil {
		return err
	}
	if v.Accepted {
		return errors.Newf("ticket %d was accepted twice with different content", t.Number)
	}
	d.logProgress("ticket %d of %s is refused (%s)", t.Number, t.Operator, v.Code)
	return nil
}

// startCallers reads the site's jobs and starts callers for its first service, in
// the workspace of the first job.
func (d *demo) startCallers(ctx context.Context) error {
	if err := d.readJobs(); err != nil {
		return err
	}
	service := d.fleet.ticket.MinionGroups[0].Service
	d.callers = startCallers(ctx, d.cluster, service, d.jobs[0].Workspace)
	d.logProgress("callers send requests to service %s: idempotent ones, and bookings that must run at most once", service)
	return nil
}

// submitJobs concurrently submits the jobs for which selects returns true, and
// returns their number.
func (d *demo) submitJobs(ctx context.Context, selects func(specifier.Job) bool) (count int, err error) {
	var g errgroup.Group
	var mu sync.Mutex
	for _, j := range d.jobs {
		if !selects(j) {
			continue
		}
		count++
		g.Go(func() error {
			job, err := d.submitJob(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			d.jobIDs[j.Name] = job.ID
			return err
		})
	}
	return count, g.Wait()
}

// submitJob submits a job and retries until it succeeds or the context ends.
func (d *demo) submitJob(ctx context.Context, j specifier.Job) (job presenter.Job, err error) {
	for ctx.Err() == nil {
		job, err = d.client.SubmitJob(ctx, j)
		if err == nil {
			return job, nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return job, err
}

// claimsGuarantee reports whether a guarantee covers the job, by the kind of job
// that its name begins with.
func claimsGuarantee(j specifier.Job) bool {
	kind, _, _ := strings.Cut(j.Name, "-")
	switch kind {
	case "reconciliation", "settlement", "quote", "nightly", "proof", "booking", "fit":
		return true
	}
	return false
}

// fillFleet makes one worker fail all its tasks and submits the jobs without a
// guarantee.
func (d *demo) fillFleet(ctx context.Context) error {
	failing := d.fleet.workers[0]
	failing.runner.SetFaults(taskrunner.Faults{FailAll: true})
	d.logProgress("worker %s now fails every task", failing.name)
	n, err := d.submitJobs(ctx, func(j specifier.Job) bool { return !claimsGuarantee(j) })
	if err != nil {
		return err
	}
	d.logProgress("submitted %d jobs that fill the fleet with borrowed accelerators; one of them can never run", n)
	sleep(ctx, stepPause)
	return nil
}

// submitGuaranteed submits the jobs that a guarantee covers.
func (d *demo) submitGuaranteed(ctx context.Context) error {
	now := time.Now()
	n, err := d.submitJobs(ctx, claimsGuarantee)
	if err != nil {
		return err
	}
	for _, j := range d.jobs {
		if claimsGuarantee(j) {
			d.guaranteedSince[d.jobIDs[j.Name]] = now
		}
	}
	d.logProgress("submitted %d jobs that claim guarantees, some urgent, some not idempotent", n)
	sleep(ctx, stepPause)
	return nil
}

// cancelDrafts concurrently cancels all draft jobs.
func (d *demo) cancelDrafts(ctx context.Context) error {
	n := 0
	var g errgroup.Group
	for _, j := range d.jobs {
		if !strings.HasPrefix(j.Name, "draft-") {
			continue
		}
		n++
		g.Go(func() error { return d.cancelJob(ctx, d.jobIDs[j.Name]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	d.logProgress("cancelled %d jobs at once", n)
	return nil
}

// cancelJob cancels a job and retries until it succeeds or the context ends.
func (d *demo) cancelJob(ctx context.Context, id string) (err error) {
	for ctx.Err() == nil {
		if _, err = d.client.CancelJob(ctx, id, "the draft is not needed"); err == nil {
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return err
}

// takeDomainOut takes a failure domain out of service.
func (d *demo) takeDomainOut(ctx context.Context) error {
	t, err := d.readTicket("003-domain-out.yaml")
	if err != nil {
		return err
	}
	if err := d.applyAccepted(ctx, t); err != nil {
		return err
	}
	d.fleet.recordDomainOut(t.Domains[0].Name, time.Now())
	sleep(ctx, stepPause)
	return nil
}

// replaceInstance gracefully replaces an instance that doesn't hold the term.
func (d *demo) replaceInstance(ctx context.Context) error {
	n := d.cluster.anyNonHolder()
	name := n.instance.Name()
	if err := d.cluster.replace(n); err != nil {
		return err
	}
	d.logProgress("%s was stopped gracefully and replaced by a new instance", name)
	sleep(ctx, stepPause)
	return nil
}

// killHolder kills the holder of the term and waits until another instance holds it.
func (d *demo) killHolder(ctx context.Context) error {
	n := d.cluster.holder()
	if n == nil {
		return errors.New("no instance holds the term")
	}
	name := n.instance.Name()
	d.callers.allowCuts(n.apiAddress)
	d.cluster.kill(n)
	d.logProgress("%s, which held the term, was killed", name)
	if err := d.awaitHolder(ctx); err != nil {
		return err
	}
	sleep(ctx, stepPause)
	return nil
}

// returnDomain puts the failure domain back into service. It ends the recorded outage
// before it applies the ticket, because tasks may start in the domain from then on.
func (d *demo) returnDomain(ctx context.Context) error {
	t, err := d.readTicket("004-domain-back.yaml")
	if err != nil {
		return err
	}
	d.fleet.recordDomainBack(t.Domains[0].Name, time.Now())
	return d.applyAccepted(ctx, t)
}

// awaitJobs waits until all jobs have ended, or the context has, and then stops the
// callers.
func (d *demo) awaitJobs(ctx context.Context) error {
	lastReport := time.Time{}
	for ctx.Err() == nil {
		list, err := d.client.Jobs(ctx, presenter.JobFilter{})
		open := 0
		for _, j := range list.Jobs {
			if !j.Status.Terminal() {
				open++
			}
		}
		if err == nil && open == 0 && len(list.Jobs) == len(d.jobs) {
			break
		}
		if err == nil && time.Since(lastReport) > stepPause {
			d.logProgress("%d of %d jobs have ended", len(list.Jobs)-open, len(d.jobs))
			lastReport = time.Now()
		}
		sleep(ctx, 200*time.Millisecond)
	}
	d.callers.stop()
	return nil
}

// countByStatus returns the number of jobs in each status.
func countByStatus(jobs []presenter.Job) map[reducer.JobStatus]int {
	counts := map[reducer.JobStatus]int{}
	for _, j := range jobs {
		counts[j.Status]++
	}
	return counts
}
