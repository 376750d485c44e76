package owner

import (
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// QuotaBook is what a controller has of a team's limit, and what it counts against that.
type QuotaBook struct {
	Team    string
	Sharded bool
	Limit   sched.Limit     // that applies here: the team's, or what is usable of the share
	Share   wire.Share      // in the lease value, if sharded
	Used    sched.Resources // by tasks known here

	// ReservedEarlier says that Limit keeps to a reservation of before the last machines were
	// taken over. What may run on these came with their part of the share.
	ReservedEarlier bool

	// Assumed is the most that tasks use which are not known here, on Unreconciled machines;
	// AssumedBounded is false if there is no such bound.
	Assumed        sched.Resources
	AssumedBounded bool
	Unreconciled   int
}

// QuotaBooks returns the books of all teams with a limit, in the order of the settings.
func (o *Owner) QuotaBooks() []QuotaBook {
	unreconciled := o.workers.unreconciled()
	unknown := o.maxUse(unreconciled)
	var books []QuotaBook
	for _, t := range o.view.Settings.Cluster.Teams {
		limit := o.localLimit(t.Name)
		if !limit.Any() {
			continue
		}
		shares, sharded := o.view.Lease.Shares[t.Name]
		books = append(books, QuotaBook{Team: t.Name, Sharded: sharded, Limit: limit, Share: shares[o.view.Self], Used: o.quota.used[t.Name],
			ReservedEarlier: o.blockLease.ReservedEarlier(t.Name), Assumed: unknown.atMost, AssumedBounded: unknown.bounded, Unreconciled: len(unreconciled)})
	}
	return books
}

// HoldsMachine reports whether a machine is in this controller's block.
func (o *Owner) HoldsMachine(name string) bool { return o.workers.machines[name] != nil }
