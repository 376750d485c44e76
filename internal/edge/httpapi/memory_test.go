package httpapi

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// slowBackend keeps each request until ctx ends, and counts how many it has at once.
type slowBackend struct{ now, most atomic.Int64 }

func (b *slowBackend) Ask(ctx context.Context, _ func(uint64) eventloop.Event) (eventloop.Reply, error) {
	now := b.now.Add(1)
	defer b.now.Add(-1)
	for most := b.most.Load(); now > most && !b.most.CompareAndSwap(most, now); most = b.most.Load() {
	}
	<-ctx.Done()
	return eventloop.Reply{}, ctx.Err()
}

func (b *slowBackend) Healthy() bool { return true }

// TestBodiesAtOnceStayWithinMemory guards against bodies that are each within the limit and
// together take all memory: the surplus gets 503, and there is room again afterwards.
func TestBodiesAtOnceStayWithinMemory(t *testing.T) {
	const senders, memory = 40, 8 << 20
	tasks := make([]wire.TaskStatus, 1000)
	for i := range tasks {
		tasks[i] = wire.TaskStatus{Task: "wk-000001/1", State: wire.TaskRunning}
	}
	body, err := wire.Encode(wire.Heartbeat{Machine: "host-000001", Tasks: tasks})
	if err != nil || len(body) > wire.MaxBody {
		t.Fatalf("body of %d bytes, %v", len(body), err)
	}
	cost, err := wire.Cost(body)
	if err != nil {
		t.Fatal(err)
	}
	b := &slowBackend{}
	bodies := membudget.NewBodies(memory)
	handler := New(b, bodies)
	var senderGroup sync.WaitGroup
	for range senders {
		senderGroup.Go(func() {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/checkin", bytes.NewReader(body)))
			if w.Code != 503 || w.Header().Get("Retry-After") == "" {
				t.Errorf("status %d, Retry-After %q, want 503 and a Retry-After", w.Code, w.Header().Get("Retry-After"))
			}
		})
	}
	senderGroup.Wait()
	if most := int64(memory / 2 / cost); b.most.Load() > most || b.most.Load() == 0 {
		t.Errorf("%d bodies of %d bytes at once, which take %d bytes each of %d; want 1 to %d", b.most.Load(), len(body), cost, memory/2, most)
	}
	if bodies.Refused() == 0 {
		t.Error("no body counts as refused")
	}
	answering := New(&fakeBackend{reply: eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.HeartbeatAnswer{}}}, bodies)
	w := httptest.NewRecorder()
	answering.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/checkin", bytes.NewReader(body)))
	if w.Code != 200 {
		t.Errorf("afterwards: status %d, want 200", w.Code)
	}
}

// TestMalformedSubmissionIsAnswered guards against a submission that ends the process that
// reads it, as five bytes did that announce a list of 2^32-1 elements.
func TestMalformedSubmissionIsAnswered(t *testing.T) {
	s := httptest.NewServer(New(rejectingBackend{}, membudget.NewBodies(8<<20)))
	t.Cleanup(s.Close)
	for _, body := range []string{"\xdd\xff\xff\xff\xff", strings.Repeat("\xdd\xff\xff\xff\xff", 12_000), "\xdf\xff\xff\xff\xff",
		"\x81\xa6kalupi\xdd\xff\xff\xff\xff", strings.Repeat("\x91", wire.MaxBody)} {
		for _, path := range []string{"/v1/jobs", "/checkin"} {
			if got, _, _ := call(t, s.Client(), "POST", s.URL+path, []byte(body)); got != 400 {
				t.Errorf("%s with %.10x: status %d, want 400", path, body, got)
			}
		}
	}
}

// rejectingBackend answers as the core does to a submission that is malformed.
type rejectingBackend struct{}

func (rejectingBackend) Ask(_ context.Context, event func(uint64) eventloop.Event) (eventloop.Reply, error) {
	if submit, ok := event(1).(eventloop.SubmitRequest); ok && submit.Err != nil {
		return invalid("malformed"), nil
	}
	return eventloop.Reply{Code: eventloop.ReplyOK, Body: wire.ErrorAnswer{}}, nil
}

func (rejectingBackend) Healthy() bool { return true }
