package owner

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/sched"
	"fawncove/internal/core/servicereport"
	"fawncove/internal/peerpb"
)

const (
	// maxPublishedImages bounds the images that a controller publishes.
	maxPublishedImages = 64
	// maxChangedCounts bounds the jobs whose counts a frame carries, some 20 bytes each.
	maxChangedCounts = 4000
)

// Capacity returns what is free on this controller's machines.
func (o *Owner) Capacity() cluster.Capacity {
	var total sched.Sum
	images := map[string]*sched.Sum{}
	for _, m := range o.workers.machines {
		if !o.usable(m) {
			continue
		}
		free := max(0, m.free().CPUs)
		total.Add(free)
		for i := range m.images {
			if !m.images[i].cached || free <= 0 {
				continue
			}
			name := m.images[i].name
			if images[name] == nil {
				images[name] = &sched.Sum{}
			}
			images[name].Add(free)
		}
	}
	capacity := cluster.Capacity{Free: total.Value(), Images: make(map[string]float64, len(images))}
	for name, sum := range images {
		capacity.Images[name] = sum.Value()
	}
	if len(capacity.Images) > maxPublishedImages {
		names := cluster.SortedKeys(capacity.Images)
		slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(capacity.Images[b], capacity.Images[a]) })
		for _, name := range names[maxPublishedImages:] {
			delete(capacity.Images, name)
		}
	}
	return capacity
}

// ProcessorUse returns the processors that this controller's tasks use or wait for, the part
// of them that may be on spot machines, and those of its block.
func (o *Owner) ProcessorUse() (busy, spot, size float64) {
	var busySum, spotSum, sizeSum sched.Sum
	for _, m := range o.workers.machines {
		if m.unreachable() || m.quarantined || m.released() {
			continue
		}
		sizeSum.Add(m.size.CPUs)
	}
	for _, j := range o.jobs {
		if o.Owns(j) && !j.Ended {
			cpus := float64(len(j.attempts)+j.startableTasks()) * j.Record.CPUs
			busySum.Add(cpus)
			if j.Record.Spot {
				spotSum.Add(cpus)
			}
		}
	}
	return busySum.Value(), spotSum.Value(), sizeSum.Value()
}

// ChangedCounts returns the counts of jobs that have changed since they were last sent to
// the peers, and takes them to be sent.
func (o *Owner) ChangedCounts() []*peerpb.JobProgress {
	var changed []*peerpb.JobProgress
	for _, j := range o.jobs {
		done, running := j.Counts()
		if o.Owns(j) && j.publishedCounts != [2]int{done, running} {
			changed = append(changed, &peerpb.JobProgress{Id: j.Record.ID, Done: int32(done), Running: int32(running)})
		}
	}
	slices.SortFunc(changed, func(a, b *peerpb.JobProgress) int { return strings.Compare(a.GetId(), b.GetId()) })
	changed = changed[:min(len(changed), maxChangedCounts)]
	for _, p := range changed {
		o.jobs[p.GetId()].publishedCounts = [2]int{int(p.GetDone()), int(p.GetRunning())}
	}
	return changed
}

// ResendCounts has ChangedCounts return the counts of all jobs that have started, not only of
// those that change: another controller has missed what was sent before.
func (o *Owner) ResendCounts() {
	for _, j := range o.jobs {
		if j.started || j.publishedCounts != [2]int{} {
			j.publishedCounts = countsUnpublished
		}
	}
}

// LogServiceReport logs, once a minute, what users got of the service.
func (o *Owner) LogServiceReport() { o.Served.Log(o.loop.Now, o.log, o.waitingByGroup) }

// waitingByGroup returns the jobs that wait and the longest wait of one that has not started,
// by team and by class.
func (o *Owner) waitingByGroup() map[servicereport.Group]servicereport.Waiting {
	waiting := map[servicereport.Group]servicereport.Waiting{}
	for _, j := range o.jobs {
		if !o.Owns(j) || j.Ended || len(j.queue) == 0 {
			continue
		}
		wait := time.Duration(0)
		if !j.started {
			wait = j.age(o.loop.Now)
		}
		for _, g := range []servicereport.Group{{Kind: servicereport.Team, Name: j.Record.Team}, {Kind: servicereport.Class, Name: j.Record.Class}} {
			w := waiting[g]
			w.Jobs++
			w.LongestWait = max(w.LongestWait, wait)
			waiting[g] = w
		}
	}
	return waiting
}
