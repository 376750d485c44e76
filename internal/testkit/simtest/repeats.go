package simtest

import (
	"math/rand/v2"
	"time"

	"fawncove/internal/wire"
)

const (
	// minRepeatDelay is how long after its answer a message arrives once more at least, and
	// maxCommandDelay and maxOtherDelay how long at most.
	minRepeatDelay  = 300 * time.Millisecond
	maxCommandDelay = 16 * time.Second
	maxOtherDelay   = 40 * time.Second
)

// messageKind says which messages arrive once more.
type messageKind int

const (
	directCommands messageKind = iota
	transactions
	cloudCreates
	cloudDeletes
	peerFrames
	userRequests // submissions and cancellations
	messageKinds // how many there are
)

func (k messageKind) String() string {
	return [...]string{"direct commands", "transactions", "machine requests", "deletions", "frames", "users' requests"}[k]
}

// repeats is the trouble that messages which were answered arrive once more, when nobody waits for
// an answer. Its chances are drawn apart from those of the world, so that a world without it keeps
// its course.
type repeats struct {
	percent [messageKinds]int // of the messages
	chances *rand.Rand
	count   int // messages that arrived once more
	// answered, if set, is told of each direct command that a worker has answered.
	answered func(k *worker, c wire.Commands)
}

// Repeat has a share of the messages of one kind that are answered in the next d arrive once more.
func (w *World) Repeat(kind messageKind, seed uint64, percent int, d time.Duration) {
	w.repeats.chances = rand.New(rand.NewPCG(seed, 17))
	w.repeats.percent[kind] = percent
	w.after(d, func() { w.repeats.percent[kind] = 0 })
}

// draw returns after which delay a message arrives once more, if it does.
func (r *repeats) draw(kind messageKind) (delay time.Duration, repeated bool) {
	if r.percent[kind] == 0 || r.chances.IntN(100) >= r.percent[kind] {
		return 0, false
	}
	longest := maxOtherDelay
	if kind == directCommands {
		longest = maxCommandDelay
	}
	return minRepeatDelay + time.Duration(r.chances.Int64N(int64(longest-minRepeatDelay))), true
}

// repeatMessage delivers a message that was answered once more, if it is chosen to be.
func (w *World) repeatMessage(kind messageKind, deliver func()) {
	if delay, repeated := w.repeats.draw(kind); repeated {
		w.after(delay, func() {
			w.repeats.count++
			deliver()
		})
	}
}

// handleAnswered notes that a worker has answered a direct command, which may be repeated.
func (w *World) handleAnswered(k *worker, c wire.Commands) {
	if w.repeats.answered != nil {
		w.repeats.answered(k, c)
	}
	if delay, repeated := w.repeats.draw(directCommands); repeated {
		w.repeatCommand(k, c, delay)
	}
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
