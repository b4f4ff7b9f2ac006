package throttler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/throttler"
)

// path simulates the way to the workers in virtual time, one millisecond a step.
type path struct {
	t     throttler.Throttler[int]
	nowMS int64
	// latencyMS returns the time until an answer. A worker without an answer has a
	// negative one.
	latencyMS func(worker string, inFlight int) int64
	results   map[int64][]result
	answered  map[string]int
	// unanswered counts the orders without an answer.
	unanswered  int
	maxInFlight int
	// sentAtMS holds when each item was sent.
	sentAtMS map[int]int64
}

type result struct {
	id     uint64
	worker string
	ok     bool
}

const orderTimeoutMS = 300

func newPath(latencyMS func(string, int) int64) *path {
	return &path{latencyMS: latencyMS, results: map[int64][]result{}, answered: map[string]int{}, sentAtMS: map[int]int64{}}
}

// step sends what may be sent and delivers the results of the next millisecond.
func (p *path) step() {
	for {
		o, ok := p.t.Next()
		if !ok {
			break
		}
		id := p.t.Sent(p.nowMS, o)
		p.sentAtMS[o.Item] = p.nowMS
		p.maxInFlight = max(p.maxInFlight, p.t.InFlight())
		latency := p.latencyMS(o.Worker, p.t.InFlight())
		r := result{id: id, worker: o.Worker, ok: latency >= 0 && latency <= orderTimeoutMS}
		if !r.ok {
			latency = orderTimeoutMS
		}
		p.results[p.nowMS+max(latency, 1)] = append(p.results[p.nowMS+max(latency, 1)], r)
	}
	p.nowMS++
	for _, r := range p.results[p.nowMS] {
		p.t.Done(p.nowMS, r.id, r.ok)
		if r.ok {
			p.answered[r.worker]++
		} else {
			p.unanswered++
		}
	}
	delete(p.results, p.nowMS)
}

func (p *path) run(ms int) {
	for range ms {
		p.step()
	}
}

// wave queues one order to each of n workers.
func (p *path) wave(n int, kind throttler.Kind) {
	for i := range n {
		p.t.Add(throttler.Order[int]{Worker: fmt.Sprintf("w%d", i), Kind: kind, Item: i, QueuedMS: p.nowMS})
	}
}

// congested is a path on which each order in flight adds to the latency of all.
func congested(perOrderMS float64) func(string, int) int64 {
	return func(_ string, inFlight int) int64 { return 5 + int64(perOrderMS*float64(inFlight)) }
}

// TestWaveOfStarts sends 400 starts at once on a path that carries them only a few at a
// time: sent together, all of them would time out.
func TestWaveOfStarts(t *testing.T) {
	p := newPath(congested(1.5))
	p.wave(400, throttler.KindStart)
	p.run(1500)
	if p.unanswered > 0 || len(p.answered) != 400 {
		t.Errorf("%d of 400 starts answered, %d unanswered; want all answered", len(p.answered), p.unanswered)
	}
}

// TestLimitShrinksOnASlowPath expects that orders which arrive without end on a slow path
// are answered, after at most one in twenty was not.
func TestLimitShrinksOnASlowPath(t *testing.T) {
	p := newPath(congested(8))
	for i := range 5000 {
		p.t.Add(throttler.Order[int]{Worker: fmt.Sprintf("w%d", i%350), Kind: throttler.KindStart, Item: i})
	}
	p.run(10_000)
	total := p.unanswered
	for _, n := range p.answered {
		total += n
	}
	if p.unanswered*20 > total {
		t.Errorf("%d of %d orders were not answered, want at most one in 20", p.unanswered, total)
	}
	if p.t.Limit() > 36 {
		t.Errorf("the limit is %d on a path that answers 36 orders before they time out", p.t.Limit())
	}
}

// TestLimitGrowsOnAFastPath expects that a new holder asks 1,100 workers within half a
// second.
func TestLimitGrowsOnAFastPath(t *testing.T) {
	p := newPath(func(string, int) int64 { return 8 })
	p.wave(1100, throttler.KindQuery)
	p.run(500)
	if len(p.answered) != 1100 {
		t.Errorf("%d of 1100 workers answered within 500 ms", len(p.answered))
	}
}

