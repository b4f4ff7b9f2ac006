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

// exchange is the state of one request and its response.
type exchange struct {
	router *Router
	w      http.ResponseWriter
	req    *http.Request
	call   Call
	access AccessRecord

	class limiter.Class
	body  []byte
	// bodyBuffered is set when body holds the complete request body.
	bodyBuffered bool
	// tried lists the addresses of the minions that failed the request.
	tried []string
	// responseStarted is set once a response header has been written.
	responseStarted bool
	// abortConnection is set when the response can't be completed, so that Serve
	// aborts the connection to the caller.
	abortConnection bool
	// onLateResult, if set, is called with the result of an abandoned request.
	onLateResult func(roundTripResult)
	// responseCut is set when the response was not relayed to its end, so that
	// the minion may still be working on it.
	responseCut bool
}

// serve validates the headers of the request and forwards it as its delivery mode
// requires.
func (x *exchange) serve() {
	mode, err := deliveryModeOf(x.req)
	timeout, timeoutErr := timeoutOf(x.req)
	class, classErr := classOf(x.req)
	if err := errors.CombineErrors(err, errors.CombineErrors(timeoutErr, classErr)); err != nil {
		x.fail(http.StatusBadRequest, "Invalid", err.Error(), encoder.OutcomeNotRun, 0)
		return
	}
	x.class = class
	ctx, cancel := context.WithTimeout(x.req.Context(), timeout)
	defer cancel()
	switch mode {
	case idempotent:
		x.serveIdempotent(ctx)
	case singleAttempt:
		x.serveSingleAttempt(ctx)
	case claimed:
		x.serveClaimed(ctx)
	}
}

// serveIdempotent sends the request and retries it on other minions within the
// retry budget.
func (x *exchange) serveIdempotent(ctx context.Context) {
	if err := x.bufferBody(MaxRetryBodyBytes); err != nil {
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
		res := x.send(ctx, lease, x.router.PooledTransport, nil)
		if res.responded {
			return
		}
		if res.outcome != encoder.OutcomeNotRun {
			outcome = encoder.OutcomeUnknown
		}
		retry := x.bodyBuffered && try < MaxTries && ctx.Err() == nil && x.router.RetryBudget.Take()
		if !retry {
			x.failSend(ctx, res.err, outcome)
			return
		}
		x.tried = append(x.tried, lease.Target.Address)
	}
}

// serveSingleAttempt sends the request once, without a claim.
func (x *exchange) serveSingleAttempt(ctx context.Context) {
	lease, err := x.acquire(ctx)
	if err != nil {
		x.failAcquire(err, encoder.OutcomeNotRun)
		return
	}
	res := x.send(ctx, lease, x.router.SingleUseTransport, nil)
	if !res.responded {
		x.failSend(ctx, res.err, res.outcome)
	}
}

// serveClaimed acquires a slot, claims the request and then sends it once.
func (x *exchange) serveClaimed(ctx context.Context) {
	if err := x.bufferBody(MaxClaimedBodyBytes); err != nil || !x.bodyBuffered {
		x.fail(http.StatusBadRequest, "RequestCut", "the body was cut or is larger than allowed for a non-idempotent request", encoder.OutcomeNotRun, 0)
		return
	}
	lease, err := x.acquire(ctx)
	if err != nil {
		x.failAcquire(err, encoder.OutcomeNotRun)
		return
	}
	request := claimer.Request{Workspace: x.call.Workspace, Key: x.access.Key, Service: x.call.Service, Digest: x.digest()}
	existing, err := x.router.Claimer.Claim(ctx, request)
	if err != nil || existing != nil {
		lease.Release(limiter.Inconclusive)
		x.respondFromClaim(existing, err)
		return
	}
	x.onLateResult = func(r roundTripResult) { x.router.Claimer.RecordResult(request, lateResult(r)) }
	capture := &capturedBody{}
	res := x.send(ctx, lease, x.router.SingleUseTransport, capture)
	if !res.abandoned {
		x.router.Claimer.RecordResult(request, res.claimResult(capture))
	}
	if !res.responded {
		x.failSend(ctx, res.err, res.outcome)
	}
}

// lateResult returns the result of a claimed request whose caller no longer waits
// for it. It reads the response body as far as it is recorded.
func lateResult(r roundTripResult) claimer.Result {
	if r.err != nil {
		return claimer.Result{Outcome: encoder.OutcomeUnknown, Reason: r.err.Error()}
	}
	capture := &capturedBody{}
	body, err := io.ReadAll(io.LimitReader(r.resp.Body, reducer.MaxStoredResponseBytes+1))
	capture.write(body)
	if err != nil {
		capture.markIncomplete()
	}
	res := sendResult{outcome: encoder.OutcomeRan, status: r.resp.StatusCode, contentType: r.resp.Header.Get("Content-Type")}
	return res.claimResult(capture)
}

// claimResult returns the result that is recorded with the claim.
func (r sendResult) claimResult(capture *capturedBody) claimer.Result {
	result := claimer.Result{Outcome: r.outcome, Status: r.status, Type: r.contentType, Body: capture.data, Truncated: capture.truncated}
	if r.err != nil {
		result.Reason = r.err.Error()
	}
	return result
}

