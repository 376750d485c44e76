// Package archive keeps the records of the artefact store: an append-only log
// of segments, which is the truth, and an index beside it.
//
// Records are a set that only grows, until an attempt is pruned: they may arrive
// in any order and any number of times, from writers and from other instances,
// and two archives that have seen the same records say the same. A record that
// Add has returned for is on disk.
package archive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/segment"
	"fawncove/internal/protocost"
)

// Errors of Add and of reading.
var (
	// ErrConflict says that something else is stored in a record's place.
	ErrConflict = errors.New("archive: another record is in its place")
	// ErrPruned says that the attempt has been pruned.
	ErrPruned = errors.New("archive: the attempt has been pruned")
	// ErrMissing says that a block is not there.
	ErrMissing = errors.New("archive: no such block")
	// ErrClosed says that the archive has been closed.
	ErrClosed = errors.New("archive: closed")
)

// Ranges is in how many ranges the ids of records are summed up, to be compared
// between archives.
const Ranges = 256

// Options are how an archive is kept.
type Options struct {
	FS           segment.FS // where the segments are; required
	Index        string     // path of the index file; required
	SegmentBytes int64      // see segment.Options
	// Boot names the run of the machine, see openIndex; "" trusts the index
	// after an orderly end only.
	Boot string
	// Grace is how long a block is kept to which nothing refers yet; an hour
	// if 0.
	Grace time.Duration
	Now   func() time.Time // time.Now if nil
	Log   *slog.Logger
}

// Archive is an open archive. It may be used by any number of goroutines.
type Archive struct {
	log   *segment.Log
	db    *bolt.DB
	codec *artefact.Codec
	slog  *slog.Logger
	now   func() time.Time
	grace time.Duration

	entries chan indexing
	done    chan struct{}
	compact sync.Mutex // one compaction or scrub at a time

	// gate is held for reading by every Add, and for writing while a compaction
	// takes blocks away.
	gate sync.RWMutex

	mu      sync.Mutex // guards what follows
	closed  bool
	adding  sync.WaitGroup
	digests [Ranges]artefact.ID
	counts  [Ranges]int
	marks   []mark // when which segment was written
	// mentioned are the blocks that were spoken of since a compaction began;
	// nil while there is none.
	mentioned map[artefact.ID]bool
}

// indexing is a number of records that are on disk.
type indexing struct {
	entries []entry
	done    chan error
}

// Open opens an archive. What is in the segments but not in the index is read;
// all of it, if the index is missing or cannot be trusted.
func Open(opt Options) (*Archive, error) {
	if opt.Now == nil {
		opt.Now = time.Now
	}
	if opt.Grace <= 0 {
		opt.Grace = time.Hour
	}
	codec, err := artefact.NewCodec()
	if err != nil {
		return nil, err
	}
	log, err := segment.Open(segment.Options{FS: opt.FS, SegmentBytes: opt.SegmentBytes})
	if err != nil {
		return nil, err
	}
	db, trusted, err := openIndex(opt.Index, opt.Boot)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	a := &Archive{log: log, db: db, codec: codec, slog: opt.Log, now: opt.Now, grace: opt.Grace,
		entries: make(chan indexing, 256), done: make(chan struct{}), marks: []mark{{opt.Now(), log.Active()}}}
	if err := a.catchUp(trusted); err != nil {
		return nil, errors.Join(err, log.Close(), db.Close())
	}
	go a.index()
	return a, nil
}

// catchUp reads into the index what it lacks of the segments.
func (a *Archive) catchUp(trusted bool) error {
	var from segment.Position
	err := a.db.View(func(tx *bolt.Tx) error {
		from = positionOf(tx.Bucket(bucketMeta).Get(metaApplied))
		return nil
	})
	if err != nil {
		return fmt.Errorf("archive: index: %w", err)
	}
	begun, n := a.now(), 0
	var batch []entry
	flush := func() error {
		err := a.db.Update(func(tx *bolt.Tx) error {
			_, _, err := applyAll(tx, batch) // summed up afterwards
			return err
		})
		n += len(batch)
		batch = batch[:0]
		return err
	}
	damage, err := a.log.Replay(from, func(at segment.Position, raw []byte) error {
		r := new(artefactpb.Record)
		if err := protocost.Unmarshal(raw, r); err != nil {
			a.slog.Error("record cannot be read", "segment", at.Segment, "offset", at.Offset, "err", err)
			return nil // written by something newer, or a broken writer
		}
		if artefact.Check(r) != nil {
			return nil
		}
		batch = append(batch, entry{r, artefact.IDOf(r), at})
		if len(batch) < 1000 {
			return nil
		}
		return flush()
	})
	if err == nil {
		err = flush()
	}
	if err != nil {
		return fmt.Errorf("archive: reading the segments: %w", err)
	}
	for _, d := range damage {
		a.slog.Warn("no whole record", "segment", d.At.Segment, "offset", d.At.Offset, "bytes", d.Bytes)
	}
	a.slog.Info("index read", "trusted", trusted, "records", n, "after", a.now().Sub(begun))
	return a.sumUp()
}