// TestSilentWorkerBlocksNobody expects that one worker without answers delays the others
// by no more than its own two places.
func TestSilentWorkerBlocksNobody(t *testing.T) {
	p := newPath(func(worker string, _ int) int64 {
		if worker == "w0" {
			return -1
		}
		return 5
	})
	for i := range 50 {
		p.t.Add(throttler.Order[int]{Worker: "w0", Kind: throttler.KindStop, Item: 1000 + i})
	}
	p.wave(100, throttler.KindStart)
	p.run(60)
	if len(p.answered) != 99 {
		t.Errorf("%d of the 99 other workers answered within 60 ms", len(p.answered))
	}
	if p.t.Limit() < 40 {
		t.Errorf("the limit fell to %d because of one worker", p.t.Limit())
	}
}

// TestSilentDomain expects that a sixth of the fleet without answers takes at most a
// quarter of the places once it is known to be silent.
func TestSilentDomain(t *testing.T) {
	p := newPath(func(worker string, _ int) int64 {
		var n int
		if _, err := fmt.Sscanf(worker, "w%d", &n); err == nil && n%6 == 0 {
			return -1
		}
		return 5
	})
	for i := range 1100 {
		if i%6 == 0 {
			p.t.Heard(fmt.Sprintf("w%d", i), false)
		}
	}
	p.wave(1100, throttler.KindStop)
	p.run(400)
	if want := 1100 - 184; len(p.answered) != want {
		t.Errorf("%d of %d live workers answered within 400 ms", len(p.answered), want)
	}
	if p.t.Limit() < 40 {
		t.Errorf("the limit fell to %d because of silent workers", p.t.Limit())
	}
}

// TestStopsAndRenewalsGoFirst queues starts before a renewal and a stop.
func TestStopsAndRenewalsGoFirst(t *testing.T) {
	var th throttler.Throttler[string]
	for _, o := range []throttler.Order[string]{
		{Worker: "w0", Kind: throttler.KindQuery, Item: "query"},
		{Worker: "w1", Kind: throttler.KindStart, Item: "start 1"},
		{Worker: "w2", Kind: throttler.KindStart, Item: "start 2"},
		{Worker: "w3", Kind: throttler.KindRenewal, Item: "renewal"},
		{Worker: "w4", Kind: throttler.KindStop, Item: "stop"},
	} {
		th.Add(o)
	}
	var got []string
	for {
		o, ok := th.Next()
		if !ok {
			break
		}
		th.Sent(0, o)
		got = append(got, o.Item)
	}
	if diff := cmp.Diff([]string{"stop", "renewal", "start 1", "start 2", "query"}, got); diff != "" {
		t.Errorf("order of sending (-want +got):\n%s", diff)
	}
}

// TestClearReturnsWhatWasNotSent expects that orders which were dropped unsent can be told
// from those that await an answer.
func TestClearReturnsWhatWasNotSent(t *testing.T) {
	var th throttler.Throttler[int]
	// One order more than one worker may have in flight.
	for i := range 9 {
		th.Add(throttler.Order[int]{Worker: "w", Kind: throttler.KindStart, Item: i})
	}
	for {
		o, ok := th.Next()
		if !ok {
			break
		}
		th.Sent(0, o)
	}
	dropped := th.Clear()
	if len(dropped) != 1 || dropped[0].Item != 8 || th.InFlight() != 8 {
		t.Errorf("dropped %v with %d in flight, want item 8 and 8 in flight", dropped, th.InFlight())
	}
}

// TestResultOfAnUnknownOrder guards against counting a result twice.
func TestResultOfAnUnknownOrder(t *testing.T) {
	var th throttler.Throttler[int]
	o := throttler.Order[int]{Worker: "w", Kind: throttler.KindStart}
	id := th.Sent(0, o)
	th.Done(5, id, true)
	th.Done(6, id, true)
	th.Done(7, id+1, false)
	if n := th.InFlight(); n != 0 {
		t.Errorf("%d orders in flight, want none", n)
	}
}
