package protocost_test

import (
	"errors"
	"runtime"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"fawncove/internal/artefacts/artefact/artefactpb"
	"fawncove/internal/peerpb"
	"fawncove/internal/protocost"
)

// memoryPerByte and memoryAllowance bound the memory that decoding may take: with a frame of
// 1 MiB, a quarter of that of the smallest deployment.
const (
	memoryPerByte   = 32
	memoryAllowance = 512 << 10
)

// messages are those that come from outside.
var messages = map[string]func() proto.Message{
	"frame":   func() proto.Message { return new(peerpb.Frame) },
	"renewal": func() proto.Message { return new(peerpb.Renewal) },
	"batch":   func() proto.Message { return new(artefactpb.Batch) },
	"ids":     func() proto.Message { return new(artefactpb.IDs) },
	"output":  func() proto.Message { return new(artefactpb.Output) },
}

// checkMemory reports messages that take more memory than their length allows.
func checkMemory(t *testing.T, raw []byte) {
	t.Helper()
	for name, empty := range messages {
		var before, after runtime.MemStats
		m := empty()
		runtime.ReadMemStats(&before)
		_ = protocost.Unmarshal(raw, m)
		runtime.ReadMemStats(&after)
		took := after.TotalAlloc - before.TotalAlloc
		if most := uint64(memoryPerByte*len(raw) + memoryAllowance); took > most {
			t.Errorf("%s: %d bytes (%.20x) take %d bytes of memory, at most %d allowed", name, len(raw), raw, took, most)
		}
	}
}

// TestEmptyElementsTakeLittleMemory guards against frames of other controllers and records of
// writers that consist of empty elements, each of which takes a whole struct in memory.
func TestEmptyElementsTakeLittleMemory(t *testing.T) {
	const size = 256 << 10
	for field := 1; field <= 39; field++ {
		tag := []byte{byte(field)<<3 | 2, 0}
		if field > 15 {
			tag = []byte{byte(field)<<3 | 0x82, byte(field >> 4), 0}
		}
		repeated := strings.Repeat(string(tag), size/len(tag))
		checkMemory(t, []byte(repeated))
		// The same one level down, in a renewal.
		checkMemory(t, append([]byte{4<<3 | 2, byte(len(repeated))&0x7f | 0x80, byte(len(repeated)>>7)&0x7f | 0x80, byte(len(repeated) >> 14)}, repeated...))
	}
	many := strings.Repeat("\x2a\x00", size/2)
	if err := protocost.Unmarshal([]byte(many), new(peerpb.Frame)); !errors.Is(err, protocost.ErrTooCostly) {
		t.Errorf("half a million empty jobs: %v, want %v", err, protocost.ErrTooCostly)
	}
}

// TestFullFramesAreRead guards against a bound that refuses what controllers send: the largest
// lists, of 4,000 machines and as many jobs, changes and teams.
func TestFullFramesAreRead(t *testing.T) {
	f := &peerpb.Frame{Renewal: &peerpb.Renewal{}}
	for range 4_000 {
		f.KnownMachines = append(f.KnownMachines, &peerpb.MachineInfo{Name: "h-1"})
		f.Progress = append(f.Progress, &peerpb.JobProgress{Id: "wk-000001"})
		f.RecentChanges = append(f.RecentChanges, &peerpb.RecentChange{Revision: 7, Keys: 9})
		f.Teams = append(f.Teams, &peerpb.TeamUse{Team: "t1", Cpus: 1})
		f.Renewal.MachineUse = append(f.Renewal.MachineUse, &peerpb.MachineUse{Name: "h-1"})
		f.Renewal.Demand = append(f.Renewal.Demand, &peerpb.Demand{Rank: 1, Cpus: 1})
		f.Renewal.Handovers = append(f.Renewal.Handovers, "t1")
		f.Renewal.Reservations = append(f.Renewal.Reservations, &peerpb.QuotaReservation{Team: "t1", Cpus: 1})
	}
	raw, err := proto.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	back := new(peerpb.Frame)
	if err := protocost.Unmarshal(raw, back); err != nil || !proto.Equal(f, back) {
		t.Errorf("a frame of %d bytes: %v", len(raw), err)
	}
}

// FuzzUnmarshal looks for messages that take more memory than their length allows.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte("\x2a\x00\x2a\x00"))
	f.Add([]byte("\x22\x06\x52\x00\x52\x00\x52\x00"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) <= 1<<20 {
			checkMemory(t, raw)
		}
	})
}
