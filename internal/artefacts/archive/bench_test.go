package archive

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/segment"
)

// onDisk opens an archive in a directory of the operating system.
func onDisk(b testing.TB, dir, index string) *Archive {
	b.Helper()
	d, err := segment.MkDir(filepath.Join(dir, "segments"))
	if err != nil {
		b.Fatal(err)
	}
	a, err := Open(Options{FS: d, Index: filepath.Join(dir, index), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		b.Fatal(err)
	}
	return a
}

// text is output as tasks print it, which compresses to about a third.
func text(rng *rand.Rand, n int) []byte {
	var out []byte
	for len(out) < n {
		out = fmt.Appendf(out, "2026-03-01T06:%02d:%02d request %08x validated in %d ms, gateway %d answered ok\n",
			rng.IntN(60), rng.IntN(60), rng.Uint32(), rng.IntN(500), rng.IntN(9))
	}
	return out[:n]
}

func pack(b testing.TB, a *Archive, k *artefactpb.Key, seq uint64, data []byte) []*artefactpb.Record {
	b.Helper()
	raw, err := proto.Marshal(&artefactpb.Output{Pieces: []*artefactpb.Piece{{AtNs: 1, Stream: 1, Data: data}}})
	if err != nil {
		b.Fatal(err)
	}
	blk, err := a.codec.Pack(raw)
	if err != nil {
		b.Fatal(err)
	}
	return []*artefactpb.Record{{Body: &artefactpb.Record_Block{Block: blk}},
		{Body: &artefactpb.Record_Chunk{Chunk: &artefactpb.Chunk{Key: k, Seq: seq, Block: blk.Hash, Bytes: uint32(len(data)), Lines: 100}}}}
}

// BenchmarkAgainstFile has 64 writers add chunks, and writes the same compressed
// bytes to one file with as many syncs. Reported is the part of the file's bytes
// a second that the archive reaches.
func BenchmarkAgainstFile(b *testing.B) {
	dir := b.TempDir()
	a := onDisk(b, dir, "index")
	defer a.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	const writers, each = 64, 12
	var work [writers][][]*artefactpb.Record
	var bytes int64
	round := 0
	prepare := func() {
		bytes = 0
		for w := range work {
			work[w] = nil
			k := &artefactpb.Key{Job: fmt.Sprint("wk-", round), Task: uint32(w), Attempt: 1, Writer: "w"}
			for seq := range uint64(each) {
				recs := pack(b, a, k, seq, text(rng, 256<<10))
				bytes += int64(len(recs[0].GetBlock().Zstd))
				work[w] = append(work[w], recs)
			}
		}
		round++
	}
	var ours, theirs time.Duration
	for b.Loop() {
		prepare()
		before := a.log.Syncs()
		begun := time.Now()
		var wg sync.WaitGroup
		for w := range work {
			wg.Go(func() {
				for _, recs := range work[w] {
					if err := a.Add(context.Background(), recs...); err != nil {
						b.Error(err)
					}
				}
			})
		}
		wg.Wait()
		ours += time.Since(begun)
		n := a.log.Syncs() - before
		f, err := os.Create(filepath.Join(dir, "plain"))
		if err != nil {
			b.Fatal(err)
		}
		begun = time.Now()
		i, written := int64(0), int64(0)
		for w := range work {
			for _, recs := range work[w] {
				m, err := f.Write(recs[0].GetBlock().Zstd)
				if err != nil {
					b.Fatal(err)
				}
				written += int64(m)
				for ; i < n*written/bytes; i++ {
					if err := f.Sync(); err != nil {
						b.Fatal(err)
					}
				}
			}
		}
		theirs += time.Since(begun)
		f.Close()
	}
	b.SetBytes(bytes)
	b.ReportMetric(theirs.Seconds()/ours.Seconds(), "of-plain-file")
}

// filled returns an archive with one chunk for each of n attempts, all of the
// same content.
func filled(b testing.TB, n int) (*Archive, string) {
	b.Helper()
	dir := b.TempDir()
	a := onDisk(b, dir, "index")
	recs := pack(b, a, nil, 0, text(rand.New(rand.NewPCG(1, 1)), 20000))
	batch := []*artefactpb.Record{recs[0]}
	for i := range n {
		c := proto.Clone(recs[1]).(*artefactpb.Record)
		c.GetChunk().Key = &artefactpb.Key{Job: fmt.Sprintf("wk-%06d", i/1000), Task: uint32(i % 1000), Attempt: 1, Writer: "w"}
		if batch = append(batch, c); len(batch) >= 5000 || i == n-1 {
			if err := a.Add(context.Background(), batch...); err != nil {
				b.Fatal(err)
			}
			batch = batch[:0]
		}
	}
	return a, dir
}

// BenchmarkLastLines reads the last hundred lines of one attempt among others.
func BenchmarkLastLines(b *testing.B) {
	for _, n := range []int{1000, 100000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			if testing.Short() && n > 1000 {
				b.Skip("makes many attempts")
			}
			a, _ := filled(b, n)
			defer a.Close()
			rng := rand.New(rand.NewPCG(2, 2))
			for b.Loop() {
				i := rng.IntN(n)
				k := &artefactpb.Key{Job: fmt.Sprintf("wk-%06d", i/1000), Task: uint32(i % 1000), Attempt: 1, Writer: "w"}
				chunks, err := a.LastChunks(k, 100)
				if err != nil || len(chunks) != 1 {
					b.Fatal(len(chunks), err)
				}
				out, err := a.Output(chunks[0])
				if err != nil {
					b.Fatal(err)
				}
				lines := 0
				var l artefact.Lines
				l.Add(out.Pieces[0], func(artefact.Line) { lines++ })
				if lines < 100 {
					b.Fatal(lines)
				}
			}
		})
	}
}

