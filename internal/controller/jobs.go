package controller

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/leasevalue"
	"fawncove/internal/sched"
	"fawncove/internal/step"
	"fawncove/internal/wire"
)

// Keys of the state service. All that every controller watches is below
// root; pages of completed tasks have a prefix of their own, since only those
// who take up jobs read them.
const (
	root       = "fc/"
	jobPrefix  = root + "j/"
	endPrefix  = root + "t/"
	renPrefix  = root + "r/"
	leaseKey   = leasevalue.Key
	pagePrefix = "fp/"
	// endedMost bounds the memory for jobs that are over.
	endedMost = 20000
	// writesAtOnce bounds the ends under way, so that submissions and
	// cancellations find room in the write limit.
	writesAtOnce = 4
)

// job is a job that is not over, or whose tasks are not all gone yet.
type job struct {
	rec     wire.JobRecord
	version uint64
	first   uint64 // version under which it was first seen
	over    bool
	told    [2]int // counts heard from the owner, for display
	shown   [2]int // counts last sent to the peers

	// The owner's part.
	ready     bool // what earlier owners stored is known
	reading   bool // waits for a reading of the pages
	done      []uint64
	doneCount int
	queue     []int // tasks that wait, lowest number first
	runs      map[int]*run
	stored    []uint64 // completed tasks whose completion is stored
	readFrom  uint64   // the first reading of the pages that will do
	busy      bool     // a write is under way
	nextWrite time.Time
	notBefore time.Time // back-off after errors
	failures  int
	failedOn  map[string]bool
	waitSince time.Time
	spared    time.Time // not stopped for others before then
}

func (j *job) need() sched.Amount {
	return sched.Amount{CPUs: j.rec.CPUs, Cards: j.rec.Cards, MemoryGB: j.rec.MemoryGB}
}

func (j *job) running() int {
	n := 0
	for _, r := range j.runs {
		if r.state == wire.TaskRunning || r.state == wire.TaskFlushing {
			n++
		}
	}
	return n
}

// home is the key in the lease value at which the job's owner stands: its
// team, or the part of the team's jobs that it was filed under.
func (j *job) home() string {
	if j.rec.Part != "" {
		return j.rec.Part
	}
	return j.rec.Team
}

// owns tells whether this controller places the job's tasks.
func (c *Core) owns(j *job) bool {
	_, mine := c.homes[j.home()]
	return mine
}

// isStored tells whether the completion of task i is stored.
func (j *job) isStored(i int) bool { return j.stored != nil && j.stored[i/64]&(1<<(i%64)) != 0 }

func (j *job) isDone(i int) bool { return j.done != nil && j.done[i/64]&(1<<(i%64)) != 0 }

func taskName(id string, i int) string { return id + "/" + strconv.Itoa(i) }

// splitTask takes a task's name apart.
func splitTask(name string) (id string, i int, ok bool) {
	id, num, found := strings.Cut(name, "/")
	i, err := strconv.Atoi(num)
	return id, i, found && err == nil && i >= 0
}

// ---- reading everything at the start, and watching it afterwards

// load reads all jobs that are not over, page by page, then the lease value.
func (c *Core) load() {
	if c.loading || c.loop.Now.Before(c.retryAt) {
		return
	}
	c.loading = true
	c.loadPage("", 0, map[string]bool{})
}

func (c *Core) loadFailed(what string, status int) {
	c.log.Info("state service does not answer", "reading", what, "status", status)
	c.loading = false
	c.retryAt = c.loop.Now.Add(500 * time.Millisecond)
}

