package artefactapi

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
)

// Rule says what is to go. A rule applies to attempts of its team and outcome,
// or of all when these are empty; those older than its age go, and then the
// oldest until no more bytes than its bound are left.
type Rule struct {
	Job     string        `json:"job,omitempty" toml:"job"`
	Team    string        `json:"team,omitempty" toml:"team"`
	Outcome string        `json:"outcome,omitempty" toml:"outcome"` // done, failed, cut off; open ones never go
	Age     time.Duration `json:"age,omitempty" toml:"age"`
	Bytes   uint64        `json:"bytes,omitempty" toml:"bytes"`
}

// Pruned is an attempt that went, or would go.
type Pruned struct {
	Attempt
	Why string `json:"why"`
}

// outcome is how an attempt ended, in the words of a rule.
func outcome(a *artefactpb.Attempt, l artefact.Label) string {
	switch {
	case l.State == artefact.StateCutOff:
		return "cut off"
	case l.State == artefact.StateOpen:
		return "open"
	case a.GetSeal().GetExit() == 0 && a.GetSeal().GetSignal() == "":
		return "done"
	}
	return "failed"
}

// Choose lists the attempts that a rule lets go, oldest first.
func (s *Server) Choose(rule Rule, now time.Time) ([]Pruned, error) {
	type candidate struct {
		a *artefactpb.Attempt
		l artefact.Label
	}
	var all []candidate
	var prefix []byte
	if rule.Job != "" {
		prefix = artefact.JobPrefix(rule.Job)
	}
	err := s.labelled(prefix, artefact.Final{}, now, func(a *artefactpb.Attempt, l artefact.Label) error {
		if o := outcome(a, l); o != "open" && (rule.Outcome == "" || rule.Outcome == o) &&
			(rule.Team == "" || rule.Team == a.GetOpen().GetTeam()) {
			all = append(all, candidate{a, l})
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.a.GetLastNs(), b.a.GetLastNs()) })
	left := uint64(0)
	for _, c := range all {
		left += c.a.GetBytes() + c.a.GetFileBytes()
	}
	var out []Pruned
	for _, c := range all {
		why := ""
		switch {
		case rule.Age > 0 && now.Sub(time.Unix(0, c.a.GetLastNs())) > rule.Age:
			why = "age"
		case rule.Bytes > 0 && left > rule.Bytes:
			why = "size"
		default:
			continue
		}
		left -= c.a.GetBytes() + c.a.GetFileBytes()
		out = append(out, Pruned{listed(c.a, c.l), why})
	}
	return out, nil
}

// Prune lets attempts go, on all instances, and gives their room back here.
func (s *Server) Prune(ctx context.Context, list []Pruned) (int, error) {
	for n, p := range list {
		key := &artefactpb.Key{Job: p.Job, Task: p.Task, Attempt: p.Attempt.Attempt, Writer: p.Writer}
		rec := artefact.RecordOf(&artefactpb.Prune{Key: key, Why: p.Why, AtNs: time.Now().UnixNano()})
		if _, err := s.opt.Set.Add(ctx, rec); err != nil {
			return n, err
		}
	}
	done, err := s.opt.Archive.Compact(ctx)
	if err != nil {
		return len(list), err
	}
	s.opt.Log.Info("pruned", "attempts", len(list), "blocks", done.Blocks, "segments", done.Segments, "bytes", done.Bytes)
	return len(list), nil
}

// PruneRequest asks for a rule to be carried out, or only for what it would do.
type PruneRequest struct {
	Rule
	DryRun bool `json:"dry_run"`
}

func (s *Server) prune(w http.ResponseWriter, r *http.Request, _ keys.Grant) error {
	var req PruneRequest
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return refuse(http.StatusBadRequest, "body: %w", err)
	}
	if req.Age <= 0 && req.Bytes == 0 {
		return refuse(http.StatusBadRequest, "age or bytes is needed")
	}
	list, err := s.Choose(req.Rule, time.Now())
	if err != nil {
		return err
	}
	if !req.DryRun {
		if _, err := s.Prune(r.Context(), list); err != nil {
			return err
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for _, p := range list {
		if err := enc.Encode(p); err != nil {
			return nil // whoever asked is gone
		}
	}
	return nil
}

// Verified is what a verification found.
type Verified struct {
	Records  int      `json:"records"`
	Repaired int      `json:"repaired"`
	Lost     []string `json:"lost"` // blocks that no instance has whole
}

func (s *Server) verify(w http.ResponseWriter, r *http.Request, _ keys.Grant) error {
	found, err := s.opt.Set.Repair(r.Context())
	if err != nil {
		return err
	}
	out := Verified{Records: found.Records, Repaired: found.Repaired, Lost: []string{}}
	for _, id := range found.Missing {
		out.Lost = append(out.Lost, formatID(id))
	}
	return answer(w, out)
}
