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

// The completion log says which tasks of jobs that have not ended are completed. It is
// stored in pages: each controller has a few of its own, and each page holds entries of many
// jobs, with a bit for each task. One write stores what was completed on hundreds of
// machines since the last one; one record for each job would use up the write limit of the
// state service.
//
// What a page says stays true for ever: a completed task is never undone. So pages of any
// age and any controller may be read together, any owner of a job can take up what an
// earlier one wrote, and a page that is lost only means that tasks are started again whose
// results the workers still have.

const (
	// PagePrefix is where the pages are stored: not below what every controller watches,
	// since only those that take up jobs read them.
	PagePrefix = "fp/"
	// tasksPerEntry is how many tasks of a job one entry of a page covers. As base64 that is
	// well below the smallest value limit met so far.
	tasksPerEntry = 4096
	// entryOverhead is how many bytes an entry takes besides its name and its bits.
	entryOverhead = 12
	// flushInterval spaces the writes of a page. Workers keep completions until they are
	// stored, so this only has to keep heartbeats short.
	flushInterval = 4 * time.Second
	// pageWriteBackoff is how long a page is not written after a write has failed.
	pageWriteBackoff = time.Second
	// refusedPageBackoff is how long a page that was refused is not written where it cannot
	// be made smaller.
	refusedPageBackoff = 30 * time.Second
	// pageFill is how full a page is made, as a part of the limit for values.
	pageFill = 0.7
)

// completionLog is what is stored, or to be stored, of completed tasks.
type completionLog struct {
	pages       []*page           // of this controller, by number
	pageByEntry map[string]*page  // this controller's, by entry
	completed   map[string][]byte // completed tasks by entry, as the pages of all controllers say

	// The reads of all pages, see completion_read.go.
	readsBegun uint64
	reads      readState
	nextRead   time.Time
}

func newCompletionLog() completionLog {
	return completionLog{pageByEntry: map[string]*page{}, completed: map[string][]byte{}}
}

// page is one of this controller's pages.
type page struct {
	version       wire.Revision // 0: not stored yet
	envelopeForm  int           // of the envelope that it is stored in
	unknownFields wire.Fields   // of a newer version of this program
	state         pageState
	pendingSince  time.Time // since when something waits to be stored; zero: nothing does
	retryAt       time.Time
	entries       map[string]int // with the bytes that each may take
	size          int            // sum of entries
}

// due reports whether the page is to be written now.
func (p *page) due(now time.Time) bool {
	return p.state == pageIdle && !p.pendingSince.IsZero() && now.Sub(p.pendingSince) >= flushInterval && !now.Before(p.retryAt)
}

// pendingAtOnce has the page written as soon as its back-off is over.
func (p *page) pendingAtOnce(now time.Time) { p.pendingSince = now.Add(-flushInterval) }

// add puts an entry on the page that takes so many bytes.
func (p *page) add(entry string, size int) {
	p.entries[entry] = size
	p.size += size
}

// remove takes an entry off the page.
func (p *page) remove(entry string) {
	p.size -= p.entries[entry]
	delete(p.entries, entry)
}

// entryKey returns the name of the entry that covers task i of a job.
func entryKey(id string, i int) string {
	if i < tasksPerEntry {
		return id
	}
	return id + "/" + strconv.Itoa(i/tasksPerEntry)
}

// splitEntry splits an entry's name into its job and its number there.
func splitEntry(entry string) (id string, n int, ok bool) {
	id, number, found := strings.Cut(entry, "/")
	if !found {
		return id, 0, true
	}
	n, err := strconv.Atoi(number)
	return id, n, err == nil && n > 0
}

// MergeCompleted returns the tasks in a or in b.
func MergeCompleted(a, b []byte) []byte {
	if len(a) < len(b) {
		a, b = b, a
	}
	merged := append([]byte(nil), a...)
	for i, v := range b {
		merged[i] |= v
	}
	return merged
}

