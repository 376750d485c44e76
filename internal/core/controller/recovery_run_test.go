package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/recovery"
	"fawncove/internal/peerpb"
	"fawncove/internal/wire"
)

// TestRestoredCountsInItsAttemptOnly: what a controller said of an earlier attempt of a
// recovery says nothing of what the state lost since. One of an earlier version does not say
// of which attempt it speaks.
func TestRestoredCountsInItsAttemptOnly(t *testing.T) {
	began := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	second := &recoveryRun{attempt: recoveryAttempt{number: 2, startedAt: began, mark: 46}}
	first := &recoveryRun{attempt: recoveryAttempt{number: 1, startedAt: began, mark: 46}}
	for name, c := range map[string]struct {
		run   *recoveryRun
		peer  cluster.Peer
		after time.Duration
		want  bool
	}{
		"this attempt":   {second, cluster.Peer{StateRestored: true, RecoveryMark: 46}, 0, true},
		"an earlier one": {second, cluster.Peer{StateRestored: true, RecoveryMark: 45}, time.Hour, false},
		"not restored":   {second, cluster.Peer{RecoveryMark: 46}, time.Hour, false},
		"earlier version, restored before the loss": {second, cluster.Peer{StateRestored: true, UnrestoredAt: began.Add(-time.Second)}, 5 * time.Second, false},
		"earlier version, restored since":           {second, cluster.Peer{StateRestored: true, UnrestoredAt: began.Add(time.Second)}, 5 * time.Second, true},
		"earlier version, for long":                 {second, cluster.Peer{StateRestored: true}, earlierVersionTimeout + time.Second, true},
		"earlier version, one loss":                 {first, cluster.Peer{StateRestored: true}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.run.hasRestored(&c.peer, began.Add(c.after)); got != c.want {
				t.Errorf("counts as restored: %v, want %v", got, c.want)
			}
		})
	}
}

// scriptedStore answers a core's calls to the state service by hand.
type scriptedStore struct {
	t    *testing.T
	core *Core
	now  time.Time
	// page answers a range, get a key and txn a transaction; without one there is no answer.
	page func(r eventloop.StateRange) (wire.Page, bool)
	get  func(key string) (outcome eventloop.Outcome, pair wire.Pair)
	txn  func(txn wire.Txn) (revision wire.Revision, ok bool)

	watch  uint64 // the open one
	frames []*peerpb.Frame
}

// step lets the core take an event, and answers what it asks.
func (s *scriptedStore) step(ev eventloop.Event) {
	s.t.Helper()
	for _, effect := range s.core.Step(s.now, ev) {
		answer := eventloop.Completion{FromStateService: true, Outcome: eventloop.Succeeded}
		switch e := effect.(type) {
		case eventloop.StateRange:
			page, ok := s.page(e)
			if !ok {
				continue
			}
			answer.ID, answer.Page = e.ID, page
		case eventloop.StateGet:
			answer.ID = e.ID
			answer.Outcome, answer.Pair = s.get(e.Key)
		case eventloop.StateTxn:
			revision, ok := s.txn(e.Txn)
			if !ok {
				continue
			}
			answer.ID, answer.Txn.Revision = e.ID, revision
		case eventloop.StateWatch:
			s.watch = e.ID
			continue
		case eventloop.PeerSend:
			s.frames = append(s.frames, e.Frame)
			continue
		default:
			continue
		}
		s.step(answer)
	}
}

// newScriptedStore returns a core that knows one job, at a revision, and its state service:
// empty, and without an answer to any write.
func newScriptedStore(t *testing.T, revision wire.Revision) (s *scriptedStore, job string) {
	t.Helper()
	core, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{Term: 3, Leader: "n1"})
	record := wire.JobRecord{Job: wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1}}
	core.applyPut(jobPrefix+record.ID, encode(t, record), revision-10)
	core.loop.RaiseHighestRevision(revision)
	return &scriptedStore{t: t, core: core, now: now,
		page: func(eventloop.StateRange) (wire.Page, bool) { return wire.Page{Revision: revision}, true },
		get:  func(string) (eventloop.Outcome, wire.Pair) { return eventloop.NotFound, wire.Pair{} },
		txn:  func(wire.Txn) (wire.Revision, bool) { return 0, false },
	}, record.ID
}

