// Package artefact is what the parts of the artefact store have in common: keys
// of attempts, records, and content that is named by its hash and compressed.
//
// The key of everything that an attempt leaves behind is job, task, attempt and
// writer. Attempts have numbers that never repeat, so what a second attempt
// writes can not touch the first, and a writer that was taken for dead goes on
// under its own key.
package artefact

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"path"
	"regexp"
	"strings"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/blake3"
	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact/artefactpb"
)

const (
	// BlockMost is the largest content of a block, in bytes, uncompressed.
	BlockMost = 1 << 20
	// PathMost is the longest path of a file, in bytes.
	PathMost = 1024
	// TaskMost is one more than the largest number of a task.
	TaskMost = 1 << 24
	// idSize is the length of a record's id.
	idSize = 16
)

// Errors of what comes from outside.
var (
	// ErrInvalid says that a key, a path or a record is not well formed.
	ErrInvalid = errors.New("artefact: invalid")
	// ErrTooLarge says that content is larger than BlockMost.
	ErrTooLarge = errors.New("artefact: too large")
)

// Hash is the BLAKE3 hash of uncompressed content.
type Hash [32]byte

// HashOf returns the hash of content.
func HashOf(data []byte) Hash { return blake3.Sum256(data) }

// ID tells records apart: the same record has the same id everywhere.
type ID [idSize]byte

// IDOf returns a record's id. It is made of the fields, in an encoding of its
// own: that of protobuf may differ between versions of the library, and two
// instances would take the same record for two. A block's is made of its
// content alone, however it was compressed. The times of day in records count,
// as do machine and command: two records that differ are two records.
func IDOf(r *artefactpb.Record) ID {
	e := &identity{h: blake3.New()}
	switch b := r.GetBody().(type) {
	case *artefactpb.Record_Block:
		return BlockID(Hash(b.Block.GetHash()))
	case *artefactpb.Record_Open:
		o := b.Open
		e.text("open", string(Bytes(o.GetKey())), o.GetTeam(), o.GetMachine())
		e.text(o.GetCommand()...)
		e.num(uint64(len(o.GetCommand())), uint64(o.GetAtNs()))
	case *artefactpb.Record_Chunk:
		c := b.Chunk
		e.text("chunk", string(Bytes(c.GetKey())), string(c.GetBlock()))
		e.num(c.GetSeq(), c.GetOffset(), uint64(c.GetBytes()), uint64(c.GetLines()), uint64(c.GetFirstNs()), uint64(c.GetLastNs()))
	case *artefactpb.Record_File:
		f := b.File
		e.text("file", string(Bytes(f.GetKey())), f.GetPath())
		for _, h := range f.GetBlocks() {
			e.text(string(h))
		}
		e.num(f.GetSize(), uint64(f.GetAtNs()))
	case *artefactpb.Record_Seal:
		x := b.Seal
		e.text("seal", string(Bytes(x.GetKey())), x.GetSignal())
		e.num(x.GetChunks(), x.GetBytes(), uint64(x.GetExit()), math.Float64bits(x.GetUserS()), math.Float64bits(x.GetSystemS()),
			x.GetMemory(), x.GetSkipped(), uint64(x.GetAtNs()))
	case *artefactpb.Record_Prune:
		e.text("prune", string(Bytes(b.Prune.GetKey())), b.Prune.GetWhy())
		e.num(uint64(b.Prune.GetAtNs()))
	}
	var id ID
	copy(id[:], e.h.Sum(nil))
	return id
}

// BlockID returns the id of the block with a hash.
func BlockID(h Hash) ID {
	sum := blake3.Sum256(append([]byte("block"), h[:]...))
	return ID(sum[:idSize])
}

// identity writes fields so that no two lists of fields look alike.
type identity struct{ h *blake3.Hasher }

func (e *identity) text(fields ...string) {
	for _, f := range fields {
		e.num(uint64(len(f)))
		_, _ = e.h.WriteString(f) // a hash takes everything
	}
}

func (e *identity) num(fields ...uint64) {
	var b [8]byte
	for _, f := range fields {
		binary.BigEndian.PutUint64(b[:], f)
		_, _ = e.h.Write(b[:])
	}
}

var (
	jobName    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	writerName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
)

// CheckKey tells what is wrong with a key.
func CheckKey(k *artefactpb.Key) error {
	switch {
	case !jobName.MatchString(k.GetJob()):
		return fmt.Errorf("%w: job %q", ErrInvalid, k.GetJob())
	case k.GetTask() >= TaskMost:
		return fmt.Errorf("%w: task %d", ErrInvalid, k.GetTask())
	case k.GetAttempt() == 0:
		return fmt.Errorf("%w: attempt 0", ErrInvalid)
	case !writerName.MatchString(k.GetWriter()):
		return fmt.Errorf("%w: writer %q", ErrInvalid, k.GetWriter())
	}
	return nil
}

// CheckPath tells what is wrong with the path of a file. Paths are relative,
// clean, and cannot leave their attempt.
func CheckPath(p string) error {
	if p == "" || len(p) > PathMost || path.IsAbs(p) || path.Clean(p) != p || p == ".." ||
		strings.HasPrefix(p, "../") || p == "." || strings.ContainsAny(p, "\x00\\") {
		return fmt.Errorf("%w: path %q", ErrInvalid, p)
	}
	return nil
}

// Bytes returns the key in a form that sorts by job, task, attempt and writer.
func Bytes(k *artefactpb.Key) []byte {
	b := append([]byte(k.GetJob()), 0)
	b = binary.BigEndian.AppendUint32(b, k.GetTask())
	b = binary.BigEndian.AppendUint64(b, k.GetAttempt())
	return append(append(b, k.GetWriter()...), 0)
}

