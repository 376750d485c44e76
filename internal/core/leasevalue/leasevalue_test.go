package leasevalue

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"fawncove/internal/wire"
)

// shelf stands in for the state service: one key each, all or nothing.
type shelf struct {
	values map[string][]byte
	most   int // largest value so far, as JSON
	wrote  int // bytes of the last transaction, as JSON
}

func (s *shelf) apply(t testing.TB, lim Limits, ops []wire.Op) {
	t.Helper()
	if len(ops) > lim.TxnOps {
		t.Fatalf("%d changes in a transaction", len(ops))
	}
	s.wrote = 0
	for _, op := range ops {
		raw, err := wire.Encode(op.Value)
		if err != nil {
			t.Fatal(err)
		}
		var plain any
		if err := wire.Decode(raw, &plain); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(plain)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > lim.ValueBytes {
			t.Fatalf("%s takes %d bytes", op.Put, len(text))
		}
		s.most, s.wrote = max(s.most, len(text)), s.wrote+len(text)
		s.values[op.Put] = raw
	}
}

// readAll reads the value as a controller does that has just started.
func (s *shelf) readAll() (*PageTable, wire.LeaseRecord, error) {
	b := &PageTable{}
	for key, raw := range s.values {
		if _, err := b.ReadPage(key, raw); err != nil {
			return b, wire.LeaseRecord{}, err
		}
	}
	rec, err := b.Read(s.values[Key])
	return b, rec, err
}

func same(a, b *wire.LeaseRecord) bool {
	norm := func(r *wire.LeaseRecord) map[string][]string {
		out := map[string][]string{}
		for node, blk := range r.Blocks {
			for kind, names := range blockSets(&blk) {
				out[fmt.Sprint(node, kind)] = append([]string{}, *names...)
			}
		}
		return out
	}
	return a.Term == b.Term && a.Sequence == b.Sequence && a.Leader == b.Leader && reflect.DeepEqual(a.Partitions, b.Partitions) &&
		reflect.DeepEqual(a.Shares, b.Shares) && reflect.DeepEqual(norm(a), norm(b))
}

func names(from, to int) []string {
	var out []string
	for i := from; i < to; i++ {
		out = append(out, fmt.Sprintf("host-%06d", i))
	}
	return out
}

// fleet is a record of controllers, machines rented by the fifty, and teams
// whose limits are parted.
func fleet(controllers, machines int) *wire.LeaseRecord {
	rec := &wire.LeaseRecord{Form: 2, Term: 7, Leader: "stall-0", Incarnation: 1764000000000, LastGrant: 7 << 16, Sequence: 900000,
		Blocks: map[string]wire.Block{}, Partitions: map[string]string{}, Waiting: map[string]int{"small": 1200, "middle": 4400, "large": 900},
		Shares: map[string]wire.Shares{}}
	for i := range controllers {
		rec.Blocks[fmt.Sprintf("stall-%d", i)] = wire.Block{Grant: 7<<16 + uint64(i), Incarnation: 1764000000000, Renewal: 123456}
	}
	for k := range 5 {
		team := fmt.Sprintf("team-%d", k)
		rec.Shares[team] = wire.Shares{}
		for i := range controllers {
			rec.Partitions[team] = "stall-0"
			rec.Partitions[wire.ShardName(team, i+1)] = fmt.Sprintf("stall-%d", i)
			rec.Shares[team][fmt.Sprintf("stall-%d", i)] = wire.Share{CPUs: 12345}
		}
	}
	for from := 0; from < machines; from += 50 {
		node := fmt.Sprintf("stall-%d", from/50%controllers)
		b := rec.Blocks[node]
		b.Machines = append(b.Machines, names(from, min(machines, from+50))...)
		rec.Blocks[node] = b
	}
	return rec
}

// grow stores a large record in as many transactions as it takes, as a leader
// does whose machines join as they come up.
func grow(t testing.TB, s *shelf, b *PageTable, rec *wire.LeaseRecord, lim Limits) {
	t.Helper()
	part := *rec
	part.Blocks = map[string]wire.Block{}
	for node, blk := range rec.Blocks {
		blk.Machines, blk.Unreconciled, blk.Draining = nil, nil, nil
		part.Blocks[node] = blk
	}
	for done := false; !done; {
		done = true
		budget := b.WriteBudget(lim)
		for node, blk := range rec.Blocks {
			mine := part.Blocks[node]
			for len(mine.Machines) < len(blk.Machines) && budget.AddMachine(node) {
				mine.Machines = append(mine.Machines, blk.Machines[len(mine.Machines)])
			}
			done = done && len(mine.Machines) == len(blk.Machines)
			part.Blocks[node] = mine
		}
		part.Sequence++
		write(t, s, b, &part, lim)
	}
	rec.Sequence = part.Sequence
}

