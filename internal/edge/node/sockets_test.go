package node

import (
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

// fakeConn is a connection that records whether it was closed.
type fakeConn struct {
	net.Conn
	closed bool
}

func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// openConns opens connections in a state, one second after the other.
func openConns(s *Sockets, number int, state http.ConnState) []*fakeConn {
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

// countClosed returns how many of the connections were closed.
func countClosed(conns []*fakeConn) int {
	closed := 0
	for _, c := range conns {
		if c.closed {
			closed++
		}
	}
	return closed
}

// TestStaleConnectionsAreClosedFirst guards against closing connections that are in use: well
// below the limit none is closed; near it the stale ones are, down to the lower mark, and
// direct connections stay open.
func TestStaleConnectionsAreClosedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := 0
		s := newSockets(100, func() { direct++ })
		stale := openConns(s, 40, http.StateIdle)
		time.Sleep(staleAfter)
		fresh := openConns(s, 50, http.StateActive)
		if n := countClosed(stale); n != 0 || s.above(closeIdleAbove) {
			t.Fatalf("90 connections of 100: %d closed, above the mark = %v, want 0 and false", n, s.above(closeIdleAbove))
		}
		fresh = append(fresh, openConns(s, 1, http.StateActive)...)
		if n := countClosed(stale); n != 11 || !stale[0].closed || stale[39].closed {
			t.Errorf("91 connections of 100: %d stale ones closed, want 11, the longest idle first", n)
		}
		if countClosed(fresh) != 0 || direct != 0 {
			t.Errorf("%d connections in use closed, direct ones closed %d times, want 0 and 0", countClosed(fresh), direct)
		}
		if got := s.counts(); got.open != 80 || got.stale != 29 || got.closedIdle != 11 {
			t.Errorf("counts = %+v, want 80 open, 29 stale and 11 closed idle", got)
		}
	})
}

// TestIdleConnectionsMakeRoom guards against closing more connections than necessary: if none
// is stale, the idle direct connections are closed first, then others, and only as many as
// needed.
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
				openConns(s, 10, http.StateActive)
				idle := openConns(s, 20, http.StateIdle)
				if got := s.counts(); got.direct != 60 || countClosed(idle) != 0 {
					t.Fatalf("90 of 100: counts = %+v, %d idle ones closed, want 60 direct ones and 0 closed", got, countClosed(idle))
				}
				openConns(s, 2, http.StateActive)
				if got := s.counts(); got.direct != c.wantDirect || countClosed(idle) != c.wantIdle {
					t.Errorf("92 of 100: counts = %+v, %d idle ones closed, want %d direct ones and %d closed", got, countClosed(idle), c.wantDirect, c.wantIdle)
				}
			})
		})
	}
}

// TestMostWorkersKeepTheirConnection guards against workers that dial anew for each heartbeat:
// workers that report in turn, a tenth more than there are sockets for, mostly find their
// connection open. If the longest idle connection were closed, it would be that of the next
// worker each time.
func TestMostWorkersKeepTheirConnection(t *testing.T) {
	const limit, workers, rounds = 1000, 1000, 20
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(limit, func() {})
		conns := make([]*fakeConn, workers)
		dials := 0
		for range rounds {
			for i, c := range conns {
				if c == nil || c.closed {
					conns[i] = &fakeConn{}
					s.Track(conns[i], http.StateNew)
					dials++
				}
				s.Track(conns[i], http.StateActive)
				time.Sleep(2 * time.Millisecond)
				s.Track(conns[i], http.StateIdle)
			}
		}
		if redials := dials - workers; redials > (rounds-1)*workers/2 {
			t.Errorf("%d of %d heartbeats found their connection closed, want at most half", redials, (rounds-1)*workers)
		}
		if got := s.counts().open; got > closeIdleAbove*limit {
			t.Errorf("%d connections open with %d sockets, want at most %v", got, limit, closeIdleAbove*limit)
		}
	})
}

// TestOnlyIdleConnectionsAreClosed guards against closing connections in use, also beyond the
// limit, and against counting a closed connection again, in whichever state it ends.
func TestOnlyIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(10, func() {})
		idle := openConns(s, 3, http.StateIdle)
		active := openConns(s, 12, http.StateActive)
		if countClosed(active) != 0 || countClosed(idle) != 3 {
			t.Errorf("15 of 10: %d active and %d idle ones closed, want 0 and 3", countClosed(active), countClosed(idle))
		}
		s.Track(idle[0], http.StateActive) // its next request had already arrived
		s.Track(idle[0], http.StateIdle)
		s.Track(idle[1], http.StateClosed)
		if got := s.counts(); got.open != 12 {
			t.Errorf("counts with closed connections = %+v, want 12 open", got)
		}
		for _, c := range active {
			s.Track(c, http.StateClosed)
		}
		if got := s.counts(); got.open != 0 || s.idle.Len() != 0 {
			t.Errorf("counts after all are closed = %+v, %d idle, want 0 open and 0 idle", got, s.idle.Len())
		}
	})
}

// TestNoLimitClosesNothing guards against closing connections if the settings have no socket
// limit.
func TestNoLimitClosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSockets(0, func() { t.Error("direct connections closed without a limit, want them open") })
		idle := openConns(s, 200, http.StateIdle)
		if n := countClosed(idle); n != 0 {
			t.Errorf("%d connections closed without a limit, want 0", n)
		}
	})
}

// TestServerStaysBelowSocketLimit guards against a server that runs out of sockets: many more
// clients than sockets, each of which keeps its connection, are all answered twice on real
// sockets, and the open connections stay within the limit.
func TestServerStaysBelowSocketLimit(t *testing.T) {
	const limit, clientCount = 40, 200
	s := newSockets(limit, func() {})
	var mostOpen atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		s.Track(c, state)
		mostOpen.Store(max(mostOpen.Load(), int64(s.counts().open)))
	}
	server.Start()
	t.Cleanup(server.Close)
	var clients []*http.Client
	for range clientCount {
		clients = append(clients, &http.Client{Transport: &http.Transport{}})
	}
	for round := range 2 {
		for i, c := range clients {
			resp, err := c.Get(server.URL)
			if err != nil {
				t.Fatalf("round %d, client %d: %v", round, i, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	// One client at a time: besides those within the limit only the newest.
	if got := mostOpen.Load(); got > closeIdleAbove*limit+1 {
		t.Errorf("%d connections open at once with %d sockets, want at most %v", got, limit, closeIdleAbove*limit+1)
	}
	for _, c := range clients {
		c.CloseIdleConnections()
	}
}

// TestDirectConnectionsAreCounted guards against a wrong number of sockets in use: connections
// to workers count while they are open, and failed dials do not count.
func TestDirectConnectionsAreCounted(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(worker.Close)
	workers := client.New(2, 1<<10, 10)
	s := newSockets(100, workers.CloseIdle)
	workers.CountDials(s)
	if _, err := workers.Do(t.Context(), "GET", worker.URL, nil, nil); err != nil {
		t.Fatal(err)
	}
	if got := s.counts().direct; got != 1 {
		t.Errorf("%d direct connections, want 1", got)
	}
	closedPort, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedPort.Close()
	if _, err := workers.Do(t.Context(), "GET", "http://"+closedPort.Addr().String(), nil, nil); err == nil {
		t.Fatal("call to a closed port: error = nil, want an error")
	}
	if got := s.counts().direct; got != 1 {
		t.Errorf("%d direct connections after a failed dial, want 1", got)
	}
	workers.CloseIdle()
	if got := s.counts().direct; got != 0 {
		t.Errorf("%d direct connections after all idle ones were closed, want 0", got)
	}
}
