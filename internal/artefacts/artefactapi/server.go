// Package artefactapi is the artefact store's interface: HTTP with protobuf
// bodies for records, and JSON for people and tools. It checks who may do what,
// bounds what comes in, and leaves the keeping to packages replica and archive.
package artefactapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/replica"
	"fawncove/internal/artefacts/segment"
	"fawncove/internal/protocost"
)

const (
	// BatchMost is the largest body of records, in bytes.
	BatchMost = 8 << 20
	// fetchMost is about how much another instance is sent at once, in bytes.
	fetchMost = 4 << 20
	// followEvery is how often a log that is followed is looked at.
	followEvery = 300 * time.Millisecond
)

// Options are what a server works with.
type Options struct {
	Archive *archive.Archive
	Set     *replica.Set
	Keys    *keys.Ring
	Quiet   time.Duration // after which an attempt without an end counts as cut off
	Log     *slog.Logger
	Metrics *Metrics
}

// Server serves the interface of one instance.
type Server struct {
	opt Options
	mux *http.ServeMux
}

// New returns a server.
func New(opt Options) *Server {
	s := &Server{opt: opt, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/records", s.needs(s.addRecords, keys.Write))
	s.mux.HandleFunc("GET /v1/attempts", s.needs(s.listAttempts, keys.Read, keys.Operate))
	s.mux.HandleFunc("GET /v1/logs", s.needs(s.readLogs, keys.Read, keys.Operate))
	s.mux.HandleFunc("GET /v1/files", s.needs(s.listFiles, keys.Read, keys.Operate))
	s.mux.HandleFunc("GET /v1/file", s.needs(s.getFile, keys.Read, keys.Operate))
	s.mux.HandleFunc("POST /v1/prune", s.needs(s.prune, keys.Operate))
	s.mux.HandleFunc("POST /v1/verify", s.needs(s.verify, keys.Operate))
	s.mux.HandleFunc("POST /v1/set/records", s.needs(s.setRecords, keys.Member))
	s.mux.HandleFunc("GET /v1/set/digests", s.needs(s.setDigests, keys.Member))
	s.mux.HandleFunc("GET /v1/set/ids", s.needs(s.setIDs, keys.Member))
	s.mux.HandleFunc("POST /v1/set/fetch", s.needs(s.setFetch, keys.Member))
	s.mux.HandleFunc("GET /v1/health", s.health)
	if opt.Metrics != nil {
		s.mux.Handle("GET /metrics", opt.Metrics.Handler())
	}
	return s
}

// ServeHTTP answers a request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

type handler func(w http.ResponseWriter, r *http.Request, g keys.Grant) error

// Problem is what a refused request is told.
type Problem struct {
	Error string `json:"error"`
	Code  string `json:"code,omitempty"` // of what is wrong with records
}

// codes are the errors that other instances and writers have to tell apart.
var codes = []struct {
	code string
	err  error
}{
	{"conflict", archive.ErrConflict},
	{"pruned", archive.ErrPruned},
	{"missing", archive.ErrMissing},
	{"too_large", artefact.ErrTooLarge},
	{"invalid", artefact.ErrInvalid},
	{"full", syscall.ENOSPC},
}

func codeOf(err error) string {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return ""
}

// statusError is an error with the status that it is answered with.
type statusError struct {
	status int
	err    error
}

func (e *statusError) Error() string { return e.err.Error() }
func (e *statusError) Unwrap() error { return e.err }

func refuse(status int, format string, args ...any) error {
	return &statusError{status, fmt.Errorf(format, args...)}
}

// statusOf tells how an error is answered.
func statusOf(err error) int {
	var s *statusError
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &s):
		return s.status
	case errors.Is(err, artefact.ErrTooLarge), errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, artefact.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, archive.ErrConflict), errors.Is(err, archive.ErrPruned), errors.Is(err, archive.ErrMissing):
		return http.StatusConflict
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		return http.StatusInsufficientStorage
	}
	return http.StatusServiceUnavailable
}

