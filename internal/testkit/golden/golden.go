// Package golden holds encoded bytes against files that an earlier version wrote. It
// makes sample values by the names of stored fields, not by Go's, so that the same
// sample comes out of a type whose fields have been renamed. For tests only.
package golden

import (
	"encoding/hex"
	"flag"
	"hash/fnv"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"fawncove/internal/wire"
)

var update = flag.Bool("update-golden", false, "write the golden files; only for forms that are new")

// Check compares encoded bytes with the file testdata/NAME.hex of the package under
// test and returns the file's bytes.
func Check(t *testing.T, name string, encoded []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name+".hex")
	if *update {
		writeNew(t, file, encoded)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	want, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	if string(want) != string(encoded) {
		t.Errorf("%s: encoded as\n%x\nbut version 9a8d57a wrote\n%x", name, encoded, want)
	}
	return want
}

// RoundTrip returns a test of one type of stored value or message: a sample is encoded as
// the golden file has it, and what is read from the file is encoded as the file again.
func RoundTrip[T any](name string) func(*testing.T) {
	return func(t *testing.T) {
		var sample, read T
		Fill(&sample)
		if err := wire.Decode(Check(t, name, encode(t, sample)), &read); err != nil {
			t.Fatalf("decode: %v", err)
		}
		Check(t, name, encode(t, read))
	}
}

// encode returns a value as it is stored or sent.
func encode(t *testing.T, value any) []byte {
	t.Helper()
	encoded, err := wire.Encode(value)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// writeNew writes a golden file that does not exist. A form that is stored or sent must
// not change, so a file that exists stays as it is.
func writeNew(t *testing.T, file string, encoded []byte) {
	t.Helper()
	if _, err := os.Stat(file); err == nil {
		return
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(hex.EncodeToString(encoded)+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fill sets every field of the struct that v points to, each to a value that follows
// from the name under which it is encoded. Fields that are not encoded stay empty.
func Fill(v any) { fill(reflect.ValueOf(v).Elem(), "") }

func number(name string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint64(h.Sum32()%60000) + 1
}

func fill(v reflect.Value, name string) {
	if v.Type() == reflect.TypeFor[msgpack.RawMessage]() {
		v.SetBytes([]byte{0x2a})
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), name)
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			tag, options, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
			if tag == "-" || !f.IsExported() {
				continue
			}
			if tag == "" {
				tag = f.Name // as the encoding does
			}
			if strings.Contains(options, "inline") {
				tag = name
			}
			fill(v.Field(i), name+"."+tag)
		}
	case reflect.Map:
		// One entry: the order of others is not fixed in every encoding.
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, name+".key")
		fill(value, name+".value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Slice:
		s := reflect.MakeSlice(v.Type(), 1, 1)
		fill(s.Index(0), name+".0")
		v.Set(s)
	case reflect.String:
		v.SetString("s" + name)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(number(name)) + 0.5)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(number(name)))
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		v.SetUint(number(name))
	case reflect.Interface:
		v.Set(reflect.ValueOf("any" + name))
	}
}

// FillProto sets every field of a message, each to a value that follows from its
// number.
func FillProto(m proto.Message) { fillMessage(m.ProtoReflect()) }

// KeepFieldsUpTo clears the fields of a message whose number is above newest: those that came
// with later versions.
func KeepFieldsUpTo(m proto.Message, newest int) {
	message := m.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		if f := fields.Get(i); int(f.Number()) > newest {
			message.Clear(f)
		}
	}
}

func fillMessage(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		switch {
		case f.IsMap():
			value := m.NewField(f)
			value.Map().Set(protoreflect.ValueOfString("k").MapKey(), scalar(f.MapValue().Kind(), int(f.Number())))
			m.Set(f, value)
		case f.IsList():
			value := m.NewField(f)
			if f.Kind() == protoreflect.MessageKind {
				element := value.List().NewElement()
				fillMessage(element.Message())
				value.List().Append(element)
			} else {
				value.List().Append(scalar(f.Kind(), int(f.Number())))
			}
			m.Set(f, value)
		case f.Kind() == protoreflect.MessageKind:
			value := m.NewField(f)
			fillMessage(value.Message())
			m.Set(f, value)
		default:
			m.Set(f, scalar(f.Kind(), int(f.Number())))
		}
	}
}

func scalar(kind protoreflect.Kind, number int) protoreflect.Value {
	switch kind {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + 0.5)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(number))
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(number))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte{byte(number)})
	default:
		return protoreflect.ValueOfString("s" + string(rune('a'+number)))
	}
}
