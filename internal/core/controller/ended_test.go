package controller

import (
	"fmt"
	"testing"

	"fawncove/internal/wire"
)

// TestEndedJobsAreBounded guards against a memory that grows with every job, and against an
// end that replaces the one that users were answered.
func TestEndedJobsAreBounded(t *testing.T) {
	ended := newEndedJobs()
	id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
	for i := range maxEndedJobs + 3 {
		ended.add(id(i), wire.EndRecord{State: wire.Done}, 0)
		ended.add(id(i), wire.EndRecord{State: wire.Cancelled}, 0)
	}
	if len(ended.records) != maxEndedJobs || len(ended.order) != maxEndedJobs {
		t.Errorf("%d ends in memory, %d in order", len(ended.records), len(ended.order))
	}
	if _, ok := ended.get(id(2)); ok {
		t.Error("the oldest end is not forgotten")
	}
	if end, ok := ended.get(id(3)); !ok || end.State != wire.Done {
		t.Errorf("the first end does not stay: %+v, %v", end, ok)
	}
}
