package owner

import (
	"fmt"
	"testing"
	"time"
)

// TestSumsFollowNoMapOrder guards against sums of fractions that depend, in their last bit, on
// the order of a map: the same events would not always have the same outcome.
func TestSumsFollowNoMapOrder(t *testing.T) {
	o, _, now := newBlock(t, 20)
	for i := range 60 {
		submitArray(o, fmt.Sprintf("wk-%06d", i+1), "urgent", 1+i%7, 0.1*float64(1+i%9), now)
	}
	tick(o, now.Add(200*time.Millisecond))
	sums := map[string]func() float64{
		"ProcessorUse":     func() float64 { busy, _, _ := o.ProcessorUse(); return busy },
		"Capacity":         func() float64 { return o.Capacity().Free },
		"partitionMovable": func() float64 { return o.waitingCPUs("free") },
		"ArrivalRate":      o.ArrivalRate,
	}
	for name, sum := range sums {
		t.Run(name, func(t *testing.T) {
			first := sum()
			for range 300 {
				if again := sum(); again != first {
					t.Fatalf("%v, then %v", first, again)
				}
			}
		})
	}
}
