package assembler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/parser"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
	"daisyhead/internal/ledger/snapshotter"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/peer/messenger"
	"daisyhead/internal/platform/appender"
	"daisyhead/internal/platform/lister"
)

// Limits for loading state, relaying tickets and tracking peers.
const (
	stateLoadTimeout = 5 * time.Second
	// configPageRecords is the most records in one read of the configuration stream.
	configPageRecords = 50
	// configPollDelay is the wait after a failed read, and between checks for
	// whether this instance holds the term.
	configPollDelay = 100 * time.Millisecond
	publishAttempts = 5
	// peerExpiry is how long a peer stays known after it was last listed or heard.
	peerExpiry = 5 * time.Minute
)

// stateLoader loads snapshots from the snapshot stream.
type stateLoader struct{ instance *Instance }

// Load returns the newest confirmed snapshot, or the newest one if no confirmed one
// reaches the offset atLeast. It returns nil without an error if there is none yet.
func (l stateLoader) Load(ctx context.Context, atLeast uint64) (*reducer.State, error) {
	loadCtx, cancel := context.WithTimeout(ctx, stateLoadTimeout)
	defer cancel()
	return snapshotter.Load(loadCtx, l.instance.snapshotStream, atLeast)
}

// loadState loads the state to start from: a snapshot, a peer's state while the
// snapshots can't be read, or an empty state if there is no snapshot yet. It
// retries until the context ends and then returns nil.
func (i *Instance) loadState(ctx context.Context) *reducer.State {
	for try := 0; ctx.Err() == nil; try++ {
		state, err := stateLoader{i}.Load(ctx, 0)
		if err == nil && state == nil {
			return reducer.New()
		}
		if err == nil {
			i.logger.Info("State loaded from a snapshot", "Next", state.Next)
			return state
		}
		i.RaiseAlarm("SnapshotUnreachable", err.Error())
		if state := i.loadFromPeer(ctx); state != nil {
			return state
		}
		select {
		case <-ctx.Done():
		case <-time.After(recorder.Backoff(try)):
		}
	}
	return nil
}

// loadFromPeer returns the state of the first peer that answers, or nil.
func (i *Instance) loadFromPeer(ctx context.Context) *reducer.State {
	data, reply, err := i.messenger.FetchState(ctx)
	if err != nil {
		return nil
	}
	state, err := snapshotter.Decode(data, reply.Hash)
	if err != nil {
		i.RaiseAlarm("PeerStateUnusable", err.Error())
		return nil
	}
	i.logger.Info("State loaded from a peer", "Next", state.Next)
	return state
}

// PublishTicket appends a ticket to the configuration stream. If no answer
// arrives, it appends the ticket again; the submission ID lets the reducer
// recognize the duplicate.
func (i *Instance) PublishTicket(ctx context.Context, submissionID string, t specifier.Ticket) (err error) {
	data, err := json.Marshal(publishedTicket{SubmissionID: submissionID, Ticket: t})
	if err != nil {
		return err
	}
	for try := range publishAttempts {
		appendCtx, cancel := context.WithTimeout(ctx, i.settings.Timing.LogTimeout.TimeDuration())
		_, err = i.configStream.Append(appendCtx, data)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(recorder.Backoff(try))
	}
	return err
}

// relayTickets reads tickets from the configuration stream and passes them to the
// control loop while this instance holds the term.
func (i *Instance) relayTickets(ctx context.Context) {
	for ctx.Err() == nil {
		v := i.View()
		if !v.IsHolder || v.Leaving {
			sleep(ctx, configPollDelay)
			continue
		}
		page, err := i.configStream.Read(ctx, v.ConfigNext, configPageRecords, i.settings.Timing.LogWait.TimeDuration())
		if err != nil {
			sleep(ctx, configPollDelay)
			continue
		}
		if page.First > v.ConfigNext {
			i.RaiseAlarm("ConfigGap", fmt.Sprintf("tickets at offsets %d to %d have expired unread", v.ConfigNext, page.First-1))
		}
		i.relayPage(ctx, page)
	}
}

// relayPage passes the tickets of a page to the control loop and waits until they
// have been applied.
func (i *Instance) relayPage(ctx context.Context, page appender.Page) {
	if len(page.Records) == 0 {
		return
	}
	msg := decider.ConfigReadMsg{}
	for _, r := range page.Records {
		msg.Tickets = append(msg.Tickets, decodeTicket(r))
	}
	i.loop.Send(msg)
	i.awaitTicketsApplied(ctx, page.Records[len(page.Records)-1].Offset)
}

