package servicereport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The reasons for which a log is refused.
var (
	ErrEmpty            = errors.New("empty log")
	ErrNotControllerLog = errors.New("not the log of a controller from its start")
	ErrTruncated        = errors.New("log ends within a line")
	ErrNoCounts         = errors.New("log says nothing of what was served: LOG_LEVEL has to be info or debug")
)

// Summary adds up the logs of controllers. The zero value is empty.
type Summary struct {
	counts       map[Group]*Counts
	sizes        map[Group]map[int]*Counts
	longestWaits map[Group]time.Duration
}

// Add reads one controller's log, from the start of its process on. On an error, one of
// those above or what is wrong with a line, it has added nothing.
func (s *Summary) Add(r io.Reader) error {
	text, err := io.ReadAll(r)
	switch {
	case err != nil:
		return err
	case len(bytes.TrimSpace(text)) == 0:
		return ErrEmpty
	case text[len(text)-1] != '\n':
		return ErrTruncated
	}
	started, counted := false, false
	var lines []map[string]string
	scan := bufio.NewScanner(bytes.NewReader(text))
	scan.Buffer(nil, len(text)+1)
	for scan.Scan() {
		// A log collector may have put something before each line.
		_, line, ok := strings.Cut(scan.Text(), "time=")
		if !ok {
			continue
		}
		kv := fields("time=" + line)
		switch {
		case kv["msg"] == "serving" && kv["node"] != "":
			started = true
		case !started:
			return ErrNotControllerLog
		case kv["msg"] == LogMessage:
			counted = true
			lines = append(lines, kv)
		}
	}
	switch {
	case !started:
		return ErrNotControllerLog
	case !counted:
		return ErrNoCounts
	}
	var one Summary
	for _, kv := range lines {
		if err := one.addLine(kv); err != nil {
			return err
		}
	}
	s.merge(&one)
	return nil
}

// addLine adds one log line.
func (s *Summary) addLine(kv map[string]string) error {
	g := Group{Team, kv[Team]}
	if g.Name == "" {
		g = Group{Class, kv[Class]}
	}
	if g.Name == "" {
		return errors.New("a line of what was served names neither team nor class")
	}
	var c Counts
	for name, to := range map[string]*int{"came": &c.Submitted, "accepted": &c.Accepted, "begun": &c.Started, "late": &c.StartedLate,
		"ended": &c.Ended, "cancelled": &c.Cancelled, "unbegun": &c.CancelledUnstarted} {
		n, err := strconv.Atoi(kv[name])
		if err != nil {
			return fmt.Errorf("%s of %s %s: %w", name, g.Kind, g.Name, err)
		}
		*to = n
	}
	oldest, err := time.ParseDuration(kv["oldest"])
	if err != nil {
		return fmt.Errorf("oldest of %s %s: %w", g.Kind, g.Name, err)
	}
	one := Summary{counts: map[Group]*Counts{g: &c}, longestWaits: map[Group]time.Duration{g: oldest}}
	if text := kv["sizes"]; text != "" {
		sizes, err := parseSizes(text)
		if err != nil {
			return err
		}
		one.sizes = map[Group]map[int]*Counts{g: {}}
		for b, c := range sizes {
			one.sizes[g][b] = &c
		}
	}
	s.merge(&one)
	return nil
}

// merge adds another summary.
func (s *Summary) merge(d *Summary) {
	if s.counts == nil {
		s.counts, s.sizes, s.longestWaits = map[Group]*Counts{}, map[Group]map[int]*Counts{}, map[Group]time.Duration{}
	}
	for g, c := range d.counts {
		if s.counts[g] == nil {
			s.counts[g] = &Counts{}
		}
		s.counts[g].add(*c)
		s.longestWaits[g] = max(s.longestWaits[g], d.longestWaits[g])
		for b, c := range d.sizes[g] {
			if s.sizes[g] == nil {
				s.sizes[g] = map[int]*Counts{}
			}
			if s.sizes[g][b] == nil {
				s.sizes[g][b] = &Counts{}
			}
			s.sizes[g][b].add(*c)
		}
	}
}

// Row reports what was served of a group.
type Row struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Counts
	Share   float64 `json:"share"`    // started, of those accepted and not cancelled before
	OldestS float64 `json:"oldest_s"` // longest wait logged of a job that had not started
	// Of a class: the largest jobs, a tenth of all or a little more.
	Largest      int     `json:"largest,omitempty"`
	LargestShare float64 `json:"largest_share,omitempty"`
	LargestLate  int     `json:"largest_late,omitempty"`
	Failed       string  `json:"failed,omitempty"` // why the day fails with it
}

// minServed is the part of a group that has to be served for the day not to fail.
const minServed = 0.5

// largestPart is the part of a class's jobs that count as its largest.
const largestPart = 0.1

// Rows returns a row for each group, teams first.
func (s *Summary) Rows() []Row {
	var out []Row
	for _, g := range slices.SortedFunc(maps.Keys(s.counts), func(a, b Group) int { return -a.compare(b) }) {
		c := *s.counts[g]
		row := Row{Kind: g.Kind, Name: g.Name, Counts: c, Share: share(c), OldestS: s.longestWaits[g].Seconds()}
		if row.Share < minServed {
			row.Failed = "less than half was served"
		}
		if len(s.sizes[g]) > 0 {
			top := s.largest(g)
			row.Largest, row.LargestShare, row.LargestLate = top.Accepted, share(top), top.StartedLate
			switch {
			case row.LargestShare < minServed:
				row.Failed = "less than half of the largest was served"
			case top.StartedLate > 0:
				row.Failed = "one of the largest began late"
			}
		}
		out = append(out, row)
	}
	return out
}

// share returns the part of the jobs that started, of those that were to.
func share(c Counts) float64 {
	if due := c.Accepted - c.CancelledUnstarted; due > 0 {
		return min(1, float64(c.Started)/float64(due))
	}
	return 1
}

// largest sums up the largest jobs of a class: the highest buckets that together hold at
// least a tenth of its jobs.
func (s *Summary) largest(g Group) Counts {
	var top Counts
	buckets := slices.Sorted(maps.Keys(s.sizes[g]))
	slices.Reverse(buckets)
	for _, b := range buckets {
		if top.Accepted > 0 && float64(top.Accepted) >= largestPart*float64(s.counts[g].Accepted) {
			break
		}
		top.add(*s.sizes[g][b])
	}
	return top
}

// fields parses a line written by the text handler of log/slog.
func fields(line string) map[string]string {
	out := map[string]string{}
	for line != "" {
		key, rest, ok := strings.Cut(strings.TrimLeft(line, " "), "=")
		if !ok {
			break
		}
		if strings.HasPrefix(rest, `"`) {
			quoted, err := strconv.QuotedPrefix(rest)
			if err != nil {
				break
			}
			out[key], _ = strconv.Unquote(quoted)
			line = rest[len(quoted):]
			continue
		}
		var value string
		value, line, _ = strings.Cut(rest, " ")
		out[key] = value
	}
	return out
}
