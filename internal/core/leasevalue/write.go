package leasevalue

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"fawncove/internal/wire"
)

// PendingWrite is a record that is ready to be stored.
type PendingWrite struct {
	Ops        []wire.Op // the value and the pages that change
	Bytes      int       // of the value, about, as its size is counted
	table      *PageTable
	pages      map[int]page // that change
	referenced []int        // that the value names
}

// Commit records that the transaction with these changes was executed.
func (w *PendingWrite) Commit() {
	for n, p := range w.pages {
		w.table.setPage(n, p)
	}
	w.table.recordReferenced(w.referenced)
}

// setGroup is a set of machines on its way into the value.
type setGroup struct {
	node    string
	kind    int // index into blockSets
	names   []string
	pages   map[int][]string
	unpaged []string // on no page yet
}

// writer makes a record ready to be stored.
type writer struct {
	*PendingWrite
	limits Limits
	record *wire.LeaseRecord
	header header
	groups []*setGroup
	taken  map[int]bool // page numbers in use
	next   int          // page numbers below are in use
}

// Write makes a record ready to be stored in its form, 2 or 3, with as few changes as
// possible. It returns ErrTooLarge when the record does not fit.
func (t *PageTable) Write(rec *wire.LeaseRecord, limits Limits) (*PendingWrite, error) {
	w := &writer{PendingWrite: &PendingWrite{table: t, pages: map[int]page{}}, limits: limits, record: rec,
		groups: t.groupNames(rec), taken: map[int]bool{}}
	w.assignPages()
	w.header = header{Form: rec.Form, Level: rec.Level, Confirmed: rec.Confirmed, Generation: rec.Generation,
		Term: rec.Term, Leader: rec.Leader, Incarnation: rec.Incarnation, LastGrant: rec.LastGrant, Sequence: rec.Sequence,
		Waiting: rec.Waiting}
	putPartitions(rec, &w.header)
	putShares(rec, &w.header)
	inline, err := w.fillPagedSets()
	if err != nil {
		return nil, err
	}
	if err := w.moveLargestToPages(inline); err != nil {
		return nil, err
	}
	if w.Bytes > int(MaxFill*float64(limits.ValueBytes)) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, w.Bytes)
	}
	for _, g := range w.groups {
		w.referenced = append(w.referenced, slices.Collect(maps.Keys(g.pages))...)
	}
	if err := w.makeOps(); err != nil {
		return nil, err
	}
	return w.PendingWrite, nil
}

// groupNames returns all sets of a record, with the names of each by the page that they
// are on.
func (t *PageTable) groupNames(rec *wire.LeaseRecord) []*setGroup {
	var out []*setGroup
	for _, node := range slices.Sorted(maps.Keys(rec.Blocks)) {
		block := rec.Blocks[node]
		for kind, names := range blockSets(&block) {
			g := &setGroup{node: node, kind: kind, names: *names, pages: map[int][]string{}}
			out = append(out, g)
			if kind == drainingSet {
				// A draining machine is in another set as well, whose page it is on.
				// These sets are kept small and stay in the value.
				g.unpaged = g.names
				continue
			}
			for _, name := range *names {
				if n, ok := t.pageOf[name]; ok {
					g.pages[n] = append(g.pages[n], name)
				} else {
					g.unpaged = append(g.unpaged, name)
				}
			}
		}
	}
	return out
}

// assignPages gives each page to one set. Where its names are now in several, the set with
// most of them keeps the page and the others take theirs along as names without a page.
func (w *writer) assignPages() {
	keeper := map[int]*setGroup{}
	for _, g := range w.groups {
		for n, names := range g.pages {
			if o := keeper[n]; o == nil || len(names) > len(o.pages[n]) {
				keeper[n] = g
			}
		}
	}
	for _, g := range w.groups {
		for _, n := range slices.Sorted(maps.Keys(g.pages)) {
			if keeper[n] != g {
				g.unpaged = append(g.unpaged, g.pages[n]...)
				delete(g.pages, n)
			}
		}
	}
	for n := range keeper {
		w.taken[n] = true
	}
}

