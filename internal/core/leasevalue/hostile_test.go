package leasevalue

import (
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"fawncove/internal/wire"
)

// Bounds of the memory that reading a value may take, of at most 64 KiB.
const (
	memoryPerByte   = 256
	memoryAllowance = 4 << 20
)

// checkMemory reports a value or page that takes more memory than its length allows.
func checkMemory(t *testing.T, table *PageTable, value []byte) {
	t.Helper()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _ = table.Read(value)
	_, _ = new(PageTable).ReadPage(PagePrefix+"1", value)
	runtime.ReadMemStats(&after)
	took := after.TotalAlloc - before.TotalAlloc
	if most := uint64(memoryPerByte*len(value) + memoryAllowance); took > most {
		t.Errorf("a value of %d bytes (%.20x) takes %d bytes of memory, at most %d allowed", len(value), value, took, most)
	}
}

// encode returns a value as it is stored.
func encode(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := wire.Encode(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestShardNamesTakeLittleMemory guards against a value in which half of it is the name of a team
// and the other half are its shards, each of which has that name.
func TestShardNamesTakeLittleMemory(t *testing.T) {
	const size = 30_000
	hostile := header{Form: Form, Blocks: map[string]headerBlock{"n1": {}}, Shards: map[string][]int{strings.Repeat("t", size): make([]int, size)}}
	checkMemory(t, &PageTable{}, encode(t, hostile))
	if _, err := (&PageTable{}).Read(encode(t, hostile)); !errors.Is(err, errTooManyShards) {
		t.Errorf("Read = %v, want %v", err, errTooManyShards)
	}
	largest := header{Form: Form, Blocks: map[string]headerBlock{"n1": {}}, Shards: map[string][]int{strings.Repeat("t", 200): make([]int, 4_000)}}
	if rec, err := (&PageTable{}).Read(encode(t, largest)); err != nil || len(rec.Partitions) != 4_000 {
		t.Errorf("4,000 shards of a team with a long name: %d, %v", len(rec.Partitions), err)
	}
}

// TestRepeatedPagesTakeNoMemory guards against a value that names the same page thousands of
// times, each of which stands for all names on it.
func TestRepeatedPagesTakeNoMemory(t *testing.T) {
	table := &PageTable{}
	names := make(wire.NameSet, 1_000)
	for i := range names {
		names[i] = "host-" + strings.Repeat("0", i%7)
	}
	if _, err := table.ReadPage(PagePrefix+"1", encode(t, storedPage{Form: pageForm, Edition: 1, Names: names})); err != nil {
		t.Fatal(err)
	}
	var pages []uint64
	for range 10_000 {
		pages = append(pages, 1, 1)
	}
	hostile := encode(t, header{Form: Form, Blocks: map[string]headerBlock{"n1": {Machines: storedSet{Pages: pages}}}})
	checkMemory(t, table, hostile)
	if _, err := table.Read(hostile); err == nil {
		t.Error("a set that names a page twice is read")
	}
}

// FuzzRead looks for values that take more memory than their length allows, or end the reader.
func FuzzRead(f *testing.F) {
	files, err := filepath.Glob("testdata/*.hex")
	if err != nil || len(files) == 0 {
		f.Fatalf("no golden values: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		value, err := hex.DecodeString(strings.TrimSpace(string(text)))
		if err != nil {
			f.Fatalf("%s: %v", file, err)
		}
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if len(value) <= wire.MaxBody {
			checkMemory(t, &PageTable{}, value)
		}
	})
}
