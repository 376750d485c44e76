package artefactapi

import (
	"errors"
	"io"
	"net/http"
	"time"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/protocost"
)

// What writers send.

func readBatch(w http.ResponseWriter, r *http.Request) ([]*artefactpb.Record, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, BatchMost))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, err
		}
		return nil, refuse(http.StatusBadRequest, "body: %w", err)
	}
	batch := new(artefactpb.Batch)
	if err := protocost.Unmarshal(body, batch); err != nil {
		return nil, refuse(http.StatusBadRequest, "body: %w", err)
	}
	if len(batch.GetRecords()) == 0 {
		return nil, refuse(http.StatusBadRequest, "no records")
	}
	return batch.GetRecords(), nil
}

// Stored answers a request with records: how many instances have them.
type Stored struct {
	Copies int `json:"copies"`
}

// addRecords takes records from a writer, all of the attempt that its token is
// for.
func (s *Server) addRecords(w http.ResponseWriter, r *http.Request, g keys.Grant) error {
	recs, err := readBatch(w, r)
	if err != nil {
		return err
	}
	for _, rec := range recs {
		if rec.GetPrune() != nil {
			return refuse(http.StatusForbidden, "a writer may not prune")
		}
		k := artefact.KeyOf(rec)
		if k != nil && (k.GetJob() != g.Job || k.GetTask() != g.Task || k.GetAttempt() != g.Attempt) {
			return refuse(http.StatusForbidden, "this token is for %s/%d attempt %d", g.Job, g.Task, g.Attempt)
		}
		if o := rec.GetOpen(); o != nil && o.GetTeam() != g.Team {
			return refuse(http.StatusForbidden, "this token is for team %s", g.Team)
		}
	}
	begun := time.Now()
	copies, err := s.opt.Set.Add(r.Context(), recs...)
	if err != nil {
		return err
	}
	if s.opt.Metrics != nil {
		s.opt.Metrics.added(recs, time.Since(begun))
	}
	return answer(w, Stored{copies})
}
