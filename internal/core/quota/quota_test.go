package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"fawncove/internal/wire"
)

// TestTargets: what is left is parted evenly, what is too much is cut alike,
// and a gang gets its floor whole.
func TestTargets(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		needs map[string]Need
		want  map[string]float64
	}{
		{"room for all", 100, map[string]Need{"a": {Wanted: 10}, "b": {Wanted: 30}}, map[string]float64{"a": 40, "b": 60}},
		{"too much wanted", 100, map[string]Need{"a": {Wanted: 50}, "b": {Wanted: 150}}, map[string]float64{"a": 25, "b": 75}},
		{"a gang", 100, map[string]Need{"a": {Wanted: 60, MinToStart: 60}, "b": {Wanted: 160}}, map[string]float64{"a": 60, "b": 40}},
		{"a gang that cannot be had", 100, map[string]Need{"a": {Wanted: 200, MinToStart: 200}, "b": {Wanted: 200}}, map[string]float64{"a": 50, "b": 50}},
	} {
		got := Targets(c.limit, c.needs)
		for n, w := range c.want {
			if math.Abs(got[n]-w) > 1e-9 {
				t.Errorf("%s: %v, want %v", c.name, got, c.want)
				break
			}
		}
	}
}

// TestRaiseKeepsTheLimit: whatever the wants, shares only rise and their sum
// stays within the limit; a short controller is raised first.
func TestRaiseKeepsTheLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	for range 2000 {
		limit := 1 + r.IntN(500)
		shares, needs, left := map[string]int{}, map[string]Need{}, limit
		for i := range 1 + r.IntN(9) {
			n := fmt.Sprint("n", i)
			shares[n] = r.IntN(left + 1)
			left -= shares[n]
			needs[n] = Need{Wanted: float64(r.IntN(2 * limit)), MinToStart: float64(r.IntN(20))}
		}
		got, _ := GrantFree(limit, shares, Targets(float64(limit), needs), needs)
		sum := 0
		for n := range needs {
			if got[n] < shares[n] {
				t.Fatalf("lowered: %v to %v", shares, got)
			}
			sum += got[n]
		}
		if sum > limit {
			t.Fatalf("%v is above %d", got, limit)
		}
	}
	needs := map[string]Need{"a": {InUse: 10, Wanted: 10}, "b": {InUse: 20, Wanted: 90}}
	got, worth := GrantFree(100, map[string]int{"a": 40, "b": 20}, Targets(100, needs), needs)
	if got["b"] != 60 || !worth {
		t.Errorf("the short one got %v, worth a write: %v", got, worth)
	}
}

// TestLargeTaskIsNotStuck: with a full limit, a controller that lacks a single
// processor for its only task gets it, though no other is far above its target.
func TestLargeTaskIsNotStuck(t *testing.T) {
	needs := map[string]Need{"a": {Wanted: 8, MinToStart: 8}, "b": {InUse: 46, Wanted: 90}, "c": {InUse: 46, Wanted: 90}}
	shares := map[string]int{"a": 7, "b": 46, "c": 47}
	targets := Targets(100, needs)
	lowered := 0
	for _, n := range []string{"b", "c"} {
		if !NeedsMore(float64(shares["a"]), targets["a"], needs["a"]) {
			t.Fatal("not short")
		}
		if c, yes := ReservationFor(shares[n], targets[n], needs[n].InUse, TooSmallToStart(float64(shares["a"]), targets["a"], needs["a"])); yes {
			lowered += shares[n] - c
			shares[n] = c
		}
	}
	got, worth := GrantFree(100, shares, targets, needs)
	if lowered == 0 || got["a"] < 8 || !worth {
		t.Errorf("lowered by %d, the shares are %v", lowered, got)
	}
}