// completedBits returns the completed tasks that entry n of the job covers, a bit a task.
func (j *Job) completedBits(n int) []byte {
	from, to := n*tasksPerEntry, min(j.Record.Tasks, (n+1)*tasksPerEntry)
	raw := make([]byte, (max(0, to-from)+7)/8)
	for i := from; i < to; i++ {
		if j.isDone(i) {
			raw[(i-from)/8] |= 1 << ((i - from) % 8)
		}
	}
	return raw
}

// eachTask calls f for each task of the job that is set in raw, the bits of its entry n.
func (j *Job) eachTask(n int, raw []byte, f func(i int)) {
	for b, v := range raw {
		for ; v != 0; v &= v - 1 {
			if i := n*tasksPerEntry + b*8 + bits.TrailingZeros8(v); i < j.Record.Tasks {
				f(i)
			}
		}
	}
}

// queueCompletion has the entry that covers task i of a job stored.
func (o *Owner) queueCompletion(j *Job, i int) {
	entry := entryKey(j.Record.ID, i)
	p := o.completions.pageByEntry[entry]
	if p == nil {
		tasks := min(j.Record.Tasks-i/tasksPerEntry*tasksPerEntry, tasksPerEntry)
		size := len(entry) + (tasks/8+1)*4/3 + entryOverhead
		p = o.pageFor(size)
		p.add(entry, size)
		o.completions.pageByEntry[entry] = p
	}
	if p.pendingSince.IsZero() {
		p.pendingSince = o.loop.Now
	}
}

// pageFor returns a page with room for so many bytes, a new one if need be.
func (o *Owner) pageFor(size int) *page {
	maxSize := o.PageBytes()
	for _, p := range o.completions.pages {
		if p.state != pageUnreadable && (p.size == 0 || p.size+size <= maxSize) {
			return p
		}
	}
	p := &page{entries: map[string]int{}}
	o.completions.pages = append(o.completions.pages, p)
	return p
}

// PageBytes returns about how much a page should hold.
func (o *Owner) PageBytes() int { return int(pageFill * float64(o.view.Limits.ValueBytes())) }

// dropEntries takes a job that has ended off its pages. They are not written for that: the
// next write leaves the job out.
func (o *Owner) dropEntries(j *Job) {
	for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
		entry := entryKey(j.Record.ID, i)
		delete(o.completions.completed, entry)
		if p := o.completions.pageByEntry[entry]; p != nil {
			p.remove(entry)
			delete(o.completions.pageByEntry, entry)
		}
	}
}

// flushPages writes the pages that have waited long enough.
func (o *Owner) flushPages() {
	for n, p := range o.completions.pages {
		if p.due(o.loop.Now) {
			o.writePage(n, p)
		}
	}
}

// writePage stores a page as it is now. Workers may forget what it says only once that is
// known to be stored.
func (o *Owner) writePage(n int, p *page) {
	key := PagePrefix + o.view.Self + "/" + strconv.Itoa(n)
	written := o.pageEntries(p)
	text := make(map[string]string, len(written))
	for entry, raw := range written {
		text[entry] = base64.RawStdEncoding.EncodeToString(raw)
	}
	value, form := o.pageValue(p, text)
	p.state, p.pendingSince = pageWriting, time.Time{}
	o.loop.Emit(eventloop.StateTxn{
		// Under the version it was based on: a late transaction of an earlier process, or
		// an earlier try, cannot take anything back.
		Txn: wire.Txn{If: []wire.Condition{{Key: key, Version: p.version}}, Then: []wire.Op{{Put: key, Value: value}}},
		ID: o.loop.OnCompletion(func(d eventloop.Completion) {
			p.state = pageIdle
			if d.Outcome == eventloop.Succeeded {
				p.version, p.envelopeForm = d.Txn.Revision, form
				for entry, raw := range written {
					o.markStored(entry, raw)
				}
				return
			}
			p.retryAt = o.loop.Now.Add(pageWriteBackoff)
			if d.Outcome == eventloop.Rejected {
				o.splitRefusedPage(key, p, value)
			}
			if d.Outcome != eventloop.Conflict && d.Outcome != eventloop.NoAnswer {
				p.pendingAtOnce(o.loop.Now)
				return
			}
			o.verifyPage(key, p, written)
		}),
	})
}

