package feature

import (
	"fmt"
	"time"

	"fawncove/internal/wire"
)

const (
	// SettleTime is for how long all controllers must have been able to follow a level,
	// or have said that they read it, before that counts, whoever asks for the raise. A
	// network cut holds frames back and delivers them when it ends: a controller that
	// died meanwhile then passes for reachable once more, for as long as a frame counts.
	// SettleTime is longer than that.
	SettleTime = 5 * time.Second
	// maxDecisionGap is the longest time between two decisions after which what was seen
	// before still counts. A leader decides with every value that it publishes, every
	// 5 s. One that was suspended for longer has missed what happened in between, and the
	// frames that wait for it when it goes on are old.
	maxDecisionGap = 8 * time.Second
)

// Member is what the leader knows of one controller of the settings.
type Member struct {
	Name string
	// Reachable says that a frame of it arrived recently. A controller that is absent, cut
	// off or suspended is not reachable.
	Reachable bool
	// Incarnation is the one in its newest frame, and LeaseIncarnation the one that the lease
	// value names for its block; 0: none.
	Incarnation, LeaseIncarnation wire.Incarnation
	// Announced is what that controller has stored of itself.
	Announced Announcement
	// SeenLevel is the level that it had read, by its newest frame.
	SeenLevel Level
}

// Announcement is what a process has stored of itself.
type Announcement struct {
	Incarnation wire.Incarnation // 0: nothing is stored
	Levels      Range
	Version     string
}

// BlockerFor returns why a controller keeps the cluster from a level, or "". What it
// announced counts only for the process that it is now: an earlier one may have been of
// another version.
func (m Member) BlockerFor(level Level) string {
	switch {
	case m.Incarnation == 0:
		return "was never reachable; it is named in the settings"
	case !m.Reachable:
		return "is unreachable at the moment"
	case m.Announced.Incarnation == 0:
		return "has announced no level: its version is from before levels, or it has just started"
	case m.Announced.Incarnation != m.Incarnation:
		return "announced its level as an earlier process"
	case m.LeaseIncarnation != 0 && m.LeaseIncarnation != m.Incarnation:
		return "holds its block as an earlier process"
	}
	if err := m.Announced.Levels.Follow(level); err != nil {
		return fmt.Sprintf("version %s supports levels %d to %d only", m.Announced.Version, m.Announced.Levels.Oldest, m.Announced.Levels.Newest)
	}
	return ""
}

// OperatorRequest is what the operator has asked for.
type OperatorRequest struct {
	TargetLevel Level // to be raised to as soon as all can follow; 0: nothing asked
	Hold        bool  // no raise without a request
}

// LevelRaiser decides when the level is raised. It belongs to a leader; a new one begins
// to wait anew. The zero value raises only on request.
type LevelRaiser struct {
	// Delay is for how long all must have been able to follow a level before it is
	// raised without a request; 0: never.
	Delay time.Duration

	lastDecision    time.Time
	followableSince map[Level]time.Time // since when all are able to, without a break
	confirmedSince  time.Time           // since when all say that they read the level; zero: not all
}

// Decide returns what the level should be now, of a leader that can follow the levels of
// own, and what keeps the cluster from the newest of them.
func (r *LevelRaiser) Decide(now time.Time, current State, own Range, members []Member, request OperatorRequest) (next State, blockers []string) {
	if r.followableSince == nil || now.Sub(r.lastDecision) > maxDecisionGap {
		r.followableSince, r.confirmedSince = map[Level]time.Time{}, time.Time{}
	}
	r.lastDecision = now
	next = current
	next.Level, blockers = r.decideLevel(now, current.Level, own, members, request)
	confirmed, unconfirmed := r.decideConfirmed(now, current, members)
	if confirmed {
		next.Confirmed = current.Level
	}
	return next, append(blockers, unconfirmed...)
}

// decideLevel returns the highest level that can be raised to now, and what keeps the
// cluster from the next one.
func (r *LevelRaiser) decideLevel(now time.Time, current Level, own Range, members []Member, request OperatorRequest) (next Level, blockers []string) {
	next = current
	for level := current + 1; level <= own.Newest; level++ {
		if blocking := blockersFor(members, level); len(blocking) > 0 {
			delete(r.followableSince, level)
			if len(blockers) == 0 {
				blockers = blocking
			}
			continue
		}
		if _, ok := r.followableSince[level]; !ok {
			r.followableSince[level] = now
		}
		followable := now.Sub(r.followableSince[level])
		unrequested := r.Delay > 0 && !request.Hold && followable >= r.Delay
		if (request.TargetLevel >= level || unrequested) && followable >= SettleTime && next == level-1 {
			next = level
		} else if len(blockers) == 0 {
			blockers = []string{fmt.Sprintf("level %d: all can follow; waits for %s", level, r.waitsFor(request, level))}
		}
	}
	return next, blockers
}

// decideConfirmed reports whether all controllers are now known to have read the current
// level, and which have not. That they have is a fact, and is stored in the value so that
// the next leader knows it.
func (r *LevelRaiser) decideConfirmed(now time.Time, current State, members []Member) (confirmed bool, blockers []string) {
	if current.Confirmed >= current.Level {
		r.confirmedSince = time.Time{}
		return false, nil
	}
	for _, member := range members {
		if why := member.BlockerFor(current.Level); why != "" {
			blockers = append(blockers, member.Name+" "+why)
		} else if member.SeenLevel < current.Level {
			blockers = append(blockers, fmt.Sprintf("%s has not read level %d yet", member.Name, current.Level))
		}
	}
	switch {
	case len(blockers) > 0:
		r.confirmedSince = time.Time{}
	case r.confirmedSince.IsZero():
		r.confirmedSince = now
	case now.Sub(r.confirmedSince) >= SettleTime:
		return true, nil
	}
	return false, blockers
}

// blockersFor returns why controllers keep the cluster from a level.
func blockersFor(members []Member, level Level) []string {
	var out []string
	for _, member := range members {
		if why := member.BlockerFor(level); why != "" {
			out = append(out, member.Name+" "+why)
		}
	}
	return out
}

// waitsFor returns what a level that all can follow waits for.
func (r *LevelRaiser) waitsFor(request OperatorRequest, level Level) string {
	switch {
	case request.Hold:
		return "the operator, who holds it"
	case r.Delay == 0:
		return "the operator"
	}
	return fmt.Sprintf("the operator, or %v from %s on", r.Delay, r.followableSince[level].UTC().Format(time.TimeOnly))
}
