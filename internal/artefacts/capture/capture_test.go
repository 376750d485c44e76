package capture

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/testkit/faultfs"
)

// fakeStore is an archive that can be out of reach, and lose its answers.
type fakeStore struct {
	arch *archive.Archive

	mu     sync.Mutex
	away   bool
	lose   int // of so many answers every one but the last is lost
	writes int
	no     error
}

var errAway = errors.New("out of reach")

func (f *fakeStore) Write(ctx context.Context, recs ...*artefactpb.Record) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writes++
	switch {
	case f.away:
		return 0, errAway
	case f.no != nil:
		return 0, f.no
	}
	if err := f.arch.Add(ctx, recs...); err != nil {
		return 0, err
	}
	if f.lose > 0 && f.writes%f.lose != 0 {
		return 0, errAway // stored, but nobody was told
	}
	return 1, nil
}

func newStore(t *testing.T) *fakeStore {
	t.Helper()
	a, err := archive.Open(archive.Options{FS: faultfs.New(1), Index: filepath.Join(t.TempDir(), "index"), Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return &fakeStore{arch: a}
}

func options(t *testing.T, f *fakeStore, attempt uint64, script string) Options {
	t.Helper()
	return Options{Ticket: Ticket{Key: &artefactpb.Key{Job: "wk-1", Task: 0, Attempt: attempt, Writer: "w"}}, Team: "red",
		Command: []string{"sh", "-c", script}, Spool: t.TempDir(), Most: 64 << 20, Linger: time.Minute,
		Store: func(Ticket) Store { return f }, Stdout: io.Discard, Stderr: io.Discard, Log: slog.New(slog.DiscardHandler), Now: time.Now}
}

// output reads all that is kept of an attempt, by stream.
func output(t *testing.T, f *fakeStore, k *artefactpb.Key) map[uint32]string {
	t.Helper()
	chunks, err := f.arch.Chunks(k, 0, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	got := map[uint32]string{}
	at := uint64(0)
	for i, c := range chunks {
		if c.Seq != uint64(i) || c.Offset != at {
			t.Fatalf("chunk %d has number %d and begins at %d, want %d", i, c.Seq, c.Offset, at)
		}
		at += uint64(c.Bytes)
		out, err := f.arch.Output(c)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range out.Pieces {
			got[p.Stream] += string(p.Data)
		}
	}
	return got
}

// TestOutputIsWhole captures a command that prints a lot on both streams to a
// store most of whose answers are lost, and expects every byte once, in order,
// with the way it ended and its files.
func TestOutputIsWhole(t *testing.T) {
	f := newStore(t)
	f.lose = 3
	dir := t.TempDir()
	t.Chdir(dir)
	if err := os.Symlink("/etc/hostname", filepath.Join(dir, "link")); err != nil {
		t.Fatal(err)
	}
	opt := options(t, f, 1, `i=0; while [ $i -lt 3000 ]; do echo "line $i of many that are printed"; i=$((i+1)); done; echo oops >&2; mkdir out; head -c 2500000 /dev/zero >out/big; echo x >out/.small; exit 7`)
	opt.Files = []string{"out/**", "link", "../**"}
	var tee bytes.Buffer
	opt.Stdout = &tee
	res, err := Run(context.Background(), opt)
	if err != nil || res.Exit != 7 || res.Unsent || res.Skipped != 0 {
		t.Fatalf("%+v, %v", res, err)
	}
	got := output(t, f, opt.Ticket.Key)
	if got[1] != tee.String() || strings.Count(got[1], "\n") != 3000 || got[2] != "oops\n" {
		t.Errorf("%d bytes of output and %q are kept, %d were printed", len(got[1]), got[2], tee.Len())
	}
	at, err := f.arch.Attempt(opt.Ticket.Key)
	if err != nil || at.GetSeal().GetExit() != 7 || at.GetSeal().GetBytes() != uint64(tee.Len()+5) || at.GetOpen().GetTeam() != "red" {
		t.Errorf("kept of the attempt: %v, %v", at, err)
	}
	files, err := f.arch.Files(opt.Ticket.Key)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, x := range files {
		names = append(names, fmt.Sprint(x.Path, " ", x.Size))
	}
	if want := "out/.small 2,out/big 2500000"; strings.Join(names, ",") != want {
		t.Errorf("files %v, want %s", names, want)
	}
	if left, err := os.ReadDir(opt.Spool); err != nil || len(left) > 0 {
		t.Errorf("left in the spool: %v, %v", left, err)
	}
}

// TestStoreAway captures while the store is out of reach: the command does not
// notice, and what was spooled is sent later under its own attempt, although
// another attempt has been kept meanwhile.
func TestStoreAway(t *testing.T) {
	f := newStore(t)
	f.away = true
	opt := options(t, f, 1, "echo first; echo attempt")
	opt.Linger = time.Millisecond
	res, err := Run(context.Background(), opt)
	if err != nil || !res.Unsent || res.Exit != 0 {
		t.Fatalf("%+v, %v", res, err)
	}
	f.away = false
	second := options(t, f, 2, "echo second")
	second.Spool = opt.Spool
	if res, err := Run(context.Background(), second); err != nil || res.Unsent {
		t.Fatalf("%+v, %v", res, err)
	}
	sent, left, err := Resume(context.Background(), opt.Spool, func(Ticket) Store { return f }, opt.Log)
	if sent != 1 || left != 0 || err != nil {
		t.Fatalf("%d sent, %d left, %v", sent, left, err)
	}
	if a, b := output(t, f, opt.Ticket.Key)[1], output(t, f, second.Ticket.Key)[1]; a != "first\nattempt\n" || b != "second\n" {
		t.Errorf("kept %q and %q", a, b)
	}
}

// TestKilledCapture leaves a spool as a killed process does, halfway through,
// with a part of it sent: what was spooled is sent, once, and there is no end.
func TestKilledCapture(t *testing.T) {
	f := newStore(t)
	dir := t.TempDir()
	k := &artefactpb.Key{Job: "wk-1", Task: 0, Attempt: 1, Writer: "w"}
	sp, err := newSpool(filepath.Join(dir, dirOf(k)), Ticket{Key: k})
	if err != nil {
		t.Fatal(err)
	}
	codec, err := artefact.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	r := &run{opt: Options{Ticket: sp.ticket, Log: slog.New(slog.DiscardHandler)}, spool: sp, codec: codec, wake: make(chan struct{}, 1)}
	for i := range 10 {
		if err := r.chunk([]*artefactpb.Piece{{Stream: 1, Data: fmt.Appendf(nil, "%d\n", i)}}, 2); err != nil {
			t.Fatal(err)
		}
		if i == 4 { // sent, but the note of that was lost
			recs, _, err := sp.next(1 << 20)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.Write(context.Background(), recs...); err != nil {
				t.Fatal(err)
			}
		}
	}
	if _, err := openSpool(sp.dir); !errors.Is(err, ErrInUse) {
		t.Errorf("a spool in use is opened: %v", err)
	}
	sp.log.Close()
	sp.lock.Close() // as the end of the process does
	if sent, left, err := Resume(context.Background(), dir, func(Ticket) Store { return f }, r.opt.Log); sent != 1 || left != 0 || err != nil {
		t.Fatalf("%d sent, %d left, %v", sent, left, err)
	}
	if got := output(t, f, k)[1]; got != "0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n" {
		t.Errorf("kept %q", got)
	}
	if at, err := f.arch.Attempt(k); err != nil || at.GetSeal() != nil {
		t.Errorf("sealed though it was killed: %v, %v", at, err)
	}
}

// TestFullSpool: output beyond the bound is skipped while the store is away, the
// command is not held up, and the gap is noted where it is. The output is such as
// cannot be packed: the bound counts packed bytes, and of zeros, which pack to
// nothing, a cutter that keeps up with the command skips none.
func TestFullSpool(t *testing.T) {
	f := newStore(t)
	f.away = true
	noise := make([]byte, 3000000)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(noise) // never fails
	file := filepath.Join(t.TempDir(), "noise")
	if err := os.WriteFile(file, noise, 0o600); err != nil {
		t.Fatal(err)
	}
	opt := options(t, f, 1, "echo begin; cat "+file+"; echo end")
	opt.Most, opt.Linger = 1<<20, time.Millisecond
	res, err := Run(context.Background(), opt)
	if err != nil || res.Skipped == 0 {
		t.Fatalf("%+v, %v", res, err)
	}
	f.away = false
	if sent, _, err := Resume(context.Background(), opt.Spool, func(Ticket) Store { return f }, opt.Log); sent != 1 || err != nil {
		t.Fatal(sent, err)
	}
	got := output(t, f, opt.Ticket.Key)
	noted := uint64(0)
	for _, l := range strings.Split(got[noteStream], "\n") {
		n := uint64(0)
		if _, err := fmt.Sscanf(l, "[%d bytes were skipped here", &n); err == nil {
			noted += n
		}
	}
	if noted != res.Skipped || uint64(len(got[1]))+res.Skipped != 3000010 {
		t.Errorf("%d bytes kept, %d skipped, %d noted, of 3000010", len(got[1]), res.Skipped, noted)
	}
}

// TestRefusedForGood: a store that will never take the records is not asked for
// ever, and they stay in the spool.
func TestRefusedForGood(t *testing.T) {
	f := newStore(t)
	f.no = &artefactapi.RefusedError{Status: 403, Text: "no"}
	res, err := Run(context.Background(), options(t, f, 1, "echo x"))
	if err != nil || !res.Unsent || f.writes != 1 {
		t.Errorf("%+v, %v, %d tries", res, err, f.writes)
	}
}

// TestOnePieceIsCut expects a piece larger than a chunk to be cut, and kept whole.
func TestOnePieceIsCut(t *testing.T) {
	f := newStore(t)
	opt := options(t, f, 1, "exit 0")
	sp, err := newSpool(filepath.Join(opt.Spool, "x"), opt.Ticket)
	if err != nil {
		t.Fatal(err)
	}
	codec, err := artefact.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	r := &run{opt: opt, spool: sp, codec: codec, cutDue: make(chan struct{}, 1), wake: make(chan struct{}, 1)}
	want := bytes.Repeat([]byte("0123456789\n"), 100000)
	r.take(1, want)
	r.cut()
	recs, _, err := sp.next(64 << 20)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Write(context.Background(), recs...); err != nil {
		t.Fatal(err)
	}
	for _, rec := range recs {
		if n := proto.Size(rec); n > artefact.BlockMost {
			t.Errorf("a record of %d bytes", n)
		}
	}
	if got := output(t, f, opt.Ticket.Key)[1]; got != string(want) {
		t.Errorf("%d bytes kept of %d", len(got), len(want))
	}
	if err := sp.close(true); err != nil {
		t.Error(err)
	}
}
