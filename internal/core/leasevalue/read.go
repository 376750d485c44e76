package leasevalue

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"fawncove/internal/wire"
)

// formOnly is the field that says in which form a value is.
type formOnly struct {
	Form int `msgpack:"form"`
}

// Read reads a lease value. It returns ErrPageMissing when pages have to be read first, and
// a wire.FormError for a form that this version does not know; any other error means that
// the value is damaged. On an error the value grants nothing.
func (t *PageTable) Read(value []byte) (wire.LeaseRecord, error) {
	var form formOnly
	if err := wire.Decode(value, &form); err != nil {
		return wire.LeaseRecord{}, fmt.Errorf("lease value: %w", err)
	}
	switch {
	case form.Form <= 1 && form.Form >= 0:
		return t.readPlain(value)
	case form.Form == FormPages || (form.Form == Form && !t.FormsBeforeLevels):
		return t.readPaged(value)
	default:
		return wire.LeaseRecord{}, wire.FormError{What: "lease value", Form: form.Form}
	}
}

// readPlain reads a value in form 1.
func (t *PageTable) readPlain(value []byte) (wire.LeaseRecord, error) {
	var rec wire.LeaseRecord
	if err := wire.Decode(value, &rec); err != nil {
		return rec, fmt.Errorf("lease value: %w", err)
	}
	t.recordReferenced(nil)
	return rec, nil
}

// readPaged reads a value in form 2 or 3.
func (t *PageTable) readPaged(value []byte) (rec wire.LeaseRecord, err error) {
	var h header
	if err := wire.Decode(value, &h); err != nil {
		return rec, fmt.Errorf("lease value: %w", err)
	}
	rec = wire.LeaseRecord{Form: h.Form, Level: h.Level, Confirmed: h.Confirmed, Generation: h.Generation,
		Term: h.Term, Leader: h.Leader, Incarnation: h.Incarnation, LastGrant: h.LastGrant, Sequence: h.Sequence,
		Blocks: make(map[string]wire.Block, len(h.Blocks)), Partitions: h.Partitions, Waiting: h.Waiting}
	if h.Form >= 3 {
		if rec.Unknown, err = wire.UnknownFields(value, h); err != nil {
			return rec, fmt.Errorf("lease value: %w", err)
		}
	}
	referenced, err := t.readBlocks(&h, &rec)
	if err != nil {
		return rec, err
	}
	nodes := slices.Sorted(maps.Keys(h.Blocks))
	if err := h.readShards(nodes, &rec, maxShardExpansion*len(value)+shardAllowance); err != nil {
		return rec, err
	}
	if err := h.readShares(nodes, &rec); err != nil {
		return rec, err
	}
	t.recordReferenced(referenced)
	return rec, nil
}

// readBlocks reads the blocks with the names of their machines. It returns the pages that
// these are on.
func (t *PageTable) readBlocks(h *header, rec *wire.LeaseRecord) (referenced []int, err error) {
	for node, stored := range h.Blocks {
		block := wire.Block{Grant: stored.Grant, Incarnation: stored.Incarnation, Renewal: stored.Renewal}
		into := blockSets(&block)
		for kind, set := range stored.sets() {
			names, pages, err := t.collectNames(setKey{node, kind}, set)
			if err != nil {
				return nil, err
			}
			*into[kind] = names
			referenced = append(referenced, pages...)
		}
		rec.Blocks[node] = block
	}
	return referenced, nil
}

// The name of a shard is made of its team's name, which stands in the value once, and takes a
// byte there.
const (
	// maxShardExpansion is how many bytes of names a byte of the value may stand for.
	maxShardExpansion = 64
	// shardAllowance is allowed to any value: 4,000 shards of teams with names of 200 bytes.
	shardAllowance = 1 << 20
)

var errTooManyShards = errors.New("lease value: names of shards that are far longer than the value")

// readShards reads the owners of the teams' shards. nodes are the sorted names of the
// blocks, and room is how many bytes the names of shards may have in all.
func (h *header) readShards(nodes []string, rec *wire.LeaseRecord, room int) error {
	for team, owners := range h.Shards {
		if room -= len(wire.ShardName(team, len(owners))) * len(owners); room < 0 {
			return errTooManyShards
		}
		for i, owner := range owners {
			if owner < 0 || owner >= len(nodes) {
				return fmt.Errorf("lease value: shard %d of %q has no owner", i+1, team)
			}
			if rec.Partitions == nil {
				rec.Partitions = map[string]string{}
			}
			rec.Partitions[wire.ShardName(team, i+1)] = nodes[owner]
		}
	}
	return nil
}

// readShares reads the teams' quota shares. nodes are the sorted names of the blocks.
func (h *header) readShares(nodes []string, rec *wire.LeaseRecord) error {
	for team, cpus := range h.CPUs {
		gpus := h.GPUs[team]
		if len(cpus) != len(nodes) || (len(gpus) != 0 && len(gpus) != len(nodes)) {
			return fmt.Errorf("lease value: %d shares of %q for %d controllers", len(cpus), team, len(nodes))
		}
		if rec.Shares == nil {
			rec.Shares = map[string]wire.Shares{}
		}
		shares := wire.Shares{}
		for i, node := range nodes {
			share := wire.Share{CPUs: cpus[i]}
			if len(gpus) > 0 {
				share.GPUs = gpus[i]
			}
			shares[node] = share
		}
		rec.Shares[team] = shares
	}
	return nil
}
