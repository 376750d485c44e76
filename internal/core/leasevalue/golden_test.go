package leasevalue

import (
	"fmt"
	"testing"

	"fawncove/internal/testkit/golden"
	"fawncove/internal/wire"
)

// TestGoldenLeaseValue guards against a change of the stored bytes: the lease value and its
// pages, in both forms, must be the bytes that the version in production writes, and those
// bytes must be read as the record.
func TestGoldenLeaseValue(t *testing.T) {
	for _, form := range []int{FormPages, Form} {
		t.Run(fmt.Sprintf("form %d", form), func(t *testing.T) {
			// One controller: the order of more is not fixed in the encoding.
			rec := wire.LeaseRecord{Form: form, Term: 7, Leader: "stall-1", Incarnation: 3, LastGrant: 9, Sequence: 11,
				Blocks: map[string]wire.Block{
					"stall-0": {Grant: 4, Incarnation: 2, Renewal: 5, Machines: sparseInstanceNames(0, 2500), Unreconciled: sparseInstanceNames(2500, 2510), Draining: sparseInstanceNames(0, 2)},
				},
				Partitions: map[string]string{"red": "stall-0", wire.ShardName("red", 1): "stall-0"},
				Waiting:    map[string]int{"g8": 12},
				Shares:     map[string]wire.Shares{"red": {"stall-0": {CPUs: 30, GPUs: 2}}},
			}
			if form == Form {
				rec.Level, rec.Confirmed, rec.Generation = 2, 1, 3
			}
			var written PageTable
			pending, err := written.Write(&rec, Limits{ValueBytes: 4096, TxnOps: 12})
			if err != nil {
				t.Fatal(err)
			}
			var read PageTable
			for i := len(pending.Ops) - 1; i >= 0; i-- { // the pages, then the value
				encoded, err := wire.Encode(pending.Ops[i].Value)
				if err != nil {
					t.Fatal(err)
				}
				stored := golden.Check(t, fmt.Sprintf("lease-value-%d-%d", form, i), encoded)
				if page, err := read.ReadPage(pending.Ops[i].Put, stored); err != nil || page != (i > 0) {
					t.Fatalf("%s: page = %t, %v, want %t", pending.Ops[i].Put, page, err, i > 0)
				}
				if i > 0 {
					continue
				}
				got, err := read.Read(stored)
				if err != nil {
					t.Fatal(err)
				}
				if fmt.Sprint(got) != fmt.Sprint(rec) {
					t.Errorf("got\n%v\nwant as written\n%v", got, rec)
				}
			}
		})
	}
}

// sparseInstanceNames returns instance names with gaps in their numbers.
func sparseInstanceNames(from, to int) wire.NameSet {
	var names wire.NameSet
	for i := from; i < to; i++ {
		names = append(names, fmt.Sprintf("host-%06d", i*7))
	}
	return names
}
