package controller

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// A revision says how many changes there were, and not which. When the state loses its last
// changes and as many others follow, no revision is lower than before. So controllers
// remember which keys were written at the latest revisions, by their own writes and by the
// watch, and tell each other: two changes at one revision show that the first is lost.

const (
	// maxKnownRevisions is how many of the latest revisions a controller remembers.
	maxKnownRevisions = 1024
	// maxPublishedChanges is how many of them a frame has: those of a second at the write
	// limit of a large deployment, twice.
	maxPublishedChanges = 128
)

// fingerprint stands for the keys below root that were written at one revision; 0: none.
type fingerprint uint64

// fingerprintOf returns the fingerprint of a change that writes these keys. Values are no
// part of it: the state service may encode them anew.
func fingerprintOf(keys []string) fingerprint {
	below := slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return !strings.HasPrefix(key, root) })
	if len(below) == 0 {
		return 0
	}
	slices.Sort(below)
	h := fnv.New64a()
	for _, key := range below {
		h.Write([]byte(key))
		h.Write([]byte{0})
	}
	return fingerprint(max(1, h.Sum64()))
}

// changeHistory is what this controller knows of the latest changes of the state.
type changeHistory struct {
	// The watch has shown all changes after watchedFrom, up to watchedTo.
	watchedFrom, watchedTo wire.Revision
	changes                map[wire.Revision]fingerprint
}

// beginWatch notes that the watch goes on from a revision; what was between it and an
// earlier watch is not known.
func (h *changeHistory) beginWatch(revision wire.Revision) {
	h.watchedFrom, h.watchedTo = revision, revision
	maps.DeleteFunc(h.changes, func(at wire.Revision, _ fingerprint) bool { return at <= revision })
}

// at returns what was written at a revision; known is false if this controller cannot tell.
func (h *changeHistory) at(revision wire.Revision) (change fingerprint, known bool) {
	change, known = h.changes[revision]
	return change, known || (h.watchedFrom < revision && revision <= h.watchedTo)
}

// contradicts reports whether another change is known at a revision.
func (h *changeHistory) contradicts(revision wire.Revision, change fingerprint) bool {
	known, ok := h.at(revision)
	return ok && known != change
}

// note notes what was written at a revision, and reports whether that was another change
// before.
func (h *changeHistory) note(revision wire.Revision, change fingerprint) (contradiction bool) {
	if h.contradicts(revision, change) {
		return true
	}
	if h.changes == nil {
		h.changes = map[wire.Revision]fingerprint{}
	}
	h.changes[revision] = change
	if len(h.changes) > 2*maxKnownRevisions {
		h.forgetOldest()
	}
	return false
}

// forgetOldest forgets all but the latest changes.
func (h *changeHistory) forgetOldest() {
	latest := slices.Sorted(maps.Keys(h.changes))
	oldest := latest[len(latest)-maxKnownRevisions]
	maps.DeleteFunc(h.changes, func(at wire.Revision, _ fingerprint) bool { return at < oldest })
	h.watchedFrom = max(h.watchedFrom, oldest-1)
	h.watchedTo = max(h.watchedTo, h.watchedFrom)
}

// noteWatched notes what the watch shows of the changes after one revision, up to another.
// It returns the revision at which another change was known before, or 0.
func (h *changeHistory) noteWatched(after wire.Revision, shown wire.Changes) (contradiction wire.Revision) {
	keys := map[wire.Revision][]string{}
	for _, change := range shown.Log {
		if change.Put != "" {
			keys[change.Version] = append(keys[change.Version], change.Put)
		}
	}
	for revision, known := range h.changes {
		inside := after < revision && revision <= shown.Revision
		if inside && known != fingerprintOf(keys[revision]) {
			contradiction = max(contradiction, revision)
		}
	}
	for revision, written := range keys {
		if h.note(revision, fingerprintOf(written)) {
			contradiction = max(contradiction, revision)
		}
	}
	if after > h.watchedTo {
		h.watchedFrom = after
	}
	h.watchedTo = max(h.watchedTo, shown.Revision)
	return contradiction
}

// latest returns the latest changes, the newest first.
func (h *changeHistory) latest(count int) (changes []*peerpb.RecentChange) {
	revisions := slices.SortedFunc(maps.Keys(h.changes), func(a, b wire.Revision) int { return cmp.Compare(b, a) })
	for _, revision := range revisions[:min(count, len(revisions))] {
		changes = append(changes, &peerpb.RecentChange{Revision: uint64(revision), Keys: uint64(h.changes[revision])})
	}
	return changes
}

// noteChanges looks for a loss of data in what an answer says of changes: that of a write, or
// of the watch.
func (c *Core) noteChanges(d *eventloop.Completion, call eventloop.CallInfo) {
	if d.Outcome != eventloop.Succeeded || !c.view.Params.Levels.KnowsLevels() {
		return
	}
	var lost wire.Revision
	switch {
	case len(call.Puts) > 0:
		if c.history.note(d.Txn.Revision, fingerprintOf(call.Puts)) {
			lost = d.Txn.Revision
		}
	case d.Changes.Revision > 0 && c.state.loaded():
		lost = c.history.noteWatched(c.state.revision, d.Changes)
	}
	if lost > 0 {
		c.startRecovery(stateLoss{reason: lossChange, revisionSeen: lost, revisionFound: lost})
	}
}

// addRecentChanges writes the latest known changes into a frame for all peers.
func (c *Core) addRecentChanges(f *peerpb.Frame) {
	if c.view.Params.Levels.KnowsLevels() && c.state.loaded() && c.recovery == nil {
		f.RecentChanges = c.history.latest(maxPublishedChanges)
	}
}

// handleRecentChanges compares the changes that a peer knows with those known here. A peer
// that works with another generation knows another history, and one of an earlier version
// says nothing.
func (c *Core) handleRecentChanges(p *cluster.Peer, f *peerpb.Frame) {
	if c.recovery != nil || !c.state.loaded() || p.StateLost || p.Generation != c.generation() {
		return
	}
	for _, change := range f.GetRecentChanges() {
		revision := wire.Revision(change.GetRevision())
		if c.history.contradicts(revision, fingerprint(change.GetKeys())) {
			c.startRecovery(stateLoss{reason: lossChange, revisionSeen: revision, revisionFound: revision})
			return
		}
	}
}
