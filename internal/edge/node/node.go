// Package node runs a controller's core: one goroutine owns the core, passes it events and
// carries out its effects. It owns the goroutines of calls that wait, each of which comes
// back as one event, and the requests that wait for a reply. It decides nothing, but checks
// the deadline of a right once more where an effect goes out.
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
	"fawncove/internal/core/termination"
	"fawncove/internal/edge/client"
	"fawncove/internal/edge/cloud"
	"fawncove/internal/edge/membudget"
	"fawncove/internal/edge/peer"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// tickInterval is the time between ticks. The machines are small, so wake-ups are kept few.
const tickInterval = 150 * time.Millisecond

// statePageSize is how many keys a page of a range read holds.
const statePageSize = 500

// Node carries out a core's effects.
type Node struct {
	core          *controller.Core
	log           *slog.Logger
	store         *statestore.Store
	cloud         *cloud.Cloud
	workers       *client.Client
	links         map[string]*peer.Link
	events        chan arrival
	requests      chan request
	awaitingReply map[uint64]chan eventloop.Reply
	lastRequest   uint64
	usage         usage
	sockets       *Sockets
	bodies        *membudget.Bodies
	healthy       atomic.Bool
	handedOver    atomic.Bool
}

// arrival is an event that is to be passed to the core.
type arrival struct {
	event   eventloop.Event
	handled func() // called when the core has handled it; nil: nobody waits for that
}

// request is one that is to be passed to the core, and where its reply goes.
type request struct {
	event func(req uint64) eventloop.Event
	reply chan eventloop.Reply
}

// idleDirectShare is the part of the machine's sockets that idle direct connections
// to workers may take while nothing else needs them. Near the limit they are
// closed, see Sockets.
const idleDirectShare = 0.4

// New returns a node for a core and its edges, on a machine of so many sockets;
// 0 means no limit. Bodies of users and workers take their memory from bodies.
func New(core *controller.Core, log *slog.Logger, store *statestore.Store, cl *cloud.Cloud, links map[string]*peer.Link, sockets int, bodies *membudget.Bodies) *Node {
	workers := client.New(2, wire.MaxBody, int(idleDirectShare*float64(sockets)))
	workers.LimitMemory(bodies)
	n := &Node{core: core, log: log, store: store, cloud: cl, links: links,
		workers:       workers,
		bodies:        bodies,
		sockets:       newSockets(sockets, workers.CloseIdle),
		events:        make(chan arrival, 256),
		requests:      make(chan request, 256),
		awaitingReply: map[uint64]chan eventloop.Reply{},
	}
	workers.CountDials(n.sockets)
	return n
}

// Healthy reports whether users can be served here.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// Leave gives up all that this controller holds, and returns when other controllers have
// it, or when ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	n.events <- arrival{event: eventloop.Shutdown{}}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for !n.handedOver.Load() {
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

// Ask passes a request to the core and waits for its reply.
func (n *Node) Ask(ctx context.Context, event func(req uint64) eventloop.Event) (eventloop.Reply, error) {
	a := request{event, make(chan eventloop.Reply, 1)}
	select {
	case n.requests <- a:
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

// Peer passes a frame of another controller to the core, and calls release when that has
// handled it.
func (n *Node) Peer(f *peerpb.Frame, release func()) {
	n.events <- arrival{eventloop.PeerFrame{Frame: f}, release}
}

// Run owns the core until ctx ends. It must be called once.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	n.step(ctx, eventloop.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-n.events:
			n.step(ctx, a.event)
			if a.handled != nil {
				a.handled()
			}
		case a := <-n.requests:
			n.lastRequest++
			n.awaitingReply[n.lastRequest] = a.reply
			n.step(ctx, a.event(n.lastRequest))
		case <-tick.C:
			n.step(ctx, eventloop.Tick{})
		}
	}
}

// step passes an event to the core and carries out its effects.
func (n *Node) step(ctx context.Context, ev eventloop.Event) {
	now := time.Now()
	n.usage.countEvent(now)
	for _, e := range n.core.Step(now, ev) {
		n.usage.countEffect(e)
		n.carryOut(ctx, e)
	}
	n.logUsage(now)
	n.healthy.Store(n.core.Healthy())
	n.handedOver.Store(n.core.HandedOver())
}

