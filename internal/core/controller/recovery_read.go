package controller

import (
	"strings"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/core/owner"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// storedState is what the state service holds, as a recovery reads it.
type storedState struct {
	records           recovery.StoredState
	completedPages    map[string]bool // keys of the pages of completed tasks
	firstRevision     wire.Revision   // of the first page that was read
	revision          wire.Revision   // of the last one
	pages             int             // read
	lease             wire.LeaseRecord
	leaseVersion      wire.Revision // 0: there is no lease value
	leasePages        leasevalue.PageTable
	generation        recovery.Generation
	generationVersion wire.Revision
}

// storedStateReading is one reading of everything that the state service holds.
type storedStateReading struct {
	core       *Core
	run        *recoveryRun
	prefixes   []string // still to be read
	state      *storedState
	leaseValue []byte // decoded last, as its pages may come after it
	done       func(s *storedState)
}

// readStoredState reads everything as a step of a recovery. done receives what was
// read, and is not called if that failed.
func (c *Core) readStoredState(run *recoveryRun, done func(s *storedState)) {
	r := &storedStateReading{core: c, run: run, prefixes: []string{root, owner.PagePrefix}, done: done,
		state: &storedState{completedPages: map[string]bool{}, records: recovery.StoredState{
			Jobs: map[string]wire.Revision{}, Ends: map[string]recovery.StoredEnd{}, CompletedTasks: map[string][]byte{}}}}
	r.readPage("")
}

// readPage reads the page behind a key.
func (r *storedStateReading) readPage(after string) {
	c := r.core
	c.loop.Emit(eventloop.StateRange{Prefix: r.prefixes[0], After: after, ID: c.onRecoveryAnswer(r.pageRead)})
}

func (r *storedStateReading) pageRead(d eventloop.Completion) {
	c := r.core
	if d.Outcome != eventloop.Succeeded {
		r.run.stepDone(c.loop.Now)
		return
	}
	r.countPage(d.Page.Revision)
	for _, p := range d.Page.Pairs {
		r.add(p)
	}
	if n := len(d.Page.Pairs); d.Page.More && n > 0 {
		r.readPage(d.Page.Pairs[n-1].Key)
		return
	}
	if r.prefixes = r.prefixes[1:]; len(r.prefixes) > 0 {
		r.readPage("")
		return
	}
	r.decodeLease()
	r.run.stepDone(c.loop.Now)
	r.logResult()
	r.done(r.state)
}

// countPage notes that a page was read at a revision.
func (r *storedStateReading) countPage(revision wire.Revision) {
	if r.state.pages == 0 {
		r.state.firstRevision = revision
	}
	r.state.pages++
	r.state.revision = revision
}

// logResult logs what the reading covers.
func (r *storedStateReading) logResult() {
	s, records := r.state, &r.state.records
	r.core.log.Info("stored state read", "attempt", r.run.attempt.number, "phase", r.run.phase, "pages", s.pages, "first_revision", s.firstRevision, "revision", s.revision,
		"jobs", len(records.Jobs), "ends", len(records.Ends), "completed_pages", len(s.completedPages), "lease_version", s.leaseVersion, "generation_version", s.generationVersion)
}

// add notes one key. What cannot be decoded counts as not there.
func (r *storedStateReading) add(p wire.Pair) {
	s := r.state
	switch {
	case strings.HasPrefix(p.Key, jobPrefix):
		s.records.Jobs[p.Key[len(jobPrefix):]] = p.Version
	case strings.HasPrefix(p.Key, endPrefix):
		r.addEnd(p)
	case strings.HasPrefix(p.Key, owner.PagePrefix):
		r.addCompletedTasks(p)
	case strings.HasPrefix(p.Key, leasevalue.PagePrefix):
		if _, err := s.leasePages.ReadPage(p.Key, p.Value); err != nil {
			r.core.log.Error("cannot decode lease page", "err", err)
		}
	case p.Key == leaseKey:
		r.leaseValue, s.leaseVersion = p.Value, p.Version
	case p.Key == generationKey:
		s.generationVersion = p.Version
		var err error
		if s.generation, err = recovery.Decode(p.Value); err != nil {
			r.core.log.Error("cannot decode generation", "err", err)
		}
	}
}

func (r *storedStateReading) addEnd(p wire.Pair) {
	var end wire.EndRecord
	if err := wire.Decode(p.Value, &end); err != nil {
		r.core.log.Error("cannot decode end record", "key", p.Key, "err", err)
	}
	r.state.records.Ends[p.Key[len(endPrefix):]] = recovery.StoredEnd{State: end.State, Version: p.Version}
}

// addCompletedTasks notes a page of completed tasks; several pages may have some of the
// same ones.
func (r *storedStateReading) addCompletedTasks(p wire.Pair) {
	r.state.completedPages[p.Key] = true
	completed, err := r.core.owner.ParsePage(p.Key, p.Value)
	if err != nil {
		r.core.log.Error("cannot decode page of completed tasks", "key", p.Key, "err", err)
	}
	tasks := r.state.records.CompletedTasks
	for entry, raw := range completed {
		tasks[entry] = owner.MergeCompleted(tasks[entry], raw)
	}
}

// decodeLease decodes the lease value with its pages. Half of it may be gone; then what
// the controllers know of it counts.
func (r *storedStateReading) decodeLease() {
	if r.leaseValue == nil {
		return
	}
	rec, err := r.state.leasePages.Read(r.leaseValue)
	if err != nil {
		r.core.log.Error("cannot decode lease value", "err", err)
		return
	}
	r.state.lease = rec
}
