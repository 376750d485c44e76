package simtest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// cloudCall is one of the calls of the cloud's interface.
type cloudCall int

const (
	callTypes cloudCall = iota
	callCreate
	callDelete
	callList
	cloudCalls // how many there are
)

// cloudFault is what goes wrong with one call of the cloud's interface.
type cloudFault struct {
	refusedUntil time.Duration // it is answered "unavailable" until then
	maxDelay     time.Duration // an answer takes up to so much longer: later ones may overtake it
	delayedUntil time.Duration
	only         string // the controller that it concerns; "": all
}

// oneInLateCreates: one in so many requests for machines is carried out late, without an
// answer.
const oneInLateCreates = 30

var machineTypes = []wire.MachineType{
	{Name: "s4", CPUs: 4, MemoryGB: 16, CacheGB: 20, FetchGBPS: 1, Price: 1, SpotPrice: 0.3, BootS: 6, Zones: []string{"x", "y"}},
	{Name: "b8", CPUs: 8, MemoryGB: 32, CacheGB: 20, FetchGBPS: 1, Price: 2, SpotPrice: 0.5, BootS: 8, Zones: []string{"x", "y"}},
}

// simCloud stands in for the cloud.
type simCloud struct {
	w       *World
	count   int
	answers map[string][]string
	outage  time.Duration // it refuses everything until then
	faults  [cloudCalls]cloudFault
}

// RefuseCloud has the cloud refuse one call, of one controller or of all (""), for d.
func (w *World) RefuseCloud(call cloudCall, only string, d time.Duration) {
	fault := &w.cloud.faults[call]
	fault.refusedUntil, fault.only = w.now+d, only
}

// DelayCloud has the answers to one call, of one controller or of all (""), take up to
// most longer, for d.
func (w *World) DelayCloud(call cloudCall, only string, most, d time.Duration) {
	fault := &w.cloud.faults[call]
	fault.maxDelay, fault.delayedUntil, fault.only = most, w.now+d, only
}

// serve returns what answers a call of a controller.
func (c *simCloud) serve(node string, call cloudCall, execute func() eventloop.Completion) func(answer func(eventloop.Completion)) {
	return func(answer func(eventloop.Completion)) {
		fault := &c.faults[call]
		concerned := fault.only == "" || fault.only == node
		if c.w.now < c.outage || (concerned && c.w.now < fault.refusedUntil) {
			answer(eventloop.Completion{Outcome: eventloop.Unavailable})
			return
		}
		if concerned && c.w.now < fault.delayedUntil {
			answerNow := answer
			delay := c.w.within(fault.maxDelay)
			answer = func(d eventloop.Completion) { c.w.after(delay, func() { answerNow(d) }) }
		}
		if call == callCreate && c.w.rng.IntN(oneInLateCreates) == 0 {
			c.w.after(time.Duration(c.w.rng.IntN(20))*time.Second, func() { execute() })
			return
		}
		answer(execute())
	}
}

func (c *simCloud) types() eventloop.Completion {
	return eventloop.Completion{Outcome: eventloop.Succeeded, Types: wire.MachineTypes{Types: machineTypes}}
}

// remove ends machines with all that is on them.
func (c *simCloud) remove(names []string) eventloop.Completion {
	c.w.seeReturned(names)
	for _, name := range names {
		c.w.kill(name)
		delete(c.w.workers, name)
	}
	return eventloop.Completion{Outcome: eventloop.Succeeded}
}

func (c *simCloud) rent(r wire.InstanceRequest) eventloop.Completion {
	if names, ok := c.answers[r.ID]; ok {
		return eventloop.Completion{Outcome: eventloop.Succeeded, Names: names}
	}
	live := 0
	for _, k := range c.w.workers {
		if !k.gone {
			live++
		}
	}
	n := min(r.Count, c.w.most-live)
	if n <= 0 || c.w.rng.IntN(6) == 0 {
		return eventloop.Completion{Outcome: eventloop.Unavailable}
	}
	var names []string
	for range n {
		c.count++
		k := &worker{w: c.w, name: fmt.Sprintf("host-%06d", c.count), endpoint: fmt.Sprintf("worker-host-%06d:9000", c.count),
			kind: r.Type, zone: r.Zone, spot: r.Spot, session: 1, born: c.w.now,
			rate: 1 + (c.w.rng.Float64()-0.5)*0.0005*2, known: map[string]bool{}}
		for _, t := range machineTypes {
			if t.Name == r.Type {
				k.cpus, k.memory = t.CPUs, t.MemoryGB
			}
		}
		if c.w.edge != nil {
			k.endpoint = c.w.edge.Open(k.name)
		}
		names = append(names, k.name)
		c.w.workers[k.name] = k
		boot := time.Duration(3000+c.w.rng.IntN(6000)) * time.Millisecond
		if c.w.rng.IntN(25) == 0 {
			boot = time.Hour // never comes up
		}
		if c.w.night.boot != nil {
			boot = c.w.night.boot(boot)
		}
		c.w.after(boot, k.begin)
	}
	c.answers[r.ID] = names
	return eventloop.Completion{Outcome: eventloop.Succeeded, Names: names}
}

// list shows machines some seconds late.
func (c *simCloud) list() eventloop.Completion {
	lag := time.Duration(c.w.rng.IntN(8000)) * time.Millisecond
	var l wire.MachineList
	for _, name := range slices.Sorted(maps.Keys(c.w.workers)) {
		k := c.w.workers[name]
		age := c.w.now - lag - k.born
		if age < 0 {
			continue
		}
		state := wire.MachineRunning
		switch {
		case k.gone && c.w.now-k.died > 30*time.Second:
			state = wire.MachineFailed
		case !k.up:
			state = wire.MachineBooting
		}
		l.Machines = append(l.Machines, wire.Machine{Name: name, Endpoint: k.endpoint, Type: k.kind, Zone: k.zone,
			Spot: k.spot, State: state, AgeS: age.Seconds()})
	}
	return eventloop.Completion{Outcome: eventloop.Succeeded, Machines: l}
}
