// Package segment is an append-only log of records on a disk. A record that
// Append has returned for is there after any crash; one that was damaged since
// is found out and stepped over, and costs no other record.
//
// The log is a directory of numbered files. A record has a header with a
// checksum of its own, so that a damaged length does not hide what follows:
//
//	magic 4 | length 4 | checksum of the payload 4 | checksum of these 12 bytes 4 | payload
//
// Whatever is appended at the same time is written and synced together. After a
// write or sync that failed nothing is known of the file's end, not even that a
// later sync would tell: where the file counts until is noted in a file beside
// it, and the records go to a new one. So what Append has failed with does not
// turn up later, when other records have been acknowledged that contradict it.
// What was under way in a crash may be there: then it is from the next Open on.
package segment

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"sync"
)

const (
	magic      = 0xfa3c0e61
	headerSize = 16
	// MaxRecord is the largest payload, in bytes.
	MaxRecord = 16 << 20
	// batchMost bounds what is written with one sync, in bytes, so that memory
	// stays bounded when many wait for a slow disk.
	batchMost = 8 << 20
	suffix    = ".seg"
	endSuffix = ".end" // says until where the segment of that number counts
)

// Errors of the log; those of the disk come wrapped beside them.
var (
	// ErrDamaged says that there is no whole record at a position.
	ErrDamaged = errors.New("segment: damaged record")
	// ErrTooLarge says that a record is larger than MaxRecord.
	ErrTooLarge = errors.New("segment: record too large")
	// ErrClosed says that the log has been closed.
	ErrClosed = errors.New("segment: closed")
)

// Position is where a record starts. Positions rise in the order of appending.
type Position struct {
	Segment uint64
	Offset  int64
}

// After is the position right after a record.
func (p Position) After(rec []byte) Position {
	return Position{p.Segment, p.Offset + headerSize + int64(len(rec))}
}

// Before tells whether p comes before q.
func (p Position) Before(q Position) bool {
	return p.Segment < q.Segment || (p.Segment == q.Segment && p.Offset < q.Offset)
}

// Options are how a log is kept. Zero values stand for the defaults.
type Options struct {
	FS           FS    // the directory; required
	SegmentBytes int64 // size from which on a new file is begun; 64 MiB
}

// Info describes one file of the log.
type Info struct {
	Segment uint64
	Bytes   int64
}

// Log is an open log. Its methods may be called by any number of goroutines.
type Log struct {
	fs      FS
	most    int64
	appends chan *request
	done    chan struct{} // closed when the writer has ended

	// gate is held for reading while something is handed to the writer, so that
	// Close cannot close the channel in between. It is not mu, which the writer
	// itself needs: with more than the channel holds both would wait for ever.
	gate   sync.RWMutex
	closed bool

	mu     sync.Mutex // guards what follows
	sizes  map[uint64]int64
	files  map[uint64]File // open for reading
	active uint64
	syncs  int64
}

type request struct {
	recs [][]byte
	then func(at []Position)
	at   []Position
	err  error
	done chan struct{}
}

// Open opens the log in a directory. What a crash left half written at the end
// of the last file stays there, unread, as appending begins a new file.
func Open(opt Options) (*Log, error) {
	if opt.SegmentBytes <= 0 {
		opt.SegmentBytes = 64 << 20
	}
	l := &Log{fs: opt.FS, most: opt.SegmentBytes, appends: make(chan *request, 256),
		done: make(chan struct{}), sizes: map[uint64]int64{}, files: map[uint64]File{}}
	names, err := l.fs.List()
	if err != nil {
		return nil, fmt.Errorf("segment: list: %w", err)
	}
	for name, size := range names {
		num, ok := strings.CutSuffix(name, suffix)
		n, err := strconv.ParseUint(num, 16, 64)
		if !ok || err != nil {
			continue // not ours
		}
		l.sizes[n] = size
		l.active = max(l.active, n)
	}
	if err := l.settle(names); err != nil {
		return nil, err
	}
	go l.write()
	return l, nil
}

