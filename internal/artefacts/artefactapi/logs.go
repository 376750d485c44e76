package artefactapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"fawncove/internal/artefacts/archive"
	"fawncove/internal/artefacts/artefact"
	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/artefacts/keys"
	"fawncove/internal/artefacts/segment"
)

// What attempts printed.

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
