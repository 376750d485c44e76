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

// PendingWrite is a record made ready to be stored.
type PendingWrite struct {
	Ops   []wire.Op // the value and the pages that change
	Bytes int       // of the value, about, as its size is counted
	book  *PageTable
	pages map[int]page
	used  []int
}

// Commit notes that the draft's transaction was carried out.
func (d *PendingWrite) Commit() {
	for n, p := range d.pages {
		d.book.put(n, p)
	}
	d.book.note(d.used)
}

// group is a set on its way into the value.
type group struct {
	node  string
	kind  int // machines, old, recall
	names []string
	pages map[int][]string
	fresh []string // on no page yet
}

// recalls is the kind of the set of recalled machines.
const recalls = 2

// sets are the sets of a block, by kind.
func sets(b *wire.Block) []*wire.NameSet {
	return []*wire.NameSet{&b.Machines, &b.Unreconciled, &b.Draining}
}

// WriteBudget counts the changes that a next draft may still take.
type WriteBudget struct {
	book    *PageTable
	lim     Limits
	left    int
	touched map[int]bool
	fresh   map[string]int // names without a page that join a set
}

// WriteBudget returns the budget of one transaction that also writes the value.
func (b *PageTable) WriteBudget(lim Limits) *WriteBudget {
	return &WriteBudget{book: b, lim: lim, left: max(1, lim.TxnOps-1-reserve), touched: map[int]bool{}, fresh: map[string]int{}}
}

// Exhaust takes what is left: what can wait, waits. A write with nothing but
// takeovers always fits, as sets small enough to stand in the value fit on a few
// pages.
func (g *WriteBudget) Exhaust() { g.left = 0 }

// RemoveMachine takes what it costs that a machine leaves its set, and tells whether
// there was enough.
func (g *WriteBudget) RemoveMachine(name string) bool {
	n, ok := g.book.PageOf(name)
	if !ok || g.touched[n] {
		return true
	}
	if g.left == 0 {
		return false
	}
	g.left--
	g.touched[n] = true
	return true
}

// AddMachine takes what it costs that a machine joins a controller's set, and tells
// whether there was enough.
func (g *WriteBudget) AddMachine(node string) bool {
	per := int(pagePart * float64(g.lim.ValueBytes) / perName / 2)
	if g.fresh[node]%max(1, per) == 0 {
		if g.left == 0 {
			return false
		}
		g.left--
	}
	g.fresh[node]++
	return true
}