// settle makes sure of the ends of files. What an earlier process was writing
// when it ended may be in the machine's memory only, and looks stored to
// whoever reads it.
func (l *Log) settle(names map[string]int64) error {
	for n := range l.sizes {
		if _, ok := names[endName(n)]; !ok {
			continue
		}
		end, ok, err := l.readEnd(n)
		if err != nil {
			return err
		}
		if ok {
			l.sizes[n] = min(l.sizes[n], end)
			continue
		}
		// Never finished, so nothing was acknowledged after it. All of the
		// file counts, now and from now on.
		if err := errors.Join(l.fs.Remove(endName(n)), l.fs.Sync()); err != nil {
			return fmt.Errorf("segment: remove: %w", err)
		}
	}
	if l.active == 0 {
		return nil
	}
	f, err := l.reader(l.active)
	if err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("segment: sync: %w", err)
	}
	return nil
}

// An end is written down several times, as a bit that flips in it must not
// bring back what did not count.
const (
	endSize   = 12
	endCopies = 3
)

// readEnd reads until where a segment counts; ok is false when that was never
// written to the end.
func (l *Log) readEnd(n uint64) (end int64, ok bool, err error) {
	f, err := l.fs.Open(endName(n))
	if err != nil {
		return 0, false, fmt.Errorf("segment: open: %w", err)
	}
	for i := range endCopies {
		var b [endSize]byte
		switch err = readFull(f, b[:], int64(i*endSize)); {
		case errors.Is(err, ErrDamaged):
			err = nil // shorter
		case err == nil && !ok && binary.LittleEndian.Uint32(b[8:]) == crc32.Checksum(b[:8], table):
			end, ok = int64(binary.LittleEndian.Uint64(b[:])), true
		}
	}
	return end, ok, errors.Join(err, f.Close())
}

func endName(n uint64) string { return fmt.Sprintf("%012x%s", n, endSuffix) }

func fileName(n uint64) string { return fmt.Sprintf("%012x%s", n, suffix) }

// Close ends the log once what was appended before is on disk.
func (l *Log) Close() error {
	l.gate.Lock()
	if l.closed {
		l.gate.Unlock()
		return nil
	}
	l.closed = true
	close(l.appends)
	l.gate.Unlock()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for n, f := range l.files {
		errs = append(errs, f.Close())
		delete(l.files, n)
	}
	return errors.Join(errs...)
}

// Append stores records, in this order, and returns where they are once they
// are on disk. After an error none of them is acknowledged, though some may be
// there until the next one is. When ctx ends first the records may or may not be
// stored.
func (l *Log) Append(ctx context.Context, recs ...[]byte) ([]Position, error) {
	return l.AppendThen(ctx, nil, recs...)
}

