package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment, like those of the small site arrieta-daisy.
const (
	serviceName = "rese1a"
	zoneName    = "bilbao"
	heartbeatMS = 1500
	gangMS      = 3000
	stopMS      = 400
	graceMS     = 6000
	cancelMS    = 3000
	visibleMS   = 3000
	reclaimMS   = 2900
	lossSlackMS = 200
	deadlineMS  = 3000
)

// holdMaxMS is the longest lease that minions accept: that of arrieta-daisy, unless a case takes
// another site's.
var holdMaxMS int64 = 6000

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, began: time.Now()}, err
}

func (r *recorder) write(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s: %s\n", time.Since(r.began).Seconds(), who, fmt.Sprintf(format, args...))
}

// instance is one process of daisyhead.
type instance struct {
	name, ip, folder       string
	front, ready, settings string
	record                 *recorder
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	done                   chan struct{}
	state                  *os.ProcessState
}

func (i *instance) start() error {
	if i.cmd != nil && !i.ended() {
		return fmt.Errorf("%s has not ended", i.name)
	}
	log, err := os.OpenFile(filepath.Join(i.folder, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/daisyhead", "platform", "serve", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + i.folder, "DAISYHEAD_BOOT=" + i.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.done = cmd, done
	i.mu.Unlock()
	i.record.write("platform", "%s starts, process %d", i.name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		i.mu.Lock()
		i.state = cmd.ProcessState
		i.mu.Unlock()
		i.record.write("platform", "%s ended: %v", i.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	select {
	case <-i.done:
		return
	default:
	}
	i.record.write("platform", "%v to %s", s, i.name)
	_ = i.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (i *instance) ended() bool {
	i.mu.Lock()
	done := i.done
	i.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// deployment is a small deployment with its stand-ins.
type deployment struct {
	folder    string
	record    *recorder
	store     *store
	fleet     *fleet
	instances []*instance
	version   int
	config    map[string]any
	port      int
}

// freeBase returns a port from which on a few are free on all addresses.
func freeBase(ips []string) (int, error) {
	for range 200 {
		base := 21000 + rand.IntN(9000)
		free := true
		for _, ip := range ips {
			for p := base; p < base+24 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// newDeployment prepares a deployment of some instances and minions.
func newDeployment(record *recorder, instances, minions, rackSize int, capacity resources) (*deployment, error) {
	folder, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: record, store: newStore()}
	d.fleet = &fleet{store: d.store, record: record, jobs: map[string]*job{}}
	var ips []string
	for n := range instances {
		ips = append(ips, fmt.Sprintf("127.0.20.%d", n+1))
	}
	base, err := freeBase(append(ips, "127.0.21.1"))
	if err != nil {
		return d, err
	}
	storeAddress := fmt.Sprintf("127.0.21.1:%d", base)
	l, err := net.Listen("tcp", storeAddress)
	if err != nil {
		return d, err
	}
	go http.Serve(l, d.store)
	for n := range minions {
		if _, err := d.fleet.addMinion(fmt.Sprintf("127.0.22.%d:0", n+1), fmt.Sprintf("r1-%d", n/rackSize+1), capacity); err != nil {
			return d, err
		}
	}
	for n, ip := range ips {
		i := &instance{name: fmt.Sprintf("front-%s-%d", zoneName, n+1), ip: ip, folder: folder, record: record}
		i.front, i.ready = fmt.Sprintf("%s:%d", ip, base+20), fmt.Sprintf("%s:%d", ip, base+21)
		i.settings = filepath.Join(folder, i.name+".json")
		settings := map[string]any{
			"node": i.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": zoneName, "region": "norte",
			"zones": map[string]string{zoneName: "norte"}, "listen": map[string]string{"front": i.front, "ready": i.ready},
			"port_range": []int{base + 1, base + 16}, "seeds": []string{}, "bootstrap": true, "loss_counts": false,
			"limits":    map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeatMS,
			"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "tenants", "places", "platform", "advice", "upkeep", "sharing"},
			"bounds": map[string]any{
				"stable_window_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": graceMS / 1000, "loss_slack_ms": lossSlackMS,
				"config_deadline_ms": 2000, "stretch_max_ms": 5000, "revoke_strict": false, "evacuate_ms": 5000, "recovery_s": 12,
				"hold_max_ms": holdMaxMS, "stop_timeout_ms": stopMS, "gang_timeout_ms": gangMS, "cancel_ms": cancelMS, "visible_ms": visibleMS,
				"early_ms": 250, "finish_s": 14, "status_s": 120, "lease_ms": 3000, "fencing_enabled": true, "reclaim_ms": reclaimMS,
			},
			"orders": "request", "recommendation": "",
			"platform": map[string]any{
				"address": storeAddress, "form": "log", "writes_per_s": 600, "reads_per_s": 2000, "parts": 8, "append_ms": 4.0, "part_tput_s": 20.0,
				"read_tput_s": 80.0, "record_bytes": recordBytes, "request_bytes": requestBytes, "keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
			},
		}
		data, err := json.Marshal(settings)
		if err != nil {
			return d, err
		}
		if err := os.WriteFile(i.settings, data, 0o644); err != nil {
			return d, err
		}
		d.instances = append(d.instances, i)
	}
	return d, nil
}

// route is a queue of the configuration.
type route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	Service    string  `json:"service"`
	Priority   int     `json:"priority"`
	Attempts   int     `json:"attempts"`
	Stretch    float64 `json:"stretch"`
	SLOMS      int     `json:"slo_ms"`
	TimeoutMS  int     `json:"timeout_ms"`
	Kind       string  `json:"kind"`
	Public     bool    `json:"public"`
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name       string         `json:"name"`
	APIKeys    []string       `json:"api_keys"`
	Priority   int            `json:"priority"`
	Guaranteed map[string]int `json:"guaranteed"`
}

// configure publishes a configuration.
func (d *deployment) configure(routes []route, tenants []tenant) {
	d.version += 3
	d.store.put("keyed.op", "config", map[string]any{
		"version": d.version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "max_conns": 64, "protocol": "h1", "admission_check": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	d.record.write("operator", "configuration %d", d.version)
}

// startAll starts the instances and waits until all are ready.
func (d *deployment) startAll() error {
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(15 * time.Second)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(limit) || i.ended() {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (i *instance) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that were started and removes the temporary folder.
func (d *deployment) close() {
	for _, i := range d.instances {
		if i.cmd != nil && !i.ended() {
			_ = i.cmd.Process.Kill()
			<-i.done
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, i := range d.instances {
			if data, err := os.ReadFile(filepath.Join(d.folder, i.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, i.name+".log"), data, 0o644)
			}
		}
	}
	_ = os.RemoveAll(d.folder)
}

// step is a step of a job as clients submit it. work is how long a task works, which only
// the minions know.
type step struct {
	Count          int   `json:"count"`
	CPU            int   `json:"cpu,omitempty"`
	MemMB          int   `json:"mem_mb,omitempty"`
	GPU            int   `json:"gpu,omitempty"`
	EstimateMS     int   `json:"estimate_ms,omitempty"`
	StartAfter     []int `json:"start_after,omitempty"`
	Gang           bool  `json:"gang,omitempty"`
	Perpetual      bool  `json:"perpetual,omitempty"`
	MaxUnavailable int   `json:"max_unavailable,omitempty"`
	work           time.Duration
}

func (s step) need() resources { return resources{s.CPU, s.MemMB, s.GPU} }

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
	id    string
	route route
	key   string
	// acceptedAt is when the client got a 2xx.
	acceptedAt time.Time
}

// client is a client with connections of its own.
type client struct {
	d    *deployment
	http *http.Client
}

func (d *deployment) newClient() *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: deadlineMS * time.Millisecond}}
}

// call sends one request to an instance. status is 0 if no complete answer came.
func (c *client) call(i *instance, method string, r route, id, key string, body any) (status int, reply []byte, took time.Duration, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return 0, nil, 0, err
		}
	}
	req, err := http.NewRequest(method, "http://"+i.front+r.PathPrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil, 0, err
	}
	req.Host = r.Host
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadlineMS))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	began := time.Now()
	resp, err := c.http.Do(req)
	if err == nil {
		defer resp.Body.Close()
		reply, err = io.ReadAll(resp.Body)
		status = resp.StatusCode
	}
	took = time.Since(began)
	if err != nil {
		status = 0
	}
	c.d.record.write("client", "%s %s at %s -> %d %s after %d ms (%v)", method, id, i.name, status, bytes.TrimSpace(reply), took.Milliseconds(), err)
	return status, reply, took, err
}

// submit hands a job in until it is accepted, at one instance after the other.
func (c *client) submit(j *job, first int) bool {
	c.d.fleet.mu.Lock()
	c.d.fleet.jobs[j.id] = j
	c.d.fleet.mu.Unlock()
	for n := range 5 {
		status, _, _, _ := c.call(c.d.instances[(first+n)%len(c.d.instances)], http.MethodPost, j.route, j.id, j.key, j)
		if status/100 == 2 {
			j.acceptedAt = time.Now()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state.
func (c *client) state(j *job, at int) (status int, state string) {
	status, reply, _, _ := c.call(c.d.instances[at%len(c.d.instances)], http.MethodGet, j.route, j.id, j.key, nil)
	var body struct{ State string }
	_ = json.Unmarshal(reply, &body)
	return status, body.State
}

// newID returns the ID of a job. It ends with a letter, so that a task's name doesn't look like an
// address.
func newID() string { return fmt.Sprintf("%015x%c", rand.Uint64()>>4, 'a'+rune(rand.IntN(6))) }
