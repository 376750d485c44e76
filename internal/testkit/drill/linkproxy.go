package drill

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// linkProxy forwards the connections of one controller to another over loopback, so that a
// drill can cut the link between them. While it is cut nothing passes in either direction,
// and connections stay open, as in a network that drops packets: what was sent arrives when
// the cut is over. Unlike there, connections are accepted meanwhile.
type linkProxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	cutUntil time.Time
}

// newLinkProxy listens for connections to target and forwards them until ctx ends.
func newLinkProxy(ctx context.Context, target string) (*linkProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	p := &linkProxy{listener: listener, target: target}
	context.AfterFunc(ctx, func() { listener.Close() })
	go p.serve(ctx)
	return p, nil
}

// address returns where to connect to.
func (p *linkProxy) address() string { return p.listener.Addr().String() }

// cut stops the forwarding until a time.
func (p *linkProxy) cut(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutUntil = until
}

// waitUncut waits until the link is not cut, and reports whether it is before ctx ends.
func (p *linkProxy) waitUncut(ctx context.Context) bool {
	for {
		p.mu.Lock()
		remaining := time.Until(p.cutUntil)
		p.mu.Unlock()
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return false
		}
	}
}

// serve accepts connections until the listener is closed.
func (p *linkProxy) serve(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(ctx, conn)
	}
}

// forward connects to the target and copies both ways until either side ends.
func (p *linkProxy) forward(ctx context.Context, from net.Conn) {
	defer from.Close()
	if !p.waitUncut(ctx) {
		return
	}
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return // the controller sees a connection that ends
	}
	defer to.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		p.copy(ctx, from, to)
	}()
	go func() {
		defer cancel()
		p.copy(ctx, to, from)
	}()
	<-ctx.Done()
}

// copy copies what comes from one connection to the other one, and holds it back while the
// link is cut.
func (p *linkProxy) copy(ctx context.Context, to io.Writer, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		if !p.waitUncut(ctx) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil || readErr != nil {
			return
		}
	}
}