// Write makes a record ready to be stored in its form, 2 or 3, with as few changes as
// can be. It returns ErrFull when the record does not fit.
func (b *PageTable) Write(rec *wire.LeaseRecord, lim Limits) (*PendingWrite, error) {
	most := int(pagePart * float64(lim.ValueBytes))
	d := &PendingWrite{book: b, pages: map[int]page{}}
	groups := b.group(rec)
	// A page belongs to one set. Where its names have parted, the set with
	// most of them keeps it and the others take theirs along as fresh ones.
	claims := map[int]*group{}
	for _, g := range groups {
		for n, names := range g.pages {
			if o := claims[n]; o == nil || len(names) > len(o.pages[n]) {
				claims[n] = g
			}
		}
	}
	for _, g := range groups {
		for _, n := range slices.Sorted(maps.Keys(g.pages)) {
			if claims[n] != g {
				g.fresh = append(g.fresh, g.pages[n]...)
				delete(g.pages, n)
			}
		}
	}
	taken := map[int]bool{}
	for n := range claims {
		taken[n] = true
	}
	next := 0
	free := func() int {
		for taken[next] {
			next++
		}
		taken[next] = true
		return next
	}
	h := head{Form: rec.Form, Level: rec.Level, Confirmed: rec.Confirmed, Generation: rec.Generation, Term: rec.Term, Leader: rec.Leader, Incarnation: rec.Incarnation, Grants: rec.LastGrant,
		Beat: rec.Sequence, Waiting: rec.Waiting}
	putHomes(rec, &h)
	putShares(rec, &h)
	write := func(n int, names []string) error {
		slices.Sort(names)
		if _, named := b.used[n]; named && slices.Equal(b.pages[n].names, names) {
			return nil
		}
		d.pages[n] = page{rec.Sequence, names}
		if len(d.pages) > lim.TxnOps-1 {
			return fmt.Errorf("%w: more than %d changes", ErrTooLarge, lim.TxnOps)
		}
		return nil
	}
	// Sets that have pages put fresh names there; the others keep theirs in
	// the value as long as it stays small.
	var inline []*group
	for _, g := range groups {
		if g.kind == recalls {
			continue
		}
		if len(g.pages) == 0 {
			inline = append(inline, g)
			continue
		}
		if err := b.fill(g, most, free, write); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(inline, func(a, b *group) int { return cmp.Compare(len(b.names), len(a.names)) })
	for {
		size, err := b.size(&h, groups, d, rec)
		if err != nil {
			return nil, err
		}
		d.Bytes = size
		if size <= int(inlinePart*float64(lim.ValueBytes)) || len(inline) == 0 || len(inline[0].names) == 0 ||
			len(d.pages) >= lim.TxnOps-reserve {
			break
		}
		if err := b.fill(inline[0], most, free, write); err != nil {
			return nil, err
		}
		inline = inline[1:]
	}
	if d.Bytes > int(MaxFill*float64(lim.ValueBytes)) {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLarge, d.Bytes)
	}
	for _, g := range groups {
		d.used = append(d.used, slices.Collect(maps.Keys(g.pages))...)
	}
	value, err := wire.WithFields(h, rec.Unknown)
	if err != nil {
		return nil, fmt.Errorf("lease value: %w", err)
	}
	d.Ops = append(d.Ops, wire.Op{Put: Key, Value: value})
	form := 0
	if rec.Form >= 3 {
		form = pageForm
	}
	for _, n := range slices.Sorted(maps.Keys(d.pages)) {
		d.Ops = append(d.Ops, wire.Op{Put: PagePrefix + strconv.Itoa(n), Value: stored{form, d.pages[n].edition, d.pages[n].names}})
	}
	return d, nil
}

// group sorts the names of all sets by the page that they are on.
func (b *PageTable) group(rec *wire.LeaseRecord) []*group {
	var out []*group
	for _, node := range slices.Sorted(maps.Keys(rec.Blocks)) {
		blk := rec.Blocks[node]
		for kind, names := range sets(&blk) {
			g := &group{node: node, kind: kind, names: *names, pages: map[int][]string{}}
			if kind == recalls {
				// A recalled machine is in another set as well, whose page
				// it is on: recalls are kept few and stay in the value.
				g.fresh = g.names
				out = append(out, g)
				continue
			}
			for _, name := range *names {
				if n, ok := b.pageOf[name]; ok {
					g.pages[n] = append(g.pages[n], name)
				} else {
					g.fresh = append(g.fresh, name)
				}
			}
			out = append(out, g)
		}
	}
	return out
}

