package upgrade

import (
	"fmt"
	"slices"
	"strings"

	"fawncove/internal/core/feature"
)

// ReplacementOrder returns the controllers that run other versions than the one to be
// rolled out, in the order in which they should be replaced: the leader last, since each
// of its replacements costs the cluster an election.
func (p *Status) ReplacementOrder(version string) []string {
	var out []string
	last := ""
	for _, c := range p.Controllers {
		switch {
		case c.Version == version && !c.BeforeLevels():
		case c.Leads:
			last = c.Name
		default:
			out = append(out, c.Name)
		}
	}
	if last != "" {
		out = append(out, last)
	}
	return out
}

// Versions returns the versions that run, "" for those from before feature levels.
func (p *Status) Versions() []string {
	var out []string
	for _, c := range p.Controllers {
		v := c.Version
		if c.BeforeLevels() {
			v = ""
		}
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// ReasonsToWait returns why no controller should be replaced now; nothing when one may be.
// earlier is the status a few seconds before: a value that does not change has no leader,
// and a controller that has not renewed is gone. One that has just gone may still pass, by
// a renewal that it sent before.
func (p *Status) ReasonsToWait(earlier *Status) []string {
	var out []string
	if earlier == nil || (earlier.Term == p.Term && earlier.Sequence == p.Sequence) {
		out = append(out, "nobody leads: the lease value does not change")
	}
	for i, c := range p.Controllers {
		switch {
		case c.LeaseIncarnation == 0:
			out = append(out, c.Name+" holds no block")
		case c.UnreconciledMachines > 0:
			out = append(out, fmt.Sprintf("%s has yet to reconcile %d of its machines", c.Name, c.UnreconciledMachines))
		case c.Incarnation == c.LeaseIncarnation && !c.Ready:
			out = append(out, c.Name+" does not serve users yet")
		case earlier != nil && i < len(earlier.Controllers) && earlier.Controllers[i].LeaseIncarnation == c.LeaseIncarnation && earlier.Controllers[i].Renewal == c.Renewal:
			out = append(out, c.Name+" has not renewed its lease")
		}
	}
	return out
}

// CannotFollow returns the controllers that cannot follow a level, each with the reason.
func (p *Status) CannotFollow(l feature.Level) []string {
	var out []string
	for _, c := range p.Controllers {
		m := feature.Member{Name: c.Name, Reachable: true, Incarnation: max(c.LeaseIncarnation, c.Incarnation), LeaseIncarnation: c.LeaseIncarnation,
			Announced: feature.Announcement{Incarnation: c.Incarnation, Version: c.Version, Levels: feature.Range{Oldest: feature.Level(c.OldestLevel), Newest: feature.Level(c.NewestLevel)}}}
		if why := m.BlockerFor(l); why != "" {
			out = append(out, c.Name+" "+why)
		}
	}
	return out
}

// NewestLevel returns the newest level that any controller knows.
func (p *Status) NewestLevel() feature.Level {
	l := p.Level
	for _, c := range p.Controllers {
		l = max(l, feature.Level(c.NewestLevel))
	}
	return l
}

// Complete reports whether nothing is left of a rollout: one version runs, all have read its
// newest level, and every record is in its newest form.
func (p *Status) Complete() bool {
	return len(p.Versions()) == 1 && p.NewestLevel() == p.Level && p.Confirmed == p.Level && p.OutdatedRecords == 0
}

// Summary returns the progress of the rollout in one line.
func (p *Status) Summary() string {
	var parts []string
	parts = append(parts, fmt.Sprintf("level %d of %d", p.Level, p.NewestLevel()))
	if p.Confirmed < p.Level {
		parts = append(parts, "not confirmed by all yet")
	}
	if n := len(p.Versions()); n > 1 {
		parts = append(parts, fmt.Sprintf("%d versions run", n))
	}
	if p.OutdatedRecords > 0 {
		parts = append(parts, fmt.Sprintf("%d records to rewrite", p.OutdatedRecords))
	}
	return strings.Join(parts, ", ")
}
