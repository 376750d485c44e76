package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"fawncove/internal/wire"
)

// TestTargetsDivideLimit guards against targets that favour a controller: what is left of
// the limit is divided evenly, excess demand is cut in proportion, and a gang gets all of
// what it needs to start.
func TestTargetsDivideLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		limit float64
		needs map[string]Need
		want  map[string]float64
	}{
		{"room for all", 100, map[string]Need{"a": {Wanted: 10}, "b": {Wanted: 30}}, map[string]float64{"a": 40, "b": 60}},
		{"demand above the limit", 100, map[string]Need{"a": {Wanted: 50}, "b": {Wanted: 150}}, map[string]float64{"a": 25, "b": 75}},
		{"a gang", 100, map[string]Need{"a": {Wanted: 60, MinToStart: 60}, "b": {Wanted: 160}}, map[string]float64{"a": 60, "b": 40}},
		{"a gang above the limit", 100, map[string]Need{"a": {Wanted: 200, MinToStart: 200}, "b": {Wanted: 200}}, map[string]float64{"a": 50, "b": 50}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Targets(c.limit, c.needs)
			for n, w := range c.want {
				if math.Abs(got[n]-w) > 1e-9 {
					t.Errorf("Targets = %v, want %v", got, c.want)
					break
				}
			}
		})
	}
}

// TestGrantFreeKeepsLimit guards against granting more than the limit: whatever is wanted,
// shares only rise and their sum stays within the limit, and a controller that needs more
// is granted it first.
func TestGrantFreeKeepsLimit(t *testing.T) {
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
				t.Fatalf("shares %v became %v, want none lowered", shares, got)
			}
			sum += got[n]
		}
		if sum > limit {
			t.Fatalf("sum of shares %v = %d, want at most %d", got, sum, limit)
		}
	}
	needs := map[string]Need{"a": {InUse: 10, Wanted: 10}, "b": {InUse: 20, Wanted: 90}}
	got, worthWriting := GrantFree(100, map[string]int{"a": 40, "b": 20}, Targets(100, needs), needs)
	if got["b"] != 60 || !worthWriting {
		t.Errorf("GrantFree = %v, worth writing = %v, want 60 for b and true", got, worthWriting)
	}
}

// TestLargeTaskIsNotStuck guards against a task that waits forever: with the limit fully
// granted, a controller that lacks a single processor for its only task gets it, though no
// other controller is far above its target.
func TestLargeTaskIsNotStuck(t *testing.T) {
	needs := map[string]Need{"a": {Wanted: 8, MinToStart: 8}, "b": {InUse: 46, Wanted: 90}, "c": {InUse: 46, Wanted: 90}}
	shares := map[string]int{"a": 7, "b": 46, "c": 47}
	targets := Targets(100, needs)
	lowered := 0
	for _, n := range []string{"b", "c"} {
		if !NeedsMore(float64(shares["a"]), targets["a"], needs["a"]) {
			t.Fatal("NeedsMore for a = false, want true")
		}
		if reserved, lower := ReservationFor(shares[n], targets[n], needs[n].InUse, TooSmallToStart(float64(shares["a"]), targets["a"], needs["a"])); lower {
			lowered += shares[n] - reserved
			shares[n] = reserved
		}
	}
	got, worthWriting := GrantFree(100, shares, targets, needs)
	if lowered == 0 || got["a"] < 8 || !worthWriting {
		t.Errorf("shares lowered by %d to %v, worth writing = %v, want some lowered, at least 8 for a, and true", lowered, got, worthWriting)
	}
}

// TestUnusableSharesAreConcentrated guards against a limit that is divided into shares too
// small for any waiting task: the unused rests are concentrated on one controller, but not
// while a waiting task can start, or when all of them would not be enough.
func TestUnusableSharesAreConcentrated(t *testing.T) {
	// busy is the need of a controller with a waiting task of two processors.
	busy := func(used float64) Need { return Need{InUse: used, Wanted: used + 20, MinToStart: 2} }
	for _, c := range []struct {
		name      string
		limit     int
		shares    map[string]int
		needs     map[string]Need
		wantNode  string
		wantShare int
	}{
		{"no rest large enough", 24, map[string]int{"a": 8, "b": 9, "c": 7}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "b", 10},
		{"limit not fully granted", 24, map[string]int{"a": 8, "b": 9, "c": 6}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "b", 10},
		{"one task can start", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(6)}, "", 0},
		{"all rests are not enough", 24, map[string]int{"a": 8, "b": 9, "c": 7}, map[string]Need{"a": busy(8), "b": busy(8), "c": busy(7)}, "", 0},
		{"rest held by a controller without waiting tasks", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": busy(8), "b": busy(8), "c": {InUse: 5, Wanted: 5}}, "a", 10},
		{"waiting tasks unknown", 24, map[string]int{"a": 8, "b": 8, "c": 8}, map[string]Need{"a": {InUse: 8, Wanted: 20}, "c": {InUse: 5, Wanted: 5}}, "", 0},
		{"need of a controller unknown", 24, map[string]int{"a": 8, "b": 16}, map[string]Need{"a": busy(7)}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if node, share, _ := ConcentrateOn(c.limit, c.shares, c.needs); node != c.wantNode || share != c.wantShare {
				t.Errorf("ConcentrateOn = %d on %q, want %d on %q", share, node, c.wantShare, c.wantNode)
			}
		})
	}
}

