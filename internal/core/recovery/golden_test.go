package recovery

import (
	"testing"

	"fawncove/internal/testkit/golden"
	"fawncove/internal/wire"
)

// TestGoldenForms holds the stored generation and the view that controllers exchange
// while they recover to the bytes that the version in production writes.
func TestGoldenForms(t *testing.T) {
	t.Run("generation", form[Generation]("generation"))
	t.Run("view", form[View]("view"))
}

func form[T any](name string) func(*testing.T) {
	return func(t *testing.T) {
		var sample T
		golden.Fill(&sample)
		encoded, err := wire.Encode(sample)
		if err != nil {
			t.Fatal(err)
		}
		var read T
		if err := wire.Decode(golden.Check(t, name, encoded), &read); err != nil {
			t.Fatal(err)
		}
		again, err := wire.Encode(read)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, name, again)
	}
}
