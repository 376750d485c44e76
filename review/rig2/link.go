//go:build review

package main

import (
	"net"
	"sync"
)

// link is a proxy between two hosts that can be cut.
type link struct {
	from, to, addr, target string
	mu                     sync.Mutex
	cut                    bool // new connections are refused, open ones reset
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
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
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
