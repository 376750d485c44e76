package artefactapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
)

// What attempts left as files.

// File is a file as it is listed.
type File struct {
	Job     string    `json:"job"`
	Task    uint32    `json:"task"`
	Attempt uint64    `json:"attempt"`
	Writer  string    `json:"writer"`
	Path    string    `json:"path"`
	Size    uint64    `json:"size"`
	At      time.Time `json:"at"`
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, g keys.Grant) error {
	sc, err := scopeOf(r)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	return s.attempts(sc, g, func(a *artefactpb.Attempt, _ artefact.Label) error {
		files, err := s.opt.Archive.Files(a.GetKey())
		if err != nil {
			return err
		}
		for _, f := range files {
			k := f.GetKey()
			if err := enc.Encode(File{k.GetJob(), k.GetTask(), k.GetAttempt(), k.GetWriter(), f.GetPath(), f.GetSize(), time.Unix(0, f.GetAtNs()).UTC()}); err != nil {
				return err
			}
		}
		return nil
	})
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, g keys.Grant) error {
	sc, err := scopeOf(r)
	if err != nil {
		return err
	}
	path, writer := r.URL.Query().Get("path"), r.URL.Query().Get("writer")
	var found *artefactpb.File
	err = s.attempts(sc, g, func(a *artefactpb.Attempt, _ artefact.Label) error {
		if writer != "" && a.GetKey().GetWriter() != writer {
			return nil
		}
		files, err := s.opt.Archive.Files(a.GetKey())
		for _, f := range files {
			if f.GetPath() == path {
				found = f // the last attempt's, unless one was asked for
			}
		}
		return err
	})
	if err != nil {
		return err
	}
	if found == nil {
		return refuse(http.StatusNotFound, "no file %q there", path)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatUint(found.GetSize(), 10))
	for i, h := range found.GetBlocks() {
		data, err := s.opt.Archive.Block(artefact.Hash(h))
		if err != nil && i == 0 {
			return err
		}
		if err != nil {
			s.opt.Log.Error("file cannot be read", "file", path, "of", artefact.Name(found.GetKey()), "err", err)
			panic(http.ErrAbortHandler) // the length tells that it is not whole
		}
		if _, err := w.Write(data); err != nil {
			return nil // whoever asked is gone
		}
	}
	return nil
}
