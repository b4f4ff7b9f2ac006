// Package appender is a client of the platform's log service. Over HTTP and
// JSON, it appends records to a stream and reads them by long polling from an
// offset.
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

// MaxPageBytes limits the size of a response of the log service.
const MaxPageBytes = 64 << 20

// Record is one record of a stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Page is the response to a read.
type Page struct {
	Records []Record
	// First is the oldest offset that is retained.
	First uint64
	// Next is the offset of the next record to be appended.
	Next uint64
}

// AppendReply is the response to an append.
type AppendReply struct{ Offset uint64 }

// Client appends to and reads from one stream.
type Client struct {
	transport http.RoundTripper
	addresses []string
	stream    string
}

// New returns a client for the stream. Reads try the addresses in turn; appends
// use the first address only.
func New(transport http.RoundTripper, addresses []string, stream string) *Client {
	return &Client{transport: transport, addresses: addresses, stream: stream}
}

// Append appends a record to the stream. After an error, the record may or may
// not have been appended.
func (c *Client) Append(ctx context.Context, data []byte) (offset uint64, err error) {
	defer c.annotate(&err, "append")
	var reply AppendReply
	err = c.do(ctx, http.MethodPost, "", data, &reply)
	return reply.Offset, err
}

// Read returns up to limit records, starting at offset from. If there are none
// yet, the log service waits for the first one, for at most the given time.
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

// do tries the addresses until one succeeds. It sends an append to the first
// address only: after an error the append may have taken effect, and a retry
// could append the record twice.
func (c *Client) do(ctx context.Context, method, query string, body []byte, reply any) error {
	var lastErr error
	for _, address := range c.addresses {
		url := "http://" + address + "/v1/streams/" + c.stream + "/records" + query
		lastErr = c.roundTrip(ctx, method, url, body, reply)
		if lastErr == nil || method == http.MethodPost || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

// roundTrip sends one request and decodes the reply. A status other than 200 is an
// error.
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
