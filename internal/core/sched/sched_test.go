package sched

import "testing"

// TestRateIsLowIfSuccessorWaits guards against rating tasks high whose successor already waits in numbers.
func TestRateIsLowIfSuccessorWaits(t *testing.T) {
	waiting := map[string]int{"big": 2, "small": 1}
	for _, c := range []struct {
		name      string
		successor string
		want      Rating
	}{
		{"no successor", "", High},
		{"below the threshold", "small", High},
		{"at the threshold", "big", Low},
		{"nothing waits", "unknown", High},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Rate(c.successor, waiting, DefaultLookAheadThreshold); got != c.want {
				t.Errorf("Rate(%q) = %v, want %v", c.successor, got, c.want)
			}
		})
	}
}

// TestReadyOrderIsTotal guards against tasks that start out of order.
func TestReadyOrderIsTotal(t *testing.T) {
	// Each is before all that follow.
	ready := []Ready{
		{Rank: 0, Borrowing: true, Rating: Low, Arrival: 9, ID: "a"},
		{Rank: 1, Rating: High, Arrival: 5, ID: "b"},
		{Rank: 1, Rating: High, Arrival: 6, ID: "a"},
		{Rank: 1, Rating: Low, Arrival: 1, ID: "c"},
		{Rank: 1, Borrowing: true, Rating: High, Arrival: 0, ID: "d"},
		{Rank: 2, Rating: High, Arrival: 0, ID: "e"},
		{Rank: 2, Rating: High, Arrival: 0, ID: "f"},
	}
	for i := range ready {
		for k := range ready {
			if got := ready[i].Before(ready[k]); got != (i < k) {
				t.Errorf("%+v before %+v = %v, want %v", ready[i], ready[k], got, i < k)
			}
		}
	}
}

// TestCopiesFitEveryResource guards against placing more tasks than any resource allows.
func TestCopiesFitEveryResource(t *testing.T) {
	free := Resources{CPUs: 8, GPUs: 1, MemoryGB: 32}
	for _, c := range []struct {
		name string
		need Resources
		want int
	}{
		{"all processors and memory", Resources{CPUs: 8, MemoryGB: 32}, 1},
		{"bound by memory", Resources{CPUs: 2, MemoryGB: 15}, 2},
		{"bound by GPUs", Resources{CPUs: 0.1, GPUs: 1}, 1},
		{"too many processors", Resources{CPUs: 8.1}, 0},
		{"too many GPUs", Resources{GPUs: 2}, 0},
		{"bound by fractional processors", Resources{MemoryGB: 0.5, CPUs: 0.8}, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.need.Copies(free); got != c.want {
				t.Errorf("%+v.Copies = %d, want %d", c.need, got, c.want)
			}
			if got := c.need.Fits(free); got != (c.want > 0) {
				t.Errorf("%+v.Fits = %v, want %v", c.need, got, c.want > 0)
			}
		})
	}
}

// TestLimitIsNotExceeded guards against starting tasks above a limit.
func TestLimitIsNotExceeded(t *testing.T) {
	l := Limit{CPUs: 10}
	if !l.Allows(Resources{CPUs: 6, GPUs: 50}, Resources{CPUs: 4}) {
		t.Error("Allows up to the processor limit, without a GPU limit = false, want true")
	}
	if l.Allows(Resources{CPUs: 6}, Resources{CPUs: 4.1}) {
		t.Error("Allows above the limit = true, want false")
	}
	if (Limit{}).Any() || !(Limit{}).Allows(Resources{CPUs: 1e6}, Resources{CPUs: 1}) {
		t.Error("zero limit bounds the use, want no limit")
	}
}

// TestScaleOutTakesCheapestThatIsFilled guards against paying for capacity that the waiting
// tasks do not fill, or that they may not use.
func TestScaleOutTakesCheapestThatIsFilled(t *testing.T) {
	small := Offer{Type: "s", Zone: "x", Spot: true, Size: Resources{CPUs: 4, MemoryGB: 16}, Price: 0.4}
	big := Offer{Type: "b", Zone: "x", Spot: true, Size: Resources{CPUs: 32, MemoryGB: 128}, Price: 2.4}
	many := []Demand{{Need: Resources{CPUs: 4, MemoryGB: 8}, Spot: true, Count: 9, RunS: 10}}
	got := PlanScaleOut(many, []Offer{small, big}, 10)
	if len(got) != 2 || got[0].Type != "b" || got[0].Count != 1 || got[1].Type != "s" || got[1].Count != 1 {
		t.Errorf("nine tasks: PlanScaleOut = %+v, want one of type b and one of type s", got)
	}
	few := []Demand{{Need: Resources{CPUs: 4}, Spot: true, Count: 1, RunS: 10}}
	if got := PlanScaleOut(few, []Offer{small, big}, 10); len(got) != 1 || got[0].Type != "s" {
		t.Errorf("one task: PlanScaleOut = %+v, want one of type s", got)
	}
	onDemand := []Demand{{Need: Resources{CPUs: 4}, Count: 1, RunS: 10}}
	if got := PlanScaleOut(onDemand, []Offer{small, big}, 10); len(got) != 0 {
		t.Errorf("on-demand task: PlanScaleOut = %+v of spot offers, want none", got)
	}
	if left := PackInto(many, []Offer{big}); left[0].Count != 1 || many[0].Count != 9 {
		t.Errorf("PackInto left %+v of %+v, want 1 of 9", left, many)
	}
}

// TestVictimsLoseLeast guards against stopping tasks that lose more than necessary, or in vain.
func TestVictimsLoseLeast(t *testing.T) {
	victims := []Victim{{0, Resources{CPUs: 2}, 30}, {1, Resources{CPUs: 2}, 1}, {2, Resources{CPUs: 2}, 5}}
	stop, lost := ChooseVictims(Resources{CPUs: 4}, Resources{CPUs: 1}, victims, 6)
	if len(stop) != 2 || stop[0].Index != 1 || stop[1].Index != 2 || lost != 6 {
		t.Errorf("ChooseVictims = %+v, lost %v, want victims 1 and 2, lost 6", stop, lost)
	}
	if stop, _ := ChooseVictims(Resources{CPUs: 9}, Resources{CPUs: 1}, victims, 1000); stop != nil {
		t.Errorf("task that cannot fit: ChooseVictims = %+v, want none", stop)
	}
	if stop, _ := ChooseVictims(Resources{CPUs: 4}, Resources{CPUs: 1}, victims, 5); stop != nil {
		t.Errorf("loss above the limit: ChooseVictims = %+v, want none", stop)
	}
}

// TestCostPrefersFullCheapAndNear guards against placing tasks on empty, expensive or distant
// instances without need.
func TestCostPrefersFullCheapAndNear(t *testing.T) {
	need := Resources{CPUs: 4}
	size := Resources{CPUs: 8}
	busy, empty := Candidate{Free: Resources{CPUs: 4}, Size: size, RelativePrice: 1}, Candidate{Free: size, Size: size, RelativePrice: 1}
	if Cost(need, busy, false) >= Cost(need, empty, false) {
		t.Error("busy instance costs as much as an empty one, want less so that the empty one can be deleted")
	}
	expensive := busy
	expensive.RelativePrice = 3
	if Cost(need, expensive, false) <= Cost(need, empty, false) {
		t.Error("expensive instance costs no more than an empty one, want more")
	}
	expensive.ImageFetchS = 0
	fetching := busy
	fetching.ImageFetchS = 1
	if Cost(need, expensive, true) >= Cost(need, fetching, true) {
		t.Error("urgent task: a second of image fetch costs no more than a high price, want more")
	}
}
