package artefactapi

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/replica"
	"fawncove/internal/protocost"
)

// What the instances of a set ask of each other.

func (s *Server) setRecords(w http.ResponseWriter, r *http.Request, _ keys.Grant) error {
	recs, err := readBatch(w, r)
	if err != nil {
		return err
	}
	if err := s.opt.Archive.Add(r.Context(), recs...); err != nil {
		return err
	}
	return answer(w, Stored{1})
}

func (s *Server) setDigests(w http.ResponseWriter, _ *http.Request, _ keys.Grant) error {
	d := s.opt.Archive.Digests()
	return send(w, packIDs(d[:]))
}

func (s *Server) setIDs(w http.ResponseWriter, r *http.Request, _ keys.Grant) error {
	n, err := strconv.ParseUint(r.URL.Query().Get("range"), 10, 8)
	if err != nil {
		return refuse(http.StatusBadRequest, "range: %w", err)
	}
	list, err := s.opt.Archive.IDs(byte(n))
	if err != nil {
		return err
	}
	return send(w, packIDs(list))
}

func (s *Server) setFetch(w http.ResponseWriter, r *http.Request, _ keys.Grant) error {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		return err
	}
	asked := new(artefactpb.IDs)
	if err := protocost.Unmarshal(body, asked); err != nil {
		return refuse(http.StatusBadRequest, "body: %w", err)
	}
	ids, err := idsOf(asked)
	if err != nil {
		return refuse(http.StatusBadRequest, "%w", err)
	}
	return send(w, &artefactpb.Batch{Records: replica.Collect(s.opt.Archive, ids, fetchMost)})
}

func packIDs(ids []artefact.ID) *artefactpb.IDs {
	m := new(artefactpb.IDs)
	for i := range ids {
		m.Ids = append(m.Ids, ids[i][:])
	}
	return m
}

func idsOf(m *artefactpb.IDs) ([]artefact.ID, error) {
	out := make([]artefact.ID, len(m.GetIds()))
	for i, id := range m.GetIds() {
		if len(id) != len(out[i]) {
			return nil, fmt.Errorf("%w: id of %d bytes", artefact.ErrInvalid, len(id))
		}
		copy(out[i][:], id)
	}
	return out, nil
}

func send(w http.ResponseWriter, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/x-protobuf")
	_, _ = w.Write(raw) // whoever asked may be gone
	return nil
}
