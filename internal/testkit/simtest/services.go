package simtest

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// ---- the state service

type stored struct {
	data    []byte
	version wire.Revision
}

type logged struct {
	wire.Change
	key string
}

type waiter struct {
	node, prefix string
	after        wire.Revision
	until        time.Duration
	answer       func(eventloop.Completion)
}

// store stands in for the state service.
type store struct {
	puts map[string]int // of each job's record
	ends map[string]int // of each job's end
	// requests are all that were sent, changes the puts and deletes carried out.
	requests, changes int
	w                 *World
	values            map[string]stored
	rev               wire.Revision
	log               []logged
	waiters           []*waiter
	outage            time.Duration            // for all, until then
	alone             map[string]time.Duration // for one controller
	lost              map[string]time.Duration // the same, but it gets no answer at all
	times             []time.Duration          // of each revision
	lostAt            time.Duration            // when data was last lost; 0: never
	// served, if set, is told of each call right after it was carried out, and chooses
	// what becomes of its answer.
	served func(node string) answerFate
	// watchesHeld is until when the watches of a controller get no answer.
	watchesHeld map[string]time.Duration
	pageSize    int // keys in a page, if set
	lowered     *loweredLimits
}

// answerFate is what becomes of an answer of the state service.
type answerFate int

const (
	answerGiven answerFate = iota
	answerLost
	answerLate // it comes just before its caller would give it up
)

// LoseState puts an older copy of the state in place of it, from d ago, as
// whoever restores a backup does. It returns how many revisions were lost by that.
func (w *World) LoseState(d time.Duration) wire.Revision {
	s := w.store
	rev, _ := slices.BinarySearch(s.times, w.now-d+1)
	n := s.rev - wire.Revision(rev)
	if n == 0 {
		return 0
	}
	s.restore(s.copyAt(wire.Revision(rev)))
	return n
}

// storeCopy is a copy of what the state service held.
type storeCopy struct {
	rev    wire.Revision
	times  []time.Duration
	values map[string]stored
	log    []logged
}

// copyAt returns a copy of what the state service held at a revision, 0 for nothing.
func (s *store) copyAt(rev wire.Revision) storeCopy {
	c := storeCopy{rev: rev, times: slices.Clone(s.times[:rev]), values: map[string]stored{}}
	for _, e := range s.log {
		switch {
		case e.Version > rev:
			continue
		case e.Put != "":
			c.values[e.key] = stored{e.Value, e.Version}
		default:
			delete(c.values, e.key)
		}
		c.log = append(c.log, e)
	}
	return c
}

// restore puts a copy in place of what the state service holds: data is lost.
func (s *store) restore(c storeCopy) {
	s.lostAt, s.puts, s.ends = s.w.now, nil, nil
	s.rev, s.times, s.values, s.log = c.rev, slices.Clone(c.times), maps.Clone(c.values), slices.Clone(c.log)
}

// down reports whether the service refuses a controller.
func (s *store) down(node string) bool { return s.w.now < s.outage || s.w.now < s.alone[node] }

// Outage makes the state service refuse everybody, or one controller only.
func (w *World) Outage(d time.Duration, node string) {
	if node == "" {
		w.store.outage = w.now + d
		return
	}
	if w.store.alone == nil {
		w.store.alone = map[string]time.Duration{}
	}
	w.store.alone[node] = w.now + d
}

// guard answers 503 while the service is down.
func (s *store) guard(node string, f func() eventloop.Completion) func(func(eventloop.Completion)) {
	return func(answer func(eventloop.Completion)) {
		if s.down(node) {
			answer(eventloop.Completion{Outcome: eventloop.Unavailable})
			return
		}
		answer(f())
	}
}

