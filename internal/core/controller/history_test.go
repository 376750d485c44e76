package controller

import (
	"testing"

	"fawncove/internal/wire"
)

// put returns what a watch shows of a write at a revision.
func put(revision wire.Revision, keys ...string) (changes []wire.Change) {
	for _, key := range keys {
		changes = append(changes, wire.Change{Put: key, Version: revision})
	}
	return changes
}

// TestChangeHistory: a change that took the place of a lost one at the same revision is told
// from one that was only seen twice, late or elsewhere.
func TestChangeHistory(t *testing.T) {
	job, lease := fingerprintOf([]string{"fc/j/a"}), fingerprintOf([]string{"fc/lease"})
	watched := func(h *changeHistory, after, to wire.Revision, log ...wire.Change) wire.Revision {
		return h.noteWatched(after, wire.Changes{Revision: to, Log: log})
	}
	for _, test := range []struct {
		name string
		play func(h *changeHistory) (lost bool)
		want bool
	}{
		{"an own write that the watch shows", func(h *changeHistory) bool {
			return h.note(11, job) || watched(h, 10, 11, put(11, "fc/j/a")...) > 0
		}, false},
		{"the watch shows another change at an own write's revision", func(h *changeHistory) bool {
			return h.note(11, job) || watched(h, 10, 11, put(11, "fc/lease")...) > 0
		}, true},
		{"the watch shows nothing at an own write's revision", func(h *changeHistory) bool {
			return h.note(11, job) || watched(h, 10, 12, put(12, "fc/lease")...) > 0
		}, true},
		{"an own write at a revision that the watch has shown to be another's", func(h *changeHistory) bool {
			return watched(h, 10, 12, put(12, "fc/lease")...) > 0 || h.note(12, job)
		}, true},
		{"an own write at a revision at which the watch has shown nothing", func(h *changeHistory) bool {
			return watched(h, 10, 12) > 0 || h.note(11, job)
		}, true},
		{"an own write outside of what is watched", func(h *changeHistory) bool {
			return h.note(11, fingerprintOf([]string{"fp/n0/1"})) || watched(h, 10, 12, put(12, "fc/lease")...) > 0
		}, false},
		{"a lagging watch after an own write", func(h *changeHistory) bool {
			return h.note(13, job) || watched(h, 10, 12, put(11, "fc/lease")...) > 0
		}, false},
		{"a peer knows the same", func(h *changeHistory) bool {
			return watched(h, 10, 12, put(11, "fc/lease")...) > 0 || h.contradicts(11, lease)
		}, false},
		{"a peer knows another change", func(h *changeHistory) bool {
			return watched(h, 10, 12, put(11, "fc/lease")...) > 0 || h.contradicts(11, job)
		}, true},
		{"a peer knows a revision that was not seen here", func(h *changeHistory) bool {
			return watched(h, 10, 12) > 0 || h.contradicts(13, job) || h.contradicts(10, job)
		}, false},
		{"the watch goes on elsewhere after a gap", func(h *changeHistory) bool {
			lost := watched(h, 10, 12) > 0
			h.beginWatch(20)
			return lost || h.contradicts(11, job) || h.contradicts(15, job) || watched(h, 20, 21) > 0
		}, false},
		{"very many changes", func(h *changeHistory) bool {
			lost := false
			for at := wire.Revision(11); at < 11+5*maxKnownRevisions; at++ {
				lost = watched(h, at-1, at, put(at, "fc/lease")...) > 0 || lost
			}
			return lost || len(h.changes) > 2*maxKnownRevisions || h.contradicts(11, job) || !h.contradicts(10+5*maxKnownRevisions, job)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h changeHistory
			h.beginWatch(10)
			if got := test.play(&h); got != test.want {
				t.Errorf("loss %v, want %v", got, test.want)
			}
		})
	}
	if fingerprintOf([]string{"fc/a", "fc/b", "fp/c"}) != fingerprintOf([]string{"fc/b", "fc/a"}) {
		t.Error("the order of the keys counts, or one that is not watched")
	}
}
