package wire

import (
	"bytes"
	"errors"
	"reflect"
	"testing"
)

// TestEnvelopes: records in an envelope, as earlier versions store them, from the
// future, truncated, and of the wrong kind.
func TestEnvelopes(t *testing.T) {
	rec := JobRecord{Job: Job{ID: "wk-000001", Team: "red", Tasks: 3}, Owner: "n0", SubmittedAtMs: 17}
	env, err := Wrap(rec, 4, 99)
	if err != nil {
		t.Fatal(err)
	}
	wrapped, err := Encode(env)
	if err != nil {
		t.Fatal(err)
	}
	plain, err := Encode(rec)
	if err != nil {
		t.Fatal(err)
	}
	for name, raw := range map[string][]byte{"wrapped": wrapped, "plain": plain} {
		got, err := Unwrap("job", raw)
		var back JobRecord
		if err == nil {
			err = Decode(got.Value, &back)
		}
		if err != nil || !reflect.DeepEqual(back, rec) {
			t.Errorf("%s: %+v, %v", name, back, err)
		}
		if name == "wrapped" && (got.Form != EnvelopeForm || got.Generation != 4 || got.FirstVersion != 99) {
			t.Errorf("%+v", got)
		}
	}
	future, err := Encode(map[string]any{"f": EnvelopeForm + 1, "v": "?"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Unwrap("job", future); !errors.As(err, new(FormError)) {
		t.Errorf("from the future: %v", err)
	}
	number, err := Encode(7)
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range [][]byte{number, wrapped[:len(wrapped)/2], {0x81, 0xa1, 'f', 1}, nil} {
		if got, err := Unwrap("job", raw); err == nil {
			t.Errorf("%x is read as %+v", raw, got)
		}
	}
}

// TestUnknownFieldsAreKept reads values that a newer version has added fields to
// and writes them again: job records, envelopes.
func TestUnknownFieldsAreKept(t *testing.T) {
	for _, v := range []any{JobRecord{Job: Job{ID: "wk-000001"}}, Envelope{Form: 1, Value: []byte{0xc0}}} {
		raw, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		if none, err := UnknownFields(raw, v); err != nil || none != nil {
			t.Fatalf("%T: %v, %v", v, none, err)
		}
		more, err := WithFields(v, Fields{"later": []byte{0x93, 1, 2, 3}})
		if err != nil {
			t.Fatal(err)
		}
		if raw, err = Encode(more); err != nil {
			t.Fatal(err)
		}
		kept, err := UnknownFields(raw, v)
		if err != nil || len(kept) != 1 || !bytes.Equal(kept["later"], []byte{0x93, 1, 2, 3}) {
			t.Errorf("%T: kept %v, %v", v, kept, err)
		}
	}
}

func BenchmarkEnvelope(b *testing.B) {
	rec := JobRecord{Job: Job{ID: "wk-000001", Class: "nightly", Team: "red", Shape: Array, Priority: "standard", Tasks: 30, CPUs: 4, MemoryGB: 8,
		Image: "img-07", ImageGB: 3, Spot: true, EstimateS: 80}, Owner: "n0", Shard: "red #3", SubmittedAtMs: 1772344800000}
	plain, err := Encode(rec)
	if err != nil {
		b.Fatal(err)
	}
	env, err := Wrap(rec, 1, 123456)
	if err != nil {
		b.Fatal(err)
	}
	wrapped, err := Encode(env)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("plain", func(b *testing.B) {
		b.ReportMetric(float64(len(plain)), "bytes")
		for b.Loop() {
			var back JobRecord
			if err := Decode(plain, &back); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("envelope", func(b *testing.B) {
		b.ReportMetric(float64(len(wrapped)), "bytes")
		for b.Loop() {
			e, err := Unwrap("job", wrapped)
			if err != nil {
				b.Fatal(err)
			}
			var back JobRecord
			if err := Decode(e.Value, &back); err != nil {
				b.Fatal(err)
			}
		}
	})
}
