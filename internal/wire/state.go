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
	Version Revision           `msgpack:"inacica"`
}

// Page is the answer of a range read, and of a read that found nothing.
type Page struct {
	Pairs    List[Pair] `msgpack:"pairs"`
	More     bool       `msgpack:"more"`
	Revision Revision   `msgpack:"izmjena"`
}

// Condition demands a version of a key; 0 demands its absence.
type Condition struct {
	Key     string   `msgpack:"path"`
	Version Revision `msgpack:"inacica"`
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

// IsAbsent reports whether a stored value is not there: earlier versions put empty maps
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
	Revision Revision `msgpack:"izmjena"`
	Failed   []string `msgpack:"failed"`
}

// Change is one entry of a watch.
type Change struct {
	Put     string             `msgpack:"put"`
	Value   msgpack.RawMessage `msgpack:"data"`
	Delete  string             `msgpack:"drop"`
	Version Revision           `msgpack:"inacica"`
}

// Changes is the answer of a watch.
type Changes struct {
	Revision Revision     `msgpack:"izmjena"`
	Log      List[Change] `msgpack:"log"`
}

// JobRecord is the stored form of a job that has not ended.
type JobRecord struct {
	Job   `msgpack:",inline"`
	Owner string `msgpack:"owner"`
	// Shard is the shard of its team that the job is in; empty: the team is not sharded.
	Shard string `msgpack:"part,omitempty"`
	// SubmittedAtMs is the time of day of the submission, in milliseconds.
	SubmittedAtMs int64 `msgpack:"at_ms"`
	// Unknown are fields of a newer version.
	Unknown Fields `msgpack:"-"`
}

// EndRecord is the stored form of a job that has ended.
type EndRecord struct {
	// Form is absent in what versions before feature levels store.
	Form  int    `msgpack:"f,omitempty"`
	State string `msgpack:"stanje"`
	Tasks int    `msgpack:"komadi"`
	Done  int    `msgpack:"done"`
}

// CancellationRecord is the stored form of a cancelled job whose tasks are not known to be gone yet. It
// is stored together with the end of the job, before any user is told, and removed by the job's owner.
type CancellationRecord struct {
	Form int `msgpack:"f"`
	// CancelledAtMs is the time of day, in milliseconds, before which no user was told.
	CancelledAtMs int64 `msgpack:"at_ms"`
	// Team and Shard name the job's partition.
	Team  string `msgpack:"vlasnik"`
	Shard string `msgpack:"part,omitempty"`
	// Types, Zone and Spot are where the job's tasks may run.
	Types []string `msgpack:"kalupi"`
	Zone  string   `msgpack:"dvoriste"`
	Spot  bool     `msgpack:"posudba"`
	// Machines are the only ones on which tasks of the job may be; empty: that is not known.
	Machines NameSet `msgpack:"machines,omitempty"`
}

// LeaseRecord is the one value that holds leadership, all block leases and partitions.
type LeaseRecord struct {
	Term        Term        `msgpack:"term"`
	Leader      string      `msgpack:"leader"`
	Incarnation Incarnation `msgpack:"inc"` // of the leader's process
	// LastGrant is the highest grant given to a block.
	LastGrant Grant `msgpack:"grants"`
	// Sequence counts the writes of the value.
	Sequence uint64           `msgpack:"beat"`
	Blocks   map[string]Block `msgpack:"blocks"` // by controller
	// Partitions names the controller of each partition.
	Partitions map[string]string `msgpack:"homes"`
	// Waiting is the number of waiting tasks by machine type.
	Waiting map[string]int `msgpack:"waiting"`
	// Form and Shares are stored by package leasevalue only: they are unknown to form 1,
	// the only one of the earliest versions. Shares are the quota shares by team.
	Form   int               `msgpack:"-"`
	Shares map[string]Shares `msgpack:"-"`
	// Level and Confirmed are the feature levels of package feature, and Generation
	// counts how often the state has been recovered. Form 3 has them.
	Level, Confirmed uint32 `msgpack:"-"`
	Generation       uint64 `msgpack:"-"`
	// Unknown are fields of a newer version.
	Unknown Fields `msgpack:"-"`
}

