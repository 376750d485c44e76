package wire_test

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"fawncove/internal/wire"
)

// Bounds of the memory that reading a body may take, as the settings of the smallest
// deployment allow: with 125 MB, a hundred bodies of 64 KiB at once may take two thirds.
const (
	memoryPerByte   = 80
	memoryAllowance = 128 << 10
)

// readers read a body from outside as each message that the protocols have there.
var readers = map[string]func(body []byte) error{
	"submission":    func(body []byte) error { _, err := wire.ParseJob(body); return err },
	"heartbeat":     decode[wire.Heartbeat],
	"machine types": decode[wire.MachineTypes],
	"machine list":  decode[wire.MachineList],
	"names":         decode[wire.Names],
	"page":          decode[wire.Page],
	"pair":          decode[wire.Pair],
	"changes":       decode[wire.Changes],
	"txn answer":    decode[wire.TxnAnswer],
	"job record":    decodeKeeping[wire.JobRecord],
	"end record":    decode[wire.EndRecord],
	"lease record":  decode[wire.LeaseRecord],
	"controller":    decode[wire.ControllerRecord],
	"request":       decode[wire.OperatorRequest],
	"entries":       decode[map[string]string],
	"envelope":      func(body []byte) error { _, err := wire.Unwrap("envelope", body); return err },
	"fields":        func(body []byte) error { _, err := wire.UnknownFields(body, wire.JobRecord{}); return err },
}

func decode[T any](body []byte) error { return wire.Decode(body, new(T)) }

func decodeKeeping[T any](body []byte) error {
	_, err := wire.DecodeKeeping(body, new(T))
	return err
}

// allocated returns the bytes of memory that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// checkMemory reports readers that take more memory for a body than its length allows.
func checkMemory(t *testing.T, body []byte) {
	t.Helper()
	for name, read := range readers {
		took := allocated(func() { _ = read(body) })
		if most := uint64(memoryPerByte*len(body) + memoryAllowance); took > most {
			t.Errorf("%s: a body of %d bytes (%.20x) takes %d bytes of memory, at most %d allowed", name, len(body), body, took, most)
		}
	}
}

// announcements are what a body may announce and not have: lists, maps, texts, bytes and
// extensions of 2^32-1 elements and of 65,535.
func announcements() [][]byte {
	return [][]byte{
		{0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff}, {0xdb, 0xff, 0xff, 0xff, 0xff},
		{0xc6, 0xff, 0xff, 0xff, 0xff}, {0xc9, 0xff, 0xff, 0xff, 0xff, 1}, {0xdc, 0xff, 0xff}, {0xde, 0xff, 0xff},
		// A map whose header stands in an extension.
		{0xc7, 5, 1, 0xdf, 0xff, 0xff, 0xff, 0xff}, {0xd6, 1, 0xde, 0xff, 0xff, 0xc0},
	}
}

// containing returns bodies with an inner value as the value of each field in which a reader
// makes room for something.
func containing(inner []byte) [][]byte {
	bodies := [][]byte{inner}
	for _, field := range []string{"kalupi", "uid", "unknown", "komadi", "strojevi", "dvorista", "pairs", "log", "data", "failed",
		"blocks", "homes", "waiting", "waits", "v", "machines"} {
		body := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		bodies = append(bodies, append(body, inner...))
	}
	return bodies
}

// TestAnnouncedSizesTakeNoMemory guards against bodies that announce more than they hold: five
// bytes that announce a list of 2^32-1 elements ended every controller.
func TestAnnouncedSizesTakeNoMemory(t *testing.T) {
	for _, inner := range announcements() {
		for _, body := range containing(inner) {
			for _, nested := range containing(append([]byte{0x91}, body...)) {
				checkMemory(t, nested)
			}
			checkMemory(t, body)
		}
	}
}

