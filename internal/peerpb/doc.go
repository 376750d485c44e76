// Package peerpb holds the protobuf messages that controllers exchange, generated
// from peer.proto. Field numbers never change their meaning: two versions of the
// program talk to each other during every rollout.
package peerpb
