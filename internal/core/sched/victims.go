package sched

// Victim is a running task that may be preempted for another.
type Victim struct {
	Index    int       // the caller's, which also decides between equals
	Frees    Resources // what is free once it is stopped
	LostWork float64   // work that would be repeated, in seconds times processors
}

// ChooseVictims chooses the victims on one machine to stop so that need fits into what is
// free and what they free, those with the least lost work first. It returns nil when need
// does not fit even then, or when more than maxLost would be lost. It changes the order of
// the victims. Most machines are ruled out by their first victims, so these are picked one
// by one rather than sorted.
func ChooseVictims(need, free Resources, victims []Victim, maxLost float64) (chosen []Victim, lost float64) {
	n := 0
	for !need.Fits(free) {
		if n == len(victims) {
			return nil, 0
		}
		cheapest := n
		for i := n + 1; i < len(victims); i++ {
			a, b := &victims[i], &victims[cheapest]
			if a.LostWork < b.LostWork || (a.LostWork == b.LostWork && a.Index < b.Index) {
				cheapest = i
			}
		}
		victims[n], victims[cheapest] = victims[cheapest], victims[n]
		if lost += victims[n].LostWork; lost > maxLost {
			return nil, 0
		}
		free = free.Add(victims[n].Frees, 1)
		n++
	}
	return victims[:n], lost
}