// cluster simulates the holders and the leader of one team that exchange only the
// messages of the protocol: renewals are lost, repeated and late, values are seen late.
type cluster struct {
	limit        int
	shares       map[string]int    // as in the lease value
	acknowledged map[string]uint64 // newest renewals, as in the lease value
	grants       map[string]uint64
	holders      []*holder
	inFlight     []renewal
}

// renewal is a message of a holder with its reservation.
type renewal struct {
	node          string
	number, grant uint64
	reserved      int
}

// holder is a controller that holds a share of the limit.
type holder struct {
	Reservations
	name      string
	number    uint64 // of the last renewal
	used      float64
	seenShare int // in the lease value seen last
	grant     uint64
}

// usable returns the processors that tasks of the holder may use.
func (h *holder) usable() float64 {
	return float64(h.Usable("t", wire.Share{CPUs: h.seenShare}).CPUs)
}

// TestSharesNeverExceedLimit guards against running more than the limit: at every step what
// all holders may still start, or have started, is within it.
func TestSharesNeverExceedLimit(t *testing.T) {
	applied := 0 // reservations
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 9))
			c := &cluster{limit: 100, shares: map[string]int{"a": 100}, acknowledged: map[string]uint64{}, grants: map[string]uint64{}}
			for _, n := range []string{"a", "b", "c"} {
				c.holders = append(c.holders, &holder{name: n, seenShare: c.shares[n]})
			}
			for step := range 400 {
				h := c.holders[r.IntN(3)]
				switch r.IntN(5) {
				case 0: // tasks start within the usable share, or end
					if usable := h.usable(); r.IntN(2) == 0 {
						h.used = max(h.used, math.Floor(usable*r.Float64()))
					} else {
						h.used = math.Floor(h.used * r.Float64())
					}
				case 1: // a reservation, sent once, twice or never
					h.number++
					reserved := int(math.Ceil(max(h.used, r.Float64()*h.usable())))
					h.Reserve(h.number, "t", wire.Share{CPUs: reserved})
					for range r.IntN(3) {
						c.inFlight = append(c.inFlight, renewal{h.name, h.number, h.grant, reserved})
					}
				case 2: // the leader writes, with any renewal that has arrived
					if len(c.inFlight) > 0 {
						i := r.IntN(len(c.inFlight))
						m := c.inFlight[i]
						if m.number > c.acknowledged[m.node] {
							if m.grant == c.grants[m.node] {
								applied++
								c.shares[m.node] = min(c.shares[m.node], m.reserved)
							}
							c.acknowledged[m.node] = m.number
						}
					}
					needs := map[string]Need{}
					for _, n := range c.holders {
						needs[n.name] = Need{Wanted: float64(r.IntN(120))}
					}
					c.shares, _ = GrantFree(c.limit, c.shares, Targets(float64(c.limit), needs), needs)
				case 3: // a holder sees the value, as a whole
					h.seenShare, h.grant = c.shares[h.name], c.grants[h.name]
					h.Acknowledge(c.acknowledged[h.name])
				case 4: // a renewal is lost for good
					if len(c.inFlight) > 8 {
						c.inFlight = c.inFlight[1:]
					}
				}
				sum := 0.0
				for _, n := range c.holders {
					sum += max(n.used, n.usable())
				}
				if sum > float64(c.limit) {
					t.Fatalf("step %d: usable processors = %v, want at most %d", step, sum, c.limit)
				}
			}
		})
	}
	if applied < 1000 {
		t.Errorf("%d reservations applied, want at least 1000 for a meaningful test", applied)
	}
}