// awaitTicketsApplied waits up to a second until the state contains the tickets
// up to the offset.
func (i *Instance) awaitTicketsApplied(ctx context.Context, offset uint64) {
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) && i.View().ConfigNext <= offset && ctx.Err() == nil {
		sleep(ctx, 20*time.Millisecond)
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decodeTicket decodes a ticket that the API or an operator has published. A
// ticket that can't be parsed is returned with its fault.
func decodeTicket(r appender.Record) encoder.TicketReceived {
	received := encoder.TicketReceived{ConfigOffset: r.Offset}
	var published publishedTicket
	if err := json.Unmarshal(r.Data, &published); err == nil && published.SubmissionID != "" {
		received.SubmissionID, received.Ticket = published.SubmissionID, published.Ticket
		return received
	}
	if err := parser.Parse(fmt.Sprintf("config/%d", r.Offset), r.Data, &received.Ticket); err != nil {
		received.Ticket, received.Fault = specifier.Ticket{}, err.Error()
	}
	return received
}

// watchInstanceList polls the platform's list of instances and updates the
// messenger's peers. A list that is unavailable, stale or empty doesn't remove a
// peer before peerExpiry.
func (i *Instance) watchInstanceList(ctx context.Context) {
	known := map[string]knownPeer{}
	seenLive := false
	for ctx.Err() == nil {
		list, err := i.instanceList.List(ctx)
		if err == nil {
			i.addListedPeers(known, list)
			seenLive = i.checkOwnState(seenLive, list)
		}
		for _, seed := range i.settings.Peers.Seeds {
			known[seed.Name] = knownPeer{address: seed.Address, lastListed: time.Now()}
		}
		i.messenger.SetPeers(i.currentPeers(known))
		sleep(ctx, i.settings.Timing.ListInterval.TimeDuration())
	}
}

// checkOwnState makes this instance leave (hand the term over and fail readiness)
// when the platform lists it as leaving. That counts only after the list has
// shown this process as live: an entry from before is about an earlier process of
// the same name. It returns whether the instance has been listed as live.
func (i *Instance) checkOwnState(seenLive bool, list lister.List) bool {
	for _, l := range list.Instances {
		if l.Name != i.name {
			continue
		}
		if l.State == lister.StateLive {
			return true
		}
		if seenLive && l.State == lister.StateLeaving {
			i.beginLeaving()
		}
	}
	return seenLive
}

// knownPeer is a peer's address and when a list or the settings last named it.
type knownPeer struct {
	address    string
	lastListed time.Time
}

// addListedPeers adds the instances of the list to the known peers.
func (i *Instance) addListedPeers(known map[string]knownPeer, list lister.List) {
	for _, l := range list.Instances {
		known[l.Name] = knownPeer{address: l.PeerAddress, lastListed: time.Now()}
	}
}

// currentPeers returns the known peers and removes those that were neither listed
// nor heard within peerExpiry.
func (i *Instance) currentPeers(known map[string]knownPeer) []messenger.Peer {
	var peers []messenger.Peer
	heard := i.View().Peers
	for name, p := range known {
		h, ok := heard[name]
		alive := ok && time.Duration(h.HeardAgoMS)*time.Millisecond < peerExpiry
		if time.Since(p.lastListed) > peerExpiry && !alive {
			delete(known, name)
			continue
		}
		peers = append(peers, messenger.Peer{Name: name, Address: p.address})
	}
	return peers
}

// peerHandler produces and receives the messages between instances.
type peerHandler struct{ instance *Instance }

// CurrentHeartbeat returns the heartbeat to send to the peers.
func (h peerHandler) CurrentHeartbeat() peerencoder.Heartbeat {
	i := h.instance
	v := i.View()
	return peerencoder.Heartbeat{
		Name: i.name, Writer: i.writer, Term: v.Term, Next: v.Next, Epoch: v.Epoch,
		Ready: i.ready.Load() && v.CaughtUp, Leaving: i.leaving.Load(), Drained: i.drained.Load(),
		LogAgeMS:  time.Since(i.start).Milliseconds() - v.StateAsOfMS,
		SlotsUsed: i.limiter.InFlight(),
	}
}

// HandleHeartbeat passes a peer's heartbeat to the control loop.
func (h peerHandler) HandleHeartbeat(b peerencoder.Heartbeat) {
	if h.instance.started.Load() {
		h.instance.loop.Send(decider.HeartbeatMsg{Heartbeat: b})
	}
}

// EncodedState returns the encoded control state and the offset of the next record to
// apply to it.
func (h peerHandler) EncodedState() (data []byte, next uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), stateLoadTimeout)
	defer cancel()
	inspectErr := h.instance.Inspect(ctx, func(s *reducer.State, _ decider.ControlStatus) {
		data, err = serializer.Marshal(s)
		next = s.Next
	})
	if inspectErr != nil {
		return nil, 0, inspectErr
	}
	return data, next, err
}
