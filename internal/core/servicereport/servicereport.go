// Package servicereport counts what becomes of jobs, by team, by class and by size
// within a class, and adds up what controllers have logged of it.
//
// A controller counts what it does itself: submissions that it stores, jobs of which it
// starts the first task, ends that it stores. So the sums over the logs of all controllers
// are those of the cluster. What a process has not logged when it is killed, up to
// LogInterval, is missing from the sums.
package servicereport

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math/bits"
	"slices"
	"strconv"
	"strings"
	"time"

	"fawncove/internal/wire"
)

const (
	// LogInterval is how often a controller logs its counts.
	LogInterval = time.Minute
	// LogMessage is the message of such a line.
	LogMessage = "served"
	// LateAfter is the longest that users expect even the largest jobs to wait until
	// their first task starts.
	LateAfter = 4 * time.Minute
)

// Counts are what became of a group of jobs.
type Counts struct {
	Submitted          int `json:"came"`      // valid submissions, repeats included
	Accepted           int `json:"accepted"`  // records stored
	Started            int `json:"begun"`     // a first task started
	StartedLate        int `json:"late"`      // the same, after more than LateAfter
	Ended              int `json:"ended"`     // done or cancelled
	Cancelled          int `json:"cancelled"` // by their users
	CancelledUnstarted int `json:"unbegun"`   // cancelled before a first task started
}

// add adds other counts.
func (c *Counts) add(d Counts) {
	c.Submitted += d.Submitted
	c.Accepted += d.Accepted
	c.Started += d.Started
	c.StartedLate += d.StartedLate
	c.Ended += d.Ended
	c.Cancelled += d.Cancelled
	c.CancelledUnstarted += d.CancelledUnstarted
}

// Waiting describes the jobs that wait at one time.
type Waiting struct {
	Jobs        int           // with tasks that wait
	LongestWait time.Duration // of a job without a started task
}

// Group is what is counted together: a team, or a class of jobs.
type Group struct{ Kind, Name string }

// The kinds of groups.
const (
	Team  = "team"
	Class = "class"
)

// Tally counts what one controller does, from one log line to the next. The zero value is
// ready to use.
type Tally struct {
	counts  map[Group]*Counts
	sizes   map[Group]map[int]*Counts // of classes, by bucket
	nextLog time.Time
}

// bucket is the size of a job as a power of two: 7 for 64 to 127 tasks.
func bucket(tasks int) int { return bits.Len(uint(max(0, tasks))) }

// forEach applies f to the counts of each group that a job is in, and to those of its
// class and size.
func (t *Tally) forEach(j *wire.Job, f func(c *Counts)) {
	if t.counts == nil {
		t.counts, t.sizes = map[Group]*Counts{}, map[Group]map[int]*Counts{}
	}
	for _, g := range []Group{{Team, j.Team}, {Class, j.Class}} {
		if t.counts[g] == nil {
			t.counts[g] = &Counts{}
		}
		f(t.counts[g])
	}
	class, b := Group{Class, j.Class}, bucket(j.Tasks)
	if t.sizes[class] == nil {
		t.sizes[class] = map[int]*Counts{}
	}
	if t.sizes[class][b] == nil {
		t.sizes[class][b] = &Counts{}
	}
	f(t.sizes[class][b])
}

// Submitted counts a valid submission of a job that is not known yet.
func (t *Tally) Submitted(j *wire.Job) { t.forEach(j, func(c *Counts) { c.Submitted++ }) }

// Accepted counts a job whose record is stored.
func (t *Tally) Accepted(j *wire.Job) { t.forEach(j, func(c *Counts) { c.Accepted++ }) }

// Started counts a job whose first task is started after a wait.
func (t *Tally) Started(j *wire.Job, wait time.Duration) {
	t.forEach(j, func(c *Counts) {
		c.Started++
		if wait > LateAfter {
			c.StartedLate++
		}
	})
}

// Ended counts a job whose end is stored.
func (t *Tally) Ended(j *wire.Job, cancelled, started bool) {
	t.forEach(j, func(c *Counts) {
		c.Ended++
		if cancelled {
			c.Cancelled++
			if !started {
				c.CancelledUnstarted++
			}
		}
	})
}

// Log logs the counts when that is due, a line for each group, and starts to count anew.
// waiting is called only then.
func (t *Tally) Log(now time.Time, log *slog.Logger, waiting func() map[Group]Waiting) {
	if t.nextLog.IsZero() {
		t.nextLog = now.Add(LogInterval)
	}
	if now.Before(t.nextLog) {
		return
	}
	t.nextLog = now.Add(LogInterval)
	waitingNow := waiting()
	groups := map[Group]bool{}
	for g := range t.counts {
		groups[g] = true
	}
	for g := range waitingNow {
		groups[g] = true
	}
	for _, g := range slices.SortedFunc(maps.Keys(groups), Group.compare) {
		var c Counts
		if t.counts[g] != nil {
			c = *t.counts[g]
		}
		w := waitingNow[g]
		args := []any{g.Kind, g.Name, "came", c.Submitted, "accepted", c.Accepted, "begun", c.Started, "late", c.StartedLate,
			"ended", c.Ended, "cancelled", c.Cancelled, "unbegun", c.CancelledUnstarted,
			"waits", w.Jobs, "oldest", w.LongestWait.Round(time.Second)}
		if len(t.sizes[g]) > 0 {
			args = append(args, "sizes", formatSizes(t.sizes[g]))
		}
		log.Info(LogMessage, args...)
	}
	t.counts, t.sizes = nil, nil
}

// compare orders groups by kind, then name.
func (g Group) compare(h Group) int {
	return cmp.Or(strings.Compare(g.Kind, h.Kind), strings.Compare(g.Name, h.Name))
}

// formatSizes writes, by bucket, how many were accepted, started, started late and
// cancelled before they started: "3:4/4/0/0,7:1/0/0/0".
func formatSizes(sizes map[int]*Counts) string {
	var parts []string
	for _, b := range slices.Sorted(maps.Keys(sizes)) {
		c := sizes[b]
		parts = append(parts, fmt.Sprintf("%d:%d/%d/%d/%d", b, c.Accepted, c.Started, c.StartedLate, c.CancelledUnstarted))
	}
	return strings.Join(parts, ",")
}

// parseSizes reads what formatSizes has written.
func parseSizes(text string) (map[int]Counts, error) {
	out := map[int]Counts{}
	for part := range strings.SplitSeq(text, ",") {
		var b int
		var c Counts
		if _, err := fmt.Sscanf(part, "%d:%d/%d/%d/%d", &b, &c.Accepted, &c.Started, &c.StartedLate, &c.CancelledUnstarted); err != nil {
			return nil, fmt.Errorf("sizes %s: %w", strconv.Quote(text), err)
		}
		out[b] = c
	}
	return out, nil
}
