package upgrade

import (
	"fmt"
	"slices"
	"strings"

	"fawncove/internal/core/feature"
)

// Steps lists the controllers in the order in which they should be replaced:
// those that run other versions than the one to be rolled out, the leader last,
// since each of its replacements costs the cluster a new leader.
func (p *Picture) Steps(version string) []string {
	var out []string
	last := ""
	for _, c := range p.Controllers {
		switch {
		case c.Version == version && !c.Older():
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

// Versions lists the versions that run, "" being those from before levels.
func (p *Picture) Versions() []string {
	var out []string
	for _, c := range p.Controllers {
		v := c.Version
		if c.Older() {
			v = ""
		}
		if !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

// Busy tells why no controller should be replaced at this moment; nothing when
// one may be. earlier is a picture from a few seconds before: a value that does
// not change has no leader, and who has not renewed is gone. A controller that has
// just gone may pass once more, by a renewal that it sent before.
func (p *Picture) Busy(earlier *Picture) []string {
	var out []string
	if earlier == nil || (earlier.Term == p.Term && earlier.Beat == p.Beat) {
		out = append(out, "nobody leads: the lease value does not change")
	}
	for i, c := range p.Controllers {
		switch {
		case c.Holder == 0:
			out = append(out, c.Name+" holds no block")
		case c.Unheard > 0:
			out = append(out, fmt.Sprintf("%s has not heard %d of its machines yet", c.Name, c.Unheard))
		case c.Process == c.Holder && !c.Ready:
			out = append(out, c.Name+" does not serve users yet")
		case earlier != nil && i < len(earlier.Controllers) && earlier.Controllers[i].Holder == c.Holder && earlier.Controllers[i].Renewal == c.Renewal:
			out = append(out, c.Name+" has not renewed its lease")
		}
	}
	return out
}

// CannotFollow lists the controllers that cannot follow a level, with why.
func (p *Picture) CannotFollow(l feature.Level) []string {
	var out []string
	for _, c := range p.Controllers {
		m := feature.Member{Name: c.Name, Reachable: true, Process: max(c.Holder, c.Process), LeaseIncarnation: c.Holder,
			Announced: feature.Announcement{Incarnation: c.Process, Version: c.Version, Levels: feature.Range{Oldest: feature.Level(c.Oldest), Newest: feature.Level(c.Newest)}}}
		if why := m.BlockerFor(l); why != "" {
			out = append(out, c.Name+" "+why)
		}
	}
	return out
}

// Newest is the newest level that any controller knows of.
func (p *Picture) Newest() feature.Level {
	l := p.Level
	for _, c := range p.Controllers {
		l = max(l, feature.Level(c.Newest))
	}
	return l
}

// Settled tells whether there is nothing left of a rollout: one version, its
// newest level seen by all, and every record in its newest form.
func (p *Picture) Settled() bool {
	return len(p.Versions()) == 1 && p.Newest() == p.Level && p.Confirmed == p.Level && p.Left == 0
}

// Summary says in one line where the rollout stands.
func (p *Picture) Summary() string {
	var parts []string
	parts = append(parts, fmt.Sprintf("level %d of %d", p.Level, p.Newest()))
	if p.Confirmed < p.Level {
		parts = append(parts, "not confirmed by all yet")
	}
	if n := len(p.Versions()); n > 1 {
		parts = append(parts, fmt.Sprintf("%d versions run", n))
	}
	if p.Left > 0 {
		parts = append(parts, fmt.Sprintf("%d records to rewrite", p.Left))
	}
	return strings.Join(parts, ", ")
}
