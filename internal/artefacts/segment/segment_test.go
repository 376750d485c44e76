package segment_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"fawncove/internal/artefacts/segment"
	"fawncove/internal/testkit/faultfs"
)

// TestAcknowledgedSurvives crashes logs at random moments on disks that tear
// writes, fail syncs and run full, and expects every record that Append has
// returned for, whole, at its place and in a replay, after every crash.
func TestAcknowledgedSurvives(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		disk := faultfs.New(seed)
		acked := map[segment.Position]string{}
		n := 0
		for life := range 6 {
			disk.Room = 0
			l, err := segment.Open(segment.Options{FS: disk, SegmentBytes: 4000})
			if err != nil {
				t.Fatal(err)
			}
			disk.WriteFails, disk.SyncFails = rng.IntN(3)*10, rng.IntN(3)*10
			if rng.IntN(4) == 0 {
				disk.Room = 1 + int64(rng.IntN(40000))
			}
			var wg sync.WaitGroup
			var mu sync.Mutex
			for range 1 + rng.IntN(4) {
				var recs [][][]byte
				for range rng.IntN(12) {
					var group [][]byte
					for range 1 + rng.IntN(3) {
						n++
						group = append(group, append(fmt.Appendf(nil, "%d:", n), bytes.Repeat([]byte{byte(n)}, rng.IntN(600))...))
					}
					recs = append(recs, group)
				}
				wg.Go(func() {
					for _, group := range recs {
						at, err := l.Append(context.Background(), group...)
						if err != nil {
							continue
						}
						mu.Lock()
						for i, p := range at {
							acked[p] = string(group[i])
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			disk.Crash()
			l.Close()
			disk.WriteFails, disk.SyncFails = 0, 0
			l, err = segment.Open(segment.Options{FS: disk})
			if err != nil {
				t.Fatal(err)
			}
			found := map[segment.Position]string{}
			if _, err := l.Replay(segment.Position{}, func(at segment.Position, rec []byte) error {
				found[at] = string(rec)
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			for at, want := range acked {
				if found[at] != want {
					t.Fatalf("seed %d, life %d: record at %v is lost", seed, life, at)
				}
				if got, err := l.Read(at); err != nil || string(got) != want {
					t.Fatalf("seed %d, life %d: read at %v: %v", seed, life, at, err)
				}
			}
			l.Close()
		}
	}
}

// TestFlippedBitsCostOneRecord flips bits all over a log: every record is
// either read as it was or reported as damaged, and the replay finds all others.
func TestFlippedBitsCostOneRecord(t *testing.T) {
	for seed := range uint64(200) {
		disk := faultfs.New(seed)
		l, err := segment.Open(segment.Options{FS: disk, SegmentBytes: 2000})
		if err != nil {
			t.Fatal(err)
		}
		want := map[segment.Position]string{}
		for i := range 60 {
			rec := append([]byte(fmt.Sprint(i)), bytes.Repeat([]byte("x"), i*3)...)
			at, err := l.Append(context.Background(), rec)
			if err != nil {
				t.Fatal(err)
			}
			want[at[0]] = string(rec)
		}
		const flips = 3
		for range flips {
			disk.Flip()
		}
		damaged := 0
		found := map[segment.Position]string{}
		damage, err := l.Replay(segment.Position{}, func(at segment.Position, rec []byte) error {
			found[at] = string(rec)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		for at, w := range want {
			got, err := l.Read(at)
			switch {
			case errors.Is(err, segment.ErrDamaged):
				damaged++
				if _, ok := found[at]; ok {
					t.Errorf("seed %d: the replay has what cannot be read", seed)
				}
			case err != nil || string(got) != w || found[at] != w:
				t.Errorf("seed %d: record at %v is wrong: %v", seed, at, err)
			}
		}
		if damaged > flips || (damaged > 0) != (len(damage) > 0) {
			t.Errorf("seed %d: %d records and %d stretches damaged by %d flipped bits", seed, damaged, len(damage), flips)
		}
		l.Close()
	}
}

// TestFullDiskSaysSo expects an error that names the cause and room made later
// to be used.
func TestFullDiskSaysSo(t *testing.T) {
	disk := faultfs.New(1)
	disk.Room = 1000
	l, err := segment.Open(segment.Options{FS: disk})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := l.Append(context.Background(), make([]byte, 5000)); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("a full disk says %v", err)
	}
	disk.Room = 0
	if _, err := l.Append(context.Background(), make([]byte, 5000)); err != nil {
		t.Fatalf("after room was made: %v", err)
	}
	if _, err := l.Append(context.Background(), make([]byte, segment.MaxRecord+1)); !errors.Is(err, segment.ErrTooLarge) {
		t.Errorf("a record that is too large: %v", err)
	}
}

// TestManyAtOnce appends from more goroutines than the log takes at a time: they
// and its writer once waited for each other for ever.
func TestManyAtOnce(t *testing.T) {
	l, err := segment.Open(segment.Options{FS: faultfs.New(1)})
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for i := range 3000 {
		wg.Go(func() {
			if _, err := l.Append(context.Background(), fmt.Append(nil, i)); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// FuzzReplay lets the reader of segments loose on anything: it must end, and
// only ever return what reading the place again confirms.
func FuzzReplay(f *testing.F) {
	disk := faultfs.New(1)
	l, err := segment.Open(segment.Options{FS: disk})
	if err != nil {
		f.Fatal(err)
	}
	for i := range 5 {
		if _, err := l.Append(context.Background(), bytes.Repeat([]byte{byte(i)}, i*7)); err != nil {
			f.Fatal(err)
		}
	}
	l.Close()
	names, err := disk.List()
	if err != nil {
		f.Fatal(err)
	}
	for name, size := range names {
		file, err := disk.Open(name)
		if err != nil {
			f.Fatal(err)
		}
		whole := make([]byte, size)
		if _, err := file.ReadAt(whole, 0); err != nil {
			f.Fatal(err)
		}
		f.Add(whole)
		f.Add(whole[:len(whole)/2])
		f.Add(append(whole[20:], whole...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		disk := faultfs.New(1)
		file, err := disk.Create("000000000001.seg")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := file.Write(data); err != nil {
			t.Fatal(err)
		}
		l, err := segment.Open(segment.Options{FS: disk})
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		bytesSeen := int64(0)
		damage, err := l.Replay(segment.Position{}, func(at segment.Position, rec []byte) error {
			got, err := l.Read(at)
			if err != nil || !bytes.Equal(got, rec) {
				t.Fatalf("record at %v is not there: %v", at, err)
			}
			bytesSeen += int64(len(rec)) + 16
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range damage {
			bytesSeen += d.Bytes
		}
		if bytesSeen != int64(len(data)) {
			t.Fatalf("%d of %d bytes accounted for", bytesSeen, len(data))
		}
	})
}
