package owner

import (
	"testing"

	"fawncove/internal/wire"
)

// TestStartDelivery guards against a start that is taken to be void while it may still take effect, or
// waited for when it is void.
func TestStartDelivery(t *testing.T) {
	const token = 40
	received := func(shown, sequence uint64) startEvidence {
		return startEvidence{shownToken: token + wire.FencingToken(shown), sequence: sequence, source: heartbeatReceived}
	}
	answered := func(shown, sequence uint64) startEvidence {
		return startEvidence{shownToken: token + wire.FencingToken(shown), sequence: sequence, source: statusInAnswer}
	}
	for name, c := range map[string]struct {
		delivery startDelivery
		evidence startEvidence
		may      bool
	}{
		"not sent": {startDelivery{}, received(0, 9), false},
		"in the answer to heartbeat 5, which is the newest":         {inAnswer(5, token), received(0, 5), true},
		"in the answer to heartbeat 5, a command's answer has 6":    {inAnswer(5, token), answered(0, 6), true},
		"in the answer to heartbeat 5, the next heartbeat has come": {inAnswer(5, token), received(0, 6), false},
		"in the answer to heartbeat 5, a higher token is shown":     {inAnswer(5, token), received(1, 5), false},
		"by a command, its token is the highest":                    {byCommand(token), received(0, 9), true},
		"by a command, an answer to one shows its token":            {byCommand(token), answered(0, 9), true},
		"by a command, a higher token is shown":                     {byCommand(token), received(1, 9), false},
		"by a command, an answer to one shows a higher token":       {byCommand(token), answered(1, 9), false},
	} {
		if may := c.delivery.mayTakeEffect(c.evidence); may != c.may {
			t.Errorf("%s: may take effect: %v, want %v", name, may, c.may)
		}
	}
}
