package archive

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/segment"
	"fawncove/internal/protocost"
)

// The index says where each record is and what there is of each attempt. All of
// it can be made again from the segments, so it is never synced on the way: it
// is trusted after an orderly end, and after an end of this process alone, when
// what it wrote is still in the machine's memory. After a restart of the machine
// it is made again.
var (
	bucketIDs      = []byte("ids")      // id -> place
	bucketAttempts = []byte("attempts") // key -> Attempt
	bucketChunks   = []byte("chunks")   // key, number -> Chunk
	bucketFiles    = []byte("files")    // key, path -> File
	bucketPrunes   = []byte("prunes")   // key -> Prune
	bucketMeta     = []byte("meta")
	metaApplied    = []byte("applied") // all before this position is in the index
	metaState      = []byte("state")   // "clean", or the boot of the machine
	buckets        = [][]byte{bucketIDs, bucketAttempts, bucketChunks, bucketFiles, bucketPrunes, bucketMeta}
)

// place is where a record is, and of what kind it is.
type place struct {
	at   segment.Position
	kind kind
	key  []byte // in the bucket of its kind
}

// kind tells what a record is.
type kind byte

const (
	kindBlock kind = iota + 1
	kindOpen
	kindChunk
	kindFile
	kindSeal
	kindPrune
)

func (p place) bytes() []byte {
	b := binary.BigEndian.AppendUint64(nil, p.at.Segment)
	b = binary.BigEndian.AppendUint64(b, uint64(p.at.Offset))
	return append(append(b, byte(p.kind)), p.key...)
}

func placeOf(b []byte) (place, bool) {
	if len(b) < 17 {
		return place{}, false
	}
	return place{positionOf(b), kind(b[16]), append([]byte(nil), b[17:]...)}, true
}

func positionOf(b []byte) segment.Position {
	if len(b) < 16 {
		return segment.Position{}
	}
	return segment.Position{Segment: binary.BigEndian.Uint64(b), Offset: int64(binary.BigEndian.Uint64(b[8:]))}
}

func numbered(key []byte, n uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), key...), n)
}

func fileKey(key []byte, path string) []byte { return append(append([]byte(nil), key...), path...) }

// openIndex opens the index file, and tells whether it can be trusted. One that
// cannot is removed and begun anew.
func openIndex(path, boot string) (db *bolt.DB, trusted bool, err error) {
	db, trusted, err = tryIndex(path, boot)
	if err == nil && trusted {
		return db, true, nil
	}
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, false, fmt.Errorf("archive: index %s is in use", path)
	}
	if db != nil {
		_ = db.Close() // about to be removed
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, false, fmt.Errorf("archive: index: %w", err)
	}
	db, _, err = tryIndex(path, boot)
	if err != nil {
		return nil, false, fmt.Errorf("archive: index: %w", err)
	}
	return db, false, nil
}

func tryIndex(path, boot string) (db *bolt.DB, trusted bool, err error) {
	// A damaged file makes the library panic in places.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("damaged: %v", r)
		}
	}()
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second, NoSync: true, NoFreelistSync: true, FreelistType: bolt.FreelistMapType})
	if err != nil {
		return nil, false, err
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, name := range buckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		state := string(meta.Get(metaState))
		trusted = state == "clean" || (state != "" && state == boot)
		return meta.Put(metaState, []byte(boot))
	})
	return db, trusted, err
}

// entry is a record on its way into the index.
type entry struct {
	rec *artefactpb.Record
	id  artefact.ID
	at  segment.Position
}

// apply takes a record into the index. It changes nothing for one that is there
// already, but for its place. fresh tells whether the record was new.
func apply(tx *bolt.Tx, e entry) (fresh bool, err error) {
	ids := tx.Bucket(bucketIDs)
	key := artefact.KeyOf(e.rec)
	var raw []byte
	if key != nil {
		raw = artefact.Bytes(key)
		if e.rec.GetPrune() == nil && tx.Bucket(bucketPrunes).Get(raw) != nil {
			return false, nil // gone, whatever still arrives
		}
	}
	put := func(k kind, at []byte) error {
		fresh = ids.Get(e.id[:]) == nil
		return ids.Put(e.id[:], place{e.at, k, at}.bytes())
	}
	switch b := e.rec.GetBody().(type) {
	case *artefactpb.Record_Block:
		err := put(kindBlock, b.Block.GetHash())
		return fresh, err
	case *artefactpb.Record_Open:
		if err := put(kindOpen, raw); err != nil || !fresh {
			return fresh, err
		}
		return true, change(tx, key, func(a *artefactpb.Attempt) {
			if a.Open == nil || b.Open.GetAtNs() < a.Open.GetAtNs() {
				a.Open = b.Open
			}
			a.LastNs = max(a.LastNs, b.Open.GetAtNs())
		})
	case *artefactpb.Record_Chunk:
		at := numbered(raw, b.Chunk.GetSeq())
		if err := put(kindChunk, at); err != nil || !fresh {
			return fresh, err
		}
		old := new(artefactpb.Chunk)
		wins, err := settle(tx.Bucket(bucketChunks), at, b.Chunk, old, e.id)
		if err != nil || !wins {
			return true, err
		}
		return true, change(tx, key, func(a *artefactpb.Attempt) {
			if old.GetKey() == nil {
				a.Chunks++
			}
			a.Bytes += uint64(b.Chunk.GetBytes()) - uint64(old.GetBytes())
			a.LastNs = max(a.LastNs, b.Chunk.GetLastNs())
		})
	case *artefactpb.Record_File:
		at := fileKey(raw, b.File.GetPath())
		if err := put(kindFile, at); err != nil || !fresh {
			return fresh, err
		}
		old := new(artefactpb.File)
		wins, err := settle(tx.Bucket(bucketFiles), at, b.File, old, e.id)
		if err != nil || !wins {
			return true, err
		}
		return true, change(tx, key, func(a *artefactpb.Attempt) {
			if old.GetKey() == nil {
				a.Files++
			}
			a.FileBytes += b.File.GetSize() - old.GetSize()
			a.LastNs = max(a.LastNs, b.File.GetAtNs())
		})
	case *artefactpb.Record_Seal:
		if err := put(kindSeal, raw); err != nil || !fresh {
			return fresh, err
		}
		return true, change(tx, key, func(a *artefactpb.Attempt) {
			if a.Seal != nil && lower(artefact.IDOf(artefact.RecordOf(a.Seal)), e.id) {
				return
			}
			a.Seal = b.Seal
			a.LastNs = max(a.LastNs, b.Seal.GetAtNs())
		})
	case *artefactpb.Record_Prune:
		if err := put(kindPrune, raw); err != nil || !fresh {
			return fresh, err
		}
		return true, store(tx.Bucket(bucketPrunes), raw, b.Prune)
	}
	return false, fmt.Errorf("%w: record of no known kind", artefact.ErrInvalid)
}

