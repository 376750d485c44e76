package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/core/sched"
	"fawncove/internal/wire"
)

// Keys of the state service. All that every controller watches is below
// root.
const (
	root          = "fc/"
	jobPrefix     = root + "j/"
	endPrefix     = root + "t/"
	renewalPrefix = root + "r/"
	leaseKey      = leasevalue.Key
	// maxEndedJobs bounds the memory for jobs that are over.
	maxEndedJobs = 20000
)

// ---- reading everything at the start, and watching it afterwards

// readState reads all jobs that are not over, page by page, then the lease value.
func (c *Core) readState() {
	if c.loading || c.loop.Now.Before(c.retryAt) {
		return
	}
	c.loading = true
	c.readGeneration(func(outcome eventloop.Outcome) {
		if (outcome != eventloop.Succeeded && outcome != eventloop.NotFound) || c.stateUnsettled() {
			c.readFailed("generation", outcome)
			return
		}
		c.readJobs(c.loop.Now, "", 0, map[string]bool{})
	})
}

func (c *Core) readFailed(what string, outcome eventloop.Outcome) {
	c.log.Info("state service does not answer", "reading", what, "outcome", outcome)
	c.loading = false
	c.retryAt = c.loop.Now.Add(500 * time.Millisecond)
}

// readJobs reads a page of jobs and those behind it. asked is when the first one
// was asked for: what has changed since may be on a page that was read before.
func (c *Core) readJobs(asked time.Time, after string, rev uint64, seen map[string]bool) {
	c.loop.Emit(eventloop.StateRange{Prefix: jobPrefix, After: after, ID: c.loop.Call(func(d eventloop.Completion) {
		if d.Outcome != eventloop.Succeeded {
			c.readFailed("jobs", d.Outcome)
			return
		}
		// Changes made while the pages are read come again with the watch,
		// which starts at the revision of the first page.
		if rev == 0 {
			rev = d.Page.Revision
		}
		for _, p := range d.Page.Pairs {
			seen[p.Key] = true
			c.applyPut(p.Key, p.Value, p.Version)
			after = p.Key
		}
		if d.Page.More && len(d.Page.Pairs) > 0 {
			c.readJobs(asked, after, rev, seen)
			return
		}
		for id, j := range c.owner.Jobs() {
			if !seen[jobPrefix+id] && j.Version <= rev {
				c.owner.EndJob(j)
			}
		}
		c.readLease(func(outcome eventloop.Outcome) {
			if outcome != eventloop.Succeeded && outcome != eventloop.NotFound {
				c.readFailed("leases", outcome)
				return
			}
			if c.stateUnsettled() {
				c.readFailed("generation", outcome)
				return
			}
			c.loading, c.loaded, c.previousState = false, true, recovery.KnownState{}
			c.revision = rev
			c.owner.ChangesKnown(rev, asked)
			c.cancelledRevision = max(c.cancelledRevision, rev, 1) // an earlier process may have told of any
			c.leaderSeenAt = c.loop.Now
			if b, ok := c.view.Lease.Blocks[c.view.Self]; ok && b.Incarnation >= c.blockLease.Incarnation() && !c.blockLease.Held() {
				c.blockLease.RaiseIncarnation(b.Incarnation)
			}
			if c.view.Lease.Leader == c.view.Self && c.view.Lease.Incarnation >= c.blockLease.Incarnation() && c.leader == nil {
				c.blockLease.RaiseIncarnation(c.view.Lease.Incarnation)
			}
			c.nextRenewalAt = c.loop.Now
			c.log.Info("state read", "jobs", len(c.owner.Jobs()), "revision", rev)
			c.watchState()
			c.campaign()
			c.renewBlockLease()
		})
	})})
}

