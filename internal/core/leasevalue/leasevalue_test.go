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

// fakeStore is a state store in memory that applies transactions as a whole.
type fakeStore struct {
	values       map[string][]byte
	largestValue int // bytes of the largest value so far, as JSON
	txnBytes     int // bytes of the last transaction, as JSON
}

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore { return &fakeStore{values: map[string][]byte{}} }

// apply stores a transaction and fails the test if it exceeds the limits.
func (s *fakeStore) apply(t testing.TB, limits Limits, ops []wire.Op) {
	t.Helper()
	if len(ops) > limits.TxnOps {
		t.Fatalf("transaction has %d operations, want at most %d", len(ops), limits.TxnOps)
	}
	s.txnBytes = 0
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
		if len(text) > limits.ValueBytes {
			t.Fatalf("%s takes %d bytes, want at most %d", op.Put, len(text), limits.ValueBytes)
		}
		s.largestValue, s.txnBytes = max(s.largestValue, len(text)), s.txnBytes+len(text)
		s.values[op.Put] = raw
	}
}

// readAll reads the lease value as a controller does that has just started.
func (s *fakeStore) readAll() (*PageTable, wire.LeaseRecord, error) {
	table := &PageTable{}
	for key, raw := range s.values {
		if _, err := table.ReadPage(key, raw); err != nil {
			return table, wire.LeaseRecord{}, err
		}
	}
	rec, err := table.Read(s.values[Key])
	return table, rec, err
}

// equalRecords reports whether two records are equal in all that every form stores;
// an absent set of instances equals an empty one.
func equalRecords(a, b *wire.LeaseRecord) bool {
	normalize := func(r *wire.LeaseRecord) map[string][]string {
		sets := map[string][]string{}
		for node, block := range r.Blocks {
			for kind, names := range blockSets(&block) {
				sets[fmt.Sprint(node, kind)] = append([]string{}, *names...)
			}
		}
		return sets
	}
	return a.Term == b.Term && a.Sequence == b.Sequence && a.Leader == b.Leader && reflect.DeepEqual(a.Partitions, b.Partitions) &&
		reflect.DeepEqual(a.Shares, b.Shares) && reflect.DeepEqual(normalize(a), normalize(b))
}

// instanceNames returns the names of the instances from one number up to another.
func instanceNames(from, to int) []string {
	var names []string
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("host-%06d", i))
	}
	return names
}

// leaseRecord returns a record of controllers with instances, created fifty at a time,
// and of five teams whose limits are split into shares.
func leaseRecord(controllers, machines int) *wire.LeaseRecord {
	rec := &wire.LeaseRecord{Form: 2, Term: 7, Leader: "stall-0", Incarnation: 1764000000000, LastGrant: 7 << 16, Sequence: 900000,
		Blocks: map[string]wire.Block{}, Partitions: map[string]string{}, Waiting: map[string]int{"small": 1200, "middle": 4400, "large": 900},
		Shares: map[string]wire.Shares{}}
	for i := range controllers {
		rec.Blocks[fmt.Sprintf("stall-%d", i)] = wire.Block{Grant: 7<<16 + wire.Grant(i), Incarnation: 1764000000000, Renewal: 123456}
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
		block := rec.Blocks[node]
		block.Machines = append(block.Machines, instanceNames(from, min(machines, from+50))...)
		rec.Blocks[node] = block
	}
	return rec
}

// writeGradually stores a large record in as many transactions as it takes, as a leader
// does whose instances join as they boot.
func writeGradually(t testing.TB, s *fakeStore, table *PageTable, rec *wire.LeaseRecord, limits Limits) {
	t.Helper()
	part := *rec
	part.Blocks = map[string]wire.Block{}
	for node, block := range rec.Blocks {
		block.Machines, block.Unreconciled, block.Draining = nil, nil, nil
		part.Blocks[node] = block
	}
	for done := false; !done; {
		done = true
		budget := table.WriteBudget(limits)
		for node, block := range rec.Blocks {
			mine := part.Blocks[node]
			for len(mine.Machines) < len(block.Machines) && budget.AddMachine(node) {
				mine.Machines = append(mine.Machines, block.Machines[len(mine.Machines)])
			}
			done = done && len(mine.Machines) == len(block.Machines)
			part.Blocks[node] = mine
		}
		part.Sequence++
		write(t, s, table, &part, limits)
	}
	rec.Sequence = part.Sequence
}

