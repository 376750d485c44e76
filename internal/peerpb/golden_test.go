package peerpb_test

import (
	"testing"

	"fawncove/internal/peerpb"
	"fawncove/internal/testkit/golden"

	"google.golang.org/protobuf/proto"
)

// frameForms are the frames of the versions so far: the file with their bytes, and the number
// of their newest field.
var frameForms = []struct {
	file   string
	newest int
}{
	{"frame", 29}, // as the version in production writes it
	{"frame-recent-changes", 30},
	{"frame-job-frames", 34},
	{"frame-job-claims", 39},
	{"frame-overdue-machines", 41},
	{"frame-cancellations", 43},
}

// TestGoldenFrame holds the frame between controllers, with all its parts, to the bytes
// that the version in production writes, and reads those bytes; and so for the fields that
// came since, of which the newest form has all.
func TestGoldenFrame(t *testing.T) {
	for _, form := range frameForms {
		t.Run(form.file, func(t *testing.T) { checkGoldenFrame(t, form.file, form.newest) })
	}
	fields := new(peerpb.Frame).ProtoReflect().Descriptor().Fields()
	newest := frameForms[len(frameForms)-1].newest
	if got := int(fields.Get(fields.Len() - 1).Number()); got != newest {
		t.Errorf("newest field of a frame is %d, in no golden file", got)
	}
}

func checkGoldenFrame(t *testing.T, file string, newest int) {
	t.Helper()
	var sample peerpb.Frame
	golden.FillProto(&sample)
	golden.KeepFieldsUpTo(&sample, newest)
	encode := proto.MarshalOptions{Deterministic: true}.Marshal
	encoded, err := encode(&sample)
	if err != nil {
		t.Fatal(err)
	}
	var read peerpb.Frame
	if err := proto.Unmarshal(golden.Check(t, file, encoded), &read); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(&sample, &read) {
		t.Errorf("read as %v", &read)
	}
	if len(read.ProtoReflect().GetUnknown()) > 0 {
		t.Error("the frame has fields that are not known here")
	}
}