// watchState keeps one watch open over everything below root.
func (c *Core) watchState() {
	if c.watching || c.loop.Now.Before(c.watchAt) {
		return
	}
	c.watching = true
	sent := c.loop.Now
	// Many changes in a row are read together, to save requests.
	pause := time.Duration(float64(time.Second) / max(1, 0.4*c.view.Settings.Cluster.State.RPS/float64(c.controllerCount())))
	c.loop.Emit(eventloop.StateWatch{Prefix: root, After: c.revision, Hold: cluster.WatchHold, ID: c.loop.Call(func(d eventloop.Completion) {
		c.watching = false
		c.watchAt = sent.Add(pause)
		switch d.Outcome {
		case eventloop.Succeeded:
			for _, e := range d.Changes.Log {
				if e.Put != "" {
					c.applyPut(e.Put, e.Value, e.Version)
				} else {
					c.applyDelete(e.Delete, e.Version)
				}
			}
			c.revision = max(c.revision, d.Changes.Revision)
			c.owner.ChangesKnown(c.revision, sent)
			c.watchState()
		case eventloop.Compacted:
			c.log.Info("watch too old, reading again")
			c.loaded = false
			c.readState()
		default:
			c.watchAt = c.loop.Now.Add(200 * time.Millisecond)
		}
	})})
}

func (c *Core) controllerCount() int { return c.view.Settings.Controllers() }

// applyPut takes a changed key into the picture.
func (c *Core) applyPut(key string, value []byte, version uint64) {
	switch {
	case key == leaseKey:
		c.applyLeaseValue(wire.Pair{Key: key, Value: value, Version: version})
	case strings.HasPrefix(key, leasevalue.PagePrefix):
		if _, err := c.leasePages.ReadPage(key, value); err != nil {
			c.log.Error("lease page", "err", err)
		}
		if c.incompleteLease != nil {
			c.applyLeaseValue(*c.incompleteLease)
		}
	case strings.HasPrefix(key, jobPrefix):
		env, rec, err := c.decodeJob(key, value)
		if err != nil {
			c.log.Error("job record", "key", key, "err", err)
			return
		}
		c.applyJob(rec, owner.RecordInfo{Version: version, FirstVersion: env.FirstVersion, Form: env.Form})
	case strings.HasPrefix(key, endPrefix):
		var rec wire.EndRecord
		err := wire.Decode(value, &rec)
		if err == nil && rec.Form > wire.EndForm && c.view.Params.Levels.KnowsLevels() {
			err = wire.FormError{What: "end record", Form: rec.Form}
		}
		if err != nil {
			c.log.Error("end record", "key", key, "err", err)
			return
		}
		c.applyEnd(key[len(endPrefix):], rec, version)
	case key == generationKey:
		c.applyGeneration(value, version)
	case strings.HasPrefix(key, renewalPrefix):
		c.applyStoredRenewal(value)
	case strings.HasPrefix(key, LevelPrefix):
		c.applyLevel(key, value, version)
	}
}

func (c *Core) applyDelete(key string, version uint64) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		if j := c.owner.Job(id); j != nil && version >= j.Version {
			c.owner.EndJob(j)
		}
	} else if strings.HasPrefix(key, LevelPrefix) {
		c.applyLevel(key, nil, version)
	}
}

// decodeJob reads a job's record, in its envelope or as earlier versions store it.
func (c *Core) decodeJob(key string, value []byte) (env wire.Envelope, rec wire.JobRecord, err error) {
	if env, err = c.view.Unwrap(key, value); err != nil {
		return env, rec, err
	}
	unknown, err := wire.DecodeKeeping(env.Value, &rec)
	if err != nil {
		return env, rec, err
	}
	if rec.ID != key[len(jobPrefix):] {
		return env, rec, fmt.Errorf("is of job %q", rec.ID)
	}
	rec.Unknown = unknown
	return env, rec, nil
}

func (c *Core) applyJob(rec wire.JobRecord, at owner.RecordInfo) {
	if _, ok := c.ended[rec.ID]; ok {
		return
	}
	c.owner.ApplyJob(rec, at)
}

