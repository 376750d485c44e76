package drill

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/upgrade"
	"fawncove/internal/wire"
)

// The drill of a link between two controllers that is cut while a user cancels a job at one of
// them. The state service loses that change before the other one has read it, and the user
// asks all controllers. An answer may be "cancelled" or 503.

const (
	// cutLinkService is the number of the service that is cancelled.
	cutLinkService = 3000
	// askInterval spaces the questions.
	askInterval = 50 * time.Millisecond
	// askAfterCut is for how long the user asks once the cut is over.
	askAfterCut = 8 * time.Second
	// watchHold is how long the watches of the controller that is asked get no answer.
	watchHold = 2 * time.Second
	// cancelTimeout bounds the time until the cancellation is confirmed.
	cancelTimeout = 5 * time.Second
)

// links are the proxies between controllers, by who connects and to whom.
type links map[[2]string]*linkProxy

// add opens a link from one controller to another and returns the address that the first one
// connects to.
func (l links) add(ctx context.Context, from, to, target string) (string, error) {
	proxy, err := newLinkProxy(ctx, target)
	if err != nil {
		return "", err
	}
	l[[2]string{from, to}] = proxy
	return proxy.address(), nil
}

// cut cuts the links between two controllers, in both directions.
func (l links) cut(a, b string, lasts time.Duration) {
	until := time.Now().Add(lasts)
	l[[2]string{a, b}].cut(until)
	l[[2]string{b, a}].cut(until)
}

// answered is an answer and how long after the user was told it came.
type answered struct {
	after time.Duration
	simtest.ServiceAnswer
}

// isRight reports whether an answer says what the user was told.
func (a *answered) isRight() bool {
	return a.Code == eventloop.ReplyOK && a.State == wire.Cancelled
}

// String returns the HTTP status of an answer and the state that it names.
func (a *answered) String() string {
	switch a.Code {
	case eventloop.NoReply:
		return "no answer"
	case eventloop.ReplyOK:
		return "200 " + a.State
	case eventloop.ReplyNotFound:
		return "404"
	case eventloop.ReplyUnavailable:
		return "503"
	default:
		return string(a.Code)
	}
}

// CutLink has a user cancel a service at one controller while its link to another one is cut,
// loses the cancellation, and prints what the controllers answer. It returns an error if an
// answer contradicts the confirmed cancellation.
func (d *Drill) CutLink() error {
	service, err := d.runService()
	if err != nil {
		return err
	}
	told, asked, err := d.followers()
	if err != nil {
		return err
	}
	d.status()
	d.links.cut(told, asked, d.plan.CutLink)
	d.host.Look(func(w *simtest.Driven) { w.HoldWatches(asked, watchHold) })
	d.say("the link between %s and %s is cut for %v; the watches of %s get no answer for %v", told, asked, d.plan.CutLink, asked, watchHold)
	toldAt, err := d.cancelAndLose(service, told)
	if err != nil {
		return err
	}
	answers, err := d.askAll(service, toldAt, d.plan.CutLink+askAfterCut)
	if err != nil {
		return err
	}
	for _, name := range controllers {
		d.sayAnswers(name, answers[name])
	}
	return contradiction(service.ID(), told, answers)
}

// runService has a user submit a service, and waits until it runs beside the sample jobs and
// all controllers say so.
func (d *Drill) runService() (*simtest.ServiceUser, error) {
	var service *simtest.ServiceUser
	d.host.Look(func(w *simtest.Driven) { service = w.SubmitService(cutLinkService) })
	d.services++
	if err := d.until("the service runs", time.Minute, func() (runs bool) {
		d.host.Look(func(*simtest.Driven) { runs = service.Runs() })
		return runs
	}); err != nil {
		return nil, err
	}
	said := map[string]string{} // the state that each controller named last
	err := d.until("all controllers say that the service runs", time.Minute, func() (all bool) {
		d.host.Look(func(*simtest.Driven) {
			all = !slices.ContainsFunc(controllers[:], func(name string) bool { return said[name] != wire.Running })
			for _, name := range controllers {
				service.Ask(name, func(a simtest.ServiceAnswer) { said[name] = a.State })
			}
		})
		return all
	})
	return service, err
}

// followers returns two controllers that do not lead, so that the cut leaves each of them its
// link to the leader.
func (d *Drill) followers() (told, asked string, err error) {
	status, err := upgrade.Read(d.ctx, d.store, d.cfg)
	if err != nil {
		return "", "", err
	}
	var names []string
	for _, c := range status.Controllers {
		if !c.Leads {
			names = append(names, c.Name)
		}
	}
	if len(names) != len(controllers)-1 {
		return "", "", errors.New("no controller leads")
	}
	slices.Sort(names)
	return names[0], names[1], nil
}