// write stores a record and returns the write, which is committed.
func write(t testing.TB, s *fakeStore, table *PageTable, rec *wire.LeaseRecord, limits Limits) *PendingWrite {
	t.Helper()
	pending, err := table.Write(rec, limits)
	if err != nil {
		t.Fatal(err)
	}
	s.apply(t, limits, pending.Ops)
	pending.Commit()
	return pending
}

// TestRandomWritesAreReadBack guards against a record that is read otherwise than it was
// written: instances join, are deleted and drained, blocks are taken over and leaders
// change at random, with small limits. After each write both a controller that has just
// started and one that watches the changes in order must read what was written.
func TestRandomWritesAreReadBack(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 3))
			limits := Limits{ValueBytes: 4096, TxnOps: 8 + r.IntN(8)}
			s := newFakeStore()
			writer, watcher := &PageTable{}, &PageTable{}
			rec := leaseRecord(3+r.IntN(3), 0)
			next := 0
			for step := range 120 {
				budget := writer.WriteBudget(limits)
				nodes := slices.Sorted(maps.Keys(rec.Blocks))
				node := nodes[r.IntN(len(nodes))]
				block := rec.Blocks[node]
				switch r.IntN(10) {
				case 0, 1, 2: // instances join
					for range r.IntN(120) {
						if !budget.AddMachine(node) {
							break
						}
						next += 1 + r.IntN(1+r.IntN(40))
						block.Machines = append(slices.Clone(block.Machines), instanceNames(next, next+1)...)
					}
				case 3, 4: // instances are deleted
					share := r.IntN(100)
					for _, set := range blockSets(&block)[:2] {
						*set = slices.DeleteFunc(slices.Clone(*set), func(n string) bool { return r.IntN(100) < share && budget.RemoveMachine(n) })
					}
					block.Draining = nil
				case 5: // one block is taken over
					to := nodes[r.IntN(len(nodes))]
					if to == node {
						break
					}
					b := rec.Blocks[to]
					b.Unreconciled = append(append(slices.Clone(b.Unreconciled), block.Machines...), block.Unreconciled...)
					slices.Sort(b.Unreconciled)
					rec.Blocks[to] = b
					block.Machines, block.Unreconciled, block.Draining = nil, nil, nil
				case 6: // the holder restarts
					block.Unreconciled = append(slices.Clone(block.Unreconciled), block.Machines...)
					slices.Sort(block.Unreconciled)
					block.Machines = nil
				case 7: // instances are drained
					block.Draining = nil
					for _, n := range append(slices.Clone(block.Machines), block.Unreconciled...) {
						if r.IntN(40) == 0 && len(block.Draining) < 20 {
							block.Draining = append(block.Draining, n)
						}
					}
					slices.Sort(block.Draining)
				case 9: // all other controllers fail at once; nothing else is written with that
					for _, dead := range nodes {
						if dead != node {
							b := rec.Blocks[dead]
							block.Unreconciled = append(append(slices.Clone(block.Unreconciled), b.Machines...), b.Unreconciled...)
							b.Machines, b.Unreconciled, b.Draining = nil, nil, nil
							rec.Blocks[dead] = b
						}
					}
					slices.Sort(block.Unreconciled)
				case 8: // another controller leads
					var err error
					if writer, _, err = s.readAll(); err != nil && step > 0 {
						t.Fatalf("step %d: reading the store: %v", step, err)
					}
				}
				rec.Blocks[node] = block
				rec.Sequence++
				pending := write(t, s, writer, rec, limits)
				_, got, err := s.readAll()
				if err != nil {
					t.Fatalf("step %d: reading the store: %v", step, err)
				}
				if !equalRecords(&got, rec) {
					t.Fatalf("step %d: read %+v, want as written %+v", step, got, rec)
				}
				for _, op := range pending.Ops[1:] {
					if _, err := watcher.ReadPage(op.Put, s.values[op.Put]); err != nil {
						t.Fatal(err)
					}
				}
				if got, err := watcher.Read(s.values[Key]); err != nil || !equalRecords(&got, rec) {
					t.Fatalf("step %d: the watcher read %+v, %v, want as written %+v", step, got, err, rec)
				}
			}
		})
	}
}

