package wire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// A message comes from outside and may say anything of its own size: five bytes can announce a
// list of 2^32-1 elements, and a decoder that makes room for what is announced ends the
// process. So the structure of each message is checked before anything of it is decoded: all
// that it announces has to be there, at every level, and what decoding it may cost is bounded
// by its length.

// maxNesting is how deep lists and maps may be nested. Decoders recurse for each level; the
// deepest message of the protocols has seven.
const maxNesting = 32

// What decoding may cost, in bytes of memory. The structure does not tell what a value is
// decoded into, so these are bounds for the largest type in such a place.
const (
	// scalarElementCost is for a text, number or boolean in a list: the header of a text,
	// twice, as lists grow.
	scalarElementCost = 32
	// structElementCost is for anything else in a list, a null too: a struct is made for
	// it, twice, as lists grow. The largest is MachineType; in a map, the block of a lease value.
	structElementCost = 256
	// scalarEntryCost and structEntryCost are the same for the entries of a map.
	scalarEntryCost = 64
	structEntryCost = 448
	// textCost is for each byte of the message: it is copied to a buffer, and from there.
	textCost = 4
)

const (
	// maxCostPerByte bounds what decoding a message may cost for each of its bytes. The
	// densest ones of the protocols, ranges of empty values, take less than half of it.
	maxCostPerByte = 64
	// costAllowance is allowed to any message, so that a short one may have any structure.
	costAllowance = 16 << 10
)

// Errors of a message that cannot be decoded safely, whatever it says.
var (
	ErrIncomplete      = errors.New("the message ends before what it announces")
	ErrTooDeep         = fmt.Errorf("nested more than %d levels deep", maxNesting)
	ErrNotInProtocol   = errors.New("a type that the protocols do not have")
	ErrTooCostly       = errors.New("many more values than a message of its length may have")
	errBytesAfterValue = errors.New("bytes after the message")
)

// Cost returns what decoding a message may cost at most, in bytes of memory. It takes no
// memory itself and a time that is linear in the length. The error says why the message must
// not be decoded.
func Cost(message []byte) (int, error) {
	s := structure{rest: message}
	if err := s.value(); err != nil {
		return 0, err
	}
	if len(s.rest) > 0 {
		return 0, errBytesAfterValue
	}
	return s.checkedCost(len(message))
}

// cutFirst splits off the first value of a message, whose structure is sound.
func cutFirst(message []byte) (first, rest []byte, err error) {
	s := structure{rest: message}
	if err := s.value(); err != nil {
		return nil, nil, err
	}
	length := len(message) - len(s.rest)
	_, err = s.checkedCost(length)
	return message[:length], s.rest, err
}

// container is a list or a map that is being walked through.
type container struct {
	left  uint64 // values that are still to come; keys of a map count
	isMap bool
}

// isKey reports whether the next value is the key of a map.
func (c container) isKey() bool { return c.isMap && c.left%2 == 0 }

// structure walks through the values of a message.
type structure struct {
	rest  []byte
	cost  uint64
	open  [maxNesting]container
	depth int
}

// checkedCost returns the cost of a message of so many bytes, or ErrTooCostly.
func (s *structure) checkedCost(length int) (int, error) {
	if s.cost > uint64(length)*maxCostPerByte+costAllowance {
		return 0, ErrTooCostly
	}
	return int(s.cost) + textCost*length, nil
}

// value walks through one value with all that is in it.
func (s *structure) value() error {
	for {
		if err := s.next(); err != nil {
			return err
		}
		for s.depth > 0 && s.open[s.depth-1].left == 0 {
			s.depth--
		}
		if s.depth == 0 {
			return nil
		}
	}
}

// next walks through the next scalar, or opens the next container.
func (s *structure) next() error {
	if len(s.rest) == 0 {
		return ErrIncomplete
	}
	code := s.rest[0]
	s.rest = s.rest[1:]
	s.addCost(code)
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		return nil
	case msgpcode.IsFixedString(code):
		return s.skip(uint64(code & msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return s.enter(uint64(code&msgpcode.FixedArrayMask), false)
	case msgpcode.IsFixedMap(code):
		return s.enter(uint64(code&msgpcode.FixedMapMask), true)
	}
	return s.sized(code)
}

// addCost adds what it may cost to decode a value with this code where it stands.
func (s *structure) addCost(code byte) {
	if s.depth == 0 {
		return
	}
	c := &s.open[s.depth-1]
	isStruct := code == msgpcode.Nil || isContainer(code)
	switch {
	case c.isKey():
	case c.isMap && isStruct:
		s.cost += structEntryCost
	case c.isMap:
		s.cost += scalarEntryCost
	case isStruct:
		s.cost += structElementCost
	default:
		s.cost += scalarElementCost
	}
	c.left--
}

// isContainer reports whether a code begins a list or a map.
func isContainer(code byte) bool {
	return isMap(code) || msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

// sized walks through a value whose code is followed by its bytes, or by their number.
func (s *structure) sized(code byte) error {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return s.skip(1)
	case msgpcode.Uint16, msgpcode.Int16:
		return s.skip(2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return s.skip(4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return s.skip(8)
	}
	width, ok := lengthWidth(code)
	if !ok {
		// Extensions too: a decoder takes what is in one for a map, although it is not
		// checked here.
		return ErrNotInProtocol
	}
	n, err := s.length(width)
	if err != nil {
		return err
	}
	switch code {
	case msgpcode.Array16, msgpcode.Array32:
		return s.enter(n, false)
	case msgpcode.Map16, msgpcode.Map32:
		return s.enter(n, true)
	}
	return s.skip(n)
}

// lengthWidth returns how many bytes the length has that follows a code; ok is false where
// none does. Bytes have the same form as texts.
func lengthWidth(code byte) (width int, ok bool) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 1, true
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Array16, msgpcode.Map16:
		return 2, true
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Array32, msgpcode.Map32:
		return 4, true
	}
	return 0, false
}

// length reads a length of so many bytes.
func (s *structure) length(width int) (uint64, error) {
	if len(s.rest) < width {
		return 0, ErrIncomplete
	}
	var padded [8]byte
	copy(padded[8-width:], s.rest)
	s.rest = s.rest[width:]
	return binary.BigEndian.Uint64(padded[:]), nil
}

// skip passes over the bytes of a scalar.
func (s *structure) skip(n uint64) error {
	if n > uint64(len(s.rest)) {
		return ErrIncomplete
	}
	s.rest = s.rest[n:]
	return nil
}

// enter opens a list of n elements or a map of n entries. Each value takes a byte at least.
func (s *structure) enter(n uint64, isMap bool) error {
	if s.depth == maxNesting {
		return ErrTooDeep
	}
	if isMap {
		n *= 2
	}
	if n > uint64(len(s.rest)) {
		return ErrIncomplete
	}
	s.open[s.depth] = container{n, isMap}
	s.depth++
	return nil
}
