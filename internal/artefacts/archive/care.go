package archive

import (
	"context"
	"errors"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/segment"
	"fawncove/internal/protocost"
)

// Scrubbed is what a scrub found.
type Scrubbed struct {
	Records  int // looked at
	Repaired int // damaged, and written again from the index
	// Missing are the blocks that something refers to and that are not there,
	// as they were damaged, now or earlier: other instances may have them.
	Missing []artefact.ID
}

// Scrub reads all records and compares them with their checksums and hashes.
// What is damaged is written again where the index knows it; a damaged block is
// forgotten, so that it can be added again.
func (a *Archive) Scrub(ctx context.Context) (Scrubbed, error) {
	a.compact.Lock()
	defer a.compact.Unlock()
	var out Scrubbed
	good := map[artefact.ID]segment.Position{}
	_, err := a.log.Replay(segment.Position{}, func(at segment.Position, raw []byte) error {
		r := new(artefactpb.Record)
		if protocost.Unmarshal(raw, r) != nil || artefact.Check(r) != nil {
			return ctx.Err()
		}
		if b := r.GetBlock(); b != nil {
			if _, err := a.codec.Unpack(b); err != nil {
				return ctx.Err()
			}
		}
		out.Records++
		good[artefact.IDOf(r)] = at
		return ctx.Err()
	})
	if err != nil {
		return out, fmt.Errorf("archive: scrub: %w", err)
	}
	bad, err := a.unread(good)
	if err != nil {
		return out, err
	}
	var again []*artefactpb.Record
	var drop []artefact.ID
	for id, p := range bad {
		if _, err := a.whole(id); err == nil {
			continue // came, or was moved, while the segments were read
		}
		if p.kind != kindBlock {
			r, err := a.fromIndex(p)
			if err != nil {
				return out, err
			}
			if r != nil && artefact.Check(r) == nil && artefact.IDOf(r) == id {
				again = append(again, r)
				out.Repaired++
			}
		}
		drop = append(drop, id)
	}
	if err := a.drop(drop); err != nil {
		return out, err
	}
	if err := a.rewrite(ctx, again); err != nil {
		return out, err
	}
	out.Missing, err = a.missing()
	return out, err
}

// missing lists the blocks that something refers to and that are not there.
func (a *Archive) missing() (out []artefact.ID, err error) {
	err = a.db.View(func(tx *bolt.Tx) error {
		refs, err := references(tx)
		for id := range refs {
			if tx.Bucket(bucketIDs).Get(id[:]) == nil {
				out = append(out, id)
			}
		}
		return err
	})
	return out, err
}

// references are the blocks that chunks and files refer to.
func references(tx *bolt.Tx) (map[artefact.ID]bool, error) {
	refs := map[artefact.ID]bool{}
	note := func(m proto.Message) bool {
		for _, id := range artefact.Refs(artefact.RecordOf(m)) {
			refs[id] = true
		}
		return true
	}
	return refs, errors.Join(
		scan(tx, bucketChunks, nil, nil, func(m *artefactpb.Chunk) bool { return note(m) }),
		scan(tx, bucketFiles, nil, nil, func(m *artefactpb.File) bool { return note(m) }))
}

// unread lists the records of the index that are not among those read at their
// place.
func (a *Archive) unread(good map[artefact.ID]segment.Position) (map[artefact.ID]place, error) {
	bad := map[artefact.ID]place{}
	err := a.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketIDs).ForEach(func(k, v []byte) error {
			p, ok := placeOf(v)
			if at, read := good[artefact.ID(k)]; !ok || !read || at != p.at {
				bad[artefact.ID(k)] = p
			}
			return nil
		})
	})
	return bad, err
}

// whole reads a record and checks that it is the one with that id.
func (a *Archive) whole(id artefact.ID) (*artefactpb.Record, error) {
	r, err := a.Record(id)
	if err != nil {
		return nil, err
	}
	if b := r.GetBlock(); b != nil {
		if _, err := a.codec.Unpack(b); err != nil {
			return nil, err
		}
	}
	if artefact.Check(r) != nil || artefact.IDOf(r) != id {
		return nil, segment.ErrDamaged
	}
	return r, nil
}

// fromIndex makes a record again from what the index knows; nil if it does not.
func (a *Archive) fromIndex(p place) (r *artefactpb.Record, err error) {
	var m proto.Message
	attempt := new(artefactpb.Attempt)
	bucket := bucketAttempts
	switch p.kind {
	case kindChunk:
		bucket, m = bucketChunks, new(artefactpb.Chunk)
	case kindFile:
		bucket, m = bucketFiles, new(artefactpb.File)
	case kindPrune:
		bucket, m = bucketPrunes, new(artefactpb.Prune)
	case kindOpen, kindSeal:
		m = attempt
	default:
		return nil, nil
	}
	there := false
	err = a.db.View(func(tx *bolt.Tx) error {
		there, err = load(tx.Bucket(bucket), p.key, m)
		return err
	})
	switch {
	case err != nil || !there:
		return nil, err
	case p.kind == kindOpen:
		m = attempt.GetOpen()
	case p.kind == kindSeal:
		m = attempt.GetSeal()
	}
	return artefact.RecordOf(m), nil
}