// AppendThen is Append with a function that is called once the records are on
// disk, and only then, even when ctx has ended meanwhile. Calls come one after
// the other in the order of positions; the log waits for them.
func (l *Log) AppendThen(ctx context.Context, then func(at []Position), recs ...[]byte) ([]Position, error) {
	for _, r := range recs {
		if len(r) > MaxRecord {
			return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, len(r))
		}
	}
	req := &request{recs: recs, then: then, done: make(chan struct{})}
	l.gate.RLock()
	if l.closed {
		l.gate.RUnlock()
		return nil, ErrClosed
	}
	select {
	case l.appends <- req:
		l.gate.RUnlock()
	case <-ctx.Done():
		l.gate.RUnlock()
		return nil, ctx.Err()
	}
	select {
	case <-req.done:
		return req.at, req.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// write owns the file that is appended to.
func (l *Log) write() {
	defer close(l.done)
	w := &writer{log: l}
	for req := range l.appends {
		batch := []*request{req}
		size := req.size()
		for size < batchMost {
			select {
			case more, ok := <-l.appends:
				if ok {
					batch = append(batch, more)
					size += more.size()
					continue
				}
			default:
			}
			break
		}
		err := w.commit(batch)
		if err != nil {
			// The end of that file is unknown now. A new one may do: its
			// blocks are others, and what was full may have room again.
			w.fail()
			err = w.commit(batch)
		}
		if err != nil {
			w.fail()
		}
		for _, r := range batch {
			r.err = err
			if err == nil && r.then != nil {
				r.then(r.at)
			}
			close(r.done)
		}
	}
	w.leave()
}

func (r *request) size() int {
	n := 0
	for _, rec := range r.recs {
		n += len(rec) + headerSize
	}
	return n
}

// writer is the file that is appended to, if there is one.
type writer struct {
	log  *Log
	file File
	num  uint64
	size int64
	buf  []byte
	// ends are the files whose last write or sync failed, with their sizes
	// before that. They are noted on disk before anything else is acknowledged.
	ends []Info
}

func (w *writer) commit(batch []*request) error {
	if w.file == nil || w.size >= w.log.most {
		if err := w.begin(); err != nil {
			return err
		}
	}
	w.buf = w.buf[:0]
	for _, r := range batch {
		r.at = r.at[:0]
		for _, rec := range r.recs {
			r.at = append(r.at, Position{w.num, w.size + int64(len(w.buf))})
			w.buf = appendFrame(w.buf, rec)
		}
	}
	if _, err := w.file.Write(w.buf); err != nil {
		return fmt.Errorf("segment: write: %w", err)
	}
	if err := w.file.Sync(); err != nil {
		return fmt.Errorf("segment: sync: %w", err)
	}
	w.size += int64(len(w.buf))
	if cap(w.buf) > 2*batchMost {
		w.buf = nil
	}
	w.log.mu.Lock()
	w.log.sizes[w.num] = w.size
	w.log.syncs++
	w.log.mu.Unlock()
	return nil
}

// begin starts the next file. Its name is on disk before anything in it is
// acknowledged.
func (w *writer) begin() error {
	w.leave()
	if err := w.noteEnds(); err != nil {
		return err
	}
	w.log.mu.Lock()
	w.log.active++
	num := w.log.active
	w.log.mu.Unlock()
	f, err := w.log.fs.Create(fileName(num))
	if err != nil {
		return fmt.Errorf("segment: create: %w", err)
	}
	if err := w.log.fs.Sync(); err != nil {
		return errors.Join(fmt.Errorf("segment: sync of the directory: %w", err), f.Close())
	}
	w.file, w.num, w.size = f, num, 0
	return nil
}

// fail gives up a file after an error.
func (w *writer) fail() {
	if w.file == nil {
		return
	}
	w.ends = append(w.ends, Info{w.num, w.size})
	w.leave()
}

// noteEnds writes down until where failed files count.
func (w *writer) noteEnds() error {
	for len(w.ends) > 0 {
		end := w.ends[0]
		f, err := w.log.fs.Create(endName(end.Segment))
		if errors.Is(err, fs.ErrExist) {
			// Begun by a try that failed.
			if err := w.log.fs.Remove(endName(end.Segment)); err != nil {
				return fmt.Errorf("segment: remove: %w", err)
			}
			f, err = w.log.fs.Create(endName(end.Segment))
		}
		if err != nil {
			return fmt.Errorf("segment: create: %w", err)
		}
		b := binary.LittleEndian.AppendUint64(nil, uint64(end.Bytes))
		b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, table))
		_, err = f.Write(bytes.Repeat(b, endCopies))
		if err := errors.Join(err, f.Sync(), f.Close(), w.log.fs.Sync()); err != nil {
			return fmt.Errorf("segment: noting an end: %w", err)
		}
		w.log.mu.Lock()
		w.log.sizes[end.Segment] = end.Bytes
		w.log.mu.Unlock()
		w.ends = w.ends[1:]
	}
	return nil
}

// leave gives the file up. Nothing depends on how its closing ends: what was
// acknowledged is synced.
func (w *writer) leave() {
	if w.file != nil {
		_ = w.file.Close()
		w.file = nil
	}
}

var table = crc32.MakeTable(crc32.Castagnoli)

func appendFrame(buf, rec []byte) []byte {
	at := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, magic)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(rec)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(rec, table))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(buf[at:at+12], table))
	return append(buf, rec...)
}

// header reads a frame's header; ok is false for anything else.
func header(b []byte) (length int, sum uint32, ok bool) {
	if len(b) < headerSize || binary.LittleEndian.Uint32(b) != magic ||
		binary.LittleEndian.Uint32(b[12:]) != crc32.Checksum(b[:12], table) {
		return 0, 0, false
	}
	n := binary.LittleEndian.Uint32(b[4:])
	return int(n), binary.LittleEndian.Uint32(b[8:]), n <= MaxRecord
}