// applyEnd notes that a job is over. An end is final.
func (c *Core) applyEnd(id string, rec wire.EndRecord, version uint64) {
	if rec.State == wire.Cancelled {
		c.cancelledRevision = max(c.cancelledRevision, version)
	}
	if c.recovery != nil {
		// Decided on what is left of the state, by a record that may have been over
		// before the loss; it says nothing against what was known then.
		return
	}
	if _, ok := c.ended[id]; !ok {
		c.ended[id] = rec
		c.endedOrder = append(c.endedOrder, id)
		if len(c.endedOrder) > maxEndedJobs {
			delete(c.ended, c.endedOrder[0])
			c.endedOrder = c.endedOrder[1:]
		}
	}
	if j := c.owner.Job(id); j != nil {
		c.owner.EndJob(j)
	}
}

// JobKey is where a job's record is stored.
func (c *Core) JobKey(id string) string { return jobPrefix + id }

// LeaseUnchanged are the conditions under which the lease value is as this controller knows it,
// of the generation that it knows.
func (c *Core) LeaseUnchanged() []wire.Condition {
	return []wire.Condition{{Key: leaseKey, Version: c.view.LeaseVersion}, {Key: generationKey, Version: c.storedGeneration.Version}}
}

// UserWrites tells how many submissions are being stored, and when one last found no
// room in the write limit.
func (c *Core) UserWrites() (pending int, short time.Time) {
	return c.userWrites, c.userWritesThrottledAt
}

// StoreEnd decides a job's end by a compare on the version of its record, so
// that of a completion and a cancellation exactly one wins. then is told
// whether the end is stored; tries bounds the repeats.
func (c *Core) StoreEnd(j *owner.Job, state string, tries int, then func(stored bool)) {
	id := j.Record.ID
	done, _ := j.Counts()
	rec := wire.EndRecord{State: state, Tasks: j.Record.Tasks, Done: done}
	if c.view.FeatureOpen(feature.Envelope) {
		rec.Form = wire.EndForm
	}
	txn := wire.Txn{
		If:   []wire.Condition{{Key: jobPrefix + id, Version: j.Version}, {Key: endPrefix + id}},
		Then: []wire.Op{{Delete: jobPrefix + id}, {Put: endPrefix + id, Value: rec}},
	}
	j.EndInFlight = true
	c.loop.Emit(eventloop.StateTxn{Txn: txn, ID: c.loop.Call(func(d eventloop.Completion) {
		j.EndInFlight = false
		j.RetryEndAt = c.loop.Now.Add(300 * time.Millisecond)
		switch {
		case d.Outcome == eventloop.Succeeded:
			c.owner.Served.Ended(&j.Record.Job, state == wire.Cancelled, j.Started() || j.ReportedCounts != [2]int{})
			c.applyEnd(id, rec, d.Txn.Revision)
			then(true)
		case d.Outcome == eventloop.NoAnswer:
			// Perhaps done, and only the answer is lost: whoever waits is told what is
			// there. What is not there yet may still come, and is asked for again.
			job, begun := j.Record.Job, j.Started() || j.ReportedCounts != [2]int{}
			c.refresh(id, func(bool) {
				if e, over := c.ended[id]; over && e.State == state {
					c.owner.Served.Ended(&job, state == wire.Cancelled, begun)
				}
				then(c.HasEnded(id))
			})
		case d.Outcome == eventloop.Conflict:
			c.refresh(id, func(ok bool) {
				if j := c.owner.Job(id); ok && j != nil && !j.Ended && tries > 0 {
					c.StoreEnd(j, state, tries-1, then)
					return
				}
				then(ok)
			})
		default:
			then(false)
		}
	})})
}

// refresh reads a job's records again; then learns whether that worked.
func (c *Core) refresh(id string, then func(ok bool)) {
	if then == nil {
		then = func(bool) {}
	}
	c.loop.Emit(eventloop.StateGet{Key: endPrefix + id, ID: c.loop.Call(func(d eventloop.Completion) {
		switch d.Outcome {
		case eventloop.Succeeded:
			c.applyPut(endPrefix+id, d.Pair.Value, d.Pair.Version)
			then(true)
			return
		case eventloop.NotFound:
		default:
			then(false)
			return
		}
		// Not over a moment ago. The job's record is read second: should the
		// job end in between, the record is missing and nothing is concluded.
		known := c.owner.Job(id) != nil
		c.loop.Emit(eventloop.StateGet{Key: jobPrefix + id, ID: c.loop.Call(func(d eventloop.Completion) {
			switch d.Outcome {
			case eventloop.Succeeded:
				c.applyPut(jobPrefix+id, d.Pair.Value, d.Pair.Version)
				then(true)
			case eventloop.NotFound:
				c.confirmMissing(id, known, then)
			default:
				then(false)
			}
		})})
	})})
}

