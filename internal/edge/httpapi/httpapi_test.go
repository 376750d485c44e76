package httpapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// fakeBackend answers each request with the same reply and keeps the last event.
type fakeBackend struct {
	reply     eventloop.Reply
	healthy   bool
	lastEvent eventloop.Event
}

func (b *fakeBackend) Ask(_ context.Context, event func(uint64) eventloop.Event) (eventloop.Reply, error) {
	b.lastEvent = event(1)
	return b.reply, nil
}

func (b *fakeBackend) Healthy() bool { return b.healthy }

// call sends a request and returns the status, the body and the header of the response.
func call(t *testing.T, client *http.Client, method, url string, body []byte) (int, []byte, http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
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

// TestRoutesAnswerExpectedStatus guards against requests that reach the wrong handler: each
// is sent over a loopback socket and must get its status.
func TestRoutesAnswerExpectedStatus(t *testing.T) {
	b := &fakeBackend{reply: eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.JobAnswer{ID: "wk-000001", State: wire.Pending}}}
	s := httptest.NewServer(New(b, membudget.NewBodies(0)))
	t.Cleanup(s.Close)
	for _, c := range []struct {
		name, method, path string
		size, want         int
	}{
		{"unhealthy", "GET", "/healthz", 0, 503},
		{"get job", "GET", "/v1/jobs/wk-000001", 0, 200},
		{"cancel job", "POST", "/v1/jobs/wk-000001/cancel", 0, 200},
		{"submit job", "POST", "/v1/jobs", 10, 200}, // the core decides
		{"submit job above the size limit", "POST", "/v1/jobs", wire.MaxBody + 1, 400},
		{"malformed heartbeat", "POST", "/checkin", 10, 400},
		{"delete job", "DELETE", "/v1/jobs/wk-000001", 0, 405},
		{"put heartbeat", "PUT", "/checkin", 0, 405},
		{"unknown version", "GET", "/v2/jobs", 0, 404},
		{"get job after refused requests", "GET", "/v1/jobs/wk-000001", 0, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, _, _ := call(t, s.Client(), c.method, s.URL+c.path, make([]byte, c.size)); got != c.want {
				t.Errorf("%s %s (%d bytes): status %d, want %d", c.method, c.path, c.size, got, c.want)
			}
		})
	}
	b.healthy = true
	if got, _, _ := call(t, s.Client(), "GET", s.URL+"/healthz", nil); got != 200 {
		t.Errorf("GET /healthz while healthy: status %d, want 200", got)
	}
}

// TestExpiredAnswerIsNotSent guards against an answer that is sent after its validity has
// ended: the request gets 503 instead.
func TestExpiredAnswerIsNotSent(t *testing.T) {
	b := &fakeBackend{reply: eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.HeartbeatAnswer{Token: 5}, Until: time.Now().Add(-time.Millisecond)}}
	s := httptest.NewServer(New(b, membudget.NewBodies(0)))
	t.Cleanup(s.Close)
	body, err := wire.Encode(wire.Heartbeat{Machine: "host-000001", AgentEpoch: 1, Sequence: 1})
	if err != nil {
		t.Fatal(err)
	}
	status, _, header := call(t, s.Client(), "POST", s.URL+"/checkin", body)
	if status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("expired answer: status %d, Retry-After %q, want 503 and a Retry-After", status, header.Get("Retry-After"))
	}
	if r, ok := b.lastEvent.(eventloop.HeartbeatRequest); !ok || r.Heartbeat.Machine != "host-000001" {
		t.Errorf("event = %+v, want the heartbeat of host-000001", b.lastEvent)
	}
	b.reply.Until = time.Now().Add(time.Hour)
	status, out, _ := call(t, s.Client(), "POST", s.URL+"/checkin", body)
	var answer wire.HeartbeatAnswer
	if err := wire.Decode(out, &answer); status != 200 || err != nil || answer.Token != 5 {
		t.Errorf("valid answer: status %d, answer %+v, %v, want 200 and token 5", status, answer, err)
	}
}

// silentBackend answers no request and keeps the time that the last one had left.
type silentBackend struct{ timeLeft time.Duration }

func (b *silentBackend) Ask(ctx context.Context, _ func(uint64) eventloop.Event) (eventloop.Reply, error) {
	deadline, _ := ctx.Deadline()
	b.timeLeft = time.Until(deadline)
	return eventloop.Reply{}, context.DeadlineExceeded
}

func (b *silentBackend) Healthy() bool { return true }

// TestMissingAnswerIsReportedInTime guards against clients that time out without a response:
// they wait 2 s for a poll, 4 s for a heartbeat and 5 s for other requests, and must get 503
// before that if there is no answer.
func TestMissingAnswerIsReportedInTime(t *testing.T) {
	for _, c := range []struct {
		method, path  string
		clientTimeout time.Duration
	}{
		{"GET", "/v1/jobs/wk-000001", 2 * time.Second},
		{"POST", "/v1/jobs/wk-000001/cancel", 5 * time.Second},
		{"POST", "/v1/jobs", 5 * time.Second},
		{"POST", "/checkin", 4 * time.Second},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			b := &silentBackend{}
			body, err := wire.Encode(map[string]string{})
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			New(b, membudget.NewBodies(0)).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), c.method, c.path, bytes.NewReader(body)))
			if w.Code != 503 || w.Header().Get("Retry-After") == "" || b.timeLeft > c.clientTimeout-150*time.Millisecond || b.timeLeft < c.clientTimeout/2 {
				t.Errorf("status %d, Retry-After %q, time left for the answer %v, want 503, a Retry-After and %v to %v", w.Code, w.Header().Get("Retry-After"), b.timeLeft, c.clientTimeout/2, c.clientTimeout-150*time.Millisecond)
			}
		})
	}
}
