//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// begin starts the controllers, with some machines up: spot machines, or "on-demand TYPE".
func (w *world) begin(machines ...string) error {
	if err := w.startNodes(); err != nil {
		return err
	}
	w.cloud.mu.Lock()
	for i, typ := range machines {
		name, onDemand := strings.CutPrefix(typ, "on-demand ")
		w.cloud.rent(name, w.set.zones[i%len(w.set.zones)], !onDemand, 0.5)
	}
	w.cloud.mu.Unlock()
	if !w.awaitHealthy(30 * time.Second) {
		return fmt.Errorf("the controllers are not healthy")
	}
	return nil
}
