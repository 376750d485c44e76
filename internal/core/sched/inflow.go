package sched

import "time"

// inflowSpan is how far back arrivals are counted, in steps of inflowStep.
const (
	inflowSpan = 60 * time.Second
	inflowStep = 5 * time.Second
)

// Inflow counts the work that comes in. The zero value has seen none.
type Inflow struct{ steps map[int64]float64 }

// Add counts work, in processors times seconds, that came in at a moment.
func (f *Inflow) Add(at time.Time, work float64) {
	if f.steps == nil {
		f.steps = map[int64]float64{}
	}
	f.steps[step(at)] += work
}

// Rate is the work of the last minute, in processors that it keeps busy.
func (f *Inflow) Rate(now time.Time) float64 {
	sum := 0.0
	oldest := step(now.Add(-inflowSpan))
	for at, work := range f.steps {
		if at <= oldest {
			delete(f.steps, at)
		} else {
			sum += work
		}
	}
	return sum / inflowSpan.Seconds()
}

func step(at time.Time) int64 { return at.UnixMilli() / inflowStep.Milliseconds() }
