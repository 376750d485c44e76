package owner

import (
	"bytes"
	"encoding/base64"
	"math/bits"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
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
	// PagePrefix is where they stand: not below what every controller watches,
	// since only those who take up jobs read them.
	PagePrefix = "fp/"
	// chunk is how many tasks one entry of a page covers; as base64 that is
	// well below the smallest value limit met so far.
	tasksPerEntry = 4096
	// flushEvery spaces the writes of a page. Until completions are stored
	// the workers keep them, so this only has to keep reports short.
	flushInterval = 4 * time.Second
	// pageFill is how full a page is made, of the limit for values.
	pageFill = 0.7
)

// page is one of this controller's pages.
type page struct {
	version       uint64
	envelopeForm  int         // of the envelope that it is stored in
	unknownFields wire.Fields // of a newer version
	unreadable    bool        // stored in a form that is not known here: left alone
	writing       bool
	pendingSince  time.Time // since when something waits to be stored; zero: nothing
	retryAt       time.Time
	entries       map[string]int // with the bytes each may take
	size          int
}

// entryKey names the stretch of a job that task i is in.
func entryKey(id string, i int) string {
	if i < tasksPerEntry {
		return id
	}
	return id + "/" + strconv.Itoa(i/tasksPerEntry)
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
func (o *Owner) queueCompletion(j *Job, i int) {
	key := entryKey(j.Record.ID, i)
	p := o.pageByEntry[key]
	if p == nil {
		tasks := min(j.Record.Tasks-i/tasksPerEntry*tasksPerEntry, tasksPerEntry)
		bytes := len(key) + (tasks/8+1)*4/3 + 12
		p = o.pageFor(bytes)
		p.entries[key] = bytes
		p.size += bytes
		o.pageByEntry[key] = p
	}
	if p.pendingSince.IsZero() {
		p.pendingSince = o.loop.Now
	}
}

// pageFor returns a page with room, a new one if need be.
func (o *Owner) pageFor(bytes int) *page {
	most := int(pageFill * 1024 * o.view.Settings.Cluster.State.ValueKB)
	for _, p := range o.pages {
		if !p.unreadable && (p.size == 0 || p.size+bytes <= most) {
			return p
		}
	}
	p := &page{entries: map[string]int{}}
	o.pages = append(o.pages, p)
	return p
}

// dropEntries takes a job that is over off its pages. They are not written
// for that: the next write leaves the job out.
func (o *Owner) dropEntries(j *Job) {
	for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
		key := entryKey(j.Record.ID, i)
		delete(o.completedByEntry, key)
		if p := o.pageByEntry[key]; p != nil {
			p.size -= p.entries[key]
			delete(p.entries, key)
			delete(o.pageByEntry, key)
		}
	}
}

// flushPages stores what has waited long enough.
func (o *Owner) flushPages() {
	for n, p := range o.pages {
		if p.writing || p.pendingSince.IsZero() || o.loop.Now.Sub(p.pendingSince) < flushInterval || o.loop.Now.Before(p.retryAt) {
			continue
		}
		o.writePage(n, p)
	}
}

