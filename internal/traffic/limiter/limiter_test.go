package limiter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/control/decider"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/traffic/limiter"
)

func target(slots int) decider.Target {
	return decider.Target{Name: "m", Address: "10.0.0.1:1", Domain: "d", Slots: slots, Connections: 64}
}

// freshView returns a current view with one minion and the given members, all of
// which have reported the epoch.
func freshView(start time.Time, revision, epoch uint64, members ...string) *decider.View {
	v := &decider.View{
		Revision: revision, Epoch: epoch, Members: members, CaughtUp: true, StateAsOfMS: time.Since(start).Milliseconds(),
		Services: map[string][]decider.Target{"s": {target(8)}}, Peers: map[string]decider.PeerView{},
	}
	for _, name := range members {
		v.Peers[name] = decider.PeerView{Heartbeat: peerencoder.Heartbeat{Name: name, Epoch: epoch}}
	}
	return v
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	for slots := 1; slots <= 16; slots++ {
		for n := 1; n <= 12; n++ {
			var members []string
			for i := range n {
				members = append(members, fmt.Sprintf("entry-%d", i))
			}
			sum := 0
			for _, name := range members {
				sum += limiter.Share(target(slots), members, name)
			}
			if sum != slots {
				t.Errorf("%d slots, %d members: shares add up to %d", slots, n, sum)
			}
		}
	}
}

// acquireAll acquires slots until none is free.
func acquireAll(l *limiter.Limiter) (leases []*limiter.Lease) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		lease, err := l.Acquire(ctx, limiter.Request{Service: "s"})
		cancel()
		if err != nil {
			return leases
		}
		leases = append(leases, lease)
	}
}

// TestLimitHoldsWhileMembersChange guards against exceeding the slots of a minion
// when an instance joins while another one uses all of them.
func TestLimitHoldsWhileMembersChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		cfg := limiter.Config{MaxViewAge: 2 * time.Second, EpochSettleTimeout: 3 * time.Second, ClockOrigin: start, Domain: "d"}
		a, b := limiter.New("a", cfg), limiter.New("b", cfg)
		a.Update(freshView(start, 1, 1, "a"))
		held := acquireAll(a)
		if len(held) != 8 {
			t.Fatalf("as the only member, a got %d slots, want 8", len(held))
		}
		joined := freshView(start, 2, 2, "a", "b")
		joined.Peers["a"] = decider.PeerView{Heartbeat: peerencoder.Heartbeat{Name: "a", Epoch: 2, SlotsUsed: a.InFlight()}}
		b.Update(joined)
		if got := acquireAll(b); len(got) != 0 {
			t.Errorf("b got %d slots while a used all of them", len(got))
		}
		a.Update(freshView(start, 2, 2, "a", "b"))
		for _, lease := range held[:4] {
			lease.Release(limiter.Success)
		}
		if got := acquireAll(a); len(got) != 0 {
			t.Errorf("a got %d slots beyond its share of 4", len(got))
		}
		joined = freshView(start, 3, 2, "a", "b")
		joined.Peers["a"] = decider.PeerView{Heartbeat: peerencoder.Heartbeat{Name: "a", Epoch: 2, SlotsUsed: a.InFlight()}}
		b.Update(joined)
		if got := acquireAll(b); len(got) != 4 {
			t.Errorf("b got %d slots, want its share of 4", len(got))
		}
	})
}

func TestAcquireRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		cfg := limiter.Config{MaxViewAge: 2 * time.Second, EpochSettleTimeout: 3 * time.Second, ClockOrigin: start}
		tests := []struct {
			name    string
			view    func() *decider.View
			service string
			exclude []string
			want    error
		}{
			{"unknown service", func() *decider.View { return freshView(start, 1, 1, "a") }, "other", nil, limiter.ErrNoService},
			{"every minion already tried", func() *decider.View { return freshView(start, 1, 1, "a") }, "s", []string{"10.0.0.1:1"}, limiter.ErrNoMinion},
			{"stale view", func() *decider.View {
				v := freshView(start, 1, 1, "a")
				v.StateAsOfMS -= 3000
				return v
			}, "s", nil, limiter.ErrStaleView},
			{"not a member", func() *decider.View { return freshView(start, 1, 1, "b") }, "s", nil, limiter.ErrNoSlotInTime},
		}
		for _, test := range tests {
			l := limiter.New("a", cfg)
			l.Update(test.view())
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := l.Acquire(ctx, limiter.Request{Service: test.service, Exclude: test.exclude})
			cancel()
			if !errors.Is(err, test.want) {
				t.Errorf("%s: %v, want %v", test.name, err, test.want)
			}
		}
	})
}

// TestHighClassGoesFirst checks that a request of the high class gets the next
// slot before one of the low class that was queued earlier.
func TestHighClassGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		l := limiter.New("a", limiter.Config{MaxViewAge: time.Hour, ClockOrigin: start})
		l.Update(freshView(start, 1, 1, "a"))
		held := acquireAll(l)
		order := make(chan limiter.Class, 2)
		for _, class := range []limiter.Class{limiter.ClassLow, limiter.ClassHigh} {
			go func() {
				lease, err := l.Acquire(t.Context(), limiter.Request{Service: "s", Class: class})
				if err == nil {
					order <- class
					lease.Release(limiter.Success)
				}
			}()
			synctest.Wait()
		}
		held[0].Release(limiter.Success)
		if first := <-order; first != limiter.ClassHigh {
			t.Errorf("class %d got the slot first, want ClassHigh", first)
		}
		<-order
	})
}

// TestDeadInstanceFreesItsSlots checks that the slots of a former member with
// requests in flight stay reserved until formerMemberTimeout after its last
// heartbeat, and are then available to the others.
func TestDeadInstanceFreesItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		for _, test := range []struct {
			sinceHeard time.Duration
			want       int
		}{{10 * time.Second, 5}, {3 * time.Minute, 8}} {
			l := limiter.New("a", limiter.Config{MaxViewAge: 2 * time.Second, EpochSettleTimeout: 3 * time.Second, ClockOrigin: start})
			v := freshView(start, 1, 2, "a")
			v.StateAsOfMS = time.Since(start).Milliseconds()
			v.Peers["dead"] = decider.PeerView{
				Heartbeat:  peerencoder.Heartbeat{Name: "dead", Epoch: 1, SlotsUsed: map[string]int{"10.0.0.1:1": 3}},
				HeardAgoMS: test.sinceHeard.Milliseconds(),
			}
			l.Update(v)
			if got := len(acquireAll(l)); got != test.want {
				t.Errorf("last heard %s ago: %d slots, want %d", test.sinceHeard, got, test.want)
			}
		}
	})
}
