package leader

import (
	"slices"
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// levelRaiseInterval is the least time between two tries to raise the feature level. A
// raise is also conditional on what all controllers have stored of themselves; should one
// of these records have changed, the whole value is refused, and the next one must not be.
const levelRaiseInterval = 5 * time.Second

// raiseLevel decides on the feature level of the cluster, which is part of the lease
// value; only the leader raises it.
func (l *Leader) raiseLevel(rec *wire.LeaseRecord) {
	if !l.view.Params.Levels.KnowsLevels() {
		return
	}
	state := l.view.Levels()
	stored := l.view.OperatorRequest.Value
	request := feature.OperatorRequest{TargetLevel: feature.Level(stored.TargetLevel), Hold: stored.HoldLevel}
	next, blockers := l.levelRaiser.Decide(l.loop.Now, state, l.view.Params.Levels, l.view.Members(l.incarnation, l.loop.Now), request)
	if !slices.Equal(blockers, l.levelBlockers) {
		l.log.Debug("feature level", "level", state.Level, "confirmed", state.Confirmed, "blockers", blockers)
		l.levelBlockers = blockers
	}
	if next == state || l.loop.Now.Before(l.nextLevelRaise) {
		return
	}
	l.nextLevelRaise = l.loop.Now.Add(levelRaiseInterval)
	l.log.Info("level raised", "from", state.Level, "to", next.Level, "confirmed", next.Confirmed)
	rec.Level, rec.Confirmed = uint32(next.Level), uint32(next.Confirmed)
	if next.Open(feature.LeaseLevel) && rec.Form < leasevalue.Form {
		rec.Form, rec.Generation = leasevalue.Form, max(1, rec.Generation)
	}
}

// LevelBlockers returns what keeps the level of the cluster from being raised.
func (l *Leader) LevelBlockers() []string { return l.levelBlockers }