// EndForm is the newest form of the records of jobs that have ended.
const EndForm = 1

// CancellationForm is the newest form of cancellation records.
const CancellationForm = 1

// ControllerForm is the newest form of controllers' records and of the operator's request.
const ControllerForm = 1

// ControllerRecord is what a controller's process stores of itself, for the leader and for
// the operators.
type ControllerRecord struct {
	Form        int         `msgpack:"f"`
	Incarnation Incarnation `msgpack:"inc"`
	Version     string      `msgpack:"version"`
	// OldestLevel and NewestLevel are the feature levels that it can work under, and
	// SeenLevel the one that it has read.
	OldestLevel uint32 `msgpack:"oldest"`
	NewestLevel uint32 `msgpack:"newest"`
	SeenLevel   uint32 `msgpack:"seen"`
	// Ready says that it serves users.
	Ready bool `msgpack:"ready"`
	// UnreconciledMachines is how many machines of its block may run tasks that it does
	// not know.
	UnreconciledMachines int `msgpack:"unheard"`
	// OutdatedRecords is how many records of its partitions are in an earlier form.
	OutdatedRecords int `msgpack:"left"`
	// LevelBlockers is what keeps the level from being raised, as the leader sees it.
	LevelBlockers []string `msgpack:"waits,omitempty"`
	UpdatedAtMs   int64    `msgpack:"at_ms"`
}

// OperatorRequest is what the operator has asked for.
type OperatorRequest struct {
	Form        int    `msgpack:"f"`
	TargetLevel uint32 `msgpack:"level"` // to be raised to; 0: none
	HoldLevel   bool   `msgpack:"hold"`  // no raise without a request
	UpdatedAtMs int64  `msgpack:"at_ms"`
}

// Clone returns a copy whose blocks, partitions and shares can be changed; the sets of
// machines in the blocks are shared and must be replaced, not changed.
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

// shardSeparator separates a team's name from the number of a shard.
const shardSeparator = " #"

// ShardName returns the name of shard k of a team's jobs.
func ShardName(team string, k int) string { return team + shardSeparator + strconv.Itoa(k) }

// SplitShard splits the name of a partition: the team, and the number of the shard of its
// jobs if it is one.
func SplitShard(partition string) (team, shard string, isShard bool) {
	return strings.Cut(partition, shardSeparator)
}

// IsPartitionOf reports whether a partition is that of the team's jobs, or a shard of them.
func IsPartitionOf(partition, team string) bool {
	return partition == team || IsShardOf(partition, team)
}

// IsShardOf reports whether a partition is a shard of the team's jobs.
func IsShardOf(partition, team string) bool {
	return strings.HasPrefix(partition, team+shardSeparator)
}

// Shares are a team's quota shares by controller.
type Shares map[string]Share

// Share is what the tasks of a team may use on one controller's machines, in whole
// processors and GPUs.
type Share struct {
	CPUs int `msgpack:"CPUs"`
	GPUs int `msgpack:"Cards"`
}

// Block is a controller's block lease.
type Block struct {
	Grant       Grant       `msgpack:"grant"`
	Incarnation Incarnation `msgpack:"inc"`
	// Renewal is the newest renewal that the value acknowledges.
	Renewal  uint64  `msgpack:"renewal"`
	Machines NameSet `msgpack:"machines"`
	// Unreconciled machines came from a holder that ended without releasing them, so
	// they may run tasks that this one does not know.
	Unreconciled NameSet `msgpack:"old"`
	// Draining names machines that the leader wants released once they are empty.
	Draining NameSet `msgpack:"recall,omitempty"`
}
