package simtest

import (
	"encoding/json"

	"fawncove/internal/wire"
)

// loweredLimits are what a state service takes from some moment on, less than its settings
// say. Writes beyond that are refused as they stand.
type loweredLimits struct {
	txnOps, valueBytes int
	count              int // writes refused
	refused            map[writeName]writeSize
}

// writeName tells the writes of one kind apart: of one process, to one key.
type writeName struct {
	node string
	life int
	key  string
}

// writeSize is what limits bound in a transaction.
type writeSize struct{ conditions, changes, valueBytes int }

// atLeast reports whether a write is as large as another in every way.
func (s writeSize) atLeast(o writeSize) bool {
	return s.conditions >= o.conditions && s.changes >= o.changes && s.valueBytes >= o.valueBytes
}

// refuses reports whether a transaction is refused. One that was refused before and is no
// smaller now breaks a rule.
func (l *loweredLimits) refuses(w *World, n *simNode, t wire.Txn) bool {
	if l == nil {
		return false
	}
	size := writeSize{conditions: len(t.If), changes: len(t.Then)}
	name := writeName{node: n.name, life: n.life}
	for _, op := range t.Then {
		if name.key == "" {
			name.key = op.Put + op.Delete
		}
		size.valueBytes = max(size.valueBytes, jsonBytes(op.Value))
	}
	if size.changes <= l.txnOps && size.conditions <= 4*l.txnOps && size.valueBytes <= l.valueBytes {
		return false
	}
	l.count++
	if before, ok := l.refused[name]; ok && size.atLeast(before) {
		w.breakRule("%s sends what was refused again: %s, %+v after %+v", n.name, name.key, size, before)
	}
	l.refused[name] = size
	return true
}

// jsonBytes returns the size of a value as limits count it.
func jsonBytes(value any) int {
	encoded, err := wire.Encode(value)
	if err != nil {
		panic(err)
	}
	var plain any
	if err := wire.Decode(encoded, &plain); err != nil {
		panic(err)
	}
	text, err := json.Marshal(plain)
	if err != nil {
		panic(err)
	}
	return len(text)
}
