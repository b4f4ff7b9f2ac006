package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"daisyhead/internal/entry/caller"
	"daisyhead/internal/entry/parser"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/product/printer"
)

// jobFile is the content of a YAML file with jobs.
type jobFile struct {
	Jobs []specifier.Job
}

type jobSubmitCommand struct {
	File string `short:"f" long:"file" required:"true" description:"YAML file that contains a list named Jobs"`
}

// Execute submits the jobs of a file.
func (c *jobSubmitCommand) Execute([]string) error {
	jobs, err := readJobs(c.File)
	if err != nil {
		return exitError{exitUsage, err}
	}
	cl, err := client()
	if err != nil {
		return err
	}
	submitted, err := submitJobs(cl, jobs)
	if printErr := printJobs(submitted); err != nil || printErr != nil {
		return errors.CombineErrors(err, printErr)
	}
	return jobsError(submitted, false)
}

// maxConcurrentSubmits limits concurrent submissions. Submissions that reach an
// instance at the same time are batched into one append to the ledger.
const maxConcurrentSubmits = 32

// submitJobs submits jobs concurrently. It returns those that were submitted, in
// the order of the file, and the first error.
func submitJobs(cl *caller.Client, jobs []specifier.Job) (submitted []presenter.Job, err error) {
	results := make([]presenter.Job, len(jobs))
	var g errgroup.Group
	g.SetLimit(maxConcurrentSubmits)
	for i, j := range jobs {
		g.Go(func() error {
			job, err := cl.SubmitJob(context.Background(), j)
			results[i] = job
			return errors.Wrapf(err, "job %q", j.Name)
		})
	}
	err = g.Wait()
	for _, job := range results {
		if job.ID != "" {
			submitted = append(submitted, job)
		}
	}
	return submitted, err
}

// readJobs parses a file with jobs and validates each of them.
func readJobs(file string) ([]specifier.Job, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var f jobFile
	if err := parser.Parse(file, data, &f); err != nil {
		return nil, err
	}
	for i, j := range f.Jobs {
		if err := j.Normalize().Validate(); err != nil {
			return nil, errors.Wrapf(err, "%s: Jobs[%d]", file, i)
		}
	}
	return f.Jobs, nil
}

func printJobs(jobs []presenter.Job) error {
	table := printer.Table{Head: []string{"ID", "NAME", "WORKSPACE", "STATUS", "OUTCOME", "ATTEMPTS", "WORKERS", "WHY"}}
	for _, j := range jobs {
		why := j.Reason
		if why == "" {
			why = j.WaitingFor
		}
		table.Add(j.ID, j.Name, j.Workspace, j.Status, j.Outcome, j.Attempts, strings.Join(j.Workers, ","), why)
	}
	return output().Print(jobs, table)
}

// jobsError returns an error with the exit code that the status of the jobs
// calls for, or nil. Failed and cancelled jobs count only if waited is set, that
// is, if the command has waited for the jobs to end.
func jobsError(jobs []presenter.Job, waited bool) error {
	code := exitOK
	for _, j := range jobs {
		switch j.Status {
		case reducer.JobUnknown:
			code = exitUnknown
		case reducer.JobRefused:
			code = max(code, exitRefused)
		case reducer.JobFailed, reducer.JobCancelled:
			if waited {
				code = max(code, exitRefused)
			}
		}
	}
	if code == exitOK {
		return nil
	}
	return exitError{code, errors.New("not every job was accepted or finished; see the table")}
}

type jobArgs struct {
	Args struct {
		ID []string `positional-arg-name:"ID" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

type jobStatusCommand struct{ jobArgs }

// Execute prints the given jobs.
func (c *jobStatusCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	var jobs []presenter.Job
	for _, id := range c.Args.ID {
		job, err := cl.Job(context.Background(), id)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	return printJobs(jobs)
}

type jobListCommand struct {
	Workspace string `long:"workspace" description:"only jobs of this workspace"`
	Status    string `long:"status" description:"only jobs with this status"`
	Limit     int    `long:"limit" description:"maximum number of jobs"`
}

// Execute lists the jobs that match the filters.
func (c *jobListCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	list, err := cl.Jobs(context.Background(), presenter.JobFilter{Workspace: c.Workspace, Status: reducer.JobStatus(c.Status), Limit: c.Limit})
	if err != nil {
		return err
	}
	if global.Output != "table" {
		return output().Print(list, printer.Table{})
	}
	if err := printJobs(list.Jobs); err != nil {
		return err
	}
	if list.HistorySince != nil {
		fmt.Printf("Ended jobs from before %s have expired.\n", list.HistorySince.Format(time.RFC3339))
	}
	return nil
}

type jobCancelCommand struct {
	jobArgs
	Reason string `long:"reason" description:"reason, recorded in the job's history"`
}

// Execute cancels jobs.
func (c *jobCancelCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	var jobs []presenter.Job
	for _, id := range c.Args.ID {
		job, err := cl.CancelJob(context.Background(), id, c.Reason)
		if err != nil {
			return err
		}
		jobs = append(jobs, job)
	}
	return printJobs(jobs)
}

type jobWaitCommand struct {
	jobArgs
	Timeout time.Duration `long:"timeout" default:"1h" description:"give up after this time"`
}

// pollInterval is the time between two status queries for a job that the wait
// command waits for.
const pollInterval = 500 * time.Millisecond

// Execute waits until all jobs have ended. Failed queries are repeated until the
// timeout.
func (c *jobWaitCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	ctx, cancel := signalContext()
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, c.Timeout)
	defer cancelTimeout()
	var jobs []presenter.Job
	for _, id := range c.Args.ID {
		for {
			job, err := cl.Job(ctx, id)
			if err != nil && ctx.Err() != nil {
				return exitError{exitUnavailable, errors.Newf("job %s has not ended within %s", id, c.Timeout)}
			}
			if err == nil && job.Status.Terminal() {
				jobs = append(jobs, job)
				break
			}
			time.Sleep(pollInterval)
		}
	}
	if err := printJobs(jobs); err != nil {
		return err
	}
	return jobsError(jobs, true)
}

type jobExplainCommand struct{ jobArgs }

// Execute prints the history of each job.
func (c *jobExplainCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	for _, id := range c.Args.ID {
		explanation, err := cl.ExplainJob(context.Background(), id)
		if err != nil {
			return err
		}
		if global.Output == "table" {
			fmt.Print(explanation.Text())
			continue
		}
		if err := output().Print(explanation, printer.Table{}); err != nil {
			return err
		}
	}
	return nil
}