func (c *Core) loadPage(after string, rev uint64, seen map[string]bool) {
	c.loop.Emit(step.StateRange{Prefix: jobPrefix, After: after, ID: c.loop.Call(func(d step.Completed) {
		if d.Status != 200 {
			c.loadFailed("jobs", d.Status)
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
			c.loadPage(after, rev, seen)
			return
		}
		for id, j := range c.jobs {
			if !seen[jobPrefix+id] && j.version <= rev {
				c.jobOver(j)
			}
		}
		sent := c.loop.Now
		c.fetchLease(func(status int) {
			if status != 200 && status != 404 {
				c.loadFailed("leases", status)
				return
			}
			c.loading, c.loaded = false, true
			c.rev, c.fresh = rev, sent
			c.leaseSeen = c.loop.Now
			if b, ok := c.view.Lease.Blocks[c.view.Me]; ok && b.Incarnation >= c.hold.Incarnation() && !c.hold.Held() {
				c.hold.Outgrow(b.Incarnation)
			}
			if c.view.Lease.Leader == c.view.Me && c.view.Lease.Incarnation >= c.hold.Incarnation() && c.lead == nil {
				c.hold.Outgrow(c.view.Lease.Incarnation)
			}
			c.renewAt = c.loop.Now
			c.log.Info("state read", "jobs", len(c.jobs), "revision", rev)
			c.watch()
			c.elect()
			c.renew()
		})
	})})
}

// watch keeps one watch open over everything below root.
func (c *Core) watch() {
	if c.watching || c.loop.Now.Before(c.watchAt) {
		return
	}
	c.watching = true
	sent := c.loop.Now
	// Many changes in a row are read together, to save requests.
	pause := time.Duration(float64(time.Second) / max(1, 0.4*c.view.Cfg.Cluster.State.RPS/float64(c.nodes())))
	c.loop.Emit(step.StateWatch{Prefix: root, After: c.rev, Hold: watchHold, ID: c.loop.Call(func(d step.Completed) {
		c.watching = false
		c.watchAt = sent.Add(pause)
		switch d.Status {
		case 200:
			for _, e := range d.Watch.Log {
				if e.Put != "" {
					c.applyPut(e.Put, e.Value, e.Version)
				} else {
					c.applyDelete(e.Delete, e.Version)
				}
			}
			c.rev = max(c.rev, d.Watch.Revision)
			if sent.After(c.fresh) {
				c.fresh = sent
			}
			c.watch()
		case 410:
			c.log.Info("watch too old, reading again")
			c.loaded = false
			c.load()
		default:
			c.watchAt = c.loop.Now.Add(200 * time.Millisecond)
		}
	})})
}

func (c *Core) nodes() int { return c.view.Cfg.Controllers() }

// applyPut takes a changed key into the picture.
func (c *Core) applyPut(key string, value []byte, version uint64) {
	switch {
	case key == leaseKey:
		c.applyValue(wire.Pair{Key: key, Value: value, Version: version})
	case strings.HasPrefix(key, leasevalue.PagePrefix):
		if _, err := c.book.ReadPage(key, value); err != nil {
			c.log.Error("lease page", "err", err)
		}
		if c.unread != nil {
			c.applyValue(*c.unread)
		}
	case strings.HasPrefix(key, jobPrefix):
		var rec wire.JobRecord
		if err := wire.Decode(value, &rec); err != nil || rec.ID != key[len(jobPrefix):] {
			c.log.Error("job record", "key", key, "err", err)
			return
		}
		c.applyJob(rec, version)
	case strings.HasPrefix(key, endPrefix):
		var rec wire.EndRecord
		if err := wire.Decode(value, &rec); err != nil {
			c.log.Error("end record", "key", key, "err", err)
			return
		}
		c.applyEnd(key[len(endPrefix):], rec)
	case strings.HasPrefix(key, renPrefix):
		c.applyStoredRenewal(value)
	}
}

func (c *Core) applyDelete(key string, version uint64) {
	if id, ok := strings.CutPrefix(key, jobPrefix); ok {
		if j := c.jobs[id]; j != nil && version >= j.version {
			c.jobOver(j)
		}
	}
}

