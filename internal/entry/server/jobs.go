package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/control/explainer"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// proposeTimeout is how long a request waits for its entry to be appended to the
// ledger and applied to the state.
const proposeTimeout = 8 * time.Second

// CancelRequest is the body of a cancellation request. ID is taken from the path.
type CancelRequest struct {
	ID     string `json:"-"`
	Reason string
}

type jobRequest struct{ id string }

func (s *Server) registerJobRoutes() {
	handle(s, "POST /v1/jobs", "SubmitJob", decodeBody[specifier.Job], s.submitJob)
	handle(s, "GET /v1/jobs", "ListJobs", decodeJobFilter, s.listJobs)
	handle(s, "GET /v1/jobs/{id}", "ShowJob", decodeJobRequest, s.showJob)
	handle(s, "POST /v1/jobs/{id}/cancel", "CancelJob", decodeCancel, s.cancelJob)
	handle(s, "GET /v1/jobs/{id}/explain", "ExplainJob", decodeJobRequest, s.explainJob)
}

// decodeBody decodes a JSON body of at most MaxBodyBytes. Unknown fields and a second
// value are errors.
func decodeBody[Req any](r *http.Request) (request Req, err error) {
	d := json.NewDecoder(io.LimitReader(r.Body, MaxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&request); err != nil {
		return request, invalid("body: " + err.Error())
	}
	if d.More() {
		return request, invalid("body: more than one value")
	}
	return request, nil
}

func decodeJobRequest(r *http.Request) (jobRequest, error) { return jobRequest{r.PathValue("id")}, nil }

// decodeCancel decodes a cancellation request, whose body is optional.
func decodeCancel(r *http.Request) (request CancelRequest, err error) {
	if r.ContentLength != 0 {
		if request, err = decodeBody[CancelRequest](r); err != nil {
			return request, err
		}
	}
	request.ID = r.PathValue("id")
	return request, nil
}

func decodeJobFilter(r *http.Request) (f presenter.JobFilter, err error) {
	q := r.URL.Query()
	f.Workspace, f.Status = q.Get("Workspace"), reducer.JobStatus(q.Get("Status"))
	f.Limit, err = parseOptionalNumber(q.Get("Limit"))
	return f, err
}

// parseOptionalNumber parses a whole number from 0; empty text gives 0.
func parseOptionalNumber(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, invalid(strconv.Quote(text) + " is not a whole number from 0")
	}
	return n, nil
}

// submitJob submits a job to the workspace of the caller, unless the job sets another
// one, and returns the job as recorded in the state.
func (s *Server) submitJob(ctx context.Context, j specifier.Job) (job presenter.Job, err error) {
	identity := identityOf(ctx)
	if j.Workspace == "" {
		j.Workspace = identity.Workspace
	}
	if !identity.MayWrite(j.Workspace) {
		return job, forbidden("submit jobs to workspace " + j.Workspace)
	}
	if j.Key == "" {
		j.Key = uuid.NewString()
	}
	j = j.Normalize()
	if err := j.Validate(); err != nil {
		return job, err
	}
	id := j.ID()
	entry := encoder.Entry{At: time.Now().UnixMilli(), JobSubmitted: &encoder.JobSubmitted{ID: id, By: identity.Name, Job: j}}
	if err := s.propose(ctx, entry); err != nil {
		return job, err
	}
	return s.findJob(ctx, id)
}

// propose appends an entry to the ledger, waits until it has been applied and returns
// a refusal by the reducer as an error.
func (s *Server) propose(ctx context.Context, e encoder.Entry) error {
	pctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	results, err := s.cfg.Control.Propose(pctx, e)
	if err != nil {
		return err
	}
	if !results[0].OK {
		return refused(results[0])
	}
	return nil
}

// findJob returns a job. A job of a workspace that the caller may not read is reported
// as not found.
func (s *Server) findJob(ctx context.Context, id string) (job presenter.Job, err error) {
	found, err := inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) *presenter.Job {
		if j, ok := state.Jobs[id]; ok {
			v := presenter.JobOf(j)
			return &v
		}
		return nil
	})
	if err != nil {
		return job, err
	}
	if found == nil || !identityOf(ctx).MayRead(found.Workspace) {
		return job, notFound("no job " + id + " is known; ended jobs expire")
	}
	return *found, nil
}

func (s *Server) showJob(ctx context.Context, r jobRequest) (presenter.Job, error) {
	return s.findJob(ctx, r.id)
}

// listJobs returns the jobs that match the filter. Without a workspace in the filter, it
// uses the one of the caller.
func (s *Server) listJobs(ctx context.Context, f presenter.JobFilter) (list presenter.JobList, err error) {
	identity := identityOf(ctx)
	if f.Workspace == "" {
		f.Workspace = identity.Workspace
	}
	if !identity.MayRead(f.Workspace) {
		return list, forbidden("see jobs of workspace " + f.Workspace)
	}
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) presenter.JobList {
		return presenter.Jobs(state, f)
	})
}

// cancelJob requests the cancellation of a job that the caller may read and change.
func (s *Server) cancelJob(ctx context.Context, r CancelRequest) (job presenter.Job, err error) {
	job, err = s.findJob(ctx, r.ID)
	if err != nil {
		return job, err
	}
	identity := identityOf(ctx)
	if !identity.MayWrite(job.Workspace) {
		return job, forbidden("cancel jobs of workspace " + job.Workspace)
	}
	entry := encoder.Entry{At: time.Now().UnixMilli(), CancelRequested: &encoder.CancelRequested{ID: r.ID, By: identity.Name, Reason: r.Reason}}
	if err := s.propose(ctx, entry); err != nil {
		return job, err
	}
	return s.findJob(ctx, r.ID)
}

// explainJob returns the history of a job if the caller may read the job.
func (s *Server) explainJob(ctx context.Context, r jobRequest) (history explainer.History, err error) {
	if _, err := s.findJob(ctx, r.id); err != nil {
		return history, err
	}
	now := time.Now().UnixMilli()
	found, err := inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) *explainer.History {
		if j, ok := state.Jobs[r.id]; ok {
			v := explainer.Explain(state, j, now)
			return &v
		}
		return nil
	})
	if err != nil {
		return history, err
	}
	if found == nil {
		return history, notFound("no job " + r.id)
	}
	return *found, nil
}
