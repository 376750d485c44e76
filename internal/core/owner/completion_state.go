package owner

// readState says how far the reads of all pages of the completion log have come.
//
//	neverRead → firstRead → pagesRead   a read has begun, and has succeeded
//	firstRead → neverRead               it has failed
//	pagesRead → readAgain → pagesRead   another read, whether it succeeds or fails
type readState int

const (
	neverRead readState = iota
	firstRead
	pagesRead // all pages were read at least once, and no read is in progress
	readAgain
)

// inProgress reports whether a read has begun and not ended.
func (s readState) inProgress() bool { return s == firstRead || s == readAgain }

// loaded reports whether all pages were read at least once.
func (s readState) loaded() bool { return s == pagesRead || s == readAgain }

// begin applies the begin of a read.
func (s *readState) begin() {
	switch *s {
	case neverRead:
		*s = firstRead
	case pagesRead:
		*s = readAgain
	}
}

// fail applies that the read has failed.
func (s *readState) fail() {
	switch *s {
	case firstRead:
		*s = neverRead
	case readAgain:
		*s = pagesRead
	}
}

// succeed applies that the read has come to the last page.
func (s *readState) succeed() { *s = pagesRead }

// pageState says whether a page of this controller may be written.
//
//	idle → writing      a write, or a read that checks one, is sent
//	writing → idle      it has a result
//	idle → unreadable   the page is stored in a form that is not known here; final
type pageState int

const (
	pageIdle pageState = iota
	pageWriting
	pageUnreadable // left alone: to write over it would lose what it says
)
