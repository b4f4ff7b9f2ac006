//go:build e2e

// The tests in this file build the programs and run them as separate processes:
// three instances, and stand-ins for the platform and the workers. Run them with
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

// testSystem runs the stand-ins for the log, the instance list and the workers,
// and the instances, each as a process.
type testSystem struct {
	t           *testing.T
	dir         string
	logAddr     string
	workerAddrs []string
	processes   map[string]*exec.Cmd
	// apiAddrs holds the API addresses of the instances, in the order of their names.
	apiAddrs []string
	// adjust changes the settings of each instance, if it is set.
	adjust    func(*configurer.Settings)
	listAddr  string
	instances []lister.Instance
	client    *caller.Client
}

const workerCount = 6

// freePort returns a loopback address whose TCP port is free.
func freePort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newTestSystem builds the programs, starts all processes and applies a ticket with
// the workers and a workspace. The log keeps records for the retention. adjust, which
// may be nil, changes the settings of each instance.
func newTestSystem(t *testing.T, retention time.Duration, adjust func(*configurer.Settings)) *testSystem {
	s := &testSystem{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, adjust: adjust}
	build := exec.Command("go", "build", "-o", s.dir, "daisyhead/cmd/daisyhead", "daisyhead/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	s.logAddr = freePort(t)
	s.startProcess("log", "standin", "log", "--listen", s.logAddr, "--retention", retention.String())
	for n := range workerCount {
		address := freePort(t)
		s.workerAddrs = append(s.workerAddrs, address)
		s.startProcess(fmt.Sprint("worker", n), "standin", "worker", "--listen", address, "--name", fmt.Sprint("w", n))
	}
	s.startInstances()
	var err error
	if s.client, err = caller.New(caller.Config{Servers: s.apiAddrs}); err != nil {
		t.Fatal(err)
	}
	s.applyTicket()
	return s
}

// startProcess runs a built program until the end of the test. name identifies it
// in s.processes and names its log file.
func (s *testSystem) startProcess(name, program string, args ...string) {
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

// startInstances starts the stand-in for the instance list and three instances.
func (s *testSystem) startInstances() {
	list, peers := freePort(s.t), []lister.Instance{}
	s.listAddr = list
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
	s.startProcess("members", "standin", args...)
	s.instances = peers
	for _, p := range peers {
		s.writeSettings(p, list, authority)
		s.startInstance(p.Name)
	}
}

// writeSettings writes the instance's certificate and its settings, with timeouts
// that are short enough for a test.
func (s *testSystem) writeSettings(p lister.Instance, list string, authority *keymaker.Authority) {
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
	duration := func(d time.Duration) specifier.Duration { return specifier.Duration(d) }
	c.Timing.Lease, c.Timing.Renew, c.Timing.LostAfter = duration(5*time.Second), duration(time.Second), duration(12*time.Second)
	c.Timing.SnapshotInterval, c.Peers.Heartbeat, c.Timing.HolderTimeout = duration(3*time.Second), duration(300*time.Millisecond), duration(1500*time.Millisecond)
	if s.adjust != nil {
		s.adjust(&c)
	}
	data, err := configurer.Encode(c)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(s.dir, p.Name+".yaml"), data, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.apiAddrs = append(s.apiAddrs, c.Listeners.API.Address)
}

func (s *testSystem) startInstance(name string) {
	s.startProcess(name, "daisyhead", "serve", "--config", filepath.Join(s.dir, name+".yaml"))
}

// applyTicket applies a ticket that adds the workers and the workspace "a".
func (s *testSystem) applyTicket() {
	g := specifier.WorkerGroup{Name: "r1", Domain: "d", Rack: "r1"}
	for n, address := range s.workerAddrs {
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

// await polls ok and fails the test if it isn't true within the limit.
func (s *testSystem) await(what string, limit time.Duration, ok func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if ok() {
			return
		}
	}
	s.t.Fatalf("condition not met within %v: %s", limit, what)
}

// submit submits a gang of two tasks and returns the job's ID.
func (s *testSystem) submit(name, payload string, nonIdempotent bool) string {
	s.t.Helper()
	var job presenter.Job
	s.await("the job is submitted", 20*time.Second, func() (ok bool) {
		var err error
		job, err = s.client.SubmitJob(context.Background(), specifier.Job{
			Key: name, Name: name, Workspace: "a", Tasks: 2, Accelerators: 4, Within: specifier.WithinRack, Payload: payload, NonIdempotent: nonIdempotent,
		})
		return err == nil
	})
	return job.ID
}

func (s *testSystem) jobStatus(id string) reducer.JobStatus {
	job, _ := s.client.Job(context.Background(), id)
	return job.Status
}

// holder returns the instance that holds the term according to an instance that
// answers, or "" if there is none. It ignores the instance except.
func (s *testSystem) holder(except string) (name string) {
	list, _ := s.client.Instances(context.Background())
	for _, i := range list {
		if i.Holder && i.Name != except && i.HeardAgoMS < 2000 {
			return i.Name
		}
	}
	return ""
}

// checkWorkerEvents fails the test if the workers' records show a job that ran
// twice although it must not, or a gang that ran incomplete for too long.
func (s *testSystem) checkWorkerEvents() {
	s.t.Helper()
	var events []observer.Event
	for _, address := range s.workerAddrs {
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
		s.t.Errorf("workers saw duplicate runs or partial gangs: %+v", r)
	}
}

func (s *testSystem) setLogFaults(f logkeeper.Faults) {
	s.postJSON("http://"+s.logAddr+"/admin/faults", f)
}

func (s *testSystem) postJSON(url string, body any) {
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

// TestProcessFaults kills, pauses and isolates processes while jobs run. Each job
// must finish, all instances must report the same status, and no worker may have
// seen a duplicate run or a partial gang.
func TestProcessFaults(t *testing.T) {
	tests := []struct {
		name      string
		retention time.Duration
		fault     func(s *testSystem)
	}{
		{"kill -9 of the holder", time.Hour, func(s *testSystem) {
			h := s.holder("")
			_ = s.processes[h].Process.Kill()
			s.await("another holder", 20*time.Second, func() bool { return s.holder(h) != "" })
			s.startInstance(h)
		}},
		{"SIGSTOP of the holder for longer than every lease", time.Hour, func(s *testSystem) {
			h := s.holder("")
			_ = s.processes[h].Process.Signal(syscall.SIGSTOP)
			time.Sleep(15 * time.Second)
			_ = s.processes[h].Process.Signal(syscall.SIGCONT)
		}},
		{"the platform marks the holder as leaving", time.Hour, func(s *testSystem) {
			h := s.holder("")
			marked := slices.Clone(s.instances)
			for n := range marked {
				if marked[n].Name == h {
					marked[n].State = lister.StateLeaving
				}
			}
			time.Sleep(3 * time.Second)
			s.postJSON("http://"+s.listAddr+"/admin/instances", marked)
			s.await("another holder", 20*time.Second, func() bool { return s.holder(h) != "" })
		}},
		{"the log is down for longer than every lease", time.Hour, func(s *testSystem) {
			s.setLogFaults(logkeeper.Faults{Down: true})
			time.Sleep(15 * time.Second)
			s.setLogFaults(logkeeper.Faults{})
		}},
		{"retention shorter than what an instance missed", 8 * time.Second, func(s *testSystem) {
			h := s.holder("")
			_ = s.processes[h].Process.Kill()
			time.Sleep(12 * time.Second)
			s.startInstance(h)
			s.await("the instance knows the ticket", 20*time.Second, func() bool {
				c, err := caller.New(caller.Config{Servers: []string{s.apiAddrs[strings.Index("123", h[len(h)-1:])]}})
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
			s := newTestSystem(t, test.retention, nil)
			nonIdempotent := s.submit("long", "run=35s", true)
			idempotent := s.submit("again", "run=20s", false)
			s.await("the gang runs", 20*time.Second, func() bool { return s.jobStatus(nonIdempotent) == reducer.JobRunning })
			test.fault(s)
			afterFault := s.submit("late", "run=2s", true)
			for _, id := range []string{nonIdempotent, idempotent, afterFault} {
				s.await("job "+id+" has ended", 90*time.Second, func() bool { return s.jobStatus(id).Terminal() })
				job, err := s.client.Job(context.Background(), id)
				if err != nil || job.Status != reducer.JobFinished || job.Outcome != encoder.OutcomeRan {
					t.Errorf("job %s: %s, %s, %v", job.Name, job.Status, job.Outcome, err)
				}
				for _, api := range s.apiAddrs {
					c, err := caller.New(caller.Config{Servers: []string{api}})
					if err != nil {
						t.Fatal(err)
					}
					if explanation, err := c.ExplainJob(context.Background(), id); err == nil && explanation.Status != reducer.JobFinished {
						t.Errorf("%s reports that %s is %s", api, job.Name, explanation.Status)
					}
				}
			}
			s.checkWorkerEvents()
		})
	}
}
