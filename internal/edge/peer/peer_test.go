package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"fawncove/internal/peerpb"
)

// TestLink sends frames over a loopback socket, with nonsense from another
// connection in between.
func TestLink(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan *peerpb.Frame, 8)
	go Serve(ctx, l, slog.New(slog.NewTextHandler(io.Discard, nil)), func(f *peerpb.Frame) { got <- f })
	bad, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer bad.Close()
	if _, err := bad.Write([]byte("\xff\xff\xff\xffnonsense")); err != nil {
		t.Fatal(err)
	}
	link := Dial(ctx, l.Addr().String())
	for i := range uint64(3) {
		link.Send(&peerpb.Frame{From: "n1", Incarnation: i, Renewal: &peerpb.Renewal{Node: "n1", Waiting: map[string]int32{"s4": 2}}})
	}
	for i := range uint64(3) {
		select {
		case f := <-got:
			if f.GetFrom() != "n1" || f.GetIncarnation() != i || f.GetRenewal().GetWaiting()["s4"] != 2 {
				t.Errorf("frame %d: %v", i, f)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("no frame")
		}
	}
}

// TestDeadConnection is what a cut that held packets back can leave behind: a
// connection that takes writes while nobody reads. It must not be written to
// for ever.
func TestDeadConnection(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	start := time.Now()
	o := &connection{Conn: here, lastProgress: start}
	if o.sent = 1; o.isDead(start.Add(ackTimeout)) {
		t.Error("given up before an answer can be expected")
	}
	if o.sent = 2; !o.isDead(start.Add(ackTimeout + time.Millisecond)) {
		t.Error("frames without an answer, and the connection is kept")
	}
	if o.acks.Store(1); o.isDead(start.Add(2 * ackTimeout)) {
		t.Error("an answer came, and the connection is given up")
	}
	if o.acks.Store(2); o.isDead(start.Add(time.Hour)) {
		t.Error("given up though all is answered")
	}
	if there.Close(); !func() bool { o.countAcks(); return o.isDead(start.Add(time.Hour)) }() {
		t.Error("the other end has closed it, and it is kept")
	}
}

func TestReadRefusesLargeFrames(t *testing.T) {
	if _, err := Read(bytes.NewReader([]byte{0x7f, 0, 0, 0, 1})); err == nil {
		t.Error("a frame of two gigabytes is accepted")
	}
}