// tick lets time pass.
func (s *scriptedStore) tick(d time.Duration) {
	s.t.Helper()
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(50 * time.Millisecond)
		s.step(eventloop.Tick{})
	}
}

// TestLossWhileReadingAnewIsRecovered: a watch came too late, so a controller reads the state
// anew, and the state loses data between two pages. What the controller knew before is not
// to be dropped by what it reads then.
func TestLossWhileReadingAnewIsRecovered(t *testing.T) {
	s, job := newScriptedStore(t, 100)
	s.step(eventloop.Tick{})
	first := true
	s.page = func(r eventloop.StateRange) (wire.Page, bool) {
		if r.Prefix == jobPrefix && first {
			first = false
			return wire.Page{Revision: 110, More: true, Pairs: []wire.Pair{{Key: jobPrefix + "wk-000000", Value: encode(t, wire.JobRecord{Job: wire.Job{ID: "wk-000000", Team: "free"}}), Version: 20}}}, true
		}
		return wire.Page{Revision: 30}, true // the job is not there any more
	}
	s.step(eventloop.Completion{ID: s.watch, FromStateService: true, Outcome: eventloop.Compacted})
	s.tick(5 * time.Second)
	if s.core.recovery == nil {
		t.Fatal("no recovery though the revision went from 110 to 30 between two pages")
	}
	if known := s.core.knownState(); known.Jobs[job] == nil {
		t.Errorf("%s is not known any more", job)
	}
}

// TestLossAfterRestartIsRecovered: controllers start anew after a recovery, none has read the
// state yet, and it loses data once more. They still know all that they had restored.
func TestLossAfterRestartIsRecovered(t *testing.T) {
	s, job := newScriptedStore(t, 100)
	ended := wire.EndRecord{State: wire.Done, Tasks: 1, Done: 1}
	s.core.ended.add("wk-000002", ended, 0)
	s.core.startRecovery(stateLoss{reason: lossPeer, revisionSeen: 100})
	s.core.recovery.noteRestored()
	s.core.restart(2)
	// Another controller still ends the recovery; that is no loss of the state recovered.
	s.step(eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Form: frameForm, Generation: 1, StateLost: true, StateRestored: true, StateOk: true}})
	if s.core.recovery != nil {
		t.Fatal("recovers again because another controller has not ended the recovery yet")
	}
	s.step(eventloop.PeerFrame{Frame: &peerpb.Frame{From: "n1", Form: frameForm, Generation: 2, StateLost: true, StateOk: true}})
	if s.core.recovery == nil || s.core.recovery.generation != 2 {
		t.Fatalf("recovery %+v, want one of generation 2, as another controller has said", s.core.recovery)
	}
	known := s.core.knownState()
	if known.Jobs[job] == nil || known.Ends["wk-000002"] != ended {
		t.Errorf("known: %v, want what was known before the restart", known)
	}
	if !s.core.HasEnded("wk-000002") {
		t.Error("an end that was stored is not known after the restart")
	}
}

// TestFrameWhileReadingSaysItCanRecover: a controller that is reading the state can recover
// it; one that seems to be of a version which cannot would stop all others from that.
func TestFrameWhileReadingSaysItCanRecover(t *testing.T) {
	s, _ := newScriptedStore(t, 100)
	s.core.state.invalidate()
	if f := s.core.newFrame(); f.GetGeneration() == 0 || f.GetRevision() != 0 {
		t.Errorf("generation %d, revision %d, want a generation and no revision", f.GetGeneration(), f.GetRevision())
	}
}

