// Package wire holds every MessagePack message that fawncove exchanges with
// users, workers, the cloud and the state service. The field names of those
// protocols appear here and nowhere else.
package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ContentType is the type of all bodies.
const ContentType = "application/msgpack"

// JSONBytes returns about the size that an encoded value has as JSON, in which the limits of
// the state service are counted.
func JSONBytes(encoded []byte) int { return len(encoded) * 5 / 4 }

// Encode writes v as MessagePack with integers as short as they can be.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return buf.Bytes(), nil
}

// Decode reads one message; what follows it is an error. It costs no more memory than Cost
// says.
func Decode(body []byte, v any) error {
	if _, err := Cost(body); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	if err := msgpack.NewDecoder(bytes.NewReader(body)).Decode(v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}
