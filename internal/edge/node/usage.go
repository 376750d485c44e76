package node

import (
	"runtime/metrics"
	"time"

	"fawncove/internal/core/eventloop"
)

// usageEvery is how often the use of the budgets is logged.
const usageEvery = time.Minute

// usage counts what a controller takes of its budgets between two logs.
type usage struct {
	at                      time.Time
	reads, changes, calls   int // of the state service and the cloud
	commands, busiestSecond int // direct commands; most events in a second
	second                  time.Time
	events                  int
	closedIdle              int // idle connections closed to make room, at the last log
}

// count notes an effect that costs something.
func (u *usage) count(e eventloop.Effect) {
	switch e := e.(type) {
	case eventloop.StateTxn:
		u.reads++
		u.changes += len(e.Txn.Then)
	case eventloop.StateGet, eventloop.StateRange, eventloop.StateWatch:
		u.reads++
	case eventloop.CloudTypes, eventloop.CloudCreate, eventloop.CloudDelete, eventloop.CloudList:
		u.calls++
	case eventloop.WorkerCommands:
		u.commands++
	}
}

// event notes that an event came.
func (u *usage) event(now time.Time) {
	if now.Sub(u.second) >= time.Second {
		u.busiestSecond, u.events, u.second = max(u.busiestSecond, u.events), 0, now
	}
	u.events++
}

// logUsage logs what was used since the last time, per second where that is
// what the settings limit.
func (n *Node) logUsage(now time.Time) {
	u := &n.usage
	if u.at.IsZero() {
		*u = usage{at: now, second: now}
		return
	}
	took := now.Sub(u.at)
	if took < usageEvery {
		return
	}
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}}
	metrics.Read(sample)
	rate := func(n int) float64 { return float64(int(10*float64(n)/took.Seconds())) / 10 }
	sockets := n.sockets.counts()
	n.log.Info("usage", "machines", n.core.MachineCount(), "connections", sockets.open, "stale_connections", sockets.stale, "direct_connections", sockets.direct,
		"connections_closed", sockets.closedIdle-u.closedIdle, "memory_mb", sample[0].Value.Uint64()>>20,
		"state_requests_per_s", rate(u.reads), "state_changes_per_s", rate(u.changes), "cloud_calls_per_s", rate(u.calls),
		"commands_per_s", rate(u.commands), "busiest_second_events", max(u.busiestSecond, u.events))
	*u = usage{at: now, second: now, closedIdle: sockets.closedIdle}
}
