package feature

import (
	"fmt"
	"time"
)

// Member is what the leader knows of one controller of the settings.
type Member struct {
	Name string
	// Reachable says that it has been heard a moment ago. Who is absent, cut off or
	// frozen is not.
	Reachable bool
	// Process is the incarnation heard last, and Holder that which the lease
	// value names for its block; 0: none.
	Process, LeaseIncarnation uint64
	// Announced is what that controller has stored of itself; the zero value: nothing.
	Announced Announcement
	// SeenLevel is the level that it has read, as it was heard last.
	SeenLevel Level
}

// Announcement is what a process has stored of itself.
type Announcement struct {
	Incarnation uint64 // 0: nothing was stored
	Levels      Range
	Version     string
}

// MissingFor returns why a controller keeps the cluster from a level, or "". What
// it told counts only as the process that it now is: an earlier one may have
// been of another version.
func (m Member) BlockerFor(l Level) string {
	switch {
	case m.Process == 0:
		return "was never heard; it is named in the settings"
	case !m.Reachable:
		return "is not heard at the moment"
	case m.Announced.Incarnation == 0:
		return "has told no level: its version is from before levels, or it has just started"
	case m.Announced.Incarnation != m.Process:
		return "told its level as an earlier process"
	case m.LeaseIncarnation != 0 && m.LeaseIncarnation != m.Process:
		return "holds its block as an earlier process"
	}
	if err := m.Announced.Levels.Follow(l); err != nil {
		return fmt.Sprintf("version %s follows levels %d to %d only", m.Announced.Version, m.Announced.Levels.Oldest, m.Announced.Levels.Newest)
	}
	return ""
}

// OperatorRequest is what the operator has asked for.
type OperatorRequest struct {
	TargetLevel Level // to be raised to as soon as all can follow; 0: nothing asked
	Hold        bool  // no raise by itself
}

// LevelRaiser decides when the level is raised. It belongs to a leader; a new one
// begins to wait anew. Its zero value never raises by itself.
type LevelRaiser struct {
	// Delay is for how long all must have been able to follow a level before it
	// is raised without the operator's word; 0: never.
	Delay time.Duration

	lastDecision    time.Time           // decision
	followableSince map[Level]time.Time // all able, without a break
	confirmedSince  time.Time           // since when all tell that they have read the level; zero: not all
}

// SettleTime is for how long all must have been able to follow, or have told that
// they read a level, before that counts, whoever asks. A cut holds frames back
// and delivers them when it ends: a controller that died meanwhile then passes
// for heard once more, for as long as a frame counts. Steady is longer.
const SettleTime = 5 * time.Second

// maxDecisionGap is the longest time between two decisions that says nothing: a leader
// decides with every value that it publishes, every 5 s. One that stood still
// for longer has missed whatever went in between, and the frames that wait for it
// when it wakes are old.
const maxDecisionGap = 8 * time.Second

// Decide returns what the level should be now, of a leader that can follow
// levels, and what keeps the cluster from the newest of them.
func (r *LevelRaiser) Decide(now time.Time, st State, own Range, members []Member, word OperatorRequest) (State, []string) {
	if r.followableSince == nil || now.Sub(r.lastDecision) > maxDecisionGap {
		r.followableSince, r.confirmedSince = map[Level]time.Time{}, time.Time{}
	}
	r.lastDecision = now
	next := st
	var waits []string
	for l := st.Level + 1; l <= own.Newest; l++ {
		lacking := blockersFor(members, l)
		if len(lacking) > 0 {
			delete(r.followableSince, l)
			if len(waits) == 0 {
				waits = lacking
			}
			continue
		}
		if _, ok := r.followableSince[l]; !ok {
			r.followableSince[l] = now
		}
		able := now.Sub(r.followableSince[l])
		byItself := r.Delay > 0 && !word.Hold && able >= r.Delay
		if (word.TargetLevel >= l || byItself) && able >= SettleTime && next.Level == l-1 {
			next.Level = l
		} else if len(waits) == 0 {
			waits = []string{fmt.Sprintf("level %d: all can follow; waits for %s", l, waitsFor(r, word, l))}
		}
	}
	// Confirmed is a fact, and stands in the value so that whoever leads next
	// knows it: all have read the level that the value had before this write.
	if st.Confirmed >= st.Level {
		r.confirmedSince = time.Time{}
	} else {
		var unseen []string
		for _, m := range members {
			if why := m.BlockerFor(st.Level); why != "" {
				unseen = append(unseen, m.Name+" "+why)
			} else if m.SeenLevel < st.Level {
				unseen = append(unseen, fmt.Sprintf("%s has not read level %d yet", m.Name, st.Level))
			}
		}
		switch {
		case len(unseen) > 0:
			r.confirmedSince = time.Time{}
			waits = append(waits, unseen...)
		case r.confirmedSince.IsZero():
			r.confirmedSince = now
		case now.Sub(r.confirmedSince) >= SettleTime:
			next.Confirmed = st.Level
		}
	}
	return next, waits
}

func blockersFor(members []Member, l Level) []string {
	var out []string
	for _, m := range members {
		if why := m.BlockerFor(l); why != "" {
			out = append(out, m.Name+" "+why)
		}
	}
	return out
}

func waitsFor(r *LevelRaiser, word OperatorRequest, l Level) string {
	switch {
	case word.Hold:
		return "the operator, who holds it"
	case r.Delay == 0:
		return "the operator"
	}
	return fmt.Sprintf("the operator, or %v from %s on", r.Delay, r.followableSince[l].UTC().Format(time.TimeOnly))
}
