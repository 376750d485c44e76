package controller

import (
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/owner"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// How long a lookup may wait for the state service. Users wait 2 s for the answer to a
// query and 5 s for others; what cannot be answered before is refused at once.
const (
	queryTimeout  = 1500 * time.Millisecond
	changeTimeout = 3 * time.Second
)

// lookup is what is known of a job after a freshness check: the job, its end, or
// neither.
type lookup struct {
	job *owner.Job
	end *wire.EndRecord
	// absent says that the state service had neither when it was asked, nor did any other
	// controller know of it. Without it nothing is known.
	absent bool
}

// lookupPurpose says what a lookup is for.
type lookupPurpose int

const (
	forChange lookupPurpose = iota // a submission or a cancellation
	forQuery
)

// The priorities of lookups, the most urgent first: changes, queries of jobs that are
// known here, then queries of ids that may not exist at all.
const (
	priorityChange = iota
	priorityKnownJob
	priorityUnknownJob
	priorities
)

// pendingLookup is a lookup that waits for a freshness check.
type pendingLookup struct {
	id       string
	deadline time.Time // an answer is of no use after it
	answer   func(lookup)
	// atLeast is how far the job has come as some controller knew it before the state
	// service is asked: if it has not come as far there, the state has lost data.
	atLeast rank
	// stateOnly says that no user is answered by it: no majority is asked.
	stateOnly bool
}

// freshnessChecker makes reads of jobs linearizable: before anybody is answered, what
// this controller knows is compared with the state service. The lookups that have come
// in since the last check go into the next one, as conditions of a transaction that
// changes nothing, so no answer is older than another controller's.
//
// A check does not wait for the one before it, whose answer may be lost: lookups that
// come in meanwhile go out in a check of their own, and those without an answer go out
// again.
type freshnessChecker struct {
	nextCheckAt time.Time // spaces the checks
	queues      [priorities][]pendingLookup
	// retries holds the lookups of checks that got no answer, or failed by another
	// job. They go out by themselves: among new ones they would fail again and again
	// by the jobs that those ask about.
	retries      []pendingLookup
	lastWasRetry bool
	refusedBatch int // lookups of the smallest check that was refused as it stood; 0: none was
}

// countAhead returns how many lookups go out before a new one of a priority.
func (f *freshnessChecker) countAhead(priority int) int {
	n := len(f.retries)
	for p := range priority + 1 {
		n += len(f.queues[p])
	}
	return n
}

// nextBatch takes the lookups of the next check. Retries and new lookups take turns.
func (f *freshnessChecker) nextBatch(limit int) (batch []pendingLookup) {
	if len(f.retries) > 0 && !f.lastWasRetry {
		n := min(len(f.retries), limit)
		batch, f.retries, f.lastWasRetry = f.retries[:n:n], f.retries[n:], true
		return batch
	}
	for p, queue := range f.queues {
		n := min(len(queue), limit-len(batch))
		batch = append(batch, queue[:n]...)
		f.queues[p] = slices.Clone(queue[n:])
	}
	f.lastWasRetry = false
	if len(batch) == 0 && len(f.retries) > 0 {
		return f.nextBatch(limit)
	}
	return batch
}

// failQueued answers all lookups that have not gone out yet, or are to go out again: nothing is
// known.
func (f *freshnessChecker) failQueued() {
	retries := f.retries
	f.retries = nil
	for _, q := range retries {
		q.answer(lookup{})
	}
	for p, queue := range f.queues {
		f.queues[p] = nil
		for _, q := range queue {
			q.answer(lookup{})
		}
	}
}

// freshnessInterval spaces the checks.
func (c *Core) freshnessInterval() time.Duration { return c.requestInterval(freshnessRequestShare) }

// maxFreshnessBatch is how many lookups a check may have. A transaction takes four
// times txn_ops conditions: two for each lookup, and one for the generation.
func (c *Core) maxFreshnessBatch() int {
	batch := 2*c.view.Settings.Cluster.State.TxnOps - 1
	if refused := c.freshness.refusedBatch; refused > 0 {
		batch = min(batch, refused/2)
	}
	return max(1, batch)
}

// lookUpJob looks a job up, and answers from what is known to be current. It answers at once when
// the job has ended and a majority of the controllers knows that, as an end is final, and when no
// answer can be expected in time.
func (c *Core) lookUpJob(id string, purpose lookupPurpose, answer func(lookup)) {
	priority, timeout := c.freshnessPriority(id, purpose)
	q := pendingLookup{id: id, deadline: c.loop.Now.Add(timeout), answer: answer}
	end, ended := c.ended.get(id)
	switch {
	case c.ended.records[id].told:
		answer(lookup{end: &end})
	case ended:
		c.answerLookup(q, false, false)
	default:
		c.queueLookup(q, priority)
	}
}

// queueLookup has a lookup go out with the next check, unless too many wait already.
func (c *Core) queueLookup(q pendingLookup, priority int) {
	maxWaiting := int(queryTimeout/c.freshnessInterval()) * c.maxFreshnessBatch()
	if !c.stateReachable() || c.freshness.countAhead(priority) >= maxWaiting {
		q.answer(lookup{})
		return
	}
	c.freshness.queues[priority] = append(c.freshness.queues[priority], q)
	c.sendFreshnessCheck()
}

func (c *Core) freshnessPriority(id string, purpose lookupPurpose) (priority int, timeout time.Duration) {
	switch {
	case purpose == forChange:
		return priorityChange, changeTimeout
	case c.owner.Job(id) != nil:
		return priorityKnownJob, queryTimeout
	default:
		return priorityUnknownJob, queryTimeout
	}
}

// sendFreshnessCheck sends the next check, if it is due and there are lookups.
func (c *Core) sendFreshnessCheck() {
	if c.loop.Now.Before(c.freshness.nextCheckAt) {
		return
	}
	batch := c.freshness.nextBatch(c.maxFreshnessBatch())
	if len(batch) == 0 {
		return
	}
	c.freshness.nextCheckAt = c.loop.Now.Add(c.freshnessInterval())
	conds, expected := c.freshnessConditions(batch)
	c.loop.Emit(eventloop.StateTxn{Txn: wire.Txn{If: conds}, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		c.handleFreshnessCheck(batch, expected, &d)
		c.sendFreshnessCheck()
	})})
}

