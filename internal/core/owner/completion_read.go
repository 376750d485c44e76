package owner

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

const (
	// pageReadBackoff is how long after a read of all pages has failed the next one begins.
	pageReadBackoff = 300 * time.Millisecond
	// maxPageNumber bounds the pages of an earlier process that are taken up.
	maxPageNumber = 1000
)

// readPages reads all pages of all controllers for the jobs that wait for them: jobs taken
// over, and all jobs after a start.
func (o *Owner) readPages() {
	if o.completions.reads.inProgress() || o.loop.Now.Before(o.completions.nextRead) || !o.needsPages() {
		return
	}
	o.completions.reads.begin()
	o.completions.readsBegun++
	o.readPagesAfter("", o.completions.readsBegun)
}

// needsPages reports whether the pages are to be read.
func (o *Owner) needsPages() bool {
	// The pages of an earlier process are known only once they have been read.
	if !o.completions.reads.loaded() && o.view.FeatureOpen(feature.Envelope) {
		return true
	}
	for _, j := range o.jobs {
		if j.awaitsPages() && !j.Ended {
			return true
		}
	}
	return false
}

// readPagesAfter goes on with read number n of all pages after a key.
func (o *Owner) readPagesAfter(after string, n uint64) {
	o.loop.Emit(eventloop.StateRange{Prefix: PagePrefix, After: after, ID: o.loop.OnCompletion(func(d eventloop.Completion) {
		if d.Outcome != eventloop.Succeeded {
			o.completions.reads.fail()
			o.completions.nextRead = o.loop.Now.Add(pageReadBackoff)
			return
		}
		last := after
		for _, p := range d.Page.Pairs {
			env, entries, err := o.readPage(p.Key, p.Value)
			o.adoptPage(p.Key, p.Version, env, entries, err)
			last = p.Key
		}
		if d.Page.More && len(d.Page.Pairs) > 0 {
			o.readPagesAfter(last, n)
			return
		}
		o.completions.reads.succeed()
		o.finishPageRead(n)
	})})
}

// finishPageRead makes the jobs ready that waited for read number n of all pages. Only a
// read that began after a job became this controller's shows all that earlier owners stored.
func (o *Owner) finishPageRead(n uint64) {
	for _, id := range cluster.SortedKeys(o.jobs) {
		if j := o.jobs[id]; j.awaitsPages() && j.pageReadNeeded <= n && !j.Ended && o.Owns(j) {
			o.applyCompleted(j)
			o.markReady(j)
		}
	}
}

// applyCompleted marks the tasks of a job as completed that are stored so.
func (o *Owner) applyCompleted(j *Job) {
	for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
		entry := entryKey(j.Record.ID, i)
		raw := o.completions.completed[entry]
		o.markStored(entry, raw)
		j.eachTask(i/tasksPerEntry, raw, func(task int) { o.markDone(j, task) })
	}
}

// readPage applies a page, of any controller, to what is known to be completed. It returns
// its envelope and the entries of jobs that are known here and have not ended.
func (o *Owner) readPage(key string, value []byte) (wire.Envelope, map[string]string, error) {
	env, entries, err := o.openPage(key, value)
	if err != nil {
		o.log.Error("cannot decode page of completed tasks", "key", key, "err", err)
		return env, nil, err
	}
	for entry, text := range entries {
		raw, err := base64.RawStdEncoding.DecodeString(text)
		id, _, ok := splitEntry(entry)
		if err != nil || !ok {
			o.log.Error("cannot decode page of completed tasks", "key", key, "entry", entry, "err", err)
			delete(entries, entry)
			continue
		}
		if j := o.jobs[id]; j == nil || j.Ended {
			delete(entries, entry)
			continue
		}
		o.completions.completed[entry] = MergeCompleted(o.completions.completed[entry], raw)
	}
	return env, entries, nil
}

// openPage takes a page's entries out of their envelope. A page without a value is one
// without entries.
func (o *Owner) openPage(key string, value []byte) (env wire.Envelope, entries map[string]string, err error) {
	if wire.IsAbsent(value) {
		return env, nil, nil
	}
	if env, err = o.view.Unwrap(key, value); err != nil {
		return env, nil, err
	}
	return env, entries, wire.Decode(env.Value, &entries)
}

// pageNumber returns the number of a page of this controller.
func (o *Owner) pageNumber(key string) (n int, ok bool) {
	number, own := strings.CutPrefix(key, PagePrefix+o.view.Self+"/")
	n, err := strconv.Atoi(number)
	return n, own && err == nil && n >= 0 && n <= maxPageNumber
}

// adoptPage takes up a page that an earlier process of this controller wrote; others are
// ignored. err says that it could not be read.
func (o *Owner) adoptPage(key string, version wire.Revision, env wire.Envelope, entries map[string]string, err error) {
	n, ok := o.pageNumber(key)
	if !ok {
		return
	}
	for len(o.completions.pages) <= n {
		o.completions.pages = append(o.completions.pages, &page{entries: map[string]int{}})
	}
	p := o.completions.pages[n]
	if p.version != 0 || p.state == pageWriting {
		return // known already
	}
	p.version, p.envelopeForm, p.unknownFields = version, env.Form, env.Unknown
	if err != nil {
		o.abandonPage(p)
	}
	for entry, text := range entries {
		if o.completions.pageByEntry[entry] == nil {
			p.add(entry, len(entry)+len(text)+entryOverhead)
			o.completions.pageByEntry[entry] = p
		}
	}
}

// abandonPage leaves a page alone that is stored in a form that is not known here: to write
// over it would lose what it says. Its entries go to another page.
func (o *Owner) abandonPage(p *page) {
	entries := cluster.SortedKeys(p.entries)
	p.state, p.pendingSince, p.entries, p.size = pageUnreadable, time.Time{}, map[string]int{}, 0
	for _, entry := range entries {
		delete(o.completions.pageByEntry, entry)
		id, n, ok := splitEntry(entry)
		if j := o.jobs[id]; ok && j != nil && !j.Ended && o.Owns(j) {
			o.queueCompletion(j, n*tasksPerEntry)
		}
	}
}