// drop forgets where records are, as if they had never come.
func (a *Archive) drop(ids []artefact.ID) error {
	var gone []artefact.ID // that count in digests
	err := a.db.Update(func(tx *bolt.Tx) error {
		gone = nil
		b := tx.Bucket(bucketIDs)
		for _, id := range ids {
			p, ok := placeOf(b.Get(id[:]))
			if !ok {
				continue
			}
			if p.kind != kindBlock {
				gone = append(gone, id)
			}
			if err := b.Delete(id[:]); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("archive: index: %w", err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range gone {
		a.toggle(id, -1)
	}
	return nil
}

// rewrite stores records at the end of the log, wherever they were before.
func (a *Archive) rewrite(ctx context.Context, recs []*artefactpb.Record) error {
	for len(recs) > 0 {
		n, size := 0, 0
		var raws [][]byte
		var entries []entry
		for n < len(recs) && (n == 0 || size < 4<<20) {
			raw, err := proto.Marshal(recs[n])
			if err != nil {
				return fmt.Errorf("archive: %w", err)
			}
			raws = append(raws, raw)
			entries = append(entries, entry{rec: recs[n], id: artefact.IDOf(recs[n])})
			size += len(raw)
			n++
		}
		if err := a.write(ctx, entries, raws); err != nil {
			return err
		}
		recs = recs[n:]
	}
	return nil
}

// Compacted is what a compaction did.
type Compacted struct {
	Blocks   int   // that nothing referred to
	Segments int   // that were removed
	Bytes    int64 // of these, less what was written again
}

// compactBelow is to which part a segment must still be wanted to be kept as it
// is: what is wanted of others is written again.
const compactBelow = 0.5

// mark notes which segment was written at a time.
type mark struct {
	at      time.Time
	segment uint64
}

// Compact gives back the room of what was pruned: blocks that nothing refers to
// and are older than the grace, then segments of which little is wanted.
func (a *Archive) Compact(ctx context.Context) (Compacted, error) {
	a.compact.Lock()
	defer a.compact.Unlock()
	var out Compacted
	old := a.oldSegments()
	a.mu.Lock()
	a.mentioned = map[artefact.ID]bool{}
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.mentioned = nil
		a.mu.Unlock()
	}()
	idle, err := a.unreferenced(old)
	if err != nil {
		return out, err
	}
	// No Add is under way while they go: one that mentioned a block since has
	// been noted, one that comes later finds it gone.
	a.gate.Lock()
	a.mu.Lock()
	keep := idle[:0]
	for _, id := range idle {
		if !a.mentioned[id] {
			keep = append(keep, id)
		}
	}
	a.mu.Unlock()
	err = a.drop(keep)
	a.gate.Unlock()
	if err != nil {
		return out, err
	}
	out.Blocks = len(keep)
	places, err := a.places(old)
	if err != nil {
		return out, err
	}
	for _, s := range a.log.Segments() {
		if s.Segment == a.log.Active() || s.Segment > old {
			continue
		}
		wanted, size, err := a.wanted(ctx, places[s.Segment])
		if err != nil {
			return out, err
		}
		if float64(size) > compactBelow*float64(s.Bytes) {
			continue
		}
		if err := a.rewrite(ctx, wanted); err != nil {
			return out, err
		}
		if err := a.log.Remove(s.Segment); err != nil {
			return out, err
		}
		out.Segments++
		out.Bytes += s.Bytes - size
	}
	return out, nil
}

// oldSegments returns the last segment that was written before the grace began.
func (a *Archive) oldSegments() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, old, first := a.now(), uint64(0), 0
	for i, m := range a.marks {
		if now.Sub(m.at) >= a.grace {
			old, first = m.segment, i
		}
	}
	a.marks = a.marks[first:]
	a.marks = append(a.marks, mark{now, a.log.Active()})
	return old
}

// unreferenced lists the blocks in old segments that nothing refers to.
func (a *Archive) unreferenced(old uint64) ([]artefact.ID, error) {
	var out []artefact.ID
	err := a.db.View(func(tx *bolt.Tx) error {
		refs, err := references(tx)
		if err != nil {
			return err
		}
		return tx.Bucket(bucketIDs).ForEach(func(k, v []byte) error {
			if p, ok := placeOf(v); ok && p.kind == kindBlock && p.at.Segment <= old && !refs[artefact.ID(k)] {
				out = append(out, artefact.ID(k))
			}
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("archive: index: %w", err)
	}
	return out, nil
}

// places lists where the index finds records in old segments, by segment.
func (a *Archive) places(old uint64) (map[uint64][]segment.Position, error) {
	out := map[uint64][]segment.Position{}
	err := a.db.View(func(tx *bolt.Tx) error {
		return tx.Bucket(bucketIDs).ForEach(func(_, v []byte) error {
			if p, ok := placeOf(v); ok && p.at.Segment <= old {
				out[p.at.Segment] = append(out[p.at.Segment], p.at)
			}
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("archive: index: %w", err)
	}
	return out, nil
}

// wanted reads the records of a segment that the index finds there.
func (a *Archive) wanted(ctx context.Context, at []segment.Position) (out []*artefactpb.Record, size int64, err error) {
	for _, p := range at {
		if err := ctx.Err(); err != nil {
			return nil, 0, err
		}
		r, err := a.read(p)
		if errors.Is(err, segment.ErrDamaged) {
			return nil, 0, fmt.Errorf("archive: segment %d wants a scrub first: %w", p.Segment, err)
		}
		if err != nil {
			return nil, 0, err
		}
		out = append(out, r)
		size += int64(proto.Size(r))
	}
	return out, size, nil
}