// sumUp makes the digests from the index.
func (a *Archive) sumUp() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.digests, a.counts = [Ranges]artefact.ID{}, [Ranges]int{}
	return a.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketIDs).ForEach(func(k, v []byte) error {
			if p, ok := placeOf(v); ok && p.kind != kindBlock {
				a.toggle(artefact.ID(k), 1)
			}
			return nil
		})
	})
}

// toggle takes an id into its range's digest, or out of it. With mu held.
func (a *Archive) toggle(id artefact.ID, n int) {
	d := &a.digests[id[0]]
	for i := range d {
		d[i] ^= id[i]
	}
	a.counts[id[0]] += n
}

// applyAll applies records, and of prunes what they mean for others, and notes
// up to where the segments are in the index. It returns the ids that came and
// went, blocks aside.
func applyAll(tx *bolt.Tx, entries []entry) (came, went []artefact.ID, err error) {
	for _, e := range entries {
		fresh, err := apply(tx, e)
		if err != nil {
			return nil, nil, err
		}
		if fresh && e.rec.GetBlock() == nil {
			came = append(came, e.id)
		}
		if fresh && e.rec.GetPrune() != nil {
			gone, err := forget(tx, e.rec.GetPrune().GetKey())
			if err != nil {
				return nil, nil, err
			}
			went = append(went, gone...)
		}
	}
	return came, went, noteApplied(tx, entries)
}

// noteApplied notes up to where the segments are in the index.
func noteApplied(tx *bolt.Tx, batch []entry) error {
	meta := tx.Bucket(bucketMeta)
	last := positionOf(meta.Get(metaApplied))
	for _, e := range batch {
		if last.Before(e.at) {
			last = e.at
		}
	}
	return meta.Put(metaApplied, place{at: last}.bytes()[:16])
}

// index owns the writing of the index: whatever is on disk at the same time
// goes into it together.
func (a *Archive) index() {
	defer close(a.done)
	for next := range a.entries {
		batch := []indexing{next}
		for more := true; more && len(batch) < 512; {
			select {
			case i, ok := <-a.entries:
				if more = ok; ok {
					batch = append(batch, i)
				}
			default:
				more = false
			}
		}
		err := a.indexAll(batch)
		if err != nil {
			a.slog.Error("index", "err", err)
		}
		for _, i := range batch {
			i.done <- err
		}
	}
}

func (a *Archive) indexAll(batch []indexing) error {
	var came, went []artefact.ID
	err := a.db.Update(func(tx *bolt.Tx) error {
		came, went = nil, nil
		for _, i := range batch {
			in, out, err := applyAll(tx, i.entries)
			if err != nil {
				return err
			}
			came, went = append(came, in...), append(went, out...)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("archive: index: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range came {
		a.toggle(id, 1)
	}
	for _, id := range went {
		a.toggle(id, -1)
	}
	return nil
}

// Close ends the archive once what is being added is on disk.
func (a *Archive) Close() error {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return nil
	}
	a.closed = true
	a.mu.Unlock()
	a.adding.Wait()
	closed := a.log.Close() // no more comes from there
	close(a.entries)
	<-a.done
	err := a.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(metaState, []byte("clean")) })
	return errors.Join(closed, err, a.db.Sync(), a.db.Close())
}

// Add stores records and returns once they are on disk and can be read; those
// that are there already cost nothing. A chunk or file needs its blocks, stored
// before or with it. Nothing is stored when one of them is refused: with
// artefact.ErrInvalid or ErrTooLarge what is wrong by itself, with ErrConflict
// what contradicts a record that is there, with ErrPruned what belongs to a
// pruned attempt, with ErrMissing what lacks a block. Errors of the disk come
// wrapped.
func (a *Archive) Add(ctx context.Context, recs ...*artefactpb.Record) error {
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		return ErrClosed
	}
	a.adding.Add(1)
	a.mu.Unlock()
	defer a.adding.Done()
	a.gate.RLock()
	defer a.gate.RUnlock()

	var entries []entry
	with := map[artefact.ID]bool{}
	for _, r := range recs {
		if err := artefact.Check(r); err != nil {
			return err
		}
		id := artefact.IDOf(r)
		if with[id] {
			continue
		}
		if b := r.GetBlock(); b != nil {
			if _, err := a.codec.Unpack(b); err != nil {
				return err
			}
		}
		with[id] = true
		entries = append(entries, entry{rec: r, id: id})
	}
	a.mention(entries)
	entries, err := a.admit(entries, with)
	if err != nil || len(entries) == 0 {
		return err
	}
	raws := make([][]byte, len(entries))
	for i, e := range entries {
		if raws[i], err = proto.Marshal(e.rec); err != nil {
			return fmt.Errorf("archive: %w", err)
		}
	}
	return a.write(ctx, entries, raws)
}

