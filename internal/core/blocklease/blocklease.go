// Package blocklease is what a controller may do under its block lease, and until
// when. It decides from the controller's own steady clock and from what the
// lease value says; it knows neither machines nor messages.
//
//   - A lease counts from the moment in which the renewal was sent that the
//     value honours, not from when the value was seen, and for a little less
//     than it lasts. Whoever takes the block over waits for a little more.
//   - Tokens and attempts are made of the grant, which rises with every holder
//     and every process of a holder, so that none is ever used twice.
//   - A process that has lost its block is a new one to everybody from then on.
package blocklease

import (
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/wire"
)

// bits is how much of a token or an attempt counts within a grant.
const bits = 24

// Holder is one controller's right to its block. Its zero value is of no use.
type Holder struct {
	lease    time.Duration
	inc      uint64
	grant    uint64 // 0: no block
	until    time.Time
	renewals uint64
	sent     map[uint64]time.Time // when each renewal that is not yet honoured went out
	attempts uint64
	promises quota.Reservations
	yields   []yield
	hurry    bool
}

// yield is a home that a renewal offers to give up.
type yield struct {
	renewal uint64
	home    string
}

// New returns the holder for a process with this incarnation, whose block
// leases last for lease.
func New(incarnation uint64, lease time.Duration) *Holder {
	return &Holder{inc: incarnation, lease: lease, sent: map[uint64]time.Time{}}
}

// Incarnation tells this process from earlier ones of the same name.
func (h *Holder) Incarnation() uint64 { return h.inc }

// RaiseIncarnation makes the incarnation larger than another, which the lease value
// still names for an earlier process.
func (h *Holder) RaiseIncarnation(other uint64) { h.inc = max(h.inc, other+1) }

// Held tells whether there is a block.
func (h *Holder) Held() bool { return h.grant != 0 }

// Grant is the number under which the block is held; 0 when there is none.
func (h *Holder) Grant() uint64 { return h.grant }

// Expires is the moment from which on nothing may be started any more.
func (h *Holder) Expires() time.Time { return h.until }

// MayStart tells whether tasks may be started now.
func (h *Holder) MayStart(now time.Time) bool { return h.grant != 0 && now.Before(h.until) }

// Token is what a machine of the block is to be sent; bump raises it above
// what the same holder has sent it before.
func (h *Holder) Token(bump uint64) uint64 { return h.grant<<bits + bump }

// TokenIncrement tells what a token of this grant was raised by; ok is false for one of
// another grant.
func (h *Holder) TokenIncrement(token uint64) (bump uint64, ok bool) {
	return token & (1<<bits - 1), h.grant != 0 && token>>bits == h.grant
}

// Attempt returns a number that no other attempt at any task has.
func (h *Holder) Attempt() uint64 {
	h.attempts++
	return h.grant<<bits + h.attempts
}

// NextRenewal is the number that the renewal sent next will have.
func (h *Holder) NextRenewal() uint64 { return h.renewals + 1 }

// RecordRenewal notes that a renewal goes out now, and returns its number.
func (h *Holder) RecordRenewal(now time.Time) uint64 {
	h.renewals++
	h.sent[h.renewals] = now
	return h.renewals
}

// RequestRenewal asks for a renewal to go out soon: there is something that the leader
// should hear.
func (h *Holder) RequestRenewal() { h.hurry = true }

// RenewalUrgent tells whether a renewal should go out soon.
func (h *Holder) RenewalUrgent() bool { return h.hurry }

// RenewalSent notes that one goes out now.
func (h *Holder) RenewalSent() { h.hurry = false }

// Renewed takes the block as a lease value shows it, which must be one of this
// incarnation. It tells whether the grant is another one than before.
func (h *Holder) Renewed(b wire.Block) (changed bool) {
	if changed = h.grant != b.Grant; changed {
		h.grant, h.attempts = b.Grant, 0 // attempts are counted under each grant anew
	}
	h.promises.Acknowledge(b.Renewal)
	h.yields = slices.DeleteFunc(h.yields, func(y yield) bool { return y.renewal <= b.Renewal })
	sent, ok := h.sent[b.Renewal]
	if !ok {
		return changed
	}
	if until := sent.Add(cluster.LocalDuration(h.lease)); until.After(h.until) {
		h.until = until
	}
	for n := range h.sent {
		if n < b.Renewal {
			delete(h.sent, n)
		}
	}
	return changed
}

// Release forgets the block and every right and promise that came with it.
func (h *Holder) Release() {
	h.grant, h.until = 0, time.Time{}
	clear(h.sent)
	h.promises.Reset()
	h.yields = nil
}

// Reserve notes that the renewal with this number promises to use no more of a
// team's share than ceiling, and keeps to it from now on.
func (h *Holder) Reserve(renewal uint64, team string, ceiling wire.Share) {
	h.promises.Reserve(renewal, team, ceiling)
}

// UsableShare is what of a team's share in the lease value may be used: all of it,
// or less if less was promised.
func (h *Holder) UsableShare(team string, s wire.Share) wire.Share { return h.promises.Usable(team, s) }

// OfferHandover notes that the renewal with this number offers to give up a home. From
// now on nothing of it may be started.
func (h *Holder) OfferHandover(renewal uint64, home string) {
	h.yields = append(h.yields, yield{renewal, home})
}

// HandoverOffered tells whether a home is on offer. It is until a value honours the
// renewal: that value says whether the home has moved.
func (h *Holder) HandoverOffered(home string) bool {
	return slices.ContainsFunc(h.yields, func(y yield) bool { return y.home == home })
}
