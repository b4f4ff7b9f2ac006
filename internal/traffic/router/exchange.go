package router

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/replier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/traffic/claimer"
	"daisyhead/internal/traffic/limiter"
)

// exchange is one request on its way to a minion and back.
type exchange struct {
	router *Router
	w      http.ResponseWriter
	req    *http.Request
	call   Call
	access Access

	class limiter.Class
	body  []byte
	// replayable is set when body holds the whole request body.
	replayable bool
	tried      []string
	answered   bool
	broken     bool
	// late, if set, takes an answer that came after the caller had given up.
	late func(reply)
	// cutShort is set when the minion may still be busy with a broken answer.
	cutShort bool
}

func (x *exchange) serve() {
	kind, err := kindOf(x.req)
	timeout, timeoutErr := timeoutOf(x.req)
	class, classErr := classOf(x.req)
	if err := errors.CombineErrors(err, errors.CombineErrors(timeoutErr, classErr)); err != nil {
		x.fail(http.StatusBadRequest, "Invalid", err.Error(), encoder.OutcomeNotRun, 0)
		return
	}
	x.class = class
	ctx, cancel := context.WithTimeout(x.req.Context(), timeout)
	defer cancel()
	switch kind {
	case idempotent:
		x.serveIdempotent(ctx)
	case cautious:
		x.serveCautious(ctx)
	case claimed:
		x.serveClaimed(ctx)
	}
}

// serveIdempotent tries other minions while the budget allows it.
func (x *exchange) serveIdempotent(ctx context.Context) {
	if err := x.bufferBody(MaxReplayBytes); err != nil {
		x.fail(http.StatusBadRequest, "RequestCut", err.Error(), encoder.OutcomeNotRun, 0)
		return
	}
	outcome := encoder.OutcomeNotRun
	for try := 1; ; try++ {
		lease, err := x.acquire(ctx)
		if err != nil {
			x.failAcquire(err, outcome)
			return
		}
		res := x.send(ctx, lease, x.router.Shared, nil)
		if res.done {
			return
		}
		if res.outcome != encoder.OutcomeNotRun {
			outcome = encoder.OutcomeUnknown
		}
		again := x.replayable && try < MaxTries && ctx.Err() == nil && x.router.Budget.Take()
		if !again {
			x.failSend(ctx, res.err, outcome)
			return
		}
		x.tried = append(x.tried, lease.Target.Address)
	}
}

// serveCautious sends the request once.
func (x *exchange) serveCautious(ctx context.Context) {
	lease, err := x.acquire(ctx)
	if err != nil {
		x.failAcquire(err, encoder.OutcomeNotRun)
		return
	}
	res := x.send(ctx, lease, x.router.Once, nil)
	if !res.done {
		x.failSend(ctx, res.err, res.outcome)
	}
}

// serveClaimed claims the request once it has a slot, and then sends it once.
func (x *exchange) serveClaimed(ctx context.Context) {
	if err := x.bufferBody(MaxClaimBytes); err != nil || !x.replayable {
		x.fail(http.StatusBadRequest, "RequestCut", "the body was cut or is larger than allowed for a non-idempotent request", encoder.OutcomeNotRun, 0)
		return
	}
	lease, err := x.acquire(ctx)
	if err != nil {
		x.failAcquire(err, encoder.OutcomeNotRun)
		return
	}
	request := claimer.Request{Workspace: x.call.Workspace, Key: x.access.Key, Service: x.call.Service, Digest: x.digest()}
	standing, err := x.router.Claimer.Claim(ctx, request)
	if err != nil || standing != nil {
		lease.Release(limiter.Inconclusive)
		x.answerStanding(standing, err)
		return
	}
	x.late = func(r reply) { x.router.Claimer.End(request, lateEnding(r)) }
	keep := &kept{}
	res := x.send(ctx, lease, x.router.Once, keep)
	if !res.abandoned {
		x.router.Claimer.End(request, res.ending(keep))
	}
	if !res.done {
		x.failSend(ctx, res.err, res.outcome)
	}
}

// lateEnding is the outcome of a claimed request whose caller no longer waits.
func lateEnding(r reply) claimer.Ending {
	if r.err != nil {
		return claimer.Ending{Outcome: encoder.OutcomeUnknown, Reason: r.err.Error()}
	}
	keep := &kept{}
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, reducer.MaxAnswerBytes+1))
	keep.write(body)
	if err != nil {
		keep.cut()
	}
	res := sendResult{outcome: encoder.OutcomeRan, status: r.resp.StatusCode, contentType: r.resp.Header.Get("Content-Type")}
	return res.ending(keep)
}

func (r sendResult) ending(k *kept) claimer.Ending {
	e := claimer.Ending{Outcome: r.outcome, Status: r.status, Type: r.contentType, Body: k.data, Truncated: k.truncated}
	if r.err != nil {
		e.Reason = r.err.Error()
	}
	return e
}

