package server

import (
	"context"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/ledger/reducer"
)

func (s *Server) registerFleetRoutes() {
	handle(s, "GET /v1/workspaces", "ListWorkspaces", decodeNothing, s.listWorkspaces)
	handle(s, "GET /v1/domains", "ListDomains", decodeNothing, s.listDomains)
	handle(s, "GET /v1/workers", "ListWorkers", decodeNothing, s.listWorkers)
	handle(s, "GET /v1/minions", "ListMinions", decodeNothing, s.listMinions)
	handle(s, "GET /v1/instances", "ListInstances", decodeNothing, s.listInstances)
}

// listWorkspaces returns the workspaces that the caller may read.
func (s *Server) listWorkspaces(ctx context.Context, _ struct{}) ([]presenter.Workspace, error) {
	identity := identityOf(ctx)
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) []presenter.Workspace {
		visible := []presenter.Workspace{}
		for _, w := range presenter.Workspaces(state) {
			if identity.MayRead(w.Name) {
				visible = append(visible, w)
			}
		}
		return visible
	})
}

func (s *Server) listDomains(ctx context.Context, _ struct{}) ([]presenter.Domain, error) {
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) []presenter.Domain {
		return presenter.Domains(state)
	})
}

func (s *Server) listWorkers(ctx context.Context, _ struct{}) ([]presenter.Worker, error) {
	if identityOf(ctx).Workspace != "" {
		return nil, forbidden("list workers")
	}
	return inspect(ctx, s.cfg.Control, presenter.Workers)
}

func (s *Server) listMinions(ctx context.Context, _ struct{}) ([]presenter.Minion, error) {
	if identityOf(ctx).Workspace != "" {
		return nil, forbidden("list minions")
	}
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, _ decider.ControlStatus) []presenter.Minion {
		return presenter.Minions(state)
	})
}

func (s *Server) listInstances(ctx context.Context, _ struct{}) ([]presenter.Instance, error) {
	return inspect(ctx, s.cfg.Control, func(state *reducer.State, status decider.ControlStatus) []presenter.Instance {
		return presenter.Instances(state, status, s.cfg.Name)
	})
}
