package artefact

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/klauspost/compress/zstd"

	"fawncove/internal/artefacts/artefact/artefactpb"
)

// TestBombsAreRefused: a block that claims, or turns out, to be larger than a
// block may be is refused before it has been unpacked.
func TestBombsAreRefused(t *testing.T) {
	c, err := NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	enc, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	var stream bytes.Buffer // does not say how large it is
	w, err := zstd.NewWriter(&stream)
	if err != nil {
		t.Fatal(err)
	}
	zeros := make([]byte, 200<<20)
	if _, err := w.Write(zeros); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	h := HashOf(zeros[:100])
	for name, packed := range map[string][]byte{"says its size": enc.EncodeAll(zeros, nil), "does not": stream.Bytes()} {
		b := &artefactpb.Block{Hash: h[:], Size: 100, Zstd: packed}
		allocs := testing.AllocsPerRun(1, func() { _, err = c.Unpack(b) })
		if !errors.Is(err, ErrTooLarge) && !errors.Is(err, ErrInvalid) {
			t.Errorf("a bomb of %d bytes that %s: %v (%v allocations)", len(packed), name, err, allocs)
		}
	}
	b, err := c.Pack([]byte("all is well"))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := c.Unpack(b); err != nil || string(got) != "all is well" {
		t.Errorf("a good block: %q, %v", got, err)
	}
}

// TestLabels: what an attempt is to be read as, after all that befalls a task.
func TestLabels(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	at := func(attempt uint64, ago time.Duration, seal *artefactpb.Seal) *artefactpb.Attempt {
		return &artefactpb.Attempt{Key: &artefactpb.Key{Job: "j", Attempt: attempt, Writer: fmt.Sprint("w", attempt)}, LastNs: now.Add(-ago).UnixNano(), Seal: seal}
	}
	good, bad, killed := &artefactpb.Seal{}, &artefactpb.Seal{Exit: 1}, &artefactpb.Seal{Signal: "killed"}
	done, cancelled := Final{Known: true, State: "done"}, Final{Known: true, State: "cancelled"}
	for _, c := range []struct {
		name     string
		attempts []*artefactpb.Attempt
		final    Final
		want     []string
	}{
		{"running", []*artefactpb.Attempt{at(1, time.Second, nil)}, Final{}, []string{"open"}},
		{"quiet for too long", []*artefactpb.Attempt{at(1, time.Hour, nil)}, Final{}, []string{"cut off"}},
		{"killed halfway, again elsewhere", []*artefactpb.Attempt{at(1, time.Second, nil), at(2, 0, good)}, done, []string{"cut off, superseded", "sealed, counted"}},
		{"failed, then well", []*artefactpb.Attempt{at(1, 0, bad), at(2, 0, good)}, done, []string{"sealed, superseded", "sealed, counted"}},
		{"well, but lost before it counted", []*artefactpb.Attempt{at(1, 0, good), at(2, 0, good)}, done, []string{"sealed, superseded", "sealed, counted"}},
		{"well, then one that was stopped", []*artefactpb.Attempt{at(1, 0, good), at(2, 0, killed)}, done, []string{"sealed, superseded, counted", "sealed"}},
		{"cancelled", []*artefactpb.Attempt{at(1, 0, good)}, cancelled, []string{"sealed"}},
		{"the daemon is not asked", []*artefactpb.Attempt{at(1, 0, good)}, Final{}, []string{"sealed"}},
		{"over, and one never ended", []*artefactpb.Attempt{at(1, time.Second, nil)}, done, []string{"cut off"}},
	} {
		var got []string
		for _, l := range Labels(c.attempts, c.final, now, time.Minute) {
			got = append(got, l.String())
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// TestLinesAcrossPieces cuts output into pieces anywhere: the lines are the
// same, each stream by itself.
func TestLinesAcrossPieces(t *testing.T) {
	for cut := 1; cut < 20; cut++ {
		var l Lines
		var got []string
		take := func(x Line) { got = append(got, fmt.Sprint(x.Stream, string(x.Text))) }
		out, err := []byte("one\n\ntwo\nthr"), []byte("bad\nworse\n")
		for i := 0; i < len(out); i += cut {
			l.Add(&artefactpb.Piece{Stream: 1, Data: out[i:min(len(out), i+cut)]}, take)
			if i < len(err) {
				l.Add(&artefactpb.Piece{Stream: 2, Data: err[i:min(len(err), i+cut)]}, take)
			}
		}
		l.End(take)
		slices.Sort(got)
		if want := []string{"1", "1one", "1thr", "1two", "2bad", "2worse"}; !slices.Equal(got, want) {
			t.Errorf("pieces of %d: %q", cut, got)
		}
	}
}
