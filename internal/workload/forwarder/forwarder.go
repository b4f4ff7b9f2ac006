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

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/tabulator"
)

// Path is where peers take calls.
const Path = "/v1/calls"

// yieldPath is where an instance is asked to take the term over.
const yieldPath = "/v1/yields"

// witnessPath is where an instance is told of outcomes that are not durable yet.
const witnessPath = "/v1/witnesses"

// recordsPath is where the holder takes callers' records.
const recordsPath = "/v1/records"

const (
	// tryTimeout bounds one peer's answer, so that a silent peer leaves time
	// for another.
	tryTimeout = 1200 * time.Millisecond
	// storeTimeout bounds the holder's own wait; the asking instance gives up
	// before.
	storeTimeout = 3 * time.Second
	// maxCallBytes bounds a call and its answer.
	maxCallBytes = 2 << 20
)

// Forwarder asks peers.
type Forwarder struct {
	client *http.Client

	mu    sync.Mutex
	peers []string
	// lostUntil holds the peers that could not be reached.
	lostUntil map[string]time.Time
}

// New returns a forwarder that knows no peers yet.
func New(c *http.Client) *Forwarder { return &Forwarder{client: c} }

// SetPeers replaces the addresses of the peers.
func (f *Forwarder) SetPeers(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = addresses
}

// lostPause is how long a peer that could not be reached is passed over: a restart
// takes about as long.
const lostPause = 2 * time.Second

// pick returns a few peers in random order, so that callers' retries meet others. Those
// that could not be reached a moment ago are left out.
func (f *Forwarder) pick(count int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	picked := make([]string, 0, count)
	now := time.Now()
	for _, i := range rand.Perm(len(f.peers)) {
		if p := f.peers[i]; len(picked) < count && !now.Before(f.lostUntil[p]) {
			picked = append(picked, p)
		}
	}
	return picked
}

// note remembers whether a peer could be reached.
func (f *Forwarder) note(address string, reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reached {
		delete(f.lostUntil, address)
		return
	}
	if f.lostUntil == nil {
		f.lostUntil = map[string]time.Time{}
	}
	f.lostUntil[address] = time.Now().Add(lostPause)
}

// Forward asks up to tries peers in random order. A peer that can't serve the call
// either is passed over.
func (f *Forwarder) Forward(ctx context.Context, c acceptor.Call, tries int) (a acceptor.Answer, ok bool) {
	c.Forwarded = true
	for _, address := range f.pick(tries) {
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

// askTimeout bounds the holder's answer about a job: the asking instance has an
// older answer of its own.
const askTimeout = 250 * time.Millisecond

// Ask passes a call on to the instance at an address.
func (f *Forwarder) Ask(ctx context.Context, address string, c acceptor.Call) (a acceptor.Answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c.Forwarded = true
	_, err := f.post(ctx, address, Path, c, &a)
	return a, err == nil
}

// try asks one peer. sent tells whether the peer may have taken the call.
func (f *Forwarder) try(ctx context.Context, address string, c acceptor.Call) (a acceptor.Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	sent, err = f.post(ctx, address, Path, c, &a)
	return a, sent, err
}

// storeReply tells the outcome of a record that a peer was asked to write.
type storeReply struct {
	Written bool
	// Doubt is set if the record may have been written all the same.
	Doubt  bool   `cbor:",omitempty"`
	Reason string `cbor:",omitempty"`
}

// Store lets the instance at an address write a record. Errors other than
// follower.ErrNotWritten leave open whether it did.
func (f *Forwarder) Store(ctx context.Context, address string, r tabulator.Record) error {
	var reply storeReply
	sent, err := f.post(ctx, address, recordsPath, r, &reply)
	switch {
	case err != nil && !sent:
		return errors.Wrapf(follower.ErrNotWritten, "peer %s: %v", address, err)
	case err != nil:
		return errors.Wrapf(err, "peer %s", address)
	case reply.Written:
		return nil
	case reply.Doubt:
		return errors.Newf("peer %s: %s", address, reply.Reason)
	}
	return errors.Wrapf(follower.ErrNotWritten, "peer %s: %s", address, reply.Reason)
}

// post sends one message and reads the reply. sent tells whether the peer may
// have received it.
func (f *Forwarder) post(ctx context.Context, address, path string, msg, reply any) (sent bool, err error) {
	var connected atomic.Bool
	trace := httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	data, err := cbor.Marshal(msg)
	if err != nil {
		return false, err
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, &trace), http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return false, err
	}
	resp, err := f.client.Do(req)
	f.note(address, err == nil)
	if err != nil {
		return connected.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxCallBytes))
	if err != nil {
		return true, err
	}
	if resp.StatusCode != http.StatusOK {
		return true, errors.Newf("status %d", resp.StatusCode)
	}
	return true, cbor.Unmarshal(body, reply)
}

// Yield is a request to take the term over.
type Yield struct{ Term uint64 }

// Yield asks the instance at an address to claim the term after the given one.
func (f *Forwarder) Yield(ctx context.Context, address string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var taken bool
	_, err := f.post(ctx, address, yieldPath, Yield{Term: term}, &taken)
	return errors.Wrapf(err, "peer %s", address)
}

// Witness asks the instance at an address to remember an outcome until it is durable.
func (f *Forwarder) Witness(ctx context.Context, address string, outcome tabulator.Record) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var taken bool
	_, err := f.post(ctx, address, witnessPath, outcome, &taken)
	return errors.Wrapf(err, "peer %s", address)
}

// Answerer answers calls.
type Answerer interface {
	Answer(ctx context.Context, c acceptor.Call) acceptor.Answer
}

// Storer writes records if this instance decides.
type Storer interface {
	Store(ctx context.Context, r tabulator.Record) error
	// TakeOver claims the term after the given one.
	TakeOver(term uint64)
	// Witness remembers an outcome until it is durable.
	Witness(outcome tabulator.Record) (taken bool)
}

// Handler takes calls and records from peers.
func Handler(a Answerer, s Storer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		var c acceptor.Call
		if receive(w, r, &c) {
			c.Forwarded = true
			reply(w, a.Answer(r.Context(), c))
		}
	})
	mux.HandleFunc("POST "+recordsPath, func(w http.ResponseWriter, r *http.Request) {
		var record tabulator.Record
		if receive(w, r, &record) {
			reply(w, store(r.Context(), s, record))
		}
	})
	mux.HandleFunc("POST "+yieldPath, func(w http.ResponseWriter, r *http.Request) {
		var y Yield
		if receive(w, r, &y) {
			s.TakeOver(y.Term)
			reply(w, true)
		}
	})
	mux.HandleFunc("POST "+witnessPath, func(w http.ResponseWriter, r *http.Request) {
		var outcome tabulator.Record
		if !receive(w, r, &outcome) {
			return
		}
		if !s.Witness(outcome) {
			http.Error(w, "the control loop has ended", http.StatusServiceUnavailable)
			return
		}
		reply(w, true)
	})
	return mux
}

func store(ctx context.Context, s Storer, r tabulator.Record) storeReply {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.Store(ctx, r)
	if err == nil {
		return storeReply{Written: true}
	}
	return storeReply{Doubt: !errors.Is(err, follower.ErrNotWritten), Reason: err.Error()}
}

func receive(w http.ResponseWriter, r *http.Request, msg any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes))
	if err == nil {
		err = cbor.Unmarshal(data, msg)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, msg any) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// A peer that has gone away counts the message as unanswered.
	_, _ = w.Write(data)
}
