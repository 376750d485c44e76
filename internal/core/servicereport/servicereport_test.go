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

func job(team, class string, tasks int) *wire.Job {
	return &wire.Job{Team: team, Class: class, Tasks: tasks}
}

// TestLogsAddUp has two controllers count and log a day, and adds their logs up.
func TestLogsAddUp(t *testing.T) {
	now := time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC)
	var logs [2]bytes.Buffer
	for n := range logs {
		log := slog.New(slog.NewTextHandler(&logs[n], nil))
		log.Info("serving", "node", fmt.Sprintf("n%d", n))
		var tally Tally
		waits := func() map[Group]Waiting {
			return map[Group]Waiting{{Class, "wide one"}: {Jobs: 1, LongestWait: 70 * time.Second}}
		}
		tally.Log(now, log, waits)
		for i := range 20 {
			small := job("red", "small", 1+i%3)
			tally.Submitted(small)
			tally.Accepted(small)
			if n == 0 || i < 4 {
				tally.Started(small, time.Second)
			}
			tally.Ended(small, i == 19, n == 0)
		}
		for i := range 10 { // all of them large; one of the largest is late
			wide := job("blue", "wide one", 60+10*i)
			tally.Accepted(wide)
			tally.Started(wide, time.Duration(100+16*i)*time.Second)
		}
		tally.Log(now.Add(LogInterval), log, waits)
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
			t.Errorf("%s %s: failed %q, want %q (%+v)", r.Kind, r.Name, r.Failed, want[r.Name], r)
		}
		switch r.Name {
		case "small":
			if r.Accepted != 40 || r.Started != 24 || r.CancelledUnstarted != 1 || r.Cancelled != 2 || r.Share < 0.61 || r.Share > 0.62 {
				t.Errorf("%+v", r)
			}
		case "wide one":
			if r.OldestS != 70 || r.Largest != 6 || r.LargestLate != 2 {
				t.Errorf("%+v", r)
			}
		}
	}
	var half Summary
	err := half.Add(strings.NewReader("time=1 level=INFO msg=serving node=n0\n" +
		`time=2 level=INFO msg=served class=a came=9 accepted=9 begun=4 late=0 ended=4 cancelled=0 unbegun=0 waits=5 oldest=1m0s sizes=1:9/4/0/0` + "\n"))
	if r := half.Rows(); err != nil || r[0].Failed == "" {
		t.Errorf("4 of 9 served, and nothing said: %+v, %v", r, err)
	}
}

// TestLogsRefused: a log that does not hold a controller's day says so, instead of
// adding nothing to the sums.
func TestLogsRefused(t *testing.T) {
	began := "time=1 level=INFO msg=serving node=n0\n"
	for text, want := range map[string]error{
		"":                                      ErrEmpty,
		" \n":                                   ErrEmpty,
		"listening on :80\n":                    ErrNotControllerLog,
		"time=1 level=INFO msg=usage\n" + began: ErrNotControllerLog,
		began:                                   ErrNoCounts,
		began + "time=2 level=INFO msg=served class=a came=1 acc": ErrTruncated,
		began + "time=2 level=INFO msg=served class=a came=x\n":   errors.ErrUnsupported, // any other
	} {
		var s Summary
		err := s.Add(strings.NewReader(text))
		if err == nil || (want != errors.ErrUnsupported && !errors.Is(err, want)) {
			t.Errorf("%q: %v, want %v", text, err, want)
		}
		if len(s.Rows()) != 0 {
			t.Errorf("%q: something was added", text)
		}
	}
}
