package leader

import (
	"slices"
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// levelRaiseInterval spaces the tries to raise the level. A raise is conditional on what
// all controllers have stored of themselves too; should one of these have
// changed, the whole value is refused, and the next one must not be.
const levelRaiseInterval = 5 * time.Second

// raiseLevel decides on the level of the cluster, which stands in the value and
// is raised by nobody else.
func (l *Leader) raiseLevel(rec *wire.LeaseRecord) {
	if !l.view.Params.Levels.KnowsLevels() {
		return
	}
	state := l.view.Levels()
	request := feature.OperatorRequest{TargetLevel: feature.Level(l.view.OperatorRequest.Value.TargetLevel), Hold: l.view.OperatorRequest.Value.HoldLevel}
	next, waits := l.levelRaiser.Decide(l.loop.Now, state, l.view.Params.Levels, l.view.Members(l.incarnation, l.loop.Now), request)
	if !slices.Equal(waits, l.levelBlockers) {
		l.log.Debug("level", "level", state.Level, "confirmed", state.Confirmed, "waits", waits)
		l.levelBlockers = waits
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

// LevelBlockers tells what keeps the level of the cluster from being raised.
func (l *Leader) LevelBlockers() []string { return l.levelBlockers }