func write(t testing.TB, s *shelf, b *PageTable, rec *wire.LeaseRecord, lim Limits) *PendingWrite {
	t.Helper()
	d, err := b.Write(rec, lim)
	if err != nil {
		t.Fatal(err)
	}
	s.apply(t, lim, d.Ops)
	d.Commit()
	return d
}

// TestRandomHistories plays joins, losses, takeovers, recalls and new leaders
// against small limits. After each write a controller that has just started
// must read what was written, and so must one that saw the changes in order.
func TestRandomHistories(t *testing.T) {
	for seed := range uint64(12) {
		r := rand.New(rand.NewPCG(seed, 3))
		lim := Limits{ValueBytes: 4096, TxnOps: 8 + r.IntN(8)}
		s := &shelf{values: map[string][]byte{}}
		writer, watcher := &PageTable{}, &PageTable{}
		rec := fleet(3+r.IntN(3), 0)
		next := 0
		for step := range 120 {
			budget := writer.WriteBudget(lim)
			nodes := slices.Sorted(maps.Keys(rec.Blocks))
			node := nodes[r.IntN(len(nodes))]
			blk := rec.Blocks[node]
			switch r.IntN(10) {
			case 0, 1, 2:
				for range r.IntN(120) {
					if !budget.AddMachine(node) {
						break
					}
					next += 1 + r.IntN(1+r.IntN(40))
					blk.Machines = append(slices.Clone(blk.Machines), names(next, next+1)...)
				}
			case 3, 4:
				share := r.IntN(100)
				for _, set := range blockSets(&blk)[:2] {
					*set = slices.DeleteFunc(slices.Clone(*set), func(n string) bool { return r.IntN(100) < share && budget.RemoveMachine(n) })
				}
				blk.Draining = nil
			case 5: // taken over, as a whole
				to := nodes[r.IntN(len(nodes))]
				if to == node {
					break
				}
				b := rec.Blocks[to]
				b.Unreconciled = append(append(slices.Clone(b.Unreconciled), blk.Machines...), blk.Unreconciled...)
				slices.Sort(b.Unreconciled)
				rec.Blocks[to] = b
				blk.Machines, blk.Unreconciled, blk.Draining = nil, nil, nil
			case 6: // restarted
				blk.Unreconciled = append(slices.Clone(blk.Unreconciled), blk.Machines...)
				slices.Sort(blk.Unreconciled)
				blk.Machines = nil
			case 7:
				blk.Draining = nil
				for _, n := range append(slices.Clone(blk.Machines), blk.Unreconciled...) {
					if r.IntN(40) == 0 && len(blk.Draining) < 20 {
						blk.Draining = append(blk.Draining, n)
					}
				}
				slices.Sort(blk.Draining)
			case 9: // all others end at once; nothing else is written with that
				for _, dead := range nodes {
					if dead != node {
						b := rec.Blocks[dead]
						blk.Unreconciled = append(append(slices.Clone(blk.Unreconciled), b.Machines...), b.Unreconciled...)
						b.Machines, b.Unreconciled, b.Draining = nil, nil, nil
						rec.Blocks[dead] = b
					}
				}
				slices.Sort(blk.Unreconciled)
			case 8: // another leads
				var err error
				if writer, _, err = s.readAll(); err != nil && step > 0 {
					t.Fatalf("seed %d step %d: %v", seed, step, err)
				}
			}
			rec.Blocks[node] = blk
			rec.Sequence++
			d := write(t, s, writer, rec, lim)
			_, got, err := s.readAll()
			if err != nil {
				t.Fatalf("seed %d step %d: %v", seed, step, err)
			}
			if !same(&got, rec) {
				t.Fatalf("seed %d step %d: read %+v, wrote %+v", seed, step, got, rec)
			}
			for _, op := range d.Ops[1:] {
				if _, err := watcher.ReadPage(op.Put, s.values[op.Put]); err != nil {
					t.Fatal(err)
				}
			}
			if got, err := watcher.Read(s.values[Key]); err != nil || !same(&got, rec) {
				t.Fatalf("seed %d step %d: the watcher read %+v, %v", seed, step, got, err)
			}
		}
	}
}

