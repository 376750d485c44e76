package statestore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/client"
	"fawncove/internal/wire"
)

// TestCalls speaks to a stand-in over a loopback socket.
func TestCalls(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body any
		switch {
		case r.URL.Path == "/store/a/b":
			body = map[string]any{"path": "a/b", "data": map[string]any{"x": 1}, "inacica": 412}
		case r.URL.Path == "/store" && r.URL.Query().Get("under") == "c/" && r.URL.Query().Get("after") == "c/7":
			body = wire.Page{Revision: 9, More: true}
		case r.URL.Path == "/txn":
			w.WriteHeader(409)
			body = wire.TxnAnswer{Failed: []string{"a/b"}, Revision: 431}
		case r.URL.Path == "/changes" && r.URL.Query().Get("holdMs") == "50":
			w.WriteHeader(410)
		default:
			w.WriteHeader(404)
		}
		b, _ := wire.Encode(body)
		_, _ = w.Write(b)
	}))
	defer s.Close()
	c := New(strings.TrimPrefix(s.URL, "http://"), 100, 100, 1)
	ctx := context.Background()
	if outcome, p, err := c.Get(ctx, "a/b"); outcome != eventloop.Succeeded || p.Version != 412 || len(p.Value) == 0 || err != nil {
		t.Errorf("get: %s %+v %v", outcome, p, err)
	}
	if outcome, _, _ := c.Get(ctx, "none"); outcome != eventloop.NotFound {
		t.Errorf("get of nothing: %s", outcome)
	}
	if outcome, p, err := c.Range(ctx, "c/", "c/7", 10); outcome != eventloop.Succeeded || !p.More || p.Revision != 9 || err != nil {
		t.Errorf("range: %s %+v %v", outcome, p, err)
	}
	if outcome, a, err := c.Txn(ctx, wire.Txn{}, false); outcome != eventloop.Conflict || a.Failed[0] != "a/b" || err != nil {
		t.Errorf("txn: %s %+v %v", outcome, a, err)
	}
	if outcome, _, _ := c.Watch(ctx, "c/", 4, 50*time.Millisecond); outcome != eventloop.Compacted {
		t.Errorf("watch: %s", outcome)
	}
	s.Close()
	if outcome, _, err := c.Get(ctx, "a/b"); outcome != eventloop.NoAnswer || err == nil {
		t.Errorf("without a service: %s %v", outcome, err)
	}
}

// TestBudgetTakesAllOrNothing guards against calls that take a part of the
// write budget, give up, and so starve the others.
func TestBudgetTakesAllOrNothing(t *testing.T) {
	b := budget{rate.NewLimiter(1000, 10), rate.NewLimiter(0.001, 3)}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := b.wait(ctx, 2); err != nil {
		t.Fatal(err)
	}
	// One is left: three do not come in time, and must leave it there.
	if err := b.wait(ctx, 3); err == nil {
		t.Fatal("three changes at once, with one left")
	}
	if !b.writes.Allow() {
		t.Error("the call that gave up has used the budget")
	}
}

// TestLostAnswersHoldUpNobody: whose answer is lost is told soon, and calls behind
// many of these go out all the same.
func TestLostAnswersHoldUpNobody(t *testing.T) {
	const calls = 40
	came, lost := make(chan bool, calls), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/txn" {
			came <- true
			<-lost
		}
		b, err := wire.Encode(wire.Pair{Key: "a", Value: []byte{0x01}, Version: 3})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(b)
	}))
	defer s.Close()
	defer close(lost)
	c := New(strings.TrimPrefix(s.URL, "http://"), 1000, 1000, 1)
	c.answerTimeout = client.NewAdaptiveTimeout(20*time.Millisecond, callTimeout)
	if outcome, _, err := c.Get(t.Context(), "a"); outcome != eventloop.Succeeded || err != nil {
		t.Fatalf("get: %s %v", outcome, err)
	}
	began := time.Now()
	if outcome, _, err := c.Txn(t.Context(), wire.Txn{}, false); outcome != eventloop.NoAnswer || err == nil {
		t.Errorf("a lost answer: %s %v", outcome, err)
	}
	if took := time.Since(began); took >= callTimeout {
		t.Errorf("told after %v that there is no answer", took)
	}
	<-came
	c.answerTimeout = client.NewAdaptiveTimeout(time.Hour, time.Hour)
	for range calls {
		go c.Txn(t.Context(), wire.Txn{}, false)
	}
	for i := range calls {
		select {
		case <-came:
		case <-time.After(20 * time.Second):
			t.Fatalf("%d calls of %d went out, the others wait for answers that do not come", i, calls)
		}
	}
}