// cancelAndLose has the user cancel the service at a controller until that is confirmed, and
// loses that change as soon as the user is told. It returns when that was.
func (d *Drill) cancelAndLose(service *simtest.ServiceUser, told string) (toldAt time.Time, err error) {
	for end := time.Now().Add(cancelTimeout); time.Now().Before(end); {
		confirmed, lost, err := d.cancelOnce(service, told)
		switch {
		case err != nil:
			return toldAt, err
		case !confirmed.IsZero() && lost == 0:
			return toldAt, fmt.Errorf("%s says that %s is cancelled, and the state service has no such record", told, service.ID())
		case !confirmed.IsZero():
			d.say("%s told a user that %s is cancelled; the state service has lost that (changes lost: %d)", told, service.ID(), lost)
			return confirmed, nil
		}
		if err := d.sleep(askInterval); err != nil {
			return toldAt, err
		}
	}
	return toldAt, fmt.Errorf("%s did not confirm within %v that %s is cancelled", told, cancelTimeout, service.ID())
}

// cancelOnce has the user cancel the service, and loses that change if it is confirmed. It
// returns when it was, the zero time if it was not, and how many revisions are lost.
func (d *Drill) cancelOnce(service *simtest.ServiceUser, told string) (time.Time, wire.Revision, error) {
	var confirmed time.Time
	var lost wire.Revision
	done := make(chan struct{})
	d.host.Look(func(w *simtest.Driven) {
		service.Cancel(told, func(a simtest.ServiceAnswer) {
			defer close(done)
			if got := (answered{ServiceAnswer: a}); got.isRight() {
				confirmed, lost = time.Now(), w.LoseEnd(service)
			}
		})
	})
	select {
	case <-done:
		return confirmed, lost, nil
	case <-d.ctx.Done():
		return time.Time{}, 0, d.ctx.Err()
	}
}

// askAll has the user ask all controllers for the service until so long after the user was
// told, and returns what each one answered.
func (d *Drill) askAll(service *simtest.ServiceUser, toldAt time.Time, lasts time.Duration) (map[string][]answered, error) {
	answers := map[string][]answered{}
	open := 0
	ask := func(*simtest.Driven) {
		for _, name := range controllers {
			open++
			service.Ask(name, func(a simtest.ServiceAnswer) {
				open--
				answers[name] = append(answers[name], answered{time.Since(toldAt), a})
			})
		}
	}
	for time.Since(toldAt) < lasts {
		d.host.Look(ask)
		if err := d.sleep(askInterval); err != nil {
			return nil, err
		}
	}
	err := d.until("all questions are answered", time.Minute, func() (all bool) {
		d.host.Look(func(*simtest.Driven) { all = open == 0 })
		return all
	})
	return answers, err
}

// sayAnswers prints how often a controller gave each answer, in the order in which they came
// first, and when the first right one came.
func (d *Drill) sayAnswers(name string, answers []answered) {
	counts := map[string]int{}
	var kinds, parts []string
	right := "no right answer"
	for i := range answers {
		a := &answers[i]
		if counts[a.String()] == 0 {
			kinds = append(kinds, a.String())
		}
		counts[a.String()]++
		if a.isRight() && counts[a.String()] == 1 {
			right = fmt.Sprintf("first right answer after %v", a.after.Round(time.Millisecond))
		}
	}
	for _, kind := range kinds {
		parts = append(parts, fmt.Sprintf("%s: %d", kind, counts[kind]))
	}
	d.say("%s answered %s; %s", name, strings.Join(parts, ", "), right)
}

// contradiction returns an error that names the answers which contradict what the user was
// told, or nil.
func contradiction(job, told string, answers map[string][]answered) error {
	var found []string
	for _, name := range controllers {
		var wrong []answered
		for _, a := range answers[name] {
			if a.Contradiction != "" {
				wrong = append(wrong, a)
			}
		}
		if len(wrong) > 0 {
			found = append(found, fmt.Sprintf("%s contradicted that %d times, from %v to %v after it, first with %s (%s)", name, len(wrong),
				wrong[0].after.Round(time.Millisecond), wrong[len(wrong)-1].after.Round(time.Millisecond), wrong[0].String(), strings.TrimSpace(wrong[0].Contradiction)))
		}
	}
	if len(found) == 0 {
		return nil
	}
	return fmt.Errorf("%s told a user that %s is cancelled: %s", told, job, strings.Join(found, "; "))
}
