package feature

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// upgraded returns a controller that supports all levels of this version.
func upgraded(name string) Member {
	return Member{Name: name, Reachable: true, Incarnation: 7, LeaseIncarnation: 7, Announced: Announcement{Incarnation: 7, Levels: Current(), Version: "new"}}
}

// TestRaiseNeedsEveryController guards against raising the feature level without the consent
// of every controller: each case is a reason for which one controller keeps the level down.
func TestRaiseNeedsEveryController(t *testing.T) {
	start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		block    func(m *Member) // makes the member keep the level down
		wantWait string
	}{
		"never reachable":             {func(m *Member) { *m = Member{Name: m.Name} }, "b was never reachable"},
		"unreachable":                 {func(m *Member) { m.Reachable = false }, "b is unreachable"},
		"no level announced":          {func(m *Member) { m.Announced = Announcement{} }, "b has announced no level"},
		"a new process":               {func(m *Member) { m.Incarnation = 8 }, "b announced its level as an earlier process"},
		"block of an earlier process": {func(m *Member) { m.LeaseIncarnation = 8 }, "b holds its block as an earlier process"},
		"supports lower levels":       {func(m *Member) { m.Announced.Levels.Newest = 0 }, "b version new supports levels 0 to 0 only"},
		"supports higher levels":      {func(m *Member) { m.Announced.Levels = Range{3, 4} }, "b version new supports levels 3 to 4 only"},
	} {
		t.Run(name, func(t *testing.T) {
			r := LevelRaiser{Delay: time.Second}
			blocking := upgraded("b")
			c.block(&blocking)
			// As long as the reason lasts neither time nor a request of the operator raises the level.
			for s := range 5 {
				next, waits := r.Decide(start.Add(time.Duration(s)*time.Second), State{}, Current(), []Member{upgraded("a"), blocking}, OperatorRequest{TargetLevel: Newest})
				if next != (State{}) || !strings.Contains(strings.Join(waits, ";"), c.wantWait) {
					t.Errorf("state = %+v, waits for %q, want level 0 and a wait for %q", next, waits, c.wantWait)
				}
			}
			// The delay counts from when all controllers support the level.
			consenting := []Member{upgraded("a"), upgraded("b")}
			at := start.Add(10 * time.Second)
			if next, _ := r.Decide(at, State{}, Current(), consenting, OperatorRequest{}); next != (State{}) {
				t.Errorf("state as soon as the reason is gone = %+v, want level 0", next)
			}
			if next, _ := r.Decide(at.Add(SettleTime-time.Second), State{}, Current(), consenting, OperatorRequest{TargetLevel: Newest}); next != (State{}) {
				t.Errorf("state by what may be late frames = %+v, want level 0", next)
			}
			if next, _ := r.Decide(at.Add(SettleTime), State{}, Current(), consenting, OperatorRequest{}); next.Level != Newest {
				t.Errorf("state after the settle time = %+v, want the newest level", next)
			}
		})
	}
}

// decide decides every SettleTime for a duration, as a leader does, and returns the last
// decision.
func decide(r *LevelRaiser, from time.Time, d time.Duration, st State, members []Member, request OperatorRequest) (State, []string) {
	for at := time.Duration(0); at < d; at += SettleTime {
		r.Decide(from.Add(at), st, Current(), members, request)
	}
	return r.Decide(from.Add(d), st, Current(), members, request)
}

// TestStandstillIsNoConsent guards against raising the level after a pause of the leader's
// process: the leader has not seen who left meanwhile, and the frames it receives when it
// resumes were sent before. Seed 1079 of TestRollout raised the level without a controller
// that was unreachable for 33 s.
func TestStandstillIsNoConsent(t *testing.T) {
	start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	all := []Member{upgraded("a"), upgraded("b")}
	r := LevelRaiser{Delay: 20 * time.Second}
	decide(&r, start, 10*time.Second, State{}, all, OperatorRequest{})
	if next, _ := r.Decide(start.Add(50*time.Second), State{}, Current(), all, OperatorRequest{TargetLevel: Newest}); next != (State{}) {
		t.Errorf("state after a pause = %+v, want level 0", next)
	}
	if next, _ := decide(&r, start.Add(51*time.Second), 20*time.Second, State{}, all, OperatorRequest{}); next.Level != Newest {
		t.Errorf("state after another delay = %+v, want the newest level", next)
	}
}

