package node

import (
	"runtime/metrics"
	"time"

	"fawncove/internal/core/eventloop"
)

// usageInterval is how often the use of limited resources is logged.
const usageInterval = time.Minute

// usage counts what a controller uses of limited resources between two logs.
type usage struct {
	since                                   time.Time
	stateRequests, stateChanges, cloudCalls int // of the state service and the cloud
	commands, busiestSecond                 int // direct commands; most events in a second
	second                                  time.Time
	events                                  int
	closedIdle                              int // idle connections closed to make room, at the last log
	bodiesRefused                           int // bodies for which there was no memory, at the last log
	endedAlive                              int // attempts listed alive after their end, at the last log
	workerRestarts                          int // workers that came back without their token, at the last log
}

// countEffect counts an effect that uses a limited resource.
func (u *usage) countEffect(e eventloop.Effect) {
	switch e := e.(type) {
	case eventloop.StateTxn:
		u.stateRequests++
		u.stateChanges += len(e.Txn.Then)
	case eventloop.StateGet, eventloop.StateRange, eventloop.StateWatch:
		u.stateRequests++
	case eventloop.CloudTypes, eventloop.CloudCreate, eventloop.CloudDelete, eventloop.CloudList:
		u.cloudCalls++
	case eventloop.WorkerCommands, eventloop.WorkerStatus:
		u.commands++
	}
}

// countEvent counts an event.
func (u *usage) countEvent(now time.Time) {
	if now.Sub(u.second) >= time.Second {
		u.busiestSecond, u.events, u.second = max(u.busiestSecond, u.events), 0, now
	}
	u.events++
}

// logUsage logs what was used since the last time, per second where the settings limit it
// so.
func (n *Node) logUsage(now time.Time) {
	u := &n.usage
	if u.since.IsZero() {
		*u = usage{since: now, second: now}
		return
	}
	took := now.Sub(u.since)
	if took < usageInterval {
		return
	}
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	rate := func(n int) float64 { return float64(int(10*float64(n)/took.Seconds())) / 10 }
	sockets := n.sockets.counts()
	refused, endedAlive, restarts := n.bodies.Refused(), n.core.EndedAttemptsListedAlive(), n.core.WorkerRestarts()
	n.log.Info("usage", "machines", n.core.MachineCount(), "connections", sockets.open, "stale_connections", sockets.stale, "direct_connections", sockets.direct,
		"connections_closed", sockets.closedIdle-u.closedIdle, "memory_mb", sample[0].Value.Uint64()>>20, "bodies_refused", refused-u.bodiesRefused,
		"state_requests_per_s", rate(u.stateRequests), "state_changes_per_s", rate(u.stateChanges), "cloud_calls_per_s", rate(u.cloudCalls),
		"commands_per_s", rate(u.commands), "ended_attempts_alive", endedAlive-u.endedAlive, "worker_restarts", restarts-u.workerRestarts, "busiest_second_events", max(u.busiestSecond, u.events))
	*u = usage{since: now, second: now, closedIdle: sockets.closedIdle, bodiesRefused: refused, endedAlive: endedAlive, workerRestarts: restarts}
}
