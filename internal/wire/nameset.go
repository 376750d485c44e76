package wire

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// NameSet is a set of machine names in order. It is stored as one short text,
// since a whole fleet stands in one value of the state service: names that
// share a form (letters, then a number of so many digits) become the gaps
// between their numbers, which is little more than a character a machine.
type NameSet []string

// The text is the base64 of, for each form: the length of the letters and the
// letters, the number of digits, how many names, and the gaps. A form of no
// digits has one name, its letters.

// maxDigits keeps numbers within an int64.
const maxDigits = 18

// A text of n bytes may stand for some n²/4 bytes of names, as the letters of a form are
// written once and its names take little more than a byte each. Reading bounds that, and
// writing repeats long letters, so that what is written can be read.
const (
	// maxExpansion is how many bytes of names a byte of the text may stand for.
	maxExpansion = 64
	// expansionAllowance is allowed to any set: that of 4,000 machines with names of 200
	// bytes, as earlier versions write it.
	expansionAllowance = 1 << 20
)

// splitName parts a name into letters and a number. Numbers with more digits than
// fit are left in the letters, where they are safe.
func splitName(name string) (letters string, digits int, number uint64) {
	i := len(name)
	for i > 0 && name[i-1] >= '0' && name[i-1] <= '9' && len(name)-i < maxDigits {
		i--
	}
	if i == len(name) {
		return name, 0, 0
	}
	number, err := strconv.ParseUint(name[i:], 10, 64)
	if err != nil {
		return name, 0, 0 // cannot be: at most maxDigits digits
	}
	return name[:i], len(name) - i, number
}

// PackNames writes names, which must be in order and without repeats, as one
// text.
func PackNames(names []string) string {
	raw := make([]byte, 0, len(names)+32)
	// Names of one form need not stand together: "a10" sorts between "a1"
	// and "a2".
	type key struct {
		letters string
		digits  int
		repeat  int // how often the form was written already, as it is full
	}
	forms := map[key][]uint64{}
	repeats := map[key]int{}
	var order []key
	for _, name := range names {
		letters, digits, number := splitName(name)
		k := key{letters: letters, digits: digits}
		first := k
		k.repeat = repeats[first]
		if len(forms[k]) == maxExpansion && len(letters)+digits > maxExpansion {
			repeats[first]++
			k.repeat++
		}
		if forms[k] == nil {
			order = append(order, k)
		}
		forms[k] = append(forms[k], number)
	}
	for _, k := range order {
		raw = binary.AppendUvarint(raw, uint64(len(k.letters)))
		raw = append(raw, k.letters...)
		raw = binary.AppendUvarint(raw, uint64(k.digits))
		if k.digits == 0 {
			continue
		}
		raw = binary.AppendUvarint(raw, uint64(len(forms[k])))
		last := uint64(0)
		for _, n := range forms[k] {
			raw = binary.AppendUvarint(raw, n-last)
			last = n
		}
	}
	return base64.RawStdEncoding.EncodeToString(raw)
}

var errNames = errors.New("names: cut short, damaged, or far more than the text has room for")

// UnpackNames reads what PackNames wrote.
func UnpackNames(text string) ([]string, error) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("names: %w", err)
	}
	next := func() (uint64, bool) {
		v, n := binary.Uvarint(raw)
		if n <= 0 {
			return 0, false
		}
		raw = raw[n:]
		return v, true
	}
	var names []string
	left := maxExpansion*len(raw) + expansionAllowance // bytes of names
	for len(raw) > 0 {
		size, ok := next()
		if !ok || size > uint64(len(raw)) {
			return nil, errNames
		}
		letters := string(raw[:size])
		raw = raw[size:]
		digits, ok := next()
		if !ok || digits > maxDigits {
			return nil, errNames
		}
		if digits == 0 {
			names = append(names, letters)
			continue
		}
		count, ok := next()
		if !ok || count > uint64(len(raw)) { // a gap takes a byte at least
			return nil, errNames
		}
		number := uint64(0)
		for range count {
			gap, ok := next()
			if !ok {
				return nil, errNames
			}
			number += gap
			num := strconv.FormatUint(number, 10)
			if left -= len(letters) + int(digits); left < 0 || len(num) > int(digits) {
				return nil, errNames
			}
			names = append(names, letters+strings.Repeat("0", int(digits)-len(num))+num)
		}
	}
	slices.Sort(names)
	return names, nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s NameSet) EncodeMsgpack(enc *msgpack.Encoder) error {
	return enc.EncodeString(PackNames(s))
}

// DecodeMsgpack implements msgpack.CustomDecoder. It also reads the plain list
// of an earlier version. Anything else is an error: a value that cannot be
// read must never pass for an empty one.
func (s *NameSet) DecodeMsgpack(dec *msgpack.Decoder) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case code == msgpcode.Nil:
		*s = nil
		return dec.DecodeNil()
	case msgpcode.IsString(code):
		return s.decodeText(dec)
	case isContainer(code):
		return s.decodeList(dec)
	}
	return fmt.Errorf("names: neither text nor list but code %#x", code)
}

// decodeText reads the packed form.
func (s *NameSet) decodeText(dec *msgpack.Decoder) error {
	text, err := dec.DecodeString()
	if err != nil {
		return err
	}
	*s, err = UnpackNames(text)
	return err
}

// decodeList reads the list of an earlier version.
func (s *NameSet) decodeList(dec *msgpack.Decoder) error {
	raw, err := dec.DecodeRaw()
	if err != nil {
		return err
	}
	names, ok := readTexts(raw)
	if !ok {
		return errors.New("names: a list with something else, or a map")
	}
	slices.Sort(names)
	*s = names
	return nil
}
