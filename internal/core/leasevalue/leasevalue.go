// Package leasevalue is the stored form of the lease record: the one value by
// whose version every write of leases is compared, and pages of machine names
// beside it.
//
// A small record is stored as it is (form 1, the only one that earlier
// versions know). In form 2 the value holds terms, grants, homes, shares and,
// for each set of machines, either the names themselves or the pages that hold
// them. A page is written in the same transaction as the value that names it,
// with the value's beat as its edition; it counts only for a value that names
// this very edition. So the value alone still decides, and a takeover of
// thousands of machines rewrites no page: the value says whose they are.
//
// Earlier versions cannot read form 2 and are granted nothing by it. Form 3 adds
// the level of the cluster (package feature) and the generation of the state; what
// it holds that this version does not know is kept by who writes it again.
package leasevalue

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"fawncove/internal/wire"
)

const (
	// Key is where the value is stored.
	Key = "fc/lease"
	// Form is the newest form that this version reads, and FormPages the
	// newest that versions from before levels read.
	Form      = 3
	FormPages = 2
	// MinTxnOpsForPages is how many changes a transaction has to take for pages.
	MinTxnOpsForPages = reserve + 4
	// PagePrefix is the prefix of the pages' keys; a number follows.
	PagePrefix = "fc/m/"
)

// Limits are those of the state service, as the settings give them.
type Limits struct {
	ValueBytes int // of one value
	TxnOps     int // changes of one transaction
}

const (
	// pagePart is the part of a value's size that a page may take. Small pages
	// cost more places in the value, large ones more bytes for each change.
	pagePart = 0.3
	// inlinePart is from which part of the value's size on the largest sets
	// are moved to pages, and FullPart what a value may take at most.
	inlinePart = 0.5
	MaxFill    = 0.9
	// perName is about how many bytes of text a name takes, where names follow
	// each other with gaps of up to a hundred.
	perName = 1.5
	// reserve is how many changes of a transaction are kept for sets that
	// outgrow the value and for pages that are merged.
	reserve = 3
)

// Capacity is about how many machines a value and its pages can name in the worst
// case: pages half full, names three bytes apart, recalls and shares for all
// teams on all controllers. Where a transaction takes too few changes for pages
// the names stand in the value.
func Capacity(lim Limits, controllers, teams int) int {
	free := MaxFill*float64(lim.ValueBytes) - 300*float64(controllers)
	if lim.TxnOps < MinTxnOpsForPages {
		return max(0, int(free/3))
	}
	const reference, share = 14, 11 // bytes of a page's place, of a share and its part
	free -= float64(teams*controllers*share) + 3*float64(MaxDraining(lim))
	return max(0, int(free/reference*pagePart*float64(lim.ValueBytes)/6))
}

// MaxDraining is how many machines may be recalled at a time: unlike all
// others, their names stand in the value itself, at up to three bytes each.
func MaxDraining(lim Limits) int { return lim.ValueBytes / 20 }

// Errors of reading and writing.
var (
	// ErrPageMissing says that a page the value names is not known here, or not
	// in that edition: the pages have to be read.
	ErrPageMissing = errors.New("lease value: a page is missing")
	// ErrTooLarge says that the record does not fit within the limits.
	ErrTooLarge = errors.New("lease value: full")
)

// head is the value in forms 2 and 3. Its sets are maps, which form 1 does not
// allow.
type head struct {
	Form        int                  `msgpack:"form"`
	Level       uint32               `msgpack:"level,omitempty"`
	Confirmed   uint32               `msgpack:"confirmed,omitempty"`
	Generation  uint64               `msgpack:"gen,omitempty"`
	Term        uint64               `msgpack:"term"`
	Leader      string               `msgpack:"leader"`
	Incarnation uint64               `msgpack:"inc"`
	Grants      uint64               `msgpack:"grants"`
	Beat        uint64               `msgpack:"beat"`
	Blocks      map[string]headBlock `msgpack:"blocks"`
	Homes       map[string]string    `msgpack:"homes"`
	Waiting     map[string]int       `msgpack:"waiting"`
	// Parts are the homes of a team's parts 1, 2, ... as places in the order
	// of the blocks' names.
	Parts map[string][]int `msgpack:"parts,omitempty"`
	// CPUs and Cards of each team by controller, in the order of the blocks'
	// names.
	CPUs  map[string][]int `msgpack:"cpus,omitempty"`
	Cards map[string][]int `msgpack:"cards,omitempty"`
}

