package recovery

import (
	"context"
	"fmt"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

const (
	// Key is where the generation of the state is stored.
	Key = "fc/gen"
	// GenerationForm is the newest form of Generation.
	GenerationForm = 1
	// firstGeneration is that of a state that was never recovered: none is stored.
	firstGeneration = 1
)

// Generation is the stored form of the state's generation, which rises with every
// recovery.
type Generation struct {
	Form       int    `msgpack:"f" json:"-"`
	Generation uint64 `msgpack:"gen" json:"generation"`
	// Rebuilding says that this generation has lost data and the next one is not there
	// yet: a process that has just started waits.
	Rebuilding bool `msgpack:"rebuilding" json:"rebuilding"`
	// What is known of the loss: the controller that recovered the state, the highest
	// revision that it had seen, what it found instead, what it stored again, when, and
	// how many machines were to be reconciled then.
	Controller    string        `msgpack:"by" json:"by"`
	RevisionSeen  wire.Revision `msgpack:"lost" json:"revision_seen"`
	RevisionFound wire.Revision `msgpack:"found" json:"revision_found"`
	Jobs          int           `msgpack:"jobs" json:"jobs"`
	Ends          int           `msgpack:"ends" json:"ends"`
	RecoveredAtMs int64         `msgpack:"at_ms" json:"at_ms"`
	TookMs        int64         `msgpack:"took_ms" json:"took_ms"`
	Machines      int           `msgpack:"machines" json:"machines"`
}

// Store is what Read needs of the state service's client.
type Store interface {
	Get(ctx context.Context, key string) (outcome eventloop.Outcome, p wire.Pair, err error)
}

// Read reads the generation of the state. found is false if none is stored: the state was
// never recovered, and no recovery is under way.
func Read(ctx context.Context, s Store) (g Generation, found bool, err error) {
	outcome, p, err := s.Get(ctx, Key)
	switch {
	case outcome == eventloop.NotFound:
		return Generation{Generation: firstGeneration}, false, nil
	case err != nil:
		return g, false, fmt.Errorf("generation: %w", err)
	}
	g, err = Decode(p.Value)
	return g, true, err
}

// Decode decodes a stored generation. It returns a wire.FormError for a form that this
// version does not know.
func Decode(value []byte) (g Generation, err error) {
	err = wire.Decode(value, &g)
	if err == nil && g.Form > GenerationForm {
		err = wire.FormError{What: Key, Form: g.Form}
	}
	return g, err
}