// TestMarkOfAnEarlierAttemptIsReplaced: a second loss puts the same copy in place, so that a
// mark comes to the same revision again. A write of the first attempt that is late would be
// carried out if that mark began the second.
func TestMarkOfAnEarlierAttemptIsReplaced(t *testing.T) {
	s, _ := newScriptedStore(t, 100)
	var stored []wire.Pair
	revision := wire.Revision(44)
	s.page = func(eventloop.StateRange) (wire.Page, bool) {
		return wire.Page{Revision: revision, Pairs: stored}, true
	}
	s.txn = func(txn wire.Txn) (wire.Revision, bool) {
		if txn.Then[0].Put != generationKey {
			return 0, false
		}
		revision++
		stored = []wire.Pair{{Key: generationKey, Value: encode(t, txn.Then[0].Value.(recovery.Generation)), Version: revision}}
		return revision, true
	}
	s.core.startRecovery(stateLoss{reason: lossRevision, revisionSeen: 100, revisionFound: 44})
	s.tick(time.Second)
	if mark := s.core.recovery.attempt.mark; mark != 45 {
		t.Fatalf("mark %d, want 45", mark)
	}
	stored, revision = nil, 44
	s.tick(2 * time.Second)
	if a := s.core.recovery.attempt; a.number != 2 || a.mark == 45 || a.mark == 0 {
		t.Errorf("attempt %d with mark %d, want the second with a mark of its own", a.number, a.mark)
	}
}

// TestOldConflictIsNoCurrentRecord: a check shows that a job has ended; before its end is
// read the state is replaced by a copy in which it has not.
func TestOldConflictIsNoCurrentRecord(t *testing.T) {
	for name, shown := range map[string]conflict{
		"an end was there":               {ended: true},
		"the record had another version": {recordDiffers: true, expected: 90},
	} {
		t.Run(name, func(t *testing.T) {
			s, job := newScriptedStore(t, 100)
			record := s.core.owner.Records()[job]
			s.get = func(key string) (eventloop.Outcome, wire.Pair) {
				if key != jobPrefix+job {
					return eventloop.NotFound, wire.Pair{}
				}
				return eventloop.Succeeded, wire.Pair{Key: key, Value: encode(t, record), Version: 90}
			}
			read := true
			s.core.refreshAfterConflict(job, shown, func(r bool) { read = r })
			for _, effect := range s.core.loop.Effects() {
				if e, ok := effect.(eventloop.StateGet); ok {
					outcome, pair := s.get(e.Key)
					s.step(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: outcome, Pair: pair})
				}
			}
			if read || s.core.recovery == nil {
				t.Errorf("read: %v, recovery: %v, want neither an answer nor no loss noticed", read, s.core.recovery != nil)
			}
		})
	}
}

// TestMissingGenerationIsALoss: a copy of before the last recovery may have higher revisions
// than that began with; then only the generation shows the loss.
func TestMissingGenerationIsALoss(t *testing.T) {
	s, _ := newScriptedStore(t, 100)
	s.core.storedGeneration = cluster.Stored[recovery.Generation]{Value: recovery.Generation{Generation: 2}, Version: 60}
	s.core.readGeneration(func(eventloop.Outcome) {})
	for _, effect := range s.core.loop.Effects() {
		if e, ok := effect.(eventloop.StateGet); ok {
			s.step(eventloop.Completion{ID: e.ID, FromStateService: true, Outcome: eventloop.NotFound})
		}
	}
	if s.core.recovery == nil {
		t.Error("no recovery though the generation is gone")
	}
}

