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
	"syscall"
	"time"
)

// Bounds as in the settings file of the pages' example.
const (
	cancelMS  = 3000
	visibleMS = 3000
	stopMS    = 200
	finish    = 14 * time.Second
)

const (
	queueHost  = "nony24.example"
	tenantKey  = "key-of-tenant-1"
	configWait = 20 * time.Second
)

// instance is a process of the system.
type instance struct {
	name, ip string
	cluster  *cluster
	gate     *gate
	settings string
	front    string
	ready    string
	process  *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment: processes of the system and stand-ins for all else.
type cluster struct {
	rec       *recorder
	dir       string
	store     *store
	fleet     *fleet
	instances []*instance
	client    *http.Client
}

// freePort returns a port that is free on all addresses.
func freePort(ips []string, taken map[int]bool) (int, error) {
	for port := 20000 + rand.IntN(10000); port < 32000; port++ {
		free := !taken[port]
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			taken[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

// newCluster starts the stand-ins and the instances, and waits until all are ready.
func newCluster(rec *recorder, instances int, f *fleet, attempts int, minions func(f *fleet) error) (c *cluster, err error) {
	dir, err := os.MkdirTemp("", "daisyhead-review-")
	if err != nil {
		return nil, err
	}
	c = &cluster{rec: rec, dir: dir, store: newStore(), fleet: f, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	f.rec, f.store, f.service = rec, c.store, "rendimento"
	if err := minions(f); err != nil {
		return c, err
	}
	c.store.put("keyed.op", "config", map[string]any{
		"version": 1, "limits": map[string]any{},
		"services": []any{map[string]any{"name": "rendimento", "admission_check": false}},
		"tenants":  []any{map[string]any{"name": "t1", "api_keys": []string{tenantKey}, "guaranteed": map[string]int{"gpu": 0}}},
		"routes": []any{map[string]any{
			"name": "q1", "host": queueHost, "path_prefix": "/lohu930/", "service": "rendimento", "priority": 1,
			"attempts": attempts, "stretch": 3, "slo_ms": 3000, "timeout_ms": 3000,
		}},
	})
	ips := make([]string, instances)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.1.%d", 10+i)
	}
	taken := map[int]bool{}
	ports := make([]int, 4)
	for i := range ports {
		if ports[i], err = freePort(ips, taken); err != nil {
			return c, err
		}
	}
	seeds := []string{}
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[3]))
	}
	for i, ip := range ips {
		in := &instance{
			name: fmt.Sprintf("front-z1-%d", i+1), ip: ip, cluster: c, gate: &gate{}, settings: filepath.Join(dir, fmt.Sprintf("boot-%d.json", i+1)),
			front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		}
		storeAddress, err := serve("127.0.0.1", c.store.handler(in.name, in.gate))
		if err != nil {
			return c, err
		}
		data, _ := json.MarshalIndent(map[string]any{
			"node": in.name, "role": "entry", "machine_class": "front", "serves": []string{"front"}, "ip": ip, "zone": "z1", "region": "r1",
			"zones":  map[string]string{"z1": "r1"},
			"listen": map[string]string{"front": in.front, "ready": in.ready}, "port_range": []int{ports[2], ports[2] + 15},
			"seeds": seeds, "bootstrap": true, "loss_counts": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
			"bounds": map[string]any{
				"grace_s": 6, "hold_max_ms": 10000, "gang_timeout_ms": 3000, "stop_timeout_ms": stopMS, "status_s": 120,
				"config_deadline_ms": 2000, "visible_ms": visibleMS, "stretch_max_ms": 5000, "revoke_strict": false, "cancel_ms": cancelMS,
			},
			"orders":   "request",
			"platform": map[string]any{"address": storeAddress, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 8, "record_bytes": maxRecordBytes, "request_bytes": 2097152},
		}, "", "  ")
		if err := os.WriteFile(in.settings, data, 0o600); err != nil {
			return c, err
		}
		c.instances = append(c.instances, in)
	}
	for _, in := range c.instances {
		if err := in.start(); err != nil {
			return c, err
		}
	}
	for deadline := time.Now().Add(configWait); ; time.Sleep(100 * time.Millisecond) {
		if c.allReady() && c.store.lastConditional() != "" {
			break
		}
		if time.Now().After(deadline) {
			return c, fmt.Errorf("the instances are not ready after %s", configWait)
		}
	}
	// The holder needs some time to reach all minions.
	time.Sleep(3 * time.Second)
	rec.log("all instances are ready; %s leads", c.store.lastConditional())
	return c, nil
}

func (c *cluster) allReady() bool {
	for _, in := range c.instances {
		resp, err := c.client.Get("http://" + in.ready + "/-/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// start starts the process with the command of the deploy file.
func (in *instance) start() error {
	log, err := os.OpenFile(filepath.Join(in.cluster.dir, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/daisyhead", "platform", "serve", "--metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DAISYHEAD_BOOT=" + in.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.process, in.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	in.cluster.rec.log("%s started", in.name)
	return nil
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.cluster.rec.log("%s gets %s", in.name, s)
	_ = in.process.Process.Signal(s)
}

// restart starts the process again once it has exited.
func (in *instance) restart(pause time.Duration) {
	<-in.exited
	in.cluster.rec.log("%s has exited", in.name)
	time.Sleep(pause)
	if err := in.start(); err != nil {
		in.cluster.rec.log("%s: %v", in.name, err)
	}
}

// leader returns the instance that last wrote to the store under a condition.
func (c *cluster) leader() *instance {
	name := c.store.lastConditional()
	for _, in := range c.instances {
		if in.name == name {
			return in
		}
	}
	return c.instances[0]
}

// others returns the instances without one.
func (c *cluster) others(without *instance) (found []*instance) {
	for _, in := range c.instances {
		if in != without {
			found = append(found, in)
		}
	}
	return found
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, in := range c.instances {
		if in.process == nil {
			continue
		}
		_ = in.process.Process.Kill()
		<-in.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// call sends a client's request and returns the status, 0 for no answer, and the body.
func (in *instance) call(method, id string, body any) (status int, answer map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+in.front+"/lohu930/"+id, bytes.NewReader(data))
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+tenantKey)
	req.Header.Set("Deadline-Ms", "3000")
	client := http.Client{Transport: in.cluster.client.Transport, Timeout: 3 * time.Second}
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		in.cluster.rec.log("client: %s %s at %s: no answer", method, id, in.name)
		return 0, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(text, &answer)
	in.cluster.rec.log("client: %s %s at %s: %d %s after %d ms", method, id, in.name, resp.StatusCode, bytes.TrimSpace(text), time.Since(began).Milliseconds())
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(in *instance, id string, job any) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if status, _ := in.call(http.MethodPost, id, job); status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for a job's state.
func (in *instance) state(id string) string {
	_, answer := in.call(http.MethodGet, id, nil)
	s, _ := answer["state"].(string)
	return s
}

// step returns a step of a job whose tasks take about the given time.
func step(count, cpu, gpu int, takes time.Duration, extra map[string]any) map[string]any {
	s := map[string]any{"count": count, "cpu": cpu, "mem_mb": 256, "gpu": gpu, "estimate_ms": takes.Milliseconds()}
	for k, v := range extra {
		s[k] = v
	}
	return s
}

func job(steps ...map[string]any) map[string]any {
	return map[string]any{"spec": "review", "steps": steps}
}
