package wire

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

// Fields holds fields of a stored value that this version does not know. They are written
// again, as they were, when the value is rewritten.
type Fields map[string]msgpack.RawMessage

// EnvelopeForm is the newest form of envelopes and of what is in them.
const EnvelopeForm = 1

// FormError reports that a stored value is in a form that this version does not know. Such
// a value is left as it is, and nothing is concluded from it.
type FormError struct {
	What string
	Form int
}

// Error names the value and its form.
func (e FormError) Error() string {
	return fmt.Sprintf("%s: form %d is unknown to this version", e.What, e.Form)
}

// Envelope wraps stored records: it holds their form, and the generation of the state that
// they belong to.
type Envelope struct {
	Form       int    `msgpack:"f"`
	Generation uint64 `msgpack:"g"`
	// FirstVersion is the version under which the record was first stored, if it has
	// been rewritten since; 0: it has not. From a record's age follows whether an earlier
	// owner may have started its tasks, so a rewrite must not hide it.
	FirstVersion Revision           `msgpack:"b,omitempty"`
	Value        msgpack.RawMessage `msgpack:"v"`
	Unknown      Fields             `msgpack:"-"`
}

// Wrap puts a value into an envelope.
func Wrap(v any, generation uint64, firstVersion Revision) (Envelope, error) {
	raw, err := Encode(v)
	return Envelope{Form: EnvelopeForm, Generation: generation, FirstVersion: firstVersion, Value: raw}, err
}

// Unwrap takes a stored value out of its envelope. A value of an earlier version
// has none: then it is returned as it is, with form 0.
func Unwrap(what string, stored []byte) (Envelope, error) {
	var e Envelope
	unknown, err := DecodeKeeping(stored, &e)
	if err != nil {
		return e, fmt.Errorf("%s: %w", what, err)
	}
	switch {
	case e.Form == 0:
		return Envelope{Value: stored}, nil
	case e.Form > EnvelopeForm || e.Form < 0:
		return e, FormError{what, e.Form}
	case len(e.Value) == 0:
		return e, fmt.Errorf("%s: empty envelope", what)
	}
	e.Unknown = unknown
	return e, nil
}

// Stored returns what is to be stored for the envelope, with the fields that
// this version does not know.
func (e Envelope) Stored() (any, error) { return WithFields(e, e.Unknown) }

// DecodeKeeping decodes a map into a struct and returns the fields that the
// struct has no place for; nil when there are none, which costs nothing.
func DecodeKeeping[T any](body []byte, v *T) (Fields, error) {
	if _, err := Cost(body); err != nil {
		return nil, fmt.Errorf("decode %T: %w", v, err)
	}
	dec := msgpack.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields(true)
	if dec.Decode(v) == nil {
		return nil, nil
	}
	var again T
	if err := Decode(body, &again); err != nil {
		return nil, err
	}
	*v = again
	return UnknownFields(body, again)
}

// UnknownFields returns the fields of an encoded map that the struct v has no
// place for; nil when there are none.
func UnknownFields(raw []byte, v any) (Fields, error) {
	if _, err := Cost(raw); err != nil {
		return nil, fmt.Errorf("fields of %T: %w", v, err)
	}
	known := fieldNames(reflect.TypeOf(v))
	dec := msgpack.NewDecoder(bytes.NewReader(raw))
	n, err := dec.DecodeMapLen()
	if err != nil {
		return nil, fmt.Errorf("fields of %T: %w", v, err)
	}
	var out Fields
	for range n {
		name, err := dec.DecodeString()
		if err != nil {
			return nil, fmt.Errorf("fields of %T: %w", v, err)
		}
		if known[name] {
			if err := dec.Skip(); err != nil {
				return nil, fmt.Errorf("fields of %T: %w", v, err)
			}
			continue
		}
		field, err := dec.DecodeRaw()
		if err != nil {
			return nil, fmt.Errorf("fields of %T: %w", v, err)
		}
		if out == nil {
			out = Fields{}
		}
		out[name] = bytes.Clone(field)
	}
	return out, nil
}

// WithFields returns what encodes as v with further fields.
func WithFields(v any, more Fields) (any, error) {
	if len(more) == 0 {
		return v, nil
	}
	raw, err := Encode(v)
	if err != nil {
		return nil, err
	}
	all := Fields{}
	if err := Decode(raw, &all); err != nil {
		return nil, err
	}
	for name, field := range more {
		if _, ok := all[name]; !ok {
			all[name] = field
		}
	}
	return all, nil
}

// fieldNames lists the names under which a struct's fields are encoded.
func fieldNames(t reflect.Type) map[string]bool {
	out := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
		switch {
		case name == "-":
		case strings.Contains(options, "inline"):
			for n := range fieldNames(f.Type) {
				out[n] = true
			}
		default:
			out[name] = true
		}
	}
	return out
}
