package drill

import (
	"io"
	"net"
	"testing"
	"time"
)

// echo answers each connection with what it sends, and returns its address.
func echo(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn) // until the other side ends
			}()
		}
	}()
	return listener.Addr().String()
}

// TestLinkProxyHoldsBackDuringACut: bytes pass before a cut; what is sent during one, on an
// open connection or on a new one, arrives unchanged and not before its end.
func TestLinkProxyHoldsBackDuringACut(t *testing.T) {
	const cut = 300 * time.Millisecond
	proxy, err := newLinkProxy(t.Context(), echo(t))
	if err != nil {
		t.Fatal(err)
	}
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", proxy.address())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn
	}
	send := func(conn net.Conn, text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
	}
	expect := func(conn net.Conn, text string) {
		got := make([]byte, len(text))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != text {
			t.Errorf("%q came back as %q, %v", text, got, err)
		}
	}
	before := dial()
	send(before, "before")
	expect(before, "before")

	end := time.Now().Add(cut)
	proxy.cut(end)
	during := dial()
	send(before, "held")
	send(during, "new")
	expect(before, "held")
	expect(during, "new")
	if early := time.Until(end); early > 0 {
		t.Errorf("bytes passed %v before the end of the cut", early)
	}
}

// TestLinkProxyEndsWithItsSides: when one side closes its connection the other side's ends.
func TestLinkProxyEndsWithItsSides(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	proxy, err := newLinkProxy(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	dialled, err := net.Dial("tcp", proxy.address())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	dialled.Close()
	accepted.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := accepted.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("read %v, want the end of the connection", err)
	}
}