// JobPrefix is what the keys of a job begin with.
func JobPrefix(job string) []byte { return append([]byte(job), 0) }

// TaskPrefix is what the keys of a task begin with.
func TaskPrefix(job string, task uint32) []byte {
	return binary.BigEndian.AppendUint32(JobPrefix(job), task)
}

// RecordOf makes a record of what it holds, one of the kinds that
// artefactpb.Record names; of anything else an empty one, which Check refuses.
func RecordOf(m proto.Message) *artefactpb.Record {
	switch m := m.(type) {
	case *artefactpb.Block:
		return &artefactpb.Record{Body: &artefactpb.Record_Block{Block: m}}
	case *artefactpb.Open:
		return &artefactpb.Record{Body: &artefactpb.Record_Open{Open: m}}
	case *artefactpb.Chunk:
		return &artefactpb.Record{Body: &artefactpb.Record_Chunk{Chunk: m}}
	case *artefactpb.File:
		return &artefactpb.Record{Body: &artefactpb.Record_File{File: m}}
	case *artefactpb.Seal:
		return &artefactpb.Record{Body: &artefactpb.Record_Seal{Seal: m}}
	case *artefactpb.Prune:
		return &artefactpb.Record{Body: &artefactpb.Record_Prune{Prune: m}}
	}
	return &artefactpb.Record{}
}

// Refs returns the ids of the blocks that a record refers to.
func Refs(r *artefactpb.Record) []ID {
	var out []ID
	if c := r.GetChunk(); c != nil {
		out = append(out, BlockID(Hash(c.GetBlock())))
	}
	for _, h := range r.GetFile().GetBlocks() {
		out = append(out, BlockID(Hash(h)))
	}
	return out
}

// KeyOf returns the key of a record; nil of a block.
func KeyOf(r *artefactpb.Record) *artefactpb.Key {
	switch b := r.GetBody().(type) {
	case *artefactpb.Record_Open:
		return b.Open.GetKey()
	case *artefactpb.Record_Chunk:
		return b.Chunk.GetKey()
	case *artefactpb.Record_File:
		return b.File.GetKey()
	case *artefactpb.Record_Seal:
		return b.Seal.GetKey()
	case *artefactpb.Record_Prune:
		return b.Prune.GetKey()
	}
	return nil
}

// Check tells what is wrong with a record from outside. Of a block the content
// is not looked at; see Codec.Unpack.
func Check(r *artefactpb.Record) error {
	if b := r.GetBlock(); b != nil {
		if len(b.GetHash()) != len(Hash{}) || b.GetSize() > BlockMost || len(b.GetZstd()) > 2*BlockMost {
			return fmt.Errorf("%w: block", ErrInvalid)
		}
		return nil
	}
	key := KeyOf(r)
	if key == nil {
		return fmt.Errorf("%w: record of no known kind", ErrInvalid)
	}
	if err := CheckKey(key); err != nil {
		return err
	}
	if c := r.GetChunk(); c != nil && len(c.GetBlock()) != len(Hash{}) {
		return fmt.Errorf("%w: chunk without a block", ErrInvalid)
	}
	if f := r.GetFile(); f != nil {
		for _, h := range f.GetBlocks() {
			if len(h) != len(Hash{}) {
				return fmt.Errorf("%w: file with a bad block", ErrInvalid)
			}
		}
		return CheckPath(f.GetPath())
	}
	return nil
}

// Codec packs and unpacks blocks. It may be used by any number of goroutines.
type Codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// NewCodec returns a codec that compresses quickly rather than well: output of
// tasks is compressed beside the tasks.
func NewCodec() (*Codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(2), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, fmt.Errorf("artefact: %w", err)
	}
	// A few bytes can claim to become gigabytes: the bound holds before
	// anything is unpacked, and while it is.
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(2*BlockMost), zstd.WithDecoderMaxWindow(2*BlockMost), zstd.WithDecoderConcurrency(4))
	if err != nil {
		return nil, fmt.Errorf("artefact: %w", err)
	}
	return &Codec{enc, dec}, nil
}

// Pack makes a block of content.
func (c *Codec) Pack(data []byte) (*artefactpb.Block, error) {
	if len(data) > BlockMost {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(data))
	}
	h := HashOf(data)
	return &artefactpb.Block{Hash: h[:], Size: uint32(len(data)), Zstd: c.enc.EncodeAll(data, nil)}, nil
}

// Unpack returns a block's content once it is what its hash and size say. It
// fails with ErrInvalid otherwise, and with ErrTooLarge when the content is
// beyond BlockMost, before that has been made.
func (c *Codec) Unpack(b *artefactpb.Block) ([]byte, error) {
	var head zstd.Header
	if err := head.Decode(b.GetZstd()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if b.GetSize() > BlockMost || (head.HasFCS && head.FrameContentSize > BlockMost) {
		return nil, fmt.Errorf("%w: block", ErrTooLarge)
	}
	data, err := c.dec.DecodeAll(b.GetZstd(), make([]byte, 0, b.GetSize()))
	switch {
	case errors.Is(err, zstd.ErrDecoderSizeExceeded), errors.Is(err, zstd.ErrWindowSizeExceeded), len(data) > BlockMost:
		return nil, fmt.Errorf("%w: block", ErrTooLarge)
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	case len(data) != int(b.GetSize()) || HashOf(data) != Hash(b.GetHash()):
		return nil, fmt.Errorf("%w: a block is not what its hash says", ErrInvalid)
	}
	return data, nil
}
