package wire

import (
	"maps"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Pair is one key of the state service with its value.
type Pair struct {
	Key     string             `msgpack:"path"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Version uint64             `msgpack:"inacica"`
}

// Page is the answer of a range read, and of a read that found nothing.
type Page struct {
	Pairs    []Pair `msgpack:"pairs"`
	More     bool   `msgpack:"more"`
	Revision uint64 `msgpack:"izmjena"`
}

// Condition demands a version of a key; 0 demands its absence.
type Condition struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"inacica"`
}

// Op is a put or a delete.
type Op struct {
	Put    string `msgpack:"put"`
	Value  any    `msgpack:"data"`
	Delete string `msgpack:"drop"`
}

// EncodeMsgpack writes the fields of a put or those of a delete. A put always has
// its value, an empty one too: the state service may refuse it otherwise, or store
// nothing that could be read.
func (o Op) EncodeMsgpack(enc *msgpack.Encoder) error {
	if o.Put == "" {
		return enc.Encode(map[string]string{"drop": o.Delete})
	}
	if err := enc.EncodeMapLen(2); err != nil {
		return err
	}
	if err := enc.EncodeMulti("put", o.Put, "data"); err != nil {
		return err
	}
	return enc.Encode(o.Value)
}

// IsAbsent tells whether a stored value is not there: earlier versions put empty maps
// without one.
func IsAbsent(value msgpack.RawMessage) bool {
	return len(value) == 0 || (len(value) == 1 && value[0] == msgpcode.Nil)
}

// Txn is an atomic change.
type Txn struct {
	If   []Condition `msgpack:"if"`
	Then []Op        `msgpack:"apply"`
}

// TxnAnswer is the outcome of a transaction.
type TxnAnswer struct {
	Revision uint64   `msgpack:"izmjena"`
	Failed   []string `msgpack:"failed"`
}

// Change is one entry of a watch.
type Change struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"drop"`
	Version uint64             `msgpack:"inacica"`
}

// Changes is the answer of a watch.
type Changes struct {
	Revision uint64   `msgpack:"izmjena"`
	Log      []Change `msgpack:"log"`
}

// JobRecord is the stored form of a job that is not over.
type JobRecord struct {
	Job   `msgpack:",inline"`
	Owner string `msgpack:"owner"`
	// Shard is set when the jobs of its team are parted over controllers.
	Shard string `msgpack:"part,omitempty"`
	// SubmittedAtMs is the time of day of the submission, in milliseconds.
	SubmittedAtMs int64 `msgpack:"at_ms"`
	// Unknown are fields of a newer version.
	Unknown Fields `msgpack:"-"`
}

// EndRecord is the stored form of a job that is over.
type EndRecord struct {
	// Form is absent in what earlier versions store.
	Form  int    `msgpack:"f,omitempty"`
	State string `msgpack:"stanje"`
	Tasks int    `msgpack:"komadi"`
	Done  int    `msgpack:"done"`
}

// LeaseRecord is the one value that holds leadership and all block leases.
type LeaseRecord struct {
	Term        uint64            `msgpack:"term"`
	Leader      string            `msgpack:"leader"`
	Incarnation uint64            `msgpack:"inc"`
	LastGrant   uint64            `msgpack:"grants"`
	Sequence    uint64            `msgpack:"beat"`
	Blocks      map[string]Block  `msgpack:"blocks"`
	Partitions  map[string]string `msgpack:"homes"`
	// Waiting is the sum of waiting tasks per machine kind.
	Waiting map[string]int `msgpack:"waiting"`
	// Form and Shares are stored by package leasevalue only: they are unknown
	// to form 1, the only one of earlier versions.
	Form   int               `msgpack:"-"`
	Shares map[string]Shares `msgpack:"-"`
	// Level and Confirmed are the levels of package feature, and Generation counts
	// how often the state has been built anew. Form 3 has them.
	Level, Confirmed uint32 `msgpack:"-"`
	Generation       uint64 `msgpack:"-"`
	// Unknown are fields of a newer version.
	Unknown Fields `msgpack:"-"`
}

// EndForm is the newest form of the records of jobs that are over.
const EndForm = 1

// ControllerRecord is what a controller's process stores of itself, for the
// leader and for whoever operates the cluster.
type ControllerRecord struct {
	Form        int    `msgpack:"f"`
	Incarnation uint64 `msgpack:"inc"`
	Version     string `msgpack:"version"`
	OldestLevel uint32 `msgpack:"oldest"` // levels it can work under
	NewestLevel uint32 `msgpack:"newest"`
	SeenLevel   uint32 `msgpack:"seen"`  // level it has read
	Ready       bool   `msgpack:"ready"` // serves users
	// UnreconciledMachines is how many machines of its block may run tasks that it does not
	// know of.
	UnreconciledMachines int `msgpack:"unheard"`
	// OutdatedRecords is how many records of its homes are still in an earlier form.
	OutdatedRecords int `msgpack:"left"`
	// LevelBlockers is what keeps the level from being raised, told by who leads.
	LevelBlockers []string `msgpack:"waits,omitempty"`
	UpdatedAtMs   int64    `msgpack:"at_ms"`
}

// ControllerForm is the newest form of controllers' records and of the
// operator's word.
const ControllerForm = 1

// OperatorRequest is what the operator has asked for.
type OperatorRequest struct {
	Form        int    `msgpack:"f"`
	TargetLevel uint32 `msgpack:"level"` // to be raised to; 0: none
	HoldLevel   bool   `msgpack:"hold"`  // no raise without a word
	UpdatedAtMs int64  `msgpack:"at_ms"`
}

// Clone returns a copy whose blocks, homes and shares can be changed; the sets
// of machines in the blocks are shared and must be replaced.
func (r *LeaseRecord) Clone() LeaseRecord {
	out := *r
	out.Blocks = maps.Clone(r.Blocks)
	if out.Blocks == nil {
		out.Blocks = map[string]Block{}
	}
	out.Partitions = maps.Clone(r.Partitions)
	if out.Partitions == nil {
		out.Partitions = map[string]string{}
	}
	if r.Shares != nil {
		out.Shares = make(map[string]Shares, len(r.Shares))
		for team, s := range r.Shares {
			out.Shares[team] = maps.Clone(s)
		}
	}
	return out
}

// partMark parts a team's name from the number of a part.
const partMark = " #"

// ShardName names part k of a team's jobs.
func ShardName(team string, k int) string { return team + partMark + strconv.Itoa(k) }

// SplitShard takes the name of a home apart: the team, and the part of its jobs if
// it is one.
func SplitShard(home string) (team, part string, isPart bool) { return strings.Cut(home, partMark) }

// IsPartitionOf tells whether a home is that of the team's jobs, or of a part of them.
func IsPartitionOf(home, team string) bool { return home == team || IsShardOf(home, team) }

// IsShardOf tells whether a home is that of a part of the team's jobs.
func IsShardOf(home, team string) bool { return strings.HasPrefix(home, team+partMark) }

// Shares are the parts of a team's limit by controller.
type Shares map[string]Share

// Share is what the tasks of a team may use on one controller's machines, in
// whole processors and cards.
type Share struct {
	CPUs int `msgpack:"CPUs"`
	GPUs int `msgpack:"Cards"`
}

// Block is what one controller holds. Old machines came to it from a holder
// that ended without giving them up, so they may run tasks it knows nothing of.
type Block struct {
	Grant        uint64  `msgpack:"grant"`
	Incarnation  uint64  `msgpack:"inc"`
	Renewal      uint64  `msgpack:"renewal"`
	Machines     NameSet `msgpack:"machines"`
	Unreconciled NameSet `msgpack:"old"`
	// Draining names machines the leader wants back once they are empty.
	Draining NameSet `msgpack:"recall,omitempty"`
}
