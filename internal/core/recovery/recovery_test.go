package recovery

import (
	"fmt"
	"strings"
	"testing"

	"fawncove/internal/wire"
)

var keys = Keys{Job: "j/", End: "t/"}

// TestMissingWritesKeepEndsFinal stores what is known and not there, within the limits of a transaction:
// ends of jobs whose records are back before anything else, and nothing that has ended as
// a job.
func TestMissingWritesKeepEndsFinal(t *testing.T) {
	m := &KnownState{Jobs: map[string]any{}, Ends: map[string]wire.EndRecord{"zombie": {State: wire.Done}, "gone": {State: wire.Cancelled}, "known": {State: wire.Done}, "other": {State: wire.Done}, "untold": {State: wire.Done}},
		StayingEnds: map[string]bool{"other": true}}
	for i := range 30 {
		m.Jobs[fmt.Sprintf("job-%02d", i)] = strings.Repeat("x", 1000)
	}
	m.Jobs["known"], m.Jobs["ended elsewhere"] = "old", "old"
	f := &StoredState{Jobs: map[string]wire.Revision{"zombie": 7, "job-03": 8}, Ends: map[string]StoredEnd{
		"known": {wire.Done, 3}, "ended elsewhere": {wire.Done, 4}, "other": {wire.Cancelled, 5}, "untold": {wire.Cancelled, 6}}}
	w, err := MissingWrites(m, f, keys, Limits{Ops: 8, Bytes: 5000})
	if err != nil || w.Jobs != 29 || w.Ends != 3 {
		t.Fatalf("%d jobs, %d ends, %v", w.Jobs, w.Ends, err)
	}
	txns := w.Txns
	if first := txns[0].Then; first[0].Delete != "j/zombie" || first[1].Put != "t/zombie" || txns[0].If[0] != (wire.Condition{Key: "j/zombie", Version: 7}) {
		t.Errorf("first: %+v", txns[0])
	}
	stored := map[string]int{}
	for _, x := range txns {
		size := 0
		for _, op := range x.Then {
			stored[op.Put+op.Delete]++
			if text, ok := op.Value.(string); ok {
				size += len(text)
			}
		}
		if len(x.Then) > 8 || len(x.If) > 4*8 || size > 5000 {
			t.Errorf("a transaction of %d changes, %d conditions, %d bytes", len(x.Then), len(x.If), size)
		}
	}
	for _, key := range []string{"t/zombie", "t/gone", "t/other", "j/job-00", "j/job-29"} {
		if stored[key] != 1 {
			t.Errorf("%s is stored %d times", key, stored[key])
		}
	}
	for _, key := range []string{"j/job-03", "j/known", "j/ended elsewhere", "t/known", "t/untold"} {
		if stored[key] != 0 {
			t.Errorf("%s is stored", key)
		}
	}
	if again, _ := MissingWrites(&KnownState{}, f, keys, Limits{Ops: 8, Bytes: 5000}); len(again.Txns) != 0 {
		t.Errorf("%d transactions for nothing", len(again.Txns))
	}
}

// TestOnlyMissingCompletedTasksAreStored stores completed tasks that the state does not show, and only those.
func TestOnlyMissingCompletedTasksAreStored(t *testing.T) {
	m := &KnownState{CompletedTasks: map[string][]byte{"a": {1, 2}, "b": {8}, "c": make([]byte, 300)}}
	m.CompletedTasks["c"][299] = 1
	f := &StoredState{CompletedTasks: map[string][]byte{"a": {3, 2, 1}, "b": {4}}}
	got := CompletedTaskPages(m, f, 100)
	if len(got) != 2 || got[0]["b"] == "" || got[1]["c"] == "" || got[0]["a"] != "" {
		t.Errorf("%v", got)
	}
}

// TestMergedLeaseReusesNoTermOrMachine joins the value of before the loss with an older one that was found: no
// term, token or machine of either may be taken for new, and no limit is given twice.
func TestMergedLeaseReusesNoTermOrMachine(t *testing.T) {
	before := &wire.LeaseRecord{Term: 9, Sequence: 50, Form: 3, Level: 2, Confirmed: 2, Leader: "n1", Partitions: map[string]string{"red": "n1", "red #2": "n2"},
		Blocks: map[string]wire.Block{"n1": {Machines: wire.NameSet{"host-1"}, Unreconciled: wire.NameSet{"host-2"}}, "n2": {Machines: wire.NameSet{"host-3"}}},
		Shares: map[string]wire.Shares{"red": {"n1": {CPUs: 10}, "n2": {CPUs: 20}}}}
	found := &wire.LeaseRecord{Term: 4, Sequence: 20, Form: 2, Partitions: map[string]string{"red": "n2", "blue": "n2"},
		Blocks: map[string]wire.Block{"n2": {Machines: wire.NameSet{"host-4", "host-1"}}}}
	const token = (wire.FencingToken(12)<<16+5)<<24 + 99 // made in term 12, which neither value knows
	a, b1 := ViewOf(*before), ViewOf(*found)
	b1.Token, b1.Machines = token, wire.NameSet{"host-5"}
	raw, err := wire.Encode(a) // as it goes to another controller
	if err != nil {
		t.Fatal(err)
	}
	var sent View
	if err := wire.Decode(raw, &sent); err != nil {
		t.Fatal(err)
	}
	got := MergeLease("n0", 77, 2, func(string) wire.Share { return wire.Share{CPUs: 30} }, &sent, &b1)
	if got.Term <= 12+1 || got.Sequence != 51 || got.Form != 3 || got.Level != 2 || got.Confirmed != 2 || got.Leader != "n0" || got.Generation != 2 {
		t.Errorf("%+v", got)
	}
	b := got.Blocks["n0"]
	if len(got.Blocks) != 1 || len(b.Machines) != 0 || strings.Join(b.Unreconciled, " ") != "host-1 host-2 host-3 host-4 host-5" || b.Incarnation != 77 || wire.FencingToken(b.Grant<<24) <= token {
		t.Errorf("block %+v", b)
	}
	if len(got.Partitions) != 3 || got.Partitions["red #2"] != "n0" || len(got.Shares["red"]) != 1 || got.Shares["red"]["n0"].CPUs != 30 {
		t.Errorf("homes %v, shares %v", got.Partitions, got.Shares)
	}
}
