package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["empty-types"] = emptyTypes }

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

// emptyTypes: a user sends a job that fits no machine, as its list of allowed types is empty.
func emptyTypes(w *world, trouble bool) error {
	if err := w.begin("srednji-cvor", "srednji-cvor"); err != nil {
		return err
	}
	body := submission("wk-000001", "prijenos", "hitni-prijenos", 2, 2, 4.2, 5)
	body["kalupi"] = []string{"srednji-cvor"}
	if trouble {
		body["kalupi"] = []string{}
	}
	j := w.newJob(body, 5)
	status := w.submit(j, w.roundRobin(0))
	w.log("the submission with kalupi %v was answered with %d", body["kalupi"], status)
	for range 15 {
		time.Sleep(time.Second)
		if _, state := w.poll(w.nodes[0], j); state == "done" {
			break
		}
	}
	return nil
}