// TestMissingPageIsRefused guards against reading a lease value without its pages, as if
// their instances were granted to nobody: pages that are unknown, of an earlier or of a
// later version, or corrupt.
func TestMissingPageIsRefused(t *testing.T) {
	limits := Limits{ValueBytes: 4096, TxnOps: 12}
	s := newFakeStore()
	table, rec := &PageTable{}, leaseRecord(5, 4000)
	writeGradually(t, s, table, rec, limits)
	if _, err := (&PageTable{}).Read(s.values[Key]); !errors.Is(err, ErrPageMissing) {
		t.Errorf("without any page: error = %v, want ErrPageMissing", err)
	}
	old := maps.Clone(s.values)
	block := rec.Blocks["stall-1"]
	block.Machines = block.Machines[:len(block.Machines)-1]
	rec.Blocks["stall-1"] = block
	rec.Sequence++
	pending := write(t, s, table, rec, limits)
	if len(pending.Ops) != 2 {
		t.Errorf("removing one instance takes %d operations, want 2", len(pending.Ops))
	}
	mixed := newFakeStore()
	maps.Copy(mixed.values, old)
	mixed.values[Key] = s.values[Key]
	if _, _, err := mixed.readAll(); !errors.Is(err, ErrPageMissing) {
		t.Errorf("page of an earlier version: error = %v, want ErrPageMissing", err)
	}
	mixed.values[Key], mixed.values[pending.Ops[1].Put] = old[Key], s.values[pending.Ops[1].Put]
	if _, _, err := mixed.readAll(); !errors.Is(err, ErrPageMissing) {
		t.Errorf("page of a later version: error = %v, want ErrPageMissing", err)
	}
	mixed.values[pending.Ops[1].Put] = []byte{0xc1}
	if _, _, err := mixed.readAll(); err == nil {
		t.Error("corrupt page: error = nil, want an error")
	}
}

