package segment

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// scanner reads the records of one file one after the other, and finds the next
// whole one where something is damaged.
type scanner struct {
	r        io.ReaderAt
	off, end int64
	buf      []byte // what has been read from off on

	// What was stepped over before the record returned last.
	skippedAt, skipped int64
}

const scanChunk = 1 << 20

// fill makes at least n bytes from off on available, fewer at the file's end.
func (s *scanner) fill(n int) error {
	for len(s.buf) < n && s.off+int64(len(s.buf)) < s.end {
		have := len(s.buf)
		want := int(min(int64(max(scanChunk, n-have)), s.end-s.off-int64(have)))
		s.buf = append(s.buf, make([]byte, want)...)
		got, err := s.r.ReadAt(s.buf[have:], s.off+int64(have))
		s.buf = s.buf[:have+got]
		if errors.Is(err, io.EOF) {
			s.end = s.off + int64(len(s.buf)) // shorter than it was said to be
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) drop(n int) {
	s.buf = s.buf[n:]
	s.off += int64(n)
}

// next returns the next whole record and where it starts; ok is false at the
// end of the file. The record is the caller's.
func (s *scanner) next() (rec []byte, at int64, ok bool, err error) {
	s.skippedAt, s.skipped = s.off, 0
	for {
		if err := s.fill(headerSize); err != nil {
			return nil, 0, false, err
		}
		if len(s.buf) < headerSize {
			s.skipped += int64(len(s.buf))
			s.drop(len(s.buf))
			return nil, 0, false, nil
		}
		n, sum, good := header(s.buf)
		if good {
			if err := s.fill(headerSize + n); err != nil {
				return nil, 0, false, err
			}
			if len(s.buf) >= headerSize+n && crc32.Checksum(s.buf[headerSize:headerSize+n], table) == sum {
				at := s.off
				rec := append([]byte(nil), s.buf[headerSize:headerSize+n]...)
				s.drop(headerSize + n)
				return rec, at, true, nil
			}
		}
		// The payload may be cut off rather than damaged, with whole records
		// behind it: the next magic number is looked for from here.
		step := s.find()
		s.skipped += int64(step)
		s.drop(step)
	}
}

// find tells how far the next place is that may be a header.
func (s *scanner) find() int {
	for i := 1; i+4 <= len(s.buf); i++ {
		if binary.LittleEndian.Uint32(s.buf[i:]) == magic {
			return i
		}
	}
	return max(1, len(s.buf)-3)
}
