package wire

import (
	"errors"
	"strings"
	"testing"
)

// TestUnsoundStructuresAreRefused guards against messages that a decoder must not see: each is
// refused for what is wrong with it, and what is next to it is not.
func TestUnsoundStructuresAreRefused(t *testing.T) {
	for _, c := range []struct {
		name, message string
		want          error
	}{
		{"nothing", "", ErrIncomplete},
		{"a number", "\x05", nil},
		{"two numbers", "\x05\x05", errBytesAfterValue},
		{"as deep as allowed", strings.Repeat("\x91", maxNesting) + "\xc0", nil},
		{"deeper", strings.Repeat("\x91", maxNesting+1) + "\xc0", ErrTooDeep},
		{"deep twice", "\x92" + strings.Repeat(strings.Repeat("\x91", maxNesting-1)+"\xc0", 2), nil},
		{"maps as deep as allowed", strings.Repeat("\x81\xa0", maxNesting) + "\xc0", nil},
		{"deeper maps", strings.Repeat("\x81\xa0", maxNesting+1) + "\xc0", ErrTooDeep},
		{"a list of 2^32-1", "\xdd\xff\xff\xff\xff", ErrIncomplete},
		{"a map of one without its value", "\x81\xa1a", ErrIncomplete},
		{"a length without its bytes", "\xdd\x00", ErrIncomplete},
		{"a text that is cut short", "\xa5abcd", ErrIncomplete},
		{"a decimal that is cut short", "\xcb\x00", ErrIncomplete},
		{"a code that there is not", "\xc1", ErrNotInProtocol},
		{"an extension", "\xd4\x01\x00", ErrNotInProtocol},
		{"an extension with a map", "\xc7\x05\x01\xdf\xff\xff\xff\xff", ErrNotInProtocol},
		{"a short list of empty maps", "\x9f" + strings.Repeat("\x80", 15), nil},
		{"a long one", "\xdc\x10\x00" + strings.Repeat("\x80", 4096), ErrTooCostly},
		{"a long list of numbers", "\xdc\x10\x00" + strings.Repeat("\x05", 4096), nil},
	} {
		if _, err := Cost([]byte(c.message)); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
}
