package archive

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/testkit/faultfs"
)

var seeds = flag.Uint64("seeds", 60, "number of seeded lives of archives to play")

var ctx = context.Background()

func open(t testing.TB, disk *faultfs.FS, index, boot string) *Archive {
	t.Helper()
	a, err := Open(Options{FS: disk, Index: index, SegmentBytes: 6000, Boot: boot, Grace: time.Nanosecond,
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func key(job string, task uint32, attempt uint64, writer string) *artefactpb.Key {
	return &artefactpb.Key{Job: job, Task: task, Attempt: attempt, Writer: writer}
}

func openRec(k *artefactpb.Key) *artefactpb.Record {
	return &artefactpb.Record{Body: &artefactpb.Record_Open{Open: &artefactpb.Open{Key: k, Team: "red", AtNs: 1}}}
}

// chunkOf returns a chunk with its block, whose content tells whose it is.
func chunkOf(t testing.TB, a *Archive, k *artefactpb.Key, seq uint64, more int) (chunk, block *artefactpb.Record) {
	t.Helper()
	text := fmt.Sprintf("%x chunk %d %s\n", artefact.Bytes(k), seq, strings.Repeat("z", more))
	raw, err := proto.Marshal(&artefactpb.Output{Pieces: []*artefactpb.Piece{{AtNs: int64(seq), Stream: 1, Data: []byte(text)}}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := a.codec.Pack(raw)
	if err != nil {
		t.Fatal(err)
	}
	return &artefactpb.Record{Body: &artefactpb.Record_Chunk{Chunk: &artefactpb.Chunk{Key: k, Seq: seq, Block: b.Hash, Bytes: uint32(len(text)), Lines: 1, LastNs: int64(seq)}}},
		&artefactpb.Record{Body: &artefactpb.Record_Block{Block: b}}
}

// check reads a chunk and compares all of it.
func check(t testing.TB, a *Archive, rec *artefactpb.Record) {
	t.Helper()
	want := rec.GetChunk()
	got, err := a.Chunks(want.Key, want.Seq, 1)
	if err != nil || len(got) != 1 || !proto.Equal(got[0], want) {
		t.Fatalf("chunk %d of %v: %v, %v", want.Seq, want.Key, got, err)
	}
	out, err := a.Output(got[0])
	if err != nil {
		t.Fatalf("chunk %d of %v: %v", want.Seq, want.Key, err)
	}
	if text := string(out.Pieces[0].Data); !strings.HasPrefix(text, fmt.Sprintf("%x chunk %d ", artefact.Bytes(want.Key), want.Seq)) {
		t.Fatalf("chunk %d of %v holds another's output: %.60s", want.Seq, want.Key, text)
	}
}

// TestAcknowledgedSurvives ends archives at random moments on disks that tear
// writes, fail syncs and run full; loses, keeps or distrusts the index; prunes
// and compacts in between. Every record that Add has returned for is there, with
// its content, under its own attempt, and what was pruned stays gone.
func TestAcknowledgedSurvives(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 3))
			disk := faultfs.New(seed)
			dir := t.TempDir()
			acked := map[artefact.ID]*artefactpb.Record{}
			pruned := map[string]bool{}
			for life := range 5 {
				index, boot := filepath.Join(dir, "index"), "boot 1"
				switch rng.IntN(3) {
				case 0:
					index = filepath.Join(dir, fmt.Sprint("index", life)) // lost
				case 1:
					boot = fmt.Sprint("boot ", life) // the machine was restarted
				}
				disk.WriteFails, disk.SyncFails, disk.Room = 0, 0, 0
				a := open(t, disk, index, boot)
				for id, rec := range acked {
					if there, err := a.Has([]artefact.ID{id}); err != nil || !there[0] {
						t.Fatalf("life %d: a record of %v is lost: %v", life, artefact.KeyOf(rec), err)
					}
					if rec.GetChunk() != nil {
						check(t, a, rec)
					}
				}
				for raw := range pruned {
					if err := a.Attempts([]byte(raw), func(at *artefactpb.Attempt) bool {
						t.Errorf("life %d: pruned attempt is back: %v", life, at.Key)
						return true
					}); err != nil {
						t.Fatal(err)
					}
				}
				disk.WriteFails, disk.SyncFails = rng.IntN(3)*8, rng.IntN(3)*8
				if rng.IntN(4) == 0 {
					disk.Room = 20000
				}
				for range 60 {
					k := key(fmt.Sprintf("wk-%d", rng.IntN(3)), uint32(rng.IntN(3)), uint64(1+rng.IntN(3)), []string{"w1", "w2"}[rng.IntN(2)])
					var recs []*artefactpb.Record
					switch rng.IntN(12) {
					case 0:
						recs = append(recs, openRec(k))
					case 1:
						recs = append(recs, &artefactpb.Record{Body: &artefactpb.Record_Seal{Seal: &artefactpb.Seal{Key: k, Exit: 0, AtNs: 9}}})
					case 2:
						if rng.IntN(3) == 0 {
							rec := &artefactpb.Record{Body: &artefactpb.Record_Prune{Prune: &artefactpb.Prune{Key: k, Why: "age"}}}
							if a.Add(ctx, rec) == nil {
								pruned[string(artefact.Bytes(k))] = true
								for id, old := range acked {
									if proto.Equal(artefact.KeyOf(old), k) {
										delete(acked, id)
									}
								}
								acked[artefact.IDOf(rec)] = rec
							}
						}
						continue
					case 3:
						if _, err := a.Compact(ctx); err != nil && disk.WriteFails+disk.SyncFails == 0 && disk.Room == 0 {
							t.Fatal(err)
						}
						continue
					default:
						// A writer that is not answered sends the same again.
						seq := uint64(rng.IntN(8))
						c, b := chunkOf(t, a, k, seq, int(seq*uint64(k.Task+1)*97+k.Attempt*31)%900)
						recs = append(recs, b, c)
					}
					err := a.Add(ctx, recs...)
					if pruned[string(artefact.Bytes(k))] && !errors.Is(err, ErrPruned) {
						if err == nil {
							t.Fatalf("a pruned attempt took a record")
						}
					}
					if err == nil {
						for _, r := range recs {
							if r.GetBlock() == nil {
								acked[artefact.IDOf(r)] = r
							}
						}
					}
				}
				disk.Crash()
				if rng.IntN(2) == 0 {
					a.abandon()
				} else {
					a.Close()
				}
			}
		})
	}
}

