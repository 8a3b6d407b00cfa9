package logapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"sesameledge.dev/sesameledge/connstat"
)

// ErrAmbiguous marks an append that may or may not have taken effect.
var ErrAmbiguous = errors.New("the append may have taken effect")

// TruncatedError says that the requested records are no longer kept.
type TruncatedError struct {
	First uint64 // oldest offset that is kept
	Next  uint64 // offset of the next append
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
	traffic *connstat.Counter
}

// maxReplyBytes bounds a reply of the platform.
const maxReplyBytes = 64 << 20

// NewClient returns a client of the platform at base, an http or https URL. The timeout
// limits each request, beyond the wait that the request asks for.
func NewClient(base string, timeout time.Duration) *Client {
	traffic := new(connstat.Counter)
	transport := &http.Transport{DialContext: traffic.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}, traffic: traffic}
}

// WireBytes returns the bytes exchanged with the platform since New.
func (c *Client) WireBytes() uint64 { return c.traffic.Bytes() }

// Close closes idle connections. Further requests open new ones.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append appends one record under an identity. An error marked with ErrAmbiguous leaves
// open whether it took effect; the caller finds out by reading the stream. After any
// other error it has not taken effect.
func (c *Client) Append(ctx context.Context, stream, appendID string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// A body that cannot be rewound keeps the transport from sending the append twice.
	body := io.MultiReader(bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), body)
	if err != nil {
		return 0, errors.Wrap(err, "appending")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set(HeaderAppendID, appendID)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, appendError(errors.Wrapf(err, "appending to %s", stream))
	}
	defer closeBody(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		// A gateway answers so too when only the answer was lost.
		return 0, errors.Mark(errors.Newf("appending to %s: the platform answered %s", stream, resp.Status), ErrAmbiguous)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("appending to %s: the platform answered %s", stream, resp.Status)
	}
	var reply AppendReply
	if err := decode(resp.Body, &reply); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "appending to %s", stream), ErrAmbiguous)
	}
	return reply.Offset, nil
}

// appendError marks an error as ambiguous unless no connection was made.
func appendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return err
	}
	return errors.Mark(err, ErrAmbiguous)
}

// Read returns the records from an offset on, waiting up to wait for the first. The
// error is a *TruncatedError if the offset is no longer kept.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (*ReadReply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	url := fmt.Sprintf("%s?from=%d&wait_ms=%d", c.streamURL(stream), from, wait.Milliseconds())
	reply := new(ReadReply)
	status, err := c.get(ctx, url, reply)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", stream)
	}
	if status == http.StatusGone {
		return nil, &TruncatedError{First: reply.First, Next: reply.Next}
	}
	return reply, nil
}

// HostList is the platform's list of hosts with the tag that the platform gave it.
type HostList struct {
	HostsReply
	Tag string // entity tag; empty if the platform gives none
}

// Hosts returns the platform's lagging list of hosts, or nil if it is still the one with
// the given tag. Asking with a tag keeps an unchanged list from being sent again. The
// platform may hold the answer for up to wait until the list changes.
func (c *Client) Hosts(ctx context.Context, tag string, wait time.Duration) (*HostList, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	url := c.base + PathHosts
	if wait > 0 {
		url += fmt.Sprintf("?wait_ms=%d", wait.Milliseconds())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		list := &HostList{Tag: resp.Header.Get("ETag")}
		return list, errors.Wrap(decode(resp.Body, &list.HostsReply), "reading the host list")
	}
	return nil, errors.Newf("reading the host list: the platform answered %s", resp.Status)
}

// Register adds or renews a host in the platform's list.
func (c *Client) Register(ctx context.Context, h Host) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	body, err := json.Marshal(h)
	if err != nil {
		return errors.Wrap(err, "registering")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+PathHosts, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "registering")
	}
	req.Header.Set(HeaderPrefer, PreferMinimal)
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "registering")
	}
	defer closeBody(resp)
	if resp.StatusCode/100 != 2 {
		return errors.Newf("registering: the platform answered %s", resp.Status)
	}
	return nil
}

func (c *Client) streamURL(stream string) string {
	return c.base + strings.Replace(PathRecords, "{stream}", stream, 1)
}

// get decodes a reply of status 200 or 410 and fails on any other.
func (c *Client) get(ctx context.Context, url string, into any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, errors.Newf("the platform answered %s", resp.Status)
	}
	return resp.StatusCode, decode(resp.Body, into)
}

func decode(r io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(into)
}

// closeBody drains what is left, so that the connection can be used again.
func closeBody(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	_ = resp.Body.Close()
}
