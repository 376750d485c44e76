package capture

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/segment"
	"fawncove/internal/artefacts/wholefile"
	"fawncove/internal/protocost"
)

// ErrInUse says that another process has the spool.
var ErrInUse = errors.New("capture: spool is in use")

// Ticket is what a spool needs to be sent, by whoever finds it.
type Ticket struct {
	URL   string          `json:"url"`
	Token string          `json:"token"`
	Key   *artefactpb.Key `json:"key"`
}

// spool holds the records of one attempt on disk until the store has them. Its
// records are cut before they are sent and never change, so that sending one
// again is always the same record.
type spool struct {
	dir    string
	lock   *os.File
	log    *segment.Log
	ticket Ticket

	mu   sync.Mutex
	sent segment.Position // all before it are with the store
}

const (
	ticketFile = "ticket.json"
	sentFile   = "sent.json"
	lockFile   = "lock"
)

// newSpool makes the spool of an attempt.
func newSpool(dir string, t Ticket) (*spool, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("capture: spool: %w", err)
	}
	if err := writeJSON(filepath.Join(dir, ticketFile), t); err != nil {
		return nil, err
	}
	return openSpool(dir)
}

// openSpool opens a spool, of this process or of one that ended.
func openSpool(dir string) (*spool, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("capture: spool: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written
		return nil, fmt.Errorf("%w: %s", ErrInUse, dir)
	}
	s := &spool{dir: dir, lock: lock}
	if err := s.read(); err != nil {
		return nil, errors.Join(err, lock.Close())
	}
	return s, nil
}

func (s *spool) read() error {
	raw, err := os.ReadFile(filepath.Join(s.dir, ticketFile))
	if err == nil {
		err = json.Unmarshal(raw, &s.ticket)
	}
	if err != nil {
		return fmt.Errorf("capture: spool: %w", err)
	}
	raw, err = os.ReadFile(filepath.Join(s.dir, sentFile))
	if err == nil {
		err = json.Unmarshal(raw, &s.sent)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("capture: spool: %w", err)
	}
	d, err := segment.MkDir(filepath.Join(s.dir, "records"))
	if err != nil {
		return fmt.Errorf("capture: spool: %w", err)
	}
	s.log, err = segment.Open(segment.Options{FS: d, SegmentBytes: 4 << 20})
	return err
}

// writeJSON puts a value into a file of the spool, whole or not at all.
func writeJSON(path string, v any) error {
	if err := wholefile.Write(path, func(w io.Writer) error { return json.NewEncoder(w).Encode(v) }); err != nil {
		return fmt.Errorf("capture: spool: %w", err)
	}
	return nil
}

// add puts records into the spool; they are on disk then.
func (s *spool) add(ctx context.Context, recs ...*artefactpb.Record) error {
	raws := make([][]byte, len(recs))
	for i, r := range recs {
		var err error
		if raws[i], err = proto.Marshal(r); err != nil {
			return fmt.Errorf("capture: spool: %w", err)
		}
	}
	_, err := s.log.Append(ctx, raws...)
	return err
}

// bytes is how much the spool takes on disk.
func (s *spool) bytes() int64 {
	n := int64(0)
	for _, i := range s.log.Segments() {
		n += i.Bytes
	}
	return n
}

// errEnough ends a reading that has what it wants.
var errEnough = errors.New("enough")

// next returns the records to be sent next, about most bytes of them, and where
// to go on afterwards; none when all has been sent.
func (s *spool) next(most int) (recs []*artefactpb.Record, then segment.Position, err error) {
	s.mu.Lock()
	from := s.sent
	s.mu.Unlock()
	then = from
	size := 0
	_, err = s.log.Replay(from, func(at segment.Position, raw []byte) error {
		r := new(artefactpb.Record)
		if err := protocost.Unmarshal(raw, r); err != nil {
			return fmt.Errorf("capture: spool: %w", err)
		}
		if size > most {
			return errEnough
		}
		recs = append(recs, r)
		size += len(raw)
		then = at.After(raw)
		return nil
	})
	if errors.Is(err, errEnough) {
		err = nil
	}
	return recs, then, err
}

// done notes that all before a position are with the store, and gives back the
// room that they took.
func (s *spool) done(then segment.Position) error {
	if err := writeJSON(filepath.Join(s.dir, sentFile), then); err != nil {
		return err
	}
	s.mu.Lock()
	s.sent = then
	s.mu.Unlock()
	for _, i := range s.log.Segments() {
		if i.Segment < then.Segment && i.Segment != s.log.Active() {
			if err := s.log.Remove(i.Segment); err != nil {
				return err
			}
		}
	}
	return nil
}

// close ends the use of the spool; remove deletes it, as all of it is sent.
func (s *spool) close(remove bool) error {
	err := s.log.Close()
	if remove {
		err = errors.Join(err, os.RemoveAll(s.dir))
	}
	return errors.Join(err, s.lock.Close())
}
