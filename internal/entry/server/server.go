// Package server is the API of callers and operators: HTTP and JSON under /v1,
// built of go-kit endpoints.
//
//	s := server.New(server.Config{Name: "entry-1", Control: control, Router: router, Authenticator: a})
//	http.Serve(listener, s)
package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/google/uuid"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/replier"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/traffic/router"
)

// Bounds and times.
const (
	MaxBodyBytes      = 8 << 20
	DefaultWait       = 10 * time.Second
	maxRequestIDBytes = 128
)

// Control is the instance's control state.
type Control interface {
	// Inspect runs read in the control goroutine.
	Inspect(ctx context.Context, read func(*reducer.State, decider.Liaison)) error
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
	// PublishTicket appends a ticket to the operators' stream.
	PublishTicket(ctx context.Context, submissionID string, t specifier.Ticket) error
	View() *decider.View
}

// Traffic passes requests on to minions.
type Traffic interface {
	Serve(w http.ResponseWriter, r *http.Request, c router.Call)
}

// Meter counts finished API calls.
type Meter interface {
	Observe(operation string, status int, took time.Duration)
}

// Config holds what the server needs.
type Config struct {
	Name          string
	Control       Control
	Traffic       Traffic
	Authenticator *authenticator.Authenticator
	Meter         Meter
}

// Server serves the API.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a server for all routes.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.routeJobs()
	s.routeChanges()
	s.routeFleet()
	s.mux.HandleFunc("/v1/services/{service}/{path...}", s.serveTraffic)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		encodeError(r.Context(), notFound("no route "+r.Method+" "+r.URL.Path), w)
	})
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(router.HeaderRequestID, id)
	s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
}

type (
	requestIDKey struct{}
	identityKey  struct{}
)

// requestID takes the caller's request ID if it is usable, else makes one.
func requestID(r *http.Request) string {
	id := r.Header.Get(router.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return uuid.NewString()
	}
	return id
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// handle adds a route whose answer is JSON.
func handle[Q, A any](s *Server, pattern, operation string, decode func(*http.Request) (Q, error), run func(context.Context, Q) (A, error)) {
	e := func(ctx context.Context, request any) (any, error) { return run(ctx, request.(Q)) }
	server := kithttp.NewServer(
		s.measure(operation)(s.authenticated(e)),
		func(_ context.Context, r *http.Request) (any, error) { return decode(r) },
		func(_ context.Context, w http.ResponseWriter, response any) error {
			replier.WriteJSON(w, http.StatusOK, response)
			return nil
		},
		kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerBefore(s.identify),
	)
	s.mux.Handle(pattern, server)
}

type authFailure struct{ err error }

// identify puts the sender, or the failure to tell, into the context.
func (s *Server) identify(ctx context.Context, r *http.Request) context.Context {
	identity, err := s.cfg.Authenticator.Identify(r)
	if err != nil {
		return context.WithValue(ctx, identityKey{}, authFailure{err})
	}
	return context.WithValue(ctx, identityKey{}, identity)
}

func (s *Server) authenticated(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if failure, ok := ctx.Value(identityKey{}).(authFailure); ok {
			return nil, failure.err
		}
		return next(ctx, request)
	}
}

func (s *Server) measure(operation string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (response any, err error) {
			start := time.Now()
			defer func() {
				status := http.StatusOK
				if err != nil {
					status, _ = describeError(err)
				}
				s.cfg.Meter.Observe(operation, status, time.Since(start))
			}()
			return next(ctx, request)
		}
	}
}

// serveTraffic passes a request on to a minion.
func (s *Server) serveTraffic(w http.ResponseWriter, r *http.Request) {
	identity, err := s.cfg.Authenticator.Identify(r)
	if err != nil {
		encodeError(r.Context(), err, w)
		return
	}
	workspace := r.Header.Get("Daisyhead-Workspace")
	if workspace == "" {
		workspace = identity.Workspace
	}
	switch {
	case workspace == "":
		encodeError(r.Context(), invalid("the header Daisyhead-Workspace is missing"), w)
		return
	case !identity.MayWrite(workspace):
		encodeError(r.Context(), forbidden("workspace "+workspace), w)
		return
	case !s.cfg.Control.View().Workspaces[workspace]:
		encodeError(r.Context(), notFound("no workspace "+workspace+" takes requests"), w)
		return
	}
	id, _ := r.Context().Value(requestIDKey{}).(string)
	s.cfg.Traffic.Serve(w, r, router.Call{
		RequestID: id, Workspace: workspace, Service: r.PathValue("service"), Path: "/" + r.PathValue("path"),
	})
}

// inspect reads the control state into a value.
func inspect[A any](ctx context.Context, c Control, read func(*reducer.State, decider.Liaison) A) (answer A, err error) {
	err = c.Inspect(ctx, func(s *reducer.State, l decider.Liaison) { answer = read(s, l) })
	if err != nil {
		return answer, errors.Mark(err, errBusy)
	}
	return answer, nil
}