// refreshAfterConflict is refresh after a transaction that failed by these keys. A record that has
// come, where none was known, needs no reading of its end first.
func (c *Core) refreshAfterConflict(id string, failed []string, then func(ok bool)) {
	if c.owner.Job(id) != nil || !slices.Contains(failed, jobPrefix+id) {
		c.refresh(id, then)
		return
	}
	c.loop.Emit(eventloop.StateGet{Key: jobPrefix + id, ID: c.loop.Call(func(d eventloop.Completion) {
		switch d.Outcome {
		case eventloop.Succeeded:
			c.applyPut(jobPrefix+id, d.Pair.Value, d.Pair.Version)
			then(true)
		case eventloop.NotFound: // over since
			c.refresh(id, then)
		default:
			then(false)
		}
	})})
}

// confirmMissing reads a job's end once more whose record was not there. A record goes in
// the same transaction in which the end comes: if neither is there, the state has
// lost data. known says that the job was known when its record was asked for: one that
// has come since, by a submission that was carried out late, proves nothing.
func (c *Core) confirmMissing(id string, known bool, then func(ok bool)) {
	j := c.owner.Job(id)
	c.loop.Emit(eventloop.StateGet{Key: endPrefix + id, ID: c.loop.Call(func(d eventloop.Completion) {
		switch {
		case d.Outcome == eventloop.Succeeded:
			c.applyPut(endPrefix+id, d.Pair.Value, d.Pair.Version)
		case d.Outcome == eventloop.NotFound && known && j != nil && !j.Ended && !j.EndInFlight:
			c.startRecovery("a job is gone from it: "+id, c.highestRevision, 0)
		}
		then(d.Outcome == eventloop.Succeeded)
	})})
}

// ---- the users' side

func (c *Core) jobAnswer(j *owner.Job) wire.JobAnswer {
	a := wire.JobAnswer{ID: j.Record.ID, State: wire.Pending, Done: j.ReportedCounts[0], Running: j.ReportedCounts[1]}
	if c.owner.Owns(j) {
		a.Done, a.Running = j.Counts()
	}
	if a.Running > 0 {
		a.State = wire.Running
	}
	return a
}

func endAnswer(id string, e wire.EndRecord) wire.JobAnswer {
	return wire.JobAnswer{ID: id, State: e.State, Done: e.Done}
}

// freshnessChecker checks what this controller knows of jobs against the state
// service before anybody is told: the questions that have come up since the last
// check go into the next one, as conditions of a transaction that changes nothing.
// That way no answer is older than another controller's. A check does not wait for
// the one before it, whose answer may be lost: what is asked meanwhile goes out on
// its own, and what got no answer is asked again.
//
// Submissions and cancellations go first, then polls for jobs that are known
// here, then those for ids that may be anybody's guess. What could not be
// answered before its user has given up is refused at once instead.
type freshnessChecker struct {
	nextCheckAt time.Time // not before then, to keep within the request limit
	// retries holds the questions of checks that got no answer, or failed by another
	// job. They go out by themselves: among new ones they would fail time and again
	// by what these ask about.
	retries      []freshnessQuery
	lastWasRetry bool // the last check was of those
	queues       [priorities][]freshnessQuery
}

// The ranks of questions, in the order in which they are answered.
const (
	priorityChange = iota
	priorityKnownJob
	priorityUnknownJob
	priorities
)

// How long a question may wait for an answer of the state service: users wait 2 s for
// an answer to a poll, 5 s for others.
const (
	queryTimeout  = 1500 * time.Millisecond
	changeTimeout = 3 * time.Second
)