func (s *store) txn(t wire.Txn) eventloop.Completion {
	var failed []string
	for _, c := range t.If {
		if s.values[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return eventloop.Completion{Outcome: eventloop.Conflict, Txn: wire.TxnAnswer{Failed: failed, Revision: s.rev}}
	}
	if s.w.now-s.w.filled >= time.Second {
		s.w.filled, s.w.writes = s.w.now, s.w.cfg.State.WriteRPS
	}
	if s.w.writes -= float64(len(t.Then)); s.w.writes < 0 && len(t.Then) > 0 {
		return eventloop.Completion{Outcome: eventloop.Throttled}
	}
	if len(t.Then) > s.w.cfg.State.TxnOps || len(t.If) > 4*s.w.cfg.State.TxnOps {
		s.w.breakRule("transaction too large: %d conditions, %d changes", len(t.If), len(t.Then))
	}
	s.changes += len(t.Then)
	if len(t.Then) > 0 {
		s.rev++
		s.times = append(s.times, s.w.now)
	}
	for _, op := range t.Then {
		if op.Put != "" {
			data, err := wire.Encode(op.Value)
			if err != nil {
				panic(err)
			}
			if wire.IsAbsent(data) {
				s.w.breakRule("no value: %s", op.Put)
			}
			if len(data) > int(s.w.cfg.State.ValueKB*1024) {
				s.w.breakRule("value of %s too large: %d", op.Put, len(data))
			}
			before := s.values[op.Put].data
			s.values[op.Put] = stored{data, s.rev}
			s.w.put(op.Put, data, before)
			s.log = append(s.log, logged{wire.Change{Put: op.Put, Value: data, Version: s.rev}, op.Put})
		} else {
			delete(s.values, op.Delete)
			s.log = append(s.log, logged{wire.Change{Delete: op.Delete, Version: s.rev}, op.Delete})
		}
	}
	s.wake()
	return eventloop.Completion{Outcome: eventloop.Succeeded, Txn: wire.TxnAnswer{Revision: s.rev}}
}

func (s *store) get(key string) eventloop.Completion {
	v, ok := s.values[key]
	if !ok {
		return eventloop.Completion{Outcome: eventloop.NotFound}
	}
	return eventloop.Completion{Outcome: eventloop.Succeeded, Pair: wire.Pair{Key: key, Value: v.data, Version: v.version}}
}

func (s *store) page(prefix, after string) eventloop.Completion {
	p := wire.Page{Revision: s.rev}
	for _, key := range slices.Sorted(maps.Keys(s.values)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Pairs) == cmp.Or(s.pageSize, 5+s.w.most/5) { // small, so that paging is exercised
			p.More = true
			break
		}
		v := s.values[key]
		p.Pairs = append(p.Pairs, wire.Pair{Key: key, Value: v.data, Version: v.version})
	}
	return eventloop.Completion{Outcome: eventloop.Succeeded, Page: p}
}

func (s *store) watch(node, prefix string, after wire.Revision, until time.Duration, answer func(eventloop.Completion)) {
	if s.down(node) {
		answer(eventloop.Completion{Outcome: eventloop.Unavailable})
		return
	}
	if s.rev-min(after, s.rev) > 400 { // the real service keeps more
		answer(eventloop.Completion{Outcome: eventloop.Compacted})
		return
	}
	s.waiters = append(s.waiters, &waiter{node, prefix, after, until, answer})
	s.w.after(until-s.w.now, s.wake)
	s.wake()
}

// wake answers the watches that have something to tell or have waited long.
func (s *store) wake() {
	var keep []*waiter
	for _, x := range s.waiters {
		if s.down(x.node) && s.w.now < x.until+time.Minute {
			keep = append(keep, x) // open watches stay open
			continue
		}
		if s.w.now < s.watchesHeld[x.node] {
			keep = append(keep, x)
			continue
		}
		c := wire.Changes{Revision: s.rev}
		from, _ := slices.BinarySearchFunc(s.log, x.after+1, func(e logged, v wire.Revision) int { return cmp.Compare(e.Version, v) })
		for _, e := range s.log[from:] {
			if strings.HasPrefix(e.key, x.prefix) {
				c.Log = append(c.Log, e.Change)
			}
		}
		if len(c.Log) == 0 && s.w.now < x.until {
			keep = append(keep, x)
			continue
		}
		x.answer(eventloop.Completion{Outcome: eventloop.Succeeded, Changes: c})
	}
	s.waiters = keep
}

// kill ends a machine with all that is on it.
func (w *World) kill(name string) {
	if k := w.workers[name]; k != nil && !k.gone {
		k.clear()
		k.gone, k.died = true, w.now
		if w.edge != nil {
			w.edge.Close(name)
		}
	}
}

