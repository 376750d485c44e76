package simtest

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// comeBackTroubles are the ways in which all controllers come back at once.
var comeBackTroubles = []struct {
	name  string
	begin func(w *World, d time.Duration)
}{
	{"go on", func(*World, time.Duration) {}},
	{"crash", func(w *World, d time.Duration) { w.crashAll(d) }},
	{"stand still", func(w *World, d time.Duration) { w.freezeAll(d) }},
	{"crash while the state service is away", func(w *World, d time.Duration) {
		w.Outage(d, "")
		w.crashAll(time.Second)
	}},
}

// TestNoSoundMachineIsReturnedAsControllersComeBack guards against machines that are returned with work
// on them because all controllers were away while jobs had just been cancelled, though none hangs: some
// can reach no controller for a while after these are back.
func TestNoSoundMachineIsReturnedAsControllersComeBack(t *testing.T) {
	for _, trouble := range comeBackTroubles {
		for _, away := range []time.Duration{3 * time.Second, 9 * time.Second} {
			for _, mute := range []time.Duration{0, 4 * time.Second} {
				for seed := *hangFirst; seed < *hangFirst+5**hangSeeds; seed++ {
					w := newCameBackWorld(seed)
					trouble.begin(w, away)
					w.Run(away)
					muted := 0
					for _, k := range w.byName() {
						if !k.gone && len(k.tasks) > 0 && muted < 3 {
							k.Mute(mute)
							muted++
						}
					}
					w.Run(45 * time.Second)
					for _, x := range append(w.Broken(), w.returned...) {
						t.Errorf("all controllers %s for %v, machines reach none for %v, seed %d: %s", trouble.name, away, mute, seed, x)
					}
				}
			}
		}
	}
}

// TestCutOffZoneOutlivesARestart guards against the machines of a zone that is cut off and given up
// sooner, or terminated, because all controllers have just come back: nothing that was cancelled is
// left on them.
func TestCutOffZoneOutlivesARestart(t *testing.T) {
	for _, trouble := range comeBackTroubles {
		for seed := *hangFirst; seed < *hangFirst+8**hangSeeds; seed++ {
			w := newCameBackWorld(seed)
			var early lossesOfCancelled
			w.logs = &early
			trouble.begin(w, 4*time.Second)
			w.Run(4 * time.Second)
			w.apart(22 * time.Second)
			w.Run(30 * time.Second)
			for _, x := range append(w.Broken(), early.machines...) {
				t.Errorf("all controllers %s, seed %d: %s", trouble.name, seed, x)
			}
		}
	}
}

// lossesOfCancelled is a log that keeps which machines were given up or terminated because of tasks of
// cancelled jobs.
type lossesOfCancelled struct{ machines []string }

func (l *lossesOfCancelled) Enabled(context.Context, slog.Level) bool { return true }
func (l *lossesOfCancelled) WithAttrs([]slog.Attr) slog.Handler       { return l }
func (l *lossesOfCancelled) WithGroup(string) slog.Handler            { return l }

func (l *lossesOfCancelled) Handle(_ context.Context, r slog.Record) error {
	early := r.Message == "terminating machine that may run cancelled tasks"
	text := r.Message
	r.Attrs(func(a slog.Attr) bool {
		early = early || a.Equal(slog.Bool("cancelled_tasks", true))
		text += " " + a.String()
		return true
	})
	if early {
		l.machines = append(l.machines, text)
	}
	return nil
}

// newCameBackWorld returns a world whose machines have work, some seconds after other jobs there were
// cancelled.
func newCameBackWorld(seed int) *World {
	w := newHangWorld(seed)
	w.Run(3 * time.Second)
	w.replicas(1, 6, "red", 3)
	w.Run(40 * time.Second)
	cancelled := w.replicas(101, 6, "red", 1)
	w.Run(12 * time.Second)
	w.cancelAll(cancelled)
	w.Run(5 * time.Second)
	return w
}
