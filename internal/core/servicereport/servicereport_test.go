package servicereport

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"fawncove/internal/wire"
)

// newJob returns a job of a team and a class.
func newJob(team, class string, tasks int) *wire.Job {
	return &wire.Job{Team: team, Class: class, Tasks: tasks}
}

// TestReportSumsControllers guards against a report that misses jobs of a controller: two
// controllers count and log a day, and their logs are summed up.
func TestReportSumsControllers(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	var logs [2]bytes.Buffer
	for n := range logs {
		log := slog.New(slog.NewTextHandler(&logs[n], nil))
		log.Info("serving", "node", fmt.Sprintf("n%d", n))
		var tally Tally
		waiting := func() map[Group]Waiting {
			return map[Group]Waiting{{Class, "wide one"}: {Jobs: 1, LongestWait: 70 * time.Second}}
		}
		tally.Log(now, log, waiting)
		for i := range 20 {
			small := newJob("red", "small", 1+i%3)
			tally.Submitted(small)
			tally.Accepted(small)
			if n == 0 || i < 4 {
				tally.Started(small, time.Second)
			}
			tally.Ended(small, i == 19, n == 0)
		}
		for i := range 10 { // all of them large; some of the largest start late
			wide := newJob("blue", "wide one", 60+10*i)
			tally.Accepted(wide)
			tally.Started(wide, time.Duration(100+16*i)*time.Second)
		}
		tally.Log(now.Add(LogInterval), log, waiting)
	}
	var s Summary
	for n := range logs {
		if err := s.Add(&logs[n]); err != nil {
			t.Fatal(err)
		}
	}
	want := map[string]string{"red": "", "blue": "", "small": "", "wide one": "one of the largest began late"}
	for _, r := range s.Rows() {
		if r.Failed != want[r.Name] {
			t.Errorf("%s %s: Failed = %q, want %q (%+v)", r.Kind, r.Name, r.Failed, want[r.Name], r)
		}
		switch r.Name {
		case "small":
			if r.Accepted != 40 || r.Started != 24 || r.CancelledUnstarted != 1 || r.Cancelled != 2 || r.Share < 0.61 || r.Share > 0.62 {
				t.Errorf("small = %+v, want 40 accepted, 24 started, 1 cancelled unstarted, 2 cancelled, share 0.61 to 0.62", r)
			}
		case "wide one":
			if r.OldestS != 70 || r.Largest != 6 || r.LargestLate != 2 {
				t.Errorf("wide one = %+v, want oldest 70 s, 6 largest, 2 of them late", r)
			}
		}
	}
	var partial Summary
	err := partial.Add(strings.NewReader("time=1 level=INFO msg=serving node=n0\n" +
		`time=2 level=INFO msg=served class=a came=9 accepted=9 begun=4 late=0 ended=4 cancelled=0 unbegun=0 waits=5 oldest=1m0s sizes=1:9/4/0/0` + "\n"))
	if rows := partial.Rows(); err != nil || rows[0].Failed == "" {
		t.Errorf("4 of 9 jobs started: rows = %+v, %v, want the class failed", rows, err)
	}
}

// TestUnusableLogIsRefused guards against a log that silently adds nothing to the sums: one
// that does not hold a controller's day is an error.
func TestUnusableLogIsRefused(t *testing.T) {
	serving := "time=1 level=INFO msg=serving node=n0\n"
	errAny := errors.New("any error")
	for _, c := range []struct {
		name, text string
		want       error
	}{
		{"empty", "", ErrEmpty},
		{"blank", " \n", ErrEmpty},
		{"another log", "listening on :80\n", ErrNotControllerLog},
		{"starts in the middle", "time=1 level=INFO msg=usage\n" + serving, ErrNotControllerLog},
		{"no counts", serving, ErrNoCounts},
		{"truncated", serving + "time=2 level=INFO msg=served class=a came=1 acc", ErrTruncated},
		{"count is not a number", serving + "time=2 level=INFO msg=served class=a came=x\n", errAny},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s Summary
			err := s.Add(strings.NewReader(c.text))
			if err == nil || (c.want != errAny && !errors.Is(err, c.want)) {
				t.Errorf("Add(%q) = %v, want %v", c.text, err, c.want)
			}
			if rows := s.Rows(); len(rows) != 0 {
				t.Errorf("Add(%q) added %+v, want no rows", c.text, rows)
			}
		})
	}
}
