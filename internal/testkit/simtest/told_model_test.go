package simtest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/wire"
)

var toldEvery = flag.Int("told-every", 15013, "of the model of what a user was told, play every such course; a prime number leaves no kind out")

const (
	toldSteps         = 20 // after which something befalls, see toldCourse
	questionsInCourse = 20
	questionInterval  = 25 * time.Millisecond
	quickRestart      = 150 * time.Millisecond // for which a controller is away
)

// toldCourse is one course of the model: the owner of a job stores that it is accepted, done or
// cancelled and tells the user, and another controller is asked from that write on. Calls to the
// state service and frames between controllers are its steps, counted from the write on. Nothing
// befalls but what the course says.
type toldCourse struct {
	lostTelling
	controllers int
	watchesLag  bool       // of all controllers but the owner
	lossAt      int        // after this step the state loses the write and all since; 0: never
	frame       int        // which frame is lost or late; 0: none
	frameFate   answerFate // of that frame
	restartAt   int        // after this step a controller ends, and is back in a moment; 0: never
	restarted   int        // which controller

	written       wire.Revision // of the write; 0: it is yet to come
	steps, frames int           // since then
}

func (c *toldCourse) String() string {
	return fmt.Sprintf("%d controllers, %s, lag %v, %s at %d, lost at %d, frame %d fate %d, %d restarted at %d",
		c.controllers, c.told, c.watchesLag, c.form.name, c.asked, c.lossAt, c.frame, c.frameFate, c.restarted, c.restartAt)
}

// mixedBase is a number that is taken apart into digits of different bases.
type mixedBase int

// digit takes off the lowest digit, which is of this base.
func (m *mixedBase) digit(base int) int {
	digit := int(*m) % base
	*m /= mixedBase(base)
	return digit
}

// newToldCourse returns the course of this number, or nil if there are fewer.
func newToldCourse(controllers, number int) *toldCourse {
	c, m := &toldCourse{controllers: controllers}, mixedBase(number)
	c.told = []moment{accepted, toldDone, confirmed}[m.digit(3)]
	c.form = []questionForm{byQuery, byResubmission, byCancellation}[m.digit(3)]
	c.asked = 1 + m.digit(controllers-1)
	c.watchesLag = m.digit(2) > 0
	c.lossAt = m.digit(1 + toldSteps)
	if n := m.digit(1 + 2*toldSteps); n > 0 {
		c.frame, c.frameFate = (n+1)/2, []answerFate{answerLost, answerLate}[n%2]
	}
	if n := m.digit(1 + controllers*toldSteps); n > 0 {
		c.restartAt, c.restarted = 1+(n-1)/controllers, (n-1)%controllers
	}
	if m > 0 {
		return nil
	}
	return c
}

// play plays the course.
func (c *toldCourse) play(t *testing.T) {
	c.w = build(3, c.controllers, 8, cluster.Defaults(), config.Cluster{
		InitialSize: c.controllers, Zones: []string{"x", "y"}, ClockErrorMs: 50, Teams: []config.Team{{Name: "free"}},
		Workers: config.Workers{ReportS: 2, LeaseS: 12, CancelS: 34},
		State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 4},
	})
	c.w.steady = true
	c.begin()
	if !c.watchesLag {
		c.w.night.watchLag = nil
	}
	c.w.store.served = func(string) answerFate {
		c.noteWrite()
		c.step()
		return answerGiven
	}
	c.w.night.frameSent = func() answerFate {
		c.step()
		return c.fateOfFrame()
	}
	c.tell()
	c.w.Run(questionsInCourse*questionInterval + lateFrame)
	if c.written == 0 {
		t.Error("what the user is to be told is not stored")
	}
	c.settle(t)
}

// noteWrite has the questions begin with the write.
func (c *toldCourse) noteWrite() {
	if c.written > 0 || c.storedAt() == 0 {
		return
	}
	c.written = c.storedAt()
	for i := range questionsInCourse {
		c.w.after(time.Duration(i)*questionInterval, func() { c.ask(c.asked, c.form) })
	}
}

// step counts a step, and has befall what the course says.
func (c *toldCourse) step() {
	if c.written == 0 {
		return
	}
	c.steps++
	if c.steps == c.lossAt {
		c.w.store.loseFrom(c.written)
	}
	if c.steps == c.restartAt {
		c.w.after(0, func() { c.w.Crash(c.w.index(c.nodes[c.restarted].name), quickRestart) })
	}
}

// fateOfFrame counts a frame, and returns what becomes of it.
func (c *toldCourse) fateOfFrame() answerFate {
	if c.written > 0 {
		c.frames++
		if c.frames == c.frame {
			return c.frameFate
		}
	}
	return answerGiven
}

// TestToldModel guards against an answer older than what a user was told, when the state service has
// lost just that, one frame between controllers is lost or late and one controller is restarted.
func TestToldModel(t *testing.T) {
	for _, controllers := range []int{2, 3} {
		number := 1
		for ; newToldCourse(controllers, number-1) != nil; number++ {
			if number%*toldEvery != 0 {
				continue
			}
			c := newToldCourse(controllers, number-1)
			t.Run(c.String(), func(t *testing.T) {
				t.Parallel()
				c.play(t)
			})
		}
		t.Logf("%d controllers: %d courses, one in %d is to be played", controllers, number-1, *toldEvery)
	}
}
