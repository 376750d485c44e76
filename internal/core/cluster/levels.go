package cluster

import (
	"time"

	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// Levels returns what the lease value says of feature levels.
func (v *View) Levels() feature.State {
	return feature.State{Level: feature.Level(v.Lease.Level), Confirmed: feature.Level(v.Lease.Confirmed)}
}

// FeatureOpen reports whether a feature gate is open here.
func (v *View) FeatureOpen(g feature.Gate) bool { return v.Levels().Open(g) }

// Unwrap takes a stored value out of its envelope. A version from before levels knows of
// none.
func (v *View) Unwrap(key string, value []byte) (wire.Envelope, error) {
	if !v.Params.Levels.KnowsLevels() {
		return wire.Envelope{Value: value}, nil
	}
	return wire.Unwrap(key, value)
}

// Members returns what is known of all controllers of the settings, in the order of their
// names and then this one, whose incarnation it takes.
func (v *View) Members(incarnation wire.Incarnation, now time.Time) []feature.Member {
	var out []feature.Member
	for _, name := range SortedKeys(v.Peers) {
		p := v.Peers[name]
		out = append(out, feature.Member{Name: name, Reachable: v.IsReachable(name, now), Incarnation: p.Incarnation, SeenLevel: p.SeenLevel})
	}
	out = append(out, feature.Member{Name: v.Self, Reachable: true, Incarnation: incarnation, SeenLevel: v.Levels().Level})
	for i := range out {
		m := &out[i]
		rec := v.Controllers[m.Name].Value
		m.LeaseIncarnation = v.Lease.Blocks[m.Name].Incarnation
		m.Announced = feature.Announcement{Incarnation: rec.Incarnation, Version: rec.Version,
			Levels: feature.Range{Oldest: feature.Level(rec.OldestLevel), Newest: feature.Level(rec.NewestLevel)}}
	}
	return out
}
