package simtest

import (
	"math/rand/v2"
	"time"

	"fawncove/internal/wire"
)

const (
	// minRepeatDelay and maxRepeatDelay bound how long after its answer a direct command arrives
	// once more.
	minRepeatDelay = 300 * time.Millisecond
	maxRepeatDelay = 16 * time.Second
)

// repeatedCommands is the trouble that direct commands which a worker has answered reach it once
// more, when nobody waits for the answer. Its chances are drawn apart from those of the world, so
// that a world without it keeps its course.
type repeatedCommands struct {
	percent int // of the commands
	chances *rand.Rand
	count   int // commands that arrived once more
	// answered, if set, is told of each direct command that a worker has answered.
	answered func(k *worker, c wire.Commands)
}

// RepeatCommands has a share of the direct commands that workers answer in the next d arrive once
// more.
func (w *World) RepeatCommands(seed uint64, percent int, d time.Duration) {
	w.repeats.chances = rand.New(rand.NewPCG(seed, 17))
	w.repeats.percent = percent
	w.after(d, func() { w.repeats.percent = 0 })
}

// handleAnswered notes that a worker has answered a direct command, which may be repeated.
func (w *World) handleAnswered(k *worker, c wire.Commands) {
	if w.repeats.answered != nil {
		w.repeats.answered(k, c)
	}
	if w.repeats.percent == 0 || w.repeats.chances.IntN(100) >= w.repeats.percent {
		return
	}
	delay := minRepeatDelay + time.Duration(w.repeats.chances.Int64N(int64(maxRepeatDelay-minRepeatDelay)))
	w.repeatCommand(k, c, delay)
}

// repeatCommand delivers a direct command to its worker once more after a delay.
func (w *World) repeatCommand(k *worker, c wire.Commands, delay time.Duration) {
	flight := w.recordStarts(k.name, c)
	w.after(delay, func() {
		if k.gone || w.now < k.deaf {
			w.forgetStarts(flight)
			return
		}
		k.whenAwake(func() {
			w.forgetStarts(flight)
			w.repeats.count++
			k.commands(c)
		})
	})
}

// restart ends a worker's process, with its tasks; another one is there at once. It goes on from
// the agent epoch and the token of the one before, or remembers nothing.
func (k *worker) restart(remembers bool) {
	k.clear()
	k.session, k.lease, k.known, k.tasks = k.session+1, k.w.now, map[string]bool{}, nil
	if !remembers {
		k.session, k.seq, k.token = 1, 0, 0
	}
}
