//go:build e2e

// The tests of this file start real processes: three instances and the
// stand-ins, built anew. Run them with
//
//	go test -tags e2e ./internal/product/assembler
package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"daisyhead/internal/entry/caller"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/lister"
	"daisyhead/internal/product/configurer"
	"daisyhead/internal/product/keymaker"
	"daisyhead/internal/standin/logkeeper"
	"daisyhead/internal/standin/observer"
)

// site is a running log, list, workers and instances.
type site struct {
	t         *testing.T
	dir       string
	logAddr   string
	workers   []string
	processes map[string]*exec.Cmd
	api       []string
	list      string
	peers     []lister.Instance
	client    *caller.Client
}

const workerCount = 6

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newSite builds the programs and starts everything. Records are kept for the
// retention.
func newSite(t *testing.T, retention time.Duration) *site {
	s := &site{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}}
	build := exec.Command("go", "build", "-o", s.dir, "daisyhead/cmd/daisyhead", "daisyhead/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s.logAddr = freePort(t)
	s.run("log", "standin", "log", "--listen", s.logAddr, "--retention", retention.String())
	for n := range workerCount {
		address := freePort(t)
		s.workers = append(s.workers, address)
		s.run(fmt.Sprint("worker", n), "standin", "worker", "--listen", address, "--name", fmt.Sprint("w", n))
	}
	s.startInstances()
	var err error
	if s.client, err = caller.New(caller.Config{Servers: s.api}); err != nil {
		t.Fatal(err)
	}
	s.apply()
	return s
}

func (s *site) run(name, program string, args ...string) {
	c := exec.Command(filepath.Join(s.dir, program), args...)
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		s.t.Fatal(err)
	}
	c.Stderr = log
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.processes[name] = c
	s.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
	})
}

func (s *site) startInstances() {
	list, peers := freePort(s.t), []lister.Instance{}
	s.list = list
	authority, err := keymaker.NewAuthority("e2e")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := authority.Write(s.dir, "authority"); err != nil {
		s.t.Fatal(err)
	}
	args := []string{"members", "--listen", list}
	for n := 1; n <= 3; n++ {
		peers = append(peers, lister.Instance{Name: fmt.Sprint("entry-", n), PeerAddress: freePort(s.t), State: lister.StateLive})
		args = append(args, "--instance", peers[n-1].Name+"="+peers[n-1].PeerAddress)
	}
	s.run("members", "standin", args...)
	s.peers = peers
	for _, p := range peers {
		s.configure(p, list, authority)
		s.serve(p.Name)
	}
}

func (s *site) configure(p lister.Instance, list string, authority *keymaker.Authority) {
	pair, err := authority.Certificate(p.Name, []string{"127.0.0.1"})
	if err != nil {
		s.t.Fatal(err)
	}
	if err := pair.Write(s.dir, p.Name); err != nil {
		s.t.Fatal(err)
	}
	c := configurer.Default()
	c.Instance = configurer.Instance{Name: p.Name, Domain: "d"}
	c.Listeners.API.Address, c.Listeners.Admin.Address, c.Listeners.Peer.Address = freePort(s.t), freePort(s.t), p.PeerAddress
	c.Platform.LogAddresses, c.Platform.InstanceAddresses = []string{s.logAddr}, []string{list}
	c.Peers.CertificateFile, c.Peers.KeyFile = filepath.Join(s.dir, p.Name+".crt"), filepath.Join(s.dir, p.Name+".key")
	c.Peers.AuthorityFile, c.AllowAnonymous = filepath.Join(s.dir, "authority.crt"), true
	short := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	c.Timing.Lease, c.Timing.Renew, c.Timing.LostAfter = short(5*time.Second), short(time.Second), short(12*time.Second)
	c.Timing.SnapshotInterval, c.Peers.Heartbeat, c.Timing.HolderTimeout = short(3*time.Second), short(300*time.Millisecond), short(1500*time.Millisecond)
	data, err := configurer.Encode(c)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, p.Name+".yaml"), data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.api = append(s.api, c.Listeners.API.Address)
}

func (s *site) serve(name string) {
	s.run(name, "daisyhead", "serve", "--config", filepath.Join(s.dir, name+".yaml"))
}

func (s *site) apply() {
	g := specifier.WorkerGroup{Name: "r1", Domain: "d", Rack: "r1"}
	for n, address := range s.workers {
		g.Workers = append(g.Workers, specifier.Worker{Name: fmt.Sprint("w", n), Address: address, Processors: 64, MemoryMB: 131072, Accelerators: 8})
	}
	ticket := specifier.Ticket{
		Number: 1, Operator: "op", Domains: []specifier.Domain{{Name: "d", Region: "r", State: specifier.DomainIn}},
		WorkerGroups: []specifier.WorkerGroup{g}, Workspaces: []specifier.Workspace{{Name: "a"}},
	}
	s.await("the ticket is accepted", 20*time.Second, func() bool {
		v, err := s.client.ApplyTicket(context.Background(), ticket, false)
		return err == nil && v.Accepted
	})
}

