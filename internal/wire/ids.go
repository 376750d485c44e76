package wire

// The numbers that name something in the cluster have types of their own, so that one of them
// cannot be passed where another is meant. Stored values and messages carry them as plain
// unsigned integers.

// FencingToken orders the messages to a worker. A worker ignores commands with a token below
// the highest that it has seen. A token is made of the grant of a block lease and a counter
// within it, see Grant.Token.
type FencingToken uint64

// Revision counts the changes of the state service. The version of a key is the revision of
// its last change; 0 says that the key is absent, or that nothing is known.
type Revision uint64

// Term numbers the leaderships: it rises with every leader. The grants of a term lie above
// those of earlier ones.
type Term uint64

// Incarnation tells a controller's process from earlier ones of the same name, and a process
// that has lost its block from what it was before. It only ever rises.
type Incarnation uint64

// Grant is the number under which a controller holds its block. It rises with every holder
// and every process of a holder: no two grants of any blocks are equal.
type Grant uint64

const (
	// grantBits is how many bits of a grant count within a term.
	grantBits = 16
	// counterBits is how many bits of a token or an attempt count within a grant.
	counterBits = 24
)

// FirstGrant returns the lowest grant of a term.
func FirstGrant(term Term) Grant { return Grant(term << grantBits) }

// Term returns the term in which the grant was given.
func (g Grant) Term() Term { return Term(g >> grantBits) }

// Token returns the token of the grant with this increment.
func (g Grant) Token(increment uint64) FencingToken { return FencingToken(g.number(increment)) }

// Attempt returns the number of the attempt that is the nth under the grant.
func (g Grant) Attempt(n uint64) uint64 { return g.number(n) }

// number returns a number that no other grant makes of any counter.
func (g Grant) number(counter uint64) uint64 { return uint64(g)<<counterBits + counter }

// Grant returns the grant that the token was made of.
func (t FencingToken) Grant() Grant { return Grant(t >> counterBits) }

// Increment returns by how much the token lies above the first of its grant.
func (t FencingToken) Increment() uint64 { return uint64(t) & (1<<counterBits - 1) }
