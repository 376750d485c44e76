package wire

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// TestLargestFleetFits packs fleets of thousands of machines parted at random
// over five controllers, as after a long day, into the smallest value limit
// that operators have.
func TestLargestFleetFits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ machines, born, limit int }{{700, 2500, 4 << 10}, {1600, 6000, 8 << 10}} {
		rec := LeaseRecord{Term: 77, Leader: "controller-3", Incarnation: 1 << 41, LastGrant: 1 << 23,
			Blocks: map[string]Block{}, Partitions: map[string]string{"a team": "controller-2"}, Waiting: map[string]int{"kind": 1000}}
		for _, n := range rng.Perm(c.born)[:c.machines] {
			node := fmt.Sprintf("controller-%d", rng.IntN(5))
			b := rec.Blocks[node]
			name := fmt.Sprintf("host-%06d", n)
			if rng.IntN(2) == 0 {
				b.Unreconciled = append(b.Unreconciled, name)
			} else {
				b.Machines = append(b.Machines, name)
			}
			if rng.IntN(5) == 0 {
				b.Draining = append(b.Draining, name)
			}
			b.Grant, b.Incarnation, b.Renewal = 1<<23, 1<<41, 500
			rec.Blocks[node] = b
		}
		for node, b := range rec.Blocks {
			slices.Sort(b.Machines)
			slices.Sort(b.Unreconciled)
			slices.Sort(b.Draining)
			rec.Blocks[node] = b
		}
		body, err := Encode(rec)
		if err != nil {
			t.Fatal(err)
		}
		if size := len(body) * 5 / 4; size > c.limit*9/10 {
			t.Errorf("%d machines take %d bytes of %d", c.machines, size, c.limit)
		}
		var back LeaseRecord
		if err := Decode(body, &back); err != nil {
			t.Fatal(err)
		}
		for node, b := range rec.Blocks {
			if !slices.Equal(b.Machines, back.Blocks[node].Machines) || !slices.Equal(b.Unreconciled, back.Blocks[node].Unreconciled) ||
				!slices.Equal(b.Draining, back.Blocks[node].Draining) {
				t.Errorf("%s came back otherwise", node)
			}
		}
	}
}

func TestNamesOfAnyForm(t *testing.T) {
	for _, names := range [][]string{
		nil,
		{"host-000001"},
		{"a1", "a10", "a2", "a3"}, // widths mixed
		{"007", "1", "host", "host-", "host-00", "host-99999999999999999999999999999", "máy-12"},
	} {
		s := NameSet(slices.Clone(names))
		slices.Sort(s)
		body, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		var back NameSet
		if err := Decode(body, &back); err != nil || !slices.Equal(s, back) {
			t.Errorf("%q came back as %q, %v", s, back, err)
		}
	}
}

// TestDamagedNamesAreNoEmptySet guards against a value of another form, or a
// damaged one, being taken for a fleet without machines.
func TestDamagedNamesAreNoEmptySet(t *testing.T) {
	whole := PackNames([]string{"host-000001", "host-000300", "other-7"})
	for _, v := range []any{7, map[string]any{"a": 1}, "!", whole[:len(whole)-3], []any{"host-000001", 2}} {
		body, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		var s NameSet
		if err := Decode(body, &s); err == nil {
			t.Errorf("%v was read as %q", v, s)
		}
	}
	var s NameSet
	body, err := Encode([]string{"b", "a"}) // the earlier form
	if err == nil {
		err = Decode(body, &s)
	}
	if err != nil || !slices.Equal(s, NameSet{"a", "b"}) {
		t.Errorf("earlier form: %q, %v", s, err)
	}
}
