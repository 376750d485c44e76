package recovery

import (
	"testing"

	"fawncove/internal/testkit/golden"
)

// TestGoldenForms holds the stored generation and the view that controllers exchange
// while they recover to the bytes that the version in production writes.
func TestGoldenForms(t *testing.T) {
	t.Run("generation", golden.RoundTrip[Generation]("generation"))
	t.Run("view", golden.RoundTrip[View]("view"))
}