func (x *exchange) digest() string {
	h := sha256.New()
	io.WriteString(h, x.req.Method+"\x00"+x.call.Service+"\x00"+x.call.Path+"\x00"+x.req.URL.RawQuery+"\x00")
	h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// answerStanding answers a request whose key was claimed before.
func (x *exchange) answerStanding(claim *reducer.Claim, err error) {
	switch {
	case errors.Is(err, claimer.ErrConflict):
		x.fail(http.StatusConflict, "KeyConflict", err.Error(), encoder.OutcomeNotRun, 0)
	case err != nil:
		x.fail(http.StatusServiceUnavailable, "LedgerUnavailable", err.Error(), encoder.OutcomeNotRun, time.Second)
	case !claim.Ended:
		x.fail(http.StatusConflict, "InProgress", "a request with this key was claimed and its outcome is not recorded", encoder.OutcomeUnknown, time.Second)
	case claim.Outcome != encoder.OutcomeRan:
		x.fail(http.StatusBadGateway, "EarlierAttempt", "the request with this key ended without an answer: "+claim.Reason, claim.Outcome, 0)
	case claim.Truncated:
		x.fail(http.StatusConflict, "AnswerNotKept", "the request with this key ran; its answer was too large to be kept", encoder.OutcomeRan, 0)
	default:
		x.replay(claim)
	}
}

func (x *exchange) replay(claim *reducer.Claim) {
	h := x.w.Header()
	if claim.Type != "" {
		h.Set("Content-Type", claim.Type)
	}
	h.Set(HeaderReplayed, "true")
	h.Set(HeaderOutcome, string(encoder.OutcomeRan))
	h.Set("Content-Length", strconv.Itoa(len(claim.Body)))
	x.w.WriteHeader(claim.Status)
	_, _ = x.w.Write(claim.Body)
	x.access.Status, x.access.Outcome, x.access.Bytes = claim.Status, encoder.OutcomeRan, int64(len(claim.Body))
}

// bufferBody reads up to limit bytes of the body, for another try.
func (x *exchange) bufferBody(limit int64) error {
	if x.req.Body == nil || x.req.ContentLength == 0 {
		x.replayable = true
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(x.req.Body, limit+1))
	if err != nil {
		return errors.Wrap(err, "the request body was cut")
	}
	x.body, x.replayable = data, int64(len(data)) <= limit
	return nil
}

func (x *exchange) acquire(ctx context.Context) (*limiter.Lease, error) {
	start := time.Now()
	lease, err := x.router.Limiter.Acquire(ctx, limiter.Request{Service: x.call.Service, Class: x.class, Exclude: x.tried})
	x.access.WaitMS += time.Since(start).Milliseconds()
	return lease, err
}

// sendResult tells what came of one try.
type sendResult struct {
	// done is set once an answer, whole or cut, has gone to the caller.
	done bool
	// abandoned is set when the caller's time ran out before the minion answered.
	abandoned   bool
	outcome     encoder.Outcome
	status      int
	contentType string
	err         error
}

// reply is the answer to a try, or its error.
type reply struct {
	resp *http.Response
	err  error
}

// send makes one try. Nothing has run for certain only if no byte of the
// request can have left.
func (x *exchange) send(ctx context.Context, lease *limiter.Lease, transport http.RoundTripper, keep *kept) (res sendResult) {
	x.access.Tries++
	x.access.Minion = lease.Target.Name
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The minion's slot is busy until it has answered, whether or not the caller
	// still waits, so the try outlives the caller.
	up, cancel := context.WithTimeout(httptrace.WithClientTrace(context.WithoutCancel(ctx), trace), MaxTimeout)
	out, err := x.outgoing(up, lease)
	if err != nil {
		cancel()
		lease.Release(limiter.Inconclusive)
		return sendResult{outcome: encoder.OutcomeNotRun, err: err}
	}
	answer := make(chan reply, 1)
	go func() {
		resp, err := transport.RoundTrip(out)
		answer <- reply{resp, err}
	}()
	select {
	case r := <-answer:
		defer cancel()
		return x.finishTry(ctx, lease, r, connected.Load(), cancel, keep)
	case <-ctx.Done():
		go abandon(lease, answer, cancel, x.late)
		return sendResult{outcome: encoder.OutcomeUnknown, abandoned: true, err: ctx.Err()}
	}
}

// AbandonTime is how long a minion's slot is kept for an answer that nobody
// waits for any more.
const AbandonTime = time.Minute

// lingerTime is how long a slot is kept after an answer was broken off, while
// the minion notices.
const lingerTime = 500 * time.Millisecond

// abandon gives the slot back once the minion has answered.
func abandon(lease *limiter.Lease, answer <-chan reply, cancel context.CancelFunc, late func(reply)) {
	defer cancel()
	timeout := time.AfterFunc(AbandonTime, cancel)
	defer timeout.Stop()
	r := <-answer
	if late != nil {
		late(r)
	}
	if r.err == nil {
		_, _ = io.Copy(io.Discard, r.resp.Body)
		_ = r.resp.Body.Close()
	}
	lease.Release(limiter.Inconclusive)
}

func (x *exchange) finishTry(ctx context.Context, lease *limiter.Lease, r reply, connected bool, cancel context.CancelFunc, keep *kept) sendResult {
	if r.err != nil {
		lease.Release(limiter.Failure)
		if !connected {
			return sendResult{outcome: encoder.OutcomeNotRun, err: r.err}
		}
		return sendResult{outcome: encoder.OutcomeUnknown, err: r.err}
	}
	defer r.resp.Body.Close()
	if echo := r.resp.Header.Get(HeaderRequestID); echo != "" && echo != x.call.RequestID {
		lease.Release(limiter.Failure)
		return sendResult{outcome: encoder.OutcomeUnknown, err: errors.Newf("the minion answered request %q", echo)}
	}
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	verdict := limiter.Failure
	if r.resp.StatusCode < http.StatusInternalServerError {
		verdict = limiter.Success
	}
	res := x.relay(r.resp, keep, &verdict)
	if x.cutShort {
		time.AfterFunc(lingerTime, func() { lease.Release(verdict) })
		return res
	}
	lease.Release(verdict)
	return res
}

func (x *exchange) outgoing(ctx context.Context, lease *limiter.Lease) (*http.Request, error) {
	url := *x.req.URL
	url.Scheme, url.Host, url.Path, url.RawPath = "http", lease.Target.Address, x.call.Path, ""
	out, err := http.NewRequestWithContext(ctx, x.req.Method, url.String(), nil)
	if err != nil {
		return nil, err
	}
	out.Header = outgoingHeader(x.req.Header)
	out.Header.Set(HeaderRequestID, x.call.RequestID)
	out.Host = x.req.Host
	switch {
	case x.req.ContentLength == 0:
	case x.replayable:
		// An opaque reader keeps the transport from rewinding the body itself.
		out.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(x.body)})
		out.ContentLength = int64(len(x.body))
	default:
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.body), x.req.Body))
		out.ContentLength = x.req.ContentLength
	}
	out.Trailer = x.req.Trailer
	return out, nil
}

