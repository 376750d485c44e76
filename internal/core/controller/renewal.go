package controller

import (
	"encoding/base64"
	"time"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/peerpb"
	"fawncove/internal/protocost"
	"fawncove/internal/wire"
)

const (
	// urgentRenewalInterval spaces renewals that do not wait for their time.
	// storedRenewalInterval is the same for those through the state service: each
	// costs a write, so they come less often.
	urgentRenewalInterval = 200 * time.Millisecond
	storedRenewalInterval = time.Second
	// quotaCheckInterval spaces the checks whether others are short of a quota share.
	quotaCheckInterval = 300 * time.Millisecond

	// storedRenewalShare is the part of a value's size that a renewal may take, and
	// storedRenewalOverhead the bytes of JSON around it.
	storedRenewalShare    = 0.9
	storedRenewalOverhead = 64
)

// renewalTimer says when the next renewal of the block lease is due.
type renewalTimer struct {
	nextAt         time.Time
	quotaCheckedAt time.Time
}

// Renewal describes this controller to the leader, numbered as the next one.
func (c *Core) Renewal() *peerpb.Renewal {
	r := &peerpb.Renewal{Node: c.view.Self, Incarnation: uint64(c.blockLease.Incarnation()), Number: c.blockLease.NextRenewal()}
	if c.view.Params.Levels.KnowsLevels() {
		r.Form = renewalForm
	}
	c.owner.FillRenewal(r)
	return r
}

// renewBlockLease asks for a renewal of the block lease when it is due: straight from
// the leader where it can be reached, otherwise through the state service, which no
// partition between zones affects.
func (c *Core) renewBlockLease() {
	if c.leader != nil || c.view.Lease.Leader == "" {
		return // the leader renews its own with every write
	}
	direct := c.view.IsReachable(c.view.Lease.Leader, c.loop.Now)
	if !c.renewalDue(direct) {
		return
	}
	c.blockLease.ClearRenewalRequest()
	c.renewal.nextAt = c.loop.Now.Add(c.view.Params.PublishInterval)
	r := c.Renewal()
	r.Resigned = !c.blockLease.Held() && c.declinesBlock()
	c.owner.AddOffers(r)
	c.blockLease.RecordRenewal(c.loop.Now)
	switch {
	case r.Resigned:
		// The lease value known here is as old as the refusal; it may even name this
		// controller as the leader. Whoever leads now has to receive it.
		c.renewal.nextAt = c.loop.Now.Add(storedRenewalInterval)
		c.sendRenewal(r, cluster.SortedKeys(c.view.Peers)...)
	case direct:
		c.sendRenewal(r, c.view.Lease.Leader)
	default:
		c.storeRenewal(r)
	}
}

// renewalDue reports whether a renewal goes out now, directly or through the state
// service.
func (c *Core) renewalDue(direct bool) bool {
	if !c.loop.Now.Before(c.renewal.nextAt) {
		return true
	}
	interval := storedRenewalInterval
	if direct {
		interval = urgentRenewalInterval
	}
	last := c.renewal.nextAt.Add(-c.view.Params.PublishInterval)
	return c.blockLease.RenewalUrgent() && c.loop.Now.Sub(last) >= interval
}

func (c *Core) sendRenewal(r *peerpb.Renewal, receivers ...string) {
	for _, name := range receivers {
		f := c.newFrame()
		f.Renewal = r
		c.loop.Emit(eventloop.PeerSend{To: name, Frame: f})
	}
}

// storeRenewal sends a renewal through the state service, as base64 in a value of
// limited size.
func (c *Core) storeRenewal(r *peerpb.Renewal) {
	trimRenewal(r, int(storedRenewalShare*float64(c.view.Limits.ValueBytes())*3/4)-storedRenewalOverhead)
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		c.log.Error("cannot encode renewal", "err", err)
		return
	}
	value := map[string]string{"pb": base64.StdEncoding.EncodeToString(raw)}
	ops := []wire.Op{{Put: renewalPrefix + c.view.Self, Value: value}}
	c.loop.Emit(eventloop.StateTxn{LeaseBudget: true, Txn: wire.Txn{Then: ops}, ID: c.loop.OnCompletion(func(d eventloop.Completion) {
		if d.Outcome == eventloop.Rejected {
			c.noteRefusedWrite("renewal", ops)
		}
	})})
}

// trimRenewal shortens a renewal to a size. What is left out comes with a later one,
// once the leader has acted on the first part.
func trimRenewal(r *peerpb.Renewal, maxBytes int) {
	r.UnknownEndpoints = "" // would be answered on the link that is down
	for proto.Size(r) > maxBytes {
		// Rough sizes in bytes: the longest list is halved.
		use, machines, demand := 12*len(r.MachineUse), 50*len(r.KnownMachines), 36*len(r.Demand)
		switch {
		case use+machines+demand == 0:
			return
		case machines >= use && machines >= demand:
			r.KnownMachines = r.KnownMachines[:len(r.KnownMachines)/2]
		case use >= demand:
			r.MachineUse = r.MachineUse[:len(r.MachineUse)/2]
		default:
			r.Demand = r.Demand[:len(r.Demand)/2]
		}
	}
}

// applyStoredRenewal handles a renewal that came through the state service.
func (c *Core) applyStoredRenewal(value []byte) {
	if c.leader == nil {
		return
	}
	r, err := decodeStoredRenewal(value)
	if err != nil {
		c.log.Error("cannot decode stored renewal", "err", err)
		return
	}
	if r.GetForm() > renewalForm {
		c.log.Warn("renewal form unknown to this version", "controller", r.GetNode(), "form", r.GetForm())
		return
	}
	c.handleRenewal(r)
}

func decodeStoredRenewal(value []byte) (*peerpb.Renewal, error) {
	var v map[string]string
	if err := wire.Decode(value, &v); err != nil {
		return nil, err
	}
	raw, err := base64.StdEncoding.DecodeString(v["pb"])
	if err != nil {
		return nil, err
	}
	r := new(peerpb.Renewal)
	return r, protocost.Unmarshal(raw, r)
}

// requestQuotaChanges has a renewal sent when there is quota to reserve or to release.
func (c *Core) requestQuotaChanges() {
	if c.loop.Now.Sub(c.renewal.quotaCheckedAt) < quotaCheckInterval {
		return
	}
	c.renewal.quotaCheckedAt = c.loop.Now
	c.owner.RequestOfferRenewal()
	if c.leader != nil && len(c.view.Lease.Shares) > 0 {
		c.leader.RequestQuotaPublish()
	}
}
