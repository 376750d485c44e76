package controller

import (
	"encoding/base64"
	"math/bits"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/cluster"
	"fawncove/internal/step"
	"fawncove/internal/wire"
)

// Completed tasks of jobs that are not over stand in pages: each controller
// has a few, of its own, and each holds the bits of many jobs. One write
// stores what was completed on hundreds of machines since the last one;
// a record a job would use up the write limit of the state service.
//
// What a page says stays true for ever: a completed task is never undone. So
// pages of any age and any controller may be read together, whoever owns a
// job can take up what an earlier owner wrote, and a page that is lost only
// means that tasks are started again whose results the workers still have.

const (
	// chunk is how many tasks one entry of a page covers; as base64 that is
	// well below the smallest value limit met so far.
	chunk = 4096
	// flushEvery spaces the writes of a page. Until completions are stored
	// the workers keep them, so this only has to keep reports short.
	flushEvery = 4 * time.Second
	// pageFill is how full a page is made, of the limit for values.
	pageFill = 0.7
)

// page is one of this controller's pages.
type page struct {
	version uint64
	busy    bool
	dirtyAt time.Time // since when something waits to be stored; zero: nothing
	nextTry time.Time
	entries map[string]int // with the bytes each may take
	size    int
}

// entryKey names the stretch of a job that task i is in.
func entryKey(id string, i int) string {
	if i < chunk {
		return id
	}
	return id + "/" + strconv.Itoa(i/chunk)
}

// splitEntry takes an entry's name apart.
func splitEntry(key string) (id string, k int, ok bool) {
	id, num, found := strings.Cut(key, "/")
	if !found {
		return id, 0, true
	}
	k, err := strconv.Atoi(num)
	return id, k, err == nil && k > 0
}

// noteDone puts a stretch of a job on a page, to be stored.
func (c *Core) noteDone(j *job, i int) {
	key := entryKey(j.rec.ID, i)
	p := c.pageOf[key]
	if p == nil {
		tasks := min(j.rec.Tasks-i/chunk*chunk, chunk)
		bytes := len(key) + (tasks/8+1)*4/3 + 12
		p = c.pageFor(bytes)
		p.entries[key] = bytes
		p.size += bytes
		c.pageOf[key] = p
	}
	if p.dirtyAt.IsZero() {
		p.dirtyAt = c.loop.Now
	}
}

// pageFor returns a page with room, a new one if need be.
func (c *Core) pageFor(bytes int) *page {
	most := int(pageFill * 1024 * c.view.Cfg.Cluster.State.ValueKB)
	for _, p := range c.pages {
		if p.size == 0 || p.size+bytes <= most {
			return p
		}
	}
	p := &page{entries: map[string]int{}}
	c.pages = append(c.pages, p)
	return p
}

// dropEntries takes a job that is over off its pages. They are not written
// for that: the next write leaves the job out.
func (c *Core) dropEntries(j *job) {
	for i := 0; i < j.rec.Tasks; i += chunk {
		key := entryKey(j.rec.ID, i)
		delete(c.facts, key)
		if p := c.pageOf[key]; p != nil {
			p.size -= p.entries[key]
			delete(p.entries, key)
			delete(c.pageOf, key)
		}
	}
}

// flushPages stores what has waited long enough.
func (c *Core) flushPages() {
	for n, p := range c.pages {
		if p.busy || p.dirtyAt.IsZero() || c.loop.Now.Sub(p.dirtyAt) < flushEvery || c.loop.Now.Before(p.nextTry) {
			continue
		}
		c.writePage(n, p)
	}
}

// writePage stores a page as it stands. Only then may the workers forget.
func (c *Core) writePage(n int, p *page) {
	key := pagePrefix + c.view.Me + "/" + strconv.Itoa(n)
	value := make(map[string]string, len(p.entries))
	for entry := range p.entries {
		raw := c.facts[entry]
		id, k, _ := splitEntry(entry)
		if j := c.jobs[id]; j != nil && j.done != nil {
			raw = merge(raw, j.bits(k))
		}
		c.facts[entry] = raw
		value[entry] = base64.RawStdEncoding.EncodeToString(raw)
	}
	written := make(map[string][]byte, len(value))
	for entry := range value {
		written[entry] = c.facts[entry]
	}
	p.busy, p.dirtyAt = true, time.Time{}
	c.loop.Emit(step.StateTxn{
		// Under the version it was based on: a late transaction of an earlier
		// process, or an earlier try, cannot take anything back.
		Txn: wire.Txn{If: []wire.Cond{{Key: key, Version: p.version}}, Then: []wire.Op{{Put: key, Value: value}}},
		ID: c.loop.Call(func(d step.Completed) {
			p.busy = false
			if d.Status == 200 {
				p.version = d.Txn.Revision
				for entry, raw := range written {
					c.storedAt(entry, raw)
				}
				return
			}
			p.dirtyAt = c.loop.Now.Add(-flushEvery)
			p.nextTry = c.loop.Now.Add(time.Second)
			if d.Status != 409 {
				return // not done, or perhaps done: then the version tells
			}
			p.busy = true
			c.loop.Emit(step.StateGet{Key: key, ID: c.loop.Call(func(d step.Completed) {
				p.busy = false
				switch d.Status {
				case 200:
					p.version = d.Pair.Version
					c.readPage(key, d.Pair.Value)
				case 404:
					p.version = 0
				}
			})})
		}),
	})
}

