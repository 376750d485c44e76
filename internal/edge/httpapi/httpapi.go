// Package httpapi serves users, workers and health checks over HTTP: it decodes requests,
// limits the time that they take, and translates replies into statuses. It decides nothing.
package httpapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// Backend is the node that answers requests.
type Backend interface {
	Ask(ctx context.Context, event func(req uint64) eventloop.Event) (eventloop.Reply, error)
	Healthy() bool
}

// How long a request may take. Workers drop an answer after 4 s, users after 5 s, or after
// 2 s that to a query. A client that is told in time that there is none comes back on a
// connection that is still good.
const (
	requestTimeout = 3500 * time.Millisecond
	queryTimeout   = 1850 * time.Millisecond
)

// server answers requests.
type server struct {
	backend Backend
	bodies  *membudget.Bodies
}

// New returns the handler for client_listen. Bodies of requests take their memory from bodies.
func New(b Backend, bodies *membudget.Bodies) http.Handler {
	s := &server{b, bodies}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if !b.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/jobs", s.submit)
	mux.HandleFunc("GET /v1/jobs/{id}", s.query)
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", s.cancel)
	mux.HandleFunc("POST /checkin", s.checkIn)
	return mux
}

// submit answers a submission.
func (s *server) submit(w http.ResponseWriter, r *http.Request) {
	s.withBody(w, r, func(ctx context.Context, body []byte) {
		job, err := wire.ParseJob(body)
		s.serve(ctx, w, func(req uint64) eventloop.Event { return eventloop.SubmitRequest{Req: req, Job: job, Err: err} })
	})
}

// query answers a question for a job's state.
func (s *server) query(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), queryTimeout)
	defer cancel()
	id := r.PathValue("id")
	s.serve(ctx, w, func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: id} })
}

// cancel answers a cancellation, whose body says nothing.
func (s *server) cancel(w http.ResponseWriter, r *http.Request) {
	s.withBody(w, r, func(ctx context.Context, _ []byte) {
		id := r.PathValue("id")
		s.serve(ctx, w, func(req uint64) eventloop.Event { return eventloop.CancelRequest{Req: req, ID: id} })
	})
}

// checkIn answers a worker's heartbeat.
func (s *server) checkIn(w http.ResponseWriter, r *http.Request) {
	s.withBody(w, r, func(ctx context.Context, body []byte) {
		var heartbeat wire.Heartbeat
		if err := wire.Decode(body, &heartbeat); err != nil {
			writeReply(w, invalid("malformed report"))
			return
		}
		s.serve(ctx, w, func(req uint64) eventloop.Event {
			return eventloop.HeartbeatRequest{Req: req, Heartbeat: heartbeat}
		})
	})
}

// withBody reads the body of a request and has it answered, within the time and the memory
// that requests may take.
func (s *server) withBody(w http.ResponseWriter, r *http.Request, answer func(ctx context.Context, body []byte)) {
	body, release, ok := s.readBody(w, r)
	if !ok {
		return
	}
	defer release()
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	free, err := s.bodies.ToDecode(ctx, body)
	if err != nil {
		writeReply(w, unavailable())
		return
	}
	defer free()
	answer(ctx, body)
}

// readBody returns the body of a request, and what frees the memory that it takes. If it is
// too large or cut short, or there is no memory for it, it writes the refusal and reports
// false.
func (s *server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), ok bool) {
	limited := http.MaxBytesReader(w, r.Body, wire.MaxBody)
	body, release, err := s.bodies.Read(r.Context(), limited, r.ContentLength, wire.MaxBody)
	switch {
	case err == nil:
		return body, release, true
	case errors.Is(err, membudget.ErrNoRoom):
		writeReply(w, unavailable())
	default:
		// Too large counts as malformed: on any other status users would try again.
		writeReply(w, invalid("body too large or cut short"))
	}
	return nil, nil, false
}

// invalid is the reply to a malformed request.
func invalid(why string) eventloop.Reply {
	return eventloop.Reply{Code: eventloop.ReplyInvalid, Body: wire.ErrorAnswer{Error: why}}
}

// unavailable is the reply to a request that is to be sent again.
func unavailable() eventloop.Reply {
	return eventloop.Reply{Code: eventloop.ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1}
}

// serve passes a request to the core and writes its reply, or that there is none before ctx
// ends.
func (s *server) serve(ctx context.Context, w http.ResponseWriter, event func(req uint64) eventloop.Event) {
	reply, err := s.backend.Ask(ctx, event)
	// The right to give this answer is checked when it is written, not when it was
	// decided: a busy machine may delay the one after the other.
	if err != nil || (!reply.Until.IsZero() && !time.Now().Before(reply.Until)) {
		reply = unavailable()
	}
	writeReply(w, reply)
}

// writeReply writes a reply with its status and headers.
func writeReply(w http.ResponseWriter, reply eventloop.Reply) {
	body, err := wire.Encode(reply.Body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", wire.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if reply.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(reply.RetryAfter))
	}
	w.WriteHeader(statusOf(reply.Code))
	// A client that is gone reads no answer; there is nothing to do about that.
	_, _ = w.Write(body)
}

// statusOf returns the HTTP status for a kind of reply.
func statusOf(code eventloop.ReplyCode) int {
	switch code {
	case eventloop.ReplyOK:
		return http.StatusOK
	case eventloop.ReplyCreated:
		return http.StatusCreated
	case eventloop.ReplyInvalid:
		return http.StatusBadRequest
	case eventloop.ReplyNotFound:
		return http.StatusNotFound
	case eventloop.ReplyMisdirected:
		return http.StatusMisdirectedRequest
	case eventloop.ReplyUnprocessable:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}
