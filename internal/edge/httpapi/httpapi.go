// Package httpapi serves users, workers and health checks over HTTP: it decodes requests,
// limits the time that they take, and translates replies into statuses. It decides nothing.
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

// New returns the handler for client_listen.
func New(b Backend) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, r *http.Request) {
		if !b.Healthy() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v1/jobs", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		job, err := wire.ParseJob(body)
		serve(w, r, b, requestTimeout, func(req uint64) eventloop.Event { return eventloop.SubmitRequest{Req: req, Job: job, Err: err} })
	})
	mux.HandleFunc("GET /v1/jobs/{id}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		serve(w, r, b, queryTimeout, func(req uint64) eventloop.Event { return eventloop.QueryRequest{Req: req, ID: id} })
	})
	mux.HandleFunc("POST /v1/jobs/{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		if _, ok := readBody(w, r); !ok {
			return
		}
		id := r.PathValue("id")
		serve(w, r, b, requestTimeout, func(req uint64) eventloop.Event { return eventloop.CancelRequest{Req: req, ID: id} })
	})
	mux.HandleFunc("POST /checkin", func(w http.ResponseWriter, r *http.Request) {
		body, ok := readBody(w, r)
		if !ok {
			return
		}
		var rep wire.Heartbeat
		if err := wire.Decode(body, &rep); err != nil {
			writeReply(w, eventloop.Reply{Code: eventloop.ReplyInvalid, Body: wire.ErrorAnswer{Error: "malformed report"}})
			return
		}
		serve(w, r, b, requestTimeout, func(req uint64) eventloop.Event { return eventloop.HeartbeatRequest{Req: req, Heartbeat: rep} })
	})
	return mux
}

// readBody returns the body of a request. If it is too large or cut short it writes the
// refusal and reports false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err == nil {
		return body, true
	}
	// Too large counts as malformed: on any other status users would try again.
	writeReply(w, eventloop.Reply{Code: eventloop.ReplyInvalid, Body: wire.ErrorAnswer{Error: "body too large or cut short"}})
	return nil, false
}

// serve passes a request to the core and writes its reply, or that there is none within
// the given time.
func serve(w http.ResponseWriter, r *http.Request, b Backend, within time.Duration, event func(req uint64) eventloop.Event) {
	ctx, cancel := context.WithTimeout(r.Context(), within)
	defer cancel()
	reply, err := b.Ask(ctx, event)
	// The right to give this answer is checked when it is written, not when it was
	// decided: a busy machine may delay the one after the other.
	if err != nil || (!reply.Until.IsZero() && !time.Now().Before(reply.Until)) {
		reply = eventloop.Reply{Code: eventloop.ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1}
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
