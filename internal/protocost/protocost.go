// Package protocost bounds what decoding a protobuf message may cost before it is decoded. An
// empty element of a list takes two bytes of a message and a whole struct in memory, so that a
// message within its limit could take a hundred times its length.
package protocost

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// What decoding may cost, in bytes of memory.
const (
	// messageCost is for a message in a list or the entry of a map: a struct with its
	// pointer, which counts twice as lists grow.
	messageCost = 256
	// elementCost is for a text or bytes in a list: their header of 24 bytes, in all the
	// arrays that a list has had while it grew.
	elementCost = 128
	// packedCost is for each byte of a list of numbers.
	packedCost = 16
	// byteCost is for each byte of the message, which is copied.
	byteCost = 2
)

const (
	// maxCostPerByte bounds what decoding a message may cost for each of its bytes. The
	// densest ones, lists of teams with names of two letters, take half of it.
	maxCostPerByte = 64
	// costAllowance is allowed to any message, so that a short one may have any structure.
	costAllowance = 256 << 10
)

// ErrTooCostly reports a message with many more elements than one of its length may have.
var ErrTooCostly = errors.New("protobuf: many more elements than a message of its length may have")

// Unmarshal decodes a message whose cost Cost allows.
func Unmarshal(raw []byte, m proto.Message) error {
	if _, err := Cost(raw, m.ProtoReflect().Descriptor()); err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

// Cost returns what decoding a message may cost at most, in bytes of memory. The error is
// ErrTooCostly, or says what is wrong with the encoding.
func Cost(raw []byte, d protoreflect.MessageDescriptor) (int, error) {
	cost, err := elementsCost(raw, d)
	if err != nil {
		return 0, err
	}
	cost += byteCost * len(raw)
	if cost > maxCostPerByte*len(raw)+costAllowance {
		return 0, ErrTooCostly
	}
	return cost, nil
}

// elementsCost returns what the elements of a message may cost. The messages of the project
// are not recursive, so that their depth is bounded.
func elementsCost(raw []byte, d protoreflect.MessageDescriptor) (cost int, err error) {
	for len(raw) > 0 {
		number, wireType, n := protowire.ConsumeTag(raw)
		if n < 0 {
			return 0, fmt.Errorf("protobuf: %w", protowire.ParseError(n))
		}
		raw = raw[n:]
		n = protowire.ConsumeFieldValue(number, wireType, raw)
		if n < 0 {
			return 0, fmt.Errorf("protobuf: %w", protowire.ParseError(n))
		}
		if field := d.Fields().ByNumber(number); field != nil && wireType == protowire.BytesType {
			more, err := fieldCost(raw[:n], field)
			if err != nil {
				return 0, err
			}
			cost += more
		}
		raw = raw[n:]
	}
	return cost, nil
}

// fieldCost returns what a field that has a length may cost. value begins with its length.
func fieldCost(value []byte, field protoreflect.FieldDescriptor) (int, error) {
	content, n := protowire.ConsumeBytes(value)
	if n < 0 {
		return 0, fmt.Errorf("protobuf: %w", protowire.ParseError(n))
	}
	switch field.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		cost, err := elementsCost(content, field.Message())
		return cost + messageCost, err
	case protoreflect.StringKind, protoreflect.BytesKind:
		return elementCost, nil
	}
	return packedCost * len(content), nil
}
