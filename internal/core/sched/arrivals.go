package sched

import "time"

const (
	// arrivalWindow is how far back arrivals are counted, in steps of arrivalStep.
	arrivalWindow = 60 * time.Second
	arrivalStep   = 5 * time.Second
)

// ArrivalCounter counts the work that arrives. The zero value has seen none.
type ArrivalCounter struct{ steps map[int64]float64 }

// Add counts work, in processors times seconds, that arrived at that time.
func (c *ArrivalCounter) Add(at time.Time, work float64) {
	if c.steps == nil {
		c.steps = map[int64]float64{}
	}
	c.steps[stepOf(at)] += work
}

// Rate returns the work that arrived within arrivalWindow, in processors that it keeps
// busy.
func (c *ArrivalCounter) Rate(now time.Time) float64 {
	var sum Sum
	oldest := stepOf(now.Add(-arrivalWindow))
	for step, work := range c.steps {
		if step <= oldest {
			delete(c.steps, step)
		} else {
			sum.Add(work)
		}
	}
	return sum.Value() / arrivalWindow.Seconds()
}

// stepOf returns the number of the step that a time is in.
func stepOf(at time.Time) int64 { return at.UnixMilli() / arrivalStep.Milliseconds() }