// freshnessConditions returns what is known here of the jobs of a batch as conditions,
// and the versions of the jobs' records in them, 0 for a job that is not known.
func (c *Core) freshnessConditions(batch []pendingLookup) (conds []wire.Condition, expected map[string]wire.Revision) {
	conds, expected = make([]wire.Condition, 0, 2*len(batch)+1), make(map[string]wire.Revision, len(batch))
	// The generation is part of the compare: a controller that was cut off while the
	// state lost data need not notice by the revision, which has risen again since.
	if c.view.Params.Levels.KnowsLevels() {
		conds = append(conds, wire.Condition{Key: generationKey, Version: c.storedGeneration.Version})
	}
	for _, q := range batch {
		if _, ok := expected[q.id]; ok {
			continue
		}
		if j := c.owner.Job(q.id); j != nil && !j.Ended {
			expected[q.id] = j.Version
			conds = append(conds, wire.Condition{Key: jobPrefix + q.id, Version: j.Version})
		} else {
			expected[q.id] = 0
			conds = append(conds, wire.Condition{Key: jobPrefix + q.id}, wire.Condition{Key: endPrefix + q.id})
		}
	}
	return conds, expected
}

// handleFreshnessCheck answers the lookups of a check, or has them go out again.
func (c *Core) handleFreshnessCheck(batch []pendingLookup, expected map[string]wire.Revision, d *eventloop.Completion) {
	if d.Outcome == eventloop.Conflict && slices.Contains(d.Txn.Failed, generationKey) {
		d.Outcome = eventloop.Unavailable // no answer can be drawn from a state of another generation
		c.readGeneration(func(eventloop.Outcome) {})
	}
	switch d.Outcome {
	case eventloop.Succeeded:
		for _, q := range batch {
			c.answerLookup(q, true, expected[q.id] == 0)
		}
	case eventloop.Conflict:
		c.handleFreshnessConflict(batch, expected, d.Txn.Failed)
	case eventloop.NoAnswer:
		for _, q := range batch {
			c.retryOrFail(q)
		}
	case eventloop.Rejected:
		c.handleRefusedCheck(batch)
	default:
		for _, q := range batch {
			q.answer(lookup{})
		}
	}
}

