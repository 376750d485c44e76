package owner

import (
	"encoding/base64"
	"maps"

	"fawncove/internal/core/feature"
	"fawncove/internal/wire"
)

// A snapshot is what an owner knows of jobs, to be stored again if the state service has
// lost data.

// olderThanAnyPartition is a first version of a record that makes every owner read what is
// stored of the job, and look at the machines, before it starts a task of it.
const olderThanAnyPartition = 1

// Records returns what is to be stored for all jobs that are known and have not ended, by id.
// Each counts as older than any partition, so that its owner looks at the machines first; a
// record without an envelope cannot say so.
func (o *Owner) Records() map[string]any {
	records := make(map[string]any, len(o.jobs))
	for id, j := range o.jobs {
		if j.Ended {
			continue
		}
		rec, err := wire.WithFields(j.Record, j.Record.Unknown)
		if err == nil && o.view.FeatureOpen(feature.Envelope) {
			rec, err = wire.Wrap(rec, o.view.Lease.Generation, olderThanAnyPartition)
		}
		if err != nil {
			o.log.Error("cannot encode job record", "job", id, "err", err)
			continue
		}
		records[id] = rec
	}
	return records
}

// StoredRecord returns a job's record as the state service has it.
func (o *Owner) StoredRecord(j *Job) (any, error) {
	rec, err := wire.WithFields(j.Record, j.Record.Unknown)
	if err != nil || j.envelopeForm == 0 {
		return rec, err
	}
	first := j.firstVersion
	if first == j.Version {
		first = 0
	}
	return wire.Wrap(rec, o.view.Lease.Generation, first)
}

// CompletedTasks returns the completed tasks of jobs that have not ended, by entry of a page.
func (o *Owner) CompletedTasks() map[string][]byte {
	completed := maps.Clone(o.completions.completed)
	for id, j := range o.jobs {
		if j.Ended || j.done == nil {
			continue
		}
		for i := 0; i < j.Record.Tasks; i += tasksPerEntry {
			entry := entryKey(id, i)
			if raw := MergeCompleted(completed[entry], j.completedBits(i/tasksPerEntry)); len(raw) > 0 {
				completed[entry] = raw
			}
		}
	}
	return completed
}

// ParsePage returns the completed tasks that a page says, by entry. It leaves out entries
// that cannot be read.
func (o *Owner) ParsePage(key string, value []byte) (map[string][]byte, error) {
	_, entries, err := o.openPage(key, value)
	if err != nil {
		return nil, err
	}
	completed := make(map[string][]byte, len(entries))
	for entry, text := range entries {
		if raw, err := base64.RawStdEncoding.DecodeString(text); err == nil {
			completed[entry] = raw
		}
	}
	return completed, nil
}

// PageValue returns what is to be stored for a page of these entries.
func (o *Owner) PageValue(entries map[string]string) any {
	value, _ := o.pageValue(&page{}, entries)
	return value
}
