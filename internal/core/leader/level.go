package leader

import (
	"slices"
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// raiseGap spaces the tries to raise the level. A raise is conditional on what
// all controllers have stored of themselves too; should one of these have
// changed, the whole value is refused, and the next one must not be.
const raiseGap = 5 * time.Second

// raiseLevel decides on the level of the cluster, which stands in the value and
// is raised by nobody else.
func (l *Leader) raiseLevel(rec *wire.LeaseRecord) {
	if !l.view.Params.Levels.KnowsLevels() {
		return
	}
	st := l.view.Levels()
	word := feature.OperatorRequest{TargetLevel: feature.Level(l.view.OperatorRequest.Value.TargetLevel), Hold: l.view.OperatorRequest.Value.HoldLevel}
	next, waits := l.raise.Decide(l.loop.Now, st, l.view.Params.Levels, l.view.Members(l.inc, l.loop.Now), word)
	if !slices.Equal(waits, l.waits) {
		l.log.Debug("level", "level", st.Level, "confirmed", st.Confirmed, "waits", waits)
		l.waits = waits
	}
	if next == st || l.loop.Now.Before(l.raiseNext) {
		return
	}
	l.raiseNext = l.loop.Now.Add(raiseGap)
	l.log.Info("level raised", "from", st.Level, "to", next.Level, "confirmed", next.Confirmed)
	rec.Level, rec.Confirmed = uint32(next.Level), uint32(next.Confirmed)
	if next.Open(feature.LeaseLevel) && rec.Form < leasevalue.Form {
		rec.Form, rec.Generation = leasevalue.Form, max(1, rec.Generation)
	}
}

// LevelBlockers tells what keeps the level of the cluster from being raised.
func (l *Leader) LevelBlockers() []string { return l.waits }
