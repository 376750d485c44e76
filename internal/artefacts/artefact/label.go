package artefact

import (
	"bytes"
	"fmt"
	"time"

	"fawncove/internal/artefacts/artefact/artefactpb"
)

// State is how far an attempt's output is.
type State string

// The states.
const (
	StateOpen   State = "open"    // being written, as far as anybody knows
	StateSealed State = "sealed"  // the writer has written all there is
	StateCutOff State = "cut off" // nothing more is to be expected, and no end was written
)

// Counted tells whether an attempt is the one whose result counted.
type Counted string

// What can be known of that.
const (
	CountedYes     Counted = "yes"
	CountedNo      Counted = "no"
	CountedUnknown Counted = "unknown" // the daemon's final answer is not known
)

// Label is what to read an attempt as.
type Label struct {
	State      State
	Superseded bool // a later attempt at the task was begun
	Counted    Counted
}

// String is the label as people read it.
func (l Label) String() string {
	s := string(l.State)
	if l.Superseded {
		s += ", superseded"
	}
	if l.Counted == CountedYes {
		s += ", counted"
	}
	return s
}

// Final is the daemon's final answer for a job.
type Final struct {
	Known bool
	State string // done or cancelled
	Done  int    // tasks that were completed
}

// Labels tells how to read the attempts at one task, given in the order of
// their keys. An attempt without an end that has been quiet for so long, or
// after which another was begun, is cut off.
//
// The scheduler begins another attempt only when no earlier one has counted, so
// of the attempts that ended well the last one counted, once the daemon says
// that the task did.
func Labels(attempts []*artefactpb.Attempt, final Final, now time.Time, quiet time.Duration) []Label {
	out := make([]Label, len(attempts))
	last, good := uint64(0), uint64(0)
	for _, a := range attempts {
		n := a.GetKey().GetAttempt()
		last = max(last, n)
		if s := a.GetSeal(); s != nil && s.GetExit() == 0 && s.GetSignal() == "" {
			good = max(good, n)
		}
	}
	for i, a := range attempts {
		n := a.GetKey().GetAttempt()
		l := Label{State: StateOpen, Superseded: n < last, Counted: CountedNo}
		switch {
		case a.GetSeal() != nil:
			l.State = StateSealed
		case l.Superseded || final.Known || now.Sub(time.Unix(0, a.GetLastNs())) > quiet:
			l.State = StateCutOff
		}
		if n == good && a.GetSeal() != nil && a.GetSeal().GetExit() == 0 && a.GetSeal().GetSignal() == "" {
			l.Counted = CountedUnknown
			if final.Known && final.State == "done" {
				l.Counted = CountedYes
			}
		}
		out[i] = l
	}
	return out
}

// Line is a line that a task printed.
type Line struct {
	At     time.Time
	Stream uint32
	Text   []byte // without its end
}

// lineMost bounds a line; a longer one is cut into several.
const lineMost = 64 << 10

// Lines puts pieces of output together to lines, each stream by itself.
type Lines struct {
	open [4]Line
}

// Add calls f for every line that a piece ends.
func (l *Lines) Add(p *artefactpb.Piece, f func(Line)) {
	s := min(p.GetStream(), uint32(len(l.open)-1))
	data := p.GetData()
	for len(data) > 0 {
		o := &l.open[s]
		if len(o.Text) == 0 {
			o.At, o.Stream = time.Unix(0, p.GetAtNs()).UTC(), p.GetStream()
		}
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			o.Text = append(o.Text, data...)
			data = nil
		} else {
			o.Text = append(o.Text, data[:end]...)
			data = data[end+1:]
		}
		for len(o.Text) > lineMost {
			f(Line{o.At, o.Stream, o.Text[:lineMost:lineMost]})
			o.Text = append([]byte(nil), o.Text[lineMost:]...)
		}
		if end >= 0 {
			f(*o)
			o.Text = nil
		}
	}
}

// End calls f for lines that nothing has ended.
func (l *Lines) End(f func(Line)) {
	for i := range l.open {
		if len(l.open[i].Text) > 0 {
			f(l.open[i])
			l.open[i].Text = nil
		}
	}
}

// Name is how people write a key.
func Name(k *artefactpb.Key) string {
	return fmt.Sprintf("%s/%d attempt %d (%s)", k.GetJob(), k.GetTask(), k.GetAttempt(), k.GetWriter())
}
