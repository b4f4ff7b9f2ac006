package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// The queue of the cases. clientDeadline is how long clients wait for a response.
const (
	host           = "shop.example"
	prefix         = "/q/"
	apiKey         = "key-1"
	clientDeadline = 3 * time.Second
	clientRetries  = 4
)

// client calls the instances in turn, as the platform's address does.
type client struct {
	log    *record
	system *system
	next   int
}

// call sends one request and returns the status, 0 without a response.
func (c *client) call(method, path, body string) (status int, response map[string]any) {
	inst := c.system.instances[c.next%len(c.system.instances)]
	c.next++
	req, err := http.NewRequest(method, "http://"+inst.front+path, bytes.NewBufferString(body))
	if err != nil {
		fatal(err)
	}
	req.Host = host
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	httpClient := http.Client{Timeout: clientDeadline}
	resp, err := httpClient.Do(req)
	if err != nil {
		c.log.line("client: %s %s at %s gets no response", method, path, inst.name)
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(data, &response)
	return resp.StatusCode, response
}

// submit hands a job in, again under the same ID if that fails, and reports whether it was accepted.
func (c *client) submit(id string, spec work, steps ...map[string]any) bool {
	text, _ := json.Marshal(spec)
	body, _ := json.Marshal(map[string]any{"spec": string(text), "steps": steps})
	c.log.line("client: POST %s%s %s", prefix, id, body)
	for range clientRetries + 1 {
		status, _ := c.call(http.MethodPost, prefix+id, string(body))
		c.log.line("client: POST %s%s -> %d", prefix, id, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for a job's state and returns "" without a usable answer.
func (c *client) state(id string) string {
	status, response := c.call(http.MethodGet, prefix+id, "")
	if status == http.StatusGone {
		return "410"
	}
	state, _ := response["state"].(string)
	return state
}

// configure publishes the first configuration.
func configure(s *store, attempts int) {
	s.put("keyed.op", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "q1", "host": host, "path_prefix": prefix, "service": "s", "priority": 1, "attempts": attempts, "stretch": 3.0, "slo_ms": 3000, "timeout_ms": 3000}},
		"services": []map[string]any{{"name": "s"}},
		"tenants":  []map[string]any{{"name": "t1", "api_keys": []string{apiKey}, "guaranteed": map[string]any{"gpu": 8}}},
		"limits":   map[string]any{},
	})
}
