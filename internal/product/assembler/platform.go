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

// Times and bounds of the platform's adapters.
const (
	loadTimeout     = 5 * time.Second
	configPage      = 50
	configPause     = 100 * time.Millisecond
	publishAttempts = 5
	// forgetPeer is how long a peer that left the list is still addressed.
	forgetPeer = 5 * time.Minute
)

// stateLoader finds the newest state: a snapshot on the log, or a peer's fold.
type stateLoader struct{ instance *Instance }

// Load returns nil without an error when there is no snapshot yet.
func (l stateLoader) Load(ctx context.Context, atLeast uint64) (*reducer.State, error) {
	lctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return snapshotter.Load(lctx, l.instance.snapshots, atLeast)
}

// loadState waits for a state to start from, until the context ends.
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

// PublishTicket appends a ticket to the operators' stream. A lost answer is
// followed by another append; the fold takes the repeat for what it is.
func (i *Instance) PublishTicket(ctx context.Context, submissionID string, t specifier.Ticket) (err error) {
	data, err := json.Marshal(publishedTicket{SubmissionID: submissionID, Ticket: t})
	if err != nil {
		return err
	}
	for try := range publishAttempts {
		actx, cancel := context.WithTimeout(ctx, i.settings.Timing.LogTimeout.TimeDuration())
		_, err = i.config.Append(actx, data)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(recorder.Backoff(try))
	}
	return err
}

// relayConfig reads the operators' stream while this instance holds the term.
func (i *Instance) relayConfig(ctx context.Context) {
	for ctx.Err() == nil {
		v := i.View()
		if !v.IsHolder || v.Leaving {
			pause(ctx, configPause)
			continue
		}
		page, err := i.config.Read(ctx, v.ConfigNext, configPage, i.settings.Timing.LogWait.TimeDuration())
		if err != nil {
			pause(ctx, configPause)
			continue
		}
		if page.First > v.ConfigNext {
			i.RaiseAlarm("ConfigGap", fmt.Sprintf("tickets at offsets %d to %d have expired unread", v.ConfigNext, page.First-1))
		}
		i.relayPage(ctx, page)
	}
}

func (i *Instance) relayPage(ctx context.Context, page appender.Page) {
	if len(page.Records) == 0 {
		return
	}
	msg := decider.ConfigReadMsg{}
	for _, r := range page.Records {
		msg.Tickets = append(msg.Tickets, decodeTicket(r))
	}
	i.loop.Send(msg)
	i.awaitRelay(ctx, page.Records[len(page.Records)-1].Offset)
}

// awaitRelay waits until the tickets are folded, or for a while.
func (i *Instance) awaitRelay(ctx context.Context, offset uint64) {
	deadline := time.Now().Add(time.Second)
	for time.Now().Before(deadline) && i.View().ConfigNext <= offset && ctx.Err() == nil {
		pause(ctx, 20*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// decodeTicket reads what the API or an operator published.
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

// watchList follows the platform's list. A list that is down, stale or empty
// takes no peer away at once.
func (i *Instance) watchList(ctx context.Context) {
	known := map[string]knownPeer{}
	listed := false
	for ctx.Err() == nil {
		list, err := i.list.List(ctx)
		if err == nil {
			i.learnPeers(known, list)
			listed = i.followOwnMark(listed, list)
		}
		for _, seed := range i.settings.Peers.Seeds {
			known[seed.Name] = knownPeer{address: seed.Address, seen: time.Now()}
		}
		i.messenger.SetPeers(i.currentPeers(known))
		pause(ctx, i.settings.Timing.ListInterval.TimeDuration())
	}
}

// followOwnMark hands the term over and fails readiness when the platform marks
// this instance as leaving. A mark counts only after the list has shown this
// process as live: an older one is about an earlier process of the same name.
func (i *Instance) followOwnMark(listed bool, list lister.List) bool {
	for _, l := range list.Instances {
		if l.Name != i.name {
			continue
		}
		if l.State == lister.StateLive {
			return true
		}
		if listed && l.State == lister.StateLeaving {
			i.beginLeaving()
		}
	}
	return listed
}

type knownPeer struct {
	address string
	seen    time.Time
}

func (i *Instance) learnPeers(known map[string]knownPeer, list lister.List) {
	for _, l := range list.Instances {
		known[l.Name] = knownPeer{address: l.PeerAddress, seen: time.Now()}
	}
}

// currentPeers keeps a peer as long as it is listed or heard.
func (i *Instance) currentPeers(known map[string]knownPeer) []messenger.Peer {
	var peers []messenger.Peer
	heard := i.View().Peers
	for name, p := range known {
		h, ok := heard[name]
		alive := ok && time.Duration(h.HeardAgoMS)*time.Millisecond < forgetPeer
		if time.Since(p.seen) > forgetPeer && !alive {
			delete(known, name)
			continue
		}
		peers = append(peers, messenger.Peer{Name: name, Address: p.address})
	}
	return peers
}

// peerHandler supplies and takes messages between instances.
type peerHandler struct{ instance *Instance }

// CurrentHeartbeat returns what to tell the peers now.
func (h peerHandler) CurrentHeartbeat() peerencoder.Heartbeat {
	i := h.instance
	v := i.View()
	return peerencoder.Heartbeat{
		Name: i.name, Writer: i.writer, Term: v.Term, Next: v.Next, Epoch: v.Epoch,
		Ready: i.ready.Load() && v.CaughtUp, Leaving: i.leave.Load(), Drained: i.drained.Load(),
		LogAgeMS:  time.Since(i.start).Milliseconds() - v.StateAsOfMS,
		SlotsUsed: i.limiter.InFlight(),
	}
}

// HandleHeartbeat takes a peer's heartbeat.
func (h peerHandler) HandleHeartbeat(b peerencoder.Heartbeat) {
	if h.instance.started.Load() {
		h.instance.loop.Send(decider.HeartbeatMsg{Heartbeat: b})
	}
}

// EncodedState returns the encoded fold.
func (h peerHandler) EncodedState() (data []byte, next uint64, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	ierr := h.instance.Inspect(ctx, func(s *reducer.State, _ decider.ControlStatus) {
		data, err = serializer.Marshal(s)
		next = s.Next
	})
	if ierr != nil {
		return nil, 0, ierr
	}
	return data, next, err
}
