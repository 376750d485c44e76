// Package artefactapi is the artefact store's interface: HTTP with protobuf
// bodies for records, and JSON for people and tools. It checks who may do what,
// bounds what comes in, and leaves the keeping to packages replica and archive.
package artefactapi

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/replica"
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

func answer(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
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