// lower tells which of two records that contradict each other counts: the same
// one on every instance, whichever came first.
func lower(a, b artefact.ID) bool { return bytes.Compare(a[:], b[:]) < 0 }

// settle puts a record where there may be another that contradicts it, which
// only a broken writer makes. It reads that into old and tells whether the new
// one counts.
func settle(b *bolt.Bucket, key []byte, m, old proto.Message, id artefact.ID) (wins bool, err error) {
	there, err := load(b, key, old)
	if err != nil || (there && lower(artefact.IDOf(artefact.RecordOf(old)), id)) {
		return false, err
	}
	return true, store(b, key, m)
}

// load reads what is under a key, if there is anything.
func load(b *bolt.Bucket, key []byte, m proto.Message) (there bool, err error) {
	raw := b.Get(key)
	if raw == nil {
		return false, nil
	}
	return true, decode(raw, m)
}

func decode(raw []byte, m proto.Message) error {
	if err := protocost.Unmarshal(raw, m); err != nil {
		return fmt.Errorf("archive: entry of the index: %w", err)
	}
	return nil
}

// scan calls f for the entries of a bucket whose keys begin with prefix, in
// order, from a key on, until it returns false.
func scan[T any, M interface {
	*T
	proto.Message
}](tx *bolt.Tx, bucket, from, prefix []byte, f func(M) bool) error {
	c := tx.Bucket(bucket).Cursor()
	for k, v := c.Seek(from); k != nil && bytes.HasPrefix(k, prefix); k, v = c.Next() {
		m := M(new(T))
		if err := decode(v, m); err != nil {
			return err
		}
		if !f(m) {
			return nil
		}
	}
	return nil
}

func store(b *bolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}

// change changes what is known of an attempt.
func change(tx *bolt.Tx, key *artefactpb.Key, f func(a *artefactpb.Attempt)) error {
	b, raw := tx.Bucket(bucketAttempts), artefact.Bytes(key)
	a := &artefactpb.Attempt{Key: key}
	if _, err := load(b, raw, a); err != nil {
		return err
	}
	f(a)
	return store(b, raw, a)
}

// forget takes all that an attempt left out of the index, and returns the ids
// that went.
func forget(tx *bolt.Tx, key *artefactpb.Key) ([]artefact.ID, error) {
	raw := artefact.Bytes(key)
	var left []*artefactpb.Record
	a := new(artefactpb.Attempt)
	_, err := load(tx.Bucket(bucketAttempts), raw, a)
	if err := errors.Join(err,
		scan(tx, bucketChunks, raw, raw, func(m *artefactpb.Chunk) bool { left = append(left, artefact.RecordOf(m)); return true }),
		scan(tx, bucketFiles, raw, raw, func(m *artefactpb.File) bool { left = append(left, artefact.RecordOf(m)); return true }),
	); err != nil {
		return nil, err
	}
	if a.Open != nil {
		left = append(left, artefact.RecordOf(a.Open))
	}
	if a.Seal != nil {
		left = append(left, artefact.RecordOf(a.Seal))
	}
	var gone []artefact.ID
	for _, r := range left {
		var err error
		switch b := r.GetBody().(type) {
		case *artefactpb.Record_Chunk:
			err = tx.Bucket(bucketChunks).Delete(numbered(raw, b.Chunk.GetSeq()))
		case *artefactpb.Record_File:
			err = tx.Bucket(bucketFiles).Delete(fileKey(raw, b.File.GetPath()))
		}
		id := artefact.IDOf(r)
		if err == nil && tx.Bucket(bucketIDs).Get(id[:]) != nil {
			gone = append(gone, id)
			err = tx.Bucket(bucketIDs).Delete(id[:])
		}
		if err != nil {
			return nil, err
		}
	}
	return gone, tx.Bucket(bucketAttempts).Delete(raw)
}