// fill puts a group's fresh names on its page with most room, and on new ones
// when that is full, and makes one of two small pages.
func (b *PageTable) fill(g *group, most int, free func() int, write func(int, []string) error) error {
	room := func(names []string) int { return most - len(wire.PackNames(names)) }
	order := slices.Sorted(maps.Keys(g.pages))
	open, best := -1, 0
	var small []int
	for _, n := range order {
		// Packing tells the size; pages that did not change need not be
		// packed again just for that.
		size := int(perName * float64(len(g.pages[n])))
		if r := most - size; open < 0 || r > best {
			open, best = n, r
		}
		if size < most/4 {
			small = append(small, n)
		}
	}
	if len(small) >= 2 && len(g.fresh) > 0 {
		// The open page is written anyway.
		a, b := small[0], small[1]
		if a != open && b != open {
			a = open
		}
		g.pages[a] = append(slices.Clone(g.pages[a]), g.pages[b]...)
		delete(g.pages, b)
		open = a
	}
	slices.Sort(g.fresh)
	for len(g.fresh) > 0 {
		if open < 0 {
			open = free()
		}
		names := slices.Clone(g.pages[open])
		// As many as fit: halved until they do, as gaps differ.
		n := min(len(g.fresh), int(math.Ceil(float64(max(0, most))/perName)))
		for n > 0 {
			all := append(slices.Clone(names), g.fresh[:n]...)
			slices.Sort(all)
			if room(all) >= 0 {
				names = all
				break
			}
			n /= 2
		}
		if n == 0 && len(names) == 0 {
			return fmt.Errorf("%w: a name does not fit on a page", ErrTooLarge)
		}
		g.pages[open] = names
		g.fresh = g.fresh[n:]
		open = -1 // full, as far as the next names go
	}
	for _, n := range slices.Sorted(maps.Keys(g.pages)) {
		if err := write(n, g.pages[n]); err != nil {
			return err
		}
	}
	return nil
}

// putHomes puts the homes into the value, those of a team's parts as numbers:
// there may be dozens of them.
func putHomes(rec *wire.LeaseRecord, h *head) {
	nodes := slices.Sorted(maps.Keys(rec.Blocks))
	h.Homes = maps.Clone(rec.Partitions)
	for _, team := range slices.Sorted(maps.Keys(rec.Partitions)) {
		for k := 1; ; k++ {
			part := wire.ShardName(team, k)
			at, ok := slices.BinarySearch(nodes, rec.Partitions[part])
			if !ok {
				break
			}
			if h.Parts == nil {
				h.Parts = map[string][]int{}
			}
			h.Parts[team] = append(h.Parts[team], at)
			delete(h.Homes, part)
		}
	}
}

// putShares puts the teams' shares into the value.
func putShares(rec *wire.LeaseRecord, h *head) {
	nodes := slices.Sorted(maps.Keys(rec.Blocks))
	for _, team := range slices.Sorted(maps.Keys(rec.Shares)) {
		cpus, cards := make([]int, len(nodes)), make([]int, len(nodes))
		any := false
		for i, node := range nodes {
			s := rec.Shares[team][node]
			cpus[i], cards[i] = s.CPUs, s.GPUs
			any = any || s.GPUs > 0
		}
		if h.CPUs == nil {
			h.CPUs = map[string][]int{}
		}
		h.CPUs[team] = cpus
		if any {
			if h.Cards == nil {
				h.Cards = map[string][]int{}
			}
			h.Cards[team] = cards
		}
	}
}

// size puts the sets into the value as they stand and tells its size.
func (b *PageTable) size(h *head, groups []*group, d *PendingWrite, rec *wire.LeaseRecord) (int, error) {
	h.Blocks = make(map[string]headBlock, len(rec.Blocks))
	for _, g := range groups {
		blk := rec.Blocks[g.node]
		hb, ok := h.Blocks[g.node]
		if !ok {
			hb = headBlock{Grant: blk.Grant, Incarnation: blk.Incarnation, Renewal: blk.Renewal}
		}
		s := []*set{&hb.Machines, &hb.Old, &hb.Recall}[g.kind]
		if len(g.pages) == 0 {
			s.Names = wire.NameSet(g.names)
		}
		for _, n := range slices.Sorted(maps.Keys(g.pages)) {
			edition := b.pages[n].edition
			if p, ok := d.pages[n]; ok {
				edition = p.edition
			}
			s.Pages = append(s.Pages, uint64(n), edition)
		}
		h.Blocks[g.node] = hb
	}
	value, err := wire.WithFields(*h, rec.Unknown)
	if err != nil {
		return 0, fmt.Errorf("lease value: %w", err)
	}
	raw, err := wire.Encode(value)
	if err != nil {
		return 0, fmt.Errorf("lease value: %w", err)
	}
	// Sizes are counted as JSON, which takes a little more.
	return len(raw) * 5 / 4, nil
}
