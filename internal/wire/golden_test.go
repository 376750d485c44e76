package wire_test

import (
	"testing"

	"fawncove/internal/testkit/golden"
	"fawncove/internal/wire"
)

// TestGoldenForms holds every message and stored value to the bytes that the version in
// production writes, and reads those bytes: both versions serve side by side.
func TestGoldenForms(t *testing.T) {
	t.Run("job record", splitName[wire.JobRecord]("job-record"))
	t.Run("end record", splitName[wire.EndRecord]("end-record"))
	t.Run("lease record", splitName[wire.LeaseRecord]("lease-record"))
	t.Run("controller record", splitName[wire.ControllerRecord]("controller-record"))
	t.Run("operator request", splitName[wire.OperatorRequest]("operator-request"))
	t.Run("envelope", splitName[wire.Envelope]("envelope"))
	t.Run("job", splitName[wire.Job]("job"))
	t.Run("job answer", splitName[wire.JobAnswer]("job-answer"))
	t.Run("error answer", splitName[wire.ErrorAnswer]("error-answer"))
	t.Run("heartbeat", splitName[wire.Heartbeat]("heartbeat"))
	t.Run("heartbeat answer", splitName[wire.HeartbeatAnswer]("heartbeat-answer"))
	t.Run("redirect", splitName[wire.Redirect]("redirect"))
	t.Run("commands", splitName[wire.Commands]("commands"))
	t.Run("machine types", splitName[wire.MachineTypes]("machine-types"))
	t.Run("machine list", splitName[wire.MachineList]("machine-list"))
	t.Run("rental request", splitName[wire.InstanceRequest]("rental-request"))
	t.Run("machine names", splitName[wire.Names]("machine-names"))
	t.Run("transaction", splitName[wire.Txn]("transaction"))
	t.Run("transaction answer", splitName[wire.TxnAnswer]("transaction-answer"))
	t.Run("state page", splitName[wire.Page]("state-page"))
	t.Run("state changes", splitName[wire.Changes]("state-changes"))
}

// splitName returns a test of one type: the sample is encoded as the file has it, and what is
// read from the file is encoded as the file again.
func splitName[T any](name string) func(*testing.T) {
	return func(t *testing.T) {
		var sample T
		golden.Fill(&sample)
		encoded, err := wire.Encode(sample)
		if err != nil {
			t.Fatal(err)
		}
		stored := golden.Check(t, name, encoded)
		var read T
		if err := wire.Decode(stored, &read); err != nil {
			t.Fatalf("decode: %v", err)
		}
		again, err := wire.Encode(read)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, again)
	}
}
