// Package recovery decides how a state that has lost data is made whole again from
// what controllers know: what of it is missing, in which transactions it is
// stored, and what the lease value is from then on. It reads no clock, sends
// nothing, and knows of the state service only what it is handed.
//
//   - What is known to be over stays over, and is stored before anything starts.
//   - Whatever may be on a machine counts as being there: all machines that any
//     value named come to one holder as those of a dead one do, and jobs that
//     may have been started wait until they have been heard.
//   - Terms go on above every one that was seen, with room for those that were
//     not, and with them grants, tokens and attempts.
//   - A write of before the loss finds another generation, and changes nothing.
package recovery

import (
	"context"
	"encoding/base64"
	"fmt"
	"maps"
	"slices"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// Generation is the stored form of the state's generation; none is stored until
// the state has been rebuilt for the first time.
type Generation struct {
	Form       int    `msgpack:"f" json:"-"`
	Generation uint64 `msgpack:"gen" json:"generation"`
	// Rebuilding says that this generation has lost data and the next one is not
	// there yet: a process that has just started waits.
	Rebuilding bool `msgpack:"rebuilding" json:"rebuilding"`
	// What is known of the loss: the highest revision that the controller which
	// rebuilt had seen, what it found instead, what it stored again, and when.
	Controller    string `msgpack:"by" json:"by"`
	RevisionSeen  uint64 `msgpack:"lost" json:"revision_seen"`
	RevisionFound uint64 `msgpack:"found" json:"revision_found"`
	Jobs          int    `msgpack:"jobs" json:"jobs"`
	Ends          int    `msgpack:"ends" json:"ends"`
	RecoveredAtMs int64  `msgpack:"at_ms" json:"at_ms"`
	TookMs        int64  `msgpack:"took_ms" json:"took_ms"`
	Machines      int    `msgpack:"machines" json:"machines"`
}

// GenerationForm is the newest form of Generation.
const GenerationForm = 1

// Key is where it is stored.
const Key = "fc/gen"

// Store is what of the state service's client Read needs.
type Store interface {
	Get(ctx context.Context, key string) (outcome eventloop.Outcome, p wire.Pair, err error)
}

// Read reads the state's generation; found is false if it was never rebuilt, nor is
// being so.
func Read(ctx context.Context, s Store) (g Generation, found bool, err error) {
	outcome, p, err := s.Get(ctx, Key)
	switch {
	case outcome == eventloop.NotFound:
		return Generation{Generation: 1}, false, nil
	case err != nil:
		return g, false, fmt.Errorf("generation: %w", err)
	}
	g, err = Decode(p.Value)
	return g, true, err
}

// Decode decodes a stored generation.
func Decode(value []byte) (g Generation, err error) {
	err = wire.Decode(value, &g)
	if err == nil && g.Form > GenerationForm {
		err = wire.FormError{What: Key, Form: g.Form}
	}
	return g, err
}

// KnownState is what a controller knows.
type KnownState struct {
	Jobs           map[string]any            // what is to be stored for each job that is not over
	Ends           map[string]wire.EndRecord // of jobs that are
	CompletedTasks map[string][]byte         // completed tasks, a bit a task, by stretch of a job
}

// StoredState is what the state holds.
type StoredState struct {
	Jobs           map[string]uint64 // versions of their records
	Ends           map[string]StoredEnd
	CompletedTasks map[string][]byte
}

// StoredEnd is the end of a job as the state has it.
type StoredEnd struct {
	State   string
	Version uint64
}

// Keys are the prefixes under which things are stored.
type Keys struct{ Job, End string }

// Limits are those of a transaction: its changes, and the bytes it should have.
type Limits struct{ Ops, Bytes int }

// MissingWrites returns the transactions that store what is known and not there, those
// that keep a job from coming back to life first. Each changes nothing if the state
// is not as it was found.
func MissingWrites(m *KnownState, f *StoredState, k Keys, lim Limits) (txns []wire.Txn, jobs, ends int, err error) {
	b := batch{lim: lim}
	late := []string{}
	for _, id := range slices.Sorted(maps.Keys(m.Ends)) {
		there, ok := f.Ends[id]
		if ok && there.State == m.Ends[id].State {
			continue
		}
		ends++
		v, alive := f.Jobs[id]
		if !alive {
			late = append(late, id)
			continue
		}
		if err := b.add([]wire.Condition{{Key: k.Job + id, Version: v}, {Key: k.End + id}},
			wire.Op{Delete: k.Job + id}, wire.Op{Put: k.End + id, Value: m.Ends[id]}); err != nil {
			return nil, 0, 0, err
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.Jobs)) {
		_, over := m.Ends[id]
		_, there := f.Jobs[id]
		_, ended := f.Ends[id]
		if there || over || ended {
			continue
		}
		jobs++
		if err := b.add([]wire.Condition{{Key: k.Job + id}, {Key: k.End + id}}, wire.Op{Put: k.Job + id, Value: m.Jobs[id]}); err != nil {
			return nil, 0, 0, err
		}
	}
	for _, id := range late {
		// Somebody who had not noticed yet may have ended it another way since. What
		// was known before the loss may have been told.
		if err := b.add([]wire.Condition{{Key: k.Job + id}, {Key: k.End + id, Version: f.Ends[id].Version}}, wire.Op{Put: k.End + id, Value: m.Ends[id]}); err != nil {
			return nil, 0, 0, err
		}
	}
	return b.done(), jobs, ends, nil
}

// CompletedTaskPages are the completed tasks that are known and not stored, as pages hold
// them, in groups of about most bytes.
func CompletedTaskPages(m *KnownState, f *StoredState, most int) []map[string]string {
	var out []map[string]string
	size := 0
	for _, key := range slices.Sorted(maps.Keys(m.CompletedTasks)) {
		if covers(f.CompletedTasks[key], m.CompletedTasks[key]) {
			continue
		}
		text := base64.RawStdEncoding.EncodeToString(m.CompletedTasks[key])
		if n := len(key) + len(text) + 12; len(out) == 0 || size+n > most {
			out, size = append(out, map[string]string{}), 0
		}
		out[len(out)-1][key] = text
		size += len(key) + len(text) + 12
	}
	return out
}

// covers tells whether all of b's bits are in a.
func covers(a, b []byte) bool {
	for i, v := range b {
		if v != 0 && (i >= len(a) || v&^a[i] != 0) {
			return false
		}
	}
	return true
}

// batch gathers changes into transactions.
type batch struct {
	lim   Limits
	txns  []wire.Txn
	bytes int
}

func (b *batch) add(conds []wire.Condition, ops ...wire.Op) error {
	size := 0
	for _, op := range ops {
		raw, err := wire.Encode(op.Value)
		if err != nil {
			return err
		}
		size += len(raw)*5/4 + 2*len(op.Put+op.Delete) + 100 // as JSON, with its conditions
	}
	if n := len(b.txns); n == 0 || len(b.txns[n-1].Then)+len(ops) > b.lim.Ops || b.bytes+size > b.lim.Bytes {
		b.txns, b.bytes = append(b.txns, wire.Txn{}), 0
	}
	t := &b.txns[len(b.txns)-1]
	t.If, t.Then = append(t.If, conds...), append(t.Then, ops...)
	b.bytes += size
	return nil
}

func (b *batch) done() []wire.Txn { return b.txns }

// View is what one controller knows of leases and machines.
type View struct {
	Lease wire.LeaseRecord `msgpack:"lease"`
	// What the plain form of a lease value has no place for.
	Form   int                    `msgpack:"f"`
	Levels [2]uint32              `msgpack:"levels"` // its level, and the one confirmed
	Shares map[string]wire.Shares `msgpack:"shares"`
	// Machines reported there, whoever holds them, and Token is the highest that a
	// worker has shown.
	Machines wire.NameSet `msgpack:"machines"`
	Token    uint64       `msgpack:"token"`
}

// ViewOf is what a lease value says; the zero value says nothing.
func ViewOf(rec wire.LeaseRecord) View {
	return View{Lease: rec, Form: rec.Form, Levels: [2]uint32{rec.Level, rec.Confirmed}, Shares: rec.Shares}
}

// termGap is how far a rebuilt term lies above the highest that was seen. A term
// takes seconds, and nobody rebuilds minutes after everybody else.
const termGap = 256

// TermOfToken is the term that a token was made in: see package blocklease, and the grants
// of a lease value.
func TermOfToken(token uint64) uint64 { return token >> (24 + 16) }

// MergeLease joins lease values, of before the loss and as found, into the one that the
// state goes on with. Its leader holds all machines that any of them names, as those
// of holders that ended, all homes and all shares. share is a team's limit.
func MergeLease(node string, incarnation, generation uint64, share func(team string) wire.Share, views ...*View) wire.LeaseRecord {
	out := wire.LeaseRecord{Leader: node, Incarnation: incarnation, Generation: generation,
		Partitions: map[string]string{}, Blocks: map[string]wire.Block{}}
	machines := map[string]bool{}
	for _, view := range views {
		v := &view.Lease
		out.Term, out.Sequence, out.Form = max(out.Term, v.Term, TermOfToken(view.Token)), max(out.Sequence, v.Sequence), max(out.Form, view.Form)
		out.Level, out.Confirmed = max(out.Level, view.Levels[0]), max(out.Confirmed, view.Levels[1])
		for _, n := range view.Machines {
			machines[n] = true
		}
		for _, b := range v.Blocks {
			for _, names := range [][]string{b.Machines, b.Unreconciled} {
				for _, n := range names {
					machines[n] = true
				}
			}
		}
		for home := range v.Partitions {
			out.Partitions[home] = node
		}
		for team := range view.Shares {
			if out.Shares == nil {
				out.Shares = map[string]wire.Shares{}
			}
			out.Shares[team] = wire.Shares{node: share(team)}
		}
		if out.Unknown == nil {
			out.Unknown = v.Unknown
		}
	}
	out.Term += termGap
	out.Sequence++
	out.LastGrant = out.Term << 16
	out.Blocks[node] = wire.Block{Grant: out.LastGrant, Incarnation: incarnation, Unreconciled: slices.Sorted(maps.Keys(machines))}
	return out
}