// TestAnswerFromBeforeALossIsNoSecondLoss: an answer to a call that was made before a loss was
// noticed is of the state before or of that loss; it neither shows another one nor says how
// far the state is now.
func TestAnswerFromBeforeALossIsNoSecondLoss(t *testing.T) {
	for _, revision := range []wire.Revision{40, 100} {
		s, _ := newScriptedStore(t, 100)
		s.step(eventloop.Tick{})
		old := s.watch
		s.core.startRecovery(stateLoss{reason: lossPeer, revisionSeen: 100})
		s.core.loop.RaiseHighestRevision(50)
		s.step(eventloop.Completion{ID: old, FromStateService: true, Outcome: eventloop.Succeeded, Changes: wire.Changes{Revision: revision}})
		if number, highest := s.core.recovery.attempt.number, s.core.loop.HighestRevision(); number != 1 || highest != 50 {
			t.Errorf("answer of revision %d: attempt %d, highest revision %d, want 1 and 50", revision, number, highest)
		}
	}
}

// TestLeaseOfAnEarlierTermIsALoss: a copy of before the last recovery has higher revisions
// than there were since. Its lease value was applied, as it was newer by its version, and the
// partitions of jobs accepted since were gone: nobody owned them, and they stayed pending for
// ever. In the log of seed 20346 of TestSeveralLosses: "leadership lost" with term=1 after
// "leadership won" with term=771, and only then "the state has lost data".
func TestLeaseOfAnEarlierTermIsALoss(t *testing.T) {
	s, _ := newScriptedStore(t, 100)
	older := wire.LeaseRecord{Term: 2, Leader: "n1", Partitions: map[string]string{"free": "n1"}}
	s.core.applyLease(older, 200)
	if s.core.recovery == nil || s.core.view.Lease.Term != 3 {
		t.Errorf("recovery: %v, term %d, want a recovery and term 3 still", s.core.recovery != nil, s.core.view.Lease.Term)
	}
}

// TestEvidenceNeedsAMarkOfItsOwn: a controller that has seen a loss finds the state marked
// already. That mark may be older than the loss, and others may have restored under it what
// is gone again.
func TestEvidenceNeedsAMarkOfItsOwn(t *testing.T) {
	for name, c := range map[string]struct {
		reason lossReason
		marks  bool
	}{"seen here": {lossRevision, true}, "said by another controller": {lossPeer, false}} {
		t.Run(name, func(t *testing.T) {
			s, _ := newScriptedStore(t, 100)
			mark := wire.Pair{Key: generationKey, Version: 45, Value: encode(t, recovery.Generation{Generation: 1, Rebuilding: true, Controller: "n1"})}
			s.page = func(eventloop.StateRange) (wire.Page, bool) {
				return wire.Page{Revision: 45, Pairs: []wire.Pair{mark}}, true
			}
			marked := false
			s.txn = func(txn wire.Txn) (wire.Revision, bool) {
				marked = marked || txn.Then[0].Put == generationKey
				return 46, true
			}
			s.core.startRecovery(stateLoss{reason: c.reason, revisionSeen: 100})
			s.tick(time.Second / 4)
			if marked != c.marks {
				t.Errorf("writes a mark: %v, want %v", marked, c.marks)
			}
		})
	}
}

// TestReadingThatMeetsALossIsDropped: a process that knows nothing reads the state, which loses
// data between two pages. What it has read is of two states: it does not read on, as a last
// page that comes late would end the reading after everybody has long noticed the loss.
func TestReadingThatMeetsALossIsDropped(t *testing.T) {
	s, _ := newScriptedStore(t, 100)
	*s.core = *New(s.core.view.Settings, s.core.view.Params, s.core.log, 8)
	pages := 0
	s.page = func(r eventloop.StateRange) (wire.Page, bool) {
		if pages++; pages > 2 {
			return wire.Page{}, false
		}
		record := wire.JobRecord{Job: wire.Job{ID: "wk-000009"}}
		return wire.Page{Revision: []wire.Revision{110, 30}[pages-1], More: true, Pairs: []wire.Pair{{Key: jobPrefix + record.ID, Value: encode(t, record), Version: 20}}}, true
	}
	s.tick(400 * time.Millisecond)
	if pages != 2 {
		t.Errorf("%d pages were read, want two: the second shows the loss", pages)
	}
}
