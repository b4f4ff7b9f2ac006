// Package runner speaks to workers: it reserves, starts, renews and stops the
// tasks of attempts over HTTP and JSON.
//
// Deadlines are readings of the worker's own monotonic clock, which each reply
// reports. They hold whatever the wall clocks do, and a message that is delayed
// on the way is refused on arrival:
//
//	c := runner.New(http.DefaultTransport)
//	reply, err := c.Exchange(ctx, "127.0.0.1:7101", runner.ExchangeRequest{Term: 4, WaitMS: 2000})
package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxReplyBytes bounds a worker's answer.
const MaxReplyBytes = 4 << 20

// TaskState is the state of one attempt's tasks on one worker.
type TaskState string

// The states. All but the first two are final.
const (
	TaskReserved TaskState = "Reserved"
	TaskRunning  TaskState = "Running"
	TaskFinished TaskState = "Finished"
	TaskFailed   TaskState = "Failed"
	TaskStopped  TaskState = "Stopped"
	// TaskExpired means that the lease or the reservation ran out.
	TaskExpired TaskState = "Expired"
)

// Final reports whether nothing of the attempt runs or may start any more.
func (s TaskState) Final() bool { return s != TaskReserved && s != TaskRunning }

// Status is what a worker knows of one attempt.
type Status struct {
	Job     string
	Attempt int
	Tasks   int
	State   TaskState
	// Started tells whether any task was ever started here.
	Started bool
	// Checkpointed tells that a checkpoint was the last thing that the tasks did.
	Checkpointed bool
	// ProgressMS is the run time kept by the latest checkpoint.
	ProgressMS int64
	// RanMS is how long the tasks have run here.
	RanMS int64
	// MemoryMB is the observed use of all tasks; ObservedAgo is its age.
	MemoryMB      int
	ObservedAgoMS int64
	Reason        string
}

// Lease extends an attempt's right to run.
type Lease struct {
	Job     string
	Attempt int
	// Until is a reading of the worker's clock, in milliseconds.
	Until int64
}

// Reference names an attempt.
type Reference struct {
	Job     string
	Attempt int
}

// ExchangeRequest renews leases and asks for the worker's table.
type ExchangeRequest struct {
	Term uint64
	Boot string
	// RenewAll, when set, extends every attempt that runs in the table of
	// version Since up to this reading of the worker's clock, but those in Except.
	// A worker whose table has another version ignores it.
	RenewAll int64       `json:",omitempty"`
	Except   []Reference `json:",omitempty"`
	// Leases extend single attempts, whatever the table's version.
	Leases []Lease     `json:",omitempty"`
	Forget []Reference `json:",omitempty"`
	// Since is the latest table version that the sender has seen. The worker
	// answers when its table is newer, or after WaitMS.
	Since  uint64
	WaitMS int64
}

// ExchangeReply is the worker's table.
type ExchangeReply struct {
	Boot    string
	ClockMS int64
	Version uint64
	Term    uint64
	// Unchanged is set instead of Tasks when the table's version is Since.
	Unchanged bool     `json:",omitempty"`
	Tasks     []Status `json:",omitempty"`
}

// ReserveRequest holds resources for the tasks of an attempt.
type ReserveRequest struct {
	Term          uint64
	Boot          string
	Job           string
	Attempt       int
	Tasks         int
	Processors    int
	MemoryMB      int
	Accelerators  int
	ProgressMS    int64
	Name          string
	Workspace     string
	NonIdempotent bool
	Payload       string
	// GangTasks is the number of tasks of the whole gang.
	GangTasks int
	// NotAfter and HoldUntil are readings of the worker's clock.
	NotAfter  int64
	HoldUntil int64
}

// StartRequest starts reserved tasks.
type StartRequest struct {
	Term       uint64
	Boot       string
	Job        string
	Attempt    int
	NotAfter   int64
	LeaseUntil int64
}

// StopRequest ends a reservation or stops tasks.
type StopRequest struct {
	Term       uint64
	Job        string
	Attempt    int
	Checkpoint bool
}

// Reply answers a reservation, a start or a stop.
type Reply struct {
	OK      bool
	Reason  string
	Boot    string
	ClockMS int64
	Version uint64
	Term    uint64
	Status  Status
}

// Client sends requests to workers.
type Client struct{ transport http.RoundTripper }

// New returns a client that uses the transport.
func New(transport http.RoundTripper) *Client { return &Client{transport: transport} }

// Exchange renews leases and returns the worker's table.
func (c *Client) Exchange(ctx context.Context, address string, r ExchangeRequest) (reply ExchangeReply, err error) {
	err = c.post(ctx, address, "/v1/exchange", r, &reply)
	return reply, err
}

// Reserve holds resources without starting anything.
func (c *Client) Reserve(ctx context.Context, address string, r ReserveRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/reserve", r, &reply)
	return reply, err
}

// Start starts reserved tasks.
func (c *Client) Start(ctx context.Context, address string, r StartRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/start", r, &reply)
	return reply, err
}

// Stop stops tasks or gives a reservation back.
func (c *Client) Stop(ctx context.Context, address string, r StopRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/stop", r, &reply)
	return reply, err
}

func (c *Client) post(ctx context.Context, address, path string, request, reply any) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "worker %s%s", address, path)
		}
	}()
	data, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || len(body) > MaxReplyBytes {
		return errors.Newf("status %d with %d bytes", resp.StatusCode, len(body))
	}
	return json.Unmarshal(body, reply)
}