// relay streams the answer to the caller. Once a byte has gone out, a cut
// answer can only be shown by breaking the connection.
func (x *exchange) relay(resp *http.Response, keep *kept, verdict *limiter.Result) sendResult {
	copyAnswerHeader(x.w.Header(), resp.Header)
	x.w.Header().Set(HeaderMinion, x.access.Minion)
	x.w.Header().Set(HeaderOutcome, string(encoder.OutcomeRan))
	announceTrailers(x.w.Header(), resp.Trailer)
	x.w.WriteHeader(resp.StatusCode)
	x.answered = true
	n, readErr, writeErr := copyBody(x.w, resp.Body, keep)
	x.access.Status, x.access.Bytes, x.access.Outcome = resp.StatusCode, n, encoder.OutcomeRan
	res := sendResult{done: true, outcome: encoder.OutcomeRan, status: resp.StatusCode, contentType: resp.Header.Get("Content-Type")}
	switch {
	case readErr != nil:
		*verdict = limiter.Failure
		if x.req.Context().Err() != nil {
			*verdict = limiter.Inconclusive
		}
		x.cutShort = true
		x.broken, x.access.Error = true, "the minion's answer was cut: "+readErr.Error()
		keep.cut()
	case writeErr != nil:
		x.cutShort = true
		x.access.Error = "the caller went away: " + writeErr.Error()
		keep.cut()
	default:
		copyTrailers(x.w.Header(), resp.Trailer)
	}
	return res
}

// cut marks a kept answer as incomplete, so that it is never replayed.
func (k *kept) cut() {
	if k != nil {
		k.truncated = true
	}
}

func (x *exchange) failAcquire(err error, outcome encoder.Outcome) {
	status, code, retry := http.StatusServiceUnavailable, "Overloaded", time.Second
	switch {
	case errors.Is(err, limiter.ErrNoService):
		status, code, retry = http.StatusNotFound, "NoService", 0
	case errors.Is(err, limiter.ErrNoMinion):
		code, retry = "NoMinion", 5*time.Second
	case errors.Is(err, limiter.ErrNoSlotInTime):
		status, code = http.StatusGatewayTimeout, "NoSlotInTime"
	case errors.Is(err, limiter.ErrStaleView):
		code = "StaleControlState"
	case errors.Is(err, limiter.ErrClosing):
		code = "Stopping"
	}
	x.fail(status, code, err.Error(), outcome, retry)
}

func (x *exchange) failSend(ctx context.Context, err error, outcome encoder.Outcome) {
	status, code := http.StatusBadGateway, "MinionFailed"
	if ctx.Err() != nil {
		status, code = http.StatusGatewayTimeout, "Timeout"
	}
	x.fail(status, code, err.Error(), outcome, 0)
}

func (x *exchange) fail(status int, code, message string, outcome encoder.Outcome, retry time.Duration) {
	x.access.Status, x.access.Outcome, x.access.Error = status, outcome, code+": "+message
	if x.answered {
		x.broken = true
		return
	}
	replier.WriteError(x.w, status, replier.Error{
		Code: code, Message: message, Outcome: outcome, RequestID: x.call.RequestID, RetryAfterMS: retry.Milliseconds(),
	})
}
