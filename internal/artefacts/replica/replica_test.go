package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/testkit/faultfs"
)

var errCut = errors.New("cut off")

// instance is one of a set in a test.
type instance struct {
	t     *testing.T
	name  string
	disk  *faultfs.FS
	index string
	arch  *archive.Archive
	set   *Set
	cut   bool
}

func (i *instance) open(all []*instance) {
	var err error
	i.arch, err = archive.Open(archive.Options{FS: i.disk, Index: i.index, SegmentBytes: 20000, Boot: "b", Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		i.t.Fatal(err)
	}
	peers := map[string]Member{}
	for _, p := range all {
		if p != i {
			peers[p.name] = &link{i, p}
		}
	}
	i.set, err = New(Options{Local: i.arch, Peers: peers, Copies: 2, Patience: time.Minute, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		i.t.Fatal(err)
	}
}

// link is a member as another one reaches it.
type link struct{ from, to *instance }

func (l *link) broken() bool { return l.from.cut || l.to.cut }

func (l *link) Add(ctx context.Context, recs ...*artefactpb.Record) error {
	if l.broken() {
		return errCut
	}
	return l.to.arch.Add(ctx, recs...)
}

func (l *link) Digests(context.Context) ([archive.Ranges]artefact.ID, error) {
	if l.broken() {
		return [archive.Ranges]artefact.ID{}, errCut
	}
	return l.to.arch.Digests(), nil
}

func (l *link) IDs(_ context.Context, which byte) ([]artefact.ID, error) {
	if l.broken() {
		return nil, errCut
	}
	return l.to.arch.IDs(which)
}

func (l *link) Fetch(_ context.Context, ids []artefact.ID) ([]*artefactpb.Record, error) {
	if l.broken() {
		return nil, errCut
	}
	return Collect(l.to.arch, ids, 3000), nil
}

func block(t *testing.T, codec *artefact.Codec, data []byte) *artefactpb.Record {
	t.Helper()
	b, err := codec.Pack(data)
	if err != nil {
		t.Fatal(err)
	}
	return &artefactpb.Record{Body: &artefactpb.Record_Block{Block: b}}
}

// TestSetKeepsWhatItAcknowledged cuts instances off, fills and crashes them and
// flips bits on one while records come in at all of them. In the end each has
// every record that was acknowledged, with its content, and all say the same.
func TestSetKeepsWhatItAcknowledged(t *testing.T) {
	ctx := context.Background()
	codec, err := artefact.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			var all []*instance
			for n := range 3 {
				all = append(all, &instance{t: t, name: fmt.Sprint("i", n), disk: faultfs.New(10*seed + uint64(n)), index: filepath.Join(t.TempDir(), "index")})
			}
			for _, i := range all {
				i.open(all)
			}
			acked := map[artefact.ID]*artefactpb.Record{}
			few := 0
			for n := range 120 {
				switch i := all[rng.IntN(3)]; rng.IntN(25) {
				case 0:
					i.cut = !i.cut
				case 1:
					i.disk.Room = 1 // full
				case 2:
					i.disk.Room = 0
				case 3:
					for _, i := range all {
						i.set.Wait()
					}
					i.disk.Crash()
					i.arch.Close()
					i.disk.Room = 0
					i.open(all)
				case 4:
					from := all[(n+1)%3]
					if from == i {
						continue
					}
					if _, err := i.set.CatchUp(ctx, from.name); err != nil && i.disk.Room == 0 && !errors.Is(err, errCut) {
						t.Fatal(err)
					}
				}
				k := &artefactpb.Key{Job: fmt.Sprint("wk-", n%4), Task: uint32(n % 3), Attempt: uint64(1 + n%2), Writer: "w"}
				text := fmt.Appendf(nil, "%v piece %d", k, n)
				raw, err := proto.Marshal(&artefactpb.Output{Pieces: []*artefactpb.Piece{{Data: text}}})
				if err != nil {
					t.Fatal(err)
				}
				b := block(t, codec, raw)
				rec := &artefactpb.Record{Body: &artefactpb.Record_Chunk{Chunk: &artefactpb.Chunk{Key: k, Seq: uint64(n), Block: b.GetBlock().Hash, Bytes: uint32(len(text))}}}
				recs := []*artefactpb.Record{b, rec}
				if n%10 == 9 { // a file of more blocks than are fetched at once
					f := &artefactpb.File{Key: k, Path: fmt.Sprint("out/", n)}
					recs = nil
					for p := range 20 {
						b := block(t, codec, fmt.Appendf(nil, "%x part %d of %d", rng.Uint64(), p, n))
						recs = append(recs, b)
						f.Blocks = append(f.Blocks, b.GetBlock().Hash)
					}
					rec = &artefactpb.Record{Body: &artefactpb.Record_File{File: f}}
					recs = append(recs, rec)
				}
				copies, err := all[rng.IntN(3)].set.Add(ctx, recs...)
				switch {
				case err == nil && copies < 2:
					t.Fatalf("acknowledged with %d copies", copies)
				case err == nil:
					acked[artefact.IDOf(rec)] = rec
				case errors.Is(err, ErrTooFew):
					few++
				default:
					t.Fatal(err)
				}
			}
			for _, i := range all {
				i.set.Wait()
				i.cut, i.disk.Room = false, 0
			}
			t.Logf("%d acknowledged, %d not", len(acked), few)
			even := func() {
				for range 3 {
					for _, i := range all {
						for name := range i.set.opt.Peers {
							if _, err := i.set.CatchUp(ctx, name); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
			even() // what one instance alone has, nobody can give back to it
			all[0].disk.Flip()
			// Two scrub at once while the third catches up.
			done := make(chan error, 2)
			for _, i := range all[:2] {
				go func() {
					_, err := i.set.Repair(ctx)
					done <- err
				}()
			}
			for range 2 {
				if err := <-done; err != nil {
					t.Fatal(err)
				}
			}
			even()
			found, err := all[0].set.Repair(ctx)
			if err != nil || len(found.Missing) > 0 {
				t.Errorf("after the repair %d blocks are missing: %v", len(found.Missing), err)
			}
			for _, i := range all {
				if i.arch.Digests() != all[0].arch.Digests() {
					t.Errorf("%s has %d records, %s has %d", i.name, i.arch.Records(), all[0].name, all[0].arch.Records())
				}
				for id, rec := range acked {
					if there, err := i.arch.Has([]artefact.ID{id}); err != nil || !there[0] {
						t.Fatalf("%s lacks an acknowledged record: %v", i.name, err)
					}
					for _, h := range append(rec.GetFile().GetBlocks(), rec.GetChunk().GetBlock()) {
						if len(h) == 0 {
							continue
						}
						if _, err := i.arch.Block(artefact.Hash(h)); err != nil {
							t.Fatalf("%s lacks the content of an acknowledged record: %v", i.name, err)
						}
					}
				}
				i.arch.Close()
			}
		})
	}
}
