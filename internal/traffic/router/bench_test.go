package router_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/standin/answerer"
	"daisyhead/internal/traffic/limiter"
	"daisyhead/internal/traffic/router"
)

// startMinions starts n minions and returns them with their addresses and a limiter
// that may use all of their slots.
func startMinions(b *testing.B, n, slots int) ([]*answerer.Answerer, []string, *limiter.Limiter) {
	var minions []*answerer.Answerer
	var addresses []string
	var targets []decider.Target
	for i := range n {
		a := answerer.New(answerer.Config{Name: fmt.Sprint("m", i), Slots: slots, Connections: 64})
		server := httptest.NewUnstartedServer(a)
		server.Config.ConnState = a.ConnState
		server.Start()
		b.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		minions, addresses = append(minions, a), append(addresses, address)
		targets = append(targets, decider.Target{Name: fmt.Sprint("m", i), Address: address, Slots: slots, Connections: 64})
	}
	l := limiter.New("a", limiter.Config{MaxViewAge: time.Hour, ClockOrigin: time.Now()})
	l.Update(&decider.View{Revision: 1, Epoch: 1, Members: []string{"a"}, CaughtUp: true, Services: map[string][]decider.Target{"s": targets}})
	return minions, addresses, l
}

// call sends a request and reads the response.
func call(c *http.Client, url string) (status int, err error) {
	resp, err := c.Get(url)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// BenchmarkRoute compares sequential requests through the router with direct
// requests to a minion.
func BenchmarkRoute(b *testing.B) {
	_, addresses, l := startMinions(b, 4, 8)
	pooled, singleUse := router.NewTransports(8)
	r := &router.Router{Limiter: l, Log: discardAccessLog{}, PooledTransport: pooled, SingleUseTransport: singleUse, RetryBudget: router.NewRetryBudget(10)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Serve(w, req, router.Call{RequestID: "id", Workspace: "a", Service: "s", Path: "/"})
	}))
	defer server.Close()
	for _, target := range []struct{ name, url string }{{"direct", "http://" + addresses[0] + "/"}, {"daisyhead", server.URL}} {
		b.Run(target.name, func(b *testing.B) {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			h := hdrhistogram.New(1, 10_000_000, 3)
			b.ReportAllocs()
			for b.Loop() {
				start := time.Now()
				if status, err := call(c, target.url); err != nil || status != http.StatusOK {
					b.Fatal(status, err)
				}
				_ = h.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99us")
		})
	}
}

// BenchmarkRouteOverload offers a load around and above the capacity of the minions:
// 4 minions with 8 slots and requests of 20 ms, that is 1,600 requests per second.
func BenchmarkRouteOverload(b *testing.B) {
	const capacity = 4 * 8 * 50
	for _, load := range []float64{0.8, 1.0, 1.5, 3.0} {
		b.Run(fmt.Sprintf("load=%.1f", load), func(b *testing.B) {
			minions, _, l := startMinions(b, 4, 8)
			pooled, singleUse := router.NewTransports(8)
			r := &router.Router{Limiter: l, Log: discardAccessLog{}, PooledTransport: pooled, SingleUseTransport: singleUse, RetryBudget: router.NewRetryBudget(10)}
			for b.Loop() {
				offerLoad(b, r, int(load*capacity))
			}
			exceeded, slots, connections := 0, 0, 0
			for _, m := range minions {
				counts := m.Counts()
				exceeded += counts.SlotsExceeded + counts.ConnectionsExceeded
				slots, connections = max(slots, counts.SlotsMax), max(connections, counts.ConnectionsMax)
			}
			b.ReportMetric(float64(exceeded), "limitsPassed")
			b.ReportMetric(float64(slots), "slotsMax")
			b.ReportMetric(float64(connections), "connectionsMax")
		})
	}
}

// offerLoad sends perSecond requests per second for two seconds, at a fixed rate
// (open loop) and with a timeout of 200 ms. A quarter of them has the high class.
func offerLoad(b *testing.B, r *router.Router, perSecond int) {
	const seconds = 2
	var mu sync.Mutex
	var pending sync.WaitGroup
	succeeded := 0
	highLatency := hdrhistogram.New(1, 10_000_000, 3)
	start := time.Now()
	for n := range perSecond * seconds {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
		pending.Add(1)
		go func() {
			defer pending.Done()
			sent := time.Now()
			req := httptest.NewRequest(http.MethodGet, "/?work=20ms", nil)
			req.Header.Set(router.HeaderTimeout, "200ms")
			if n%4 == 0 {
				req.Header.Set(router.HeaderClass, "High")
			}
			w := httptest.NewRecorder()
			r.Serve(w, req, router.Call{RequestID: "id", Workspace: "a", Service: "s", Path: "/"})
			mu.Lock()
			defer mu.Unlock()
			if w.Code == http.StatusOK {
				succeeded++
			}
			if w.Code == http.StatusOK && n%4 == 0 {
				_ = highLatency.RecordValue(time.Since(sent).Microseconds())
			}
		}()
	}
	pending.Wait()
	b.ReportMetric(float64(succeeded)/seconds, "goodput/s")
	b.ReportMetric(float64(highLatency.ValueAtQuantile(99))/1000, "highP99ms")
}
