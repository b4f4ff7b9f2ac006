// Package server implements the HTTP and JSON API for callers and operators under
// /v1 with go-kit endpoints.
//
//	s := server.New(server.Config{Name: "entry-1", Control: control, Router: router, Authenticator: a, Meter: meter})
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

// Limits of requests.
const (
	MaxBodyBytes = 8 << 20
	// TicketTimeout is how long applying a ticket waits for publication and result.
	TicketTimeout     = 10 * time.Second
	maxRequestIDBytes = 128
)

// ServicesPath is the prefix of the paths of requests that are passed on to services.
const ServicesPath = "/v1/services/"

// Control gives access to the control state of the instance.
type Control interface {
	// Inspect runs read in the control goroutine and waits until it has returned or ctx
	// is done.
	Inspect(ctx context.Context, read func(*reducer.State, decider.ControlStatus)) error
	// Propose appends entries to the ledger and returns the result of applying each.
	Propose(ctx context.Context, entries ...encoder.Entry) ([]reducer.Result, error)
	// PublishTicket appends a ticket to the configuration stream. The result can be
	// found in the state by submissionID.
	PublishTicket(ctx context.Context, submissionID string, t specifier.Ticket) error
	// View returns the last published summary of the control state.
	View() *decider.View
}

// Router forwards requests to minions.
type Router interface {
	Serve(w http.ResponseWriter, r *http.Request, c router.Call)
}

// Meter records the status and the duration of finished API calls.
type Meter interface {
	Observe(operation string, status int, duration time.Duration)
}

// Config holds the dependencies of a Server.
type Config struct {
	// Name is the name of the instance.
	Name          string
	Control       Control
	Router        Router
	Authenticator *authenticator.Authenticator
	Meter         Meter
}

// Server is an http.Handler that serves the API.
type Server struct {
	cfg Config
	mux *http.ServeMux
}

// New returns a server with all routes registered.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.registerJobRoutes()
	s.registerChangeRoutes()
	s.registerFleetRoutes()
	s.mux.HandleFunc(ServicesPath+"{service}/{path...}", s.proxyRequest)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		encodeError(r.Context(), notFound("no route "+r.Method+" "+r.URL.Path), w)
	})
	return s
}

// ServeHTTP assigns a request ID, which is also returned in a response header, and
// serves the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(router.HeaderRequestID, id)
	s.mux.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestIDKey{}, id)))
}

type (
	requestIDKey struct{}
	identityKey  struct{}
)

// requestID returns the request ID that the caller sent or, if it is missing, too long
// or contains characters other than visible ASCII, a new one.
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

// handle registers a route that requires a known identity and responds with JSON. The
// operation names the call for the Meter.
func handle[Req, Resp any](s *Server, pattern, operation string, decode func(*http.Request) (Req, error), run func(context.Context, Req) (Resp, error)) {
	e := func(ctx context.Context, request any) (any, error) { return run(ctx, request.(Req)) }
	server := kithttp.NewServer(
		s.measure(operation)(s.requireIdentity(e)),
		func(ctx context.Context, r *http.Request) (any, error) {
			if _, failed := ctx.Value(identityKey{}).(authFailure); failed {
				// requireIdentity rejects the request. Its body may be large and is not read.
				var none Req
				return none, nil
			}
			return decode(r.WithContext(ctx))
		},
		func(_ context.Context, w http.ResponseWriter, response any) error {
			replier.WriteJSON(w, http.StatusOK, response)
			return nil
		},
		kithttp.ServerErrorEncoder(encodeError),
		kithttp.ServerBefore(s.identify),
	)
	s.mux.Handle(pattern, server)
}

// authFailure is stored in the context instead of an identity, because a
// function for kithttp.ServerBefore can't return an error. requireIdentity returns it.
type authFailure struct{ err error }

// identify stores the identity of the caller, or an authFailure, in the context.
func (s *Server) identify(ctx context.Context, r *http.Request) context.Context {
	identity, err := s.cfg.Authenticator.Identify(r)
	if err != nil {
		return context.WithValue(ctx, identityKey{}, authFailure{err})
	}
	return context.WithValue(ctx, identityKey{}, identity)
}

// requireIdentity rejects requests without a known identity.
func (s *Server) requireIdentity(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if failure, ok := ctx.Value(identityKey{}).(authFailure); ok {
			return nil, failure.err
		}
		return next(ctx, request)
	}
}

// measure reports status and duration of each call to the Meter.
func (s *Server) measure(operation string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (response any, err error) {
			start := time.Now()
			defer func() {
				status := http.StatusOK
				if err != nil {
					status, _ = errorResponse(err)
				}
				s.cfg.Meter.Observe(operation, status, time.Since(start))
			}()
			return next(ctx, request)
		}
	}
}

// proxyRequest authorizes a request to a service and forwards it to a minion.
func (s *Server) proxyRequest(w http.ResponseWriter, r *http.Request) {
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
	s.cfg.Router.Serve(w, r, router.Call{
		RequestID: id, Workspace: workspace, Service: r.PathValue("service"), Path: "/" + r.PathValue("path"),
	})
}

// inspect returns what read returns for the current control state, or an error marked
// with errBusy.
func inspect[T any](ctx context.Context, c Control, read func(*reducer.State, decider.ControlStatus) T) (result T, err error) {
	err = c.Inspect(ctx, func(s *reducer.State, status decider.ControlStatus) { result = read(s, status) })
	if err != nil {
		return result, errors.Mark(err, errBusy)
	}
	return result, nil
}
