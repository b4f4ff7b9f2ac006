// Package caller is a client of the API. It tries the configured instances in turn. If
// one of them reports an unknown outcome, and none gives a final response after it, the
// returned error says so.
//
//	c, err := caller.New(caller.Config{Servers: []string{"127.0.0.1:7201"}, Token: token})
//	job, err := c.SubmitJob(ctx, specifier.Job{…})
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"daisyhead/internal/control/explainer"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/replier"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
)

// MaxResponseBytes is the maximum size of a response body. A longer body is cut
// off and can't be decoded.
const MaxResponseBytes = 64 << 20

// requestTimeout limits one request to one instance, including its response body.
const requestTimeout = 15 * time.Second

// Config holds the addresses of the instances and the credentials.
type Config struct {
	// Servers are the instances, as HOST:PORT or as URL, in the order in which they
	// are tried.
	Servers []string
	// Token is the bearer token; empty for anonymous access.
	Token string
	// AuthorityFile is a PEM file with the certificate authority of the servers, for
	// https. If it is empty, the system's authorities are used.
	AuthorityFile string
}

// Client sends requests to the API.
type Client struct {
	servers    []string
	token      string
	httpClient *http.Client
}

// ErrUnavailable marks calls to which no instance responded with a final result or with
// an unknown outcome. According to the responses that were received, nothing was done; a
// request that timed out or lost its connection may still have had an effect.
var ErrUnavailable = errors.New("no instance could be reached")

// New returns a client for the instances in cfg.
func New(cfg Config) (c *Client, err error) {
	if len(cfg.Servers) == 0 {
		return nil, errors.New("no servers are configured")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}
	if cfg.AuthorityFile != "" {
		pem, err := os.ReadFile(cfg.AuthorityFile)
		if err != nil {
			return nil, errors.Wrap(err, "read certificate authority file")
		}
		pool := x509.NewCertPool()
		pool.AppendCertsFromPEM(pem)
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	c = &Client{token: cfg.Token, httpClient: &http.Client{Transport: transport, Timeout: requestTimeout}}
	for _, s := range cfg.Servers {
		if !strings.Contains(s, "://") {
			s = "http://" + s
		}
		c.servers = append(c.servers, strings.TrimSuffix(s, "/"))
	}
	return c, nil
}

// SubmitJob submits a job. If j has no key, it gets a random one, so that an instance
// recognizes a submission that was already sent to another.
func (c *Client) SubmitJob(ctx context.Context, j specifier.Job) (job presenter.Job, err error) {
	if j.Key == "" {
		j.Key = uuid.NewString()
	}
	err = c.do(ctx, http.MethodPost, "/v1/jobs", j, &job)
	return job, err
}

// Job returns one job.
func (c *Client) Job(ctx context.Context, id string) (job presenter.Job, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, &job)
	return job, err
}

// Jobs lists the jobs that match the filter.
func (c *Client) Jobs(ctx context.Context, f presenter.JobFilter) (list presenter.JobList, err error) {
	q := url.Values{}
	addString(q, "Workspace", f.Workspace)
	addString(q, "Status", string(f.Status))
	addNumber(q, "Limit", uint64(f.Limit))
	err = c.do(ctx, http.MethodGet, "/v1/jobs?"+q.Encode(), nil, &list)
	return list, err
}

// CancelJob requests the cancellation of a job: it isn't started or, if it is running,
// is stopped.
func (c *Client) CancelJob(ctx context.Context, id, reason string) (job presenter.Job, err error) {
	err = c.do(ctx, http.MethodPost, "/v1/jobs/"+url.PathEscape(id)+"/cancel", struct{ Reason string }{reason}, &job)
	return job, err
}

// ExplainJob returns the history of a job and the reason for its current state.
func (c *Client) ExplainJob(ctx context.Context, id string) (history explainer.History, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil, &history)
	return history, err
}

// ApplyTicket applies a ticket or, if check is set, only checks it (a dry run).
// Applying the same ticket again has no further effect.
func (c *Client) ApplyTicket(ctx context.Context, t specifier.Ticket, check bool) (v presenter.TicketResult, err error) {
	path := "/v1/tickets"
	if check {
		path += "?Check=true"
	}
	err = c.do(ctx, http.MethodPost, path, t, &v)
	return v, err
}

// Ticket returns one accepted ticket.
func (c *Client) Ticket(ctx context.Context, number uint64) (t presenter.Ticket, err error) {
	err = c.do(ctx, http.MethodGet, fmt.Sprintf("/v1/tickets/%d", number), nil, &t)
	return t, err
}

