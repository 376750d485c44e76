package owner

import (
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

// StartFreshness is how old the knowledge of cancellations may be for tasks to be started:
// two watches in a row that show no change, and a second.
const StartFreshness = 2*cluster.WatchHold + time.Second

// answerMargin is how long before the last safe moment heartbeats go unanswered: what is
// sent then may still be on its way.
const answerMargin = 2 * time.Second

// watermarks says up to where the changes of jobs are known.
type watermarks struct {
	revision           wire.Revision // all changes up to this revision of the state service are known
	changesUntil       time.Time     // all changes made before this time are known
	cancellationsUntil time.Time     // all cancellations confirmed to users before this time are known
}

// advance notes that all changes up to a revision, and all made before a time, are known.
func (w *watermarks) advance(revision wire.Revision, at time.Time) {
	w.revision = max(w.revision, revision)
	if at.After(w.changesUntil) {
		w.changesUntil = at
	}
}

// advanceCancellations notes that all cancellations confirmed before a time are known.
func (w *watermarks) advanceCancellations(at time.Time) {
	if at.After(w.cancellationsUntil) {
		w.cancellationsUntil = at
	}
}

// cancellations returns the time before which all confirmed cancellations are known.
func (w *watermarks) cancellations() time.Time {
	if w.cancellationsUntil.After(w.changesUntil) {
		return w.cancellationsUntil
	}
	return w.changesUntil
}

// ChangesKnown notes that all changes of jobs up to a revision, and all made before a time,
// have been applied.
func (o *Owner) ChangesKnown(revision wire.Revision, at time.Time) {
	o.known.advance(revision, at)
	o.cancelled.noteRead(revision)
	o.cancelled.advance(at)
}

// CancellationsKnown notes that all cancellations confirmed to users before a time are known.
func (o *Owner) CancellationsKnown(at time.Time) {
	o.known.advanceCancellations(at)
	o.cancelled.advance(at)
}

// startDeadline returns until when tasks may be started: as long as the block lease lasts,
// heartbeats may be answered, and the knowledge of cancellations is fresh. A controller that
// is cut off would otherwise go on starting what was cancelled elsewhere for most of its lease.
func (o *Owner) startDeadline() time.Time {
	deadline := o.blockLease.Expires()
	if answer := o.answerDeadline(); answer.Before(deadline) {
		deadline = answer
	}
	if fresh := o.known.cancellations().Add(StartFreshness); fresh.Before(deadline) {
		deadline = fresh
	}
	return deadline
}

// mayStart reports whether tasks may be started now.
func (o *Owner) mayStart() bool {
	return o.blockLease.MayStart(o.loop.Now) && o.loop.Now.Before(o.startDeadline())
}

// answerDeadline returns until when heartbeats may be answered, which keeps tasks alive. A
// job cancelled at another controller must be gone cancel_s later: past this deadline another
// controller may have cancelled a task that an answer from here would keep alive for another
// lease_s.
func (o *Owner) answerDeadline() time.Time {
	w := o.view.Settings.Cluster.Workers
	return o.known.cancellations().Add(cluster.LocalDuration(config.Seconds(w.CancelS-w.LeaseS) - answerMargin))
}
