// Package peer carries protobuf frames between controllers over TCP. Each controller dials
// every other one and sends on the connection that it dialled. A frame is preceded by its
// length in four bytes, and the receiver acknowledges it with one byte, so that a sender
// notices when nobody reads. Frames may be lost or repeated by their senders; the package
// promises neither delivery nor order across connections.
package peer

import (
	"bufio"
	"bytes"
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

	"fawncove/internal/edge/membudget"
	"fawncove/internal/peerpb"
	"fawncove/internal/protocost"
)

const (
	maxFrameBytes = 1 << 20
	dialTimeout   = 1 * time.Second
	ioTimeout     = 3 * time.Second
	// idleTimeout ends inbound connections that a dead peer left behind.
	idleTimeout = 15 * time.Second
	retryAfter  = 300 * time.Millisecond
	// ackTimeout is how long a frame may stay unacknowledged before the connection
	// counts as dead. A network cut that holds packets back can leave a connection that
	// accepts writes for ever while its other end is long closed.
	ackTimeout = 3 * time.Second
)

// ack is the byte that acknowledges a frame.
const ack = 0x06

// Write writes one frame.
func Write(w io.Writer, f *peerpb.Frame) error {
	b, err := proto.Marshal(f)
	if err != nil {
		return fmt.Errorf("peer frame: %w", err)
	}
	if len(b) > maxFrameBytes {
		return fmt.Errorf("peer frame: %d bytes", len(b))
	}
	b = append(binary.BigEndian.AppendUint32(make([]byte, 0, len(b)+4), uint32(len(b))), b...)
	_, err = w.Write(b)
	return err
}

// Read reads one frame. The memory that it takes grows with what has arrived, whatever length is
// announced.
func Read(r io.Reader) (*peerpb.Frame, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if _, err := cost(body); err != nil {
		return nil, err
	}
	return decode(body)
}

// readBody reads the encoded frame behind its length.
func readBody(r io.Reader) ([]byte, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrameBytes {
		return nil, errors.New("peer frame too large")
	}
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(n)); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// cost returns what decoding a frame may cost at most, in bytes of memory.
func cost(body []byte) (int, error) {
	cost, err := protocost.Cost(body, (*peerpb.Frame)(nil).ProtoReflect().Descriptor())
	if err != nil {
		return 0, fmt.Errorf("peer frame: %w", err)
	}
	return cost, nil
}

// decode decodes a frame whose cost is bounded.
func decode(body []byte) (*peerpb.Frame, error) {
	f := new(peerpb.Frame)
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, fmt.Errorf("peer frame: %w", err)
	}
	return f, nil
}

// Handler takes a frame that has arrived. It must call release once, when the frame is no longer
// needed.
type Handler func(f *peerpb.Frame, release func())

// Serve accepts connections from peers until ctx ends and passes each frame to handle. Frames
// take their memory from memory until they are released.
func Serve(ctx context.Context, l net.Listener, log *slog.Logger, memory *membudget.Budget, handle Handler) {
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
			if err := receive(ctx, conn, memory, handle); err != nil {
				log.Debug("peer connection ended", "err", err)
			}
		}()
	}
}

// receive reads and acknowledges the frames of one connection until it or ctx ends.
func receive(ctx context.Context, conn net.Conn, memory *membudget.Budget, handle Handler) error {
	r := bufio.NewReaderSize(conn, 2<<10)
	for ctx.Err() == nil {
		conn.SetReadDeadline(time.Now().Add(idleTimeout))
		body, err := readBody(r)
		if err != nil {
			return err
		}
		f, release, err := decodeWithin(ctx, memory, body)
		if err != nil {
			return err
		}
		conn.SetWriteDeadline(time.Now().Add(ioTimeout))
		if _, err := conn.Write([]byte{ack}); err != nil {
			release()
			return err
		}
		handle(f, release)
	}
	return nil
}

// decodeWithin decodes a frame when there is memory for it.
func decodeWithin(ctx context.Context, memory *membudget.Budget, body []byte) (f *peerpb.Frame, release func(), err error) {
	needed, err := cost(body)
	if err != nil {
		return nil, nil, err
	}
	waiting, cancel := context.WithTimeout(ctx, ioTimeout)
	defer cancel()
	if release, err = memory.Acquire(waiting, needed); err != nil {
		return nil, nil, fmt.Errorf("peer frame: %w", err)
	}
	if f, err = decode(body); err != nil {
		release()
		return nil, nil, err
	}
	return f, release, nil
}

// Link sends frames to one peer.
type Link struct {
	address string
	queue   chan *peerpb.Frame
}

// Dial returns a link to an address that connects, and reconnects, until ctx ends.
func Dial(ctx context.Context, address string) *Link {
	l := &Link{address: address, queue: make(chan *peerpb.Frame, 32)}
	go l.run(ctx)
	return l
}

// Send queues a frame. It is dropped when the queue is full: what matters is repeated, or
// reaches the other controllers through the state service.
func (l *Link) Send(f *peerpb.Frame) {
	select {
	case l.queue <- f:
	default:
	}
}

// connection is one that a link sends on.
type connection struct {
	net.Conn
	acks   atomic.Int64 // frames acknowledged
	closed atomic.Bool  // by the other end

	// Of the sender only.
	sent         int64
	lastAcks     int64     // acks when isDead was last called
	lastProgress time.Time // of the last acknowledgement, or since when one is due
}

// countAcks counts acknowledgements until the connection ends.
func (c *connection) countAcks() {
	var buffer [64]byte
	for {
		n, err := c.Read(buffer[:])
		c.acks.Add(int64(n))
		if err != nil {
			c.closed.Store(true)
			return
		}
	}
}

// isDead reports whether the connection is of no use any more.
func (c *connection) isDead(now time.Time) bool {
	if acks := c.acks.Load(); acks >= c.sent || acks > c.lastAcks {
		c.lastAcks, c.lastProgress = acks, now
	}
	return c.closed.Load() || now.Sub(c.lastProgress) > ackTimeout
}

// send writes a frame.
func (c *connection) send(f *peerpb.Frame) error {
	c.sent++
	c.SetWriteDeadline(time.Now().Add(ioTimeout))
	return Write(c, f)
}

// run sends the queued frames until ctx ends.
func (l *Link) run(ctx context.Context) {
	var conn *connection
	closeConn := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer closeConn()
	var retry time.Time // no connection is tried before then
	for {
		var frame *peerpb.Frame
		select {
		case <-ctx.Done():
			return
		case frame = <-l.queue:
		}
		now := time.Now()
		if conn != nil && conn.isDead(now) {
			closeConn()
		}
		if conn == nil {
			if now.Before(retry) {
				continue
			}
			if conn = l.connect(); conn == nil {
				retry = time.Now().Add(retryAfter)
				continue
			}
		}
		if err := conn.send(frame); err != nil {
			closeConn()
		}
	}
}

// connect dials the peer; nil if it cannot be reached.
func (l *Link) connect() *connection {
	c, err := net.DialTimeout("tcp", l.address, dialTimeout)
	if err != nil {
		return nil
	}
	conn := &connection{Conn: c, lastProgress: time.Now()}
	go conn.countAcks()
	return conn
}
