//go:build review

package main

import (
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// stateService is the small consistent store of the protocol. Each controller has an address
// of its own there, so that it alone can be refused.
type stateService struct {
	w         *world
	mu        sync.Mutex
	changed   chan struct{} // closed with every change
	rev       uint64
	data      map[string]entry
	log       []change
	addrs     map[string]string
	lastLease string // who wrote the lease value last
	outage    bool   // 503 for all
}

type entry struct {
	value   msgpack.RawMessage
	version uint64
}

type change struct {
	put, drop string
	value     msgpack.RawMessage
	version   uint64
}

type txn struct {
	If []struct {
		Path    string `msgpack:"path"`
		Version uint64 `msgpack:"inacica"`
	} `msgpack:"if"`
	Apply []struct {
		Put  string             `msgpack:"put"`
		Data msgpack.RawMessage `msgpack:"data"`
		Drop string             `msgpack:"drop"`
	} `msgpack:"apply"`
}

func newStateService(w *world) *stateService {
	return &stateService{w: w, changed: make(chan struct{}), data: map[string]entry{}, addrs: map[string]string{}}
}

func (s *stateService) addrFor(node string) string {
	if a := s.addrs[node]; a != "" {
		return a
	}
	a, _ := serve(s.handler(node))
	s.addrs[node] = a
	return a
}

func (s *stateService) away() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outage
}

func (s *stateService) setOutage(on bool) {
	s.w.log("state service: outage %v", on)
	s.mu.Lock()
	s.outage = on
	s.wake()
	s.mu.Unlock()
}

// wake has the watches look again. With mu held.
func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// execute carries a transaction out.
func (s *stateService) execute(node string, t *txn) (status int, answer object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []string
	for _, c := range t.If {
		if s.data[c.Path].version != c.Version {
			failed = append(failed, c.Path)
		}
	}
	if len(failed) > 0 {
		return 409, object{"failed": failed, "izmjena": s.rev}
	}
	if len(t.Apply) > 0 {
		s.rev++
		var keys []string
		for _, op := range t.Apply {
			if op.Put == "fc/lease" {
				s.lastLease = node
			}
			if op.Put != "" {
				s.data[op.Put] = entry{append(msgpack.RawMessage(nil), op.Data...), s.rev}
				s.log = append(s.log, change{put: op.Put, value: s.data[op.Put].value, version: s.rev})
				keys = append(keys, op.Put)
			} else if _, ok := s.data[op.Drop]; ok {
				delete(s.data, op.Drop)
				s.log = append(s.log, change{drop: op.Drop, version: s.rev})
				keys = append(keys, "-"+op.Drop)
			}
		}
		s.wake()
		s.w.log("state <- %s txn %d: %s", node, s.rev, strings.Join(keys, " "))
	}
	return 200, object{"izmjena": s.rev}
}

func (s *stateService) handler(node string) http.Handler {
	mux := http.NewServeMux()
	refuse := func(rw http.ResponseWriter) { reply(rw, 503, object{"error": "unavailable"}) }
	mux.HandleFunc("POST /txn", func(rw http.ResponseWriter, r *http.Request) {
		var t txn
		if err := readBody(r, &t); err != nil {
			reply(rw, 400, object{"error": err.Error()})
			return
		}
		if s.away() {
			refuse(rw)
			return
		}
		status, answer := s.execute(node, &t)
		reply(rw, status, answer)
	})
	mux.HandleFunc("GET /store/{key...}", func(rw http.ResponseWriter, r *http.Request) {
		if s.away() {
			refuse(rw)
			return
		}
		s.mu.Lock()
		e, ok := s.data[r.PathValue("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			reply(rw, 404, object{"izmjena": rev})
			return
		}
		reply(rw, 200, object{"path": r.PathValue("key"), "data": e.value, "inacica": e.version})
	})
	mux.HandleFunc("GET /store", func(rw http.ResponseWriter, r *http.Request) {
		if s.away() {
			refuse(rw)
			return
		}
		q := r.URL.Query()
		most, _ := strconv.Atoi(q.Get("most"))
		if most <= 0 || most > 1000 {
			most = 1000
		}
		s.mu.Lock()
		var keys []string
		for k := range s.data {
			if strings.HasPrefix(k, q.Get("under")) && k > q.Get("after") {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		more := len(keys) > most
		keys = keys[:min(len(keys), most)]
		pairs := []object{}
		for _, k := range keys {
			pairs = append(pairs, object{"path": k, "data": s.data[k].value, "inacica": s.data[k].version})
		}
		rev := s.rev
		s.mu.Unlock()
		reply(rw, 200, object{"pairs": pairs, "more": more, "izmjena": rev})
	})
	mux.HandleFunc("GET /changes", func(rw http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		hold, _ := strconv.Atoi(q.Get("holdMs"))
		if s.away() {
			refuse(rw)
			return
		}
		end := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer end.Stop()
		over := false
		for {
			s.mu.Lock()
			away := s.outage
			log := []object{}
			if !away {
				i := sort.Search(len(s.log), func(i int) bool { return s.log[i].version > after })
				for _, c := range s.log[i:] {
					if !strings.HasPrefix(c.put+c.drop, q.Get("under")) {
						continue
					}
					if c.put != "" {
						log = append(log, object{"put": c.put, "data": c.value, "inacica": c.version})
					} else {
						log = append(log, object{"drop": c.drop, "inacica": c.version})
					}
				}
			}
			rev, changed := s.rev, s.changed
			s.mu.Unlock()
			if !away && (len(log) > 0 || over) {
				reply(rw, 200, object{"izmjena": rev, "log": log})
				return
			}
			select {
			case <-changed:
			case <-end.C:
				over = true
			case <-r.Context().Done():
				return
			}
		}
	})
	return mux
}
