package peerpb_test

import (
	"testing"

	"fawncove/internal/peerpb"
	"fawncove/internal/testkit/golden"

	"google.golang.org/protobuf/proto"
)

// TestGoldenFrame holds the frame between controllers, with all its parts, to the bytes
// that the version in production writes, and reads those bytes.
func TestGoldenFrame(t *testing.T) {
	var sample peerpb.Frame
	golden.FillProto(&sample)
	encode := proto.MarshalOptions{Deterministic: true}.Marshal
	encoded, err := encode(&sample)
	if err != nil {
		t.Fatal(err)
	}
	var read peerpb.Frame
	if err := proto.Unmarshal(golden.Check(t, "frame", encoded), &read); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(&sample, &read) {
		t.Errorf("read as %v", &read)
	}
	if len(read.ProtoReflect().GetUnknown()) > 0 {
		t.Error("the frame has fields that are not known here")
	}
}
