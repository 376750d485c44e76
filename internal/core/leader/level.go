package leader

import (
	"slices"
	"time"

	"fawncove/internal/core/gate"
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
	if !l.view.Par.Levels.Gated() {
		return
	}
	st := l.view.Levels()
	word := gate.Word{Level: gate.Level(l.view.Word.Value.TargetLevel), Hold: l.view.Word.Value.HoldLevel}
	next, waits := l.raise.Decide(l.loop.Now, st, l.view.Par.Levels, l.view.Members(l.inc, l.loop.Now), word)
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
	if next.Open(gate.LeaseLevel) && rec.Form < leasevalue.Form {
		rec.Form, rec.Generation = leasevalue.Form, max(1, rec.Generation)
	}
}

// Waits tells what keeps the level of the cluster from being raised.
func (l *Leader) Waits() []string { return l.waits }