// Tickets lists accepted tickets.
func (c *Client) Tickets(ctx context.Context) (list []presenter.Ticket, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/tickets", nil, &list)
	return list, err
}

// Workspaces lists workspaces.
func (c *Client) Workspaces(ctx context.Context) (list []presenter.Workspace, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/workspaces", nil, &list)
	return list, err
}

// Domains lists failure domains.
func (c *Client) Domains(ctx context.Context) (list []presenter.Domain, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/domains", nil, &list)
	return list, err
}

// Workers lists workers.
func (c *Client) Workers(ctx context.Context) (list []presenter.Worker, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/workers", nil, &list)
	return list, err
}

// Minions lists minions.
func (c *Client) Minions(ctx context.Context) (list []presenter.Minion, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/minions", nil, &list)
	return list, err
}

// Instances lists instances.
func (c *Client) Instances(ctx context.Context) (list []presenter.Instance, err error) {
	err = c.do(ctx, http.MethodGet, "/v1/instances", nil, &list)
	return list, err
}

// Audit returns the lines of the audit trail that match the filter.
func (c *Client) Audit(ctx context.Context, f presenter.AuditFilter) (trail presenter.AuditTrail, err error) {
	q := url.Values{}
	addString(q, "Object", f.Object)
	addString(q, "Actor", f.Actor)
	addNumber(q, "Ticket", f.Ticket)
	addNumber(q, "Limit", uint64(f.Limit))
	addTime(q, "Since", f.Since)
	addTime(q, "Until", f.Until)
	err = c.do(ctx, http.MethodGet, "/v1/audit?"+q.Encode(), nil, &trail)
	return trail, err
}

func addString(q url.Values, key, value string) {
	if value != "" {
		q.Set(key, value)
	}
}

func addNumber(q url.Values, key string, n uint64) {
	if n > 0 {
		q.Set(key, strconv.FormatUint(n, 10))
	}
}

func addTime(q url.Values, key string, t time.Time) {
	if !t.IsZero() {
		q.Set(key, t.Format(time.RFC3339))
	}
}

// do sends a request to the servers in turn until one gives a final response. Repeating a
// call is safe, because job keys and ticket numbers make all calls idempotent.
func (c *Client) do(ctx context.Context, method, path string, body, result any) (err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	outcomeUnknown := false
	for _, server := range c.servers {
		err = c.send(ctx, method, server+path, data, result)
		responded, final := isFinal(err)
		if final {
			return err
		}
		outcomeUnknown = outcomeUnknown || (responded && err.(replier.Error).Outcome == encoder.OutcomeUnknown)
	}
	if outcomeUnknown {
		return errors.Mark(err, errOutcomeUnknown)
	}
	return errors.Mark(err, ErrUnavailable)
}

var errOutcomeUnknown = errors.New("the outcome is unknown")

// isFinal reports whether the API responded (err is nil or an error of the API) and
// whether the response is final, so that trying another server is pointless.
func isFinal(err error) (responded, final bool) {
	if err == nil {
		return true, true
	}
	var e replier.Error
	if !errors.As(err, &e) {
		return false, false
	}
	switch e.Code {
	case "LedgerUnavailable", "Busy", "Internal", "OutcomeUnknown", "Stopping":
		return true, false
	}
	return true, true
}

// send sends one request to one server and decodes the response into result. An error
// response is returned as replier.Error.
func (c *Client) send(ctx context.Context, method, target string, data []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusOK {
		return json.Unmarshal(body, result)
	}
	var e replier.Error
	if json.Unmarshal(body, &e) != nil || e.Code == "" {
		return errors.Newf("%s returned HTTP status %d", target, resp.StatusCode)
	}
	return e
}

// ErrorKind classifies errors, for example to choose an exit code.
type ErrorKind int

// The kinds of errors.
const (
	ErrorNone        ErrorKind = iota // no error
	ErrorOther                        // not an error of the API, such as an invalid setting
	ErrorRefused                      // the API refused the request
	ErrorNotFound                     // the object doesn't exist
	ErrorUnavailable                  // see ErrUnavailable
	ErrorUnknown                      // the outcome is unknown
)

// ErrorKindOf classifies an error that a Client returned.
func ErrorKindOf(err error) ErrorKind {
	var e replier.Error
	switch {
	case err == nil:
		return ErrorNone
	case errors.Is(err, errOutcomeUnknown):
		return ErrorUnknown
	case errors.Is(err, ErrUnavailable):
		return ErrorUnavailable
	case !errors.As(err, &e):
		return ErrorOther
	case e.Outcome == encoder.OutcomeUnknown:
		return ErrorUnknown
	case e.Code == "NotFound":
		return ErrorNotFound
	}
	return ErrorRefused
}