// bits returns the completed tasks of stretch k, a bit a task.
func (j *job) bits(k int) []byte {
	from, to := k*chunk, min(j.rec.Tasks, (k+1)*chunk)
	raw := make([]byte, (max(0, to-from)+7)/8)
	for i := from; i < to; i++ {
		if j.isDone(i) {
			raw[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	return raw
}

// merge returns the tasks in a or in b.
func merge(a, b []byte) []byte {
	if len(a) < len(b) {
		a, b = b, a
	}
	out := append([]byte(nil), a...)
	for i, v := range b {
		out[i] |= v
	}
	return out
}

// storedAt notes that the tasks of an entry are stored as completed.
func (c *Core) storedAt(entry string, raw []byte) {
	id, k, ok := splitEntry(entry)
	j := c.jobs[id]
	if !ok || j == nil || j.stored == nil {
		return
	}
	for b, v := range raw {
		for ; v != 0; v &= v - 1 {
			if i := k*chunk + b*8 + bits.TrailingZeros8(v); i < j.rec.Tasks {
				j.stored[i/64] |= 1 << (i % 64)
			}
		}
	}
}

// readPage takes a page, anybody's, into what is known to be completed.
func (c *Core) readPage(key string, value []byte) map[string]string {
	var entries map[string]string
	if err := wire.Decode(value, &entries); err != nil {
		c.log.Error("page of completed tasks", "key", key, "err", err)
		return nil
	}
	for entry, text := range entries {
		raw, err := base64.RawStdEncoding.DecodeString(text)
		id, _, ok := splitEntry(entry)
		if err != nil || !ok {
			c.log.Error("page of completed tasks", "key", key, "entry", entry, "err", err)
			delete(entries, entry)
			continue
		}
		if j := c.jobs[id]; j == nil || j.over {
			delete(entries, entry)
			continue
		}
		c.facts[entry] = merge(c.facts[entry], raw)
	}
	return entries
}

// readPages reads all pages of all controllers for the jobs that wait for it:
// jobs taken over, and all of them after a start.
func (c *Core) readPages() {
	if c.pagesBusy || c.loop.Now.Before(c.pagesNext) {
		return
	}
	waiting := false
	for _, j := range c.jobs {
		waiting = waiting || (j.reading && !j.over)
	}
	if !waiting {
		return
	}
	c.pagesBusy = true
	c.pageReads++
	read := c.pageReads
	var next func(after string)
	next = func(after string) {
		c.loop.Emit(step.StateRange{Prefix: pagePrefix, After: after, ID: c.loop.Call(func(d step.Completed) {
			if d.Status != 200 {
				c.pagesBusy = false
				c.pagesNext = c.loop.Now.Add(300 * time.Millisecond)
				return
			}
			for _, p := range d.Page.Pairs {
				entries := c.readPage(p.Key, p.Value)
				c.ownPage(p.Key, p.Version, entries)
				after = p.Key
			}
			if d.Page.More && len(d.Page.Pairs) > 0 {
				next(after)
				return
			}
			c.pagesBusy = false
			for _, id := range cluster.SortedKeys(c.jobs) {
				// Only a read that began after the job became this
				// controller's shows all that earlier owners stored.
				if j := c.jobs[id]; j.reading && j.readFrom <= read && !j.over && c.owns(j) {
					j.reading = false
					c.takeFacts(j)
					c.jobReady(j)
				}
			}
		})})
	}
	next("")
}

// ownPage takes up a page that an earlier process of this controller wrote.
func (c *Core) ownPage(key string, version uint64, entries map[string]string) {
	num, ok := strings.CutPrefix(key, pagePrefix+c.view.Me+"/")
	n, err := strconv.Atoi(num)
	if !ok || err != nil || n < 0 || n > 1000 {
		return
	}
	for len(c.pages) <= n {
		c.pages = append(c.pages, &page{entries: map[string]int{}})
	}
	p := c.pages[n]
	if p.version != 0 || p.busy {
		return // known already
	}
	p.version = version
	for entry, text := range entries {
		if c.pageOf[entry] == nil {
			p.entries[entry] = len(entry) + len(text) + 12
			p.size += p.entries[entry]
			c.pageOf[entry] = p
		}
	}
}

// takeFacts marks the tasks of a job that are stored as completed.
func (c *Core) takeFacts(j *job) {
	for i := 0; i < j.rec.Tasks; i += chunk {
		key := entryKey(j.rec.ID, i)
		raw := c.facts[key]
		c.storedAt(key, raw)
		for b, v := range raw {
			for ; v != 0; v &= v - 1 {
				if t := i + b*8 + bits.TrailingZeros8(v); t < j.rec.Tasks {
					c.markDone(j, t)
				}
			}
		}
	}
}
