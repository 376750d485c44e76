package wire_test

import (
	"testing"

	"fawncove/internal/testkit/golden"
	"fawncove/internal/wire"
)

// TestGoldenForms holds every message and stored value to the bytes that the version in
// production writes, and reads those bytes: both versions serve side by side.
func TestGoldenForms(t *testing.T) {
	t.Run("job record", golden.RoundTrip[wire.JobRecord]("job-record"))
	t.Run("end record", golden.RoundTrip[wire.EndRecord]("end-record"))
	t.Run("cancellation record", golden.RoundTrip[wire.CancellationRecord]("cancellation-record"))
	t.Run("lease record", golden.RoundTrip[wire.LeaseRecord]("lease-record"))
	t.Run("controller record", golden.RoundTrip[wire.ControllerRecord]("controller-record"))
	t.Run("operator request", golden.RoundTrip[wire.OperatorRequest]("operator-request"))
	t.Run("envelope", golden.RoundTrip[wire.Envelope]("envelope"))
	t.Run("job", golden.RoundTrip[wire.Job]("job"))
	t.Run("job answer", golden.RoundTrip[wire.JobAnswer]("job-answer"))
	t.Run("error answer", golden.RoundTrip[wire.ErrorAnswer]("error-answer"))
	t.Run("heartbeat", golden.RoundTrip[wire.Heartbeat]("heartbeat"))
	t.Run("heartbeat answer", golden.RoundTrip[wire.HeartbeatAnswer]("heartbeat-answer"))
	t.Run("redirect", golden.RoundTrip[wire.Redirect]("redirect"))
	t.Run("commands", golden.RoundTrip[wire.Commands]("commands"))
	t.Run("machine types", golden.RoundTrip[wire.MachineTypes]("machine-types"))
	t.Run("machine list", golden.RoundTrip[wire.MachineList]("machine-list"))
	t.Run("rental request", golden.RoundTrip[wire.InstanceRequest]("rental-request"))
	t.Run("machine names", golden.RoundTrip[wire.Names]("machine-names"))
	t.Run("transaction", golden.RoundTrip[wire.Txn]("transaction"))
	t.Run("transaction answer", golden.RoundTrip[wire.TxnAnswer]("transaction-answer"))
	t.Run("state page", golden.RoundTrip[wire.Page]("state-page"))
	t.Run("state changes", golden.RoundTrip[wire.Changes]("state-changes"))
}
