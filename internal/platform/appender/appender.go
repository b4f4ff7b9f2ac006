// Package appender speaks to the platform's log service over HTTP and JSON: it
// appends records to a stream and reads them from an offset with a long poll.
//
//	c := appender.New(http.DefaultTransport, []string{"127.0.0.1:7000"}, "ledger")
//	offset, err := c.Append(ctx, data)
//	page, err := c.Read(ctx, offset, 100, 2*time.Second)
package appender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxPageBytes bounds one answer of the log.
const MaxPageBytes = 64 << 20

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	// First is the oldest offset that the log still keeps.
	First uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// AppendReply is the log's answer to an append.
type AppendReply struct{ Offset uint64 }

// Client appends to and reads from one stream.
type Client struct {
	transport http.RoundTripper
	addresses []string
	stream    string
}

// New returns a client for the stream. Addresses are tried in turn.
func New(transport http.RoundTripper, addresses []string, stream string) *Client {
	return &Client{transport: transport, addresses: addresses, stream: stream}
}

// Append adds a record. An error leaves open whether the record was added.
func (c *Client) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	defer c.annotate(&err, "append")
	var reply AppendReply
	err = c.do(ctx, http.MethodPost, "", data, &reply)
	return reply.Offset, err
}

// Read returns up to limit records from an offset on. It waits for the first one.
func (c *Client) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (page Page, err error) {
	defer c.annotate(&err, "read")
	query := fmt.Sprintf("?from=%d&limit=%d&wait=%s", from, limit, wait)
	err = c.do(ctx, http.MethodGet, query, nil, &page)
	return page, err
}

func (c *Client) annotate(err *error, action string) {
	if *err != nil {
		*err = errors.Wrapf(*err, "%s stream %s", action, c.stream)
	}
}

// do tries each address until one answers. An append goes to one address only:
// after an error it may have taken effect there.
func (c *Client) do(ctx context.Context, method, query string, body []byte, reply any) error {
	var last error
	for _, address := range c.addresses {
		url := "http://" + address + "/v1/streams/" + c.stream + "/records" + query
		last = c.roundTrip(ctx, method, url, body, reply)
		if last == nil || method == http.MethodPost || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func (c *Client) roundTrip(ctx context.Context, method, url string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxPageBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	return json.Unmarshal(data, reply)
}
