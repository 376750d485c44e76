package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fawncove/internal/edge/client"
)

// fakeConn is a connection that only tells whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// open opens connections in a state, one second after the other.
func open(s *Sockets, number int, state http.ConnState) []*fakeConn {
	var conns []*fakeConn
	for range number {
		c := &fakeConn{}
		s.Track(c, http.StateNew)
		s.Track(c, http.StateActive)
		if state == http.StateIdle {
			s.Track(c, http.StateIdle)
		}
		conns = append(conns, c)
		time.Sleep(time.Second)
	}
	return conns
}

func closedOf(conns []*fakeConn) int {
	n := 0
	for _, c := range conns {
		if c.closed {
			n++
		}
	}
	return n
}

// TestStaleConnectionsAreClosedFirst: below the limit nothing is closed; near it
// the stale connections are, down to the lower mark, and the direct ones stay.
func TestStaleConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := 0
		s := newSockets(100, func() { direct++ })
		stale := open(s, 40, http.StateIdle)
		time.Sleep(staleAfter)
		fresh := open(s, 50, http.StateActive)
		if n := closedOf(stale); n != 0 || s.above(closeIdleAbove) {
			t.Fatalf("90 connections of 100: %d closed", n)
		}
		fresh = append(fresh, open(s, 1, http.StateActive)...)
		if n := closedOf(stale); n != 11 || !stale[0].closed || stale[39].closed {
			t.Errorf("91 connections of 100: %d stale ones closed, want 11, the longest idle first", n)
		}
		if closedOf(fresh) != 0 || direct != 0 {
			t.Errorf("%d in use closed, the direct ones %d times", closedOf(fresh), direct)
		}
		if got := s.counts(); got.open != 80 || got.stale != 29 || got.closedIdle != 11 {
			t.Errorf("counts: %+v", got)
		}
	})
}

// TestIdleConnectionsMakeRoom: with none stale the idle direct connections are
// closed first, then others, and only as many as there have to be.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	for _, c := range []struct {
		name                 string
		directIdle           bool
		wantDirect, wantIdle int
	}{
		{"direct connections idle", true, 0, 0},
		{"direct connections in use", false, 60, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var s *Sockets
				s = newSockets(100, func() {
					for c.directIdle && s.direct > 0 {
						s.Closed()
					}
				})
				for range 60 {
					s.Opened()
				}
				open(s, 10, http.StateActive)
				idle := open(s, 20, http.StateIdle)
				if got := s.counts(); got.direct != 60 || closedOf(idle) != 0 {
					t.Fatalf("90 of 100: %+v, %d idle ones closed", got, closedOf(idle))
				}
				open(s, 2, http.StateActive)
				if got := s.counts(); got.direct != c.wantDirect || closedOf(idle) != c.wantIdle {
					t.Errorf("92 of 100: %+v, %d idle ones closed, want %d direct ones and %d closed", got, closedOf(idle), c.wantDirect, c.wantIdle)
				}
			})
		})
	}
}

// TestFewWorkersDialAgain: workers that report in turn, a tenth more than there
// is room for, mostly find their connection open. Were the longest idle one
// closed, it would be that of the next worker each time.
func TestFewWorkersDialAgain(t *testing.T) {
	const limit, workers, rounds = 1000, 1000, 20
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(limit, func() {})
		each := make([]*fakeConn, workers)
		dials := 0
		for range rounds {
			for i, c := range each {
				if c == nil || c.closed {
					each[i] = &fakeConn{}
					s.Track(each[i], http.StateNew)
					dials++
				}
				s.Track(each[i], http.StateActive)
				time.Sleep(2 * time.Millisecond)
				s.Track(each[i], http.StateIdle)
			}
		}
		if again := dials - workers; again > (rounds-1)*workers/2 {
			t.Errorf("%d of %d reports found their connection closed", again, (rounds-1)*workers)
		}
		if got := s.counts().open; got > closeIdleAbove*limit {
			t.Errorf("%d connections open, with %d sockets", got, limit)
		}
	})
}

// TestOnlyIdleConnectionsAreClosed: beyond the limit connections in use stay, and
// one that was closed to make room may still end in any state.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(10, func() {})
		idle := open(s, 3, http.StateIdle)
		busy := open(s, 12, http.StateActive)
		if closedOf(busy) != 0 || closedOf(idle) != 3 {
			t.Errorf("15 of 10: %d busy and %d idle ones closed, want 0 and 3", closedOf(busy), closedOf(idle))
		}
		s.Track(idle[0], http.StateActive) // its next request had come already
		s.Track(idle[0], http.StateIdle)
		s.Track(idle[1], http.StateClosed)
		if got := s.counts(); got.open != 12 {
			t.Errorf("connections that were closed count as open: %+v", got)
		}
		for _, c := range busy {
			s.Track(c, http.StateClosed)
		}
		if got := s.counts(); got.open != 0 || s.idle.Len() != 0 {
			t.Errorf("after all have ended: %+v, %d idle", got, s.idle.Len())
		}
	})
}

// TestNoLimitClosesNothing: settings without a limit for sockets bound nothing.
func TestNoLimitClosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(0, func() { t.Error("direct connections closed") })
		idle := open(s, 200, http.StateIdle)
		if n := closedOf(idle); n != 0 {
			t.Errorf("%d closed without a limit", n)
		}
	})
}

// TestServerStaysBelowItsSockets: many more clients than there are sockets, each
// of which keeps its connection, are all answered by a server on real sockets,
// and again afterwards; the connections stay within the limit.
func TestServerStaysBelowItsSockets(t *testing.T) {
	const limit, clients = 40, 200
	s := newSockets(limit, func() {})
	var most atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		s.Track(c, state)
		most.Store(max(most.Load(), int64(s.counts().open)))
	}
	server.Start()
	defer server.Close()
	var each []*http.Client
	for range clients {
		each = append(each, &http.Client{Transport: &http.Transport{}})
	}
	for round := range 2 {
		for i, c := range each {
			resp, err := c.Get(server.URL)
			if err != nil {
				t.Fatalf("round %d, client %d: %v", round, i, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	// One client at a time: besides those within the limit only the newest.
	if got := most.Load(); got > closeIdleAbove*limit+1 {
		t.Errorf("%d connections open at once, with %d sockets", got, limit)
	}
	for _, c := range each {
		c.CloseIdleConnections()
	}
}

// TestDirectConnectionsCount: connections to workers count while they are open,
// and those that cannot be made do not.
func TestDirectConnectionsCount(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer worker.Close()
	workers := client.New(2, 1<<10, 10)
	s := newSockets(100, workers.CloseIdle)
	workers.CountDials(s)
	if _, err := workers.Do(context.Background(), "GET", worker.URL, nil, nil); err != nil {
		t.Fatal(err)
	}
	if got := s.counts().direct; got != 1 {
		t.Errorf("%d direct connections, want 1", got)
	}
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody.Close()
	if _, err := workers.Do(context.Background(), "GET", "http://"+nobody.Addr().String(), nil, nil); err == nil {
		t.Fatal("a closed port answered")
	}
	if got := s.counts().direct; got != 1 {
		t.Errorf("%d direct connections after a failed dial, want 1", got)
	}
	workers.CloseIdle()
	if got := s.counts().direct; got != 0 {
		t.Errorf("%d direct connections after all idle ones were closed", got)
	}
}