// needs wraps a handler so that only bearers of one of these rights get there.
func (s *Server) needs(h handler, rights ...keys.Right) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		g, err := s.opt.Keys.Check(token, time.Now())
		if err != nil {
			s.fail(w, r, refuse(http.StatusUnauthorized, "%w", err))
			return
		}
		for _, right := range rights {
			if g.Right == right {
				if err := h(w, r, g); err != nil {
					s.fail(w, r, err)
				}
				return
			}
		}
		s.fail(w, r, refuse(http.StatusForbidden, "this token may %s", g.Right))
	}
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, err error) {
	status := statusOf(err)
	if s.opt.Metrics != nil {
		s.opt.Metrics.refused.WithLabelValues(strconv.Itoa(status)).Inc()
	}
	if status >= 500 {
		s.opt.Log.Warn("request failed", "path", r.URL.Path, "status", status, "err", err)
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{err.Error(), codeOf(err)}) // whoever asked may be gone
}

func answer(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

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

// Line is a line of output, or, with State set, what is to be said of the
// attempt whose lines came before it.
type Line struct {
	Task    uint32           `json:"task"`
	Attempt uint64           `json:"attempt"`
	Writer  string           `json:"writer"`
	At      time.Time        `json:"at,omitzero"`
	Stream  string           `json:"stream,omitempty"`
	Text    string           `json:"text,omitempty"`
	State   artefact.State   `json:"state,omitempty"`
	Later   bool             `json:"superseded,omitempty"`
	Counted artefact.Counted `json:"counted,omitempty"`
	Bytes   uint64           `json:"bytes,omitempty"`
	Lost    string           `json:"lost,omitempty"` // what of it cannot be read, and why
}

var streams = map[uint32]string{1: "out", 2: "err", 3: "note"}

// reading is one request for logs.
type reading struct {
	srv    *Server
	enc    *json.Encoder
	since  time.Time
	grep   *regexp.Regexp
	tail   int
	follow bool
}

func (s *Server) readLogs(w http.ResponseWriter, r *http.Request, g keys.Grant) error {
	sc, err := scopeOf(r)
	if err != nil {
		return err
	}
	q := r.URL.Query()
	rd := &reading{srv: s, enc: json.NewEncoder(w), follow: q.Get("follow") != ""}
	if t := q.Get("since"); t != "" {
		if rd.since, err = time.Parse(time.RFC3339Nano, t); err != nil {
			return refuse(http.StatusBadRequest, "since: %w", err)
		}
	}
	if p := q.Get("grep"); p != "" {
		if rd.grep, err = regexp.Compile(p); err != nil {
			return refuse(http.StatusBadRequest, "grep: %w", err)
		}
	}
	if t := q.Get("tail"); t != "" {
		if rd.tail, err = strconv.Atoi(t); err != nil || rd.tail < 0 {
			return refuse(http.StatusBadRequest, "tail: %q is no number", t)
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	next := map[string]uint64{}
	parts := map[string]*artefact.Lines{}
	for first := true; ; first = false {
		open := false
		err := s.attempts(sc, g, func(a *artefactpb.Attempt, l artefact.Label) error {
			raw := string(artefact.Bytes(a.GetKey()))
			if parts[raw] == nil {
				parts[raw] = new(artefact.Lines)
			}
			open = open || l.State == artefact.StateOpen
			from, err := rd.attempt(r.Context(), a, next[raw], parts[raw], first)
			next[raw] = from
			if err != nil {
				return err
			}
			if l.State == artefact.StateOpen && rd.follow {
				return nil
			}
			return rd.end(a, l, parts[raw])
		})
		if err != nil || !rd.follow || !open {
			return err
		}
		if err := flush.Flush(); err != nil {
			return nil // whoever asked is gone
		}
		select {
		case <-r.Context().Done():
			return nil
		case <-time.After(followEvery):
		}
	}
}

// attempt sends an attempt's lines from a chunk on, and returns where to go on.
func (rd *reading) attempt(ctx context.Context, a *artefactpb.Attempt, from uint64, lines *artefact.Lines, first bool) (uint64, error) {
	arch := rd.srv.opt.Archive
	if rd.tail > 0 && first {
		last, err := arch.LastChunks(a.GetKey(), rd.tail+1)
		if err != nil {
			return from, err
		}
		var all []Line
		for _, c := range last {
			from = c.GetSeq() + 1
			err := rd.chunk(a, c, lines, func(l Line) error {
				if all = append(all, l); len(all) > rd.tail {
					all = all[1:]
				}
				return nil
			})
			if err != nil {
				return from, err
			}
		}
		for _, l := range all {
			if err := rd.enc.Encode(l); err != nil {
				return from, err
			}
		}
		return from, nil
	}
	for {
		chunks, err := arch.Chunks(a.GetKey(), from, 64)
		if err != nil || len(chunks) == 0 {
			return from, err
		}
		for _, c := range chunks {
			if err := ctx.Err(); err != nil {
				return from, err
			}
			if rd.follow && c.GetSeq() != from {
				return from, nil // one in between is still on its way
			}
			from = c.GetSeq() + 1
			if time.Unix(0, c.GetLastNs()).Before(rd.since) {
				continue
			}
			if err := rd.chunk(a, c, lines, func(l Line) error { return rd.enc.Encode(l) }); err != nil {
				return from, err
			}
		}
	}
}

// chunk sends the lines that a chunk ends.
func (rd *reading) chunk(a *artefactpb.Attempt, c *artefactpb.Chunk, lines *artefact.Lines, send func(Line) error) error {
	out, err := rd.srv.opt.Archive.Output(c)
	if errors.Is(err, archive.ErrMissing) || errors.Is(err, segment.ErrDamaged) || errors.Is(err, artefact.ErrInvalid) {
		k := a.GetKey()
		return send(Line{Task: k.GetTask(), Attempt: k.GetAttempt(), Writer: k.GetWriter(),
			Lost: fmt.Sprintf("%d bytes from byte %d on: %v", c.GetBytes(), c.GetOffset(), err)})
	}
	if err != nil {
		return err
	}
	for _, p := range out.GetPieces() {
		lines.Add(p, func(l artefact.Line) {
			if err == nil {
				err = rd.line(a, l, send)
			}
		})
	}
	return err
}

func (rd *reading) line(a *artefactpb.Attempt, l artefact.Line, send func(Line) error) error {
	if l.At.Before(rd.since) || (rd.grep != nil && !rd.grep.Match(l.Text)) {
		return nil
	}
	k := a.GetKey()
	return send(Line{Task: k.GetTask(), Attempt: k.GetAttempt(), Writer: k.GetWriter(), At: l.At, Stream: streams[l.Stream], Text: string(l.Text)})
}

// end sends what is left of an attempt's last line, and its label.
func (rd *reading) end(a *artefactpb.Attempt, l artefact.Label, lines *artefact.Lines) error {
	var err error
	lines.End(func(line artefact.Line) {
		if err == nil {
			err = rd.line(a, line, func(l Line) error { return rd.enc.Encode(l) })
		}
	})
	if err != nil {
		return err
	}
	k := a.GetKey()
	return rd.enc.Encode(Line{Task: k.GetTask(), Attempt: k.GetAttempt(), Writer: k.GetWriter(),
		State: l.State, Later: l.Superseded, Counted: l.Counted, Bytes: a.GetBytes()})
}

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

// Health is what an instance says of itself.
type Health struct {
	Records int               `json:"records"`
	Down    map[string]string `json:"down,omitempty"` // instances that do not answer
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	h := Health{Records: s.opt.Archive.Records(), Down: map[string]string{}}
	for name, err := range s.opt.Set.Down() {
		h.Down[name] = err.Error()
	}
	_ = answer(w, h) // whoever asked may be gone
}
