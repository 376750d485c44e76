package controller

import (
	"time"

	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// Keys of the state service. Everything that a controller watches is below root.
const (
	root          = "fc/"
	jobPrefix     = root + "j/"
	endPrefix     = root + "t/"
	renewalPrefix = root + "r/"

	cancellationPrefix = root + "c/"

	leaseKey = leasevalue.Key
)

const (
	// stateTimeout is the silence after which the state service counts as
	// unreachable. The watch is answered every two seconds if nothing else is, so
	// this is two of its answers.
	stateTimeout = 4 * time.Second
	// stateReadRetry is the pause after an attempt to read the state failed.
	stateReadRetry = 500 * time.Millisecond
	// watchRetry is the pause after a watch failed.
	watchRetry = 200 * time.Millisecond

	// watchRequestShare and freshnessRequestShare are the parts of the state
	// service's request limit that all controllers' watches and freshness checks may
	// take together.
	watchRequestShare     = 0.4
	freshnessRequestShare = 0.25
)

// readPhase is how far this controller has read the state.
//
//	stateUnread → readingGeneration → readingJobs → readingLease → stateRead   a reading
//	readingGeneration, readingJobs, readingLease → stateUnread                 when it fails
//	stateRead ⇄ stateWatched                                                   as a watch is open or not
//	stateRead → stateUnread                                                    when the watch came too late
type readPhase int

const (
	stateUnread readPhase = iota
	readingGeneration
	readingJobs
	readingLease
	// stateRead: read as a whole; the next watch is yet to be opened.
	stateRead
	// stateWatched: the open watch keeps what was read up to date.
	stateWatched
)

// stateReader is the progress of this controller's copy of the state: read as a
// whole once, then kept up to date by a watch.
type stateReader struct {
	phase       readPhase
	retryAt     time.Time     // no reading begins before
	revision    wire.Revision // all changes up to it are applied
	nextWatchAt time.Time     // no watch is opened before
	lastAnswer  time.Time     // when the state service last answered
}

// loaded reports whether the state has been read as a whole.
func (s *stateReader) loaded() bool { return s.phase == stateRead || s.phase == stateWatched }

// begin starts a reading, and reports whether one may start now.
func (s *stateReader) begin(now time.Time) bool {
	if s.phase != stateUnread || now.Before(s.retryAt) {
		return false
	}
	s.phase = readingGeneration
	return true
}

// beginReadingJobs ends the reading of the generation.
func (s *stateReader) beginReadingJobs() { s.phase = readingJobs }

// beginReadingLease ends the reading of the jobs.
func (s *stateReader) beginReadingLease() { s.phase = readingLease }

// fail ends a reading without a result.
func (s *stateReader) fail(now time.Time) {
	s.phase = stateUnread
	s.retryAt = now.Add(stateReadRetry)
}

// complete ends a reading that shows all changes up to a revision.
func (s *stateReader) complete(revision wire.Revision) {
	s.phase, s.revision = stateRead, revision
}

// openWatch opens a watch, and reports whether one may be opened now.
func (s *stateReader) openWatch(now time.Time) bool {
	if s.phase != stateRead || now.Before(s.nextWatchAt) {
		return false
	}
	s.phase = stateWatched
	return true
}

// closeWatch notes that the watch was answered; the next one is opened at a time.
func (s *stateReader) closeWatch(nextAt time.Time) {
	s.phase, s.nextWatchAt = stateRead, nextAt
}

// invalidate makes a new reading necessary.
func (s *stateReader) invalidate() { s.phase = stateUnread }

// reachable reports whether the state service has answered of late.
func (s *stateReader) reachable(now time.Time) bool { return now.Sub(s.lastAnswer) < stateTimeout }

// stateReachable reports whether the state service answers. Where it does not, users
// are refused at once.
func (c *Core) stateReachable() bool { return c.state.reachable(c.loop.Now) }

// requestInterval spaces requests of one kind so that those of all controllers stay
// within a share of the state service's request limit.
func (c *Core) requestInterval(share float64) time.Duration {
	perSecond := share * c.view.Settings.Cluster.State.RPS / float64(c.view.Settings.Controllers())
	return time.Duration(float64(time.Second) / max(1, perSecond))
}
