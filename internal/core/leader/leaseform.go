package leader

import (
	"math"
	"slices"

	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// pagedValuePart is the part of its size limit from which on the lease value is stored
// with pages. Small fleets do without, which costs fewer changes.
const pagedValuePart = 0.5

// canStorePages reports whether the lease value can be stored with pages: whether all
// controllers read that form. One that does not would be granted nothing.
func (l *Leader) canStorePages() bool {
	if l.view.Lease.Form >= leasevalue.FormPages {
		return true
	}
	if l.view.Limits.TxnOps() < leasevalue.MinTxnOpsForPages {
		return false
	}
	for _, peer := range l.view.Peers {
		if peer.LeaseForm < leasevalue.FormPages {
			return false
		}
	}
	return true
}

// chooseLeaseForm decides in which form the value is stored from now on, as long as the
// cluster has no level: versions from before levels ask each other which forms they
// read. There is no way back from a newer form.
func (l *Leader) chooseLeaseForm(rec *wire.LeaseRecord) {
	if rec.Form >= leasevalue.FormPages || !l.canStorePages() {
		return
	}
	if float64(l.inlineValueSize()) > pagedValuePart*float64(l.view.Limits.ValueBytes()) {
		rec.Form = leasevalue.FormPages
		l.log.Info("lease value stored with pages from now on")
	}
}

// inlineValueSize returns about the bytes that the lease value takes without pages,
// machines that are booting included. These count with what they will take: the names of
// one request follow each other, so that is little more than a character each, not the
// four of the worst case.
func (l *Leader) inlineValueSize() int {
	encoded, err := wire.Encode(l.view.Lease)
	if err != nil {
		l.log.Error("cannot encode lease value", "err", err)
		return math.MaxInt32
	}
	var coming []string
	for name := range l.autoscaler.instances {
		if l.view.HolderOf(name) == "" {
			coming = append(coming, name)
		}
	}
	slices.Sort(coming)
	// As JSON, in which sizes are counted, the value takes a little more.
	return (len(encoded) + len(wire.PackNames(coming))) * 5 / 4
}
