package quota

import (
	"slices"

	"fawncove/internal/wire"
)

// Reservations keeps what a controller has reserved and no lease value that it has read
// acknowledges yet. The zero value is empty.
type Reservations struct{ open []reservation }

// reservation is the most that the tasks of a team will use here.
type reservation struct {
	renewal uint64
	team    string
	amount  wire.Share
	// earlier says that it was made under an earlier grant: it does not cover what came with
	// the machines of this one.
	earlier bool
}

// Reserve records that the renewal with this number reserves no more than an amount for a
// team. From now on Usable keeps to it.
func (r *Reservations) Reserve(renewal uint64, team string, amount wire.Share) {
	r.open = append(r.open, reservation{renewal: renewal, team: team, amount: amount})
}

// Acknowledge records that the lease value acknowledges the renewal with this number. The
// shares in that value, and in later ones, take its reservations into account.
func (r *Reservations) Acknowledge(renewal uint64) {
	r.open = slices.DeleteFunc(r.open, func(open reservation) bool { return open.renewal <= renewal })
}

// BeginGrant records that the block has another grant from now on.
func (r *Reservations) BeginGrant() {
	for i := range r.open {
		r.open[i].earlier = true
	}
}

// HasEarlier reports whether something of a team's share is reserved under an earlier grant.
func (r *Reservations) HasEarlier(team string) bool {
	return slices.ContainsFunc(r.open, func(open reservation) bool { return open.team == team && open.earlier })
}

// Reset drops all reservations, together with the grant under which they were made.
func (r *Reservations) Reset() { r.open = nil }

// Usable returns what the team's tasks may use here: the share as the lease value names
// it, or less if less is reserved.
func (r *Reservations) Usable(team string, share wire.Share) wire.Share {
	for _, open := range r.open {
		if open.team == team {
			share.CPUs = min(share.CPUs, open.amount.CPUs)
			share.GPUs = min(share.GPUs, open.amount.GPUs)
		}
	}
	return share
}
