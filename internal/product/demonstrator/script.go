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

// play is the whole script, one step a line.
func (d *demo) play(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.applyTickets,
		d.startCallers,
		d.fillFleet,
		d.claimGuarantees,
		d.cancelWave,
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

func pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

func (d *demo) applyTickets(ctx context.Context) error {
	if err := d.mustApply(ctx, d.fleet.ticket); err != nil {
		return err
	}
	workspaces, err := d.ticket("002-workspaces.yaml")
	if err != nil {
		return err
	}
	if err := d.mustApply(ctx, workspaces); err != nil {
		return err
	}
	return d.raceTicket(ctx, workspaces)
}

func (d *demo) mustApply(ctx context.Context, t specifier.Ticket) error {
	v, err := d.apply(ctx, t)
	if err != nil {
		return err
	}
	if !v.Accepted {
		return errors.Newf("ticket %d is refused: %s", v.Number, v.Reason)
	}
	d.say("ticket %d of %s is accepted: %s", t.Number, t.Operator, t.Comment)
	for _, w := range v.Warnings {
		d.say("  warning: %s", w)
	}
	return nil
}

// raceTicket lets another operator use the same number for something else.
func (d *demo) raceTicket(ctx context.Context, t specifier.Ticket) error {
	t.Operator, t.Workspaces = "racer", t.Workspaces[:1]
	v, err := d.apply(ctx, t)
	if err != nil {
		return err
	}
	if v.Accepted {
		return errors.Newf("ticket %d was accepted twice with different content", t.Number)
	}
	d.say("ticket %d of %s is refused (%s)", t.Number, t.Operator, v.Code)
	return nil
}

func (d *demo) startCallers(ctx context.Context) error {
	if err := d.readJobs(); err != nil {
		return err
	}
	service := d.fleet.ticket.MinionGroups[0].Service
	d.callers = startCallers(ctx, d.cluster, service, d.jobs[0].Workspace)
	d.say("callers send requests to service %s: idempotent ones, and bookings that must run at most once", service)
	return nil
}

// submit submits the jobs whose names the filter picks, all at once.
func (d *demo) submit(ctx context.Context, pick func(specifier.Job) bool) (count int, err error) {
	var g errgroup.Group
	var mu sync.Mutex
	for _, j := range d.jobs {
		if !pick(j) {
			continue
		}
		count++
		g.Go(func() error {
			job, err := d.submitOne(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			d.ids[j.Name] = job.ID
			return err
		})
	}
	return count, g.Wait()
}

func (d *demo) submitOne(ctx context.Context, j specifier.Job) (job presenter.Job, err error) {
	for ctx.Err() == nil {
		job, err = d.client.SubmitJob(ctx, j)
		if err == nil {
			return job, nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return job, err
}

// isClaim reports whether the job is one that a guarantee covers.
func isClaim(j specifier.Job) bool {
	kind, _, _ := strings.Cut(j.Name, "-")
	switch kind {
	case "reconciliation", "settlement", "quote", "nightly", "proof", "booking", "fit":
		return true
	}
	return false
}

func (d *demo) fillFleet(ctx context.Context) error {
	bad := d.fleet.workers[0]
	bad.runner.SetFaults(taskrunner.Faults{FailAll: true})
	d.say("worker %s fails every task from now on", bad.name)
	n, err := d.submit(ctx, func(j specifier.Job) bool { return !isClaim(j) })
	if err != nil {
		return err
	}
	d.say("%d jobs submitted that fill the fleet on borrowed accelerators; one of them can never run", n)
	pause(ctx, settle)
	return nil
}

func (d *demo) claimGuarantees(ctx context.Context) error {
	now := time.Now()
	n, err := d.submit(ctx, isClaim)
	if err != nil {
		return err
	}
	for _, j := range d.jobs {
		if isClaim(j) {
			d.claimed[d.ids[j.Name]] = now
		}
	}
	d.say("%d jobs submitted that claim guarantees, some urgent, some not idempotent", n)
	pause(ctx, settle)
	return nil
}

func (d *demo) cancelWave(ctx context.Context) error {
	n := 0
	var g errgroup.Group
	for _, j := range d.jobs {
		if !strings.HasPrefix(j.Name, "draft-") {
			continue
		}
		n++
		g.Go(func() error { return d.cancelOne(ctx, d.ids[j.Name]) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	d.say("%d jobs cancelled in a wave", n)
	return nil
}

func (d *demo) cancelOne(ctx context.Context, id string) (err error) {
	for ctx.Err() == nil {
		if _, err = d.client.CancelJob(ctx, id, "the draft is not needed"); err == nil {
			return nil
		}
		pause(ctx, 100*time.Millisecond)
	}
	return err
}

func (d *demo) takeDomainOut(ctx context.Context) error {
	t, err := d.ticket("003-domain-out.yaml")
	if err != nil {
		return err
	}
	if err := d.mustApply(ctx, t); err != nil {
		return err
	}
	d.fleet.domainOut(t.Domains[0].Name, time.Now())
	pause(ctx, settle)
	return nil
}

func (d *demo) replaceInstance(ctx context.Context) error {
	n := d.cluster.anyFollower()
	name := n.instance.Name()
	if err := d.cluster.replace(n); err != nil {
		return err
	}
	d.say("%s was stopped gracefully and replaced by a new process", name)
	pause(ctx, settle)
	return nil
}

func (d *demo) killHolder(ctx context.Context) error {
	n := d.cluster.holder()
	if n == nil {
		return errors.New("no instance holds the term")
	}
	name := n.instance.Name()
	d.callers.expectCuts(n.api)
	d.cluster.kill(n)
	d.say("%s, which held the term, was killed", name)
	if err := d.awaitHolder(ctx); err != nil {
		return err
	}
	pause(ctx, settle)
	return nil
}

func (d *demo) returnDomain(ctx context.Context) error {
	t, err := d.ticket("004-domain-back.yaml")
	if err != nil {
		return err
	}
	d.fleet.domainBack(t.Domains[0].Name, time.Now())
	return d.mustApply(ctx, t)
}

func (d *demo) awaitJobs(ctx context.Context) error {
	last := time.Time{}
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
		if err == nil && time.Since(last) > settle {
			d.say("%d of %d jobs have ended", len(list.Jobs)-open, len(d.jobs))
			last = time.Now()
		}
		pause(ctx, 200*time.Millisecond)
	}
	d.callers.stop()
	return nil
}

// statusCounts are the jobs by final status.
func statusCounts(jobs []presenter.Job) map[reducer.JobStatus]int {
	counts := map[reducer.JobStatus]int{}
	for _, j := range jobs {
		counts[j.Status]++
	}
	return counts
}