// TestMissingPageGrantsNothing reads a value whose pages are unknown, of an
// earlier or of a later edition, or damaged.
func TestMissingPageGrantsNothing(t *testing.T) {
	lim := Limits{ValueBytes: 4096, TxnOps: 12}
	s := &shelf{values: map[string][]byte{}}
	b, rec := &PageTable{}, fleet(5, 4000)
	grow(t, s, b, rec, lim)
	if _, err := (&PageTable{}).Read(s.values[Key]); !errors.Is(err, ErrPageMissing) {
		t.Errorf("without any page: %v", err)
	}
	old := map[string][]byte{}
	for k, v := range s.values {
		old[k] = v
	}
	blk := rec.Blocks["stall-1"]
	blk.Machines = blk.Machines[:len(blk.Machines)-1]
	rec.Blocks["stall-1"] = blk
	rec.Sequence++
	d := write(t, s, b, rec, lim)
	if len(d.Ops) != 2 {
		t.Errorf("one machine less takes %d changes", len(d.Ops))
	}
	mixed := &shelf{values: map[string][]byte{}}
	for k, v := range old {
		mixed.values[k] = v
	}
	mixed.values[Key] = s.values[Key]
	if _, _, err := mixed.readAll(); !errors.Is(err, ErrPageMissing) {
		t.Errorf("a page of an earlier edition: %v", err)
	}
	mixed.values[Key], mixed.values[d.Ops[1].Put] = old[Key], s.values[d.Ops[1].Put]
	if _, _, err := mixed.readAll(); !errors.Is(err, ErrPageMissing) {
		t.Errorf("a page of a later edition: %v", err)
	}
	mixed.values[d.Ops[1].Put] = []byte{0xc1}
	if _, _, err := mixed.readAll(); err == nil {
		t.Error("a damaged page was read")
	}
}