// digest identifies the content of the request, so that a key which is repeated
// with another request is detected.
func (x *exchange) digest() string {
	h := sha256.New()
	io.WriteString(h, x.req.Method+"\x00"+x.call.Service+"\x00"+x.call.Path+"\x00"+x.req.URL.RawQuery+"\x00")
	h.Write(x.body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// respondFromClaim responds to a request that could not be claimed: with the
// recorded result of the earlier request, or with an error.
func (x *exchange) respondFromClaim(claim *reducer.Claim, err error) {
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

// replay responds with the recorded response of the earlier request.
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

// bufferBody buffers the request body. If it is larger than the limit, only its
// start is buffered and bodyBuffered stays false.
func (x *exchange) bufferBody(limit int64) error {
	if x.req.Body == nil || x.req.ContentLength == 0 {
		x.bodyBuffered = true
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(x.req.Body, limit+1))
	if err != nil {
		return errors.Wrap(err, "the request body was cut")
	}
	x.body, x.bodyBuffered = data, int64(len(data)) <= limit
	return nil
}

// acquire waits for a slot of a minion that has not failed the request yet.
func (x *exchange) acquire(ctx context.Context) (*limiter.Lease, error) {
	start := time.Now()
	lease, err := x.router.Limiter.Acquire(ctx, limiter.Request{Service: x.call.Service, Class: x.class, Exclude: x.tried})
	x.access.WaitMS += time.Since(start).Milliseconds()
	return lease, err
}

// sendResult is the result of one try.
type sendResult struct {
	// responded is set if a response, complete or not, was sent to the caller.
	responded bool
	// abandoned is set when the caller stopped waiting or its timeout passed before
	// the minion responded.
	abandoned   bool
	outcome     encoder.Outcome
	status      int
	contentType string
	err         error
}

// roundTripResult is the response of a minion, or the error of the transport.
type roundTripResult struct {
	resp *http.Response
	err  error
}

// send makes one try. Its outcome is NotRun only if no byte of the request can
// have been sent to the minion. If capture is not nil, it receives the start of the
// response body.
func (x *exchange) send(ctx context.Context, lease *limiter.Lease, transport http.RoundTripper, capture *capturedBody) (res sendResult) {
	x.access.Tries++
	x.access.Minion = lease.Target.Name
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The minion's slot is in use until the minion has responded, even if the
	// caller no longer waits. The try is therefore not cancelled with ctx.
	minionCtx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.WithoutCancel(ctx), trace), MaxTimeout)
	out, err := x.newMinionRequest(minionCtx, lease)
	if err != nil {
		cancel()
		lease.Release(limiter.Inconclusive)
		return sendResult{outcome: encoder.OutcomeNotRun, err: err}
	}
	result := make(chan roundTripResult, 1)
	go func() {
		resp, err := transport.RoundTrip(out)
		result <- roundTripResult{resp, err}
	}()
	select {
	case r := <-result:
		defer cancel()
		return x.handleRoundTrip(ctx, lease, r, connected.Load(), cancel, capture)
	case <-ctx.Done():
		go awaitAbandoned(lease, result, cancel, x.onLateResult)
		return sendResult{outcome: encoder.OutcomeUnknown, abandoned: true, err: ctx.Err()}
	}
}

// AbandonedRequestTimeout is how long a slot is held for a response after the
// caller has stopped waiting for it.
const AbandonedRequestTimeout = time.Minute

// slotReleaseDelay is how long a slot is held after a response was not relayed to
// its end. The minion may work on the request until it notices the closed connection.
const slotReleaseDelay = 500 * time.Millisecond

// awaitAbandoned waits for the result of an abandoned request, passes it to
// onLateResult and releases the slot.
func awaitAbandoned(lease *limiter.Lease, result <-chan roundTripResult, cancel context.CancelFunc, onLateResult func(roundTripResult)) {
	defer cancel()
	timeout := time.AfterFunc(AbandonedRequestTimeout, cancel)
	defer timeout.Stop()
	r := <-result
	if onLateResult != nil {
		onLateResult(r)
	}
	if r.err == nil {
		_, _ = io.Copy(io.Discard, r.resp.Body)
		_ = r.resp.Body.Close()
	}
	lease.Release(limiter.Inconclusive)
}

// handleRoundTrip relays the response to the caller, unless the try failed, and
// releases the slot.
func (x *exchange) handleRoundTrip(ctx context.Context, lease *limiter.Lease, r roundTripResult, connected bool, cancel context.CancelFunc, capture *capturedBody) sendResult {
	if r.err != nil {
		lease.Release(limiter.Failure)
		if !connected {
			return sendResult{outcome: encoder.OutcomeNotRun, err: r.err}
		}
		return sendResult{outcome: encoder.OutcomeUnknown, err: r.err}
	}
	defer r.resp.Body.Close()
	// A minion that echoes another request ID has sent the response to another request.
	if echoedID := r.resp.Header.Get(HeaderRequestID); echoedID != "" && echoedID != x.call.RequestID {
		lease.Release(limiter.Failure)
		return sendResult{outcome: encoder.OutcomeUnknown, err: errors.Newf("the minion answered request %q", echoedID)}
	}
	// From here on, the try ends with the context of the caller.
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	health := limiter.Failure
	if r.resp.StatusCode < http.StatusInternalServerError {
		health = limiter.Success
	}
	res := x.relay(r.resp, capture, &health)
	if x.responseCut {
		time.AfterFunc(slotReleaseDelay, func() { lease.Release(health) })
		return res
	}
	lease.Release(health)
	return res
}

// newMinionRequest returns the request that is sent to the minion.
func (x *exchange) newMinionRequest(ctx context.Context, lease *limiter.Lease) (*http.Request, error) {
	url := *x.req.URL
	url.Scheme, url.Host, url.Path, url.RawPath = "http", lease.Target.Address, x.call.Path, ""
	out, err := http.NewRequestWithContext(ctx, x.req.Method, url.String(), nil)
	if err != nil {
		return nil, err
	}
	out.Header = minionRequestHeader(x.req.Header)
	out.Header.Set(HeaderRequestID, x.call.RequestID)
	out.Host = x.req.Host
	switch {
	case x.req.ContentLength == 0:
	case x.bodyBuffered:
		// The reader is opaque, so that the transport can't rewind the body and
		// retry the request on its own.
		out.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(x.body)})
		out.ContentLength = int64(len(x.body))
	default:
		// The body was not buffered whole: the rest of it is streamed.
		out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(x.body), x.req.Body))
		out.ContentLength = x.req.ContentLength
	}
	out.Trailer = x.req.Trailer
	return out, nil
}