// TestGather: what nobody can use alone is gathered for one, and for nobody while
// something that waits can start, or all that is left would not do.
func TestGather(t *testing.T) {
	busy := func(used float64) Need { return Need{InUse: used, Wanted: used + 20, MinToStart: 2} }
	for _, c := range []struct {
		name   string
		limit  int
		shares map[string]int
		needs  map[string]Need
		node   string
		share  int
	}{
		{"in splinters", 24, map[string]int{"a": 8, "b": 9, "c": 7}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "b", 10},
		{"partly given up", 24, map[string]int{"a": 8, "b": 9, "c": 6}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "b", 10},
		{"one can start", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "", 0},
		{"all of it would not do", 24, map[string]int{"a": 8, "b": 9, "c": 7}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(7)}, "", 0},
		{"held by one for whom nothing waits", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": busy(8), "b": busy(8), "c": {InUse: 5, Wanted: 5}}, "a", 10},
		{"not known what waits", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": {InUse: 8, Wanted: 20}, "c": {InUse: 5, Wanted: 5}}, "", 0},
		{"no share told of", 24, map[string]int{"a": 8, "b": 16}, map[string]Need{"a": busy(7)}, "", 0},
	} {
		if node, share, _ := ConcentrateOn(c.limit, c.shares, c.needs); node != c.node || share != c.share {
			t.Errorf("%s: %d for %q, want %d for %q", c.name, share, node, c.share, c.node)
		}
	}
}

// cluster plays holders and a leader of one team with only the messages of the
// protocol: renewals that are lost, repeated and late, values seen late.
type cluster struct {
	r      *rand.Rand
	limit  int
	shares map[string]int
	honour map[string]uint64 // by the value
	grants map[string]uint64
	nodes  []*holder
	flying []renewal
}

type renewal struct {
	node          string
	number, grant uint64
	ceiling       int
}

type holder struct {
	Reservations
	name   string
	number uint64
	used   float64
	seen   int // share in the value it has seen last
	grant  uint64
}

// TestSharesNeverExceedTheLimit: at every step what all holders may still
// start, or have started, is within the limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	traded := 0
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 9))
		c := &cluster{r: r, limit: 100, shares: map[string]int{"a": 100}, honour: map[string]uint64{}, grants: map[string]uint64{}}
		for _, n := range []string{"a", "b", "c"} {
			c.nodes = append(c.nodes, &holder{name: n, seen: c.shares[n]})
		}
		for step := range 400 {
			h := c.nodes[r.IntN(3)]
			switch r.IntN(5) {
			case 0: // tasks start as far as the ceiling allows, or end
				if ceiling := float64(h.Usable("t", wire.Share{CPUs: h.seen}).CPUs); r.IntN(2) == 0 {
					h.used = max(h.used, math.Floor(ceiling*r.Float64()))
				} else {
					h.used = math.Floor(h.used * r.Float64())
				}
			case 1: // a promise, sent once, twice or never
				h.number++
				ceiling := int(math.Ceil(max(h.used, r.Float64()*float64(h.Usable("t", wire.Share{CPUs: h.seen}).CPUs))))
				h.Reserve(h.number, "t", wire.Share{CPUs: ceiling})
				for range r.IntN(3) {
					c.flying = append(c.flying, renewal{h.name, h.number, h.grant, ceiling})
				}
			case 2: // the leader writes, with any renewal that has come
				if len(c.flying) > 0 {
					i := r.IntN(len(c.flying))
					m := c.flying[i]
					if m.number > c.honour[m.node] {
						if m.grant == c.grants[m.node] {
							traded++
							c.shares[m.node] = min(c.shares[m.node], m.ceiling)
						}
						c.honour[m.node] = m.number
					}
				}
				needs := map[string]Need{}
				for _, n := range c.nodes {
					needs[n.name] = Need{Wanted: float64(r.IntN(120))}
				}
				c.shares, _ = GrantFree(c.limit, c.shares, Targets(float64(c.limit), needs), needs)
			case 3: // a holder sees the value, as a whole
				h.seen, h.grant = c.shares[h.name], c.grants[h.name]
				h.Acknowledge(c.honour[h.name])
			case 4: // a renewal is lost for good
				if len(c.flying) > 8 {
					c.flying = c.flying[1:]
				}
			}
			sum := 0.0
			for _, n := range c.nodes {
				sum += max(n.used, float64(n.Usable("t", wire.Share{CPUs: n.seen}).CPUs))
			}
			if sum > float64(c.limit) {
				t.Fatalf("seed %d step %d: %v may be used of %d", seed, step, sum, c.limit)
			}
		}
	}
	if traded < 1000 {
		t.Errorf("only %d promises were taken in: nothing much was tested", traded)
	}
}