func (c *Core) applyJob(rec wire.JobRecord, version uint64) {
	if _, ok := c.ended[rec.ID]; ok {
		return
	}
	j := c.jobs[rec.ID]
	if j == nil {
		j = &job{first: version, waitSince: c.loop.Now}
		c.jobs[rec.ID] = j
		if rec.Shape != wire.Daemon { // one is never done; its processors are taken off what there is
			c.inflow.Add(time.UnixMilli(rec.AtMs), float64(rec.Tasks)*rec.CPUs*max(1, c.runSeconds(&rec)))
		}
	}
	if version <= j.version {
		return
	}
	j.rec, j.version = rec, version
	c.adopt(j)
}

// applyEnd notes that a job is over. An end is final.
func (c *Core) applyEnd(id string, rec wire.EndRecord) {
	if _, ok := c.ended[id]; !ok {
		c.ended[id] = rec
		c.endedOrder = append(c.endedOrder, id)
		if len(c.endedOrder) > endedMost {
			delete(c.ended, c.endedOrder[0])
			c.endedOrder = c.endedOrder[1:]
		}
	}
	if j := c.jobs[id]; j != nil {
		c.jobOver(j)
	}
}

// jobOver stops all tasks of a job that is over. The job is kept while some
// task of it is still somewhere, since that counts against the team's limit.
func (c *Core) jobOver(j *job) {
	if !j.over {
		j.over = true
		c.dropEntries(j)
		j.queue = nil
		for _, r := range j.runs {
			if r.state == runQueued {
				c.dropRun(r)
			} else {
				r.stop = true
				c.hurry(r.m)
			}
		}
		c.placeDue = true
	}
	if len(j.runs) == 0 {
		delete(c.jobs, j.rec.ID)
	}
}

// ---- the owner's side

// adopt makes the job ready for placing when this controller is its home.
func (c *Core) adopt(j *job) {
	since, mine := c.homes[j.home()]
	if !mine || j.ready || j.reading || j.over {
		return
	}
	if j.runs == nil {
		j.runs = map[int]*run{}
		j.done, j.stored = make([]uint64, (j.rec.Tasks+63)/64), make([]uint64, (j.rec.Tasks+63)/64)
	}
	if j.first > since {
		c.jobReady(j) // accepted under this ownership: nothing can have run
		return
	}
	// A reading that is under way may have passed the page already.
	j.reading, j.readFrom = true, c.pageReads+1
}

func (c *Core) jobReady(j *job) {
	j.ready = true
	j.queue = j.queue[:0]
	for i := range j.rec.Tasks {
		if !j.isDone(i) && j.runs[i] == nil {
			j.queue = append(j.queue, i)
		}
	}
	c.placeDue = true
}

func (c *Core) markDone(j *job, i int) {
	if j.isDone(i) {
		return
	}
	j.done[i/64] |= 1 << (i % 64)
	j.doneCount++
	if j.doneCount == j.rec.Tasks {
		c.ending[j.rec.ID] = true
	} else if !j.isStored(i) {
		c.noteDone(j, i)
	}
	if k, ok := slices.BinarySearch(j.queue, i); ok {
		j.queue = slices.Delete(j.queue, k, k+1)
	}
}

// endJobs stores the ends of jobs whose tasks are all completed.
func (c *Core) endJobs() {
	if len(c.ending) == 0 {
		return
	}
	for _, id := range cluster.SortedKeys(c.ending) {
		j := c.jobs[id]
		if j == nil || j.over || !c.owns(j) {
			delete(c.ending, id)
			continue
		}
		if c.writing >= writesAtOnce {
			return
		}
		if j.busy || !j.ready || c.loop.Now.Before(j.nextWrite) {
			continue
		}
		c.writing++
		c.endJob(j, wire.Done, 0, func(bool) { c.writing-- })
	}
}