// writePage stores a page as it stands. Only then may the workers forget.
func (o *Owner) writePage(n int, p *page) {
	key := PagePrefix + o.view.Self + "/" + strconv.Itoa(n)
	value := make(map[string]string, len(p.entries))
	for entry := range p.entries {
		raw := o.completedByEntry[entry]
		id, k, _ := splitEntry(entry)
		if j := o.jobs[id]; j != nil && j.done != nil {
			raw = MergeCompleted(raw, j.completedBits(k))
		}
		o.completedByEntry[entry] = raw
		value[entry] = base64.RawStdEncoding.EncodeToString(raw)
	}
	stored, form := o.pageValue(p, value)
	written := make(map[string][]byte, len(value))
	for entry := range value {
		written[entry] = o.completedByEntry[entry]
	}
	p.writing, p.pendingSince = true, time.Time{}
	o.loop.Emit(eventloop.StateTxn{
		// Under the version it was based on: a late transaction of an earlier
		// process, or an earlier try, cannot take anything back.
		Txn: wire.Txn{If: []wire.Condition{{Key: key, Version: p.version}}, Then: []wire.Op{{Put: key, Value: stored}}},
		ID: o.loop.Call(func(d eventloop.Completion) {
			p.writing = false
			if d.Outcome == eventloop.Succeeded {
				p.version, p.envelopeForm = d.Txn.Revision, form
				for entry, raw := range written {
					o.markStored(entry, raw)
				}
				return
			}
			p.retryAt = o.loop.Now.Add(time.Second)
			if d.Outcome != eventloop.Conflict && d.Outcome != eventloop.NoAnswer {
				p.pendingSince = o.loop.Now.Add(-flushInterval)
				return
			}
			// Somebody else's version, or perhaps this one and only the answer was lost.
			p.writing = true
			o.loop.Emit(eventloop.StateGet{Key: key, ID: o.loop.Call(func(d eventloop.Completion) {
				p.writing = false
				stored := false
				switch d.Outcome {
				case eventloop.Succeeded:
					env, entries, err := o.readPage(key, d.Pair.Value)
					p.version, p.envelopeForm, p.unknownFields = d.Pair.Version, env.Form, env.Unknown
					if err != nil {
						o.abandonPage(p)
						return
					}
					stored = o.confirmStored(written, entries)
				case eventloop.NotFound:
					p.version = 0
				}
				if !stored {
					p.pendingSince = o.loop.Now.Add(-flushInterval)
				}
			})})
		}),
	})
}

// foundStored takes what a page was found to hold for stored, and tells whether that is
// all that was written, but for jobs that are over.
func (o *Owner) confirmStored(written map[string][]byte, entries map[string]string) bool {
	whole := true
	for _, entry := range cluster.SortedKeys(written) {
		found, err := base64.RawStdEncoding.DecodeString(entries[entry])
		if err == nil {
			o.markStored(entry, found)
		}
		id, _, _ := splitEntry(entry)
		j := o.jobs[id]
		whole = whole && (j == nil || j.Ended || (err == nil && bytes.Equal(MergeCompleted(written[entry], found), found)))
	}
	return whole
}

