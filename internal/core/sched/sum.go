package sched

import "math"

// sumUnit is the fraction to which a Sum is exact.
const sumUnit = 1e-6

// Sum adds amounts so that their order makes no difference. Floating-point sums differ in
// their last bit with the order, and what is added up is often kept in a map, which has
// another order each time: the same events would not always have the same outcome. The zero
// value is 0.
type Sum struct{ units int64 }

// Add adds an amount.
func (s *Sum) Add(amount float64) { s.units += int64(math.Round(amount / sumUnit)) }

// Value returns the sum.
func (s Sum) Value() float64 { return float64(s.units) * sumUnit }
