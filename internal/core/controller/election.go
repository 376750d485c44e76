package controller

import (
	"maps"
	"time"

	"fawncove/internal/core/leader"
	"fawncove/internal/wire"
)

const (
	// leaderTimeout is how long the lease value may stay unchanged before another
	// controller takes the lead: two missed publications.
	leaderTimeout = 10 * time.Second
	// candidateStagger is how much longer each controller waits than the one before
	// it by name, so that they do not all try at the same moment.
	candidateStagger = time.Second
)

// election is what the timeout of the leader and the leases of others count from.
type election struct {
	leaderSeenAt time.Time // the last sign of a leader
	// renewedAt is when a value with another renewal of a controller's block lease was first
	// seen, whoever led then. A new leader counts leases from it: counted from a value that an
	// earlier one has written since, a lease would lapse later with each change of leader.
	renewedAt map[string]time.Time
}

// leaseApplied notes that the lease value has changed, from these blocks to those.
func (e *election) leaseApplied(before, after map[string]wire.Block, now time.Time) {
	e.leaderSeenAt = now
	if e.renewedAt == nil {
		e.renewedAt = map[string]time.Time{}
	}
	leader.NoteRenewals(e.renewedAt, before, after, now)
	maps.DeleteFunc(e.renewedAt, func(node string, _ time.Time) bool { _, ok := after[node]; return !ok })
}

// leaderResigned shortens the wait for the leader's timeout to that for the candidates
// before this controller. The leader says so repeatedly, which must not put off those
// whose turn comes later.
func (e *election) leaderResigned(now time.Time) {
	if at := now.Add(-leaderTimeout); at.Before(e.leaderSeenAt) {
		e.leaderSeenAt = at
	}
}

// campaign takes the lead when there is no leader, when this controller led before its
// restart, or when the lease value has not changed for long.
func (c *Core) campaign() {
	if c.leader != nil || !c.leaseWriter.ready(c.loop.Now) || c.shuttingDown || c.loop.Now.Before(c.noBlockUntil) {
		return
	}
	if c.leaseReader.unreadableVersion > c.view.LeaseVersion {
		return // another controller leads, in a form that cannot be read here
	}
	ledBefore := c.view.Lease.Leader == c.view.Self
	silence := c.loop.Now.Sub(c.election.leaderSeenAt)
	if c.view.LeaseVersion != 0 && !ledBefore && silence < c.electionTimeout() {
		return
	}
	c.writeLease(c.candidacy(), func() {})
}

// electionTimeout is how long this controller waits for a sign of the leader.
func (c *Core) electionTimeout() time.Duration {
	timeout := leaderTimeout
	for name := range c.view.Peers {
		if name < c.view.Self {
			timeout += candidateStagger
		}
	}
	return timeout
}

// candidacy is the lease value of a new term led by this controller.
func (c *Core) candidacy() wire.LeaseRecord {
	rec := c.view.Lease.Clone()
	rec.Term++
	rec.Leader, rec.Incarnation = c.view.Self, c.blockLease.Incarnation()
	rec.Sequence++
	leader.GrantAnew(&rec, c.view.Self, c.blockLease.Incarnation())
	return rec
}