// write appends records and takes them into the index, in the order in which
// they are in the segments: else one that was not acknowledged could be left out
// of the index now and turn up, and undo what was stored since, when that is
// made again.
func (a *Archive) write(ctx context.Context, entries []entry, raws [][]byte) error {
	i := indexing{entries, make(chan error, 1)}
	_, err := a.log.AppendThen(ctx, func(at []segment.Position) {
		for k := range entries {
			entries[k].at = at[k]
		}
		a.entries <- i
	}, raws...)
	if err != nil {
		return err
	}
	return <-i.done
}

// mention notes the blocks that records are or refer to while a compaction is
// under way, which then keeps them.
func (a *Archive) mention(entries []entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.mentioned == nil {
		return
	}
	for _, e := range entries {
		if e.rec.GetBlock() != nil {
			a.mentioned[e.id] = true
		}
		for _, id := range artefact.Refs(e.rec) {
			a.mentioned[id] = true
		}
	}
}

// admit leaves out what is there already and refuses what cannot be stored.
func (a *Archive) admit(entries []entry, with map[artefact.ID]bool) (out []entry, err error) {
	err = a.db.View(func(tx *bolt.Tx) error {
		ids := tx.Bucket(bucketIDs)
		has := func(id artefact.ID) bool { return with[id] || ids.Get(id[:]) != nil }
		for _, e := range entries {
			if ids.Get(e.id[:]) != nil {
				continue
			}
			if err := refuse(tx, e.rec, has); err != nil {
				return err
			}
			out = append(out, e)
		}
		return nil
	})
	return out, err
}

func refuse(tx *bolt.Tx, r *artefactpb.Record, has func(block artefact.ID) bool) error {
	key := artefact.KeyOf(r)
	if key == nil {
		return nil
	}
	raw := artefact.Bytes(key)
	if r.GetPrune() == nil && tx.Bucket(bucketPrunes).Get(raw) != nil {
		return ErrPruned
	}
	for _, id := range artefact.Refs(r) {
		if !has(id) {
			return ErrMissing
		}
	}
	taken := false
	switch b := r.GetBody().(type) {
	case *artefactpb.Record_Chunk:
		taken = tx.Bucket(bucketChunks).Get(numbered(raw, b.Chunk.GetSeq())) != nil
	case *artefactpb.Record_File:
		taken = tx.Bucket(bucketFiles).Get(fileKey(raw, b.File.GetPath())) != nil
	case *artefactpb.Record_Open, *artefactpb.Record_Seal:
		old := new(artefactpb.Attempt)
		if _, err := load(tx.Bucket(bucketAttempts), raw, old); err != nil {
			return err
		}
		taken = (r.GetOpen() != nil && old.Open != nil) || (r.GetSeal() != nil && old.Seal != nil)
	case *artefactpb.Record_Prune:
		return nil
	}
	if taken {
		return fmt.Errorf("%w: %s/%d attempt %d", ErrConflict, key.GetJob(), key.GetTask(), key.GetAttempt())
	}
	return nil
}

// Digests are the sums of the ids in each range, to be compared between
// archives: where they are the same, so are the records. Blocks do not count:
// they follow the records that refer to them, and without these are on their
// way out, here sooner and there later.
func (a *Archive) Digests() [Ranges]artefact.ID {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.digests
}

// Records tells how many records there are, blocks aside.
func (a *Archive) Records() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.counts {
		n += c
	}
	return n
}

// IDs lists the ids of a range, blocks aside.
func (a *Archive) IDs(which byte) ([]artefact.ID, error) {
	var out []artefact.ID
	err := a.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketIDs).Cursor()
		for k, v := c.Seek([]byte{which}); k != nil && k[0] == which; k, v = c.Next() {
			if p, ok := placeOf(v); ok && p.kind != kindBlock {
				out = append(out, artefact.ID(k))
			}
		}
		return nil
	})
	return out, err
}

// Has tells which of some records are there.
func (a *Archive) Has(ids []artefact.ID) (there []bool, err error) {
	there = make([]bool, len(ids))
	err = a.db.View(func(tx *bolt.Tx) error {
		for i, id := range ids {
			there[i] = tx.Bucket(bucketIDs).Get(id[:]) != nil
		}
		return nil
	})
	return there, err
}

