// Package keys makes and checks the tokens by which writers, readers and other
// instances of the artefact store prove what they may do. A token names its
// rights and when they end, and carries a MAC of that under a key that the
// instances share; nothing is stored of it.
//
// Keys rotate with overlap: the first key of the file signs, all of them are
// accepted until their own end. The file is read again when it changes.
package keys

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
)

// Errors of Check.
var (
	// ErrInvalid says that a token is not one of ours.
	ErrInvalid = errors.New("keys: invalid token")
	// ErrExpired says that its time, or that of its key, is over.
	ErrExpired = errors.New("keys: token expired")
)

// secretLeast is the shortest secret that is accepted, in bytes.
const secretLeast = 16

// TokenMost bounds the length of a token.
const TokenMost = 2048

// Right is what a token lets its bearer do.
type Right string

// The rights.
const (
	Write   Right = "write"   // write for one attempt
	Read    Right = "read"    // read what a team's jobs left
	Operate Right = "operate" // read everything, prune, scrub
	Member  Right = "member"  // be another instance
)

// Grant is what a token says.
type Grant struct {
	Right   Right     `json:"r"`
	Team    string    `json:"t,omitempty"`
	Job     string    `json:"j,omitempty"`
	Task    uint32    `json:"k,omitempty"`
	Attempt uint64    `json:"a,omitempty"`
	Expiry  time.Time `json:"e"`
	Key     string    `json:"i"` // id of the key; set by Sign
}

type key struct {
	ID       string    `toml:"id"`
	Secret   string    `toml:"secret"` // base64
	NotAfter time.Time `toml:"not_after"`
	raw      []byte
}

// Ring is the keys of a file. It may be used by any number of goroutines.
type Ring struct {
	path string
	mu   sync.Mutex
	keys []key
	read time.Time // modification time of what was read
}

// Open reads a file of keys. A missing one is made, with one key.
func Open(path string) (*Ring, error) {
	r := &Ring{path: path}
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		if err := create(path); err != nil {
			return nil, err
		}
	}
	if err := r.Reload(); err != nil {
		return nil, err
	}
	return r, nil
}

func create(path string) error {
	var secret [32]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	text := fmt.Sprintf("# Keys of the artefact store. The first signs, all are accepted.\n[[keys]]\nid = %q\nsecret = %q\n",
		time.Now().UTC().Format("20060102-150405"), base64.StdEncoding.EncodeToString(secret[:]))
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	_, err = f.WriteString(text)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

// Reload reads the file again if it has changed. Keys that cannot be read leave
// those in use as they are.
func (r *Ring) Reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, err := os.Stat(r.path)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if info.ModTime().Equal(r.read) {
		return nil
	}
	var file struct {
		Keys []key `toml:"keys"`
	}
	if _, err := toml.DecodeFile(r.path, &file); err != nil {
		return fmt.Errorf("keys: %s: %w", r.path, err)
	}
	if len(file.Keys) == 0 {
		return fmt.Errorf("keys: %s: no keys", r.path)
	}
	seen := map[string]bool{}
	for i := range file.Keys {
		k := &file.Keys[i]
		if k.raw, err = base64.StdEncoding.DecodeString(k.Secret); err != nil || len(k.raw) < secretLeast || k.ID == "" || seen[k.ID] {
			return fmt.Errorf("keys: %s: key %d needs an id of its own and a base64 secret of at least %d bytes", r.path, i+1, secretLeast)
		}
		seen[k.ID] = true
	}
	r.keys, r.read = file.Keys, info.ModTime()
	return nil
}

func mac(secret []byte, body string) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(body))
	return h.Sum(nil)
}

// Sign makes a token of a grant.
func (r *Ring) Sign(g Grant) (string, error) {
	r.mu.Lock()
	k := r.keys[0]
	r.mu.Unlock()
	g.Key, g.Expiry = k.ID, g.Expiry.UTC().Truncate(time.Second)
	raw, err := json.Marshal(g)
	if err != nil {
		return "", fmt.Errorf("keys: %w", err)
	}
	body := base64.RawURLEncoding.EncodeToString(raw)
	return body + "." + base64.RawURLEncoding.EncodeToString(mac(k.raw, body)), nil
}

// Check returns what a token grants at a moment. It fails with ErrInvalid or
// ErrExpired.
func (r *Ring) Check(token string, now time.Time) (Grant, error) {
	if len(token) > TokenMost {
		return Grant{}, ErrInvalid
	}
	body, sum, ok := strings.Cut(token, ".")
	raw, err := base64.RawURLEncoding.DecodeString(body)
	got, err2 := base64.RawURLEncoding.DecodeString(sum)
	if !ok || err != nil || err2 != nil {
		return Grant{}, ErrInvalid
	}
	var g Grant
	if err := json.Unmarshal(raw, &g); err != nil {
		return Grant{}, ErrInvalid
	}
	r.mu.Lock()
	keys := r.keys
	r.mu.Unlock()
	for _, k := range keys {
		if k.ID != g.Key {
			continue
		}
		if !hmac.Equal(got, mac(k.raw, body)) {
			return Grant{}, ErrInvalid
		}
		if !now.Before(g.Expiry) || (!k.NotAfter.IsZero() && !now.Before(k.NotAfter)) {
			return Grant{}, ErrExpired
		}
		return g, nil
	}
	return Grant{}, ErrInvalid
}
