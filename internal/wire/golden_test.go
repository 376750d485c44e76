package wire_test

import (
	"testing"

	"fawncove/internal/testkit/golden"
	"fawncove/internal/wire"
)

// TestGoldenForms holds every message and stored value to the bytes that the version in
// production writes, and reads those bytes: both versions serve side by side.
func TestGoldenForms(t *testing.T) {
	t.Run("job record", form[wire.JobRecord]("job-record"))
	t.Run("end record", form[wire.EndRecord]("end-record"))
	t.Run("lease record", form[wire.LeaseRecord]("lease-record"))
	t.Run("controller record", form[wire.ControllerRecord]("controller-record"))
	t.Run("operator request", form[wire.OperatorRequest]("operator-request"))
	t.Run("envelope", form[wire.Envelope]("envelope"))
	t.Run("job", form[wire.Job]("job"))
	t.Run("job answer", form[wire.JobAnswer]("job-answer"))
	t.Run("error answer", form[wire.ErrorAnswer]("error-answer"))
	t.Run("heartbeat", form[wire.Heartbeat]("heartbeat"))
	t.Run("heartbeat answer", form[wire.HeartbeatAnswer]("heartbeat-answer"))
	t.Run("redirect", form[wire.Redirect]("redirect"))
	t.Run("commands", form[wire.Commands]("commands"))
	t.Run("machine types", form[wire.MachineTypes]("machine-types"))
	t.Run("machine list", form[wire.MachineList]("machine-list"))
	t.Run("rental request", form[wire.InstanceRequest]("rental-request"))
	t.Run("machine names", form[wire.Names]("machine-names"))
	t.Run("transaction", form[wire.Txn]("transaction"))
	t.Run("transaction answer", form[wire.TxnAnswer]("transaction-answer"))
	t.Run("state page", form[wire.Page]("state-page"))
	t.Run("state changes", form[wire.Changes]("state-changes"))
}

// form returns a test of one type: the sample is encoded as the file has it, and what is
// read from the file is encoded as the file again.
func form[T any](name string) func(*testing.T) {
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