// TestNestedAnnouncementsTakeNoMemory guards against lists and maps that announce as much as
// is left of the body at each of thousands of levels, each of which is possible by itself.
func TestNestedAnnouncementsTakeNoMemory(t *testing.T) {
	const size = wire.MaxBody
	for _, code := range []byte{0xdd, 0xdf} {
		var body []byte
		for len(body) < size {
			left := size - len(body) - 5
			body = append(body, code, byte(left>>25), byte(left>>17), byte(left>>9), byte(left>>1))
			if code == 0xdf {
				body = append(body, 0xa0)
			}
		}
		for _, b := range containing(body) {
			checkMemory(t, b)
		}
	}
	for _, b := range containing(bytes.Repeat([]byte{0x91}, size)) {
		checkMemory(t, b)
	}
}

// TestSmallElementsTakeLittleMemory guards against bodies that hold all that they announce,
// in a byte or three each, where a reader makes a struct, a text or an entry of a map of each.
func TestSmallElementsTakeLittleMemory(t *testing.T) {
	for _, element := range []string{"\xc0", "\x80", "\x90", "\xa0", "\x00", "\x81\xa0\xc0", "\x91\xc0"} {
		n := wire.MaxBody / len(element)
		elements := strings.Repeat(element, n)
		checkAll(t, append([]byte{0xdd, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, elements...))

		var entries []byte
		n /= 5
		for i := range n {
			entries = append(entries, 0xa3, byte(i>>12), byte(i>>6)&63, byte(i)&63)
			entries = append(entries, element...)
		}
		checkAll(t, append([]byte{0xdf, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, entries...))
	}
}

// checkAll checks the memory that reading a value takes in each place.
func checkAll(t *testing.T, inner []byte) {
	t.Helper()
	for _, body := range containing(inner) {
		checkMemory(t, body)
	}
}

// TestPackedNamesTakeLittleMemory guards against a set of names whose letters are written once
// and stand for half of the text in each of thousands of names.
func TestPackedNamesTakeLittleMemory(t *testing.T) {
	const length = 20_000
	var names []string
	for i := range length {
		names = append(names, strings.Repeat("a", 8)+fmt.Sprintf("%06d", i))
	}
	short := wire.PackNames(names)
	if back, err := wire.UnpackNames(short); err != nil || len(back) != length {
		t.Fatalf("%d names of %d are read, %v", len(back), length, err)
	}
	hostile := hostileNames(length)
	took := allocated(func() { _, _ = wire.UnpackNames(hostile) })
	if most := uint64(memoryPerByte*len(hostile) + 2<<20); took > most {
		t.Errorf("names of %d bytes take %d bytes of memory, at most %d allowed", len(hostile), took, most)
	}
	// What this version writes it can read, however long the names are.
	for i := range names {
		names[i] = strings.Repeat("a", 2_000) + fmt.Sprintf("%06d", i)
	}
	if back, err := wire.UnpackNames(wire.PackNames(names)); err != nil || len(back) != length {
		t.Errorf("long names: %d of %d are read, %v", len(back), length, err)
	}
}

// hostileNames returns the text of a set of n names with n letters each, packed as if they
// were written by an owner.
func hostileNames(n int) string {
	raw := binary.AppendUvarint(nil, uint64(n))
	raw = append(raw, bytes.Repeat([]byte("a"), n)...)
	raw = append(raw, 6)
	raw = binary.AppendUvarint(raw, uint64(n))
	raw = append(raw, bytes.Repeat([]byte{1}, n)...)
	return base64.RawStdEncoding.EncodeToString(raw)
}

// FuzzReaders looks for bodies that take more memory than their length allows, or end a
// reader with a panic.
func FuzzReaders(f *testing.F) {
	for _, body := range announcements() {
		for _, b := range containing(body) {
			f.Add(b)
		}
	}
	files, err := filepath.Glob("testdata/*.hex")
	if err != nil || len(files) == 0 {
		f.Fatalf("no golden messages: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		body, err := hex.DecodeString(strings.Join(strings.Fields(string(text)), ""))
		if err != nil {
			f.Fatalf("%s: %v", file, err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) <= wire.MaxBody {
			checkMemory(t, body)
		}
	})
}
