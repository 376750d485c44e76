// Package statestore is the client of the state service. It keeps this
// controller's share of the request and write limits.
package statestore

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/edge/client"
	"fawncove/internal/wire"
)

// How long an answer is waited for, see client.Patience. Answers usually take some ten
// milliseconds, a few hundred now and then; users wait 2 s for an answer to a poll, 5 s
// for others.
const (
	leastPatience = 500 * time.Millisecond
	callTimeout   = 2 * time.Second
)

// budgetWait bounds how long a call waits for its part of the limits.
const budgetWait = 1500 * time.Millisecond

// maxAnswer bounds what is read of one answer; watches have no limit of
// their own, so this one only guards the memory.
const maxAnswer = 16 << 20

// Store calls the state service.
type Store struct {
	base     string
	calls    *client.Client
	watches  *client.Client
	work     budget
	control  budget
	patience *client.Patience
}

// Every controller keeps to an equal part of workPart of the limits. The lease
// value has a part of its own, so that no burst of jobs delays it; only one
// controller leads, so it is not divided. What is left over absorbs that
// clocks differ and that renewals come this way when zones are apart.
const (
	workPart    = 0.8
	controlPart = 0.12
	// controlWrites is the lease value's part of the changes: the pages that
	// name its machines are written with it. The work's part stays whole:
	// with 0.7 a fiftieth of the submissions came too late where the state
	// service takes 20 changes a second.
	controlWrites = 0.18
)

// New returns a client for the service at addr that keeps within this
// controller's part of its limits, one of controllers.
func New(addr string, rps, writeRPS float64, controllers int) *Store {
	n := float64(max(1, controllers))
	// As many connections as calls can be under way at once: a service that is slow,
	// or whose answers are lost, must not keep the calls behind them from going out.
	open := 8 + int(callTimeout.Seconds()*rps*(workPart/n+controlPart))
	return &Store{base: "http://" + addr,
		calls: client.New(open, maxAnswer, idleConns), watches: client.New(2, maxAnswer, 0),
		work:     newBudget(rps*workPart/n, writeRPS*workPart/n),
		control:  newBudget(rps*controlPart, writeRPS*controlWrites),
		patience: client.NewPatience(leastPatience, callTimeout)}
}

// idleConns is how many connections stay open without use.
const idleConns = 8

// budget is an allowance of requests and of changes.
type budget struct{ requests, writes *rate.Limiter }

func newBudget(rps, writeRPS float64) budget {
	return budget{
		requests: rate.NewLimiter(rate.Limit(rps), max(1, int(rps))),
		writes:   rate.NewLimiter(rate.Limit(writeRPS), max(1, int(writeRPS))),
	}
}

// wait takes what a call costs. Changes are taken all at once as far as the
// burst allows: waiting for them one by one, calls that give up half way
// would use up what the others wait for.
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

// call waits for its part of the limits, then as long for an answer as answers take.
func (s *Store) call(ctx context.Context, b budget, writes int, f func(context.Context) (int, error)) (int, error) {
	waiting, cancel := context.WithTimeout(ctx, budgetWait)
	defer cancel()
	if err := b.wait(waiting, writes); err != nil {
		return client.NotSent, err
	}
	return s.patience.Call(ctx, f)
}

// Txn runs a transaction. Control transactions have a budget of their own.
func (s *Store) Txn(ctx context.Context, t wire.Txn, control bool) (eventloop.Outcome, wire.TxnAnswer, error) {
	var a wire.TxnAnswer
	if t.If == nil {
		t.If = []wire.Condition{}
	}
	if t.Then == nil {
		t.Then = []wire.Op{}
	}
	b := s.work
	if control {
		b = s.control
	}
	status, err := s.call(ctx, b, len(t.Then), func(ctx context.Context) (int, error) {
		return s.calls.Do(ctx, "POST", s.base+"/txn", t, &a, 200, 409)
	})
	return client.OutcomeOf(status), a, err
}

// Get reads one key; NotFound says that it does not exist.
func (s *Store) Get(ctx context.Context, key string) (eventloop.Outcome, wire.Pair, error) {
	var p wire.Pair
	status, err := s.call(ctx, s.work, 0, func(ctx context.Context) (int, error) {
		return s.calls.Do(ctx, "GET", s.base+"/store/"+key, nil, &p, 200)
	})
	return client.OutcomeOf(status), p, err
}

// Range reads a page of keys under a prefix.
func (s *Store) Range(ctx context.Context, prefix, after string, most int) (eventloop.Outcome, wire.Page, error) {
	var p wire.Page
	q := url.Values{"under": {prefix}, "most": {strconv.Itoa(most)}}
	if after != "" {
		q.Set("after", after)
	}
	status, err := s.call(ctx, s.work, 0, func(ctx context.Context) (int, error) {
		return s.calls.Do(ctx, "GET", s.base+"/store?"+q.Encode(), nil, &p, 200)
	})
	return client.OutcomeOf(status), p, err
}

// Watch waits up to hold for changes under a prefix.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (eventloop.Outcome, wire.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+callTimeout)
	defer cancel()
	var c wire.Changes
	if err := s.work.wait(ctx, 0); err != nil {
		return eventloop.NotSent, c, err
	}
	q := url.Values{"under": {prefix}, "after": {strconv.FormatUint(after, 10)},
		"holdMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	status, err := s.watches.Do(ctx, "GET", s.base+"/changes?"+q.Encode(), nil, &c, 200)
	return client.OutcomeOf(status), c, err
}
