package owner

import "testing"

// TestFailedReadIsRepeated guards against a failed read of the completion log's pages that
// counts as in progress for good, or that makes an unread log count as loaded.
func TestFailedReadIsRepeated(t *testing.T) {
	var reads readState
	for _, loaded := range []bool{false, true} {
		reads.begin()
		if !reads.inProgress() {
			t.Errorf("inProgress after begin = false with loaded = %v, want true", loaded)
		}
		reads.fail()
		if reads.inProgress() || reads.loaded() != loaded {
			t.Errorf("after a failure: inProgress = %v, loaded = %v, want false and %v", reads.inProgress(), reads.loaded(), loaded)
		}
		reads.begin()
		reads.succeed()
		if reads.inProgress() || !reads.loaded() {
			t.Errorf("after success: inProgress = %v, loaded = %v, want false and true", reads.inProgress(), reads.loaded())
		}
	}
}
