// Package client implements kv.Store over the HTTP protocol of the platform's store.
package client

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"fuchsiavane.org/node/kv"
	"fuchsiavane.org/node/oneshot"
)

// callTimeout bounds a call other than a watch.
const callTimeout = 5 * time.Second

// watchMargin is added to a watch's wait before the call times out.
const watchMargin = 5 * time.Second

// maxResponseBytes bounds a response body, in bytes.
const maxResponseBytes = 64 << 20

// maxHeaderBytes bounds the header of a response, in bytes.
const maxHeaderBytes = 64 << 10

// Client is a kv.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base *sling.Sling
	http *http.Client
}

var _ kv.Store = (*Client)(nil)

// New returns a Client for the store at a base URL.
func New(baseURL string) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" {
		return nil, errors.Errorf("platform address %q is not a base URL", baseURL)
	}
	return &Client{
		base: sling.New().Base(strings.TrimSuffix(baseURL, "/") + "/"),
		http: oneshot.NewClient(0, oneshot.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: maxResponseBytes}),
	}, nil
}

type putParams struct {
	IfRevision uint64 `url:"if-revision"`
	Lease      string `url:"lease,omitempty"`
}

type listParams struct {
	Prefix string `url:"prefix"`
}

type watchParams struct {
	Prefix    string `url:"prefix"`
	After     uint64 `url:"after"`
	TimeoutMs int64  `url:"timeout-ms"`
}

// entryBody is a key in a response; Deleted is set only in events.
type entryBody struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

// reply holds the fields of all JSON responses.
type reply struct {
	Revision uint64      `json:"revision"`
	Entries  []entryBody `json:"entries"`
	Events   []entryBody `json:"events"`
	ID       string      `json:"id"`
}

// Get implements kv.Store.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	response, body, err := c.do(ctx, c.base.New().Get("v1/kv/"+escapeKey(key)), callTimeout)
	if err != nil {
		return kv.Entry{}, err
	}
	revision, err := strconv.ParseUint(response.Header.Get("Revision"), 10, 64)
	if err != nil {
		return kv.Entry{}, errors.Wrap(err, "platform: header Revision")
	}
	return kv.Entry{Key: key, Value: body, Revision: revision}, nil
}

// Put implements kv.Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifRevision uint64, lease string) (uint64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	request := c.base.New().Put("v1/kv/" + escapeKey(key)).
		QueryStruct(putParams{ifRevision, lease}).
		Body(strings.NewReader(string(value)))
	r, err := c.json(ctx, request, callTimeout)
	if err == nil && r.Revision == 0 {
		return 0, errors.New("platform: the response has no revision, the write may not have been done")
	}
	return r.Revision, err
}

// Delete implements kv.Store.
func (c *Client) Delete(ctx context.Context, key string, ifRevision uint64) error {
	request := c.base.New().Delete("v1/kv/" + escapeKey(key)).QueryStruct(putParams{IfRevision: ifRevision})
	_, _, err := c.do(ctx, request, callTimeout)
	return err
}

// List implements kv.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, uint64, error) {
	r, err := c.json(ctx, c.base.New().Get("v1/list").QueryStruct(listParams{prefix}), callTimeout)
	if err != nil {
		return nil, 0, err
	}
	entries := make([]kv.Entry, len(r.Entries))
	for i, e := range r.Entries {
		if entries[i], err = e.entry(); err != nil {
			return nil, 0, err
		}
	}
	return entries, r.Revision, nil
}

// Watch implements kv.Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]kv.Change, uint64, error) {
	request := c.base.New().Get("v1/watch").QueryStruct(watchParams{prefix, after, wait.Milliseconds()})
	r, err := c.json(ctx, request, wait+watchMargin)
	if err != nil {
		return nil, 0, err
	}
	changes := make([]kv.Change, len(r.Events))
	for i, e := range r.Events {
		entry, err := e.entry()
		if err != nil {
			return nil, 0, err
		}
		changes[i] = kv.Change{Entry: entry, Deleted: e.Deleted}
	}
	return changes, r.Revision, nil
}

// grantBody is the body of a request for a lease.
type grantBody struct {
	TTL int64 `json:"ttl_ms"`
}

// Grant implements kv.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	r, err := c.json(ctx, c.base.New().Post("v1/leases").BodyJSON(grantBody{ttl.Milliseconds()}), callTimeout)
	if err == nil && r.ID == "" {
		return "", errors.New("platform: the response has no lease")
	}
	return r.ID, err
}

// KeepAlive implements kv.Store.
func (c *Client) KeepAlive(ctx context.Context, lease string) error {
	_, _, err := c.do(ctx, c.base.New().Post("v1/leases/"+url.PathEscape(lease)+"/keepalive"), callTimeout)
	return leaseError(err)
}

// Revoke implements kv.Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	_, _, err := c.do(ctx, c.base.New().Delete("v1/leases/"+url.PathEscape(lease)), callTimeout)
	return leaseError(err)
}

// leaseError turns ErrNotFound of a lease call into ErrLeaseNotFound.
func leaseError(err error) error {
	if errors.Is(err, kv.ErrNotFound) {
		return kv.ErrLeaseNotFound
	}
	return err
}

// json sends a request and decodes the JSON response.
func (c *Client) json(ctx context.Context, s *sling.Sling, timeout time.Duration) (reply, error) {
	_, body, err := c.do(ctx, s, timeout)
	if err != nil {
		return reply{}, err
	}
	var r reply
	return r, errors.Wrap(json.Unmarshal(body, &r), "platform: response")
}

// do sends a request and returns the response with its body read.
func (c *Client) do(ctx context.Context, s *sling.Sling, timeout time.Duration) (*http.Response, []byte, error) {
	request, err := s.Request()
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform: request")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, errors.Wrap(err, "platform: response")
	}
	return response, body, statusError(response.StatusCode)
}

// statusError returns the error that a response status stands for, or nil if it is
// below 300.
func statusError(status int) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return kv.ErrNotFound
	case status == http.StatusConflict:
		return kv.ErrConflict
	case status == http.StatusGone:
		return kv.ErrLeaseNotFound
	case status == http.StatusRequestEntityTooLarge:
		return kv.ErrTooLarge
	case status == http.StatusServiceUnavailable:
		return kv.ErrUnavailable
	}
	return errors.Errorf("platform: status %d", status)
}

// entry returns e with its value decoded from base64.
func (e entryBody) entry() (kv.Entry, error) {
	value, err := base64.StdEncoding.DecodeString(e.Value)
	if err != nil {
		return kv.Entry{}, errors.Wrapf(err, "platform: value of %s", e.Key)
	}
	return kv.Entry{Key: e.Key, Value: value, Revision: e.Revision}, nil
}

// escapeKey escapes each segment of a key and keeps the slashes.
func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return strings.Join(segments, "/")
}