// endJob decides a job's end by a compare on the version of its record, so
// that of a completion and a cancellation exactly one wins. then is told
// whether the end is stored; tries bounds the repeats.
func (c *Core) endJob(j *job, state string, tries int, then func(stored bool)) {
	id := j.rec.ID
	rec := wire.EndRecord{State: state, Tasks: j.rec.Tasks, Done: j.doneCount}
	if state == wire.Cancelled {
		rec.Done = max(j.doneCount, j.told[0])
	}
	txn := wire.Txn{
		If:   []wire.Cond{{Key: jobPrefix + id, Version: j.version}, {Key: endPrefix + id}},
		Then: []wire.Op{{Delete: jobPrefix + id}, {Put: endPrefix + id, Value: rec}},
	}
	j.busy = true
	c.loop.Emit(step.StateTxn{Txn: txn, ID: c.loop.Call(func(d step.Completed) {
		j.busy = false
		j.nextWrite = c.loop.Now.Add(300 * time.Millisecond)
		switch {
		case d.Status == 200:
			c.applyEnd(id, rec)
			then(true)
		case d.Status == 409:
			c.refresh(id, func(ok bool) {
				if j := c.jobs[id]; ok && j != nil && !j.over && tries > 0 {
					c.endJob(j, state, tries-1, then)
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
	c.loop.Emit(step.StateGet{Key: endPrefix + id, ID: c.loop.Call(func(d step.Completed) {
		switch d.Status {
		case 200:
			c.applyPut(endPrefix+id, d.Pair.Value, d.Pair.Version)
			then(true)
			return
		case 404:
		default:
			then(false)
			return
		}
		// Not over a moment ago. The job's record is read second: should the
		// job end in between, the record is missing and nothing is concluded.
		c.loop.Emit(step.StateGet{Key: jobPrefix + id, ID: c.loop.Call(func(d step.Completed) {
			switch d.Status {
			case 200:
				c.applyPut(jobPrefix+id, d.Pair.Value, d.Pair.Version)
				then(true)
			default:
				then(false)
			}
		})})
	})})
}

// ---- the users' side

func (c *Core) answer(req uint64, status int, body any) {
	c.loop.Emit(step.Reply{Req: req, Status: status, Body: body})
}

// unavailable tells the user at once to come back.
func (c *Core) unavailable(req uint64) {
	c.loop.Emit(step.Reply{Req: req, Status: 503, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: 1})
}

func (c *Core) jobAnswer(j *job) wire.JobAnswer {
	a := wire.JobAnswer{ID: j.rec.ID, State: wire.Pending, Done: j.told[0], Running: j.told[1]}
	if c.owns(j) {
		a.Done, a.Running = j.doneCount, j.running()
	}
	if a.Running > 0 {
		a.State = wire.Running
	}
	return a
}

func endAnswer(id string, e wire.EndRecord) wire.JobAnswer {
	return wire.JobAnswer{ID: id, State: e.State, Done: e.Done}
}

// verifier checks what this controller knows of jobs against the state
// service before anybody is told: all questions that come up while one check
// is under way go into the next one, as conditions of a transaction that
// changes nothing. That way no answer is older than another controller's.
type verifier struct {
	busy  bool
	next  time.Time // not before then, to keep within the request limit
	queue []question
}

type question struct {
	id string
	// then gets the job, or its end, or neither when it does not exist; ok
	// is false when the state service did not say.
	then func(j *job, end *wire.EndRecord, ok bool)
}

// ask answers a question about a job from what is surely current.
func (c *Core) ask(id string, then func(j *job, end *wire.EndRecord, ok bool)) {
	if e, ok := c.ended[id]; ok {
		then(nil, &e, true) // an end is final
		return
	}
	if len(c.verify.queue) > 2000 {
		then(nil, nil, false)
		return
	}
	c.verify.queue = append(c.verify.queue, question{id, then})
	c.runVerify()
}

func (c *Core) runVerify() {
	if c.verify.busy || len(c.verify.queue) == 0 || c.loop.Now.Before(c.verify.next) {
		return
	}
	c.verify.next = c.loop.Now.Add(time.Duration(float64(time.Second) / max(1, 0.25*c.view.Cfg.Cluster.State.RPS/float64(c.nodes()))))
	// Two conditions a question, four times txn_ops conditions at most.
	n := min(len(c.verify.queue), max(1, 2*c.view.Cfg.Cluster.State.TxnOps))
	batch := c.verify.queue[:n:n]
	c.verify.queue = slices.Clone(c.verify.queue[n:])
	c.verify.busy = true
	conds := make([]wire.Cond, 0, 2*n)
	asked := map[string]bool{}
	for _, q := range batch {
		if asked[q.id] {
			continue
		}
		asked[q.id] = true
		if j := c.jobs[q.id]; j != nil && !j.over {
			conds = append(conds, wire.Cond{Key: jobPrefix + q.id, Version: j.version})
		} else {
			conds = append(conds, wire.Cond{Key: jobPrefix + q.id}, wire.Cond{Key: endPrefix + q.id})
		}
	}
	known := make(map[string]bool, n)
	for _, cond := range conds {
		known[cond.Key[len(jobPrefix):]] = cond.Version > 0
	}
	c.loop.Emit(step.StateTxn{Txn: wire.Txn{If: conds}, ID: c.loop.Call(func(d step.Completed) {
		c.verify.busy = false
		failed := map[string]bool{}
		if d.Status == 409 {
			for _, key := range d.Txn.Failed {
				if len(key) > len(jobPrefix) {
					failed[key[len(jobPrefix):]] = true
				}
			}
		}
		for _, q := range batch {
			switch {
			case d.Status != 200 && d.Status != 409:
				q.then(nil, nil, false)
			case failed[q.id]:
				c.refresh(q.id, func(ok bool) {
					if e, over := c.ended[q.id]; over {
						q.then(nil, &e, true)
					} else if j := c.jobs[q.id]; ok && j != nil && !j.over {
						q.then(j, nil, true)
					} else {
						q.then(nil, nil, false)
					}
				})
			case d.Status == 409:
				// Only what failed is sure to be listed; the rest is asked again.
				c.verify.queue = append(c.verify.queue, q)
			case known[q.id]:
				if j := c.jobs[q.id]; j != nil && !j.over {
					q.then(j, nil, true)
				} else if e, over := c.ended[q.id]; over {
					q.then(nil, &e, true)
				} else {
					q.then(nil, nil, false)
				}
			default:
				q.then(nil, nil, true)
			}
		}
		c.runVerify()
	})})
}

func (c *Core) onPoll(e step.PollIn) {
	if !wire.ValidJobID(e.ID) {
		c.answer(e.Req, 404, wire.ErrorAnswer{Error: "no such job"})
		return
	}
	if !c.loaded {
		c.unavailable(e.Req)
		return
	}
	c.ask(e.ID, func(j *job, end *wire.EndRecord, ok bool) {
		switch {
		case end != nil:
			c.answer(e.Req, 200, endAnswer(e.ID, *end))
		case j != nil:
			c.answer(e.Req, 200, c.jobAnswer(j))
		case ok:
			c.answer(e.Req, 404, wire.ErrorAnswer{Error: "no such job"})
		default:
			c.unavailable(e.Req)
		}
	})
}

func (c *Core) onCancel(e step.CancelIn) {
	if !wire.ValidJobID(e.ID) {
		c.answer(e.Req, 404, wire.ErrorAnswer{Error: "no such job"})
		return
	}
	if !c.loaded {
		c.unavailable(e.Req)
		return
	}
	c.ask(e.ID, func(j *job, end *wire.EndRecord, ok bool) {
		switch {
		case end != nil:
			c.answer(e.Req, 200, endAnswer(e.ID, *end))
		case j != nil:
			c.endJob(j, wire.Cancelled, 3, func(bool) {
				if end, over := c.ended[e.ID]; over {
					c.answer(e.Req, 200, endAnswer(e.ID, end))
				} else {
					c.unavailable(e.Req)
				}
			})
		case ok:
			c.answer(e.Req, 404, wire.ErrorAnswer{Error: "no such job"})
		default:
			c.unavailable(e.Req)
		}
	})
}

// refusal tells why a job can never run, or that this cannot be said yet.
func (c *Core) refusal(j *wire.Job) (status int, why string) {
	if len(c.view.Types) == 0 {
		return 503, "machine types not known yet"
	}
	var team *sched.Limit
	for _, t := range c.view.Cfg.Cluster.Teams {
		if t.Name == j.Team {
			team = &sched.Limit{CPUs: t.CPUsMax, Cards: t.GPUsMax}
		}
	}
	if team == nil {
		return 422, "unknown team"
	}
	need := sched.Amount{CPUs: j.CPUs, Cards: j.Cards, MemoryGB: j.MemoryGB}
	fits := false
	for name, t := range c.view.Types {
		if (len(j.Types) == 0 || slices.Contains(j.Types, name)) &&
			(j.Zone == "" || slices.Contains(t.Zones, j.Zone)) && need.Fits(cluster.SizeOf(t)) {
			fits = true
		}
	}
	if !fits {
		return 422, "a task fits no allowed machine type"
	}
	n := 1.0
	if j.Shape != wire.Array {
		n = float64(j.Tasks)
	}
	if !team.Allows(sched.Amount{}, sched.Amount{}.Add(need, n)) {
		return 422, "more than the team's limit"
	}
	return 0, ""
}

func (c *Core) onSubmit(e step.SubmitIn) {
	bad := func() { c.answer(e.Req, 400, wire.ErrorAnswer{Error: fmt.Sprint(e.Err)}) }
	if e.Job.ID == "" {
		bad()
		return
	}
	if !c.loaded {
		c.unavailable(e.Req)
		return
	}
	id := e.Job.ID
	known := func(j *job, end *wire.EndRecord) bool {
		switch {
		case end != nil:
			c.answer(e.Req, 200, endAnswer(id, *end))
		case j != nil:
			c.answer(e.Req, 200, c.jobAnswer(j))
		default:
			return false
		}
		return true
	}
	status, why := 400, ""
	if e.Err == nil {
		status, why = c.refusal(&e.Job)
	}
	if status != 0 || c.jobs[id] != nil || c.hasEnded(id) {
		// A known job is answered as it stands, whatever the body says.
		c.ask(id, func(j *job, end *wire.EndRecord, ok bool) {
			switch {
			case known(j, end):
			case !ok || status == 503 || status == 0:
				c.unavailable(e.Req)
			case status == 400:
				bad()
			default:
				c.answer(e.Req, status, wire.ErrorAnswer{Error: why})
			}
		})
		return
	}
	rec := wire.JobRecord{Job: e.Job, Part: c.fileUnder(&e.Job), AtMs: c.loop.Now.UnixMilli()}
	rec.Owner = c.homeOf(rec.Team)
	if rec.Part != "" {
		rec.Owner = c.homeOf(rec.Part)
	}
	c.loop.Emit(step.StateTxn{
		Txn: wire.Txn{
			If:   []wire.Cond{{Key: jobPrefix + id}, {Key: endPrefix + id}},
			Then: []wire.Op{{Put: jobPrefix + id, Value: rec}},
		},
		ID: c.loop.Call(func(d step.Completed) {
			switch d.Status {
			case 200:
				c.applyJob(rec, d.Txn.Revision)
				c.log.Debug("accepted", "job", id, "class", rec.Class, "tasks", rec.Tasks, "image", rec.Image, "owner", rec.Owner)
				c.answer(e.Req, 201, wire.JobAnswer{ID: id, State: wire.Pending})
			case 409:
				c.refresh(id, func(ok bool) {
					if end, over := c.ended[id]; over {
						known(nil, &end)
					} else if j := c.jobs[id]; !ok || j == nil || j.over || !known(j, nil) {
						c.unavailable(e.Req)
					}
				})
			case 400:
				c.answer(e.Req, 400, wire.ErrorAnswer{Error: "too large"})
			default:
				c.unavailable(e.Req)
			}
		}),
	})
}

func (c *Core) hasEnded(id string) bool { _, ok := c.ended[id]; return ok }

func (c *Core) homeOf(team string) string { return c.view.Lease.Homes[team] }
