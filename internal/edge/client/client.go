// Package client calls HTTP services that speak MessagePack.
package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// Client calls one service, or many of one kind.
type Client struct {
	http           *http.Client
	maxAnswerBytes int64
	bodies         *membudget.Bodies
}

// ErrTooLarge reports an answer that is larger than it may be.
var ErrTooLarge = errors.New("answer too large")

// New returns a client that reads answers of up to most bytes, opens at most
// perHost connections to each host and keeps at most idle open without use; 0
// means no limit.
func New(perHost int, most int64, idle int) *Client {
	return &Client{maxAnswerBytes: most, bodies: membudget.NewBodies(0), http: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: 2 * time.Second, KeepAlive: -1}).DialContext,
			MaxConnsPerHost:     perHost,
			MaxIdleConnsPerHost: perHost,
			MaxIdleConns:        idle,
			IdleConnTimeout:     60 * time.Second,
			DisableCompression:  true,
			ReadBufferSize:      2 << 10,
			WriteBufferSize:     2 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Counter is told of the connections that a client makes.
type Counter interface {
	Opened() // one is being dialled
	Closed() // one is closed, or could not be made
}

// CountDials tells counter of all connections that are made from now on. It must
// be called before the first request.
func (c *Client) CountDials(counter Counter) {
	transport := c.http.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		counter.Opened()
		conn, err := dial(ctx, network, address)
		if err != nil {
			counter.Closed()
			return nil, err
		}
		return &countedConn{Conn: conn, closed: sync.OnceFunc(counter.Closed)}, nil
	}
}

// LimitMemory has answers take their memory from bodies. It must be called before the first
// request.
func (c *Client) LimitMemory(bodies *membudget.Bodies) { c.bodies = bodies }

// WithMaxAnswer returns a client that shares the connections and reads answers of up to most
// bytes.
func (c *Client) WithMaxAnswer(most int64) *Client {
	other := *c
	other.maxAnswerBytes = most
	return &other
}

// CloseIdle closes the connections that no request uses.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// countedConn is a connection whose counter is told when it is closed.
type countedConn struct {
	net.Conn
	closed func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	defer c.closed()
	return c.Conn.Close()
}

// Do sends in, if there is one, and decodes the answer into out when its
// status is in wanted. Status 0 comes with an error and means no answer: the
// request may have been executed, or may yet be.
func (c *Client) Do(ctx context.Context, method, url string, in, out any, wanted ...int) (int, error) {
	var body io.Reader
	if in != nil {
		b, err := wire.Encode(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return 0, fmt.Errorf("request %s: %w", url, err)
	}
	if in != nil {
		req.Header.Set("Content-Type", wire.ContentType)
	}
	// A request is never sent twice by the transport on its own: the caller
	// must know that a request without an answer may still be executed.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, url, err)
	}
	defer resp.Body.Close()
	if !slices.Contains(wanted, resp.StatusCode) {
		out = nil
	}
	if err := c.readAnswer(ctx, resp, out); err != nil {
		return 0, fmt.Errorf("%s %s: %w", method, url, err)
	}
	return resp.StatusCode, nil
}

// readAnswer reads the body of a response, and decodes it unless out is nil.
func (c *Client) readAnswer(ctx context.Context, resp *http.Response, out any) error {
	limited := io.LimitReader(resp.Body, c.maxAnswerBytes+1)
	body, release, err := c.bodies.Read(ctx, limited, resp.ContentLength, c.maxAnswerBytes)
	if err != nil {
		return err
	}
	defer release()
	if int64(len(body)) > c.maxAnswerBytes {
		return fmt.Errorf("%w: over %d bytes", ErrTooLarge, c.maxAnswerBytes)
	}
	if out == nil {
		return nil
	}
	free, err := c.bodies.ToDecode(ctx, body)
	if err != nil {
		return err
	}
	defer free()
	return wire.Decode(body, out)
}
