package leasevalue

// WriteBudget counts the changes that the next write may still take.
type WriteBudget struct {
	table   *PageTable
	limits  Limits
	left    int
	touched map[int]bool   // pages that are written anyway
	unpaged map[string]int // names without a page that join a set, by controller
}

// WriteBudget returns the budget of one transaction that also writes the value.
func (t *PageTable) WriteBudget(limits Limits) *WriteBudget {
	return &WriteBudget{table: t, limits: limits, left: max(1, limits.TxnOps-1-reservedOps),
		touched: map[int]bool{}, unpaged: map[string]int{}}
}

// Exhaust takes what is left: what can wait, waits. A write with nothing but takeovers
// always fits, as sets small enough to be in the value fit on a few pages.
func (b *WriteBudget) Exhaust() { b.left = 0 }

// RemoveMachine takes what it costs that a machine leaves its set, and reports whether
// there was enough.
func (b *WriteBudget) RemoveMachine(name string) bool {
	n, ok := b.table.PageOf(name)
	if !ok || b.touched[n] {
		return true
	}
	if b.left == 0 {
		return false
	}
	b.left--
	b.touched[n] = true
	return true
}

// AddMachine takes what it costs that a machine joins a controller's set, and reports
// whether there was enough.
func (b *WriteBudget) AddMachine(node string) bool {
	perPage := int(maxPagePart * float64(b.limits.ValueBytes) / bytesPerName / 2)
	if b.unpaged[node]%max(1, perPage) == 0 {
		if b.left == 0 {
			return false
		}
		b.left--
	}
	b.unpaged[node]++
	return true
}
