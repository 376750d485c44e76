package s3fs

import (
	"bufio"
	"bytes"
	"context"
	"encoding/xml"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"fawncove/internal/artefacts/segment"
)

// service is a stand-in that speaks the part of the S3 object protocol that the
// package uses: put, ranged get, list and delete. It refuses requests without a
// signature, and can fail puts before or after storing them.
type service struct {
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string][]byte
	fails   int // percent of puts
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !strings.HasPrefix(r.Header.Get("Authorization"), "AWS4-HMAC-SHA256 ") {
		http.Error(w, "unsigned", http.StatusForbidden)
		return
	}
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case bucket != "logs":
		http.Error(w, "no such bucket", http.StatusNotFound)
	case r.Method == http.MethodPut:
		body, err := content(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fail := s.rng.IntN(100) < s.fails
		if !fail || s.rng.IntN(2) == 0 {
			s.objects[key] = body
		}
		if fail {
			http.Error(w, "not now", http.StatusForbidden) // the client would try a 503 again
			return
		}
		w.Header().Set("ETag", `"x"`)
	case r.Method == http.MethodDelete:
		delete(s.objects, key)
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Query().Get("list-type") == "2":
		s.list(w, r.URL.Query().Get("prefix"))
	default:
		body, ok := s.objects[key]
		if !ok {
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		w.Header().Set("ETag", `"x"`)
		w.Header().Set("Last-Modified", "Sun, 01 Mar 2026 06:00:00 GMT")
		var from, to int
		if _, err := fmt.Sscanf(r.Header.Get("Range"), "bytes=%d-%d", &from, &to); err == nil {
			to = min(to, len(body)-1)
			w.Header().Set("Content-Range", fmt.Sprintf("bytes %d-%d/%d", from, to, len(body)))
			w.Header().Set("Content-Length", strconv.Itoa(to-from+1))
			w.WriteHeader(http.StatusPartialContent)
			_, _ = w.Write(body[from : to+1])
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// content reads a body, which may come in signed chunks.
func content(r *http.Request) ([]byte, error) {
	if !strings.HasPrefix(r.Header.Get("X-Amz-Content-Sha256"), "STREAMING-") {
		return io.ReadAll(r.Body)
	}
	br := bufio.NewReader(r.Body)
	var out []byte
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		n, err := strconv.ParseInt(size, 16, 64)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return out, nil
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(br, chunk); err != nil {
			return nil, err
		}
		out = append(out, chunk[:n]...)
	}
}

func (s *service) list(w http.ResponseWriter, prefix string) {
	type object struct {
		Key          string
		Size         int
		LastModified string
		ETag         string
	}
	var out struct {
		XMLName  xml.Name `xml:"ListBucketResult"`
		Name     string
		Contents []object
	}
	out.Name = "logs"
	for k, v := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out.Contents = append(out.Contents, object{k, len(v), "2026-03-01T06:00:00Z", `"x"`})
		}
	}
	slices.SortFunc(out.Contents, func(a, b object) int { return strings.Compare(a.Key, b.Key) })
	w.Header().Set("Content-Type", "application/xml")
	_ = xml.NewEncoder(w).Encode(out)
}

// TestSegmentsInObjects keeps a log with a service whose puts fail, half of them
// after storing the object. Every acknowledged record is there, in a log that is
// opened anew as well, and what failed never turns up among them.
func TestSegmentsInObjects(t *testing.T) {
	for seed := range uint64(3) {
		svc := &service{rng: rand.New(rand.NewPCG(seed, 9)), objects: map[string][]byte{}}
		srv := httptest.NewServer(svc)
		dir, err := New(Options{Endpoint: strings.TrimPrefix(srv.URL, "http://"), Region: "us-east-1", Bucket: "logs", Prefix: "a/", AccessKey: "key", SecretKey: "secret"})
		if err != nil {
			t.Fatal(err)
		}
		acked := map[segment.Position][]byte{}
		for life := range 3 {
			l, err := segment.Open(segment.Options{FS: dir, SegmentBytes: 5000})
			if err != nil {
				t.Fatal(err)
			}
			svc.mu.Lock()
			svc.fails = 20
			svc.mu.Unlock()
			for i := range 30 {
				rec := bytes.Repeat([]byte{byte(i)}, 10+i*20)
				at, err := l.Append(context.Background(), rec, []byte(fmt.Sprint(life, i)))
				if err == nil {
					acked[at[0]], acked[at[1]] = rec, []byte(fmt.Sprint(life, i))
				}
			}
			svc.mu.Lock()
			svc.fails = 0
			svc.mu.Unlock()
			if _, err := l.Append(context.Background(), []byte("last")); err != nil {
				t.Fatal(err)
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			l, err = segment.Open(segment.Options{FS: dir})
			if err != nil {
				t.Fatal(err)
			}
			seen, others := 0, 0
			if _, err := l.Replay(segment.Position{}, func(at segment.Position, rec []byte) error {
				if want, ok := acked[at]; ok && bytes.Equal(rec, want) {
					seen++
				} else if string(rec) != "last" {
					others++
				}
				return nil
			}); err != nil {
				t.Fatal(err)
			}
			if seen != len(acked) || others > 0 {
				t.Errorf("seed %d, life %d: %d of %d acknowledged records, and %d others", seed, life, seen, len(acked), others)
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
		}
		if len(acked) == 0 {
			t.Errorf("seed %d: nothing was stored", seed)
		}
		srv.Close()
	}
}
