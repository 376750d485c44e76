// Package httpapi serves users, workers and health checks over HTTP.
package httpapi

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Backend answers requests.
type Backend interface {
	Ask(ctx context.Context, event func(req uint64) eventloop.Event) (eventloop.Reply, error)
	Healthy() bool
}

// How long a request may take: workers drop an answer after 4 s, users after 5 s, and
// after 2 s that to a poll. Who is told in time that there is none comes back on a
// connection that is still good.
const (
	answerWithin = 3500 * time.Millisecond
	pollWithin   = 1850 * time.Millisecond
)

// New returns the handler for client_listen.
func New(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if !b.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		body, ok := read(w, r)
		if !ok {
			return
		}
		job, err := wire.ParseJob(body)
		serve(w, r, b, answerWithin, func(req uint64) eventloop.Event { return eventloop.SubmitRequest{Req: req, Job: job, Err: err} })
	})
	mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		serve(w, r, b, pollWithin, func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: id} })
	})
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if _, ok := read(w, r); !ok {
			return
		}
		id := r.PathValue("id")
		serve(w, r, b, answerWithin, func(req uint64) eventloop.Event { return eventloop.CancelRequest{Req: req, ID: id} })
	})
	mux.HandleFunc("POST /checkin", func(w http.ResponseWriter, r *http.Request) {
		body, ok := read(w, r)
		if !ok {
			return
		}
		var rep wire.Heartbeat
		if err := wire.Decode(body, &rep); err != nil {
			write(w, eventloop.Reply{Code: eventloop.ReplyInvalid, Body: wire.ErrorAnswer{Error: "malformed report"}})
			return
		}
		serve(w, r, b, answerWithin, func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: rep} })
	})
	return mux
}

// read reads a body within the limit.
func read(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err == nil {
		return body, true
	}
	// Too large is malformed as well: on any other status users would try again.
	write(w, eventloop.Reply{Code: eventloop.ReplyInvalid, Body: wire.ErrorAnswer{Error: "body too large or cut short"}})
	return nil, false
}

// serve passes a request to the core and writes its reply, or that there is none
// within the time given.
func serve(w http.ResponseWriter, r *http.Request, b Backend, within time.Duration, event func(req uint64) eventloop.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), within)
	defer cancel()
	reply, err := b.Ask(ctx, event)
	// The right to give this answer is checked when it is written, not when
	// it was decided: a busy machine may have been in between.
	if err != nil || (!reply.Until.IsZero() && !time.Now().Before(reply.Until)) {
		reply = eventloop.Reply{Code: eventloop.ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1}
	}
	write(w, reply)
}

func write(w http.ResponseWriter, reply eventloop.Reply) {
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
	// A client that is gone reads no answer; there is nobody to tell.
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