// handleRefusedCheck has the lookups of a check that was refused as it stood go out again in
// smaller ones. One of a single lookup cannot be smaller.
func (c *Core) handleRefusedCheck(batch []pendingLookup) {
	c.log.Warn("freshness check refused by the state service", "lookups", len(batch))
	c.freshness.refusedBatch = len(batch)
	for _, q := range batch {
		if len(batch) > 1 {
			c.retryOrFail(q)
		} else {
			q.answer(lookup{})
		}
	}
}

// handleFreshnessConflict reads the jobs again by which a check failed. Only they are
// sure to differ, and nothing is known of the others: those go into another check.
func (c *Core) handleFreshnessConflict(batch []pendingLookup, expected map[string]wire.Revision, failedKeys []string) {
	failed := map[string]bool{}
	for _, key := range failedKeys {
		if len(key) > len(jobPrefix) {
			failed[key[len(jobPrefix):]] = true
		}
	}
	changed := map[string][]pendingLookup{} // by job
	for _, q := range batch {
		if !failed[q.id] {
			c.retryOrFail(q)
			continue
		}
		changed[q.id] = append(changed[q.id], q)
		if len(changed[q.id]) > 1 {
			continue // one reading serves all lookups of the job
		}
		c.refreshAfterConflict(q.id, conflictOf(q.id, failedKeys, expected[q.id]), func(read bool) {
			for _, q := range changed[q.id] {
				c.answerLookup(q, read, false)
			}
		})
	}
}

// retryOrFail has a lookup go out again, or gives it up when it would be too late.
func (c *Core) retryOrFail(q pendingLookup) {
	if c.loop.Now.Before(q.deadline) && c.stateReachable() && c.recovery == nil {
		c.freshness.retries = append(c.freshness.retries, q)
	} else {
		q.answer(lookup{})
	}
}

// answerLookup answers a lookup after the state service was asked. current says that
// what is known here of a running job is not older than the lookup; absent that there
// was no such job then, though it may have come since.
func (c *Core) answerLookup(q pendingLookup, current, absent bool) {
	found := c.standingOf(q.id)
	switch {
	case c.recovery != nil: // the check may have met a state that had lost data
		q.answer(lookup{})
	case found == standingAccepted && !current, found == standingUnknown && !absent:
		q.answer(lookup{})
	case rankOf(found) < q.atLeast:
		// What was known before the check was in the state: records are only gone with an end,
		// and ends never are.
		c.startRecovery(stateLoss{reason: lossOf(found), job: q.id, revisionSeen: c.loop.HighestRevision()})
		q.answer(lookup{})
	case q.stateOnly:
		q.answer(c.lookupOf(claim{q.id, found}))
	default:
		c.confirmLookup(q, found)
	}
}

// lossOf returns what shows a loss of data where another controller knows more of a job than the
// state service.
func lossOf(found peerpb.JobStanding) lossReason {
	if found == standingAccepted {
		return lossEnd
	}
	return lossJob
}

// lookupOf returns the outcome of a lookup that has found a job's standing.
func (c *Core) lookupOf(cl claim) lookup {
	end, ended := c.ended.get(cl.id)
	switch {
	case ended:
		return lookup{end: &end}
	case cl.standing == standingAccepted:
		return lookup{job: c.owner.Job(cl.id)}
	default:
		return lookup{absent: true}
	}
}

// confirmLookup answers a lookup once a majority of the controllers has confirmed what was found.
func (c *Core) confirmLookup(q pendingLookup, found peerpb.JobStanding) {
	cl := claim{q.id, found}
	c.confirmBy(cl, q.deadline, func(v verdict) {
		switch {
		case v == claimConfirmed:
			q.answer(c.lookupOf(cl))
		case c.recovery != nil, v == claimUnconfirmed:
			q.answer(lookup{})
		case rankOf(found) == rankEnded:
			c.resolveOtherEnd(q.id)
			q.answer(lookup{})
		default:
			q.atLeast = max(q.atLeast, rankOf(found)+1) // it may have come as far only after the check
			c.retryOrFail(q)
		}
	})
}