// newPage returns the lowest page number that is not in use.
func (w *writer) newPage() int {
	for w.taken[w.next] {
		w.next++
	}
	w.taken[w.next] = true
	return w.next
}

// fillPagedSets puts the names without a page of sets that have pages onto these. It
// returns the sets without pages, which stay in the value as long as it is small.
func (w *writer) fillPagedSets() (inline []*setGroup, err error) {
	for _, g := range w.groups {
		if g.kind == drainingSet {
			continue
		}
		if len(g.pages) == 0 {
			inline = append(inline, g)
			continue
		}
		if err := w.fillPages(g); err != nil {
			return nil, err
		}
	}
	return inline, nil
}

// moveLargestToPages moves the sets in the value to pages, the largest first, until the
// value is small enough.
func (w *writer) moveLargestToPages(inline []*setGroup) error {
	slices.SortStableFunc(inline, func(a, b *setGroup) int { return cmp.Compare(len(b.names), len(a.names)) })
	for {
		size, err := w.layOut()
		if err != nil {
			return err
		}
		w.Bytes = size
		smallEnough := size <= int(maxInlinePart*float64(w.limits.ValueBytes))
		noneLeft := len(inline) == 0 || len(inline[0].names) == 0
		if smallEnough || noneLeft || len(w.pages) >= w.limits.TxnOps-reservedOps {
			return nil
		}
		if err := w.fillPages(inline[0]); err != nil {
			return err
		}
		inline = inline[1:]
	}
}

// fillPages puts a set's names without a page onto its page with the most free space, and
// onto new ones when that is full, and merges two small pages.
func (w *writer) fillPages(g *setGroup) error {
	maxBytes := w.limits.maxPageBytes()
	open := g.openPage(maxBytes)
	slices.Sort(g.unpaged)
	for len(g.unpaged) > 0 {
		if open < 0 {
			open = w.newPage()
		}
		names, added := fitNames(g.pages[open], g.unpaged, maxBytes)
		if added == 0 && len(names) == 0 {
			return fmt.Errorf("%w: a name does not fit on a page", ErrTooLarge)
		}
		g.pages[open] = names
		g.unpaged = g.unpaged[added:]
		open = -1 // full, as far as the next names go
	}
	for _, n := range slices.Sorted(maps.Keys(g.pages)) {
		if err := w.writePage(n, g.pages[n]); err != nil {
			return err
		}
	}
	return nil
}

// openPage returns the set's page with the most free space, -1 if it has none. If names
// are to be added and two pages are small, it merges these into one, which is written
// anyway then.
func (g *setGroup) openPage(maxBytes int) int {
	open, mostFree := -1, 0
	var small []int
	for _, n := range slices.Sorted(maps.Keys(g.pages)) {
		// Packing would tell the size exactly; pages that did not change need not be
		// packed again just for that.
		size := int(bytesPerName * float64(len(g.pages[n])))
		if free := maxBytes - size; open < 0 || free > mostFree {
			open, mostFree = n, free
		}
		if size < maxBytes/4 {
			small = append(small, n)
		}
	}
	if len(small) < 2 || len(g.unpaged) == 0 {
		return open
	}
	into, from := small[0], small[1]
	if into != open && from != open {
		into = open
	}
	g.pages[into] = append(slices.Clone(g.pages[into]), g.pages[from]...)
	delete(g.pages, from)
	return into
}

// fitNames adds as many of more as fit on a page to its names. It returns the names, sorted
// if any were added, and how many were.
func fitNames(names, more []string, maxBytes int) (all []string, added int) {
	// Gaps between names differ, so the number is halved until they fit.
	n := min(len(more), int(math.Ceil(float64(max(0, maxBytes))/bytesPerName)))
	for ; n > 0; n /= 2 {
		all = append(slices.Clone(names), more[:n]...)
		slices.Sort(all)
		if len(wire.PackNames(all)) <= maxBytes {
			return all, n
		}
	}
	return slices.Clone(names), 0
}

