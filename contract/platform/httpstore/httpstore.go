// Package httpstore is a client of the platform's store over HTTP.
package httpstore

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/platform"
	"cicadarouter/internal/nesting"
	"cicadarouter/internal/responsehead"
	"cicadarouter/record"
)

// DomainHeader carries the failure domain of the process that makes a call.
const DomainHeader = "X-Failure-Domain"

// callTimeout limits every call except Watch. The store normally responds within
// milliseconds.
const callTimeout = 2 * time.Second

// watchMargin is the time allowed for a watch in addition to its wait.
const watchMargin = time.Second

const (
	// idleConnTimeout is how long an idle connection is kept.
	idleConnTimeout = 90 * time.Second
	// maxHeadBytes is the maximum size of the head of a response, in bytes.
	maxHeadBytes = 16 << 10
	// maxResponseBytes is the maximum size of a response, in bytes. A list has all records in one.
	maxResponseBytes = 64 << 20
)

// errResponseTooLarge is returned for a response with more than maxResponseBytes.
var errResponseTooLarge = eris.Errorf("response of the store has more than %d bytes", maxResponseBytes)

// StatusError reports a response status that the protocol does not define.
type StatusError struct {
	Method, Path string
	Status       int
	Body         string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("store responded to %s %s with status %d: %s", e.Method, e.Path, e.Status, e.Body)
}

// Is makes server errors (5xx) match platform.ErrUnavailable.
func (e *StatusError) Is(target error) bool {
	return target == platform.ErrUnavailable && e.Status >= http.StatusInternalServerError
}

// Client is a platform.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base   string
	domain string
	http   *http.Client
}

var _ platform.Store = (*Client)(nil)

// New returns a client for the store at address, an IP address and port. domain
// is the failure domain of this process.
func New(address, domain string) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{}).DialContext, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: maxHeadBytes}
	return &Client{base: "http://" + address, domain: domain, http: &http.Client{Transport: responsehead.Transport{RoundTripper: transport}}}
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, ref record.Ref) (platform.Object, error) {
	var object platform.Object
	err := c.call(ctx, callTimeout, http.MethodGet, recordPath(ref), nil, &object, ref, 0)
	return object, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context) (platform.Snapshot, error) {
	var snapshot platform.Snapshot
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/records", nil, &snapshot, record.Ref{}, 0)
	return snapshot, err
}

// Update implements platform.Store.
func (c *Client) Update(ctx context.Context, envelope record.Envelope, version uint64) (uint64, error) {
	var object platform.Object
	ref := envelope.Ref()
	err := c.call(ctx, callTimeout, http.MethodPut, versionedPath(ref, version), envelope, &object, ref, version)
	return object.Version, err
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, ref record.Ref, version uint64) error {
	return c.call(ctx, callTimeout, http.MethodDelete, versionedPath(ref, version), nil, nil, ref, version)
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, revision uint64, wait time.Duration) (platform.Snapshot, error) {
	var snapshot platform.Snapshot
	path := fmt.Sprintf("/v1/watch?revision=%d&wait=%d", revision, wait.Milliseconds())
	err := c.call(ctx, wait+watchMargin, http.MethodGet, path, nil, &snapshot, record.Ref{}, 0)
	return snapshot, err
}

// Hosts implements platform.Store.
func (c *Client) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := c.call(ctx, callTimeout, http.MethodGet, "/v1/hosts", nil, &hosts, record.Ref{}, 0)
	return hosts, err
}

func recordPath(ref record.Ref) string {
	return "/v1/records/" + url.PathEscape(string(ref.Kind)) + "/" + url.PathEscape(ref.Name)
}

func versionedPath(ref record.Ref, version uint64) string {
	return recordPath(ref) + "?version=" + strconv.FormatUint(version, 10)
}

// call sends one request. It returns an error that matches ErrUnavailable if no
// complete response arrives, because the store may have executed the request.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, in, out any, ref record.Ref, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := c.request(ctx, method, path, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return unavailableError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errResponseTooLarge
	}
	if err != nil {
		return unavailableError(err)
	}
	return decodeResponse(response.StatusCode, body, out, request, ref, version)
}

func (c *Client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, eris.Wrap(err, "encoding a call to the store")
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, eris.Wrap(err, "building a call to the store")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(DomainHeader, c.domain)
	return request, nil
}

func unavailableError(cause error) error {
	return &UnavailableError{Cause: cause}
}

// UnavailableError wraps the error that prevented a valid response of the store.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string {
	return platform.ErrUnavailable.Error() + ": " + e.Cause.Error()
}

// Unwrap makes the error match platform.ErrUnavailable and its cause.
func (e *UnavailableError) Unwrap() []error { return []error{platform.ErrUnavailable, e.Cause} }

func decodeResponse(status int, body []byte, out any, request *http.Request, ref record.Ref, version uint64) error {
	switch status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		return unmarshalBody(body, out)
	case http.StatusNotFound:
		return &platform.NotFoundError{Ref: ref}
	case http.StatusGone:
		return platform.ErrCompacted
	case http.StatusConflict:
		conflict := &platform.ConflictError{Ref: ref, Expected: version}
		if err := unmarshalBody(body, &conflict.Current); err != nil {
			return err
		}
		return conflict
	}
	return &StatusError{Method: request.Method, Path: request.URL.Path, Status: status, Body: string(body)}
}

// unmarshalBody decodes the body of a response. A spec that is nested too deeply is replaced by one that no
// decoder of records accepts.
func unmarshalBody(body []byte, into any) error {
	if err := nesting.Unmarshal(body, into); err != nil {
		return unavailableError(err)
	}
	switch found := into.(type) {
	case *platform.Object:
		found.Spec = nesting.Readable(found.Spec)
	case *platform.Snapshot:
		for i := range found.Objects {
			found.Objects[i].Spec = nesting.Readable(found.Objects[i].Spec)
		}
	}
	return nil
}