type headBlock struct {
	Grant       uint64 `msgpack:"grant"`
	Incarnation uint64 `msgpack:"inc"`
	Renewal     uint64 `msgpack:"renewal"`
	Machines    set    `msgpack:"machines"`
	Old         set    `msgpack:"old"`
	Recall      set    `msgpack:"recall"`
}

// set is a set of machines: the names, and pages by number and edition.
type set struct {
	Names wire.NameSet `msgpack:"in,omitempty"`
	Pages []uint64     `msgpack:"p,omitempty"`
}

// stored is a page as it is stored.
type stored struct {
	Form    int          `msgpack:"f,omitempty"` // absent in what earlier versions store
	Edition uint64       `msgpack:"e"`
	Names   wire.NameSet `msgpack:"n"`
}

// pageForm is the newest form of pages.
const pageForm = 1

type page struct {
	edition uint64
	names   []string
}

// PageTable keeps the pages as far as they are known, and which of them the last
// value named. The zero value is empty.
type PageTable struct {
	// PreLevels reads forms from before levels only, as earlier versions do.
	PreLevels bool

	pages  map[int]page
	used   map[int]uint64 // by the last value, in that edition
	pageOf map[string]int // machine -> page, by the last value
	merged map[setKey]merged
}

// setKey names a set of the value.
type setKey struct {
	node string
	kind int
}

// merged are the names of a set whose pages have been put together: most sets
// do not change from one value to the next.
type merged struct {
	from  set
	names []string
}

// form tells in which form a value is.
type form struct {
	Form int `msgpack:"form"`
}

// Read reads a value. It returns ErrMissing when pages have to be read first;
// any other error means that the value cannot be read and grants nothing.
func (b *PageTable) Read(value []byte) (wire.LeaseRecord, error) {
	var rec wire.LeaseRecord
	var f form
	if err := wire.Decode(value, &f); err != nil {
		return rec, fmt.Errorf("lease value: %w", err)
	}
	switch f.Form {
	case 0, 1:
		if err := wire.Decode(value, &rec); err != nil {
			return rec, fmt.Errorf("lease value: %w", err)
		}
		b.note(nil)
		return rec, nil
	case 2:
	default:
		if f.Form != Form || b.PreLevels {
			return rec, wire.FormError{What: "lease value", Form: f.Form}
		}
	}
	var h head
	if err := wire.Decode(value, &h); err != nil {
		return rec, fmt.Errorf("lease value: %w", err)
	}
	rec = wire.LeaseRecord{Form: h.Form, Level: h.Level, Confirmed: h.Confirmed, Generation: h.Generation, Term: h.Term, Leader: h.Leader, Incarnation: h.Incarnation, LastGrant: h.Grants,
		Sequence: h.Beat, Blocks: make(map[string]wire.Block, len(h.Blocks)), Partitions: h.Homes, Waiting: h.Waiting}
	if h.Form >= 3 {
		var err error
		if rec.Unknown, err = wire.UnknownFields(value, h); err != nil {
			return rec, fmt.Errorf("lease value: %w", err)
		}
	}
	var used []int
	for node, hb := range h.Blocks {
		blk := wire.Block{Grant: hb.Grant, Incarnation: hb.Incarnation, Renewal: hb.Renewal}
		into := sets(&blk)
		for kind, from := range []*set{&hb.Machines, &hb.Old, &hb.Recall} {
			pages, err := b.take(setKey{node, kind}, from, into[kind])
			if err != nil {
				return rec, err
			}
			used = append(used, pages...)
		}
		rec.Blocks[node] = blk
	}
	nodes := slices.Sorted(maps.Keys(h.Blocks))
	for team, list := range h.Parts {
		for i, at := range list {
			if at < 0 || at >= len(nodes) {
				return rec, fmt.Errorf("lease value: part %d of %q has no home", i+1, team)
			}
			if rec.Partitions == nil {
				rec.Partitions = map[string]string{}
			}
			rec.Partitions[wire.ShardName(team, i+1)] = nodes[at]
		}
	}
	for team, list := range h.CPUs {
		cards := h.Cards[team]
		if len(list) != len(nodes) || (len(cards) != 0 && len(cards) != len(nodes)) {
			return rec, fmt.Errorf("lease value: %d shares of %q for %d controllers", len(list), team, len(nodes))
		}
		if rec.Shares == nil {
			rec.Shares = map[string]wire.Shares{}
		}
		rec.Shares[team] = wire.Shares{}
		for i, node := range nodes {
			s := wire.Share{CPUs: list[i]}
			if len(cards) > 0 {
				s.GPUs = cards[i]
			}
			rec.Shares[team][node] = s
		}
	}
	b.note(used)
	return rec, nil
}

