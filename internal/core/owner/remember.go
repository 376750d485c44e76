package owner

import (
	"encoding/base64"
	"maps"

	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// What an owner knows beside the state service, for when that has lost data.

// Token is the highest token that any worker has shown here.
func (o *Owner) Token() uint64 { return o.highestToken }

// Records are what is to be stored for all jobs that are known and not over. Each
// counts as older than any home, so that whoever owns it looks at the machines
// first; a record without an envelope cannot say so.
func (o *Owner) Records() map[string]any {
	out := make(map[string]any, len(o.jobs))
	for id, j := range o.jobs {
		if j.Ended {
			continue
		}
		rec, err := wire.WithFields(j.Record, j.Record.Unknown)
		if err == nil && o.view.FeatureOpen(feature.Envelope) {
			rec, err = wire.Wrap(rec, o.view.Lease.Generation, 1)
		}
		if err != nil {
			o.log.Error("job record", "job", id, "err", err)
			continue
		}
		out[id] = rec
	}
	return out
}

// CompletedTasks are the completed tasks of jobs that are not over, by entry of a page.
func (o *Owner) CompletedTasks() map[string][]byte {
	out := maps.Clone(o.completedByEntry)
	for id, j := range o.jobs {
		if j.Ended || j.done == nil {
			continue
		}
		for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
			key := entryKey(id, i)
			if raw := MergeCompleted(out[key], j.completedBits(i/tasksPerEntry)); len(raw) > 0 {
				out[key] = raw
			}
		}
	}
	return out
}

// ParsePage takes a page's entries apart.
func (o *Owner) ParsePage(key string, value []byte) (map[string][]byte, error) {
	_, entries, err := o.openPage(key, value)
	if err != nil {
		return nil, err
	}
	out := make(map[string][]byte, len(entries))
	for entry, text := range entries {
		if raw, err := base64.RawStdEncoding.DecodeString(text); err == nil {
			out[entry] = raw
		}
	}
	return out, nil
}

// PageValue is what is to be stored for a page of these entries.
func (o *Owner) PageValue(entries map[string]string) any {
	value, _ := o.pageValue(&page{}, entries)
	return value
}

// PageBytes is about how much a page should hold.
func (o *Owner) PageBytes() int { return int(pageFill * 1024 * o.view.Settings.Cluster.State.ValueKB) }
