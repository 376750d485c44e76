// Package statestore is the client of the state service. It owns this controller's part of
// the service's request and write limits, and translates answers into outcomes. It assumes
// that a call without an answer may still be executed, and never repeats one by itself.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/client"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/wire"
)

// How long an answer is waited for, see client.AdaptiveTimeout. Answers usually take some
// ten milliseconds, a few hundred now and then; users wait 2 s for the answer to a query,
// 5 s for others.
const (
	minAnswerTimeout = 500 * time.Millisecond
	callTimeout      = 2 * time.Second
)

// maxBudgetWait bounds how long a call waits for its part of the limits.
const maxBudgetWait = 1500 * time.Millisecond

// What is read of one answer, in bytes.
const (
	// maxAnswerBytes is for one key, whose value may be 64 KiB, and the outcome of a
	// transaction, twice as much.
	maxAnswerBytes = 128 << 10
	// maxPageBytes is for a page, which may be 512 KiB, twice as much.
	maxPageBytes = 1 << 20
	// maxWatchBytes is for a watch, which has no limit by itself: what is larger is read
	// again key by key.
	maxWatchBytes = 16 << 20
)

// Store calls the state service.
type Store struct {
	base          string
	calls         *client.Client
	pages         *client.Client
	watches       *client.Client
	workBudget    budget
	leaseBudget   budget
	answerTimeout *client.AdaptiveTimeout
}

// Parts of the service's limits. Every controller keeps to an equal part of workShare. The
// lease value has a budget of its own, so that no burst of jobs delays it; only one
// controller leads, so that is not divided. The rest absorbs that clocks differ and that
// renewals take this way when zones cannot reach each other.
const (
	workShare         = 0.8
	leaseRequestShare = 0.12
	// leaseWriteShare is the lease value's part of the changes: the pages that name its
	// machines are written with it. It does not come out of workShare: with 0.7 there, a
	// fiftieth of the submissions were answered too late at 20 changes a second.
	leaseWriteShare = 0.18
)

// New returns a client for the service at addr that keeps within the part of its limits,
// rps requests and writeRPS changes a second, of one of so many controllers.
func New(addr string, rps, writeRPS float64, controllers int) *Store {
	n := float64(max(1, controllers))
	// As many connections as calls can be in flight at once: a service that is slow, or
	// whose answers are lost, must not keep later calls from going out.
	open := 8 + int(callTimeout.Seconds()*rps*(workShare/n+leaseRequestShare))
	calls := client.New(open, maxAnswerBytes, idleConns)
	return &Store{base: "http://" + addr,
		calls: calls, pages: calls.WithMaxAnswer(maxPageBytes), watches: client.New(2, maxWatchBytes, 0),
		workBudget:    newBudget(rps*workShare/n, writeRPS*workShare/n),
		leaseBudget:   newBudget(rps*leaseRequestShare, writeRPS*leaseWriteShare),
		answerTimeout: client.NewAdaptiveTimeout(minAnswerTimeout, callTimeout)}
}

// LimitMemory has answers take their memory from bodies, and those of watches no more than
// watchBytes, 0 for no further limit. It must be called before the first call.
func (s *Store) LimitMemory(bodies *membudget.Bodies, watchBytes int64) {
	if watchBytes > 0 {
		s.watches = s.watches.WithMaxAnswer(min(maxWatchBytes, max(watchBytes, maxPageBytes)))
	}
	for _, c := range []*client.Client{s.calls, s.pages, s.watches} {
		c.LimitMemory(bodies)
	}
}

// idleConns is how many connections stay open without use.
const idleConns = 8

// budget limits requests and changes per second.
type budget struct{ requests, writes *rate.Limiter }

// newBudget returns a budget that allows bursts worth a second.
func newBudget(rps, writeRPS float64) budget {
	return budget{
		requests: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		writes:   rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS))),
	}
}

// wait waits until a call with so many changes may be sent. Changes are taken all at once
// as far as the burst allows: if they were waited for one by one, calls that give up
// half-way would use up what the others wait for.
func (b budget) wait(ctx context.Context, writes int) error {
	for writes > 0 {
		n := min(writes, b.writes.Burst())
		if err := b.writes.WaitN(ctx, n); err != nil {
			return fmt.Errorf("write budget: %w", err)
		}
		writes -= n
	}
	if err := b.requests.Wait(ctx); err != nil {
		return fmt.Errorf("request budget: %w", err)
	}
	return nil
}

// call waits for a budget, then for an answer as long as answers take.
func (s *Store) call(ctx context.Context, b budget, writes int, f func(context.Context) (int, error)) (int, error) {
	waiting, cancel := context.WithTimeout(ctx, maxBudgetWait)
	defer cancel()
	if err := b.wait(waiting, writes); err != nil {
		return client.NotSent, err
	}
	return s.answerTimeout.Call(ctx, f)
}

// Txn runs a transaction, within the budget of the lease value or that of all else.
func (s *Store) Txn(ctx context.Context, t wire.Txn, leaseBudget bool) (eventloop.Outcome, wire.TxnAnswer, error) {
	var a wire.TxnAnswer
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Op{}
	}
	b := s.workBudget
	if leaseBudget {
		b = s.leaseBudget
	}
	status, err := s.call(ctx, b, len(t.Then), func(ctx context.Context) (int, error) {
		return s.calls.Do(ctx, "POST", s.base+"/txn", t, &a, 200, 409)
	})
	return client.OutcomeOf(status), a, err
}

// Get reads one key; NotFound says that it does not exist.
func (s *Store) Get(ctx context.Context, key string) (eventloop.Outcome, wire.Pair, error) {
	var p wire.Pair
	status, err := s.call(ctx, s.workBudget, 0, func(ctx context.Context) (int, error) {
		return s.calls.Do(ctx, "GET", s.base+"/store/"+key, nil, &p, 200)
	})
	return client.OutcomeOf(status), p, err
}

// Range reads up to count keys under a prefix, in order, beginning after a key.
func (s *Store) Range(ctx context.Context, prefix, after string, count int) (eventloop.Outcome, wire.Page, error) {
	var p wire.Page
	q := url.Values{"under": {prefix}, "most": {strconv.Itoa(count)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := s.call(ctx, s.workBudget, 0, func(ctx context.Context) (int, error) {
		return s.pages.Do(ctx, "GET", s.base+"/store?"+q.Encode(), nil, &p, 200)
	})
	return client.OutcomeOf(status), p, err
}

// Watch waits up to hold for changes under a prefix. Compacted says that there are more than
// can be read at once: the keys have to be read again.
func (s *Store) Watch(ctx context.Context, prefix string, after wire.Revision, hold time.Duration) (eventloop.Outcome, wire.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+callTimeout)
	defer cancel()
	var c wire.Changes
	if err := s.workBudget.wait(ctx, 0); err != nil {
		return eventloop.NotSent, c, err
	}
	q := url.Values{"under": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)},
		"holdMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	status, err := s.watches.Do(ctx, "GET", s.base+"/changes?"+q.Encode(), nil, &c, 200)
	if errors.Is(err, client.ErrTooLarge) {
		// Asked for again, the answer would be as large or larger, for ever.
		return eventloop.Compacted, c, err
	}
	return client.OutcomeOf(status), c, err
}
