package recovery

import (
	"maps"
	"slices"

	"fawncove/internal/wire"
)

// termGap is how far the term after a recovery lies above the highest that was seen.
// A term takes seconds, and nobody recovers minutes after everybody else.
const termGap = 256

// View is what one controller knows of leases and machines.
type View struct {
	Lease wire.LeaseRecord `msgpack:"lease"`
	// What the plain form of a lease value has no place for.
	Form   int                    `msgpack:"f"`
	Levels [2]uint32              `msgpack:"levels"` // the cluster's level, and the one confirmed
	Shares map[string]wire.Shares `msgpack:"shares"`
	// Machines report there, whoever holds them, and Token is the highest that a worker
	// has shown.
	Machines wire.NameSet      `msgpack:"machines"`
	Token    wire.FencingToken `msgpack:"token"`
}

// ViewOf returns what a lease value says; the zero value says nothing.
func ViewOf(rec wire.LeaseRecord) View {
	return View{Lease: rec, Form: rec.Form, Levels: [2]uint32{rec.Level, rec.Confirmed}, Shares: rec.Shares}
}

// MergeLease merges lease values, from before the loss and as found, into the one that the
// state goes on with. Its leader, node, holds all machines that any of them names, as
// those of holders that ended, all partitions and all quota shares. limit returns the
// whole of a team's limit.
func MergeLease(node string, incarnation wire.Incarnation, generation uint64, limit func(team string) wire.Share, views ...*View) wire.LeaseRecord {
	out := wire.LeaseRecord{Leader: node, Incarnation: incarnation, Generation: generation,
		Partitions: map[string]string{}, Blocks: map[string]wire.Block{}}
	machines := map[string]bool{}
	for _, view := range views {
		mergeCounters(&out, view, generation)
		addMachines(machines, view)
		for partition := range view.Lease.Partitions {
			out.Partitions[partition] = node
		}
		for team := range view.Shares {
			if out.Shares == nil {
				out.Shares = map[string]wire.Shares{}
			}
			out.Shares[team] = wire.Shares{node: limit(team)}
		}
		if out.Unknown == nil {
			out.Unknown = view.Lease.Unknown
		}
	}
	out.Term += termGap
	out.Sequence++
	out.LastGrant = wire.FirstGrant(out.Term)
	out.Blocks[node] = wire.Block{Grant: out.LastGrant, Incarnation: incarnation, Unreconciled: slices.Sorted(maps.Keys(machines))}
	return out
}

// mergeCounters raises what only ever rises to what a view shows. Each recovery since the
// generation that the view is of has raised the term by termGap, and nobody need know that
// value any more.
func mergeCounters(out *wire.LeaseRecord, view *View, generation uint64) {
	unseen := wire.Term(0)
	if of := max(1, view.Lease.Generation); of+1 < generation {
		unseen = wire.Term(generation-of-1) * termGap
	}
	out.Term = max(out.Term, view.Lease.Term+unseen, view.Token.Grant().Term())
	out.Sequence = max(out.Sequence, view.Lease.Sequence)
	out.Form = max(out.Form, view.Form)
	out.Level, out.Confirmed = max(out.Level, view.Levels[0]), max(out.Confirmed, view.Levels[1])
}

// addMachines adds every machine that a view names.
func addMachines(machines map[string]bool, view *View) {
	add := func(names wire.NameSet) {
		for _, name := range names {
			machines[name] = true
		}
	}
	add(view.Machines)
	for _, b := range view.Lease.Blocks {
		add(b.Machines)
		add(b.Unreconciled)
	}
}
