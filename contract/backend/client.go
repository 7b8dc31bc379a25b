package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"cicadarouter/internal/responsehead"
	"cicadarouter/ownership"
)

// Client is a Control over HTTP.
type Client struct {
	name string
	base string
	http *http.Client
}

var _ Control = (*Client)(nil)

// NewClient returns a client for the named server at an IP address and port.
// The transport is shared between the clients of one process.
func NewClient(name, address string, transport http.RoundTripper) *Client {
	return &Client{name: name, base: "http://" + address, http: &http.Client{Transport: responsehead.Transport{RoundTripper: transport}}}
}

// Grant implements Control.
func (c *Client) Grant(ctx context.Context, grant ownership.Grant) (Report, error) {
	body, err := json.Marshal(grant)
	if err != nil {
		return Report{}, eris.Wrap(err, "encoding a grant")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathGrant, bytes.NewReader(body))
	if err != nil {
		return Report{}, eris.Wrap(err, "building a grant")
	}
	request.Header.Set("Content-Type", "application/json")
	return c.do(request)
}

// Report implements Control.
func (c *Client) Report(ctx context.Context, page string) (Report, error) {
	target := c.base + PathReport + "?page=" + url.QueryEscape(page)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Report{}, eris.Wrap(err, "building a probe")
	}
	return c.do(request)
}

func (c *Client) do(request *http.Request) (Report, error) {
	response, err := c.http.Do(request)
	if err != nil {
		return Report{}, &UnreachableError{Server: c.name, Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, &UnreachableError{Server: c.name, Cause: &StatusError{Status: response.StatusCode}}
	}
	var report Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(&report); err != nil {
		return Report{}, &UnreachableError{Server: c.name, Cause: err}
	}
	if report.Server != c.name {
		return Report{}, &WrongServerError{Expected: c.name, Actual: report.Server}
	}
	return report, nil
}

// maxReportBytes is the maximum size of a server's report, in bytes: it names the page's shards.
const maxReportBytes = 4 << 20

// StatusError reports a control call that was not answered with status 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "control call returned status " + strconv.Itoa(e.Status)
}

// UnreachableError wraps the error that prevented a valid response of a server.
type UnreachableError struct {
	Server string
	Cause  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return "server " + e.Server + ": " + ErrUnreachable.Error() + ": " + e.Cause.Error()
}

// Unwrap makes the error match ErrUnreachable and its cause.
func (e *UnreachableError) Unwrap() []error { return []error{ErrUnreachable, e.Cause} }