// freshnessInterval spaces the checks, to keep to a part of the request limit.
func (c *Core) freshnessInterval() time.Duration {
	return time.Duration(float64(time.Second) / max(1, 0.25*c.view.Settings.Cluster.State.RPS/float64(c.controllerCount())))
}

// maxFreshnessBatch is how many questions go into a check: two conditions a question and one
// for the generation, four times txn_ops conditions at most.
func (c *Core) maxFreshnessBatch() int { return max(1, 2*c.view.Settings.Cluster.State.TxnOps-1) }

// stateReachable tells whether the state service answers: its watch does so every two
// seconds if nothing else does. Where it does not, users are told so at once.
func (c *Core) stateReachable() bool { return c.loop.Now.Sub(c.lastStateAnswer) < stateTimeout }

// stateTimeout is after what silence the state service counts as out of reach.
const stateTimeout = 4 * time.Second

type freshnessQuery struct {
	id       string
	deadline time.Time // no answer helps after that
	// answer gets the job, or its end, or neither when it does not exist; ok
	// is false when the state service did not say.
	answer func(j *owner.Job, end *wire.EndRecord, ok bool)
}

// checkFreshness answers a question about a job from what is surely current. poll says that
// the question may be put again.
func (c *Core) checkFreshness(id string, poll bool, then func(j *owner.Job, end *wire.EndRecord, ok bool)) {
	if e, ok := c.ended[id]; ok {
		then(nil, &e, true) // an end is final
		return
	}
	rank, patience := priorityChange, changeTimeout
	if poll {
		if rank = priorityUnknownJob; c.owner.Job(id) != nil {
			rank = priorityKnownJob
		}
		patience = queryTimeout
	}
	ahead := len(c.freshness.retries)
	for r := range rank + 1 {
		ahead += len(c.freshness.queues[r])
	}
	if !c.stateReachable() || ahead >= int(queryTimeout/c.freshnessInterval())*c.maxFreshnessBatch() {
		then(nil, nil, false)
		return
	}
	c.freshness.queues[rank] = append(c.freshness.queues[rank], freshnessQuery{id, c.loop.Now.Add(patience), then})
	c.sendFreshnessCheck()
}

// nextBatch returns the questions of the next check.
func (v *freshnessChecker) nextBatch(most int) (batch []freshnessQuery) {
	if len(v.retries) > 0 && !v.lastWasRetry {
		n := min(len(v.retries), most)
		batch, v.retries, v.lastWasRetry = v.retries[:n:n], v.retries[n:], true
		return batch
	}
	for r, queue := range v.queues {
		n := min(len(queue), most-len(batch))
		batch = append(batch, queue[:n]...)
		v.queues[r] = slices.Clone(queue[n:])
	}
	if v.lastWasRetry = false; len(batch) == 0 && len(v.retries) > 0 {
		return v.nextBatch(most)
	}
	return batch
}

// retryOrFail asks a question again, or gives it up when no answer helps any more.
func (c *Core) retryOrFail(q freshnessQuery) {
	if c.loop.Now.Before(q.deadline) && c.stateReachable() {
		c.freshness.retries = append(c.freshness.retries, q)
	} else {
		q.answer(nil, nil, false)
	}
}

// answerQuery answers a question after the state service has been asked. current says that
// what is known here of a job that is not over is not older than the question, none
// that there was no such job by then; it may have come since.
func (c *Core) answerQuery(q freshnessQuery, current, none bool) {
	if e, over := c.ended[q.id]; over {
		q.answer(nil, &e, true)
	} else if j := c.owner.Job(q.id); current && j != nil && !j.Ended {
		q.answer(j, nil, true)
	} else {
		q.answer(nil, nil, none)
	}
}

// sendFreshnessCheck sends the next check.
func (c *Core) sendFreshnessCheck() {
	if c.loop.Now.Before(c.freshness.nextCheckAt) {
		return
	}
	batch := c.freshness.nextBatch(c.maxFreshnessBatch())
	if len(batch) == 0 {
		return
	}
	c.freshness.nextCheckAt = c.loop.Now.Add(c.freshnessInterval())
	conds, known := c.freshnessConditions(batch)
	c.loop.Emit(eventloop.StateTxn{Txn: wire.Txn{If: conds}, ID: c.loop.Call(func(d eventloop.Completion) {
		c.handleFreshnessCheck(batch, known, &d)
		c.sendFreshnessCheck()
	})})
}