// TestUnknownFormIsRefused guards against misreading a lease value of another form: form 1
// is read, a version that knows only form 1 fails to read form 2, and a form of a later
// version is an error.
func TestUnknownFormIsRefused(t *testing.T) {
	rec := leaseRecord(5, 60)
	rec.Form, rec.Shares = 1, nil
	raw, err := wire.Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := (&PageTable{}).Read(raw); err != nil || !equalRecords(&got, rec) {
		t.Errorf("form 1: read %+v, %v, want %+v", got, err, rec)
	}
	pending, err := (&PageTable{}).Write(leaseRecord(5, 60), Limits{ValueBytes: 4096, TxnOps: 12})
	if err != nil {
		t.Fatal(err)
	}
	if raw, err = wire.Encode(pending.Ops[0].Value); err != nil {
		t.Fatal(err)
	}
	var earlier wire.LeaseRecord
	if err := wire.Decode(raw, &earlier); err == nil {
		t.Errorf("an earlier version reads form 2 as %+v, want an error", earlier)
	}
	if raw, err = wire.Encode(map[string]any{"form": Form + 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := (&PageTable{}).Read(raw); err == nil || !errors.As(err, new(wire.FormError)) {
		t.Errorf("form of a later version: error = %v, want a FormError", err)
	}
}

// TestRewriteKeepsLevelAndUnknownFields guards against losing the feature level or the
// fields of a later version when a value is read and written again; versions from before
// feature levels must not read the value at all.
func TestRewriteKeepsLevelAndUnknownFields(t *testing.T) {
	rec := leaseRecord(5, 60)
	rec.Form, rec.Level, rec.Confirmed, rec.Generation = Form, 2, 1, 7
	future, err := wire.Encode([]string{"of a later version"})
	if err != nil {
		t.Fatal(err)
	}
	rec.Unknown = wire.Fields{"later": future}
	s, table := newFakeStore(), &PageTable{}
	for range 3 { // read and written again and again
		pending, err := table.Write(rec, Limits{ValueBytes: 4096, TxnOps: 12})
		if err != nil {
			t.Fatal(err)
		}
		s.apply(t, Limits{ValueBytes: 4096, TxnOps: 12}, pending.Ops)
		pending.Commit()
		_, got, err := s.readAll()
		if err != nil || !equalRecords(&got, rec) || got.Level != 2 || got.Confirmed != 1 || got.Generation != 7 {
			t.Fatalf("read %+v, %v, want %+v", got, err, rec)
		}
		if !reflect.DeepEqual(got.Unknown, rec.Unknown) {
			t.Fatalf("unknown fields = %v, want %v", got.Unknown, rec.Unknown)
		}
		rec = &got
		rec.Sequence++
	}
	if _, err := (&PageTable{FormsBeforeLevels: true}).Read(s.values[Key]); !errors.As(err, new(wire.FormError)) {
		t.Errorf("version from before feature levels: error = %v, want a FormError", err)
	}
}

// TestTenThousandInstancesFit guards against a lease value that outgrows the limits of the
// state store: 10,000 instances at 4 KiB a value, with five and nine controllers, in steady
// state, after a third of the instances is deleted, and with all instances of a controller
// taken over and many of them draining.
func TestTenThousandInstancesFit(t *testing.T) {
	limits := Limits{ValueBytes: 4096, TxnOps: 12}
	for _, controllers := range []int{5, 9} {
		t.Run(fmt.Sprintf("%d controllers", controllers), func(t *testing.T) {
			s := newFakeStore()
			table, rec := &PageTable{}, leaseRecord(controllers, 10000)
			writeGradually(t, s, table, rec, limits)
			growthBytes := s.txnBytes
			// Every third instance is deleted, as fast as transactions allow.
			writes := 0
			for left := true; left; writes++ {
				left = false
				budget := table.WriteBudget(limits)
				for node, block := range rec.Blocks {
					block.Machines = slices.DeleteFunc(slices.Clone(block.Machines), func(n string) bool {
						deleted := n[len(n)-1]%3 == 0
						ok := deleted && budget.RemoveMachine(n)
						left = left || (deleted && !ok)
						return ok
					})
					rec.Blocks[node] = block
				}
				rec.Sequence++
				write(t, s, table, rec, limits)
			}
			// A controller fails; another takes over all of its instances.
			failed, successor := rec.Blocks["stall-1"], rec.Blocks["stall-2"]
			successor.Unreconciled, successor.Draining = failed.Machines, failed.Machines[:150]
			delete(rec.Blocks, "stall-1")
			rec.Blocks["stall-2"] = successor
			for team := range rec.Shares {
				delete(rec.Shares[team], "stall-1")
			}
			for partition, node := range rec.Partitions {
				if node == "stall-1" {
					rec.Partitions[partition] = "stall-2"
				}
			}
			rec.Sequence++
			pending := write(t, s, table, rec, limits)
			if len(pending.Ops) != 1 {
				t.Errorf("takeover takes %d operations, want 1", len(pending.Ops))
			}
			if _, got, err := s.readAll(); err != nil || !equalRecords(&got, rec) {
				t.Errorf("record with %d blocks read back, error %v, is not equal to the %d blocks written", len(got.Blocks), err, len(rec.Blocks))
			}
			t.Logf("%d values, the largest %d bytes, the lease value %d, the last growth %d bytes, deleting a third of the instances %d writes, a takeover %d bytes",
				len(s.values), s.largestValue, pending.Bytes, growthBytes, writes, s.txnBytes)
		})
	}
}

// benchmarkSizes runs f on stored records of several numbers of instances.
func benchmarkSizes(b *testing.B, f func(b *testing.B, s *fakeStore, table *PageTable, rec *wire.LeaseRecord, limits Limits)) {
	for _, n := range []int{1000, 4000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			limits := Limits{ValueBytes: 4096, TxnOps: 12}
			s := newFakeStore()
			table, rec := &PageTable{}, leaseRecord(5, n)
			writeGradually(b, s, table, rec, limits)
			f(b, s, table, rec, limits)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/machine")
		})
	}
}

// BenchmarkWrite writes a record in which one instance has left and one has joined.
func BenchmarkWrite(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fakeStore, table *PageTable, rec *wire.LeaseRecord, limits Limits) {
		for next := 900000; b.Loop(); next++ {
			block := rec.Blocks["stall-3"]
			block.Machines = append(slices.Clone(block.Machines[1:]), instanceNames(next, next+1)...)
			rec.Blocks["stall-3"] = block
			rec.Sequence++
			pending, err := table.Write(rec, limits)
			if err != nil {
				b.Fatal(err)
			}
			pending.Commit()
		}
	})
}

// BenchmarkRead reads the lease value with all its pages known.
func BenchmarkRead(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *fakeStore, table *PageTable, _ *wire.LeaseRecord, _ Limits) {
		for b.Loop() {
			if _, err := table.Read(s.values[Key]); err != nil {
				b.Fatal(err)
			}
		}
	})
}
