package peer

import (
	"bytes"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"fawncove/internal/edge/membudget"
	"fawncove/internal/peerpb"
)

// TestMalformedConnectionKeepsLinkOpen guards against a malformed frame of one connection
// that stops another: frames are sent over a loopback socket while another connection sends
// bytes that are no frame.
func TestMalformedConnectionKeepsLinkOpen(t *testing.T) {
	ctx := t.Context()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	frames := make(chan *peerpb.Frame, 8)
	go Serve(ctx, listener, slog.New(slog.DiscardHandler), membudget.New(0), func(f *peerpb.Frame, release func()) {
		frames <- f
		release()
	})
	malformed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { malformed.Close() })
	if _, err := malformed.Write([]byte("\xff\xff\xff\xffnonsense")); err != nil {
		t.Fatal(err)
	}
	link := Dial(ctx, listener.Addr().String())
	for i := range uint64(3) {
		link.Send(&peerpb.Frame{From: "n1", Incarnation: i, Renewal: &peerpb.Renewal{Node: "n1", Waiting: map[string]int32{"s4": 2}}})
	}
	for i := range uint64(3) {
		select {
		case f := <-frames:
			if f.GetFrom() != "n1" || f.GetIncarnation() != i || f.GetRenewal().GetWaiting()["s4"] != 2 {
				t.Errorf("frame %d = %v, want incarnation %d from n1 with 2 waiting on s4", i, f, i)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("frame %d: not received, want it within 5 s", i)
		}
	}
}

// TestUnacknowledgedConnectionIsDead guards against writing forever to a connection that
// nobody reads, as a network partition that delays packets can leave behind.
func TestUnacknowledgedConnectionIsDead(t *testing.T) {
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	start := time.Now()
	conn := &connection{Conn: local, lastProgress: start}
	if conn.sent = 1; conn.isDead(start.Add(ackTimeout)) {
		t.Error("isDead at the acknowledgement timeout = true, want false")
	}
	if conn.sent = 2; !conn.isDead(start.Add(ackTimeout + time.Millisecond)) {
		t.Error("isDead with an overdue acknowledgement = false, want true")
	}
	if conn.acks.Store(1); conn.isDead(start.Add(2 * ackTimeout)) {
		t.Error("isDead with one frame acknowledged = true, want false")
	}
	if conn.acks.Store(2); conn.isDead(start.Add(time.Hour)) {
		t.Error("isDead with all frames acknowledged = true, want false")
	}
	if remote.Close(); !func() bool { conn.countAcks(); return conn.isDead(start.Add(time.Hour)) }() {
		t.Error("isDead after the remote end has closed = false, want true")
	}
}

// TestReadRefusesLargeFrames guards against allocating memory for a frame of any claimed size.
func TestReadRefusesLargeFrames(t *testing.T) {
	if _, err := Read(bytes.NewReader([]byte{0x7f, 0, 0, 0, 1})); err == nil {
		t.Error("Read of a frame of two gigabytes: error = nil, want an error")
	}
}

// TestAnnouncedFramesTakeNoMemory guards against connections that announce a frame of the largest
// size and send nothing of it: four bytes took a megabyte each.
func TestAnnouncedFramesTakeNoMemory(t *testing.T) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const connections = 100
	for range connections {
		if _, err := Read(bytes.NewReader([]byte{0, 0x0f, 0xff, 0xff, 1})); err == nil {
			t.Fatal("Read of a frame that is not there: error = nil, want an error")
		}
	}
	runtime.ReadMemStats(&after)
	if took := (after.TotalAlloc - before.TotalAlloc) / connections; took > 16<<10 {
		t.Errorf("an announced frame takes %d bytes of memory, want 16 KiB at most", took)
	}
}

// TestFramesAtOnceStayWithinMemory guards against frames that are decoded faster than they are
// handled: the next one waits until there is memory for it.
func TestFramesAtOnceStayWithinMemory(t *testing.T) {
	ctx := t.Context()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	releases := make(chan func(), 8)
	go Serve(ctx, listener, slog.New(slog.DiscardHandler), membudget.New(1), func(_ *peerpb.Frame, release func()) { releases <- release })
	for range 2 {
		link := Dial(ctx, listener.Addr().String())
		link.Send(&peerpb.Frame{From: "n1", Incarnation: 1})
	}
	first := <-releases
	select {
	case <-releases:
		t.Fatal("a second frame is decoded though the first takes all memory")
	case <-time.After(100 * time.Millisecond):
	}
	first()
	select {
	case release := <-releases:
		release()
	case <-time.After(2 * time.Second):
		t.Error("the second frame is not decoded when the first is released")
	}
}
