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

// ErrAmbiguous marks the error of an append that may or may not have taken effect.
var ErrAmbiguous = errors.New("the append may have taken effect")

// TruncatedError is the error of a read from an offset whose record is no longer kept.
type TruncatedError struct {
	First uint64 // oldest offset that is kept
	Next  uint64 // offset of the next append
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer kept", e.First)
}

// Client is a client of the platform over HTTP. It is safe for concurrent use.
type Client struct {
	base      string
	timeout   time.Duration
	http      *http.Client
	wireBytes *connstat.Counter
}

// maxReplyBytes limits how much of a reply of the platform is read.
const maxReplyBytes = 64 << 20

// NewClient returns a client of the platform at base, an http or https URL. The timeout
// limits each request; the wait that a request asks for is added to it.
func NewClient(base string, timeout time.Duration) *Client {
	wireBytes := new(connstat.Counter)
	transport := &http.Transport{DialContext: wireBytes.Dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	return &Client{base: strings.TrimSuffix(base, "/"), timeout: timeout, http: &http.Client{Transport: transport}, wireBytes: wireBytes}
}

// WireBytes returns the number of bytes sent to and received from the platform since NewClient.
func (c *Client) WireBytes() uint64 { return c.wireBytes.Bytes() }

// Close closes idle connections. Later requests open new ones.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append appends one record to a stream and returns its offset. The platform stores appendID with the
// record. After an error marked with ErrAmbiguous the append may have taken effect; the caller finds out by
// reading the stream for appendID. After any other error it has not taken effect.
func (c *Client) Append(ctx context.Context, stream, appendID string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The transport cannot rewind a MultiReader, so it cannot send the append twice.
	body := io.MultiReader(bytes.NewReader(data))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.streamURL(stream), body)
	if err != nil {
		return 0, errors.Wrap(err, "appending")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set(HeaderAppendID, appendID)
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, markAmbiguous(errors.Wrapf(err, "appending to %s", stream))
	}
	defer drainAndClose(resp)
	if resp.StatusCode >= http.StatusInternalServerError {
		// A gateway also answers with such a status if the append took effect and only its answer was lost.
		return 0, errors.Mark(errors.Newf("appending to %s: the platform answered %s", stream, resp.Status), ErrAmbiguous)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("appending to %s: the platform answered %s", stream, resp.Status)
	}
	var reply AppendReply
	if err := decodeReply(resp.Body, &reply); err != nil {
		return 0, errors.Mark(errors.Wrapf(err, "appending to %s", stream), ErrAmbiguous)
	}
	return reply.Offset, nil
}

// markAmbiguous marks the error of a request with ErrAmbiguous, unless the connection could not be opened.
func markAmbiguous(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return err
	}
	return errors.Mark(err, ErrAmbiguous)
}

// Read returns the records of a stream from offset from on. If there is none yet, it waits for up to wait.
// The error is a *TruncatedError if the record at that offset is no longer kept.
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

// HostList is the platform's list of hosts with the entity tag of its version.
type HostList struct {
	HostListReply
	Tag string // entity tag; empty if the platform gives none
}

// Hosts returns the platform's list of hosts, which may lag behind their real state. It returns nil and no
// error if the list still has the given tag, so that an unchanged list is not sent again. The platform may
// hold the answer for up to wait until the list changes.
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
	defer drainAndClose(resp)
	switch resp.StatusCode {
	case http.StatusNotModified:
		return nil, nil
	case http.StatusOK:
		list := &HostList{Tag: resp.Header.Get("ETag")}
		return list, errors.Wrap(decodeReply(resp.Body, &list.HostListReply), "reading the host list")
	}
	return nil, errors.Newf("reading the host list: the platform answered %s", resp.Status)
}

// Register adds a host to the platform's list or renews its entry.
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
	defer drainAndClose(resp)
	if resp.StatusCode/100 != 2 {
		return errors.Newf("registering: the platform answered %s", resp.Status)
	}
	return nil
}

// streamURL returns the URL of the records of a stream.
func (c *Client) streamURL(stream string) string {
	return c.base + strings.Replace(PathRecords, "{stream}", stream, 1)
}

// get sends a GET request and decodes a reply of status 200 or 410 into target. It returns the status, or 0
// if there was no answer; any other status is an error.
func (c *Client) get(ctx context.Context, url string, target any) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return resp.StatusCode, errors.Newf("the platform answered %s", resp.Status)
	}
	return resp.StatusCode, decodeReply(resp.Body, target)
}

// decodeReply decodes a JSON reply of at most maxReplyBytes.
func decodeReply(r io.Reader, target any) error {
	return json.NewDecoder(io.LimitReader(r, maxReplyBytes)).Decode(target)
}

// drainAndClose reads up to 64 KiB of the rest of the body, so that the connection can be reused, and closes
// it.
func drainAndClose(resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
	_ = resp.Body.Close()
}
