// Package node runs a controller's core: one goroutine owns it, hands it
// events and carries out its effects.
package node

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"fawncove/internal/core/controller"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/step"
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
	events  chan step.Event
	asks    chan ask
	pending map[uint64]chan step.Reply
	nextReq uint64
	usage   usage
	sockets *Sockets
	healthy atomic.Bool
	left    atomic.Bool
}

type ask struct {
	event func(req uint64) step.Event
	reply chan step.Reply
}

// directPart is the part of the machine's sockets that idle direct connections
// to workers may take while nothing else needs them. Near the limit they are
// closed, see Sockets.
const directPart = 0.4

// New returns a node for a core and its edges, on a machine of so many sockets;
// 0 means no limit.
func New(core *controller.Core, log *slog.Logger, store *statestore.Store, cl *cloud.Cloud, links map[string]*peer.Link, sockets int) *Node {
	workers := client.New(2, 1<<20, int(directPart*float64(sockets)))
	n := &Node{core: core, log: log, store: store, cloud: cl, links: links,
		workers: workers,
		sockets: newSockets(sockets, workers.CloseIdle),
		events:  make(chan step.Event, 256),
		asks:    make(chan ask, 256),
		pending: map[uint64]chan step.Reply{},
	}
	workers.CountDials(n.sockets)
	return n
}

// Healthy tells whether users can be served here.
func (n *Node) Healthy() bool { return n.healthy.Load() }

// Leave gives up all that this controller holds, and returns when others have
// it, or when ctx ends.
func (n *Node) Leave(ctx context.Context) error {
	n.events <- step.Leave{}
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
func (n *Node) Ask(ctx context.Context, event func(req uint64) step.Event) (step.Reply, error) {
	a := ask{event, make(chan step.Reply, 1)}
	select {
	case n.asks <- a:
	case <-ctx.Done():
		return step.Reply{}, ctx.Err()
	}
	select {
	case r := <-a.reply:
		return r, nil
	case <-ctx.Done():
		return step.Reply{}, ctx.Err()
	}
}

// Peer hands a frame from another controller to the core.
func (n *Node) Peer(f *peerpb.Frame) { n.events <- step.PeerIn{Frame: f} }

// Run owns the core until ctx ends.
func (n *Node) Run(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	n.step(ctx, step.Tick{})
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
			n.step(ctx, step.Tick{})
		}
	}
}

func (n *Node) step(ctx context.Context, ev step.Event) {
	now := time.Now()
	n.usage.event(now)
	for _, e := range n.core.Step(now, ev) {
		n.usage.count(e)
		n.carryOut(ctx, e)
	}
	n.logUsage(now)
	n.healthy.Store(n.core.Healthy())
	n.left.Store(n.core.Left())
}

// carryOut does what the core asks for; whatever waits runs on the side and
// comes back as an event.
func (n *Node) carryOut(ctx context.Context, e step.Effect) {
	back := func(f func() step.Completed) {
		go func() {
			done := f()
			select {
			case n.events <- done:
			case <-ctx.Done():
			}
		}()
	}
	switch e := e.(type) {
	case step.Reply:
		if ch := n.pending[e.Req]; ch != nil {
			delete(n.pending, e.Req)
			ch <- e
		}
	case step.PeerSend:
		if l := n.links[e.To]; l != nil {
			l.Send(e.Frame)
		}
	case step.StateTxn:
		back(func() step.Completed {
			status, a, err := n.store.Txn(ctx, e.Txn, e.Control)
			n.note("txn", status, err)
			return step.Completed{ID: e.ID, State: true, Status: status, Txn: a}
		})
	case step.StateGet:
		back(func() step.Completed {
			status, p, err := n.store.Get(ctx, e.Key)
			n.note("get", status, err)
			return step.Completed{ID: e.ID, State: true, Status: status, Pair: p}
		})
	case step.StateRange:
		back(func() step.Completed {
			status, p, err := n.store.Range(ctx, e.Prefix, e.After, 500)
			n.note("range", status, err)
			return step.Completed{ID: e.ID, State: true, Status: status, Page: p}
		})
	case step.StateWatch:
		back(func() step.Completed {
			status, w, err := n.store.Watch(ctx, e.Prefix, e.After, e.Hold)
			n.note("watch", status, err)
			return step.Completed{ID: e.ID, State: true, Status: status, Watch: w}
		})
	case step.CloudTypes:
		back(func() step.Completed {
			status, t, err := n.cloud.Types(ctx)
			n.note("machine types", status, err)
			return step.Completed{ID: e.ID, Status: status, Types: t}
		})
	case step.CloudRent:
		back(func() step.Completed {
			status, names, err := n.cloud.Rent(ctx, e.Rent)
			n.note("rent", status, err)
			return step.Completed{ID: e.ID, Status: status, Names: names.Machines}
		})
	case step.CloudRelease:
		back(func() step.Completed {
			status, err := n.cloud.Release(ctx, e.Names)
			n.note("release", status, err)
			return step.Completed{ID: e.ID, Status: status}
		})
	case step.CloudList:
		back(func() step.Completed {
			status, l, err := n.cloud.List(ctx, e.After)
			n.note("list", status, err)
			return step.Completed{ID: e.ID, Status: status, List: l}
		})
	case step.Direct:
		back(func() step.Completed {
			// The right is checked again at the last moment.
			if !time.Now().Before(e.Until) {
				return step.Completed{ID: e.ID, Status: statestore.NotSent}
			}
			ctx, cancel := context.WithTimeout(ctx, owner.DirectTimeout)
			defer cancel()
			var r wire.Report
			status, err := n.workers.Do(ctx, "POST", "http://"+e.Endpoint+"/commands", e.Body, &r, 200, 409)
			n.note("commands", status, err)
			return step.Completed{ID: e.ID, Status: status, Report: &r}
		})
	}
}

// note logs calls that failed.
func (n *Node) note(what string, status int, err error) {
	if err != nil || status >= 500 || status == 429 || status == 400 {
		n.log.Debug("call failed", "what", what, "status", status, "err", err)
	}
}
