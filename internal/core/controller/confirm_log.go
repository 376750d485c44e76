package controller

import "time"

const (
	// noMajorityLogInterval spaces the lines about answers that were refused.
	noMajorityLogInterval = 10 * time.Second
	// confirmLogInterval spaces the lines with the counts of rounds.
	confirmLogInterval = time.Minute
)

// confirmLog counts what became of claims, for the log.
type confirmLog struct {
	rounds, confirmed, superseded, unconfirmed int

	nextAt           time.Time // of the line with the counts
	nextNoMajorityAt time.Time
	refused          int // since the last line about it
}

// count counts the verdict on a claim.
func (l *confirmLog) count(v verdict) {
	switch v {
	case claimConfirmed:
		l.confirmed++
	case claimSuperseded:
		l.superseded++
	default:
		l.unconfirmed++
	}
}

// logNoMajority logs that an answer is refused, as a majority of the controllers could not be had,
// and who is out of reach.
func (c *Core) logNoMajority(q quorum) {
	l := &c.confirmer.log
	l.refused++
	if c.loop.Now.Before(l.nextNoMajorityAt) {
		return
	}
	l.nextNoMajorityAt = c.loop.Now.Add(noMajorityLogInterval)
	c.log.Warn("answers refused without a majority", "answers", l.refused, "majority", q.majority, "controllers", len(q.members)+1,
		"unreachable", c.unreachableMembers(q), "remembers", c.remembers())
	l.refused = 0
}

// logConfirmations logs the counts of rounds and their claims.
func (c *Core) logConfirmations() {
	l := &c.confirmer.log
	if l.rounds == 0 || c.loop.Now.Before(l.nextAt) {
		return
	}
	if !l.nextAt.IsZero() {
		c.log.Info("claims confirmed", "rounds", l.rounds, "confirmed", l.confirmed, "superseded", l.superseded, "unconfirmed", l.unconfirmed)
	}
	l.rounds, l.confirmed, l.superseded, l.unconfirmed = 0, 0, 0, 0
	l.nextAt = c.loop.Now.Add(confirmLogInterval)
}
