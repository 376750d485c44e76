package drill

import (
	"strings"
	"testing"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/testkit/simtest"
	"fawncove/internal/wire"
)

// TestContradictionIsAFailure: an answer that broke a rule is an error that names the controller
// and the answer, among whatever others; right answers and 503 are none.
func TestContradictionIsAFailure(t *testing.T) {
	fine := []answered{
		{time.Millisecond, simtest.ServiceAnswer{Code: eventloop.ReplyUnavailable}},
		{time.Second, simtest.ServiceAnswer{Code: eventloop.ReplyOK, State: wire.Cancelled}},
	}
	if err := contradiction("wk-003000", "n0", map[string][]answered{"n0": fine, "n1": fine, "n2": nil}); err != nil {
		t.Errorf("no contradiction: %v", err)
	}
	wrong := answered{20 * time.Millisecond, simtest.ServiceAnswer{Code: eventloop.ReplyOK, State: wire.Running, Contradiction: "older answer"}}
	err := contradiction("wk-003000", "n0", map[string][]answered{"n0": fine, "n1": fine, "n2": append([]answered{wrong}, fine...)})
	if err == nil || !strings.Contains(err.Error(), "n2 contradicted that 1 times, from 20ms to 20ms after it, first with 200 running (older answer)") {
		t.Errorf("a contradiction: %v", err)
	}
}