// put looks at what is stored in the place of before: a job's record is stored when it is
// accepted and when it is rewritten, and each time that it moves to another home, of which
// nothing else changes; its end once, and the level is raised only while all controllers
// run a version that can follow, but for one that was replaced a moment ago, which the
// leader cannot know.
func (w *World) put(key string, data, before []byte) {
	if strings.HasPrefix(key, "fc/j/") {
		if w.store.puts == nil {
			w.store.puts = map[string]int{}
		}
		if w.sameBut(key, data, before) {
			w.jobMoves++
		} else if w.store.puts[key]++; w.store.puts[key] > 2 {
			w.breakRule("%s is stored %d times", key, w.store.puts[key])
		}
	}
	if strings.HasPrefix(key, "fc/t/") {
		if w.store.ends == nil {
			w.store.ends = map[string]int{}
		}
		if !w.replacesLateEnd(data, before) {
			w.store.ends[key]++
		}
		if w.store.ends[key] > 1 {
			w.breakRule("%s is stored %d times", key, w.store.ends[key])
		}
	}
	if !slices.ContainsFunc(feature.Inventory(), func(f feature.FormInfo) bool { return strings.HasPrefix(key, f.Name) }) {
		w.breakRule("%s is not in the inventory of forms", key)
	}
	if key == recovery.Key {
		w.seeGeneration(data)
	}
	if key != leasevalue.Key {
		return
	}
	var v struct {
		Level  uint32           `msgpack:"level"`
		Term   wire.Term        `msgpack:"term"`
		Leader string           `msgpack:"leader"`
		Grants wire.Grant       `msgpack:"grants"`
		CPUs   map[string][]int `msgpack:"cpus"` // the controllers' shares of each team's limit
	}
	if err := wire.Decode(data, &v); err != nil {
		w.breakRule("lease value: %v", err)
	}
	if v.Term != w.storedTerm {
		w.storedTerm, w.terms = v.Term, w.terms+1
	}
	w.seeShares(v.CPUs)
	w.ledBy(v.Leader, v.Grants)
	if feature.Level(v.Level) < w.level {
		w.breakRule("level went back from %d to %d", w.level, v.Level)
	}
	if feature.Level(v.Level) > w.level && w.edge == nil { // what processes run is not known here
		for _, n := range w.nodes {
			if (!n.up || n.rolls.Follow(feature.Level(v.Level)) != nil) && w.now-n.since > raiseBlind {
				w.breakRule("raised to level %d without %s", v.Level, n.name)
			}
		}
	}
	w.level = feature.Level(v.Level)
}

// replacesLateEnd reports whether an end is put in place of another one while a loss is being
// made good: a write of before the loss that is carried out late, or a controller that has
// not noticed yet, may have ended a job whose record is back otherwise than it had ended.
func (w *World) replacesLateEnd(data, before []byte) bool {
	if len(before) == 0 || w.noticedAt < w.store.lostAt || w.rebuiltAt > w.noticedAt {
		return false
	}
	var ends [2]wire.EndRecord
	for i, value := range [][]byte{data, before} {
		if wire.Decode(value, &ends[i]) != nil {
			return false
		}
	}
	return ends[0].State != ends[1].State
}

// seeGeneration notes how far a rebuild is. Nothing else may look like a loss.
func (w *World) seeGeneration(data []byte) {
	g, err := recovery.Decode(data)
	switch {
	case err != nil:
		w.breakRule("generation: %v", err)
	case w.store.lostAt == 0:
		w.breakRule("%s takes the state for one that has lost data", g.Controller)
	case g.Rebuilding && w.noticedAt < w.store.lostAt:
		w.noticedAt = w.now
	case !g.Rebuilding:
		w.rebuiltAt, w.nextStart = w.now, true
	}
}

// raiseBlind is for how long a leader may not know that a controller is gone.
const raiseBlind = cluster.PeerTimeout + 2*time.Second

// plainRecords counts the records of jobs and pages that are in an earlier form.
func (w *World) plainRecords() (jobs, pages int) {
	for key, v := range w.store.values {
		env, err := wire.Unwrap(key, v.data)
		switch {
		case err != nil || env.Form > 0:
		case strings.HasPrefix(key, "fc/j/"):
			jobs++
		case strings.HasPrefix(key, "fp/"):
			pages++
		}
	}
	return jobs, pages
}

// sameBut reports whether a job's record is the one before but for its home.
func (w *World) sameBut(key string, data, before []byte) bool {
	var recs [2]wire.JobRecord
	for i, value := range [][]byte{data, before} {
		env, err := wire.Unwrap(key, value)
		if err != nil || wire.Decode(env.Value, &recs[i]) != nil {
			return false
		}
	}
	moved := recs[0].Shard != recs[1].Shard
	recs[0].Shard, recs[0].Owner = recs[1].Shard, recs[1].Owner
	return moved && reflect.DeepEqual(recs[0], recs[1])
}

// leader names who leads, by the stored value.
func (w *World) leader() string {
	var v struct {
		Leader string `msgpack:"leader"`
	}
	if err := wire.Decode(w.store.values[leasevalue.Key].data, &v); err != nil {
		w.breakRule("lease value: %v", err)
	}
	return v.Leader
}

// byName lists the machines in the order of their names.
func (w *World) byName() []*worker {
	var out []*worker
	for i := 1; i <= w.cloud.count; i++ {
		if k := w.workers[fmt.Sprintf("host-%06d", i)]; k != nil {
			out = append(out, k)
		}
	}
	return out
}