// relay streams the response to the caller. After its first byte, the only way to
// signal a truncated response is to abort the connection. It changes health if the
// minion's response is cut off.
func (x *exchange) relay(resp *http.Response, capture *capturedBody, health *limiter.Result) sendResult {
	copyResponseHeader(x.w.Header(), resp.Header)
	x.w.Header().Set(HeaderMinion, x.access.Minion)
	x.w.Header().Set(HeaderOutcome, string(encoder.OutcomeRan))
	announceTrailers(x.w.Header(), resp.Trailer)
	x.w.WriteHeader(resp.StatusCode)
	x.responseStarted = true
	n, readErr, writeErr := copyBody(x.w, resp.Body, capture)
	x.access.Status, x.access.Bytes, x.access.Outcome = resp.StatusCode, n, encoder.OutcomeRan
	res := sendResult{responded: true, outcome: encoder.OutcomeRan, status: resp.StatusCode, contentType: resp.Header.Get("Content-Type")}
	switch {
	case readErr != nil:
		*health = limiter.Failure
		if x.req.Context().Err() != nil {
			*health = limiter.Inconclusive
		}
		x.responseCut = true
		x.abortConnection, x.access.Error = true, "the minion's response was cut off: "+readErr.Error()
		capture.markIncomplete()
	case writeErr != nil:
		x.responseCut = true
		x.access.Error = "writing the response to the caller failed: " + writeErr.Error()
		capture.markIncomplete()
	default:
		copyTrailers(x.w.Header(), resp.Trailer)
	}
	return res
}

// markIncomplete marks the captured body as truncated, so that it is not
// replayed.
func (c *capturedBody) markIncomplete() {
	if c != nil {
		c.truncated = true
	}
}

// failAcquire responds with the error for a request that got no slot.
func (x *exchange) failAcquire(err error, outcome encoder.Outcome) {
	status, code, retryAfter := http.StatusServiceUnavailable, "Overloaded", time.Second
	switch {
	case errors.Is(err, limiter.ErrNoService):
		status, code, retryAfter = http.StatusNotFound, "NoService", 0
	case errors.Is(err, limiter.ErrNoMinion):
		code, retryAfter = "NoMinion", 5*time.Second
	case errors.Is(err, limiter.ErrNoSlotInTime):
		status, code = http.StatusGatewayTimeout, "NoSlotInTime"
	case errors.Is(err, limiter.ErrStaleView):
		code = "StaleControlState"
	case errors.Is(err, limiter.ErrClosing):
		code = "Stopping"
	}
	x.fail(status, code, err.Error(), outcome, retryAfter)
}

// failSend responds with the error for a request whose last try failed.
func (x *exchange) failSend(ctx context.Context, err error, outcome encoder.Outcome) {
	status, code := http.StatusBadGateway, "MinionFailed"
	if ctx.Err() != nil {
		status, code = http.StatusGatewayTimeout, "Timeout"
	}
	x.fail(status, code, err.Error(), outcome, 0)
}

// fail responds with an error, or aborts the connection if a response has already
// been started.
func (x *exchange) fail(status int, code, message string, outcome encoder.Outcome, retryAfter time.Duration) {
	x.access.Status, x.access.Outcome, x.access.Error = status, outcome, code+": "+message
	if x.responseStarted {
		x.abortConnection = true
		return
	}
	replier.WriteError(x.w, status, replier.Error{
		Code: code, Message: message, Outcome: outcome, RequestID: x.call.RequestID, RetryAfterMS: retryAfter.Milliseconds(),
	})
}
