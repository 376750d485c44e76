package wire

// The numbers that name something in the cluster have types of their own, so that one of them
// cannot be passed where another is meant. Stored values and messages carry them as plain
// unsigned integers.

// FencingToken orders the messages to a worker. A worker ignores commands with a token below
// the highest that it has seen. A token is made of the grant of a block lease and a counter
// within it, see package blocklease.
type FencingToken uint64
