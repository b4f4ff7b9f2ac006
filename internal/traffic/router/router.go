// Package router passes callers' requests on to minions and streams the answers
// back.
//
// An idempotent request is sent again, to another minion, within a retry budget
// and only while nothing of an answer has reached the caller. A request marked
// non-idempotent is claimed in the ledger and then sent at most once:
//
//	r := &router.Router{Name: "entry-1", Limiter: l, Claimer: c, Log: log}
//	r.Serve(w, req, router.Call{Service: "fit", Path: "/stock", Workspace: "arrieta"})
package router

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/traffic/claimer"
	"daisyhead/internal/traffic/limiter"
)

// Headers that callers set and that answers carry.
const (
	HeaderRequestID  = "Daisyhead-Request-Id"
	HeaderIdempotent = "Daisyhead-Idempotent"
	HeaderClass      = "Daisyhead-Class"
	HeaderTimeout    = "Daisyhead-Timeout"
	HeaderOutcome    = "Daisyhead-Outcome"
	HeaderReplayed   = "Daisyhead-Replayed"
	HeaderMinion     = "Daisyhead-Minion"
	HeaderKey        = "Idempotency-Key"
)

// Bounds and times.
const (
	DefaultTimeout = 30 * time.Second
	MaxTimeout     = time.Hour
	// MaxReplayBytes is the largest body that is kept for another try.
	MaxReplayBytes = 64 << 10
	MaxTries       = 3
	// MaxClaimBytes bounds the body of a non-idempotent request, which is read
	// whole so that its digest can be claimed.
	MaxClaimBytes = 8 << 20
	copyBytes     = 32 << 10
)

// Limiter hands out slots.
type Limiter interface {
	Acquire(ctx context.Context, r limiter.Request) (*limiter.Lease, error)
}

// Claimer keeps non-idempotent requests to one execution.
type Claimer interface {
	Claim(ctx context.Context, r claimer.Request) (*reducer.Claim, error)
	End(r claimer.Request, e claimer.Ending)
}

// AccessLog takes a line for each request.
type AccessLog interface {
	Access(Access)
}

// Access describes one finished request.
type Access struct {
	RequestID string
	Workspace string
	Service   string
	Path      string
	Method    string
	Key       string
	Minion    string
	Status    int
	Outcome   encoder.Outcome
	Tries     int
	Bytes     int64
	WaitMS    int64
	TookMS    int64
	Error     string
}

// Call is a request whose caller is known and allowed.
type Call struct {
	RequestID string
	Workspace string
	Service   string
	// Path is the rest of the path, from its first slash on.
	Path string
}

// Router passes requests on.
type Router struct {
	Limiter Limiter
	Claimer Claimer
	Log     AccessLog
	Budget  *Budget
	// Shared reuses connections; Once opens one for each request, so that the
	// transport can never send a request again by itself.
	Shared http.RoundTripper
	Once   http.RoundTripper
}

// NewTransports returns the transports for shared and single use.
func NewTransports(connections int) (shared, once *http.Transport) {
	shared = &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: max(connections/4, 1), IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: MaxTimeout, DisableCompression: true, MaxResponseHeaderBytes: 64 << 10,
	}
	once = shared.Clone()
	once.DisableKeepAlives = true
	return shared, once
}

// Serve answers one request.
func (r *Router) Serve(w http.ResponseWriter, req *http.Request, c Call) {
	start := time.Now()
	x := &exchange{router: r, w: w, req: req, call: c, access: Access{
		RequestID: c.RequestID, Workspace: c.Workspace, Service: c.Service, Path: c.Path,
		Method: req.Method, Key: req.Header.Get(HeaderKey), Outcome: encoder.OutcomeNotRun,
	}}
	defer func() {
		x.access.TookMS = time.Since(start).Milliseconds()
		r.Log.Access(x.access)
		if x.broken {
			// Breaks the connection, so that a cut answer never looks whole.
			panic(http.ErrAbortHandler)
		}
	}()
	w.Header().Set(HeaderRequestID, c.RequestID)
	x.serve()
}

// kind says how often a request may be sent.
type kind int

const (
	// idempotent requests may be sent again.
	idempotent kind = iota
	// cautious requests are sent once, without a claim: methods that are not
	// idempotent by themselves and that the caller has not marked.
	cautious
	// claimed requests are sent at most once over all instances.
	claimed
)

func kindOf(req *http.Request) (kind, error) {
	switch req.Header.Get(HeaderIdempotent) {
	case "true":
		return idempotent, nil
	case "false":
		if req.Header.Get(HeaderKey) == "" {
			return claimed, errors.New("a request marked non-idempotent needs an " + HeaderKey)
		}
		return claimed, nil
	case "":
	default:
		return cautious, errors.New(HeaderIdempotent + " takes true or false")
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return idempotent, nil
	}
	return cautious, nil
}

func classOf(req *http.Request) (limiter.Class, error) {
	switch req.Header.Get(HeaderClass) {
	case "High":
		return limiter.ClassHigh, nil
	case "", "Normal":
		return limiter.ClassNormal, nil
	case "Low":
		return limiter.ClassLow, nil
	}
	return 0, errors.New(HeaderClass + " takes High, Normal or Low")
}

func timeoutOf(req *http.Request) (time.Duration, error) {
	text := req.Header.Get(HeaderTimeout)
	if text == "" {
		return DefaultTimeout, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > MaxTimeout {
		return 0, errors.Newf("%s takes a duration with a unit up to %s", HeaderTimeout, MaxTimeout)
	}
	return d, nil
}

// buffers are reused between answers.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// copyBody streams until the end or the first error, flushing as it goes.
func copyBody(w http.ResponseWriter, body io.Reader, keep *kept) (n int64, readErr, writeErr error) {
	flusher, _ := w.(http.Flusher)
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	buffer := *pooled
	for {
		read, err := body.Read(buffer)
		if read > 0 {
			keep.write(buffer[:read])
			if _, writeErr = w.Write(buffer[:read]); writeErr != nil {
				return n, nil, writeErr
			}
			n += int64(read)
			if flusher != nil {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return n, nil, nil
		}
		if err != nil {
			return n, err, nil
		}
	}
}

// kept holds the start of an answer for callers that repeat their key.
type kept struct {
	data      []byte
	truncated bool
}

func (k *kept) write(data []byte) {
	if k == nil {
		return
	}
	room := reducer.MaxAnswerBytes - len(k.data)
	if len(data) > room {
		data, k.truncated = data[:room], true
	}
	k.data = append(k.data, data...)
}
