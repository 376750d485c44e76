package archive

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefact"
	"fawncove/internal/artefact/artefactpb"
	"fawncove/internal/segment"
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

// openIndex opens the index file, and tells whether it can be trusted. One that
// cannot is removed and begun anew.
func openIndex(path, boot string) (db *bolt.DB, trusted bool, err error) {
	db, trusted, err = tryIndex(path, boot)
	if err == nil && trusted {
		return db, true, nil
	}
	if errors.Is(err, bolt.ErrTimeout) {
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
		wins, err := settle(tx.Bucket(bucketChunks), at, b.Chunk, old, e.id, func() *artefactpb.Record {
			return &artefactpb.Record{Body: &artefactpb.Record_Chunk{Chunk: old}}
		})
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
		at := append(append([]byte(nil), raw...), b.File.GetPath()...)
		if err := put(kindFile, at); err != nil || !fresh {
			return fresh, err
		}
		old := new(artefactpb.File)
		wins, err := settle(tx.Bucket(bucketFiles), at, b.File, old, e.id, func() *artefactpb.Record {
			return &artefactpb.Record{Body: &artefactpb.Record_File{File: old}}
		})
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
			if old := (&artefactpb.Record{Body: &artefactpb.Record_Seal{Seal: a.Seal}}); a.Seal != nil && lower(artefact.IDOf(old), e.id) {
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
func settle(b *bolt.Bucket, key []byte, m, old proto.Message, id artefact.ID, record func() *artefactpb.Record) (wins bool, err error) {
	if raw := b.Get(key); raw != nil {
		if err := proto.Unmarshal(raw, old); err != nil {
			return false, fmt.Errorf("archive: record in the index: %w", err)
		}
		if lower(artefact.IDOf(record()), id) {
			return false, nil
		}
	}
	return true, store(b, key, m)
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
	if old := b.Get(raw); old != nil {
		if err := proto.Unmarshal(old, a); err != nil {
			return fmt.Errorf("archive: attempt in the index: %w", err)
		}
	}
	f(a)
	return store(b, raw, a)
}

// forget takes all that an attempt left out of the index, and returns the ids
// that went.
func forget(tx *bolt.Tx, key *artefactpb.Key) ([]artefact.ID, error) {
	raw := artefact.Bytes(key)
	var gone []artefact.ID
	drop := func(r *artefactpb.Record) error {
		id := artefact.IDOf(r)
		if tx.Bucket(bucketIDs).Get(id[:]) == nil {
			return nil
		}
		gone = append(gone, id)
		return tx.Bucket(bucketIDs).Delete(id[:])
	}
	each := func(bucket []byte, f func(v []byte) (*artefactpb.Record, error)) error {
		c := tx.Bucket(bucket).Cursor()
		var keys [][]byte
		for k, v := c.Seek(raw); k != nil && strings.HasPrefix(string(k), string(raw)); k, v = c.Next() {
			r, err := f(v)
			if err != nil {
				return err
			}
			if err := drop(r); err != nil {
				return err
			}
			keys = append(keys, append([]byte(nil), k...))
		}
		for _, k := range keys {
			if err := tx.Bucket(bucket).Delete(k); err != nil {
				return err
			}
		}
		return nil
	}
	err := each(bucketChunks, func(v []byte) (*artefactpb.Record, error) {
		m := new(artefactpb.Chunk)
		return &artefactpb.Record{Body: &artefactpb.Record_Chunk{Chunk: m}}, proto.Unmarshal(v, m)
	})
	if err != nil {
		return nil, err
	}
	err = each(bucketFiles, func(v []byte) (*artefactpb.Record, error) {
		m := new(artefactpb.File)
		return &artefactpb.Record{Body: &artefactpb.Record_File{File: m}}, proto.Unmarshal(v, m)
	})
	if err != nil {
		return nil, err
	}
	a := new(artefactpb.Attempt)
	if old := tx.Bucket(bucketAttempts).Get(raw); old != nil {
		if err := proto.Unmarshal(old, a); err != nil {
			return nil, err
		}
	}
	if a.Open != nil {
		if err := drop(&artefactpb.Record{Body: &artefactpb.Record_Open{Open: a.Open}}); err != nil {
			return nil, err
		}
	}
	if a.Seal != nil {
		if err := drop(&artefactpb.Record{Body: &artefactpb.Record_Seal{Seal: a.Seal}}); err != nil {
			return nil, err
		}
	}
	return gone, tx.Bucket(bucketAttempts).Delete(raw)
}
