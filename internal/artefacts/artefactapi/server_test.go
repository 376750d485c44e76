package artefactapi

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/replica"
	"fawncove/internal/testkit/faultfs"
)

// FuzzUpload hands anything to the way in for records: it is answered with one
// of the statuses that the page names, and only what is whole is stored.
func FuzzUpload(f *testing.F) {
	log := slog.New(slog.DiscardHandler)
	arch, err := archive.Open(archive.Options{FS: faultfs.New(1), Index: filepath.Join(f.TempDir(), "index"), Log: log})
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { arch.Close() })
	set, err := replica.New(replica.Options{Local: arch, Copies: 1, Patience: time.Minute, Log: log})
	if err != nil {
		f.Fatal(err)
	}
	ring, err := keys.Open(filepath.Join(f.TempDir(), "keys.toml"))
	if err != nil {
		f.Fatal(err)
	}
	srv := New(Options{Archive: arch, Set: set, Keys: ring, Quiet: time.Minute, Log: log})
	token, err := ring.Sign(keys.Grant{Right: keys.Write, Team: "red", Job: "j", Task: 1, Attempt: 1, Expiry: time.Now().Add(24 * time.Hour)})
	if err != nil {
		f.Fatal(err)
	}
	codec, err := artefact.NewCodec()
	if err != nil {
		f.Fatal(err)
	}
	b, err := codec.Pack([]byte("hello"))
	if err != nil {
		f.Fatal(err)
	}
	k := &artefactpb.Key{Job: "j", Task: 1, Attempt: 1, Writer: "w"}
	for _, recs := range [][]*artefactpb.Record{
		{{Body: &artefactpb.Record_Block{Block: b}}, {Body: &artefactpb.Record_Chunk{Chunk: &artefactpb.Chunk{Key: k, Block: b.Hash}}}},
		{{Body: &artefactpb.Record_File{File: &artefactpb.File{Key: k, Path: "a/b", Blocks: [][]byte{b.Hash}}}}},
		{{Body: &artefactpb.Record_Open{Open: &artefactpb.Open{Key: k, Team: "red"}}}, {Body: &artefactpb.Record_Seal{Seal: &artefactpb.Seal{Key: k}}}},
	} {
		raw, err := proto.Marshal(&artefactpb.Batch{Records: recs})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
		f.Add(raw[:len(raw)/2])
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		req := httptest.NewRequest(http.MethodPost, "/v1/records", bytes.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		srv.ServeHTTP(w, req)
		switch w.Code {
		case 200, 400, 403, 409, 413:
		default:
			t.Fatalf("status %d: %s", w.Code, w.Body)
		}
		if err := arch.Attempts(nil, func(a *artefactpb.Attempt) bool {
			if x := a.GetKey(); x.GetJob() != "j" || x.GetTask() != 1 || x.GetAttempt() != 1 {
				t.Errorf("stored under %v", x)
			}
			return true
		}); err != nil {
			t.Fatal(err)
		}
	})
}
