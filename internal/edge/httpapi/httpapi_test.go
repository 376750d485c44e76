package httpapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// backend replies with what a test sets.
type backend struct {
	reply   eventloop.Reply
	healthy bool
	got     eventloop.Event
}

func (b *backend) Ask(_ context.Context, event func(uint64) eventloop.Event) (eventloop.Reply, error) {
	b.got = event(1)
	return b.reply, nil
}

func (b *backend) Healthy() bool { return b.healthy }

func call(t *testing.T, c *http.Client, method, url string, body []byte) (int, []byte, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, out, resp.Header
}

// TestRoutes speaks to the handler over a loopback socket.
func TestRoutes(t *testing.T) {
	b := &backend{reply: eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.JobAnswer{ID: "wk-000001", State: wire.Pending}}}
	s := httptest.NewServer(New(b))
	defer s.Close()
	for _, c := range []struct {
		method, path string
		size, want   int
	}{
		{"GET", "/healthz", 0, 503},
		{"GET", "/v1/jobs/wk-000001", 0, 200},
		{"POST", "/v1/jobs/wk-000001/cancel", 0, 200},
		{"POST", "/v1/jobs", 10, 200}, // the core decides
		{"POST", "/v1/jobs", wire.MaxBody + 1, 400},
		{"POST", "/checkin", 10, 400},
		{"DELETE", "/v1/jobs/wk-000001", 0, 405},
		{"PUT", "/checkin", 0, 405},
		{"GET", "/v2/jobs", 0, 404},
		{"GET", "/v1/jobs/wk-000001", 0, 200}, // the connection is still sane
	} {
		if got, _, _ := call(t, s.Client(), c.method, s.URL+c.path, make([]byte, c.size)); got != c.want {
			t.Errorf("%s %s (%d bytes): %d, want %d", c.method, c.path, c.size, got, c.want)
		}
	}
	b.healthy = true
	if got, _, _ := call(t, s.Client(), "GET", s.URL+"/healthz", nil); got != 200 {
		t.Errorf("healthz: %d", got)
	}
}

// TestLateAnswer expects 503 for an answer whose right has ended before it
// could be written.
func TestLateAnswer(t *testing.T) {
	b := &backend{reply: eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.HeartbeatAnswer{Token: 5}, Until: time.Now().Add(-time.Millisecond)}}
	s := httptest.NewServer(New(b))
	defer s.Close()
	body, err := wire.Encode(wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	status, _, h := call(t, s.Client(), "POST", s.URL+"/checkin", body)
	if status != 503 || h.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", status, h.Get("Retry-After"))
	}
	if r, ok := b.got.(eventloop.HeartbeatRequest); !ok || r.Heartbeat.Machine != "host-000001" {
		t.Errorf("the core got %+v", b.got)
	}
	b.reply.Until = time.Now().Add(time.Hour)
	status, out, _ := call(t, s.Client(), "POST", s.URL+"/checkin", body)
	var a wire.HeartbeatAnswer
	if err := wire.Decode(out, &a); status != 200 || err != nil || a.Token != 5 {
		t.Errorf("status %d, answer %+v, %v", status, a, err)
	}
}

// silent answers nobody.
type silent struct{ within time.Duration }

func (b *silent) Ask(ctx context.Context, _ func(uint64) eventloop.Event) (eventloop.Reply, error) {
	end, _ := ctx.Deadline()
	b.within = time.Until(end)
	return eventloop.Reply{}, context.DeadlineExceeded
}

func (b *silent) Healthy() bool { return true }

// TestNoAnswerIsToldInTime: who waits 2 s for the answer to a poll, 4 s for that to a
// report and 5 s for others is told before that that there is none.
func TestNoAnswerIsToldInTime(t *testing.T) {
	for path, waits := range map[string]time.Duration{"GET /v1/jobs/wk-000001": 2 * time.Second, "POST /v1/jobs/wk-000001/cancel": 5 * time.Second,
		"POST /v1/jobs": 5 * time.Second, "POST /checkin": 4 * time.Second} {
		b := &silent{}
		method, path, _ := strings.Cut(path, " ")
		body, err := wire.Encode(map[string]string{})
		if err != nil {
			t.Fatal(err)
		}
		w := httptest.NewRecorder()
		New(b).ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewReader(body)))
		if w.Code != 503 || w.Header().Get("Retry-After") == "" || b.within > waits-150*time.Millisecond || b.within < waits/2 {
			t.Errorf("%s: %d, Retry-After %q, the core has %v", path, w.Code, w.Header().Get("Retry-After"), b.within)
		}
	}
}
