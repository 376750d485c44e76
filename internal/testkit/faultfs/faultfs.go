// Package faultfs is a disk in memory for tests, which fails at will: writes
// tear, syncs fail, space runs out, bits flip, and a crash loses or tears what
// was not synced. The same seed fails in the same way as long as its calls
// come in the same order.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"fawncove/internal/artefacts/segment"
)

// ErrIO is what a call that fails by itself returns.
var ErrIO = errors.New("faultfs: input/output error")

// FS is a directory on such a disk.
type FS struct {
	mu    sync.Mutex
	rng   *rand.Rand
	files map[string]*content
	epoch int // counts the crashes; files opened before one are dead

	// Room is how many bytes the disk takes; 0 means any number.
	Room int64
	// WriteFails and SyncFails are the chances, in percent, that a write tears
	// or a sync fails. What such a sync should have stored may be lost.
	WriteFails, SyncFails int
}

type content struct {
	data   []byte
	synced int  // how much of data a crash leaves
	named  bool // whether the directory was synced since it was created
}

// New returns an empty disk whose failures follow from seed.
func New(seed uint64) *FS {
	return &FS{rng: rand.New(rand.NewPCG(seed, 11)), files: map[string]*content{}}
}

// Crash loses what was not synced: names that the directory does not have on
// disk, and the ends of files, of which a part may have got there.
func (f *FS) Crash() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	for _, name := range f.names() {
		c := f.files[name]
		if !c.named && f.rng.IntN(2) == 0 {
			delete(f.files, name)
			continue
		}
		c.named = true
		if loose := len(c.data) - c.synced; loose > 0 {
			kept := f.rng.IntN(loose + 1)
			c.data = c.data[:c.synced+kept]
			// Sectors get there in any order.
			if kept > 0 && f.rng.IntN(2) == 0 {
				c.data[c.synced+f.rng.IntN(kept)] ^= 0x5a
			}
		}
		c.synced = len(c.data)
	}
}

// Flip flips a bit somewhere in a file and returns where; ok is false when
// there is none.
func (f *FS) Flip() (name string, at int, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := 0
	for _, name := range f.names() {
		size += len(f.files[name].data)
	}
	if size == 0 {
		return "", 0, false
	}
	at = f.rng.IntN(size)
	for _, name := range f.names() {
		c := f.files[name]
		if at < len(c.data) {
			c.data[at] ^= 1 << f.rng.IntN(8)
			return name, at, true
		}
		at -= len(c.data)
	}
	return "", 0, false
}

// names are in order, so that a seed always means the same.
func (f *FS) names() []string { return slices.Sorted(maps.Keys(f.files)) }

func (f *FS) used() int64 {
	n := int64(0)
	for _, c := range f.files {
		n += int64(len(c.data))
	}
	return n
}

// List returns the files with their sizes.
func (f *FS) List() (map[string]int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]int64{}
	for name, c := range f.files {
		out[name] = int64(len(c.data))
	}
	return out, nil
}

// Create makes a new file.
func (f *FS) Create(name string) (segment.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] != nil {
		return nil, fmt.Errorf("faultfs: %s: %w", name, fs.ErrExist)
	}
	if f.Room > 0 && f.used() >= f.Room {
		return nil, syscall.ENOSPC
	}
	c := &content{}
	f.files[name] = c
	return &file{fs: f, c: c, epoch: f.epoch}, nil
}

// Open opens a file for reading.
func (f *FS) Open(name string) (segment.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.files[name]
	if c == nil {
		return nil, fmt.Errorf("faultfs: %s: %w", name, fs.ErrNotExist)
	}
	return &file{fs: f, c: c, epoch: f.epoch}, nil
}

// Remove deletes a file.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return nil
}

// Sync makes sure of the names.
func (f *FS) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rng.IntN(100) < f.SyncFails {
		return ErrIO
	}
	for _, c := range f.files {
		c.named = true
	}
	return nil
}

type file struct {
	fs    *FS
	c     *content
	epoch int
}

func (f *file) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return 0, ErrIO
	}
	n, err := len(b), error(nil)
	if f.fs.Room > 0 && f.fs.used()+int64(n) > f.fs.Room {
		n, err = int(max(0, f.fs.Room-f.fs.used())), syscall.ENOSPC
	} else if f.fs.rng.IntN(100) < f.fs.WriteFails {
		n, err = f.fs.rng.IntN(n+1), ErrIO
	}
	f.c.data = append(f.c.data, b[:n]...)
	return n, err
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if at >= int64(len(f.c.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.c.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.epoch != f.fs.epoch {
		return ErrIO
	}
	if f.fs.rng.IntN(100) < f.fs.SyncFails {
		// The pages count as clean now though they never got there: a later
		// sync would say that all is well.
		if loose := len(f.c.data) - f.c.synced; loose > 0 {
			f.c.data[f.c.synced+f.fs.rng.IntN(loose)] ^= 0x5a
		}
		return ErrIO
	}
	f.c.synced = len(f.c.data)
	return nil
}

func (f *file) Close() error { return nil }
