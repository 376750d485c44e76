// Package s3fs is a directory of segments kept by a service that speaks the S3
// object protocol. Objects cannot be appended to, so a file is a row of objects,
// one for each sync:
//
//	PREFIX NAME/00000000, NAME/00000001, ...
//
// What is written waits in memory until Sync stores it, whole or not at all. A
// put without an answer may have been stored: the log takes that for a failed
// sync, notes where the file counts until, and goes on in another.
package s3fs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"

	"fawncove/internal/artefacts/segment"
)

// patience bounds one request to the service.
const patience = 30 * time.Second

// Options say where the service is.
type Options struct {
	Endpoint  string // host and port
	Secure    bool   // TLS
	Region    string
	Bucket    string
	Prefix    string // of all objects
	AccessKey string
	SecretKey string
}

// FS is such a directory.
type FS struct {
	c              *minio.Client
	bucket, prefix string
}

// New returns the directory. It does not speak to the service yet.
func New(opt Options) (*FS, error) {
	c, err := minio.New(opt.Endpoint, &minio.Options{Secure: opt.Secure, Region: opt.Region,
		MaxRetries: 1, // the log tries again, in a new file
		Creds:      credentials.NewStaticV4(opt.AccessKey, opt.SecretKey, "")})
	if err != nil {
		return nil, fmt.Errorf("s3fs: %w", err)
	}
	return &FS{c: c, bucket: opt.Bucket, prefix: opt.Prefix}, nil
}

func bounded() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), patience)
}

// part is one object of a file.
type part struct {
	key  string
	from int64 // in the file
	size int64
}

// parts lists the objects whose names begin with name.
func (f *FS) parts(name string) ([]part, error) {
	ctx, cancel := bounded()
	defer cancel()
	var out []part
	for o := range f.c.ListObjects(ctx, f.bucket, minio.ListObjectsOptions{Prefix: f.prefix + name, Recursive: true}) {
		if o.Err != nil {
			return nil, fmt.Errorf("s3fs: list: %w", o.Err)
		}
		out = append(out, part{key: o.Key, size: o.Size})
	}
	slices.SortFunc(out, func(a, b part) int { return strings.Compare(a.key, b.key) })
	return out, nil
}

// List returns the files with their sizes.
func (f *FS) List() (map[string]int64, error) {
	parts, err := f.parts("")
	if err != nil {
		return nil, err
	}
	out := map[string]int64{}
	for _, p := range parts {
		if name, _, ok := strings.Cut(p.key[len(f.prefix):], "/"); ok {
			out[name] += p.size
		}
	}
	return out, nil
}

// Create makes a new file. It is there once something of it is synced.
func (f *FS) Create(name string) (segment.File, error) {
	parts, err := f.parts(name + "/")
	if err != nil {
		return nil, err
	}
	if len(parts) > 0 {
		return nil, fmt.Errorf("s3fs: %s: %w", name, fs.ErrExist)
	}
	return &file{fs: f, name: name}, nil
}

// Open opens a file for reading.
func (f *FS) Open(name string) (segment.File, error) {
	r := &file{fs: f, name: name}
	if err := r.look(); err != nil {
		return nil, err
	}
	if len(r.parts) == 0 {
		return nil, fmt.Errorf("s3fs: %s: %w", name, fs.ErrNotExist)
	}
	return r, nil
}

// Remove deletes a file. One of which a part could not be deleted is deleted
// from its end, so that what is left is still its beginning.
func (f *FS) Remove(name string) error {
	parts, err := f.parts(name + "/")
	if err != nil {
		return err
	}
	for _, p := range slices.Backward(parts) {
		ctx, cancel := bounded()
		err := f.c.RemoveObject(ctx, f.bucket, p.key, minio.RemoveObjectOptions{})
		cancel()
		if err != nil {
			return fmt.Errorf("s3fs: remove: %w", err)
		}
	}
	return nil
}

// Sync does nothing: names are with their objects.
func (f *FS) Sync() error { return nil }

type file struct {
	fs   *FS
	name string

	mu    sync.Mutex // guards what follows
	wait  []byte     // written, not synced
	next  int        // number of the next object
	parts []part     // as last looked up
	size  int64
}

func (f *file) Write(b []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wait = append(f.wait, b...)
	return len(b), nil
}

// Sync stores what has been written since the last one.
func (f *file) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.wait) == 0 {
		return nil
	}
	ctx, cancel := bounded()
	defer cancel()
	key := fmt.Sprintf("%s%s/%08d", f.fs.prefix, f.name, f.next)
	_, err := f.fs.c.PutObject(ctx, f.fs.bucket, key, bytes.NewReader(f.wait), int64(len(f.wait)), minio.PutObjectOptions{DisableMultipart: true})
	if err != nil {
		return fmt.Errorf("s3fs: put: %w", err)
	}
	f.next++
	f.wait = nil
	return nil
}

// look looks up what there is of the file. With mu held, or before it is shared.
func (f *file) look() error {
	parts, err := f.fs.parts(f.name + "/")
	if err != nil {
		return err
	}
	f.parts, f.size = parts, 0
	for i := range f.parts {
		f.parts[i].from = f.size
		f.size += f.parts[i].size
	}
	return nil
}

func (f *file) ReadAt(b []byte, at int64) (int, error) {
	f.mu.Lock()
	if at+int64(len(b)) > f.size {
		// It may have grown since.
		if err := f.look(); err != nil {
			f.mu.Unlock()
			return 0, err
		}
	}
	parts := f.parts
	f.mu.Unlock()
	n := 0
	for _, p := range parts {
		pos := at + int64(n)
		if n == len(b) || pos >= p.from+p.size || pos < p.from {
			continue
		}
		want := int(min(int64(len(b)-n), p.from+p.size-pos))
		got, err := f.get(p, pos-p.from, b[n:n+want])
		n += got
		if err != nil {
			return n, err
		}
	}
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *file) get(p part, from int64, b []byte) (n int, err error) {
	ctx, cancel := bounded()
	defer cancel()
	opt := minio.GetObjectOptions{}
	if err := opt.SetRange(from, from+int64(len(b))-1); err != nil {
		return 0, fmt.Errorf("s3fs: get: %w", err)
	}
	o, err := f.fs.c.GetObject(ctx, f.fs.bucket, p.key, opt)
	if err != nil {
		return 0, fmt.Errorf("s3fs: get: %w", err)
	}
	n, err = io.ReadFull(o, b)
	if err := errors.Join(err, o.Close()); err != nil {
		return n, fmt.Errorf("s3fs: get: %w", err)
	}
	return n, nil
}

// Close forgets what was not synced.
func (f *file) Close() error { return nil }