func (s *site) await(what string, limit time.Duration, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("not within %v: %s", limit, what)
}

func (s *site) submit(name, payload string, once bool) string {
	s.t.Helper()
	var job presenter.Job
	s.await("the job is submitted", 20*time.Second, func() (ok bool) {
		var err error
		job, err = s.client.SubmitJob(context.Background(), specifier.Job{
			Key: name, Name: name, Workspace: "a", Tasks: 2, Accelerators: 4, Within: specifier.WithinRack, Payload: payload, NonIdempotent: once,
		})
		return err == nil
	})
	return job.ID
}

func (s *site) status(id string) reducer.JobStatus {
	job, _ := s.client.Job(context.Background(), id)
	return job.Status
}

// holder returns the instance that holds the term as a live one tells.
func (s *site) holder(except string) (name string) {
	list, _ := s.client.Instances(context.Background())
	for _, i := range list {
		if i.Holder && i.Name != except && i.HeardAgoMS < 2000 {
			return i.Name
		}
	}
	return ""
}

// judge asks the workers what they saw.
func (s *site) judge() {
	s.t.Helper()
	var events []observer.Event
	for _, address := range s.workers {
		resp, err := http.Get("http://" + address + "/v1/observed")
		if err != nil {
			s.t.Fatal(err)
		}
		var list []observer.Event
		if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
			s.t.Fatal(err)
		}
		_ = resp.Body.Close()
		events = append(events, list...)
	}
	slices.SortStableFunc(events, func(a, b observer.Event) int { return a.At.Compare(b.At) })
	r := observer.CheckInvariants(events, observer.Rules{PartialBound: 6 * time.Second})
	if r.RanTwice+r.PartialGangs > 0 {
		s.t.Errorf("broken promises: %+v", r)
	}
}

func (s *site) setLog(f logkeeper.Faults) { s.post("http://"+s.logAddr+"/admin/faults", f) }

func (s *site) post(url string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestProcesses kills, pauses and cuts off real processes while jobs run.
func TestProcesses(t *testing.T) {
	tests := []struct {
		name      string
		retention time.Duration
		fault     func(s *site)
	}{
		{"kill -9 of the holder", time.Hour, func(s *site) {
			h := s.holder("")
			_ = s.processes[h].Process.Kill()
			s.await("another holder", 20*time.Second, func() bool { return s.holder(h) != "" })
			s.serve(h)
		}},
		{"SIGSTOP of the holder for longer than every lease", time.Hour, func(s *site) {
			h := s.holder("")
			_ = s.processes[h].Process.Signal(syscall.SIGSTOP)
			time.Sleep(15 * time.Second)
			_ = s.processes[h].Process.Signal(syscall.SIGCONT)
		}},
		{"the platform marks the holder as leaving", time.Hour, func(s *site) {
			h := s.holder("")
			marked := slices.Clone(s.peers)
			for n := range marked {
				if marked[n].Name == h {
					marked[n].State = lister.StateLeaving
				}
			}
			time.Sleep(3 * time.Second)
			s.post("http://"+s.list+"/admin/instances", marked)
			s.await("another holder", 20*time.Second, func() bool { return s.holder(h) != "" })
		}},
		{"the log down for longer than every lease", time.Hour, func(s *site) {
			s.setLog(logkeeper.Faults{Down: true})
			time.Sleep(15 * time.Second)
			s.setLog(logkeeper.Faults{})
		}},
		{"retention shorter than what an instance missed", 8 * time.Second, func(s *site) {
			h := s.holder("")
			_ = s.processes[h].Process.Kill()
			time.Sleep(12 * time.Second)
			s.serve(h)
			s.await("the instance knows the ticket", 20*time.Second, func() bool {
				c, err := caller.New(caller.Config{Servers: []string{s.api[strings.Index("123", h[len(h)-1:])]}})
				if err != nil {
					return false
				}
				_, err = c.Ticket(context.Background(), 1)
				return err == nil
			})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.retention)
			long := s.submit("long", "run=35s", true)
			again := s.submit("again", "run=20s", false)
			s.await("the gang runs", 20*time.Second, func() bool { return s.status(long) == reducer.JobRunning })
			test.fault(s)
			late := s.submit("late", "run=2s", true)
			for _, id := range []string{long, again, late} {
				s.await("job "+id+" has ended", 90*time.Second, func() bool { return s.status(id).Terminal() })
				job, err := s.client.Job(context.Background(), id)
				if err != nil || job.Status != reducer.JobFinished || job.Outcome != encoder.OutcomeRan {
					t.Errorf("job %s: %s, %s, %v", job.Name, job.Status, job.Outcome, err)
				}
				for _, api := range s.api {
					c, err := caller.New(caller.Config{Servers: []string{api}})
					if err != nil {
						t.Fatal(err)
					}
					if story, err := c.ExplainJob(context.Background(), id); err == nil && story.Status != reducer.JobFinished {
						t.Errorf("%s tells that %s is %s", api, job.Name, story.Status)
					}
				}
			}
			s.judge()
		})
	}
}