// splitRefusedPage moves entries of a page that was refused as it stood to other pages, until
// it is within the limit as it is known then. A page of one entry cannot be smaller.
func (o *Owner) splitRefusedPage(key string, p *page, value any) {
	encoded, err := wire.Encode(value)
	if err != nil {
		o.log.Error("cannot encode page of completed tasks", "err", err)
		return
	}
	o.view.Limits.Refuse(1, wire.JSONBytes(encoded))
	o.log.Warn("page of completed tasks refused by the state service", "key", key, "bytes", wire.JSONBytes(encoded), "entries", len(p.entries), "assumed_bytes", o.view.Limits.ValueBytes())
	if len(p.entries) <= 1 {
		p.retryAt = o.loop.Now.Add(refusedPageBackoff)
	}
	for _, entry := range cluster.SortedKeys(p.entries) {
		if p.size <= o.PageBytes() || len(p.entries) <= 1 {
			return
		}
		size := p.entries[entry]
		p.remove(entry)
		other := o.pageFor(size)
		other.add(entry, size)
		o.completions.pageByEntry[entry] = other
		if other.pendingSince.IsZero() {
			other.pendingAtOnce(o.loop.Now)
		}
	}
}

// pageEntries brings the entries of a page up to date and returns them.
func (o *Owner) pageEntries(p *page) map[string][]byte {
	entries := make(map[string][]byte, len(p.entries))
	for entry := range p.entries {
		raw := o.completions.completed[entry]
		id, n, _ := splitEntry(entry)
		if j := o.jobs[id]; j != nil && j.done != nil {
			raw = MergeCompleted(raw, j.completedBits(n))
		}
		o.completions.completed[entry] = raw
		entries[entry] = raw
	}
	return entries
}

// verifyPage reads a page again whose write met another version or had no answer: the page
// may be another's, or it is this one and only the answer was lost.
func (o *Owner) verifyPage(key string, p *page, written map[string][]byte) {
	p.state = pageWriting
	o.loop.Emit(eventloop.StateGet{Key: key, ID: o.loop.OnCompletion(func(d eventloop.Completion) {
		p.state = pageIdle
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
			p.pendingAtOnce(o.loop.Now)
		}
	})})
}

// confirmStored takes what a page was found to hold to be stored, and reports whether that
// is all that was written, but for jobs that have ended.
func (o *Owner) confirmStored(written map[string][]byte, entries map[string]string) bool {
	complete := true
	for _, entry := range cluster.SortedKeys(written) {
		found, err := base64.RawStdEncoding.DecodeString(entries[entry])
		if err == nil {
			o.markStored(entry, found)
		}
		id, _, _ := splitEntry(entry)
		j := o.jobs[id]
		complete = complete && (j == nil || j.Ended || (err == nil && bytes.Equal(MergeCompleted(written[entry], found), found)))
	}
	return complete
}

// markStored notes that the tasks of an entry are stored as completed.
func (o *Owner) markStored(entry string, raw []byte) {
	id, n, ok := splitEntry(entry)
	j := o.jobs[id]
	if !ok || j == nil || j.stored == nil {
		return
	}
	j.eachTask(n, raw, func(i int) { j.stored[i/64] |= 1 << (i % 64) })
}

// pageValue returns the value to be stored for a page of these entries, and the form of its
// envelope.
func (o *Owner) pageValue(p *page, entries map[string]string) (value any, form int) {
	if !o.view.FeatureOpen(feature.Envelope) {
		return entries, 0
	}
	env, err := wire.Wrap(entries, o.view.Lease.Generation, 0)
	if err != nil {
		o.log.Error("cannot encode page of completed tasks", "err", err)
		return entries, 0
	}
	env.Unknown = p.unknownFields
	stored, err := env.Stored()
	if err != nil {
		o.log.Error("cannot encode page of completed tasks", "err", err)
		return env, env.Form
	}
	return stored, env.Form
}