// TestLevelIsConfirmedByAll guards against opening a gate too early: a level counts as
// confirmed when the current processes of all controllers have read it, and gates that wait
// for confirmation stay closed until then.
func TestLevelIsConfirmedByAll(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	st := State{Level: Newest}
	a, b := upgraded("a"), upgraded("b")
	a.SeenLevel, b.SeenLevel = Newest, Newest-1
	var r LevelRaiser
	next, waits := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{})
	if next.Confirmed != 0 || len(waits) != 1 || next.Open(Envelope) || !next.Open(LeaseLevel) {
		t.Errorf("state = %+v, waits for %q, want level unconfirmed, one wait, Envelope closed and LeaseLevel open", next, waits)
	}
	b.SeenLevel, b.Reachable = Newest, false
	if next, _ := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{}); next.Open(Envelope) {
		t.Error("Envelope open with an unreachable controller = true, want false")
	}
	b.Reachable = true
	if next, _ := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{}); next.Open(Envelope) {
		t.Error("Envelope open by what may be a late frame = true, want false")
	}
	if next, _ := r.Decide(now.Add(SettleTime), st, Current(), []Member{a, b}, OperatorRequest{}); !next.Open(Envelope) {
		t.Errorf("state after the settle time = %+v, want Envelope open", next)
	}
}

// TestOperatorRequestIsFollowed guards against a raise that the operator holds back, or a
// request that is not followed, or followed beyond the newest level of this version.
func TestOperatorRequestIsFollowed(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	all := []Member{upgraded("a"), upgraded("b")}
	for _, c := range []struct {
		name    string
		delay   time.Duration
		request OperatorRequest
		elapsed time.Duration
		want    Level
	}{
		{"no delay set", 0, OperatorRequest{}, time.Hour, 0},
		{"before the delay", time.Minute, OperatorRequest{}, 55 * time.Second, 0},
		{"after the delay", time.Minute, OperatorRequest{}, time.Minute, Newest},
		{"held", time.Minute, OperatorRequest{Hold: true}, time.Hour, 0},
		{"held at a requested level", time.Minute, OperatorRequest{Hold: true, TargetLevel: 1}, time.Hour, 1},
		{"requested before the delay", time.Hour, OperatorRequest{TargetLevel: 1, Hold: true}, 2 * SettleTime, 1},
		{"requested, before the settle time", 0, OperatorRequest{TargetLevel: 1}, 0, 0},
		{"requested, after the settle time", 0, OperatorRequest{TargetLevel: 1}, SettleTime, 1},
		{"requested above the newest level", 0, OperatorRequest{TargetLevel: Newest + 5}, SettleTime, Newest},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := LevelRaiser{Delay: c.delay}
			decide(&r, now, 0, State{}, all, OperatorRequest{})
			if next, waits := decide(&r, now, c.elapsed, State{}, all, c.request); next.Level != c.want {
				t.Errorf("level = %d, waits for %q, want %d", next.Level, waits, c.want)
			}
		})
	}
}

// TestGatesAreInOrder guards against a gate without a name, a level of this version or the
// version that introduced it, and against gates out of the order of their levels.
func TestGatesAreInOrder(t *testing.T) {
	last := Level(1)
	for _, g := range All() {
		info := g.Info()
		if info.Name == "" || info.Version == "" || info.Level < last || info.Level > Newest {
			t.Errorf("gate = %+v, want a name, a version and a level from %d to %d", info, last, Newest)
		}
		last = info.Level
	}
	if last != Newest {
		t.Errorf("highest level of a gate = %d, want %d", last, Newest)
	}
}

// TestInventoryIsDocumented guards against a stored form that docs/upgrades.md does not
// list word for word.
func TestInventoryIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/upgrades.md")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{"": true}
	for _, g := range All() {
		names[g.Info().Name] = true
	}
	for _, f := range Inventory() {
		row := fmt.Sprintf("| `%s` | %d | %s | %s | %s | %s | %s |", f.Name, f.Form, f.Gate, f.Since, f.Writer, f.Readers, f.OlderVersions)
		if !strings.Contains(string(page), row) {
			t.Errorf("docs/upgrades.md lacks the row\n%s", row)
		}
		if !names[f.Gate] {
			t.Errorf("%s form %d: gate %q is unknown, want a gate of All", f.Name, f.Form, f.Gate)
		}
	}
}
