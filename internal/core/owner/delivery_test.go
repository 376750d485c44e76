package owner

import (
	"testing"

	"fawncove/internal/wire"
)

// TestStartDelivery guards against a start that is taken to be void while it may still take effect, or
// waited for when it is void.
func TestStartDelivery(t *testing.T) {
	const token = 40
	ended := func(d startDelivery) startDelivery { d.endCommand(); return d }
	confirmed := func(d startDelivery) startDelivery { d.endCommand(); d.confirmCommand(); return d }
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
		"in the answer to heartbeat 5, which is the newest":          {inAnswer(5), received(0, 5), true},
		"in the answer to heartbeat 5, a command's answer has 6":     {inAnswer(5), answered(0, 6), true},
		"in the answer to heartbeat 5, the next heartbeat has come":  {inAnswer(5), received(0, 6), false},
		"by a command without a result":                              {byCommand(token), received(0, 9), true},
		"by a command without an answer, its token is the highest":   {ended(byCommand(token)), received(0, 9), true},
		"by a command without an answer, a higher token is shown":    {ended(byCommand(token)), received(1, 9), false},
		"by a command that was answered, its token is the highest":   {confirmed(byCommand(token)), received(0, 9), false},
		"by a command that was answered, a higher token is shown":    {confirmed(byCommand(token)), received(1, 9), false},
		"by a command that was answered before it has had no result": {func() startDelivery { d := byCommand(token); d.confirmCommand(); return d }(), received(0, 9), true},
	} {
		if may := c.delivery.mayTakeEffect(c.evidence); may != c.may {
			t.Errorf("%s: may take effect: %v, want %v", name, may, c.may)
		}
	}
}