// bits returns the completed tasks of stretch k, a bit a task.
func (j *Job) completedBits(k int) []byte {
	from, to := k*tasksPerEntry, min(j.Record.Tasks, (k+1)*tasksPerEntry)
	raw := make([]byte, (max(0, to-from)+7)/8)
	for i := from; i < to; i++ {
		if j.isDone(i) {
			raw[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	return raw
}

// MergeCompleted returns the tasks in a or in b.
func MergeCompleted(a, b []byte) []byte {
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
func (o *Owner) markStored(entry string, raw []byte) {
	id, k, ok := splitEntry(entry)
	j := o.jobs[id]
	if !ok || j == nil || j.stored == nil {
		return
	}
	for b, v := range raw {
		for ; v != 0; v &= v - 1 {
			if i := k*tasksPerEntry + b*8 + bits.TrailingZeros8(v); i < j.Record.Tasks {
				j.stored[i/64] |= 1 << (i % 64)
			}
		}
	}
}

// readPage takes a page, anybody's, into what is known to be completed.
func (o *Owner) readPage(key string, value []byte) (wire.Envelope, map[string]string, error) {
	env, entries, err := o.openPage(key, value)
	if err != nil {
		o.log.Error("page of completed tasks", "key", key, "err", err)
		return env, nil, err
	}
	for entry, text := range entries {
		raw, err := base64.RawStdEncoding.DecodeString(text)
		id, _, ok := splitEntry(entry)
		if err != nil || !ok {
			o.log.Error("page of completed tasks", "key", key, "entry", entry, "err", err)
			delete(entries, entry)
			continue
		}
		if j := o.jobs[id]; j == nil || j.Ended {
			delete(entries, entry)
			continue
		}
		o.completedByEntry[entry] = MergeCompleted(o.completedByEntry[entry], raw)
	}
	return env, entries, nil
}

// readPages reads all pages of all controllers for the jobs that wait for it:
// jobs taken over, and all of them after a start.
func (o *Owner) readPages() {
	if o.readingPages || o.loop.Now.Before(o.nextPageRead) {
		return
	}
	// An earlier process's pages are known only once they have been read.
	waiting := !o.pagesLoaded && o.view.FeatureOpen(feature.Envelope)
	for _, j := range o.jobs {
		waiting = waiting || (j.awaitsPages && !j.Ended)
	}
	if !waiting {
		return
	}
	o.readingPages = true
	o.pageReadsBegun++
	read := o.pageReadsBegun
	var next func(after string)
	next = func(after string) {
		o.loop.Emit(eventloop.StateRange{Prefix: PagePrefix, After: after, ID: o.loop.Call(func(d eventloop.Completion) {
			if d.Outcome != eventloop.Succeeded {
				o.readingPages = false
				o.nextPageRead = o.loop.Now.Add(300 * time.Millisecond)
				return
			}
			for _, p := range d.Page.Pairs {
				env, entries, err := o.readPage(p.Key, p.Value)
				o.adoptPage(p.Key, p.Version, env, entries, err)
				after = p.Key
			}
			if d.Page.More && len(d.Page.Pairs) > 0 {
				next(after)
				return
			}
			o.readingPages, o.pagesLoaded = false, true
			for _, id := range cluster.SortedKeys(o.jobs) {
				// Only a read that began after the job became this
				// controller's shows all that earlier owners stored.
				if j := o.jobs[id]; j.awaitsPages && j.pageReadNeeded <= read && !j.Ended && o.Owns(j) {
					j.awaitsPages = false
					o.applyCompleted(j)
					o.markJobReady(j)
				}
			}
		})})
	}
	next("")
}

// ownPage takes up a page that an earlier process of this controller wrote.
func (o *Owner) adoptPage(key string, version uint64, env wire.Envelope, entries map[string]string, err error) {
	num, ok := strings.CutPrefix(key, PagePrefix+o.view.Self+"/")
	n, bad := strconv.Atoi(num)
	if !ok || bad != nil || n < 0 || n > 1000 {
		return
	}
	for len(o.pages) <= n {
		o.pages = append(o.pages, &page{entries: map[string]int{}})
	}
	p := o.pages[n]
	if p.version != 0 || p.writing {
		return // known already
	}
	p.version, p.envelopeForm, p.unknownFields = version, env.Form, env.Unknown
	if err != nil {
		o.abandonPage(p)
	}
	for entry, text := range entries {
		if o.pageByEntry[entry] == nil {
			p.entries[entry] = len(entry) + len(text) + 12
			p.size += p.entries[entry]
			o.pageByEntry[entry] = p
		}
	}
}

// abandon leaves a page alone that is stored in a form that is not known here: to
// write over it would lose what it says. What was to be on it goes elsewhere.
func (o *Owner) abandonPage(p *page) {
	entries := cluster.SortedKeys(p.entries)
	p.unreadable, p.pendingSince, p.entries, p.size = true, time.Time{}, map[string]int{}, 0
	for _, entry := range entries {
		delete(o.pageByEntry, entry)
		id, k, ok := splitEntry(entry)
		if j := o.jobs[id]; ok && j != nil && !j.Ended && o.Owns(j) {
			o.queueCompletion(j, k*tasksPerEntry)
		}
	}
}

// takeFacts marks the tasks of a job that are stored as completed.
func (o *Owner) applyCompleted(j *Job) {
	for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
		key := entryKey(j.Record.ID, i)
		raw := o.completedByEntry[key]
		o.markStored(key, raw)
		for b, v := range raw {
			for ; v != 0; v &= v - 1 {
				if t := i + b*8 + bits.TrailingZeros8(v); t < j.Record.Tasks {
					o.markDone(j, t)
				}
			}
		}
	}
}
