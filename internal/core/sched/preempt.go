package sched

// Victim is a running task that may be stopped for the sake of another.
type Victim struct {
	Index    int // the caller's
	Frees    Resources
	LostWork float64 // seconds of work that would be repeated, times processors
}

// ChooseVictims chooses which of the victims on one machine to stop so that need fits
// into room; the least work lost first, and the first of equals. It returns nil
// when that cannot be, or when it would lose more than most. It changes the
// order of the victims. Most machines are ruled out by their first victims, so
// these are picked one by one rather than sorted.
func ChooseVictims(need, room Resources, victims []Victim, most float64) (stop []Victim, lost float64) {
	n := 0
	for !need.Fits(room) {
		if n == len(victims) {
			return nil, 0
		}
		best := n
		for i := n + 1; i < len(victims); i++ {
			a, b := &victims[i], &victims[best]
			if a.LostWork < b.LostWork || (a.LostWork == b.LostWork && a.Index < b.Index) {
				best = i
			}
		}
		victims[n], victims[best] = victims[best], victims[n]
		if lost += victims[n].LostWork; lost > most {
			return nil, 0
		}
		room = room.Add(victims[n].Frees, 1)
		n++
	}
	return victims[:n], lost
}
