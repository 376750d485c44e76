package wire

import (
	"bytes"
	"math"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func submission() map[string]any {
	return map[string]any{
		"uid": "wk-000412", "vrstaPosla": "train", "vlasnik": "vision", "oblik": "array", "hitnost": "urgent",
		"komadi": 16, "vcpus": 8.0, "cards": 1.0, "memoryGb": 64.0, "otisak": "img-07", "pullGb": 6.2,
		"kalupi": []string{"g8"}, "dvoriste": nil, "samePlace": true, "scatter": false, "posudba": true,
		"procjenaS": 240.0, "biljegS": 30.0, "spremanjeS": 4.0, "rokS": 900.0, "later": "ignored",
	}
}

func pack(t *testing.T, v any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParseJob(t *testing.T) {
	j, err := ParseJob(pack(t, submission()))
	if err != nil {
		t.Fatal(err)
	}
	if j.ID != "wk-000412" || j.Tasks != 16 || j.Rank() != 1 || j.Zone != "" || *j.DeadlineS != 900 || j.Types[0] != "g8" {
		t.Errorf("parsed %+v", j)
	}
	for _, c := range []struct {
		field string
		value any
	}{
		{"uid", "job-1"}, {"uid", "wk-12x456"}, {"uid", 7}, {"uid", nil}, {"vrstaPosla", 1}, {"vlasnik", nil},
		{"oblik", "ring"}, {"hitnost", "high"}, {"komadi", 0}, {"komadi", 100_001}, {"komadi", -1}, {"komadi", 4.0},
		{"komadi", "4"}, {"vcpus", -1.0}, {"vcpus", math.NaN()}, {"vcpus", "8"}, {"memoryGb", math.Inf(1)},
		{"cards", nil}, {"kalupi", "g8"}, {"kalupi", []any{1}}, {"dvoriste", 3}, {"dvoriste", ""}, {"samePlace", nil},
		{"scatter", 0}, {"posudba", "true"}, {"procjenaS", -0.1}, {"biljegS", nil}, {"spremanjeS", []byte{1}}, {"rokS", "soon"},
	} {
		m := submission()
		m[c.field] = c.value
		j, err := ParseJob(pack(t, m))
		if err == nil {
			t.Errorf("%s = %v is accepted", c.field, c.value)
		}
		// A known id is answered whatever else the body says.
		if c.field != "uid" && j.ID != "wk-000412" {
			t.Errorf("%s = %v: id lost", c.field, c.value)
		}
	}
	for name, m := range map[string]any{"zone": "dvoriste", "types": "kalupi", "deadline": "rokS"} {
		s := submission()
		delete(s, m.(string))
		if _, err := ParseJob(pack(t, s)); err != nil {
			t.Errorf("without %s: %v", name, err)
		}
	}
	for _, body := range [][]byte{nil, {0xc1}, []byte("hello"), pack(t, 5), pack(t, []int{1}), pack(t, map[int]int{1: 2}),
		pack(t, submission())[:40], append(pack(t, submission()), 1), bytes.Repeat([]byte{0x91}, 60_000)} {
		if _, err := ParseJob(body); err == nil {
			t.Errorf("body of %d bytes is accepted", len(body))
		}
	}
}

// TestRecords stores a job and its lease value and reads them back.
func TestRecords(t *testing.T) {
	j, err := ParseJob(pack(t, submission()))
	if err != nil {
		t.Fatal(err)
	}
	in := JobRecord{Job: j, Owner: "n1", SubmittedAtMs: 12}
	b, err := Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	var out JobRecord
	if err := Decode(b, &out); err != nil || out.ID != in.ID || out.Owner != "n1" || *out.DeadlineS != 900 || out.Types[0] != "g8" {
		t.Errorf("%+v, %v", out, err)
	}
	if err := Decode(append(b, 0), &out); err == nil {
		t.Error("bytes after the message are accepted")
	}
}

// TestLooseNumbers reads numbers as other encoders write them.
func TestLooseNumbers(t *testing.T) {
	var m Machine
	if err := Decode(pack(t, map[string]any{"uid": "host-000001", "heldS": 4, "posudba": nil}), &m); err != nil || m.AgeS != 4 {
		t.Errorf("%+v, %v", m, err)
	}
	var r Heartbeat
	if err := Decode(pack(t, map[string]any{"stroj": "host-000001", "smjena": uint8(3), "redni": int64(9), "najavaS": 5}), &r); err != nil || r.AgentEpoch != 3 || *r.NoticeS != 5 {
		t.Errorf("%+v, %v", r, err)
	}
}

// TestPutsHaveAValue: what is put has its value on the wire, however empty it is; a
// strict service refuses it otherwise, and nobody could read what is stored.
func TestPutsHaveAValue(t *testing.T) {
	for _, v := range []any{map[string]string{}, map[string]string{"a": "b"}, "", 0, struct{}{}, []int{}} {
		raw, err := Encode(Txn{Then: []Op{{Put: "a/b", Value: v}, {Delete: "a/c"}}})
		if err != nil {
			t.Fatal(err)
		}
		var got struct {
			Then []map[string]msgpack.RawMessage `msgpack:"apply"`
		}
		if err := Decode(raw, &got); err != nil {
			t.Fatal(err)
		}
		want, err := Encode(v)
		if err != nil {
			t.Fatal(err)
		}
		if put := got.Then[0]; len(put) != 2 || !bytes.Equal(put["data"], want) || IsAbsent(put["data"]) {
			t.Errorf("put of %#v: %v", v, put)
		}
		if del := got.Then[1]; len(del) != 1 || len(del["drop"]) == 0 {
			t.Errorf("delete: %v", del)
		}
	}
}
