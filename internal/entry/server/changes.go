package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
)

// resultPollInterval is the interval at which a request that applies a ticket polls
// the control state for the result.
const resultPollInterval = 25 * time.Millisecond

type ticketRequest struct {
	ticket specifier.Ticket
	// check requests a dry run.
	check bool
}

func (s *Server) registerChangeRoutes() {
	handle(s, "POST /v1/tickets", "ApplyTicket", decodeTicket, s.applyTicket)
	handle(s, "GET /v1/tickets", "ListTickets", decodeNothing, s.listTickets)
	handle(s, "GET /v1/tickets/{number}", "ShowTicket", decodeTicketNumber, s.showTicket)
	handle(s, "GET /v1/audit", "ReadAudit", decodeAuditFilter, s.readAudit)
}

func decodeNothing(*http.Request) (struct{}, error) { return struct{}{}, nil }

// decodeTicket decodes a ticket. A ticket of many empty elements takes over sixty times its size once
// it is decoded, so the body of a caller who may not apply it is not read.
func decodeTicket(r *http.Request) (request ticketRequest, err error) {
	if !identityOf(r.Context()).MayOperate() {
		return request, forbidden("apply tickets")
	}
	request.check = r.URL.Query().Get("Check") == "true"
	request.ticket, err = decodeBody[specifier.Ticket](r)
	return request, err
}

func decodeTicketNumber(r *http.Request) (uint64, error) {
	n, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		return 0, invalid(strconv.Quote(r.PathValue("number")) + " is not a ticket number")
	}
	return n, nil
}

// decodeAuditFilter decodes the query parameters of an audit query, all of which are
// optional.
func decodeAuditFilter(r *http.Request) (f presenter.AuditFilter, err error) {
	q := r.URL.Query()
	f.Object, f.Actor = q.Get("Object"), q.Get("Actor")
	if f.Limit, err = parseOptionalNumber(q.Get("Limit")); err != nil {
		return f, err
	}
	ticket, err := parseOptionalNumber(q.Get("Ticket"))
	if err != nil {
		return f, err
	}
	f.Ticket = uint64(ticket)
	if f.Since, err = parseOptionalTime(q.Get("Since")); err != nil {
		return f, err
	}
	f.Until, err = parseOptionalTime(q.Get("Until"))
	return f, err
}

// parseOptionalTime parses a time in RFC 3339 format; empty text gives the zero time.
func parseOptionalTime(text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, invalid(strconv.Quote(text) + " is not a time such as 2026-12-04T09:00:00Z")
	}
	return t, nil
}

// applyTicket publishes a ticket and waits for the result. If there is none within
// TicketTimeout, the outcome is unknown; applying the same ticket again is safe.
func (s *Server) applyTicket(ctx context.Context, r ticketRequest) (v presenter.TicketResult, err error) {
	if err := r.ticket.Validate(); err != nil {
		return v, err
	}
	if r.check {
		return s.checkTicket(ctx, r.ticket)
	}
	pctx, cancel := context.WithTimeout(ctx, TicketTimeout)
	defer cancel()
	id := uuid.NewString()
	if err := s.cfg.Control.PublishTicket(pctx, id, r.ticket); err != nil {
		return v, errors.Mark(errors.Wrap(err, "publish ticket; apply it again with the same number"), recorder.ErrOutcomeUnknown)
	}
	return s.awaitTicketResult(pctx, id)
}

// checkTicket evaluates a ticket against the current state without applying it.
func (s *Server) checkTicket(ctx context.Context, t specifier.Ticket) (v presenter.TicketResult, err error) {
	res, err := inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) reducer.Result {
		return state.CheckTicket(t)
	})
	if err != nil {
		return v, err
	}
	return presenter.TicketResult{Number: t.Number, Accepted: res.OK, Repeat: res.Repeat, Checked: true, Code: res.Code, Reason: res.Reason}, nil
}

// awaitTicketResult polls the control state for the result of a published ticket
// until ctx is done.
func (s *Server) awaitTicketResult(ctx context.Context, submissionID string) (v presenter.TicketResult, err error) {
	ticker := time.NewTicker(resultPollInterval)
	defer ticker.Stop()
	for {
		found, err := inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) *reducer.TicketResult {
			return state.TicketResultFor(submissionID)
		})
		if err == nil && found != nil {
			return presenter.TicketResult{
				Number: found.Number, Accepted: found.Accepted, Repeat: found.Repeat,
				Code: found.Code, Reason: found.Reason, Warnings: found.Warnings,
			}, nil
		}
		select {
		case <-ctx.Done():
			return v, errors.Wrap(recorder.ErrOutcomeUnknown, "the ticket is published and not judged yet; ask for it by number")
		case <-ticker.C:
		}
	}
}

func (s *Server) listTickets(ctx context.Context, _ struct{}) ([]presenter.Ticket, error) {
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) []presenter.Ticket {
		return presenter.Tickets(state)
	})
}

func (s *Server) showTicket(ctx context.Context, number uint64) (t presenter.Ticket, err error) {
	exists := false
	t, err = inspect(ctx, s.cfg.Control, func(state *reducer.State, status decider.ControlStatus) (t presenter.Ticket) {
		t, exists = presenter.TicketDetail(state, status, s.cfg.Name, number)
		return t
	})
	if err == nil && !exists {
		err = notFound("no accepted ticket has number " + strconv.FormatUint(number, 10))
	}
	return t, err
}

// readAudit returns the audit trail to identities that have access to all workspaces.
func (s *Server) readAudit(ctx context.Context, f presenter.AuditFilter) (trail presenter.AuditTrail, err error) {
	if identityOf(ctx).Workspace != "" {
		return trail, forbidden("read the audit trail")
	}
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) presenter.AuditTrail {
		return presenter.Audit(state, f)
	})
}