// writePage makes a page part of the write if it changes.
func (w *writer) writePage(n int, names []string) error {
	slices.Sort(names)
	if _, ok := w.table.referenced[n]; ok && slices.Equal(w.table.pages[n].names, names) {
		return nil
	}
	w.pages[n] = page{w.record.Sequence, names}
	if len(w.pages) > w.limits.TxnOps-1 {
		return fmt.Errorf("%w: more than %d changes", ErrTooLarge, w.limits.TxnOps)
	}
	return nil
}

// layOut puts the sets into the value as they are now and returns about its size.
func (w *writer) layOut() (bytes int, err error) {
	w.header.Blocks = make(map[string]headerBlock, len(w.record.Blocks))
	for _, g := range w.groups {
		block := w.record.Blocks[g.node]
		stored, ok := w.header.Blocks[g.node]
		if !ok {
			stored = headerBlock{Grant: block.Grant, Incarnation: block.Incarnation, Renewal: block.Renewal}
		}
		set := stored.sets()[g.kind]
		if len(g.pages) == 0 {
			set.Names = wire.NameSet(g.names)
		}
		for _, n := range slices.Sorted(maps.Keys(g.pages)) {
			edition := w.table.pages[n].edition
			if changed, ok := w.pages[n]; ok {
				edition = changed.edition
			}
			set.Pages = append(set.Pages, uint64(n), edition)
		}
		w.header.Blocks[g.node] = stored
	}
	value, err := w.value()
	if err != nil {
		return 0, err
	}
	encoded, err := wire.Encode(value)
	if err != nil {
		return 0, fmt.Errorf("lease value: %w", err)
	}
	return wire.JSONBytes(encoded), nil
}

// value returns the value with the fields that this version does not know.
func (w *writer) value() (any, error) {
	value, err := wire.WithFields(w.header, w.record.Unknown)
	if err != nil {
		return nil, fmt.Errorf("lease value: %w", err)
	}
	return value, nil
}

// makeOps makes the changes of the transaction: the value, then the pages.
func (w *writer) makeOps() error {
	value, err := w.value()
	if err != nil {
		return err
	}
	w.Ops = append(w.Ops, wire.Op{Put: Key, Value: value})
	form := 0
	if w.record.Form >= Form {
		form = pageForm
	}
	for _, n := range slices.Sorted(maps.Keys(w.pages)) {
		w.Ops = append(w.Ops, wire.Op{Put: PagePrefix + strconv.Itoa(n), Value: storedPage{form, w.pages[n].edition, w.pages[n].names}})
	}
	return nil
}

// putPartitions puts the owners of partitions into the value, those of a team's shards as
// numbers: there may be dozens of them.
func putPartitions(rec *wire.LeaseRecord, h *header) {
	nodes := slices.Sorted(maps.Keys(rec.Blocks))
	h.Partitions = maps.Clone(rec.Partitions)
	for _, team := range slices.Sorted(maps.Keys(rec.Partitions)) {
		for k := 1; ; k++ {
			shard := wire.ShardName(team, k)
			owner, ok := slices.BinarySearch(nodes, rec.Partitions[shard])
			if !ok {
				break
			}
			if h.Shards == nil {
				h.Shards = map[string][]int{}
			}
			h.Shards[team] = append(h.Shards[team], owner)
			delete(h.Partitions, shard)
		}
	}
}

// putShares puts the teams' quota shares into the value.
func putShares(rec *wire.LeaseRecord, h *header) {
	nodes := slices.Sorted(maps.Keys(rec.Blocks))
	for _, team := range slices.Sorted(maps.Keys(rec.Shares)) {
		cpus, gpus := make([]int, len(nodes)), make([]int, len(nodes))
		hasGPUs := false
		for i, node := range nodes {
			share := rec.Shares[team][node]
			cpus[i], gpus[i] = share.CPUs, share.GPUs
			hasGPUs = hasGPUs || share.GPUs > 0
		}
		if h.CPUs == nil {
			h.CPUs = map[string][]int{}
		}
		h.CPUs[team] = cpus
		if hasGPUs {
			if h.GPUs == nil {
				h.GPUs = map[string][]int{}
			}
			h.GPUs[team] = gpus
		}
	}
}
