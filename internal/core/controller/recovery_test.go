package controller

import (
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/recovery"
	"fawncove/internal/wire"
)

// storeLosingData is a state service under recovery that loses its data once more, while
// the reading that follows the restore is under way: its first page still has the record.
type storeLosingData struct {
	generation []byte // stored value
	record     wire.Pair
	lost       bool
}

// page answers a reading of a range.
func (s *storeLosingData) page(prefix string) wire.Page {
	page := wire.Page{Revision: 90}
	switch prefix {
	case generationKey, root:
		page.Pairs = []wire.Pair{{Key: generationKey, Value: s.generation, Version: 45}}
		if prefix == root && !s.lost {
			page.Pairs = append(page.Pairs, s.record)
		}
	default:
		s.lost = true
	}
	if s.lost {
		page.Revision = 30
	}
	return page
}

// TestLossDuringRestoreIsNoticed guards against a recovery that counts as restored what the
// state service lost again between two pages of the reading that checks it: the job would
// be forgotten.
//
// What happened: the second loss reset the recovery, but the reading that was under way
// went on to its end. Its first page was of before the loss and had the record, so nothing
// seemed to be missing. Why: an answer was not compared with the attempt it belonged to.
// What showed it: "the state has lost data during its recovery" with attempt=1
// revision_seen=90 revision_found=30, and after it, in the same step, "stored state read"
// first_revision=90 revision=30 and "known state is stored". Now the second is "answer to
// an earlier attempt of the recovery ignored" attempt=1 current_attempt=2.
func TestLossDuringRestoreIsNoticed(t *testing.T) {
	core, now := newCore(t, []config.Team{{Name: "free"}}, wire.LeaseRecord{})
	job := wire.Job{ID: "wk-000001", Team: "free", Shape: wire.Array, Priority: "standard", Tasks: 1, CPUs: 1}
	record := wire.Pair{Key: jobPrefix + job.ID, Value: encode(t, wire.JobRecord{Job: job}), Version: 40}
	store := &storeLosingData{
		generation: encode(t, recovery.Generation{Form: recovery.GenerationForm, Generation: 1, Rebuilding: true}),
		record:     record,
	}
	core.applyPut(record.Key, record.Value, record.Version)
	core.loop.RaiseHighestRevision(100)
	core.startRecovery(stateLoss{reason: lossPeer, revisionSeen: 100})
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		effects := core.Step(now, eventloop.Tick{})
		for len(effects) > 0 {
			request, isRange := effects[0].(eventloop.StateRange)
			effects = effects[1:]
			if !isRange {
				continue // a write, which is never answered
			}
			effects = append(effects, core.Step(now, eventloop.Completion{
				ID: request.ID, FromStateService: true, Outcome: eventloop.Succeeded, Page: store.page(request.Prefix),
			})...)
			if store.lost && core.recovery != nil && core.recovery.restored {
				t.Fatal("restored = true though the record is lost, want it stored again first")
			}
		}
	}
	if !store.lost {
		t.Fatal("the state service was not read to the end, want a second loss")
	}
}