// reader returns the file for reading. Files stay open: there are as many as
// segments, and each is some tens of megabytes.
func (l *Log) reader(n uint64) (File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.files[n]; f != nil {
		return f, nil
	}
	if _, ok := l.sizes[n]; !ok {
		return nil, fmt.Errorf("%w: no segment %d", ErrDamaged, n)
	}
	f, err := l.fs.Open(fileName(n))
	if err != nil {
		return nil, fmt.Errorf("segment: open: %w", err)
	}
	l.files[n] = f
	return f, nil
}

// Read returns the record at a position that Append or Replay has given. It
// returns ErrDamaged when the record is not whole any more.
func (l *Log) Read(p Position) ([]byte, error) {
	f, err := l.reader(p.Segment)
	if err != nil {
		return nil, err
	}
	var head [headerSize]byte
	if err := readFull(f, head[:], p.Offset); err != nil {
		return nil, err
	}
	n, sum, ok := header(head[:])
	if !ok {
		return nil, fmt.Errorf("%w at %d/%d", ErrDamaged, p.Segment, p.Offset)
	}
	rec := make([]byte, n)
	if err := readFull(f, rec, p.Offset+headerSize); err != nil {
		return nil, err
	}
	if crc32.Checksum(rec, table) != sum {
		return nil, fmt.Errorf("%w at %d/%d", ErrDamaged, p.Segment, p.Offset)
	}
	return rec, nil
}

func readFull(f File, b []byte, at int64) error {
	n, err := f.ReadAt(b, at)
	switch {
	case n == len(b):
		return nil
	case err == nil || errors.Is(err, io.EOF):
		return fmt.Errorf("%w: the file ends", ErrDamaged)
	}
	return fmt.Errorf("segment: read: %w", err)
}

// Segments lists the files of the log in order.
func (l *Log) Segments() []Info {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Info, 0, len(l.sizes))
	for n, size := range l.sizes {
		out = append(out, Info{n, size})
	}
	slices.SortFunc(out, func(a, b Info) int {
		if a.Segment < b.Segment {
			return -1
		}
		return 1
	})
	return out
}

// Syncs counts the commits so far, each of which was synced.
func (l *Log) Syncs() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.syncs
}

// Active is the file that is appended to, or was last; it cannot be removed.
func (l *Log) Active() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.active
}

// Remove deletes a file of the log, all of whose records are not wanted any
// more.
func (l *Log) Remove(segment uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if segment == l.active {
		return fmt.Errorf("segment: %d is being written", segment)
	}
	if f := l.files[segment]; f != nil {
		_ = f.Close() // it is about to go
		delete(l.files, segment)
	}
	delete(l.sizes, segment)
	if err := l.fs.Remove(fileName(segment)); err != nil {
		return fmt.Errorf("segment: remove: %w", err)
	}
	if err := l.fs.Remove(endName(segment)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("segment: remove: %w", err)
	}
	return nil
}

// Damage is a stretch of a file in which no record is whole.
type Damage struct {
	At    Position
	Bytes int64
}

// Replay calls f for every whole record from a position on, in order, and
// returns the stretches that it had to step over; half a record at the end of a
// file is the usual trace of a crash. It ends with the first error of f.
func (l *Log) Replay(from Position, f func(at Position, rec []byte) error) ([]Damage, error) {
	var damage []Damage
	for _, s := range l.Segments() {
		if s.Segment < from.Segment {
			continue
		}
		start := int64(0)
		if s.Segment == from.Segment {
			start = from.Offset
		}
		file, err := l.reader(s.Segment)
		if err != nil {
			return damage, err
		}
		sc := &scanner{r: file, off: start, end: s.Bytes}
		for {
			rec, at, ok, err := sc.next()
			if err != nil {
				return damage, fmt.Errorf("segment: read: %w", err)
			}
			if n := sc.skipped; n > 0 {
				damage = append(damage, Damage{Position{s.Segment, sc.skippedAt}, n})
			}
			if !ok {
				break
			}
			if err := f(Position{s.Segment, at}, rec); err != nil {
				return damage, err
			}
		}
	}
	return damage, nil
}
