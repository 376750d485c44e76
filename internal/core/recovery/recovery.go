// Package recovery decides how a state that has lost data is made whole again from what
// controllers know: what of it is missing, in which transactions that is stored, and what
// the lease value is from then on. It owns the stored form of the state's generation, and
// the view of the leases that controllers exchange meanwhile. It reads no clock, sends
// nothing, and knows of the state service only what it is handed.
//
//   - What is known to have ended stays so, and is stored before anything starts.
//   - Whatever may be on a machine counts as being there: all machines that any value
//     named come to one holder as those of a dead one do, and jobs that may have been
//     started wait until their machines have been reconciled.
//   - Terms go on above every one that was seen, with room for those that were not, and
//     with them grants, tokens and attempts.
//   - A write from before the loss finds another generation, and changes nothing.
package recovery

import (
	"encoding/base64"
	"maps"
	"slices"

	"fawncove/internal/wire"
)

// KnownState is what a controller knows.
type KnownState struct {
	Jobs           map[string]any            // the record to be stored for each job that has not ended
	Ends           map[string]wire.EndRecord // of jobs that have
	CompletedTasks map[string][]byte         // a bit a task, by stretch of a job
	// StayingEnds are the jobs whose end stays though another one is stored: users may have been
	// told.
	StayingEnds map[string]bool
}

// StoredState is what the state service holds.
type StoredState struct {
	Jobs           map[string]wire.Revision // versions of their records
	Ends           map[string]StoredEnd
	CompletedTasks map[string][]byte
}

// StoredEnd is the end of a job as it is stored.
type StoredEnd struct {
	State   string
	Version wire.Revision
}

// Keys are the prefixes under which jobs and their ends are stored.
type Keys struct{ Job, End string }

// Limits bound a transaction: its changes, and about how many bytes it has.
type Limits struct{ Ops, Bytes int }

// Writes are transactions that store what is missing.
type Writes struct {
	Txns       []wire.Txn
	Jobs, Ends int // how many of each they store
}

// MissingWrites returns the transactions that store what is known and not stored; those
// that keep an ended job from running again come first. Each changes nothing if the state
// is not as it was found.
func MissingWrites(known *KnownState, stored *StoredState, keys Keys, limits Limits) (Writes, error) {
	w := missingWriter{known: known, stored: stored, keys: keys, batch: batch{limits: limits}}
	ends := w.missingEnds()
	for _, id := range ends {
		if version, revived := stored.Jobs[id]; revived {
			w.endRevived(id, version)
		}
	}
	jobs := w.missingJobs()
	for _, id := range jobs {
		w.storeJob(id)
	}
	for _, id := range ends {
		if _, revived := stored.Jobs[id]; !revived {
			w.storeEnd(id)
		}
	}
	if w.batch.err != nil {
		return Writes{}, w.batch.err
	}
	return Writes{Txns: w.batch.txns, Jobs: len(jobs), Ends: len(ends)}, nil
}

// Lacks reports whether the state lacks something that is known: a job's record or end, or
// completed tasks. Another end than the known one is no lack.
func Lacks(known *KnownState, stored *StoredState) bool {
	for id := range known.Ends {
		if _, ok := stored.Ends[id]; !ok {
			return true
		}
	}
	for id := range known.Jobs {
		if isJobMissing(known, stored, id) {
			return true
		}
	}
	for key, tasks := range known.CompletedTasks {
		if !covers(stored.CompletedTasks[key], tasks) {
			return true
		}
	}
	return false
}

// isJobMissing reports whether a known job has not ended, here or in the state, and its
// record is not stored.
func isJobMissing(known *KnownState, stored *StoredState, id string) bool {
	_, endKnown := known.Ends[id]
	_, endStored := stored.Ends[id]
	_, jobStored := stored.Jobs[id]
	return !endKnown && !endStored && !jobStored
}

// missingWriter builds the transactions that store what is known and not stored.
type missingWriter struct {
	known  *KnownState
	stored *StoredState
	keys   Keys
	batch  batch
}