// Record reads a record from the segments. It returns ErrMissing when it is not
// there, and segment.ErrDamaged when it is but cannot be read.
func (a *Archive) Record(id artefact.ID) (*artefactpb.Record, error) {
	for again := true; ; again = false {
		var p place
		var ok bool
		err := a.db.View(func(tx *bolt.Tx) error {
			p, ok = placeOf(tx.Bucket(bucketIDs).Get(id[:]))
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("archive: index: %w", err)
		}
		if !ok {
			return nil, ErrMissing
		}
		r, err := a.read(p.at)
		if errors.Is(err, segment.ErrDamaged) && again {
			continue // a compaction may have moved it meanwhile
		}
		return r, err
	}
}

func (a *Archive) read(at segment.Position) (*artefactpb.Record, error) {
	raw, err := a.log.Read(at)
	if err != nil {
		return nil, err
	}
	r := new(artefactpb.Record)
	if err := protocost.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%w: %w", segment.ErrDamaged, err)
	}
	return r, nil
}

// Block returns the content with a hash.
func (a *Archive) Block(h artefact.Hash) ([]byte, error) {
	r, err := a.Record(artefact.BlockID(h))
	if err != nil {
		return nil, err
	}
	data, err := a.codec.Unpack(r.GetBlock())
	if err != nil || artefact.Hash(r.GetBlock().GetHash()) != h {
		return nil, fmt.Errorf("%w: block %x", segment.ErrDamaged, h[:6])
	}
	return data, nil
}

// Output returns what a chunk holds.
func (a *Archive) Output(c *artefactpb.Chunk) (*artefactpb.Output, error) {
	data, err := a.Block(artefact.Hash(c.GetBlock()))
	if err != nil {
		return nil, err
	}
	out := new(artefactpb.Output)
	if err := protocost.Unmarshal(data, out); err != nil {
		return nil, fmt.Errorf("%w: output: %w", artefact.ErrInvalid, err)
	}
	return out, nil
}

// Attempts calls f for the attempts whose key begins with prefix, in the order
// of their keys, until it returns false.
func (a *Archive) Attempts(prefix []byte, f func(*artefactpb.Attempt) bool) error {
	return a.db.View(func(tx *bolt.Tx) error { return scan(tx, bucketAttempts, prefix, prefix, f) })
}

// Attempt returns what is known of an attempt; nil when there is nothing.
func (a *Archive) Attempt(key *artefactpb.Key) (at *artefactpb.Attempt, err error) {
	err = a.Attempts(artefact.Bytes(key), func(x *artefactpb.Attempt) bool {
		at = x
		return false
	})
	return at, err
}

// Chunks returns an attempt's chunks from a number on, at most most of them.
func (a *Archive) Chunks(key *artefactpb.Key, from uint64, most int) (out []*artefactpb.Chunk, err error) {
	raw := artefact.Bytes(key)
	err = a.db.View(func(tx *bolt.Tx) error {
		return scan(tx, bucketChunks, numbered(raw, from), raw, func(m *artefactpb.Chunk) bool {
			if len(out) >= most {
				return false
			}
			out = append(out, m)
			return true
		})
	})
	return out, err
}

// LastChunks returns the last chunks of an attempt that hold at least so many
// lines, in order; all of them if there are fewer.
func (a *Archive) LastChunks(key *artefactpb.Key, lines int) (out []*artefactpb.Chunk, err error) {
	raw := artefact.Bytes(key)
	err = a.db.View(func(tx *bolt.Tx) error {
		c := tx.Bucket(bucketChunks).Cursor()
		step := c.Prev
		if k, _ := c.Seek(append(numbered(raw, ^uint64(0)), 0)); k == nil {
			step = c.Last
		}
		for k, v := step(); k != nil && strings.HasPrefix(string(k), string(raw)) && lines > 0; k, v = c.Prev() {
			m := new(artefactpb.Chunk)
			if err := decode(v, m); err != nil {
				return err
			}
			out = append([]*artefactpb.Chunk{m}, out...)
			lines -= int(m.GetLines())
		}
		return nil
	})
	return out, err
}

// Files lists the files of an attempt by path.
func (a *Archive) Files(key *artefactpb.Key) (out []*artefactpb.File, err error) {
	raw := artefact.Bytes(key)
	err = a.db.View(func(tx *bolt.Tx) error {
		return scan(tx, bucketFiles, raw, raw, func(m *artefactpb.File) bool {
			out = append(out, m)
			return true
		})
	})
	return out, err
}