// carryOut carries out an effect. Calls that wait run in a goroutine of their own and come
// back as an event.
func (n *Node) carryOut(ctx context.Context, effect eventloop.Effect) {
	switch e := effect.(type) {
	case eventloop.Reply:
		if reply := n.awaitingReply[e.Req]; reply != nil {
			delete(n.awaitingReply, e.Req)
			reply <- e
		}
	case eventloop.PeerSend:
		if link := n.links[e.To]; link != nil {
			link.Send(e.Frame)
		}
	default:
		go func() {
			completion, ok := n.call(ctx, effect)
			if !ok {
				return
			}
			select {
			case n.events <- arrival{event: completion}:
			case <-ctx.Done():
			}
		}()
	}
}

// call carries out an effect that waits for an answer; ok is false for any other.
func (n *Node) call(ctx context.Context, effect eventloop.Effect) (completion eventloop.Completion, ok bool) {
	if completion, ok = n.callState(ctx, effect); ok {
		return completion, true
	}
	if completion, ok = n.callCloud(ctx, effect); ok {
		return completion, true
	}
	switch e := effect.(type) {
	case eventloop.WorkerCommands:
		return n.sendCommands(ctx, e), true
	case eventloop.WorkerStatus:
		return n.askStatus(ctx, e), true
	}
	return completion, false
}

// callState calls the state service; ok is false for an effect of another kind.
func (n *Node) callState(ctx context.Context, effect eventloop.Effect) (completion eventloop.Completion, ok bool) {
	done := eventloop.Completion{FromStateService: true}
	var err error
	var what string
	switch e := effect.(type) {
	case eventloop.StateTxn:
		what, done.ID = "txn", e.ID
		done.Outcome, done.Txn, err = n.store.Txn(ctx, e.Txn, e.LeaseBudget)
	case eventloop.StateGet:
		what, done.ID = "get", e.ID
		done.Outcome, done.Pair, err = n.store.Get(ctx, e.Key)
	case eventloop.StateRange:
		what, done.ID = "range", e.ID
		done.Outcome, done.Page, err = n.store.Range(ctx, e.Prefix, e.After, statePageSize)
	case eventloop.StateWatch:
		what, done.ID = "watch", e.ID
		done.Outcome, done.Changes, err = n.store.Watch(ctx, e.Prefix, e.After, e.Hold)
	default:
		return done, false
	}
	n.logFailure(what, done.Outcome, err)
	return done, true
}

// callCloud calls the cloud; ok is false for an effect of another kind.
func (n *Node) callCloud(ctx context.Context, effect eventloop.Effect) (completion eventloop.Completion, ok bool) {
	var done eventloop.Completion
	var err error
	var what string
	switch e := effect.(type) {
	case eventloop.CloudTypes:
		what, done.ID = "machine types", e.ID
		done.Outcome, done.Types, err = n.cloud.Types(ctx)
	case eventloop.CloudCreate:
		var created wire.Names
		what, done.ID = "rent", e.ID
		done.Outcome, created, err = n.cloud.Create(ctx, e.Request)
		done.Names = created.Machines
	case eventloop.CloudDelete:
		what, done.ID = "release", e.ID
		done.Outcome, err = n.cloud.Delete(ctx, e.Names, e.Until)
	case eventloop.CloudList:
		what, done.ID = "list", e.ID
		done.Outcome, done.Machines, err = n.cloud.List(ctx, e.After)
	default:
		return done, false
	}
	n.logFailure(what, done.Outcome, err)
	return done, true
}

// sendCommands sends commands to a worker. The right to send them is checked once more at
// the last moment.
func (n *Node) sendCommands(ctx context.Context, e eventloop.WorkerCommands) eventloop.Completion {
	if !time.Now().Before(e.Until) {
		return eventloop.Completion{ID: e.ID, Outcome: eventloop.NotSent}
	}
	ctx, cancel := context.WithTimeout(ctx, owner.DirectTimeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	status, err := n.workers.Do(ctx, http.MethodPost, "http://"+e.Endpoint+"/commands", e.Body, &heartbeat, http.StatusOK, http.StatusConflict)
	outcome := client.OutcomeOf(status)
	n.logFailure("commands", outcome, err)
	return eventloop.Completion{ID: e.ID, Outcome: outcome, Heartbeat: &heartbeat}
}

// askStatus asks a worker for its status.
func (n *Node) askStatus(ctx context.Context, e eventloop.WorkerStatus) eventloop.Completion {
	ctx, cancel := context.WithTimeout(ctx, termination.QueryTimeout)
	defer cancel()
	var heartbeat wire.Heartbeat
	status, err := n.workers.Do(ctx, http.MethodGet, "http://"+e.Endpoint+"/status", nil, &heartbeat, http.StatusOK)
	outcome := client.OutcomeOf(status)
	n.logFailure("status", outcome, err)
	return eventloop.Completion{ID: e.ID, Outcome: outcome, Heartbeat: &heartbeat}
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
