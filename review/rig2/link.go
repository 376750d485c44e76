package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between two controllers that can be cut.
type link struct {
	from, to, addr, target string
	mu                     sync.Mutex
	cut                    bool // new connections are refused, open ones reset
	hold                   bool // bytes are held back
	held                   chan struct{}
	conns                  map[net.Conn]bool
}

var (
	linksMu sync.Mutex
	links   = map[string]*link{}
)

func (w *world) link(from, to, target string) *link {
	linksMu.Lock()
	defer linksMu.Unlock()
	if l := links[from+">"+to]; l != nil {
		return l
	}
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		panic(err)
	}
	l := &link{from: from, to: to, target: target, addr: ln.Addr().String(), conns: map[net.Conn]bool{}}
	links[from+">"+to] = l
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.carry(c)
		}
	}()
	return l
}

func (l *link) carry(c net.Conn) {
	l.mu.Lock()
	cut := l.cut
	l.mu.Unlock()
	if cut {
		_ = c.Close()
		return
	}
	d, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[d] = true, true
	l.mu.Unlock()
	pipe := func(dst, src net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := src.Read(buf)
			for {
				l.mu.Lock()
				hold, held := l.hold, l.held
				l.mu.Unlock()
				if !hold {
					break
				}
				<-held
			}
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				if err != io.EOF {
					break
				}
				break
			}
		}
		_ = dst.Close()
		_ = src.Close()
		l.mu.Lock()
		delete(l.conns, src)
		delete(l.conns, dst)
		l.mu.Unlock()
	}
	go pipe(d, c)
	pipe(c, d)
}

// setCut cuts the link, or mends it.
func (l *link) setCut(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = on
	if on {
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

// setHold holds bytes back, or lets them go on.
func (l *link) setHold(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on && !l.hold {
		l.hold, l.held = true, make(chan struct{})
	} else if !on && l.hold {
		l.hold = false
		close(l.held)
	}
}

// cutBetween cuts, or mends, the links between two controllers in both directions.
func (w *world) cutBetween(a, b string, on bool) {
	w.log("links between %s and %s cut: %v", a, b, on)
	linksMu.Lock()
	defer linksMu.Unlock()
	for _, k := range []string{a + ">" + b, b + ">" + a} {
		if l := links[k]; l != nil {
			l.setCut(on)
		}
	}
}

// holdBetween holds back, or lets go on, what two controllers send each other.
func (w *world) holdBetween(a, b string, on bool) {
	w.log("links between %s and %s held: %v", a, b, on)
	linksMu.Lock()
	defer linksMu.Unlock()
	for _, k := range []string{a + ">" + b, b + ">" + a} {
		if l := links[k]; l != nil {
			l.setHold(on)
		}
	}
}
