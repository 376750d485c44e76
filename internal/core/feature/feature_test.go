package feature

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// able is a controller that can follow all levels of this version.
func able(name string) Member {
	return Member{Name: name, Reachable: true, Incarnation: 7, LeaseIncarnation: 7, Announced: Announcement{Incarnation: 7, Levels: Current(), Version: "new"}}
}

// TestRaiseNeedsEveryController takes one reason after the other away from a
// controller that keeps the cluster at its level, and raises without its consent
// never.
func TestRaiseNeedsEveryController(t *testing.T) {
	start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		spoil func(m *Member)
		says  string
	}{
		"never heard":         {func(m *Member) { *m = Member{Name: m.Name} }, "b was never heard"},
		"absent":              {func(m *Member) { m.Reachable = false }, "b is not heard"},
		"told nothing":        {func(m *Member) { m.Announced = Announcement{} }, "b has told no level"},
		"a new process":       {func(m *Member) { m.Incarnation = 8 }, "b told its level as an earlier process"},
		"block of another":    {func(m *Member) { m.LeaseIncarnation = 8 }, "b holds its block as an earlier process"},
		"follows less":        {func(m *Member) { m.Announced.Levels.Newest = 0 }, "b version new follows levels 0 to 0 only"},
		"needs a later level": {func(m *Member) { m.Announced.Levels = Range{3, 4} }, "b version new follows levels 3 to 4 only"},
	} {
		r := LevelRaiser{Delay: time.Second}
		bad := able("b")
		c.spoil(&bad)
		// As long as the reason lasts neither time nor the operator's word helps.
		for s := range 5 {
			next, waits := r.Decide(start.Add(time.Duration(s)*time.Second), State{}, Current(), []Member{able("a"), bad}, OperatorRequest{TargetLevel: Newest})
			if next != (State{}) || !strings.Contains(strings.Join(waits, ";"), c.says) {
				t.Errorf("%s: raised to %+v, waits for %q", name, next, waits)
			}
		}
		// The time counts from when all can, not from before.
		good := []Member{able("a"), able("b")}
		at := start.Add(10 * time.Second)
		if next, _ := r.Decide(at, State{}, Current(), good, OperatorRequest{}); next != (State{}) {
			t.Errorf("%s: raised to %+v the moment the reason was gone", name, next)
		}
		if next, _ := r.Decide(at.Add(SettleTime-time.Second), State{}, Current(), good, OperatorRequest{TargetLevel: Newest}); next != (State{}) {
			t.Errorf("%s: raised to %+v by what may be late frames", name, next)
		}
		if next, _ := r.Decide(at.Add(SettleTime), State{}, Current(), good, OperatorRequest{}); next.Level != Newest {
			t.Errorf("%s: not raised after a while: %+v", name, next)
		}
	}
}

// decide takes a decision every five seconds up to a time, as a leader does.
func decide(r *LevelRaiser, from time.Time, d time.Duration, st State, members []Member, word OperatorRequest) (State, []string) {
	for at := time.Duration(0); at < d; at += SettleTime {
		r.Decide(from.Add(at), st, Current(), members, word)
	}
	return r.Decide(from.Add(d), st, Current(), members, word)
}

// TestStandstillIsNoConsent: a leader that stood still has not seen who went
// meanwhile, and what it hears when it wakes was sent before. Seed 1079 of
// TestRollout raised the level without a controller that was away for 33 s.
func TestStandstillIsNoConsent(t *testing.T) {
	start := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	all := []Member{able("a"), able("b")}
	r := LevelRaiser{Delay: 20 * time.Second}
	decide(&r, start, 10*time.Second, State{}, all, OperatorRequest{})
	if next, _ := r.Decide(start.Add(50*time.Second), State{}, Current(), all, OperatorRequest{TargetLevel: Newest}); next != (State{}) {
		t.Errorf("raised to %+v after a standstill", next)
	}
	if next, _ := decide(&r, start.Add(51*time.Second), 20*time.Second, State{}, all, OperatorRequest{}); next.Level != Newest {
		t.Errorf("not raised after that: %+v", next)
	}
}

// TestConfirmedByAll: a level counts as confirmed when all have read it, as the
// processes that they are, and gates that wait stay closed until then.
func TestConfirmedByAll(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	st := State{Level: Newest}
	a, b := able("a"), able("b")
	a.SeenLevel, b.SeenLevel = Newest, Newest-1
	var r LevelRaiser
	next, waits := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{})
	if next.Confirmed != 0 || len(waits) != 1 || next.Open(Envelope) || !next.Open(LeaseLevel) {
		t.Errorf("%+v, waits %q", next, waits)
	}
	b.SeenLevel, b.Reachable = Newest, false
	if next, _ := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{}); next.Open(Envelope) {
		t.Error("confirmed by one that is not heard")
	}
	b.Reachable = true
	if next, _ := r.Decide(now, st, Current(), []Member{a, b}, OperatorRequest{}); next.Open(Envelope) {
		t.Error("confirmed by what may be a late frame")
	}
	if next, _ := r.Decide(now.Add(SettleTime), st, Current(), []Member{a, b}, OperatorRequest{}); !next.Open(Envelope) {
		t.Errorf("not confirmed: %+v", next)
	}
}

// TestOperatorsWord: held back, asked for, and a level that its own version does
// not know.
func TestOperatorsWord(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	all := []Member{able("a"), able("b")}
	for _, c := range []struct {
		after time.Duration
		word  OperatorRequest
		later time.Duration
		want  Level
	}{
		{0, OperatorRequest{}, time.Hour, 0},
		{time.Minute, OperatorRequest{}, 55 * time.Second, 0},
		{time.Minute, OperatorRequest{}, time.Minute, Newest},
		{time.Minute, OperatorRequest{Hold: true}, time.Hour, 0},
		{time.Minute, OperatorRequest{Hold: true, TargetLevel: 1}, time.Hour, 1},
		{time.Hour, OperatorRequest{TargetLevel: 1, Hold: true}, 2 * SettleTime, 1},
		{0, OperatorRequest{TargetLevel: 1}, 0, 0},
		{0, OperatorRequest{TargetLevel: 1}, SettleTime, 1},
		{0, OperatorRequest{TargetLevel: Newest + 5}, SettleTime, Newest},
	} {
		r := LevelRaiser{Delay: c.after}
		decide(&r, now, 0, State{}, all, OperatorRequest{})
		if next, waits := decide(&r, now, c.later, State{}, all, c.word); next.Level != c.want {
			t.Errorf("%+v: level %d, waits %q", c, next.Level, waits)
		}
	}
}

// TestGatesAreInOrder: every gate has a name, a level of this version and the
// version that brought it.
func TestGatesAreInOrder(t *testing.T) {
	last := Level(1)
	for _, g := range All() {
		i := g.Info()
		if i.Name == "" || i.Version == "" || i.Level < last || i.Level > Newest {
			t.Errorf("%+v", i)
		}
		last = i.Level
	}
	if last != Newest {
		t.Errorf("no gate at level %d", Newest)
	}
}

// TestInventoryIsWritten: the operators' page has every form, word for word.
func TestInventoryIsWritten(t *testing.T) {
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
			t.Errorf("docs/upgrades.md lacks\n%s", row)
		}
		if !names[f.Gate] {
			t.Errorf("%s form %d: no gate %q", f.Name, f.Form, f.Gate)
		}
	}
}
