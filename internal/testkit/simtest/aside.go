package simtest

import (
	"math/rand/v2"
	"strings"

	"fawncove/internal/wire"
)

// cancellationPrefix is the prefix of the keys of cancellation records.
const cancellationPrefix = "fc/c/"

// aside is a source of chance of its own for calls that concern cancellation records alone: with them
// each seed plays the day that it played before there were any, as far as they change nothing.
type aside struct {
	rng    *rand.Rand
	active bool
}

// doAside does f, with the other source of chance if so.
func (w *World) doAside(so bool, f func()) {
	if !so || w.aside.active {
		f()
		return
	}
	w.rng, w.aside.rng, w.aside.active = w.aside.rng, w.rng, true
	f()
	w.rng, w.aside.rng, w.aside.active = w.aside.rng, w.rng, false
}

// isCancellationWrite reports whether a transaction changes nothing but cancellation records.
func isCancellationWrite(t wire.Txn) bool {
	for _, op := range t.Then {
		if !strings.HasPrefix(op.Put+op.Delete, cancellationPrefix) {
			return false
		}
	}
	return len(t.Then) > 0
}
