package owner

import (
	"time"

	"fawncove/internal/wire"
)

const (
	// minSampleWeight is the least weight of a new run time against what was learned
	// before.
	minSampleWeight = 0.05
	// priorSamples is how many samples the estimates of a new class count as.
	priorSamples = 3
	// minRunTimeRatio and maxRunTimeRatio bound how far the learned ratio changes an
	// estimate: a few strange tasks must not make a class look endless, or immediate.
	minRunTimeRatio = 0.3
	maxRunTimeRatio = 3
)

// runTimes learns, for each class of jobs, how long their tasks really run.
type runTimes map[string]*classStats

// classStats is what is known of the tasks of a class.
type classStats struct {
	lastStart time.Time // of any of its tasks
	ratio     float64   // of the real run time to the estimate
	samples   int
}

// statsOf returns the statistics of a class.
func (r runTimes) statsOf(class string) *classStats {
	s := r[class]
	if s == nil {
		s = &classStats{ratio: 1}
		r[class] = s
	}
	return s
}

// record takes in that a task ran for so many seconds and was estimated to run for so many.
func (s *classStats) record(tookS, estimateS float64) {
	s.samples++
	weight := max(minSampleWeight, 1/float64(s.samples+priorSamples))
	s.ratio += weight * (tookS/estimateS - s.ratio)
}

// recordRunTime compares the run time of a completed task with its estimate.
func (o *Owner) recordRunTime(a *attempt) {
	if a.startedAt.IsZero() || a.job.Record.EstimateS <= 0 {
		return
	}
	took := o.loop.Now.Sub(a.startedAt).Seconds()
	o.runTimes.statsOf(a.job.Record.Class).record(took, a.job.Record.EstimateS)
}

// estimatedRunSeconds estimates how long a task of the job runs.
func (o *Owner) estimatedRunSeconds(rec *wire.JobRecord) float64 {
	return rec.EstimateS * min(maxRunTimeRatio, max(minRunTimeRatio, o.runTimes.statsOf(rec.Class).ratio))
}
