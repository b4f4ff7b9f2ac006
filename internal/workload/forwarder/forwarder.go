// Package forwarder sends messages to other instances: callers' calls that another instance
// can answer better, records for the holder to write, outcomes to remember and requests to
// take over the term. Each message is one HTTP request with a CBOR body.
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
	"daisyhead/internal/workload/reducer"
)

// callsPath is the path for forwarded calls.
const callsPath = "/v1/calls"

// yieldPath is the path for requests to take over the term.
const yieldPath = "/v1/yields"

// outcomesPath is the path for outcomes to write in the holder's place.
const outcomesPath = "/v1/outcomes"

// recordsPath is the path for callers' records that the holder is asked to write.
const recordsPath = "/v1/records"

// processPath is the path that tells which process answers.
const processPath = "/v1/process"

const (
	// peerTimeout limits the wait for one peer, so that there is time left to try another one.
	peerTimeout = 1200 * time.Millisecond
	// storeTimeout limits how long the holder works on a record. The sender gives up earlier.
	storeTimeout = 3 * time.Second
	// maxMessageBytes limits the size of a message and of its reply.
	maxMessageBytes = 2 << 20
)

// decoding decodes messages and replies. Each element of a list, which has one byte at least, may
// take 300 bytes of memory. The longest lists are those of relayed outcomes.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 16384, MaxMapPairs: 1024, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err) // can't happen: the options are valid
	}
	return mode
}()

// Forwarder sends messages to peers.
type Forwarder struct {
	client *http.Client

	mu    sync.Mutex
	peers []string
	// unreachableUntil maps peers that could not be reached to the time until which they are
	// skipped.
	unreachableUntil map[string]time.Time
}

// New returns a forwarder without peers; see SetPeers.
func New(c *http.Client) *Forwarder { return &Forwarder{client: c} }

// SetPeers replaces the addresses of the peers.
func (f *Forwarder) SetPeers(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = addresses
}

// unreachablePause is how long a peer that could not be reached is skipped. A restart takes
// about as long.
const unreachablePause = 2 * time.Second

// pickPeers returns up to count peers in random order, so that a caller's retries reach
// different ones. Peers that could not be reached recently are left out.
func (f *Forwarder) pickPeers(count int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	picked := make([]string, 0, count)
	now := time.Now()
	for _, i := range rand.Perm(len(f.peers)) {
		if p := f.peers[i]; len(picked) < count && !now.Before(f.unreachableUntil[p]) {
			picked = append(picked, p)
		}
	}
	return picked
}

// recordReachability records whether a peer could be reached.
func (f *Forwarder) recordReachability(address string, reached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reached {
		delete(f.unreachableUntil, address)
		return
	}
	if f.unreachableUntil == nil {
		f.unreachableUntil = map[string]time.Time{}
	}
	f.unreachableUntil[address] = time.Now().Add(unreachablePause)
}

// Forward sends a call to up to tries peers in random order, until one has answered it. Peers
// that answer NotRun are skipped, unless the holder has refused the job. If a peer may have received a submission or a cancellation
// but did not answer, the result is OutcomeUnknown.
func (f *Forwarder) Forward(ctx context.Context, c acceptor.Call, tries int) (a acceptor.Answer, ok bool) {
	c.Forwarded = true
	for _, address := range f.pickPeers(tries) {
		answer, sent, err := f.forwardTo(ctx, address, c)
		switch {
		case err == nil && (answer.Verdict != acceptor.NotRun || answer.Overloaded):
			return answer, true
		case err != nil && sent && c.Kind != acceptor.KindState:
			return acceptor.Answer{Verdict: acceptor.OutcomeUnknown, Reason: "a peer has not answered"}, true
		case ctx.Err() != nil:
			return a, false
		}
	}
	return a, false
}

// askTimeout limits the wait for the holder's answer about a job, which is short because the
// sender can fall back on an older answer of its own. It also limits the wait for an instance
// that takes relayed outcomes.
const askTimeout = 250 * time.Millisecond

// Ask sends a call to the instance at an address.
func (f *Forwarder) Ask(ctx context.Context, address string, c acceptor.Call) (a acceptor.Answer, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	c.Forwarded = true
	_, err := f.post(ctx, address, callsPath, c, &a)
	return a, err == nil
}

// forwardTo sends a call to one peer. sent reports whether the peer may have received it.
func (f *Forwarder) forwardTo(ctx context.Context, address string, c acceptor.Call) (a acceptor.Answer, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent, err = f.post(ctx, address, callsPath, c, &a)
	return a, sent, err
}

// storeReply is the result of a request to write a record.
type storeReply struct {
	Written bool
	// Doubt is set if the record may have been written although Written is false.
	Doubt bool `cbor:",omitempty"`
	// Refused is set if nothing was written because the holder can't append.
	Refused bool   `cbor:",omitempty"`
	Reason  string `cbor:",omitempty"`
	// RetryAfterMS is set if the holder has refused the record for lack of capacity.
	RetryAfterMS int64 `cbor:",omitempty"`
}