// freshnessConditions says what is known here of the jobs that are asked about, and which of
// them are known.
func (c *Core) freshnessConditions(batch []freshnessQuery) (conds []wire.Condition, known map[string]bool) {
	conds, known = make([]wire.Condition, 0, 2*len(batch)+1), make(map[string]bool, len(batch))
	// The generation is part of the compare: one who was cut off while the state lost
	// data need not see it by the revision, which has gone on since from below.
	if c.view.Params.Levels.KnowsLevels() {
		conds = append(conds, wire.Condition{Key: generationKey, Version: c.storedGeneration.Version})
	}
	for _, q := range batch {
		if _, ok := known[q.id]; ok {
			continue
		}
		j := c.owner.Job(q.id)
		if known[q.id] = j != nil && !j.Ended; known[q.id] {
			conds = append(conds, wire.Condition{Key: jobPrefix + q.id, Version: j.Version})
		} else {
			conds = append(conds, wire.Condition{Key: jobPrefix + q.id}, wire.Condition{Key: endPrefix + q.id})
		}
	}
	return conds, known
}

// handleFreshnessCheck answers the questions of a check.
func (c *Core) handleFreshnessCheck(batch []freshnessQuery, known map[string]bool, d *eventloop.Completion) {
	failed := map[string]bool{}
	if d.Outcome == eventloop.Conflict {
		if slices.Contains(d.Txn.Failed, generationKey) {
			d.Outcome = eventloop.Unavailable // it says nothing that could be told
			c.readGeneration(func(eventloop.Outcome) {})
		}
		for _, key := range d.Txn.Failed {
			if len(key) > len(jobPrefix) {
				failed[key[len(jobPrefix):]] = true
			}
		}
	}
	changed := map[string][]freshnessQuery{} // by job
	for _, q := range batch {
		switch {
		case d.Outcome == eventloop.NoAnswer:
			c.retryOrFail(q)
		case d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict:
			q.answer(nil, nil, false)
		case failed[q.id]:
			if changed[q.id] = append(changed[q.id], q); len(changed[q.id]) > 1 {
				continue // one reading serves all who ask about it
			}
			c.refreshAfterConflict(q.id, d.Txn.Failed, func(ok bool) {
				for _, q := range changed[q.id] {
					c.answerQuery(q, ok, false)
				}
			})
		case d.Outcome == eventloop.Conflict:
			// Only what failed is sure to be listed; the rest is asked again.
			c.retryOrFail(q)
		default:
			c.answerQuery(q, true, !known[q.id])
		}
	}
}

// acceptsLookup tells whether a question about an id can be looked into here, and answers
// it if not.
func (c *Core) acceptsLookup(req uint64, id string) bool {
	switch {
	case !wire.ValidJobID(id):
		c.replyNotFound(req, true)
	case !c.serves():
		c.loop.Unavailable(req)
	default:
		return true
	}
	return false
}

// resumeSettleTime is how long after a standstill, or a time without the state service, nothing
// is sure to be unknown: the others have told by then what they have seen meanwhile,
// should the state have lost it.
const resumeSettleTime = 1500 * time.Millisecond

// knowsAllJobs tells whether a job that the state service does not have was never accepted.
func (c *Core) knowsAllJobs() bool {
	return c.recovery == nil && c.loop.Now.Sub(c.resumedAt) >= resumeSettleTime
}

// replyNotFound answers a question about a job that is not known: 404 when it is sure
// that there is none, or to come back.
func (c *Core) replyNotFound(req uint64, none bool) {
	if none && c.knowsAllJobs() {
		c.loop.Reply(req, eventloop.ReplyNotFound, wire.ErrorAnswer{Error: "no such job"})
	} else {
		c.loop.Unavailable(req)
	}
}

