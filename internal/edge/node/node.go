// Package node runs a controller's core: one goroutine owns it, hands it
// events and carries out its effects.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"fawncove/internal/core/controller"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/owner"
	"fawncove/internal/edge/client"
	"fawncove/internal/edge/cloud"
	"fawncove/internal/edge/peer"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// tickEvery is the pace of what time alone brings about. The machines are
// small, so wake-ups are kept few.
const tickEvery = 150 * time.Millisecond

// Node carries out a core's effects.
type Node struct {
	core    *controller.Core
	log     *slog.Logger
	store   *statestore.Store
	cloud   *cloud.Cloud
	workers *client.Client
	links   map[string]*peer.Link
	events  chan eventloop.Event
	asks    chan ask
	pending map[uint64]chan eventloop.Reply
	nextReq uint64
	usage   usage
	sockets *Sockets
	healthy atomic.Bool
	left    atomic.Bool
}

type ask struct {
	event func(req uint64) eventloop.Event
	reply chan eventloop.Reply
}

// directPart is the part of the machine's sockets that idle direct connections
// to workers may take while nothing else needs them. Near the limit they are the
// first to be closed, see Sockets.
const directPart = 0.4

// New returns a node for a core and its edges, on a machine of so many sockets;
// 0 means no limit.
func New(core *controller.Core, log *slog.Logger, store *statestore.Store, cl *cloud.Cloud, links map[string]*peer.Link, sockets int) *Node {
	workers := client.New(2, 1<<20, int(directPart*float64(sockets)))
	n := &Node{core: core, log: log, store: store, cloud: cl, links: links,
		workers: workers,
		sockets: newSockets(sockets, workers.CloseIdle),
		events:  make(chan eventloop.Event, 256),
		asks:    make(chan ask, 256),
		pending: map[uint64]chan eventloop.Reply{},
	}
	workers.CountDials(n.sockets)
	return n
}

// Healthy tells whether users can be served here.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// Leave gives up all that this controller holds, and returns when others have
// it, or when ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	n.events <- eventloop.Shutdown{}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for !n.left.Load() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("leaving: %w", ctx.Err())
		}
	}
	return nil
}

// Sockets counts the connections of users and workers.
func (n *Node) Sockets() *Sockets { return n.sockets }

// Ask hands a request to the core and waits for its reply.
func (n *Node) Ask(ctx context.Context, event func(req uint64) eventloop.Event) (eventloop.Reply, error) {
	a := ask{event, make(chan eventloop.Reply, 1)}
	select {
	case n.asks <- a:
	case <-ctx.Done():
		return eventloop.Reply{}, ctx.Err()
	}
	select {
	case r := <-a.reply:
		return r, nil
	case <-ctx.Done():
		return eventloop.Reply{}, ctx.Err()
	}
}

// Peer hands a frame from another controller to the core.
func (n *Node) Peer(f *peerpb.Frame) { n.events <- eventloop.PeerFrame{Frame: f} }

// Run owns the core until ctx ends.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	n.step(ctx, eventloop.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-n.events:
			n.step(ctx, ev)
		case a := <-n.asks:
			n.nextReq++
			n.pending[n.nextReq] = a.reply
			n.step(ctx, a.event(n.nextReq))
		case <-tick.C:
			n.step(ctx, eventloop.Tick{})
		}
	}
}

func (n *Node) step(ctx context.Context, ev eventloop.Event) {
	now := time.Now()
	n.usage.event(now)
	for _, e := range n.core.Step(now, ev) {
		n.usage.count(e)
		n.carryOut(ctx, e)
	}
	n.logUsage(now)
	n.healthy.Store(n.core.Healthy())
	n.left.Store(n.core.HandedOver())
}

// carryOut does what the core asks for; whatever waits runs on the side and
// comes back as an event.
func (n *Node) carryOut(ctx context.Context, e eventloop.Effect) {
	back := func(f func() eventloop.Completion) {
		go func() {
			done := f()
			select {
			case n.events <- done:
			case <-ctx.Done():
			}
		}()
	}
	switch e := e.(type) {
	case eventloop.Reply:
		if ch := n.pending[e.Req]; ch != nil {
			delete(n.pending, e.Req)
			ch <- e
		}
	case eventloop.PeerSend:
		if l := n.links[e.To]; l != nil {
			l.Send(e.Frame)
		}
	case eventloop.StateTxn:
		back(func() eventloop.Completion {
			outcome, a, err := n.store.Txn(ctx, e.Txn, e.LeaseBudget)
			n.logFailure("txn", outcome, err)
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome, Txn: a}
		})
	case eventloop.StateGet:
		back(func() eventloop.Completion {
			outcome, p, err := n.store.Get(ctx, e.Key)
			n.logFailure("get", outcome, err)
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome, Pair: p}
		})
	case eventloop.StateRange:
		back(func() eventloop.Completion {
			outcome, p, err := n.store.Range(ctx, e.Prefix, e.After, 500)
			n.logFailure("range", outcome, err)
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome, Page: p}
		})
	case eventloop.StateWatch:
		back(func() eventloop.Completion {
			outcome, w, err := n.store.Watch(ctx, e.Prefix, e.After, e.Hold)
			n.logFailure("watch", outcome, err)
			return eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome, Changes: w}
		})
	case eventloop.CloudTypes:
		back(func() eventloop.Completion {
			outcome, t, err := n.cloud.Types(ctx)
			n.logFailure("machine types", outcome, err)
			return eventloop.Completion{ID: e.ID, Outcome: outcome, Types: t}
		})
	case eventloop.CloudCreate:
		back(func() eventloop.Completion {
			outcome, names, err := n.cloud.Create(ctx, e.Request)
			n.logFailure("rent", outcome, err)
			return eventloop.Completion{ID: e.ID, Outcome: outcome, Names: names.Machines}
		})
	case eventloop.CloudDelete:
		back(func() eventloop.Completion {
			outcome, err := n.cloud.Delete(ctx, e.Names)
			n.logFailure("release", outcome, err)
			return eventloop.Completion{ID: e.ID, Outcome: outcome}
		})
	case eventloop.CloudList:
		back(func() eventloop.Completion {
			outcome, l, err := n.cloud.List(ctx, e.After)
			n.logFailure("list", outcome, err)
			return eventloop.Completion{ID: e.ID, Outcome: outcome, Machines: l}
		})
	case eventloop.WorkerCommands:
		back(func() eventloop.Completion {
			// The right is checked again at the last moment.
			if !time.Now().Before(e.Until) {
				return eventloop.Completion{ID: e.ID, Outcome: eventloop.NotSent}
			}
			ctx, cancel := context.WithTimeout(ctx, owner.DirectTimeout)
			defer cancel()
			var r wire.Heartbeat
			status, err := n.workers.Do(ctx, http.MethodPost, "http://"+e.Endpoint+"/commands", e.Body, &r, http.StatusOK, http.StatusConflict)
			outcome := client.OutcomeOf(status)
			n.logFailure("commands", outcome, err)
			return eventloop.Completion{ID: e.ID, Outcome: outcome, Heartbeat: &r}
		})
	}
}

// logFailure logs a call that failed.
func (n *Node) logFailure(what string, outcome eventloop.Outcome, err error) {
	switch outcome {
	case eventloop.Rejected, eventloop.Throttled, eventloop.Unavailable, eventloop.Failed:
	default:
		if err == nil {
			return
		}
	}
	n.log.Debug("call failed", "what", what, "outcome", outcome, "err", err)
}
