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
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// TestCallsMapResponsesToOutcomes guards against a response that is taken for another
// outcome: each call is answered by a fake service over a loopback socket.
func TestCallsMapResponsesToOutcomes(t *testing.T) {
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
	t.Cleanup(s.Close)
	c := New(strings.TrimPrefix(s.URL, "http://"), 100, 100, 1)
	ctx := t.Context()
	if outcome, p, err := c.Get(ctx, "a/b"); outcome != eventloop.Succeeded || p.Version != 412 || len(p.Value) == 0 || err != nil {
		t.Errorf("Get = %s, %+v, %v, want success with version 412 and a value", outcome, p, err)
	}
	if outcome, _, _ := c.Get(ctx, "none"); outcome != eventloop.NotFound {
		t.Errorf("Get of an unknown key = %s, want %s", outcome, eventloop.NotFound)
	}
	if outcome, p, err := c.Range(ctx, "c/", "c/7", 10); outcome != eventloop.Succeeded || !p.More || p.Revision != 9 || err != nil {
		t.Errorf("Range = %s, %+v, %v, want success with more and revision 9", outcome, p, err)
	}
	if outcome, a, err := c.Txn(ctx, wire.Txn{}, false); outcome != eventloop.Conflict || a.Failed[0] != "a/b" || err != nil {
		t.Errorf("Txn = %s, %+v, %v, want a conflict on a/b", outcome, a, err)
	}
	if outcome, _, _ := c.Watch(ctx, "c/", 4, 50*time.Millisecond); outcome != eventloop.Compacted {
		t.Errorf("Watch = %s, want %s", outcome, eventloop.Compacted)
	}
	s.Close()
	if outcome, _, err := c.Get(ctx, "a/b"); outcome != eventloop.NoAnswer || err == nil {
		t.Errorf("Get without a service = %s, %v, want %s and an error", outcome, err, eventloop.NoAnswer)
	}
}

// TestBudgetTakesAllOrNothing guards against calls that take a part of the write budget, give
// up, and so starve the others.
func TestBudgetTakesAllOrNothing(t *testing.T) {
	b := budget{rate.NewLimiter(1000, 10), rate.NewLimiter(0.001, 3)}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	t.Cleanup(cancel)
	if err := b.wait(ctx, 2); err != nil {
		t.Fatal(err)
	}
	// One is left: a call for three times out and must not take it.
	if err := b.wait(ctx, 3); err == nil {
		t.Fatal("three writes with a budget of one: error = nil, want an error")
	}
	if !b.writes.Allow() {
		t.Error("write after the failed call is allowed = false, want true")
	}
}

// TestLostAnswersDoNotBlockCalls guards against lost answers that block the client: a call
// whose answer is lost fails soon, and many of these do not delay other calls.
func TestLostAnswersDoNotBlockCalls(t *testing.T) {
	const calls = 40
	arrived, testDone := make(chan bool, calls), make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/txn" {
			arrived <- true
			<-testDone
		}
		b, err := wire.Encode(wire.Pair{Key: "a", Value: []byte{0x01}, Version: 3})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(b)
	}))
	defer s.Close()
	defer close(testDone)
	c := New(strings.TrimPrefix(s.URL, "http://"), 1000, 1000, 1)
	c.answerTimeout = client.NewAdaptiveTimeout(20*time.Millisecond, callTimeout)
	if outcome, _, err := c.Get(t.Context(), "a"); outcome != eventloop.Succeeded || err != nil {
		t.Fatalf("Get = %s, %v, want %s", outcome, err, eventloop.Succeeded)
	}
	start := time.Now()
	if outcome, _, err := c.Txn(t.Context(), wire.Txn{}, false); outcome != eventloop.NoAnswer || err == nil {
		t.Errorf("Txn with a lost answer = %s, %v, want %s and an error", outcome, err, eventloop.NoAnswer)
	}
	if took := time.Since(start); took >= callTimeout {
		t.Errorf("Txn with a lost answer took %v, want less than %v", took, callTimeout)
	}
	<-arrived
	c.answerTimeout = client.NewAdaptiveTimeout(time.Hour, time.Hour)
	for range calls {
		go c.Txn(t.Context(), wire.Txn{}, false)
	}
	for i := range calls {
		select {
		case <-arrived:
		case <-time.After(20 * time.Second):
			t.Fatalf("%d calls arrived within 20 s, want %d without waiting for lost answers", i, calls)
		}
	}
}

// TestTooLargeWatchIsReadAgain guards against a controller that asks for ever for more changes
// than it can read at once, and sees none: it is told to read the keys.
func TestTooLargeWatchIsReadAgain(t *testing.T) {
	large := wire.Changes{Revision: 9}
	value, err := wire.Encode(strings.Repeat("x", 4<<10))
	if err != nil {
		t.Fatal(err)
	}
	for range 300 {
		large.Log = append(large.Log, wire.Change{Put: "a/b", Value: value, Version: 9})
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		body, _ := wire.Encode(large)
		_, _ = w.Write(body)
	}))
	t.Cleanup(s.Close)
	c := New(strings.TrimPrefix(s.URL, "http://"), 100, 100, 1)
	if outcome, changes, err := c.Watch(t.Context(), "a/", 8, time.Second); outcome != eventloop.Succeeded || len(changes.Log) != 300 || err != nil {
		t.Errorf("Watch = %s, %d changes, %v, want 300", outcome, len(changes.Log), err)
	}
	c.LimitMemory(membudget.NewBodies(8<<20), 1<<20)
	if outcome, _, err := c.Watch(t.Context(), "a/", 8, time.Second); outcome != eventloop.Compacted {
		t.Errorf("Watch of more than may be read = %s, %v, want %s", outcome, err, eventloop.Compacted)
	}
	if outcome, _, err := c.Get(t.Context(), "a/b"); outcome == eventloop.Succeeded {
		t.Errorf("Get of far more than a value may be = %s, %v", outcome, err)
	}
}