func (c *Core) handleQuery(e eventloop.QueryRequest) {
	if !c.acceptsLookup(e.Req, e.ID) {
		return
	}
	c.checkFreshness(e.ID, true, func(j *owner.Job, end *wire.EndRecord, ok bool) {
		if !c.replyJob(e.Req, e.ID, j, end) {
			c.replyNotFound(e.Req, ok)
		}
	})
}

func (c *Core) handleCancel(e eventloop.CancelRequest) {
	if !c.acceptsLookup(e.Req, e.ID) {
		return
	}
	c.checkFreshness(e.ID, false, func(j *owner.Job, end *wire.EndRecord, ok bool) {
		switch {
		case end != nil:
			c.loop.Reply(e.Req, eventloop.ReplyOK, endAnswer(e.ID, *end))
		case j != nil:
			c.StoreEnd(j, wire.Cancelled, 3, func(bool) {
				if end, over := c.ended[e.ID]; over && c.recovery == nil {
					c.loop.Reply(e.Req, eventloop.ReplyOK, endAnswer(e.ID, end))
				} else {
					c.loop.Unavailable(e.Req)
				}
			})
		default:
			c.replyNotFound(e.Req, ok)
		}
	})
}

// refusal tells why a job can never run, or that this cannot be said yet.
func (c *Core) refusal(j *wire.Job) (code eventloop.ReplyCode, why string) {
	if len(c.view.MachineTypes) == 0 {
		return eventloop.ReplyUnavailable, "machine types not known yet"
	}
	if _, known := c.view.TeamOf(j.Team); !known {
		return eventloop.ReplyUnprocessable, "unknown team"
	}
	team := c.view.LimitOf(j.Team)
	need := sched.Resources{CPUs: j.CPUs, GPUs: j.GPUs, MemoryGB: j.MemoryGB}
	fits := false
	for name, t := range c.view.MachineTypes {
		if (len(j.Types) == 0 || slices.Contains(j.Types, name)) &&
			(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && need.Fits(cluster.MachineSize(t)) {
			fits = true
		}
	}
	if !fits {
		return eventloop.ReplyUnprocessable, "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
	}
	if !team.Allows(sched.Resources{}, sched.Resources{}.Add(need, n)) {
		return eventloop.ReplyUnprocessable, "more than the team's limit"
	}
	return eventloop.NoReply, ""
}

// replyJob answers a question about a job that is there, or over. It returns
// false when there is neither.
func (c *Core) replyJob(req uint64, id string, j *owner.Job, end *wire.EndRecord) bool {
	switch {
	case end != nil:
		c.loop.Reply(req, eventloop.ReplyOK, endAnswer(id, *end))
	case j != nil:
		c.loop.Reply(req, eventloop.ReplyOK, c.jobAnswer(j))
	default:
		return false
	}
	return true
}

func (c *Core) handleSubmit(e eventloop.SubmitRequest) {
	if e.Job.ID == "" {
		c.loop.Reply(e.Req, eventloop.ReplyInvalid, wire.ErrorAnswer{Error: fmt.Sprint(e.Err)})
		return
	}
	if !c.serves() {
		c.loop.Unavailable(e.Req)
		return
	}
	id := e.Job.ID
	code, why := eventloop.ReplyInvalid, fmt.Sprint(e.Err)
	if e.Err == nil {
		code, why = c.refusal(&e.Job)
	}
	if code != eventloop.NoReply || c.owner.Job(id) != nil || c.HasEnded(id) {
		c.rejectSubmission(e.Req, id, code, why)
		return
	}
	if !c.stateReachable() {
		c.loop.Unavailable(e.Req)
		return
	}
	rec := wire.JobRecord{Job: e.Job, Shard: c.chooseShard(&e.Job), SubmittedAtMs: c.loop.Now.UnixMilli()}
	rec.Owner = c.partitionOwner(rec.Team)
	if rec.Shard != "" {
		rec.Owner = c.partitionOwner(rec.Shard)
	}
	c.storeJob(e.Req, rec, c.view.FeatureOpen(feature.Envelope))
}

// rejectSubmission answers a submission that is not to be stored. A known job is answered as it
// stands, whatever the body says; the code, if it is one that ends the user's tries,
// is told only once it is sure that the job was never accepted.
func (c *Core) rejectSubmission(req uint64, id string, code eventloop.ReplyCode, why string) {
	c.checkFreshness(id, false, func(j *owner.Job, end *wire.EndRecord, ok bool) {
		switch {
		case c.replyJob(req, id, j, end):
		case !ok || !c.knowsAllJobs() || code == eventloop.ReplyUnavailable || code == eventloop.NoReply:
			c.loop.Unavailable(req)
		default:
			c.loop.Reply(req, code, wire.ErrorAnswer{Error: why})
		}
	})
}

// storeJob stores the record of a new job and answers its user.
func (c *Core) storeJob(req uint64, rec wire.JobRecord, wrapped bool) {
	id, form := rec.ID, 0
	var value any = rec
	if wrapped {
		env, err := wire.Wrap(rec, c.view.Lease.Generation, 0)
		if err != nil {
			c.log.Error("job record", "job", id, "err", err)
			c.loop.Unavailable(req)
			return
		}
		value, form = env, env.Form
	}
	c.userWrites++
	c.owner.Served.Submitted(&rec.Job)
	c.loop.Emit(eventloop.StateTxn{
		Txn: wire.Txn{
			If:   []wire.Condition{{Key: jobPrefix + id}, {Key: endPrefix + id}},
			Then: []wire.Op{{Put: jobPrefix + id, Value: value}},
		},
		ID: c.loop.Call(func(d eventloop.Completion) {
			c.userWrites--
			if d.Outcome != eventloop.Succeeded && d.Outcome != eventloop.Conflict && d.Outcome != eventloop.NoAnswer {
				c.userWritesThrottledAt = c.loop.Now
			}
			switch d.Outcome {
			case eventloop.Succeeded:
				c.owner.Served.Accepted(&rec.Job)
				c.applyJob(rec, owner.RecordInfo{Version: d.Txn.Revision, Form: form})
				if c.recovery != nil {
					c.loop.Unavailable(req) // perhaps it was stored in what is lost
					return
				}
				c.log.Debug("accepted", "job", id, "class", rec.Class, "tasks", rec.Tasks, "image", rec.Image, "owner", rec.Owner)
				c.loop.Reply(req, eventloop.ReplyCreated, wire.JobAnswer{ID: id, State: wire.Pending})
			case eventloop.Conflict, eventloop.NoAnswer: // it is known already, or perhaps stored and only the answer lost
				c.refreshAfterConflict(id, d.Txn.Failed, func(ok bool) {
					if d.Outcome == eventloop.NoAnswer && (c.HasEnded(id) || (ok && c.owner.Job(id) != nil)) {
						c.owner.Served.Accepted(&rec.Job)
					}
					if end, over := c.ended[id]; over {
						c.replyJob(req, id, nil, &end)
					} else if j := c.owner.Job(id); !ok || j == nil || j.Ended || !c.replyJob(req, id, j, nil) {
						c.loop.Unavailable(req)
					}
				})
			case eventloop.Rejected:
				if wrapped { // perhaps only the envelope is too much
					c.storeJob(req, rec, false)
					return
				}
				c.rejectSubmission(req, id, eventloop.ReplyInvalid, "too large")
			default:
				c.loop.Unavailable(req)
			}
		}),
	})
}

// WorkersServed tells whether workers may be answered: jobs are known, and this
// controller is not the only one refused by the state service; then others know
// who owns the machines by now.
//
// While the state is being rebuilt workers are answered with their own tokens, as
// those of others are, so that what runs lives on.
func (c *Core) WorkersServed() bool {
	return c.recovery != nil || c.serves() && (c.blockLease.Held() || !c.isolatedFromState())
}

// HasEnded tells whether a job is known to be over.
func (c *Core) HasEnded(id string) bool { _, ok := c.ended[id]; return ok }

func (c *Core) partitionOwner(team string) string { return c.view.Lease.Partitions[team] }