// TestFormsDoNotMix: a record of an earlier version is read, what an earlier
// version would make of form 2 is an error, and so is a form to come.
func TestFormsDoNotMix(t *testing.T) {
	rec := fleet(5, 60)
	rec.Form, rec.Shares = 1, nil
	raw, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := (&PageTable{}).Read(raw); err != nil || !same(&got, rec) {
		t.Errorf("form 1: %+v, %v", got, err)
	}
	d, err := (&PageTable{}).Write(fleet(5, 60), Limits{ValueBytes: 4096, TxnOps: 12})
	if err != nil {
		t.Fatal(err)
	}
	if raw, err = wire.Encode(d.Ops[0].Value); err != nil {
		t.Fatal(err)
	}
	var before wire.LeaseRecord
	if err := wire.Decode(raw, &before); err == nil {
		t.Errorf("an earlier version reads form 2 as %+v", before)
	}
	if raw, err = wire.Encode(map[string]any{"form": Form + 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := (&PageTable{}).Read(raw); err == nil || !errors.As(err, new(wire.FormError)) {
		t.Errorf("a form to come: %v", err)
	}
}

// TestLevelsNeedTheNewForm: a value with a level is unreadable to versions from
// before levels, and whoever writes it again keeps what it does not know of it.
func TestLevelsNeedTheNewForm(t *testing.T) {
	rec := fleet(5, 60)
	rec.Form, rec.Level, rec.Confirmed, rec.Generation = Form, 2, 1, 7
	future, err := wire.Encode([]string{"of a later version"})
	if err != nil {
		t.Fatal(err)
	}
	rec.Unknown = wire.Fields{"later": future}
	s, b := &shelf{values: map[string][]byte{}}, &PageTable{}
	for range 3 { // read and written again and again
		d, err := b.Write(rec, Limits{ValueBytes: 4096, TxnOps: 12})
		if err != nil {
			t.Fatal(err)
		}
		s.apply(t, Limits{ValueBytes: 4096, TxnOps: 12}, d.Ops)
		d.Commit()
		_, got, err := s.readAll()
		if err != nil || !same(&got, rec) || got.Level != 2 || got.Confirmed != 1 || got.Generation != 7 {
			t.Fatalf("%+v, %v", got, err)
		}
		if !reflect.DeepEqual(got.Unknown, rec.Unknown) {
			t.Fatalf("kept of what is unknown: %v", got.Unknown)
		}
		rec = &got
		rec.Sequence++
	}
	if _, err := (&PageTable{FormsBeforeLevels: true}).Read(s.values[Key]); !errors.As(err, new(wire.FormError)) {
		t.Errorf("from before levels: %v", err)
	}
}

// TestTenThousandMachines stores 10,000 machines at 4 KiB a value, with five
// and nine controllers: in steady state, with holes, all of one controller's
// machines taken over, and many recalled.
func TestTenThousandMachines(t *testing.T) {
	lim := Limits{ValueBytes: 4096, TxnOps: 12}
	for _, controllers := range []int{5, 9} {
		s := &shelf{values: map[string][]byte{}}
		b, rec := &PageTable{}, fleet(controllers, 10000)
		grow(t, s, b, rec, lim)
		steady := s.wrote
		// A wave takes every third machine, as fast as transactions allow.
		writes := 0
		for left := true; left; writes++ {
			left = false
			budget := b.WriteBudget(lim)
			for node, blk := range rec.Blocks {
				blk.Machines = slices.DeleteFunc(slices.Clone(blk.Machines), func(n string) bool {
					gone := n[len(n)-1]%3 == 0
					ok := gone && budget.RemoveMachine(n)
					left = left || (gone && !ok)
					return ok
				})
				rec.Blocks[node] = blk
			}
			rec.Sequence++
			write(t, s, b, rec, lim)
		}
		// A controller ends; its successor gets all of its machines.
		dead, to := rec.Blocks["stall-1"], rec.Blocks["stall-2"]
		to.Unreconciled, to.Draining = dead.Machines, dead.Machines[:150]
		delete(rec.Blocks, "stall-1")
		rec.Blocks["stall-2"] = to
		for team := range rec.Shares {
			delete(rec.Shares[team], "stall-1")
		}
		for home, node := range rec.Partitions {
			if node == "stall-1" {
				rec.Partitions[home] = "stall-2"
			}
		}
		rec.Sequence++
		d := write(t, s, b, rec, lim)
		if len(d.Ops) != 1 {
			t.Errorf("%d controllers: a takeover changes %d values", controllers, len(d.Ops))
		}
		if _, got, err := s.readAll(); err != nil || !same(&got, rec) {
			t.Errorf("%d controllers: not read as written: %v", controllers, err)
		}
		t.Logf("%d controllers: %d values, the largest %d bytes, the lease value %d, the last growth %d bytes, a wave over a third of the fleet %d writes, %d a takeover",
			controllers, len(s.values), s.most, d.Bytes, steady, writes, s.wrote)
	}
}

// atSizes stores fleets of several sizes and runs f on each.
func atSizes(b *testing.B, f func(b *testing.B, s *shelf, book *PageTable, rec *wire.LeaseRecord, lim Limits)) {
	for _, n := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lim := Limits{ValueBytes: 4096, TxnOps: 12}
			s := &shelf{values: map[string][]byte{}}
			book, rec := &PageTable{}, fleet(5, n)
			grow(b, s, book, rec, lim)
			f(b, s, book, rec, lim)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/machine")
		})
	}
}

// BenchmarkWrite stores a fleet of which one machine has left and one joined.
func BenchmarkWrite(b *testing.B) {
	atSizes(b, func(b *testing.B, s *shelf, book *PageTable, rec *wire.LeaseRecord, lim Limits) {
		for next := 900000; b.Loop(); next++ {
			blk := rec.Blocks["stall-3"]
			blk.Machines = append(slices.Clone(blk.Machines[1:]), names(next, next+1)...)
			rec.Blocks["stall-3"] = blk
			rec.Sequence++
			d, err := book.Write(rec, lim)
			if err != nil {
				b.Fatal(err)
			}
			d.Commit()
		}
	})
}

// BenchmarkRead reads the value with all its pages known.
func BenchmarkRead(b *testing.B) {
	atSizes(b, func(b *testing.B, s *shelf, book *PageTable, _ *wire.LeaseRecord, _ Limits) {
		for b.Loop() {
			if _, err := book.Read(s.values[Key]); err != nil {
				b.Fatal(err)
			}
		}
	})
}
