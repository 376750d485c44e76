package controller

import (
	"errors"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

const (
	// incompleteLeaseTimeout is how long a lease value may wait for its pages to come
	// with the watch before they are read.
	incompleteLeaseTimeout = 300 * time.Millisecond
	// maxPageReads bounds how often the pages are read for one reading of the lease
	// value: value and pages may both change in between.
	maxPageReads = 3
)

// leaseReader is the progress of this controller's copy of the lease value, which
// consists of the value itself and the pages beside it.
type leaseReader struct {
	pages             leasevalue.PageTable
	incomplete        *wire.Pair // a newer value of which pages are missing; nil if there is none
	incompleteSince   time.Time
	inFlight          bool          // value or pages are being read
	unreadableVersion wire.Revision // of the last value that could not be decoded
}

// supersede drops the incomplete value if one of these versions replaces it. It returns
// since when a value has been waiting for pages: now, if none was.
func (r *leaseReader) supersede(now time.Time, applied, arrived wire.Revision) (since time.Time) {
	if r.incomplete == nil {
		return now
	}
	if r.incomplete.Version <= applied || r.incomplete.Version <= arrived {
		r.incomplete = nil
	}
	return r.incompleteSince
}

// await notes a value of which pages are missing, unless a newer one waits already.
func (r *leaseReader) await(p wire.Pair, since time.Time) {
	if r.incomplete == nil {
		r.incomplete, r.incompleteSince = &p, since
	}
}

// applyLeaseValue decodes a lease value and applies it. One of which pages are missing
// waits for them: it grants nothing until it has been read whole.
func (c *Core) applyLeaseValue(p wire.Pair) {
	since := c.leaseReader.supersede(c.loop.Now, c.view.LeaseVersion, p.Version)
	if p.Version <= c.view.LeaseVersion {
		return
	}
	rec, err := c.leaseReader.pages.Read(p.Value)
	if errors.Is(err, leasevalue.ErrPageMissing) {
		c.leaseReader.await(p, since)
		return
	}
	if err == nil && c.view.Params.Levels.KnowsLevels() {
		err = c.view.Params.Levels.Follow(feature.Level(rec.Level))
	}
	if err != nil {
		c.rejectLeaseValue(p.Version, err)
		return
	}
	c.applyLease(rec, p.Version)
}

// applyLeasePage decodes a page beside the lease value, which may have waited for it.
func (c *Core) applyLeasePage(key string, value []byte) {
	if _, err := c.leaseReader.pages.ReadPage(key, value); err != nil {
		c.log.Error("cannot decode lease page", "err", err)
	}
	if c.leaseReader.incomplete != nil {
		c.applyLeaseValue(*c.leaseReader.incomplete)
	}
}

// rejectLeaseValue handles a lease value that cannot be decoded. One in a form or at a
// level that this version does not know says that the cluster has been upgraded beyond
// it: from here on this process serves nobody and holds no right. Any other may be
// damaged; it grants nothing, and the value before it counts until it lapses.
func (c *Core) rejectLeaseValue(version wire.Revision, err error) {
	if version == c.leaseReader.unreadableVersion {
		return
	}
	c.leaseReader.unreadableVersion = version
	if !c.view.Params.Levels.KnowsLevels() || !isIncompatible(err) {
		c.log.Error("cannot decode lease value", "err", err)
		return
	}
	if c.incompatible != nil {
		return
	}
	c.incompatible = err
	c.log.Error("version incompatible with the cluster", "version", c.view.Params.Version, "err", err)
	c.stopLeading()
	c.loseBlock()
}

// isIncompatible reports whether an error is that of an unknown form or level, not of
// damage.
func isIncompatible(err error) bool {
	var form wire.FormError
	var level feature.LevelError
	return errors.As(err, &form) || errors.As(err, &level)
}

// readIncompleteLease reads value and pages when a page has been missing for a while.
func (c *Core) readIncompleteLease() {
	r := &c.leaseReader
	if r.incomplete == nil || r.inFlight || c.loop.Now.Sub(r.incompleteSince) < incompleteLeaseTimeout {
		return
	}
	r.incompleteSince = c.loop.Now
	c.readLease(func(eventloop.Outcome) {})
}

// leaseReading is one reading of the lease value and, if need be, its pages.
type leaseReading struct {
	core          *Core
	pageReadsLeft int
	done          func(outcome eventloop.Outcome)
}

// readLease reads the lease value and, if need be, its pages. done receives the outcome
// of what was read last, or NoAnswer when value and pages never matched.
func (c *Core) readLease(done func(outcome eventloop.Outcome)) {
	c.leaseReader.inFlight = true
	r := &leaseReading{core: c, pageReadsLeft: maxPageReads, done: done}
	r.readValue()
}

func (r *leaseReading) finish(outcome eventloop.Outcome) {
	r.core.leaseReader.inFlight = false
	r.done(outcome)
}

func (r *leaseReading) readValue() {
	c := r.core
	known := c.view.LeaseVersion
	c.loop.Emit(eventloop.StateGet{Key: leaseKey, ID: c.loop.OnCompletion(func(d eventloop.Completion) { r.valueRead(known, d) })})
}

// valueRead handles the answer to a reading that began when a version was known.
func (r *leaseReading) valueRead(known wire.Revision, d eventloop.Completion) {
	c := r.core
	if c.recovery == nil && d.Pair.Version < known && readOrAbsent(d.Outcome) {
		// Every write of the value makes it newer. Where just the last revision is lost,
		// the next one has the same number and shows nothing; no write of the value
		// would ever find the version that it is based on.
		c.startRecovery(stateLoss{reason: lossLease, revisionSeen: known, revisionFound: d.Pair.Version})
		r.finish(eventloop.NoAnswer)
		return
	}
	if d.Outcome == eventloop.Succeeded {
		c.applyPut(leaseKey, d.Pair.Value, d.Pair.Version)
	}
	switch {
	case d.Outcome != eventloop.Succeeded || c.leaseReader.incomplete == nil:
		r.finish(d.Outcome)
	case r.pageReadsLeft == 0:
		r.finish(eventloop.NoAnswer)
	default:
		r.pageReadsLeft--
		r.readPages("")
	}
}

// readPages reads the pages behind a key.
func (r *leaseReading) readPages(after string) {
	c := r.core
	c.loop.Emit(eventloop.StateRange{Prefix: leasevalue.PagePrefix, After: after, ID: c.loop.OnCompletion(r.pagesRead)})
}

func (r *leaseReading) pagesRead(d eventloop.Completion) {
	c := r.core
	if d.Outcome != eventloop.Succeeded {
		r.finish(d.Outcome)
		return
	}
	for _, p := range d.Page.Pairs {
		c.applyPut(p.Key, p.Value, p.Version)
	}
	n := len(d.Page.Pairs)
	switch {
	case c.leaseReader.incomplete == nil:
		r.finish(eventloop.Succeeded)
	case d.Page.More && n > 0:
		r.readPages(d.Page.Pairs[n-1].Key)
	default:
		r.readValue()
	}
}
