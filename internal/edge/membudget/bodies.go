package membudget

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"fawncove/internal/wire"
)

const (
	// smallBody is up to which size bodies are read without a budget: with the buffers of
	// its connection that is little, and sockets are limited.
	smallBody = 4 << 10
	// readCost is how much memory reading takes for each byte of a body: buffers grow.
	readCost = 3
	// readWait is how long a body waits until there is room to read it. With the time that
	// requests may take it is less than workers wait for an answer.
	readWait = 300 * time.Millisecond
)

// ErrNoRoom reports that there was no memory for a body in time; it may be sent again.
var ErrNoRoom = errors.New("no memory for a body")

// Bodies bounds the memory that bodies of one origin take at once, while they are read and while
// what they were decoded into is needed. The two have budgets of their own and are taken in this
// order, so that none waits for one that waits for it.
type Bodies struct {
	reading, decoded *Budget
}

// NewBodies returns a bound of so many bytes in all; 0 means no limit.
func NewBodies(bytes int64) *Bodies {
	return &Bodies{reading: New(bytes / 2), decoded: New(bytes / 2)}
}

// Read reads a body. announced is its length as far as it is known, negative if it is not, and
// most the largest that r gives. release frees the memory and must be called once. The error is
// ErrNoRoom, or that of r.
func (b *Bodies) Read(ctx context.Context, r io.Reader, announced, most int64) (body []byte, release func(), err error) {
	if announced < 0 || announced > most {
		announced = most
	}
	release = func() {}
	if announced > smallBody {
		waiting, cancel := context.WithTimeout(ctx, readWait)
		defer cancel()
		if release, err = b.reading.Acquire(waiting, readCost*int(announced)); err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrNoRoom, err)
		}
	}
	if body, err = io.ReadAll(r); err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}

// ToDecode waits until there is room for what a body is decoded into. release frees that and
// must be called once. The error is ErrNoRoom. A body that must not be decoded needs no room:
// whoever tries to decode it says what is wrong.
func (b *Bodies) ToDecode(ctx context.Context, body []byte) (release func(), err error) {
	cost, _ := wire.Cost(body)
	if release, err = b.decoded.Acquire(ctx, cost); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNoRoom, err)
	}
	return release, nil
}

// Refused returns for how many bodies there was no room in time.
func (b *Bodies) Refused() int { return b.reading.Refused() + b.decoded.Refused() }
