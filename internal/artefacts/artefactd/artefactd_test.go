package artefactd

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/artefacts/keys"
)

// start runs an instance until the test ends, or stop is called.
func start(t *testing.T, cfg *Config) (i *Instance, stop func()) {
	t.Helper()
	i, err := Open(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- i.Serve(ctx) }()
	stopped := false
	stop = func() {
		if !stopped {
			stopped = true
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	}
	t.Cleanup(stop)
	return i, stop
}

func settings(t *testing.T, text string) *Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "a.toml")
	if err := os.WriteFile(path, []byte("listen = '127.0.0.1:0'\n"+text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := Load(path)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func clientOf(t *testing.T, i *Instance, g keys.Grant) *artefactapi.Client {
	t.Helper()
	g.Expiry = time.Now().Add(time.Hour)
	token, err := i.Keys().Sign(g)
	if err != nil {
		t.Fatal(err)
	}
	return artefactapi.NewClient("http://"+i.Addr().String(), func() (string, error) { return token, nil }, http.DefaultClient)
}

var key = &artefactpb.Key{Job: "wk-1", Task: 3, Attempt: 7, Writer: "w"}

func chunk(t *testing.T, k *artefactpb.Key, seq uint64, text string) []*artefactpb.Record {
	t.Helper()
	codec, err := artefact.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	raw, err := proto.Marshal(&artefactpb.Output{Pieces: []*artefactpb.Piece{{AtNs: 1, Stream: 1, Data: []byte(text)}}})
	if err != nil {
		t.Fatal(err)
	}
	b, err := codec.Pack(raw)
	if err != nil {
		t.Fatal(err)
	}
	return []*artefactpb.Record{{Body: &artefactpb.Record_Block{Block: b}},
		{Body: &artefactpb.Record_Chunk{Chunk: &artefactpb.Chunk{Key: k, Seq: seq, Block: b.Hash, Bytes: uint32(len(text)), Lines: 1, LastNs: 1}}}}
}

// TestWhoMayDoWhat: every way in is closed to those without the right, and bad
// input gets a plain answer and stores nothing.
func TestWhoMayDoWhat(t *testing.T) {
	i, _ := start(t, settings(t, ""))
	writer := clientOf(t, i, keys.Grant{Right: keys.Write, Team: "red", Job: "wk-1", Task: 3, Attempt: 7})
	reader := clientOf(t, i, keys.Grant{Right: keys.Read, Team: "red"})
	other := clientOf(t, i, keys.Grant{Right: keys.Read, Team: "blue"})
	operator := clientOf(t, i, keys.Grant{Right: keys.Operate})
	nobody := artefactapi.NewClient("http://"+i.Addr().String(), func() (string, error) { return "e30.AAAA", nil }, http.DefaultClient)
	ctx := context.Background()
	status := func(err error) int {
		var no *artefactapi.RefusedError
		if errors.As(err, &no) {
			return no.Status
		}
		if err != nil {
			return -1
		}
		return 200
	}
	write := func(c *artefactapi.Client, recs ...*artefactpb.Record) int {
		_, err := c.Write(ctx, recs...)
		return status(err)
	}
	read := func(c *artefactapi.Client, path string, q url.Values) (n int, code int) {
		err := artefactapi.Stream(ctx, c, http.MethodGet, path, q, nil, func(map[string]any) error { n++; return nil })
		return n, status(err)
	}
	open := func(team string) *artefactpb.Record {
		return &artefactpb.Record{Body: &artefactpb.Record_Open{Open: &artefactpb.Open{Key: key, Team: team, AtNs: 1}}}
	}
	if got := write(writer, append(chunk(t, key, 0, "hello\n"), open("red"))...); got != 200 {
		t.Fatalf("a good batch gets %d", got)
	}
	elsewhere := &artefactpb.Key{Job: "wk-1", Task: 3, Attempt: 8, Writer: "w"}
	bomb := chunk(t, key, 9, "x")[0]
	bomb.GetBlock().Zstd = append([]byte(nil), bomb.GetBlock().Zstd[:len(bomb.GetBlock().Zstd)-1]...)
	for _, c := range []struct {
		name string
		got  int
		want int
	}{
		{"no token", write(nobody, open("red")), 401},
		{"a reader writes", write(reader, open("red")), 403},
		{"another attempt", write(writer, chunk(t, elsewhere, 0, "x")...), 403},
		{"another team", write(writer, open("blue")), 403},
		{"a writer prunes", write(writer, &artefactpb.Record{Body: &artefactpb.Record_Prune{Prune: &artefactpb.Prune{Key: key}}}), 403},
		{"the same chunk again", write(writer, chunk(t, key, 0, "hello\n")...), 200},
		{"another chunk of that number", write(writer, chunk(t, key, 0, "HELLO\n")...), 409},
		{"a chunk without its block", write(writer, chunk(t, key, 1, "y")[1]), 409},
		{"a damaged block", write(writer, bomb), 400},
		{"a path out of the attempt", write(writer, &artefactpb.Record{Body: &artefactpb.Record_File{File: &artefactpb.File{Key: key, Path: "../../etc/passwd"}}}), 400},
		{"nothing", write(writer), 400},
		{"too much", write(writer, &artefactpb.Record{Body: &artefactpb.Record_Block{Block: &artefactpb.Block{Hash: make([]byte, 32), Zstd: make([]byte, 9<<20)}}}), 413},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
	job := url.Values{"job": {"wk-1"}}
	for _, c := range []struct {
		name       string
		c          *artefactapi.Client
		path       string
		q          url.Values
		lines, get int
	}{
		{"its team", reader, "/v1/logs", job, 2, 200},
		{"another team", other, "/v1/logs", job, 0, 200},
		{"an operator", operator, "/v1/attempts", job, 1, 200},
		{"a writer reads", writer, "/v1/logs", job, 0, 403},
		{"no job", reader, "/v1/logs", nil, 0, 400},
		{"a bad pattern", reader, "/v1/logs", url.Values{"job": {"wk-1"}, "grep": {"("}}, 0, 400},
		{"a prefix of a job's name", reader, "/v1/logs", url.Values{"job": {"wk"}}, 0, 200},
		{"a reader as an instance", reader, "/v1/set/digests", nil, 0, 403},
		{"a file that is not there", reader, "/v1/file", url.Values{"job": {"wk-1"}, "path": {"x"}}, 0, 404},
	} {
		if n, got := read(c.c, c.path, c.q); n != c.lines || got != c.get {
			t.Errorf("%s: %d lines with %d, want %d with %d", c.name, n, got, c.lines, c.get)
		}
	}
	resp, err := http.Post("http://"+i.Addr().String()+"/v1/records", "", bytes.NewReader([]byte("garbage")))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 401 {
		t.Errorf("garbage from nobody gets %d", resp.StatusCode)
	}
}

// TestSetOverSockets runs three instances. What two of them acknowledge while
// the third is away the third has soon after it is back; a pruned attempt goes
// from all; and with two away nothing is acknowledged, but nothing is lost.
func TestSetOverSockets(t *testing.T) {
	var addrs []string
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, l.Addr().String())
		l.Close()
	}
	keyFile := filepath.Join(t.TempDir(), "keys.toml")
	var cfgs []*Config
	for n := range 3 {
		text := fmt.Sprintf("keys = %q\n[set]\nname = 'i%d'\ncopies = 2\nsync_s = 1\npatience_s = 2\n", keyFile, n)
		for p := range 3 {
			if p != n {
				text += fmt.Sprintf("[[set.peers]]\nname = 'i%d'\nurl = 'http://%s'\n", p, addrs[p])
			}
		}
		c := settings(t, text)
		c.Listen, c.Sync = addrs[n], time.Hour
		cfgs = append(cfgs, c)
	}
	a, _ := start(t, cfgs[0])
	_, stopB := start(t, cfgs[1])
	grant := keys.Grant{Right: keys.Write, Team: "red", Job: "wk-1", Task: 3, Attempt: 7}
	ctx := context.Background()
	w := clientOf(t, a, grant)
	for seq := range uint64(20) {
		if copies, err := w.Write(ctx, chunk(t, key, seq, fmt.Sprintf("line %d\n", seq))...); err != nil || copies < 2 {
			t.Fatalf("chunk %d: %d copies, %v", seq, copies, err)
		}
	}
	stopB()
	if _, err := w.Write(ctx, chunk(t, key, 20, "alone\n")...); err == nil {
		t.Error("acknowledged by one of three")
	}
	c, _ := start(t, cfgs[2])
	if _, err := w.Write(ctx, chunk(t, key, 20, "alone\n")...); err != nil {
		t.Errorf("the same again, with another instance there: %v", err)
	}
	same := func(what string, x, y *Instance) {
		t.Helper()
		x.set.Wait()
		y.set.Wait()
		for _, z := range []*Instance{x, y} {
			for name := range z.cfg.Peers {
				if _, err := z.set.CatchUp(ctx, name); err != nil && (name == x.cfg.Name || name == y.cfg.Name) {
					t.Fatalf("%s: %v", what, err)
				}
			}
		}
		if x.arch.Digests() != y.arch.Digests() {
			t.Fatalf("%s: not the same, %d and %d records", what, x.arch.Records(), y.arch.Records())
		}
	}
	same("an instance that was away", a, c)
	b, _ := start(t, cfgs[1])
	same("one that is back", a, b)
	if _, err := a.api.Prune(ctx, []artefactapi.Pruned{{Attempt: artefactapi.Attempt{Job: "wk-1", Task: 3, Attempt: 7, Writer: "w"}, Why: "age"}}); err != nil {
		t.Fatal(err)
	}
	same("after pruning", a, b)
	same("after pruning", a, c)
	for n, i := range []*Instance{a, b, c} {
		if at, err := i.arch.Attempt(key); err != nil || at != nil {
			t.Errorf("i%d still has %v, %v", n, at, err)
		}
	}
	if _, err := w.Write(ctx, chunk(t, key, 21, "late\n")...); !errors.Is(err, archive.ErrPruned) {
		t.Errorf("a late writer of a pruned attempt: %v", err)
	}
}

// TestCertificateIsReloaded changes the certificate of an instance that serves;
// new connections get the new one, and a file that cannot be read changes
// nothing.
func TestCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	write := func(serial int64) {
		t.Helper()
		k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "i"}, NotAfter: time.Now().Add(time.Hour),
			IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true}
		der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &k.PublicKey, k)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := x509.MarshalECPrivateKey(k)
		if err != nil {
			t.Fatal(err)
		}
		for path, b := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "EC PRIVATE KEY", Bytes: raw}} {
			if err := os.WriteFile(path, pem.EncodeToMemory(b), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	write(1)
	c := &certificate{cert: cert, key: keyFile, log: slog.New(slog.DiscardHandler)}
	if err := c.load(); err != nil {
		t.Fatal(err)
	}
	serial := func() int64 {
		t.Helper()
		c.looked = time.Time{}
		got, err := c.get(nil)
		if err != nil {
			t.Fatal(err)
		}
		return got.Leaf.SerialNumber.Int64()
	}
	if got := serial(); got != 1 {
		t.Fatalf("serial %d", got)
	}
	write(2)
	later := time.Now().Add(time.Minute)
	if err := os.Chtimes(cert, later, later); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serial %d after the change, want 2", got)
	}
	if err := os.WriteFile(cert, []byte("garbage"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := serial(); got != 2 {
		t.Errorf("serial %d after a bad file, want 2", got)
	}
}

// TestSettingsAreChecked expects errors that name the field.
func TestSettingsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		"listen = 'here'":     "listen",
		"quiet_s = 0":         "quiet_s",
		"colour = 'red'":      "colour",
		"[set]\ncopies = 2":   "set.copies",
		"[set]\nname = 'A b'": "set.name",
		"[[set.peers]]\nname = 'b'\nurl = 'ftp://x'":         "set.peers",
		"[tls]\ncert = 'c.pem'":                              "tls",
		"[[retention.rules]]\nteam = 'red'":                  "retention.rules 1",
		"[[retention.rules]]\noutcome = 'odd'\nage_days = 1": "outcome",
		"segment_mb = 'many'":                                "segment_mb",
		"listen = ":                                          ":1:",
	} {
		path := filepath.Join(t.TempDir(), "a.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %q named", text, err, want)
		}
	}
	if _, err := Load("../../../deploy/artefacts.toml"); err != nil {
		t.Errorf("the file in deploy: %v", err)
	}
}
