// Package router forwards callers' requests to minions and streams the responses
// back.
//
// An idempotent request is retried on another minion, within a retry budget and
// only while no part of a response has been sent to the caller. A request marked
// as non-idempotent is claimed in the ledger and then sent at most once:
//
//	r := &router.Router{Limiter: l, Claimer: c, Log: log, PooledTransport: pooled, SingleUseTransport: singleUse}
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

// Headers of requests and responses.
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

// Timeouts, retries and size limits.
const (
	DefaultTimeout = 30 * time.Second
	MaxTimeout     = time.Hour
	// MaxRetryBodyBytes is the largest request body that is buffered for retries.
	MaxRetryBodyBytes = 64 << 10
	// MaxTries is the maximum number of times that an idempotent request is sent.
	MaxTries = 3
	// MaxClaimedBodyBytes is the largest body of a request marked as
	// non-idempotent. It is buffered whole, because the claim holds its digest.
	MaxClaimedBodyBytes = 8 << 20
	copyBufferBytes     = 32 << 10
)

// Limiter grants slots of minions.
type Limiter interface {
	Acquire(ctx context.Context, r limiter.Request) (*limiter.Lease, error)
}

// Claimer limits non-idempotent requests to one execution.
type Claimer interface {
	Claim(ctx context.Context, r claimer.Request) (*reducer.Claim, error)
	RecordResult(r claimer.Request, result claimer.Result)
}

// AccessLogger records finished requests.
type AccessLogger interface {
	LogAccess(AccessRecord)
}

// AccessRecord describes one finished request.
type AccessRecord struct {
	RequestID string
	Workspace string
	Service   string
	Path      string
	Method    string
	// Key is the idempotency key, if the request has one.
	Key string
	// Minion is the name of the last minion to which the request was sent.
	Minion  string
	Status  int
	Outcome encoder.Outcome
	Tries   int
	Bytes   int64
	// WaitMS is the time spent waiting for slots over all tries, TookMS the total time.
	WaitMS int64
	TookMS int64
	Error  string
}

// Call describes a request whose caller is authenticated and authorized.
type Call struct {
	RequestID string
	Workspace string
	Service   string
	// Path is the path after the service name, with its leading slash.
	Path string
}

// Router forwards requests to minions.
type Router struct {
	Limiter     Limiter
	Claimer     Claimer
	Log         AccessLogger
	RetryBudget *RetryBudget
	// PooledTransport reuses connections. SingleUseTransport opens a connection
	// for each request, so that the transport never retries a request on its own.
	PooledTransport    http.RoundTripper
	SingleUseTransport http.RoundTripper
}

// NewTransports returns a transport that reuses connections and one that uses
// each connection for a single request.
func NewTransports(connections int) (pooled, singleUse *http.Transport) {
	pooled = &http.Transport{
		MaxConnsPerHost: connections, MaxIdleConnsPerHost: max(connections/4, 1), IdleConnTimeout: 30 * time.Second,
		ResponseHeaderTimeout: MaxTimeout, DisableCompression: true, MaxResponseHeaderBytes: 64 << 10,
	}
	singleUse = pooled.Clone()
	singleUse.DisableKeepAlives = true
	return pooled, singleUse
}

// Serve forwards a request and writes the response or an error.
func (r *Router) Serve(w http.ResponseWriter, req *http.Request, c Call) {
	start := time.Now()
	x := &exchange{router: r, w: w, req: req, call: c, access: AccessRecord{
		RequestID: c.RequestID, Workspace: c.Workspace, Service: c.Service, Path: c.Path,
		Method: req.Method, Key: req.Header.Get(HeaderKey), Outcome: encoder.OutcomeNotRun,
	}}
	defer func() {
		x.access.TookMS = time.Since(start).Milliseconds()
		r.Log.LogAccess(x.access)
		if x.abortConnection {
			// Aborts the connection, so that the caller can't take a truncated
			// response for a complete one.
			panic(http.ErrAbortHandler)
		}
	}()
	w.Header().Set(HeaderRequestID, c.RequestID)
	x.serve()
}

// deliveryMode determines how often a request may be sent.
type deliveryMode int

const (
	// idempotent requests may be retried.
	idempotent deliveryMode = iota
	// singleAttempt requests are sent once, without a claim. Their method is not
	// idempotent and the caller has not set HeaderIdempotent.
	singleAttempt
	// claimed requests are sent at most once by all instances together.
	claimed
)

// deliveryModeOf returns the delivery mode that HeaderIdempotent sets or, without it,
// the one of the method.
func deliveryModeOf(req *http.Request) (deliveryMode, error) {
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
		return singleAttempt, errors.New(HeaderIdempotent + " takes true or false")
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return idempotent, nil
	}
	return singleAttempt, nil
}

// classOf parses HeaderClass; without it, the class is ClassNormal.
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

// timeoutOf parses HeaderTimeout; without it, the timeout is DefaultTimeout.
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

// copyBuffers holds buffers that are reused between responses.
var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// copyBody streams the body until its end or the first error and flushes after
// each write.
func copyBody(w http.ResponseWriter, body io.Reader, capture *capturedBody) (n int64, readErr, writeErr error) {
	flusher, _ := w.(http.Flusher)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buffer := *pooled
	for {
		read, err := body.Read(buffer)
		if read > 0 {
			capture.write(buffer[:read])
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

// capturedBody holds the first MaxStoredResponseBytes of a response body. It is
// recorded with the claim, for callers that repeat the idempotency key. A nil
// capturedBody captures nothing.
type capturedBody struct {
	data      []byte
	truncated bool
}

// write captures as much of data as the limit allows.
func (c *capturedBody) write(data []byte) {
	if c == nil {
		return
	}
	remaining := reducer.MaxStoredResponseBytes - len(c.data)
	if len(data) > remaining {
		data, c.truncated = data[:remaining], true
	}
	c.data = append(c.data, data...)
}
