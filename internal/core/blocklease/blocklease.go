// Package blocklease is what a controller may do under its block lease, and until when.
// It owns the lease's expiry, the numbers of renewals, tokens and attempts, and what
// renewals have reserved or offered. It decides from the controller's own steady clock and
// from what the lease value says; it knows neither machines nor messages, and never starts or
// sends anything.
//
//   - A lease counts from the moment in which the renewal was sent that the value
//     acknowledges, not from when the value was read, and for a little less than it lasts.
//     A successor waits for a little more.
//   - Tokens and attempts are made of the grant, which rises with every holder and every
//     process of a holder, so that none is ever used twice.
//   - A process that has lost its block is a new one to everybody from then on.
package blocklease

import (
	"slices"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/quota"
	"fawncove/internal/wire"
)

// Holder is one controller's right to its block. Use New: the zero value is of no use.
type Holder struct {
	duration    time.Duration // of a block lease
	incarnation wire.Incarnation
	grant       wire.Grant // 0: no block
	expiresAt   time.Time
	attempts    uint64 // numbered under this grant

	lastRenewal   uint64
	sentAt        map[uint64]time.Time // when each renewal that is not acknowledged yet was sent
	renewalUrgent bool

	reservations quota.Reservations
	handovers    []handover
}

// handover is a partition that a renewal offers to give up.
type handover struct {
	renewal   uint64
	partition string
}

// New returns the holder for a process with this incarnation, whose block leases last for
// duration.
func New(incarnation wire.Incarnation, duration time.Duration) *Holder {
	return &Holder{incarnation: incarnation, duration: duration, sentAt: map[uint64]time.Time{}}
}

// Incarnation tells this process from earlier ones of the same name.
func (h *Holder) Incarnation() wire.Incarnation { return h.incarnation }

// RaiseIncarnationAbove makes the incarnation larger than another, which the lease value still
// names for an earlier process.
func (h *Holder) RaiseIncarnationAbove(other wire.Incarnation) {
	h.incarnation = max(h.incarnation, other+1)
}

// Held reports whether there is a block.
func (h *Holder) Held() bool { return h.grant != 0 }

// Grant returns the number under which the block is held; 0 when there is none.
func (h *Holder) Grant() wire.Grant { return h.grant }

// Expires returns the moment from which on nothing may be started any more.
func (h *Holder) Expires() time.Time { return h.expiresAt }

// MayStart reports whether tasks may be started now.
func (h *Holder) MayStart(now time.Time) bool { return h.grant != 0 && now.Before(h.expiresAt) }

// Token returns what a machine of the block is to be sent. increment raises it above what
// the same holder has sent it before.
func (h *Holder) Token(increment uint64) wire.FencingToken { return h.grant.Token(increment) }

// TokenIncrement returns what a token of this grant was raised by; ok is false for one of
// another grant.
func (h *Holder) TokenIncrement(token wire.FencingToken) (increment uint64, ok bool) {
	return token.Increment(), h.grant != 0 && token.Grant() == h.grant
}

// Attempt returns a number that no other attempt at any task has.
func (h *Holder) Attempt() uint64 {
	h.attempts++
	return h.grant.Attempt(h.attempts)
}

// NextRenewal returns the number that the renewal sent next will have.
func (h *Holder) NextRenewal() uint64 { return h.lastRenewal + 1 }

// RecordRenewal records that a renewal is sent now, and returns its number.
func (h *Holder) RecordRenewal(now time.Time) uint64 {
	h.lastRenewal++
	h.sentAt[h.lastRenewal] = now
	return h.lastRenewal
}

// RequestRenewal asks for a renewal to be sent soon: there is something that the leader
// should know.
func (h *Holder) RequestRenewal() { h.renewalUrgent = true }

// RenewalUrgent reports whether a renewal should be sent soon.
func (h *Holder) RenewalUrgent() bool { return h.renewalUrgent }

// ClearRenewalRequest records that one is sent now.
func (h *Holder) ClearRenewalRequest() { h.renewalUrgent = false }

// Renewed takes the block as a lease value shows it, which must be one of this
// incarnation. It reports whether the grant is another one than before.
func (h *Holder) Renewed(b wire.Block) (changed bool) {
	if changed = h.grant != b.Grant; changed {
		h.grant, h.attempts = b.Grant, 0 // attempts are counted anew under each grant
		h.reservations.BeginGrant()
	}
	h.reservations.Acknowledge(b.Renewal)
	h.handovers = slices.DeleteFunc(h.handovers, func(o handover) bool { return o.renewal <= b.Renewal })
	if sentAt, ok := h.sentAt[b.Renewal]; ok {
		h.extend(sentAt)
		h.forgetRenewalsBefore(b.Renewal)
	}
	return changed
}

// extend lets the lease count from when a renewal was sent, unless it lasts longer
// already.
func (h *Holder) extend(sentAt time.Time) {
	if expiresAt := sentAt.Add(cluster.LocalDuration(h.duration)); expiresAt.After(h.expiresAt) {
		h.expiresAt = expiresAt
	}
}

// forgetRenewalsBefore drops the times of renewals that are of no use any more.
func (h *Holder) forgetRenewalsBefore(renewal uint64) {
	for n := range h.sentAt {
		if n < renewal {
			delete(h.sentAt, n)
		}
	}
}

// Release drops the block and every right, reservation and offer that came with it.
func (h *Holder) Release() {
	h.grant, h.expiresAt = 0, time.Time{}
	clear(h.sentAt)
	h.reservations.Reset()
	h.handovers = nil
}

// Reserve records that the renewal with this number reserves no more than an amount of a
// team's quota share. UsableShare keeps to it from now on.
func (h *Holder) Reserve(renewal uint64, team string, amount wire.Share) {
	h.reservations.Reserve(renewal, team, amount)
}

// UsableShare returns what of a team's quota share in the lease value may be used: all of
// it, or less if less is reserved.
func (h *Holder) UsableShare(team string, s wire.Share) wire.Share {
	return h.reservations.Usable(team, s)
}

// ReservedEarlier reports whether a reservation of a team's share, made under an earlier grant,
// is not acknowledged yet.
func (h *Holder) ReservedEarlier(team string) bool { return h.reservations.HasEarlier(team) }

// OfferHandover records that the renewal with this number offers to give up a partition.
// From now on nothing of it may be started.
func (h *Holder) OfferHandover(renewal uint64, partition string) {
	h.handovers = append(h.handovers, handover{renewal, partition})
}

// HandoverOffered reports whether a partition is on offer. It is until a value
// acknowledges the renewal: that value says whether the partition has moved.
func (h *Holder) HandoverOffered(partition string) bool {
	return slices.ContainsFunc(h.handovers, func(o handover) bool { return o.partition == partition })
}
