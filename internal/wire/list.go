package wire

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// List is a list of structs in a message. It grows with the elements that have been read: the
// decoder of a plain slice makes room for all that are announced, in a list of numbers too.
type List[T any] []T

var errNotMaps = errors.New("a list of something else than maps")

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(dec *msgpack.Decoder) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n < 0 {
		*l = nil
		return nil
	}
	*l = List[T]{}
	for range n {
		code, err := dec.PeekCode()
		if err != nil {
			return err
		}
		if !isMap(code) {
			return errNotMaps
		}
		var empty T
		*l = append(*l, empty)
		if err := dec.Decode(&(*l)[len(*l)-1]); err != nil {
			return err
		}
	}
	return nil
}

// isMap reports whether a code begins a map.
func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}
