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

// Lists of attempts.

// Attempt is an attempt as it is listed.
type Attempt struct {
	Job     string           `json:"job"`
	Task    uint32           `json:"task"`
	Attempt uint64           `json:"attempt"`
	Writer  string           `json:"writer"`
	Team    string           `json:"team,omitempty"`
	Machine string           `json:"machine,omitempty"`
	State   artefact.State   `json:"state"`
	Later   bool             `json:"superseded"`
	Counted artefact.Counted `json:"counted"`
	Bytes   uint64           `json:"bytes"`
	Chunks  uint64           `json:"chunks"`
	Files   uint32           `json:"files"`
	Begun   time.Time        `json:"begun,omitzero"`
	Last    time.Time        `json:"last,omitzero"`
	Ended   *Ended           `json:"ended,omitempty"`
}

// Ended is how an attempt ended.
type Ended struct {
	Exit    int32   `json:"exit"`
	Signal  string  `json:"signal,omitempty"`
	UserS   float64 `json:"user_s"`
	SystemS float64 `json:"system_s"`
	Memory  uint64  `json:"memory"`
	Skipped uint64  `json:"skipped,omitempty"`
	Bytes   uint64  `json:"bytes"`
}

func listed(a *artefactpb.Attempt, l artefact.Label) Attempt {
	k, o := a.GetKey(), a.GetOpen()
	out := Attempt{Job: k.GetJob(), Task: k.GetTask(), Attempt: k.GetAttempt(), Writer: k.GetWriter(), Team: o.GetTeam(), Machine: o.GetMachine(),
		State: l.State, Later: l.Superseded, Counted: l.Counted, Bytes: a.GetBytes(), Chunks: a.GetChunks(), Files: a.GetFiles(),
		Last: time.Unix(0, a.GetLastNs()).UTC()}
	if o != nil {
		out.Begun = time.Unix(0, o.GetAtNs()).UTC()
	}
	if x := a.GetSeal(); x != nil {
		out.Ended = &Ended{Exit: x.GetExit(), Signal: x.GetSignal(), UserS: x.GetUserS(), SystemS: x.GetSystemS(), Memory: x.GetMemory(), Skipped: x.GetSkipped(), Bytes: x.GetBytes()}
	}
	return out
}

// scope is what a request asks for: a job, or a task of it, or one attempt.
type scope struct {
	job     string
	task    *uint32
	attempt uint64
	final   artefact.Final
}

func scopeOf(r *http.Request) (scope, error) {
	q := r.URL.Query()
	s := scope{job: q.Get("job")}
	if s.job == "" {
		return s, refuse(http.StatusBadRequest, "job is needed")
	}
	if t := q.Get("task"); t != "" {
		n, err := strconv.ParseUint(t, 10, 32)
		if err != nil {
			return s, refuse(http.StatusBadRequest, "task: %q is no number", t)
		}
		task := uint32(n)
		s.task = &task
	}
	if a := q.Get("attempt"); a != "" {
		n, err := strconv.ParseUint(a, 10, 64)
		if err != nil {
			return s, refuse(http.StatusBadRequest, "attempt: %q is no number", a)
		}
		s.attempt = n
	}
	if f := q.Get("final"); f != "" {
		s.final = artefact.Final{Known: true, State: f}
	}
	return s, nil
}

func (s scope) prefix() []byte {
	if s.task != nil {
		return artefact.TaskPrefix(s.job, *s.task)
	}
	return artefact.JobPrefix(s.job)
}

// attempts calls f for the attempts in scope that the grant lets be read, with
// their labels.
func (s *Server) attempts(sc scope, g keys.Grant, f func(*artefactpb.Attempt, artefact.Label) error) error {
	return s.labelled(sc.prefix(), sc.final, time.Now(), func(a *artefactpb.Attempt, l artefact.Label) error {
		if sc.attempt != 0 && a.GetKey().GetAttempt() != sc.attempt {
			return nil
		}
		// Until its beginning has come an attempt is nobody's.
		if g.Right != keys.Operate && a.GetOpen().GetTeam() != g.Team {
			return nil
		}
		return f(a, l)
	})
}

// labelled calls f for the attempts whose key begins with prefix, with their
// labels, which take all attempts at a task to tell. It does so after reading
// the index, which f does not hold up.
func (s *Server) labelled(prefix []byte, final artefact.Final, now time.Time, f func(*artefactpb.Attempt, artefact.Label) error) error {
	var all []*artefactpb.Attempt
	if err := s.opt.Archive.Attempts(prefix, func(a *artefactpb.Attempt) bool {
		all = append(all, a)
		return true
	}); err != nil {
		return err
	}
	for len(all) > 0 {
		k, n := all[0].GetKey(), 1
		for n < len(all) && all[n].GetKey().GetJob() == k.GetJob() && all[n].GetKey().GetTask() == k.GetTask() {
			n++
		}
		for i, l := range artefact.Labels(all[:n], final, now, s.opt.Quiet) {
			if err := f(all[i], l); err != nil {
				return err
			}
		}
		all = all[n:]
	}
	return nil
}

func (s *Server) listAttempts(w http.ResponseWriter, r *http.Request, g keys.Grant) error {
	sc, err := scopeOf(r)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	return s.attempts(sc, g, func(a *artefactpb.Attempt, l artefact.Label) error { return enc.Encode(listed(a, l)) })
}
