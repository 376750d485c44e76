package leasevalue

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fawncove/internal/wire"
)

// page is a page as far as it is known.
type page struct {
	edition uint64
	names   []string
}

// PageTable keeps the pages that are known, and which of them the last value names. The
// zero value is empty.
type PageTable struct {
	// FormsBeforeLevels restricts reading to the forms from before feature levels, as
	// versions of that time do.
	FormsBeforeLevels bool

	pages      map[int]page
	referenced map[int]uint64 // by the last value, with the edition that it names
	pageOf     map[string]int // machine -> page, by the last value
	merged     map[setKey]mergedNames
}

// setKey names a set of the value.
type setKey struct {
	node string
	kind int
}

// mergedNames are the names of a set whose pages have been put together, kept because most
// sets do not change from one value to the next.
type mergedNames struct {
	from  storedSet
	names []string
}

// PageOf returns the page that names a machine; ok is false when none does.
func (t *PageTable) PageOf(name string) (n int, ok bool) {
	n, ok = t.pageOf[name]
	return n, ok
}

// ReadPage takes in a page that was read, or was seen to change. It reports whether the key
// is that of a page.
func (t *PageTable) ReadPage(key string, value []byte) (isPage bool, err error) {
	number, ok := strings.CutPrefix(key, PagePrefix)
	if !ok {
		return false, nil
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 0 {
		return true, fmt.Errorf("lease page %q: no number", key)
	}
	var stored storedPage
	if err := wire.Decode(value, &stored); err != nil {
		return true, fmt.Errorf("lease page %d: %w", n, err)
	}
	if stored.Form > pageForm {
		return true, wire.FormError{What: "lease page " + number, Form: stored.Form}
	}
	if known, ok := t.pages[n]; ok && known.edition >= stored.Edition {
		return true, nil
	}
	t.setPage(n, page{stored.Edition, stored.Names})
	return true, nil
}

// setPage replaces a page. Machines that are no longer on it are on no page until a value
// names another.
func (t *PageTable) setPage(n int, p page) {
	if t.pages == nil {
		t.pages = map[int]page{}
	}
	t.unlinkNames(n)
	t.pages[n] = p
}

// unlinkNames removes the names of a page from pageOf, but for those that have moved.
func (t *PageTable) unlinkNames(n int) {
	for _, name := range t.pages[n].names {
		if t.pageOf[name] == n {
			delete(t.pageOf, name)
		}
	}
}

// recordReferenced records which pages the last value names.
func (t *PageTable) recordReferenced(numbers []int) {
	now := make(map[int]uint64, len(numbers))
	for _, n := range numbers {
		now[n] = t.pages[n].edition
	}
	if t.pageOf == nil {
		t.pageOf = map[string]int{}
	}
	// Pages that are not named any more go first, so that a name which moved keeps its
	// new page.
	for n := range t.referenced {
		if _, ok := now[n]; !ok {
			t.unlinkNames(n)
		}
	}
	for n, edition := range now {
		if before, ok := t.referenced[n]; ok && before == edition {
			continue
		}
		for _, name := range t.pages[n].names {
			t.pageOf[name] = n
		}
	}
	t.referenced = now
}

// collectNames returns the names of a set from the value and its pages, and the pages.
func (t *PageTable) collectNames(key setKey, set *storedSet) (names wire.NameSet, numbers []int, err error) {
	if len(set.Pages)%2 != 0 {
		return nil, nil, errors.New("lease value: half a page reference")
	}
	for i := 0; i < len(set.Pages); i += 2 {
		n, edition := int(set.Pages[i]), set.Pages[i+1]
		if known, ok := t.pages[n]; !ok || known.edition != edition {
			return nil, nil, fmt.Errorf("%w: %d in edition %d", ErrPageMissing, n, edition)
		}
		if slices.Contains(numbers, n) {
			return nil, nil, fmt.Errorf("lease value: page %d twice in a set", n)
		}
		numbers = append(numbers, n)
	}
	if len(numbers) == 0 {
		return set.Names, nil, nil
	}
	if m, ok := t.merged[key]; ok && slices.Equal(m.from.Pages, set.Pages) && slices.Equal(m.from.Names, set.Names) {
		return m.names, numbers, nil
	}
	merged := slices.Clone([]string(set.Names))
	for _, n := range numbers {
		merged = append(merged, t.pages[n].names...)
	}
	slices.Sort(merged)
	if t.merged == nil {
		t.merged = map[setKey]mergedNames{}
	}
	t.merged[key] = mergedNames{*set, merged}
	return merged, numbers, nil
}
