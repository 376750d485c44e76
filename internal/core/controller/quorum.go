package controller

import (
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/feature"
)

// The state service alone does not bind what users are told: it may lose the very change that a
// user was told of, before this controller has read it. So what users are told is also bound by
// the controllers: a majority of them has it before a user is told, and confirms before each
// answer that it knows nothing newer. Any two majorities have a controller in common, so a
// controller that has no majority answers nothing, and one that has learns of all that was told.

// quorum is the controllers beside this one that confirm what users are told, and how many
// controllers, this one among them, have to.
type quorum struct {
	members  []string
	majority int
}

// quorum returns the present quorum. Once the feature gate is open it is a majority of the
// controllers of the settings. Until then it is one of those that are known to confirm: an earlier
// version knows nothing of what was told, and is not waited for. One that has not been heard of
// since this process began counts, until it has been silent for a lease.
//
// A majority of two is both. Once the other one has been silent for a lease, and its block has lapsed
// by the lease value, this one serves alone: one that is only out of reach renews its block through
// the state service.
func (c *Core) quorum() quorum {
	var q quorum
	for _, name := range cluster.SortedKeys(c.view.Peers) {
		if c.isQuorumMember(c.view.Peers[name]) {
			q.members = append(q.members, name)
		}
	}
	q.majority = (len(q.members)+1)/2 + 1
	if len(q.members) == 1 && c.hasLapsed(q.members[0]) {
		q.majority = 1
	}
	return q
}

// hasLapsed reports whether another controller has been silent for a lease, and holds no block.
// During a recovery nobody renews a block: then its silence counts.
func (c *Core) hasLapsed(name string) bool {
	_, holdsBlock := c.view.Lease.Blocks[name]
	return c.isSilentForLease(c.view.Peers[name]) && (!holdsBlock || c.recovery != nil)
}

func (c *Core) isQuorumMember(p *cluster.Peer) bool {
	switch {
	case c.view.FeatureOpen(feature.AnswerQuorum):
		return true
	case p.LastFrame.IsZero():
		return !c.isSilentForLease(p)
	default:
		return p.ConfirmsJobs
	}
}

// isSilentForLease reports whether another controller has not been heard of for a lease.
func (c *Core) isSilentForLease(p *cluster.Peer) bool {
	since := c.startedAt
	if p.LastFrame.After(since) {
		since = p.LastFrame
	}
	return c.loop.Now.Sub(since) >= c.view.Params.LeaseDuration
}

// unreachableMembers lists the members that are out of reach.
func (c *Core) unreachableMembers(q quorum) (names []string) {
	for _, name := range q.members {
		if !c.view.IsReachable(name, c.loop.Now) {
			names = append(names, name)
		}
	}
	return names
}

// reachesMajority reports whether a majority of the controllers is in reach. One that has started and
// is yet to read the state says hello.
func (c *Core) reachesMajority() bool {
	q, inReach := c.quorum(), 1
	for _, name := range q.members {
		waits := c.loop.Now.Sub(c.view.Peers[name].LastHello) < cluster.PeerTimeout
		if waits || c.view.IsReachable(name, c.loop.Now) {
			inReach++
		}
	}
	return inReach >= q.majority
}

// isMajorityInReach reports whether a majority of the controllers can be asked.
func (c *Core) isMajorityInReach(q quorum) bool {
	return 1+len(q.members)-len(c.unreachableMembers(q)) >= q.majority
}
