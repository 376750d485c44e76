package keys

import (
	"encoding/base64"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var now = time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)

func secret(b byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(b), 32)))
}

// TestRotation lets keys overlap: tokens of the old key are good until that key
// ends, new ones are signed by the new key, and a file that cannot be read
// changes nothing.
func TestRotation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.toml")
	write := func(age time.Duration, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, now.Add(age), now.Add(age)); err != nil {
			t.Fatal(err)
		}
	}
	write(0, fmt.Sprintf("[[keys]]\nid = 'a'\nsecret = '%s'\n", secret('1')))
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	g := Grant{Right: Write, Team: "red", Job: "wk-1", Task: 3, Attempt: 7, Expiry: now.Add(time.Hour)}
	old, err := r.Sign(g)
	if err != nil {
		t.Fatal(err)
	}
	write(time.Minute, fmt.Sprintf("[[keys]]\nid = 'b'\nsecret = '%s'\n[[keys]]\nid = 'a'\nsecret = '%s'\nnot_after = 2026-03-01T06:30:00Z\n", secret('2'), secret('1')))
	if err := r.Reload(); err != nil {
		t.Fatal(err)
	}
	fresh, err := r.Sign(g)
	if err != nil {
		t.Fatal(err)
	}
	write(2*time.Minute, "[[keys]]\nid = 'c'\nsecret = 'short'\n")
	if err := r.Reload(); err == nil {
		t.Error("a bad file is taken")
	}
	for _, c := range []struct {
		name  string
		token string
		at    time.Duration
		want  error
	}{
		{"old key in its time", old, 29 * time.Minute, nil},
		{"old key past its end", old, 31 * time.Minute, ErrExpired},
		{"new key", fresh, 59 * time.Minute, nil},
		{"past its own end", fresh, time.Hour, ErrExpired},
		{"no MAC", strings.Split(fresh, ".")[0], 0, ErrInvalid},
		{"another's MAC", strings.Split(fresh, ".")[0] + "." + strings.Split(old, ".")[1], 0, ErrInvalid},
		{"empty", "", 0, ErrInvalid},
		{"too long", strings.Repeat("x", TokenMost+1), 0, ErrInvalid},
	} {
		got, err := r.Check(c.token, now.Add(c.at))
		if !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
		if err == nil && (got.Job != "wk-1" || got.Task != 3 || got.Attempt != 7 || got.Right != Write) {
			t.Errorf("%s: grants %+v", c.name, got)
		}
	}
}

// FuzzCheck lets the parser of tokens loose on anything: only what was signed
// is ever accepted.
func FuzzCheck(f *testing.F) {
	r, err := Open(filepath.Join(f.TempDir(), "keys.toml"))
	if err != nil {
		f.Fatal(err)
	}
	token, err := r.Sign(Grant{Right: Read, Team: "red", Expiry: now.Add(time.Hour)})
	if err != nil {
		f.Fatal(err)
	}
	body, sum, _ := strings.Cut(token, ".")
	f.Add(body, "")
	f.Add("e30", "AAAA")
	f.Add("", sum)
	f.Fuzz(func(t *testing.T, a, b string) {
		if g, err := r.Check(a+"."+b, now); err == nil && a+"."+b != token {
			t.Errorf("accepted %q.%q as %+v", a, b, g)
		}
	})
}