// BenchmarkRebuild makes the index of an archive again from its segments.
func BenchmarkRebuild(b *testing.B) {
	dir := b.TempDir()
	a := onDisk(b, dir, "index")
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 400 {
		k := &artefactpb.Key{Job: "wk-1", Task: uint32(i), Attempt: 1, Writer: "w"}
		if err := a.Add(context.Background(), pack(b, a, k, 0, text(rng, 256<<10))...); err != nil {
			b.Fatal(err)
		}
	}
	size := int64(0)
	for _, s := range a.log.Segments() {
		size += s.Bytes
	}
	a.Close()
	n := 0
	for b.Loop() {
		n++
		a := onDisk(b, dir, fmt.Sprint("index", n))
		if a.Records() != 400 {
			b.Fatal(a.Records())
		}
		a.Close()
	}
	b.SetBytes(size)
	b.ReportMetric(b.Elapsed().Seconds()/float64(n)/float64(size)*(1<<30), "s/GB")
}

// BenchmarkManyAttempts has 10,000 attempts written at once, and reports the
// memory that is in use in the middle of that.
func BenchmarkManyAttempts(b *testing.B) {
	const n = 10000
	for b.Loop() {
		a := onDisk(b, b.TempDir(), "index")
		data := text(rand.New(rand.NewPCG(1, 1)), 4096)
		var wg sync.WaitGroup
		gate := make(chan struct{})
		for i := range n {
			wg.Go(func() {
				<-gate
				k := &artefactpb.Key{Job: "wk-1", Task: uint32(i), Attempt: 1, Writer: "w"}
				for seq := range uint64(3) {
					if err := a.Add(context.Background(), pack(b, a, k, seq, fmt.Appendf(nil, "%d.%d %s", i, seq, data))...); err != nil {
						b.Error(err)
					}
				}
			})
		}
		close(gate)
		most := uint64(0)
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		for running := true; running; {
			select {
			case <-done:
				running = false
			case <-time.After(50 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				most = max(most, m.Sys-m.HeapReleased)
			}
		}
		b.ReportMetric(float64(most)/(1<<20), "MB")
		a.Close()
	}
}