// take collects a set's names from the value and its pages.
func (b *PageTable) take(key setKey, s *set, to *wire.NameSet) (used []int, err error) {
	if len(s.Pages)%2 != 0 {
		return nil, errors.New("lease value: half a page reference")
	}
	for i := 0; i < len(s.Pages); i += 2 {
		n := int(s.Pages[i])
		if p, ok := b.pages[n]; !ok || p.edition != s.Pages[i+1] {
			return nil, fmt.Errorf("%w: %d in edition %d", ErrPageMissing, n, s.Pages[i+1])
		}
		used = append(used, n)
	}
	if len(used) == 0 {
		*to = s.Names
		return nil, nil
	}
	if m, ok := b.merged[key]; ok && slices.Equal(m.from.Pages, s.Pages) && slices.Equal(m.from.Names, s.Names) {
		*to = m.names
		return used, nil
	}
	names := slices.Clone(s.Names)
	for _, n := range used {
		names = append(names, b.pages[n].names...)
	}
	slices.Sort(names)
	if b.merged == nil {
		b.merged = map[setKey]merged{}
	}
	b.merged[key] = merged{*s, names}
	*to = names
	return used, nil
}

// note remembers which pages the last value names.
func (b *PageTable) note(used []int) {
	now := make(map[int]uint64, len(used))
	for _, n := range used {
		now[n] = b.pages[n].edition
	}
	if b.pageOf == nil {
		b.pageOf = map[string]int{}
	}
	// Forgotten first, so that a name that moved keeps its new page.
	for n := range b.used {
		if _, ok := now[n]; ok {
			continue
		}
		for _, name := range b.pages[n].names {
			if b.pageOf[name] == n {
				delete(b.pageOf, name)
			}
		}
	}
	for n, edition := range now {
		if e, ok := b.used[n]; ok && e == edition {
			continue
		}
		for _, name := range b.pages[n].names {
			b.pageOf[name] = n
		}
	}
	b.used = now
}

// ReadPage takes a page that was read or seen to change. It reports whether
// the key is a page's.
func (b *PageTable) ReadPage(key string, value []byte) (bool, error) {
	num, ok := strings.CutPrefix(key, PagePrefix)
	if !ok {
		return false, nil
	}
	n, err := strconv.Atoi(num)
	if err != nil || n < 0 {
		return true, fmt.Errorf("lease page %q: no number", key)
	}
	var s stored
	if err := wire.Decode(value, &s); err != nil {
		return true, fmt.Errorf("lease page %d: %w", n, err)
	}
	if s.Form > pageForm {
		return true, wire.FormError{What: "lease page " + num, Form: s.Form}
	}
	if p, ok := b.pages[n]; ok && p.edition >= s.Edition {
		return true, nil // as new here
	}
	b.put(n, page{s.Edition, s.Names})
	return true, nil
}

func (b *PageTable) put(n int, p page) {
	if b.pages == nil {
		b.pages = map[int]page{}
	}
	// Names that left the page are known by it no longer.
	for _, name := range b.pages[n].names {
		if b.pageOf[name] == n {
			delete(b.pageOf, name)
		}
	}
	b.pages[n] = p
}

// PageOf tells which page names a machine; ok is false when none does.
func (b *PageTable) PageOf(name string) (n int, ok bool) {
	n, ok = b.pageOf[name]
	return n, ok
}
