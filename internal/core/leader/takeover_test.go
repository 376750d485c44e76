package leader

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestLiveHolderIsNotTakenOverEarly guards against a new leader that takes over the block
// of a live holder. The leader is elected long after the last lease value was seen, as
// after an outage: holders must have time to renew with it before their leases count as
// lapsed; then one that has not renewed is taken over.
func TestLiveHolderIsNotTakenOverEarly(t *testing.T) {
	previous := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n0", Incarnation: 7,
		Blocks: map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7}, "n1": {Grant: 3<<16 + 1, Incarnation: 9}}})
	start := previous.loop.Now
	l := New(previous.loop, previous.view, new(leasevalue.PageTable), &fakeController{}, previous.log, 7, 3, map[string]time.Time{"n1": start.Add(-time.Minute)})
	for after, want := range map[time.Duration]bool{l.rebuildPeriod() - time.Second: true, l.rebuildPeriod() + time.Second: false} {
		t.Run(after.String(), func(t *testing.T) {
			l.loop.Begin(start.Add(after))
			rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 1})
			if _, held := rec.Blocks["n1"]; held != want {
				t.Errorf("%v after the election: n1 holds its block = %v, want %v", after, held, want)
			}
		})
	}
}

// TestLeaseCountsAcrossLeaders guards against a block lease that counts anew with each change of
// leader: the value of the leader before this one has not renewed it.
func TestLeaseCountsAcrossLeaders(t *testing.T) {
	blocks := map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7, Renewal: 3}, "n1": {Grant: 3<<16 + 1, Incarnation: 9, Renewal: 5}}
	previous := newLeader([]config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 4, Leader: "n0", Incarnation: 7, Blocks: blocks})
	start := previous.loop.Now
	renewedAt := map[string]time.Time{}
	NoteRenewals(renewedAt, nil, blocks, start.Add(-10*time.Second))
	later := map[string]wire.Block{"n0": {Grant: 3 << 16, Incarnation: 7, Renewal: 4}, "n1": blocks["n1"]}
	NoteRenewals(renewedAt, blocks, later, start)
	if renewedAt["n0"] != start || renewedAt["n1"] != start.Add(-10*time.Second) {
		t.Fatalf("renewed at %v, start %v", renewedAt, start)
	}
	l := New(previous.loop, previous.view, new(leasevalue.PageTable), &fakeController{}, previous.log, 7, 4, renewedAt)
	for after, want := range map[time.Duration]bool{9 * time.Second: true, 12 * time.Second: false} {
		l.loop.Begin(start.Add(after))
		rec, _ := l.Publish(&peerpb.Renewal{Node: "n0", Incarnation: 7, Number: 5})
		if _, held := rec.Blocks["n1"]; held != want {
			t.Errorf("%v after the election, %v after its renewal: n1 holds its block = %v, want %v", after, after+10*time.Second, held, want)
		}
	}
}
