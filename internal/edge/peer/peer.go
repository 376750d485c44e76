// Package peer carries protobuf frames between controllers over TCP. Each
// controller dials every other one and sends on the connection it dialled;
// frames are preceded by their length in four bytes. The receiver answers
// each frame with one byte, so that a sender notices when nobody reads.
package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/peerpb"
)

const (
	maxFrame    = 1 << 20
	dialTimeout = 1 * time.Second
	ioTimeout   = 3 * time.Second
	// idleTimeout ends inbound connections that a dead peer left behind.
	idleTimeout = 15 * time.Second
	retryAfter  = 300 * time.Millisecond
	// ackTimeout is how long a frame may stay unanswered before the connection
	// counts as dead. A cut that holds packets back can leave a connection
	// that takes writes for ever while its other end is long closed.
	ackTimeout = 3 * time.Second
)

// ack is what the receiver answers each frame with.
const ack = 0x06

// Write writes one frame.
func Write(w io.Writer, f *peerpb.Frame) error {
	b, err := proto.Marshal(f)
	if err != nil {
		return fmt.Errorf("peer frame: %w", err)
	}
	if len(b) > maxFrame {
		return fmt.Errorf("peer frame: %d bytes", len(b))
	}
	b = append(binary.BigEndian.AppendUint32(make([]byte, 0, len(b)+4), uint32(len(b))), b...)
	_, err = w.Write(b)
	return err
}

// Read reads one frame.
func Read(r io.Reader) (*peerpb.Frame, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return nil, errors.New("peer frame too large")
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	f := new(peerpb.Frame)
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, fmt.Errorf("peer frame: %w", err)
	}
	return f, nil
}

// Serve accepts connections from peers until ctx ends and hands each frame on.
func Serve(ctx context.Context, l net.Listener, log *slog.Logger, handle func(*peerpb.Frame)) {
	context.AfterFunc(ctx, func() { l.Close() })
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			log.Error("peer accept", "err", err)
			select {
			case <-time.After(retryAfter):
				continue
			case <-ctx.Done():
				return
			}
		}
		go func() {
			defer conn.Close()
			r := bufio.NewReaderSize(conn, 2<<10)
			for ctx.Err() == nil {
				conn.SetReadDeadline(time.Now().Add(idleTimeout))
				f, err := Read(r)
				if err != nil {
					log.Debug("peer connection ended", "err", err)
					return
				}
				conn.SetWriteDeadline(time.Now().Add(ioTimeout))
				if _, err := conn.Write([]byte{ack}); err != nil {
					log.Debug("peer connection ended", "err", err)
					return
				}
				handle(f)
			}
		}()
	}
}

// Link sends frames to one peer.
type Link struct {
	addr  string
	queue chan *peerpb.Frame
}

// Dial returns a link to addr that connects, and reconnects, until ctx ends.
func Dial(ctx context.Context, addr string) *Link {
	l := &Link{addr: addr, queue: make(chan *peerpb.Frame, 32)}
	go l.run(ctx)
	return l
}

// Send queues a frame. When the peer cannot take it, it is dropped: whatever
// matters is repeated, or reaches the others through the state service.
func (l *Link) Send(f *peerpb.Frame) {
	select {
	case l.queue <- f:
	default:
	}
}

// outbound is the connection that a link sends on.
type outbound struct {
	net.Conn
	acked atomic.Int64 // frames answered
	ended atomic.Bool  // the other end has closed it
	sent  int64
	seen  int64     // answers when it was last looked at
	since time.Time // of the last answer, or since when any is owed
}

// listen counts answers until the connection ends.
func (o *outbound) listen() {
	var b [64]byte
	for {
		n, err := o.Read(b[:])
		o.acked.Add(int64(n))
		if err != nil {
			o.ended.Store(true)
			return
		}
	}
}

// dead tells whether the connection is of no use any more.
func (o *outbound) dead(now time.Time) bool {
	if acked := o.acked.Load(); acked >= o.sent || acked > o.seen {
		o.seen, o.since = acked, now
	}
	return o.ended.Load() || now.Sub(o.since) > ackTimeout
}

func (l *Link) run(ctx context.Context) {
	var conn *outbound
	drop := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer drop()
	var retry time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			now := time.Now()
			if conn != nil && conn.dead(now) {
				drop()
			}
			if conn == nil {
				if now.Before(retry) {
					continue
				}
				c, err := net.DialTimeout("tcp", l.addr, dialTimeout)
				if err != nil {
					retry = time.Now().Add(retryAfter)
					continue
				}
				conn = &outbound{Conn: c, since: time.Now()}
				go conn.listen()
			}
			conn.sent++
			conn.SetWriteDeadline(time.Now().Add(ioTimeout))
			if err := Write(conn, f); err != nil {
				drop()
			}
		}
	}
}
