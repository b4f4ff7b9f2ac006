// Package lister is a client of the platform's list of live and leaving
// instances. The list lags behind reality, so callers must treat it as a hint,
// never as proof that an instance is live or gone.
//
//	c := lister.New(http.DefaultTransport, []string{"127.0.0.1:7001"})
//	list, err := c.List(ctx)
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// MaxListBytes limits the size of the encoded list.
const MaxListBytes = 4 << 20

// State is the state of an instance as the platform reports it.
type State string

// The states of an instance.
const (
	StateLive    State = "Live"
	StateLeaving State = "Leaving"
)

// Instance is one item of the list.
type Instance struct {
	Name        string
	PeerAddress string
	State       State
}

// List is the platform's list of instances.
type List struct {
	Instances []Instance
	// AgeMS is the age of the list, in milliseconds, as the platform reports it.
	AgeMS int64
}

// Client reads the list.
type Client struct {
	transport http.RoundTripper
	addresses []string
}

// New returns a client. Addresses are tried in turn.
func New(transport http.RoundTripper, addresses []string) *Client {
	return &Client{transport: transport, addresses: addresses}
}

// List returns the list from the first address that answers.
func (c *Client) List(ctx context.Context) (list List, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "list instances")
		}
	}()
	for _, address := range c.addresses {
		list, err = c.get(ctx, address)
		if err == nil {
			return list, nil
		}
	}
	return List{}, err
}

// get reads the list from one address.
func (c *Client) get(ctx context.Context, address string) (list List, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/instances", nil)
	if err != nil {
		return List{}, err
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return List{}, errors.Newf("status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, MaxListBytes)).Decode(&list)
	return list, err
}
