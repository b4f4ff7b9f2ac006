// Package runner is a client of workers. Over HTTP and JSON, it reserves
// resources for the tasks of an attempt, starts and stops the tasks, and renews
// their leases.
//
// Deadlines are readings of the worker's monotonic clock, which every reply
// reports. They don't depend on wall clocks, and a worker refuses a message that
// arrives after its deadline.
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

// MaxReplyBytes limits the size of a worker's reply.
const MaxReplyBytes = 4 << 20

// TaskState is the state of the tasks of one attempt on one worker.
type TaskState string

// The task states. All except TaskReserved and TaskRunning are final.
const (
	TaskReserved TaskState = "Reserved"
	TaskRunning  TaskState = "Running"
	TaskFinished TaskState = "Finished"
	TaskFailed   TaskState = "Failed"
	TaskStopped  TaskState = "Stopped"
	// TaskExpired means that the lease or the reservation expired.
	TaskExpired TaskState = "Expired"
)

// Final reports whether no task of the attempt runs or can still start.
func (s TaskState) Final() bool { return s != TaskReserved && s != TaskRunning }

// Status is the state of one attempt in the table of a worker. Each worker has a
// table with one entry per attempt.
type Status struct {
	Job     string
	Attempt int
	Tasks   int
	State   TaskState
	// Started reports whether any task was ever started on this worker.
	Started bool
	// Checkpointed reports whether the tasks stopped right after a checkpoint.
	Checkpointed bool
	// ProgressMS is the run time that the latest checkpoint saved.
	ProgressMS int64
	// RanMS is how long the tasks have run on this worker.
	RanMS int64
	// MemoryMB is the observed memory usage of all tasks, ObservedAgoMS the age of
	// the observation.
	MemoryMB      int
	ObservedAgoMS int64
	Reason        string
}

// Lease extends the lease under which an attempt may run.
type Lease struct {
	Job     string
	Attempt int
	// Until is the end of the lease, as a reading of the worker's clock in
	// milliseconds.
	Until int64
}

// Reference identifies an attempt.
type Reference struct {
	Job     string
	Attempt int
}

// ExchangeRequest renews leases and requests the worker's table.
type ExchangeRequest struct {
	Term uint64
	// Boot identifies the boot of the worker that the request is meant for. After
	// a reboot, the worker adopts only the term and ignores RenewAll, Leases and
	// Forget.
	Boot string
	// RenewAll, if not 0, extends the leases of all running attempts except those
	// in Except, up to this reading of the worker's clock. The worker ignores it
	// if the version of its table is not Since.
	RenewAll int64       `json:",omitempty"`
	Except   []Reference `json:",omitempty"`
	// Leases extend the leases of single attempts, whatever the table's version.
	Leases []Lease `json:",omitempty"`
	// Forget names ended attempts to be removed from the table.
	Forget []Reference `json:",omitempty"`
	// Since is the latest version of the table that the sender has seen. The
	// worker replies once its table is newer, or after WaitMS.
	Since  uint64
	WaitMS int64
}

// ExchangeReply contains the worker's table.
type ExchangeReply struct {
	Boot    string
	ClockMS int64
	Version uint64
	Term    uint64
	// Unchanged is set, and Tasks is empty, if the table still has the version
	// that the request named in Since.
	Unchanged bool     `json:",omitempty"`
	Tasks     []Status `json:",omitempty"`
}

// ReserveRequest reserves resources for the tasks of an attempt on one worker.
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
	// GangTasks is the number of tasks of the gang on all workers.
	GangTasks int
	// NotAfter is the latest reading of the worker's clock at which the worker
	// accepts the request. HoldUntil is when the reservation expires.
	NotAfter  int64
	HoldUntil int64
}

// StartRequest starts tasks that were reserved.
type StartRequest struct {
	Term       uint64
	Boot       string
	Job        string
	Attempt    int
	NotAfter   int64
	LeaseUntil int64
}

// StopRequest stops tasks or releases their reservation.
type StopRequest struct {
	Term    uint64
	Job     string
	Attempt int
	// Checkpoint asks for a checkpoint before the tasks stop.
	Checkpoint bool
}

// Reply is the response to a reservation, a start or a stop.
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

// Reserve reserves resources without starting tasks.
func (c *Client) Reserve(ctx context.Context, address string, r ReserveRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/reserve", r, &reply)
	return reply, err
}

// Start starts tasks that were reserved.
func (c *Client) Start(ctx context.Context, address string, r StartRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/start", r, &reply)
	return reply, err
}

// Stop stops tasks or releases their reservation.
func (c *Client) Stop(ctx context.Context, address string, r StopRequest) (reply Reply, err error) {
	err = c.post(ctx, address, "/v1/stop", r, &reply)
	return reply, err
}

// post sends one request to a worker and decodes the reply. It doesn't retry.
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
