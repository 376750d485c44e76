package cluster

import (
	"fawncove/internal/config"
	"fawncove/internal/core/leasevalue"
)

const (
	// refusedPart is what is taken to remain of a limit on values below one that was
	// refused.
	refusedPart = 0.75
	// smallPart is the part of the limit of the settings below which a value is taken to
	// be accepted whatever the limit is now.
	smallPart = 0.125
)

// WriteLimits are the limits of the state service on one write, as far as they are known:
// what the settings say, until a write within that is refused. The state service may lower
// its limits at any time, and does not say to what.
type WriteLimits struct {
	txnOps, valueBytes int
	smallBytes         int // values below are not refused for their size

	// What was refused last; 0: nothing was.
	refusedOps, refusedBytes int
	// opsInDoubt is the limit on changes before the last refusal of several ones, while it
	// is not known whether their number was the reason: the size of a value is as likely.
	opsInDoubt int
}

// newWriteLimits returns the limits that the settings say.
func newWriteLimits(settings *config.Settings) WriteLimits {
	limits := settings.ValueLimits()
	return WriteLimits{txnOps: limits.TxnOps, valueBytes: limits.ValueBytes, smallBytes: int(smallPart * float64(limits.ValueBytes))}
}

// TxnOps returns how many changes a transaction may have.
func (l *WriteLimits) TxnOps() int { return l.txnOps }

// ValueBytes returns how large a value may be, as JSON.
func (l *WriteLimits) ValueBytes() int { return l.valueBytes }

// Values returns the limits for the lease value and its pages.
func (l *WriteLimits) Values() leasevalue.Limits {
	return leasevalue.Limits{ValueBytes: l.valueBytes, TxnOps: l.txnOps}
}

// Refuse notes that a transaction was refused as it stands, with so many changes, the
// largest of about so many bytes. Of many changes their number is doubted first. When no
// more than every state service takes are refused, it was the size, unless that was small.
func (l *WriteLimits) Refuse(changes, valueBytes int) {
	switch {
	case changes > leasevalue.MinTxnOpsForPages:
		if l.opsInDoubt == 0 {
			l.opsInDoubt = l.txnOps
		}
		l.refusedOps = changes
		l.txnOps = min(l.txnOps, max(changes/2, leasevalue.MinTxnOpsForPages))
	case changes > 1 && valueBytes < l.smallBytes:
		l.txnOps, l.opsInDoubt, l.refusedOps = changes-1, 0, changes
	default:
		if l.opsInDoubt > 0 {
			l.txnOps, l.opsInDoubt, l.refusedOps = l.opsInDoubt, 0, 0
		}
		l.refusedBytes = valueBytes
		l.valueBytes = min(l.valueBytes, int(refusedPart*float64(valueBytes)))
	}
}

// Relax notes that what has to be written does not fit within these limits. They are below
// what was refused by a guess, which is halved.
func (l *WriteLimits) Relax() {
	if l.refusedBytes > 0 {
		l.valueBytes += (l.refusedBytes - l.valueBytes) / 2
	}
	if l.refusedOps > 0 {
		l.txnOps += (l.refusedOps - l.txnOps) / 2
	}
}
