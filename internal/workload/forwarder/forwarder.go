// Package forwarder passes callers' calls on to other instances, when those
// know more: CBOR over HTTP, one call a request.
package forwarder

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"daisyhead/internal/workload/acceptor"
)

// Path is where peers take calls.
const Path = "/v1/calls"

const (
	// maxTries bounds the peers that are asked for one call.
	maxTries = 3
	// tryTimeout bounds one peer's answer, so that a silent peer leaves time
	// for another.
	tryTimeout = 900 * time.Millisecond
	// maxCallBytes bounds a call and its answer.
	maxCallBytes = 2 << 20
)

// Forwarder asks peers. It implements acceptor.Peers.
type Forwarder struct {
	client *http.Client

	mu    sync.Mutex
	peers []string
}

// New returns a forwarder that knows no peers yet.
func New(c *http.Client) *Forwarder { return &Forwarder{client: c} }

// SetPeers replaces the addresses of the peers.
func (f *Forwarder) SetPeers(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = addresses
}

// pick returns a few peers in random order, so that callers' retries meet others.
func (f *Forwarder) pick() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	picked := make([]string, 0, maxTries)
	for _, i := range rand.Perm(len(f.peers)) {
		if len(picked) < maxTries {
			picked = append(picked, f.peers[i])
		}
	}
	return picked
}

// Forward implements acceptor.Peers. A peer that can't serve the call either is
// passed over.
func (f *Forwarder) Forward(ctx context.Context, c acceptor.Call) (a acceptor.Answer, ok bool) {
	c.Forwarded = true
	for _, address := range f.pick() {
		answer, sent, err := f.try(ctx, address, c)
		switch {
		case err == nil && answer.Verdict != acceptor.NotRun:
			return answer, true
		case err != nil && sent && c.Kind != acceptor.KindState:
			return acceptor.Answer{Verdict: acceptor.Unknown, Reason: "a peer has not answered"}, true
		case ctx.Err() != nil:
			return a, false
		}
	}
	return a, false
}

// try asks one peer. sent tells whether the peer may have taken the call.
func (f *Forwarder) try(ctx context.Context, address string, c acceptor.Call) (a acceptor.Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var wrote atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	data, err := cbor.Marshal(c)
	if err != nil {
		return a, false, err
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodPost, "http://"+address+Path, bytes.NewReader(data))
	if err != nil {
		return a, false, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return a, wrote.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBytes))
	if err != nil {
		return a, true, err
	}
	err = cbor.Unmarshal(body, &a)
	return a, true, err
}

// Answerer answers calls.
type Answerer interface {
	Answer(ctx context.Context, c acceptor.Call) acceptor.Answer
}

// Handler takes calls from peers.
func Handler(a Answerer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		var c acceptor.Call
		data, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
		if err == nil {
			err = cbor.Unmarshal(data, &c)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.Forwarded = true
		answer, err := cbor.Marshal(a.Answer(r.Context(), c))
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		// A peer that has gone away counts the call as unanswered.
		_, _ = w.Write(answer)
	})
	return mux
}