// Store asks the instance at an address to write a record. After an error other than
// follower.ErrNotWritten it is unknown whether the record was written. The error is an
// acceptor.Refusal if the holder has refused the record for lack of capacity.
func (f *Forwarder) Store(ctx context.Context, address string, r reducer.Record) error {
	var reply storeReply
	sent, err := f.post(ctx, address, recordsPath, r, &reply)
	switch {
	case err != nil && !sent:
		return errors.Wrapf(follower.ErrNotWritten, "peer %s: %v", address, err)
	case err != nil:
		return errors.Wrapf(err, "peer %s", address)
	case reply.Written:
		return nil
	case reply.RetryAfterMS > 0:
		return &acceptor.Refusal{Reason: reply.Reason, RetryAfterMS: reply.RetryAfterMS}
	case reply.Doubt:
		return errors.Newf("peer %s: %s", address, reply.Reason)
	case reply.Refused:
		return errors.Wrapf(follower.ErrHolderCannotAppend, "peer %s", address)
	}
	return errors.Wrapf(follower.ErrNotWritten, "peer %s: %s", address, reply.Reason)
}

// post sends one message and decodes the reply. sent reports whether the peer may have
// received the message and acted on it.
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
	f.recordReachability(address, err == nil)
	if err != nil {
		return connected.Load(), err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err != nil {
		return true, err
	}
	if resp.StatusCode != http.StatusOK {
		return !refusedUnread(resp.StatusCode), errors.Newf("status %d", resp.StatusCode)
	}
	return true, decoding.Unmarshal(body, reply)
}

// refusedUnread reports whether a peer responds with a status only if it has done nothing with
// the message: it has no room for it, the message is too large, or the peer is shutting down.
func refusedUnread(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusRequestEntityTooLarge
}

// YieldRequest is the body of a request to take over the term.
type YieldRequest struct{ Term uint64 }

// Yield asks the instance at an address to claim the term that follows the given one.
func (f *Forwarder) Yield(ctx context.Context, address string, term uint64) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var taken bool
	_, err := f.post(ctx, address, yieldPath, YieldRequest{Term: term}, &taken)
	return errors.Wrapf(err, "peer %s", address)
}

// RelayOutcomes asks the instance at an address to write outcomes to the ledger. It returns once
// the instance has taken them, not once they are written.
func (f *Forwarder) RelayOutcomes(ctx context.Context, address string, outcomes []reducer.Record) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var taken bool
	_, err := f.post(ctx, address, outcomesPath, outcomes, &taken)
	return errors.Wrapf(err, "peer %s", address)
}

// Process returns the name of the process that answers at an address.
func (f *Forwarder) Process(ctx context.Context, address string) (name string, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err = f.post(ctx, address, processPath, struct{}{}, &name)
	return name, errors.Wrapf(err, "peer %s", address)
}

// Answerer answers calls.
type Answerer interface {
	Answer(ctx context.Context, c acceptor.Call) acceptor.Answer
}

// Storer handles the messages for the control loop.
type Storer interface {
	// Store writes a record if this instance is the holder. It returns follower.ErrNotWritten
	// if the record was not written and will not be.
	Store(ctx context.Context, r reducer.Record) error
	// TakeOver claims the term that follows the given one.
	TakeOver(term uint64)
	// Process returns the name of this process.
	Process() string
	// WriteOutcomes writes those of the outcomes that the ledger lacks. taken is false if the
	// instance can no longer do so.
	WriteOutcomes(outcomes []reducer.Record) (taken bool)
}

// Handler returns the HTTP handler for messages from peers.
func Handler(a Answerer, s Storer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+callsPath, func(w http.ResponseWriter, r *http.Request) {
		var c acceptor.Call
		if decodeRequest(w, r, &c) {
			c.Forwarded = true
			writeReply(w, a.Answer(r.Context(), c))
		}
	})
	mux.HandleFunc("POST "+recordsPath, func(w http.ResponseWriter, r *http.Request) {
		var record reducer.Record
		if decodeRequest(w, r, &record) {
			writeReply(w, store(r.Context(), s, record))
		}
	})
	mux.HandleFunc("POST "+yieldPath, func(w http.ResponseWriter, r *http.Request) {
		var y YieldRequest
		if decodeRequest(w, r, &y) {
			s.TakeOver(y.Term)
			writeReply(w, true)
		}
	})
	mux.HandleFunc("POST "+processPath, func(w http.ResponseWriter, r *http.Request) { writeReply(w, s.Process()) })
	mux.HandleFunc("POST "+outcomesPath, func(w http.ResponseWriter, r *http.Request) {
		var outcomes []reducer.Record
		if !decodeRequest(w, r, &outcomes) {
			return
		}
		if !s.WriteOutcomes(outcomes) {
			http.Error(w, "the control loop has stopped", http.StatusServiceUnavailable)
			return
		}
		writeReply(w, true)
	})
	return mux
}

// store has a record written and converts the result to a reply.
func store(ctx context.Context, s Storer, r reducer.Record) storeReply {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.Store(ctx, r)
	if err == nil {
		return storeReply{Written: true}
	}
	var refused *acceptor.Refusal
	if errors.As(err, &refused) {
		return storeReply{Reason: refused.Reason, RetryAfterMS: refused.RetryAfterMS}
	}
	return storeReply{Doubt: !errors.Is(err, follower.ErrNotWritten), Refused: errors.Is(err, follower.ErrHolderCannotAppend), Reason: err.Error()}
}

// decodeRequest decodes the body of a request into msg. If that fails, it responds with an error
// and returns false.
func decodeRequest(w http.ResponseWriter, r *http.Request, msg any) bool {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxMessageBytes))
	if err == nil {
		err = decoding.Unmarshal(data, msg)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeReply(w http.ResponseWriter, msg any) {
	data, err := cbor.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// The error is ignored: a peer that has disconnected treats the message as unanswered.
	_, _ = w.Write(data)
}
