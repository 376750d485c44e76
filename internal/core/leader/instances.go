package leader

import (
	"fmt"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

const (
	// deleteInterval is the time between two deletions, and deleteRetryAfter the time
	// after one that failed.
	deleteInterval   = 300 * time.Millisecond
	deleteRetryAfter = time.Second
)

// createInstances rents an order's machines, with a request for each
// MaxInstancesPerRequest of them.
func (l *Leader) createInstances(order sched.ScaleOutOrder) {
	for ; order.Count > wire.MaxInstancesPerRequest; order.Count -= wire.MaxInstancesPerRequest {
		batch := order
		batch.Count = wire.MaxInstancesPerRequest
		l.requestInstances(batch)
	}
	l.requestInstances(order)
}

// requestInstances sends one request for machines. Its id is made of the term, so that
// no controller ever uses it again.
func (l *Leader) requestInstances(order sched.ScaleOutOrder) {
	a := &l.autoscaler
	a.requestCount++
	a.createsInFlight++
	request := wire.InstanceRequest{ID: fmt.Sprintf("r-%d-%d", l.term, a.requestCount),
		Type: order.Type, Zone: order.Zone, Spot: order.Spot, Count: order.Count}
	sent := l.loop.Now
	l.loop.Emit(eventloop.CloudCreate{Request: request, ID: l.loop.OnCompletion(func(done eventloop.Completion) {
		a.createsInFlight--
		l.instancesCreated(request, sent, done)
	})})
}

// instancesCreated records the machines that a request has brought.
func (l *Leader) instancesCreated(request wire.InstanceRequest, sent time.Time, done eventloop.Completion) {
	a := &l.autoscaler
	source := market{request.Type, request.Zone, request.Spot}
	if done.Outcome != eventloop.Succeeded || len(done.Names) < request.Count {
		if request.Spot {
			a.lastShortage = l.loop.Now
		}
		a.noCapacityUntil[source] = l.loop.Now.Add(noCapacityBackoff)
	}
	l.log.Info("instances created", "type", request.Type, "zone", request.Zone, "spot", request.Spot,
		"requested", request.Count, "created", len(done.Names), "outcome", done.Outcome)
	for _, name := range done.Names {
		if a.instances[name] == nil {
			a.instances[name] = &instance{market: source, requested: sent, lastListed: l.loop.Now}
		}
	}
}

// deleteInstances returns machines to the cloud. With a successful answer they are
// terminated, and all that ran on them.
func (l *Leader) deleteInstances() {
	a := &l.autoscaler
	if a.deleteInFlight || len(a.deleting) == 0 || l.loop.Now.Before(a.nextDelete) {
		return
	}
	names := cluster.SortedKeys(a.deleting)
	if len(names) > wire.MaxDeletesPerRequest {
		names = names[:wire.MaxDeletesPerRequest]
	}
	a.deleteInFlight = true
	var unreachable []string
	for _, name := range names {
		if a.unreachable[name] {
			unreachable = append(unreachable, name)
			delete(a.unreachable, name) // from here on it may be gone at any moment
		}
	}
	l.log.Info("deleting instances", "machines", names)
	l.loop.Emit(eventloop.CloudDelete{Names: names, ID: l.loop.OnCompletion(func(done eventloop.Completion) {
		a.deleteInFlight = false
		l.instancesDeleted(names, unreachable, done.Outcome)
	})})
}

// instancesDeleted handles the answer to a deletion. unreachable are those of the
// machines that may be kept if they are heard again and the deletion was not executed.
func (l *Leader) instancesDeleted(names, unreachable []string, outcome eventloop.Outcome) {
	a := &l.autoscaler
	a.nextDelete = l.loop.Now.Add(deleteInterval)
	if outcome != eventloop.Succeeded {
		a.nextDelete = l.loop.Now.Add(deleteRetryAfter)
		if outcome == eventloop.Throttled || outcome == eventloop.Unavailable || outcome == eventloop.NotSent { // not executed
			for _, name := range unreachable {
				a.unreachable[name] = true
			}
		}
		return
	}
	if l.stopped {
		return
	}
	for _, name := range names {
		l.MachineDeleted(name)
	}
	l.publishNow = true
}
