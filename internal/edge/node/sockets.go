package node

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// closeIdleAbove is the part of the machine's sockets from which on idle
	// connections are closed. The rest is for what comes at once: connections
	// that are being accepted or dialled, and those to the other controllers, the
	// state service and the cloud, some thirty, which are not counted here.
	closeIdleAbove = 0.9
	// closeStaleDownTo is the part of the sockets down to which stale connections are
	// closed then, so that not every new connection closes another.
	closeStaleDownTo = 0.8
	// staleAfter is for how long a connection has to be idle to count as stale.
	// Workers report every few seconds: this one has turned to another controller,
	// or its user has no more questions.
	staleAfter = 30 * time.Second
)

// Sockets counts the connections that users and workers hold open and the
// direct connections to workers. Near the limit it closes idle ones, so that
// nobody new is refused: the stale ones first, then the direct ones, which are
// used least, then any. A connection with a request under way is never closed.
//
// It may be used by several goroutines.
type Sockets struct {
	limit       int    // sockets of the machine; 0: no limit
	closeDirect func() // closes the idle direct connections

	mu          sync.Mutex
	connections map[net.Conn]*list.Element // open ones, with their place in idle
	idle        list.List                  // of idleConnection, the longest idle first
	direct      int                        // direct connections
	closedIdle  int                        // idle connections that were closed so far
}

// idleConnection is a connection without a request under way.
type idleConnection struct {
	net.Conn
	since time.Time
}

// newSockets returns the count for a machine of so many sockets; 0 means no
// limit.
func newSockets(limit int, closeDirect func()) *Sockets {
	return &Sockets{limit: limit, closeDirect: closeDirect, connections: map[net.Conn]*list.Element{}}
}

// Track is the http.Server's ConnState hook.
func (s *Sockets) Track(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.add(c)
	case http.StateActive:
		s.setIdle(c, false)
	case http.StateIdle:
		s.setIdle(c, true)
	case http.StateClosed, http.StateHijacked:
		s.remove(c)
		return
	}
	s.makeRoom()
}

// Opened notes that a direct connection is being dialled.
func (s *Sockets) Opened() {
	s.mu.Lock()
	s.direct++
	s.mu.Unlock()
	s.makeRoom()
}

// Closed notes that a direct connection is closed, or was never made.
func (s *Sockets) Closed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.direct--
}

func (s *Sockets) add(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = nil
}

// setIdle notes whether an open connection is idle.
func (s *Sockets) setIdle(c net.Conn, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	place, open := s.connections[c]
	if !open {
		return // closed to make room just as its next request came
	}
	if place != nil {
		s.idle.Remove(place)
	}
	s.connections[c] = nil
	if idle {
		s.connections[c] = s.idle.PushBack(idleConnection{c, time.Now()})
	}
}

func (s *Sockets) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if place := s.connections[c]; place != nil {
		s.idle.Remove(place)
	}
	delete(s.connections, c)
}

// makeRoom closes idle connections when there are too many in all.
func (s *Sockets) makeRoom() {
	if !s.above(closeIdleAbove) {
		return
	}
	s.closeIdle(closeStaleDownTo, s.takeStale)
	if s.above(closeIdleAbove) {
		s.closeDirect()
	}
	s.closeIdle(closeIdleAbove, s.takeAny)
}

// closeIdle closes connections that take chooses until all connections take no
// more than a part of the limit, or take finds none.
func (s *Sockets) closeIdle(part float64, take func() net.Conn) {
	for s.above(part) {
		c := take()
		if c == nil {
			return
		}
		// One that the other end has closed already needs nothing more.
		_ = c.Close()
	}
}

// above reports whether all connections take more than a part of the limit.
func (s *Sockets) above(part float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit > 0 && float64(len(s.connections)+s.direct) > part*float64(s.limit)
}

// takeStale takes the connection that has been idle for longest, nil if none is
// stale.
func (s *Sockets) takeStale() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.idle.Front()
	if first == nil || time.Since(first.Value.(idleConnection).since) < staleAfter {
		return nil
	}
	return s.take(first)
}

// takeAny takes some idle connection, nil if there is none. Of connections that
// are not stale the one idle for longest is the one that reports next: to close
// them in this order would make every worker dial for every report as soon as
// there is one connection too many.
func (s *Sockets) takeAny() net.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, place := range s.connections { // in no order
		if place != nil {
			return s.take(place)
		}
	}
	return nil
}

// take removes an idle connection, which no longer counts as open.
func (s *Sockets) take(place *list.Element) net.Conn {
	c := s.idle.Remove(place).(idleConnection).Conn
	delete(s.connections, c)
	s.closedIdle++
	return c
}

// socketCounts is what a Sockets holds at a moment.
type socketCounts struct {
	open, stale int // connections of users and workers
	direct      int // connections to workers
	closedIdle  int // connections closed to make room, since the start
}

func (s *Sockets) counts() socketCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := socketCounts{open: len(s.connections), direct: s.direct, closedIdle: s.closedIdle}
	for place := s.idle.Front(); place != nil; place = place.Next() {
		if time.Since(place.Value.(idleConnection).since) < staleAfter {
			break
		}
		n.stale++
	}
	return n
}
