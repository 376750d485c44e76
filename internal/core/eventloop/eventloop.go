// Package eventloop is the frame of a core without input or output: the events that it
// handles, the effects that it returns, and the calls among these whose completion it
// waits for. It owns the step under way and the open calls; it assumes a single goroutine,
// and never carries an effect out itself.
package eventloop

import (
	"time"

	"fawncove/internal/wire"
)

// retryAfterSeconds is when a request that cannot be answered now is to be repeated.
const retryAfterSeconds = 1

// Loop is the step under way of a core, and its open calls. The roles of a core share
// one, in the goroutine that owns them all.
type Loop struct {
	Now time.Time // when the event happened

	highestRevision wire.Revision // see HighestRevision
	effects         []Effect
	resets          uint64 // how often the highest revision was reset
	lastCall        uint64 // id of the newest call
	calls           map[uint64]call
}

// call is an open call.
type call struct {
	completed func(Completion)
	revision  wire.Revision // the highest when it was made
	resets    uint64        // how often that had been reset then
	puts      []string      // keys that it writes
}

// CallInfo is what is known of an open call from when it was made.
type CallInfo struct {
	Revision wire.Revision // the highest that the state service had shown
	Puts     []string      // keys that it writes; none for a read
}

// Begin starts a step at now.
func (l *Loop) Begin(now time.Time) { l.Now, l.effects = now, nil }

// Effects returns what the step has asked for so far, in the order in which it did.
func (l *Loop) Effects() []Effect { return l.effects }

// Emit asks for an effect.
func (l *Loop) Emit(e Effect) {
	if txn, ok := e.(StateTxn); ok {
		l.notePuts(txn)
	}
	l.effects = append(l.effects, e)
}

// notePuts notes the keys that an open call writes.
func (l *Loop) notePuts(e StateTxn) {
	open, ok := l.calls[e.ID]
	if !ok {
		return
	}
	for _, op := range e.Txn.Then {
		if op.Put != "" {
			open.puts = append(open.puts, op.Put)
		}
	}
	l.calls[e.ID] = open
}

// OnCompletion registers completed for the completion of an effect, and returns the ID that the
// effect is to carry.
func (l *Loop) OnCompletion(completed func(Completion)) uint64 {
	if l.calls == nil {
		l.calls = map[uint64]call{}
	}
	l.lastCall++
	l.calls[l.lastCall] = call{completed: completed, revision: l.highestRevision, resets: l.resets}
	return l.lastCall
}

// Complete hands a completion to the call that it belongs to, and reports whether that
// was still open.
func (l *Loop) Complete(d Completion) bool {
	open, ok := l.calls[d.ID]
	if !ok {
		return false
	}
	delete(l.calls, d.ID)
	open.completed(d)
	return true
}

// DropCalls drops all open calls: their completions are ignored.
func (l *Loop) DropCalls() { l.calls = nil }

// HighestRevision is the highest revision that the state service has shown.
func (l *Loop) HighestRevision() wire.Revision { return l.highestRevision }

// RaiseHighestRevision notes a revision that the state service has shown. Calls made from now
// on are answered with it at least, unless the state loses data.
func (l *Loop) RaiseHighestRevision(revision wire.Revision) {
	l.highestRevision = max(l.highestRevision, revision)
}

// ResetHighestRevision forgets all revisions seen, which say nothing about the state any
// more; nor do the answers to the calls that are open.
func (l *Loop) ResetHighestRevision() {
	l.highestRevision = 0
	l.resets++
}

// OpenCall describes an open call. current is false when there is no such call, or revisions
// were reset since it was made.
func (l *Loop) OpenCall(id uint64) (info CallInfo, current bool) {
	open, ok := l.calls[id]
	return CallInfo{Revision: open.revision, Puts: open.puts}, ok && open.resets == l.resets
}

// Reply answers a request.
func (l *Loop) Reply(req uint64, code ReplyCode, body any) {
	l.Emit(Reply{Req: req, Code: code, Body: body})
}

// Unavailable answers a request at once: to be repeated later.
func (l *Loop) Unavailable(req uint64) {
	l.Emit(Reply{Req: req, Code: ReplyUnavailable, Body: wire.ErrorAnswer{Error: "not now"}, RetryAfter: retryAfterSeconds})
}