// abandon ends an archive as the end of its process would: what waits in memory
// is lost, and the index was never told.
func (a *Archive) abandon() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.adding.Wait()
	_ = a.log.Close()
	close(a.entries)
	<-a.done
	_ = a.db.Close()
}

// TestFlippedBitsAreRepaired flips bits in the segments of one of two archives
// with the same records. A scrub finds them; what the index does not know comes
// from the other; and nothing wrong is ever read.
func TestFlippedBitsAreRepaired(t *testing.T) {
	for seed := range *seeds {
		disk, other := faultfs.New(seed), faultfs.New(seed+1)
		a := open(t, disk, filepath.Join(t.TempDir(), "index"), "b")
		b := open(t, other, filepath.Join(t.TempDir(), "index"), "b")
		var chunks []*artefactpb.Record
		for i := range 30 {
			k := key("wk-1", uint32(i%5), 1, "w")
			c, blk := chunkOf(t, a, k, uint64(i/5), 40*i)
			chunks = append(chunks, c)
			for _, x := range []*Archive{a, b} {
				if err := x.Add(ctx, openRec(k), blk, c); err != nil {
					t.Fatal(err)
				}
			}
		}
		before := a.Digests()
		for range 1 + seed%4 {
			disk.Flip()
		}
		got, err := a.Scrub(ctx)
		if err != nil {
			t.Fatal(err)
		}
		for _, id := range got.Missing {
			r, err := b.Record(id)
			if err != nil {
				t.Fatal(err)
			}
			if err := a.Add(ctx, r); err != nil {
				t.Fatal(err)
			}
		}
		if got.Repaired+len(got.Missing) > int(1+seed%4) {
			t.Errorf("seed %d: %d repaired and %d missing by %d flipped bits", seed, got.Repaired, len(got.Missing), 1+seed%4)
		}
		if a.Digests() != before || a.Digests() != b.Digests() {
			t.Errorf("seed %d: the digests have changed", seed)
		}
		again, err := a.Scrub(ctx)
		if err != nil || again.Repaired > 0 || len(again.Missing) > 0 {
			t.Errorf("seed %d: a second scrub finds %+v, %v", seed, again, err)
		}
		for _, c := range chunks {
			check(t, a, c)
		}
		a.Close()
		b.Close()
	}
}

// TestWhatIsRefused: nothing that contradicts, lacks its content, or is not what
// it says gets in, and a refusal stores nothing.
func TestWhatIsRefused(t *testing.T) {
	a := open(t, faultfs.New(1), filepath.Join(t.TempDir(), "index"), "b")
	defer a.Close()
	k := key("wk-1", 0, 1, "w")
	c, b := chunkOf(t, a, k, 0, 10)
	if err := a.Add(ctx, c); !errors.Is(err, ErrMissing) {
		t.Errorf("a chunk without its block: %v", err)
	}
	if err := a.Add(ctx, b, c); err != nil {
		t.Fatal(err)
	}
	if err := a.Add(ctx, b, c); err != nil {
		t.Errorf("the same again: %v", err)
	}
	other, ob := chunkOf(t, a, k, 0, 20)
	if err := a.Add(ctx, ob, other); !errors.Is(err, ErrConflict) {
		t.Errorf("another chunk of the same number: %v", err)
	}
	bomb, err := a.codec.Pack(make([]byte, artefact.BlockMost))
	if err != nil {
		t.Fatal(err)
	}
	bomb.Size = 10
	bad := proto.Clone(b).(*artefactpb.Record)
	bad.GetBlock().Hash = bytes.Repeat([]byte{7}, 32)
	for name, r := range map[string]*artefactpb.Record{
		"a block of another size":      {Body: &artefactpb.Record_Block{Block: bomb}},
		"a block of another hash":      bad,
		"no kind":                      {},
		"a path out of the attempt":    {Body: &artefactpb.Record_File{File: &artefactpb.File{Key: k, Path: "../x"}}},
		"an absolute path":             {Body: &artefactpb.Record_File{File: &artefactpb.File{Key: k, Path: "/etc/x"}}},
		"a path that hides its target": {Body: &artefactpb.Record_File{File: &artefactpb.File{Key: k, Path: "a/../../x"}}},
		"a job with a slash":           openRec(key("a/b", 0, 1, "w")),
		"attempt 0":                    openRec(key("a", 0, 0, "w")),
	} {
		if err := a.Add(ctx, r); !errors.Is(err, artefact.ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := a.Records(); n != 1 {
		t.Errorf("%d records, want the one chunk", n)
	}
}
