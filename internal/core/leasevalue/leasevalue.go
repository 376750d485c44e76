// Package leasevalue is the stored form of the lease record: the one value by whose
// version every write of leases is compared, and pages of machine names beside it.
//
// A small record is stored as it is (form 1, the only one that the earliest versions
// know). In form 2 the value holds terms, grants, partitions, quota shares and, for each
// set of machines, either the names themselves or the pages that hold them. A page is
// written in the same transaction as the value that names it, with the value's sequence as
// its edition; it counts only for a value that names this very edition. So the value alone
// still decides, and a takeover of thousands of machines rewrites no page: the value says
// whose they are.
//
// Versions that read form 1 only cannot read form 2, and are granted nothing by it. Form 3
// adds the feature level of the cluster and the generation of the state; fields of it that
// this version does not know are kept when it is written again.
//
// The package owns the pages as far as they are known. It sends nothing: what it returns
// is stored by its caller, which reports back by Commit.
package leasevalue

import (
	"errors"

	"fawncove/internal/wire"
)

const (
	// Key is the key of the lease value.
	Key = "fc/lease"
	// PagePrefix is the prefix of the keys of pages; a number follows.
	PagePrefix = "fc/m/"
	// Form is the newest form that this version reads and writes.
	Form = 3
	// FormPages is the first form with pages, and the newest that versions from before
	// feature levels read.
	FormPages = 2
	// pageForm is the newest form of pages.
	pageForm = 1
)

const (
	// maxPagePart is the part of a value's size limit that a page may take. Small pages
	// cost more references in the value, large ones more bytes for each change.
	maxPagePart = 0.3
	// maxInlinePart is the part of its size limit up to which the value may grow before
	// its largest sets are moved to pages.
	maxInlinePart = 0.5
	// MaxFill is the part of its size limit that the value may take at most.
	MaxFill = 0.9
	// bytesPerName is about how many bytes of text a name takes, where names follow each
	// other with gaps of up to a hundred.
	bytesPerName = 1.5
	// reservedOps is how many changes of a transaction are kept for sets that outgrow the
	// value and for pages that are merged.
	reservedOps = 3
	// MinTxnOpsForPages is how many changes a transaction has to take for pages to be
	// used.
	MinTxnOpsForPages = reservedOps + 4
)

// Worst-case sizes in the value, in bytes, from which Capacity follows.
const (
	bytesPerController = 300 // a block without its sets of names
	bytesPerReference  = 14  // a page's number and edition
	bytesPerShare      = 11  // a quota share and a shard
	maxBytesPerName    = 3   // a name far from the one before it
)

// Errors of reading and writing.
var (
	// ErrPageMissing reports that a page which the value names is not known here, or not
	// in that edition: the pages have to be read.
	ErrPageMissing = errors.New("lease value: a page is missing")
	// ErrTooLarge reports that the record does not fit within the limits.
	ErrTooLarge = errors.New("lease value: full")
)

// Limits are those of the state service, as the settings give them.
type Limits struct {
	ValueBytes int // of one value
	TxnOps     int // changes of one transaction
}

// maxPageBytes returns the size up to which a page is filled.
func (l Limits) maxPageBytes() int { return int(maxPagePart * float64(l.ValueBytes)) }

// Capacity returns about how many machines a value and its pages can name in the worst
// case: pages half full, names three bytes apart, the most machines draining, and quota
// shares for all teams on all controllers. Where a transaction takes too few changes for
// pages the names are in the value itself.
func Capacity(limits Limits, controllers, teams int) int {
	free := MaxFill*float64(limits.ValueBytes) - bytesPerController*float64(controllers)
	if limits.TxnOps < MinTxnOpsForPages {
		return max(0, int(free/maxBytesPerName))
	}
	free -= float64(teams*controllers*bytesPerShare) + maxBytesPerName*float64(MaxDraining(limits))
	const halfFullName = 2 * maxBytesPerName
	return max(0, int(free/bytesPerReference*maxPagePart*float64(limits.ValueBytes)/halfFullName))
}

// MaxDraining returns how many machines may be draining at a time: unlike all others,
// their names are in the value itself, at up to three bytes each.
func MaxDraining(limits Limits) int { return limits.ValueBytes / 20 }

// header is the value in forms 2 and 3. Its sets are maps, which form 1 does not allow.
type header struct {
	Form        int                    `msgpack:"form"`
	Level       uint32                 `msgpack:"level,omitempty"`
	Confirmed   uint32                 `msgpack:"confirmed,omitempty"`
	Generation  uint64                 `msgpack:"gen,omitempty"`
	Term        wire.Term              `msgpack:"term"`
	Leader      string                 `msgpack:"leader"`
	Incarnation wire.Incarnation       `msgpack:"inc"`
	LastGrant   wire.Grant             `msgpack:"grants"`
	Sequence    uint64                 `msgpack:"beat"`
	Blocks      map[string]headerBlock `msgpack:"blocks"`
	Partitions  map[string]string      `msgpack:"homes"`
	Waiting     map[string]int         `msgpack:"waiting"`
	// Shards are the owners of a team's shards 1, 2, ... as indexes into the sorted names
	// of the blocks.
	Shards map[string][]int `msgpack:"parts,omitempty"`
	// CPUs and GPUs are each team's quota shares, in the order of the sorted names of the
	// blocks.
	CPUs map[string][]int `msgpack:"cpus,omitempty"`
	GPUs map[string][]int `msgpack:"cards,omitempty"`
}

// headerBlock is one controller's block in a header.
type headerBlock struct {
	Grant        wire.Grant       `msgpack:"grant"`
	Incarnation  wire.Incarnation `msgpack:"inc"`
	Renewal      uint64           `msgpack:"renewal"`
	Machines     storedSet        `msgpack:"machines"`
	Unreconciled storedSet        `msgpack:"old"`
	Draining     storedSet        `msgpack:"recall"`
}

// sets returns the block's sets by kind, in the order of blockSets.
func (b *headerBlock) sets() []*storedSet {
	return []*storedSet{&b.Machines, &b.Unreconciled, &b.Draining}
}

// storedSet is a set of machines: names, and pages as pairs of number and edition.
type storedSet struct {
	Names wire.NameSet `msgpack:"in,omitempty"`
	Pages []uint64     `msgpack:"p,omitempty"`
}

// storedPage is a page as it is stored.
type storedPage struct {
	Form    int          `msgpack:"f,omitempty"` // absent in what versions before levels store
	Edition uint64       `msgpack:"e"`
	Names   wire.NameSet `msgpack:"n"`
}

// drainingSet is the kind of the set of draining machines.
const drainingSet = 2

// blockSets returns the sets of a block by kind.
func blockSets(b *wire.Block) []*wire.NameSet {
	return []*wire.NameSet{&b.Machines, &b.Unreconciled, &b.Draining}
}
