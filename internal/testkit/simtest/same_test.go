package simtest

import (
	"flag"
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

var same = flag.Uint64("same", 2, "number of full large worlds to play twice")

// TestLargeWorldsPlayTheSame plays full large worlds twice and compares all that the cores
// ask for. They rent, drain and return hundreds of machines, by sums over all of them. The
// world of seed 108 came out in two ways: a sum of fractions over a map depends on the map's
// order in its last bit, and a machine was drained or not by it.
func TestLargeWorldsPlayTheSame(t *testing.T) {
	for seed := uint64(108); seed < 108+*same; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var sums [2]uint64
			for i := range sums {
				w := NewLarge(seed)
				w.trace = fnv.New64a()
				for k := range 110 {
					w.SubmitWide(k, time.Duration(w.rng.IntN(45000))*time.Millisecond)
				}
				w.trouble(80 * time.Second)
				w.Run(150 * time.Second)
				sums[i] = w.trace.Sum64()
			}
			if sums[0] != sums[1] {
				t.Errorf("played two ways, %016x and %016x", sums[0], sums[1])
			}
		})
	}
}
