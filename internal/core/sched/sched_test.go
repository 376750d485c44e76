package sched

import "testing"

func TestRate(t *testing.T) {
	waiting := map[string]int{"big": 2, "small": 1}
	for _, c := range []struct {
		successor string
		want      Rating
	}{
		{"", High},        // no successor named: nothing says it would wait
		{"small", High},   // below the threshold
		{"big", Low},      // at the threshold
		{"unknown", High}, // nothing waits there
	} {
		if got := Rate(c.successor, waiting, DefaultLookAheadThreshold); got != c.want {
			t.Errorf("Rate(%q) = %v, want %v", c.successor, got, c.want)
		}
	}
}

func TestOrder(t *testing.T) {
	// Each is before all that follow.
	list := []Ready{
		{Rank: 0, Borrowing: true, Rating: Low, Arrival: 9, ID: "a"},
		{Rank: 1, Rating: High, Arrival: 5, ID: "b"},
		{Rank: 1, Rating: High, Arrival: 6, ID: "a"},
		{Rank: 1, Rating: Low, Arrival: 1, ID: "c"},
		{Rank: 1, Borrowing: true, Rating: High, Arrival: 0, ID: "d"},
		{Rank: 2, Rating: High, Arrival: 0, ID: "e"},
		{Rank: 2, Rating: High, Arrival: 0, ID: "f"},
	}
	for i := range list {
		for k := range list {
			if got := list[i].Before(list[k]); got != (i < k) {
				t.Errorf("%+v before %+v: %v", list[i], list[k], got)
			}
		}
	}
}

func TestFit(t *testing.T) {
	room := Resources{CPUs: 8, GPUs: 1, MemoryGB: 32}
	for _, c := range []struct {
		need  Resources
		times int
	}{
		{Resources{CPUs: 8, MemoryGB: 32}, 1},
		{Resources{CPUs: 2, MemoryGB: 15}, 2},
		{Resources{CPUs: 0.1, GPUs: 1}, 1},
		{Resources{CPUs: 8.1}, 0},
		{Resources{GPUs: 2}, 0},
		{Resources{MemoryGB: 0.5, CPUs: 0.8}, 10},
	} {
		if got := c.need.Copies(room); got != c.times {
			t.Errorf("%+v fits %d times, want %d", c.need, got, c.times)
		}
		if got := c.need.Fits(room); got != (c.times > 0) {
			t.Errorf("%+v fits: %v", c.need, got)
		}
	}
}

func TestLimit(t *testing.T) {
	l := Limit{CPUs: 10}
	if !l.Allows(Resources{CPUs: 6, GPUs: 50}, Resources{CPUs: 4}) {
		t.Error("up to the limit must be allowed, and cards without a limit")
	}
	if l.Allows(Resources{CPUs: 6}, Resources{CPUs: 4.1}) {
		t.Error("above the limit")
	}
	if (Limit{}).Any() || !(Limit{}).Allows(Resources{CPUs: 1e6}, Resources{CPUs: 1}) {
		t.Error("0 means no limit")
	}
}

func TestRentTakesTheCheapestThatIsFilled(t *testing.T) {
	small := Offer{Type: "s", Zone: "x", Spot: true, Size: Resources{CPUs: 4, MemoryGB: 16}, Price: 0.4}
	big := Offer{Type: "b", Zone: "x", Spot: true, Size: Resources{CPUs: 32, MemoryGB: 128}, Price: 2.4}
	many := []Demand{{Need: Resources{CPUs: 4, MemoryGB: 8}, Spot: true, Count: 9, RunS: 10}}
	got := PlanScaleOut(many, []Offer{small, big}, 10)
	if len(got) != 2 || got[0].Type != "b" || got[0].Count != 1 || got[1].Type != "s" || got[1].Count != 1 {
		t.Errorf("for nine tasks: %+v, want one big and one small", got)
	}
	few := []Demand{{Need: Resources{CPUs: 4}, Spot: true, Count: 1, RunS: 10}}
	if got := PlanScaleOut(few, []Offer{small, big}, 10); len(got) != 1 || got[0].Type != "s" {
		t.Errorf("for one task: %+v, want a small one", got)
	}
	ordinary := []Demand{{Need: Resources{CPUs: 4}, Count: 1, RunS: 10}}
	if got := PlanScaleOut(ordinary, []Offer{small, big}, 10); len(got) != 0 {
		t.Errorf("spot machines for a job that may not use them: %+v", got)
	}
	if left := PackInto(many, []Offer{big}); left[0].Count != 1 || many[0].Count != 9 {
		t.Errorf("absorbed: %+v, of %+v", left, many)
	}
}

func TestEvict(t *testing.T) {
	victims := []Victim{{0, Resources{CPUs: 2}, 30}, {1, Resources{CPUs: 2}, 1}, {2, Resources{CPUs: 2}, 5}}
	stop, lost := ChooseVictims(Resources{CPUs: 4}, Resources{CPUs: 1}, victims, 6)
	if len(stop) != 2 || stop[0].Index != 1 || stop[1].Index != 2 || lost != 6 {
		t.Errorf("stop %+v, lost %v; want the two that lose least", stop, lost)
	}
	if stop, _ := ChooseVictims(Resources{CPUs: 9}, Resources{CPUs: 1}, victims, 1000); stop != nil {
		t.Errorf("stopped %+v though it cannot fit", stop)
	}
	if stop, _ := ChooseVictims(Resources{CPUs: 4}, Resources{CPUs: 1}, victims, 5); stop != nil {
		t.Errorf("stopped %+v though that loses too much", stop)
	}
}

func TestCost(t *testing.T) {
	need := Resources{CPUs: 4}
	size := Resources{CPUs: 8}
	busy, empty := Candidate{Free: Resources{CPUs: 4}, Size: size, RelativePrice: 1}, Candidate{Free: size, Size: size, RelativePrice: 1}
	if Cost(need, busy, false) >= Cost(need, empty, false) {
		t.Error("a fuller machine comes first, so that the empty one can go")
	}
	dear := busy
	dear.RelativePrice = 3
	if Cost(need, dear, false) <= Cost(need, empty, false) {
		t.Error("a dear machine comes last")
	}
	dear.ImageFetchS = 0
	far := busy
	far.ImageFetchS = 1
	if Cost(need, dear, true) >= Cost(need, far, true) {
		t.Error("for urgent work a second of fetching counts more than the price")
	}
}