// missingEnds lists the ended jobs whose end is not stored, or another one is in place of one that
// users may have been told.
func (w *missingWriter) missingEnds() (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.known.Ends)) {
		end, ok := w.stored.Ends[id]
		if !ok || end.State != w.known.Ends[id].State && w.known.StayingEnds[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// OtherEnds lists the jobs of which another end is stored than the one that is known, and which
// nobody was told.
func OtherEnds(known *KnownState, stored *StoredState) (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(known.Ends)) {
		end, ok := stored.Ends[id]
		if ok && end.State != known.Ends[id].State && !known.StayingEnds[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// missingJobs lists the jobs that have not ended, here or in the state, and whose record
// is not stored.
func (w *missingWriter) missingJobs() (ids []string) {
	for _, id := range slices.Sorted(maps.Keys(w.known.Jobs)) {
		if isJobMissing(w.known, w.stored, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// endRevived ends a job whose record is back.
func (w *missingWriter) endRevived(id string, version wire.Revision) {
	job, end := w.keys.Job+id, w.keys.End+id
	w.batch.add([]wire.Condition{{Key: job, Version: version}, {Key: end}},
		wire.Op{Delete: job}, wire.Op{Put: end, Value: w.known.Ends[id]})
}

func (w *missingWriter) storeJob(id string) {
	job, end := w.keys.Job+id, w.keys.End+id
	w.batch.add([]wire.Condition{{Key: job}, {Key: end}}, wire.Op{Put: job, Value: w.known.Jobs[id]})
}

// storeEnd stores an end that is missing, or in place of another one: a controller that
// had not noticed the loss yet may have ended the job otherwise since.
func (w *missingWriter) storeEnd(id string) {
	job, end := w.keys.Job+id, w.keys.End+id
	w.batch.add([]wire.Condition{{Key: job}, {Key: end, Version: w.stored.Ends[id].Version}},
		wire.Op{Put: end, Value: w.known.Ends[id]})
}

// opOverhead is about what a change takes in a transaction beside key and value: its
// conditions, as JSON.
const opOverhead = 100

// batch packs changes into transactions. After an error it takes no more.
type batch struct {
	limits Limits
	txns   []wire.Txn
	bytes  int // of the last transaction
	err    error
}

// add adds changes, and the conditions under which they are made, to one transaction.
func (b *batch) add(conds []wire.Condition, ops ...wire.Op) {
	if b.err != nil {
		return
	}
	size := 0
	for _, op := range ops {
		raw, err := wire.Encode(op.Value)
		if err != nil {
			b.err = err
			return
		}
		size += len(raw)*5/4 + 2*len(op.Put+op.Delete) + opOverhead // five quarters: as base64, about
	}
	if n := len(b.txns); n == 0 || len(b.txns[n-1].Then)+len(ops) > b.limits.Ops || b.bytes+size > b.limits.Bytes {
		b.txns, b.bytes = append(b.txns, wire.Txn{}), 0
	}
	t := &b.txns[len(b.txns)-1]
	t.If, t.Then = append(t.If, conds...), append(t.Then, ops...)
	b.bytes += size
}

// entryOverhead is about what an entry takes in a page beside its key and value.
const entryOverhead = 12

// CompletedTaskPages returns the completed tasks that are known and not stored, as pages
// hold them, in groups of about maxBytes.
func CompletedTaskPages(known *KnownState, stored *StoredState, maxBytes int) []map[string]string {
	var pages []map[string]string
	size := 0
	for _, key := range slices.Sorted(maps.Keys(known.CompletedTasks)) {
		tasks := known.CompletedTasks[key]
		if covers(stored.CompletedTasks[key], tasks) {
			continue
		}
		text := base64.RawStdEncoding.EncodeToString(tasks)
		entry := len(key) + len(text) + entryOverhead
		if len(pages) == 0 || size+entry > maxBytes {
			pages, size = append(pages, map[string]string{}), 0
		}
		pages[len(pages)-1][key] = text
		size += entry
	}
	return pages
}

// covers reports whether all of b's bits are in a.
func covers(a, b []byte) bool {
	for i, v := range b {
		if v != 0 && (i >= len(a) || v&^a[i] != 0) {
			return false
		}
	}
	return true
}
