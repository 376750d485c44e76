//go:build review

package main

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// cloud rents machines.
type cloud struct {
	w        *world
	addr     string
	mu       sync.Mutex
	next     int
	machines map[string]*machine
	requests map[string][]string
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, next: 1, machines: map[string]*machine{}, requests: map[string][]string{}}
	c.addr, _ = serve(c.handler())
	return c
}

func (c *cloud) typeOf(name string) *machineType {
	for i := range c.w.set.types {
		if c.w.set.types[i].name == name {
			return &c.w.set.types[i]
		}
	}
	return nil
}

// rent makes a machine that is up after bootS. With mu held.
func (c *cloud) rent(typ, zone string, spot bool, bootS float64) *machine {
	m := newMachine(c.w, fmt.Sprintf("host-%06d", c.next), typ, zone, spot)
	c.next++
	c.machines[m.name] = m
	m.rentedAt, m.upAt = time.Now(), time.Now().Add(time.Duration(bootS*float64(time.Second)))
	time.AfterFunc(time.Until(m.upAt), m.boot)
	return m
}

// all lists the machines that are there, in name order.
func (c *cloud) all() []*machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*machine
	for _, m := range c.machines {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", func(rw http.ResponseWriter, _ *http.Request) {
		list := []object{}
		for _, t := range c.w.set.types {
			list = append(list, object{"sku": t.name, "vcpus": t.vcpus, "cards": 0.0, "memoryGb": t.memoryGb, "cacheGb": t.cacheGb, "pullGbPerS": t.pullGbPerS,
				"hourly": t.hourly, "lowPrice": t.lowPrice, "readyS": t.readyS, "dvorista": t.zones})
		}
		reply(rw, 200, object{"kalupi": list})
	})
	mux.HandleFunc("POST /machines", func(rw http.ResponseWriter, r *http.Request) {
		var q object
		if err := readBody(r, &q); err != nil {
			reply(rw, 400, object{"error": err.Error()})
			return
		}
		id, typ, zone, spot, n := asText(q["narudzba"]), asText(q["kalup"]), asText(q["dvoriste"]), asBool(q["posudba"]), asInt(q["number"])
		c.mu.Lock()
		names, known := c.requests[id]
		if !known {
			for range n {
				names = append(names, c.rent(typ, zone, spot, c.typeOf(typ).readyS).name)
			}
			if len(names) > 0 {
				c.requests[id] = names
			}
		}
		c.mu.Unlock()
		c.w.log("cloud <- rent %s %s %s spot=%v %d: %v", id, typ, zone, spot, n, names)
		if len(names) == 0 {
			reply(rw, 503, object{"error": "no capacity"})
			return
		}
		reply(rw, 200, object{"strojevi": names})
	})
	mux.HandleFunc("POST /machines/release", func(rw http.ResponseWriter, r *http.Request) {
		var q struct {
			Names []string `msgpack:"strojevi"`
		}
		if err := readBody(r, &q); err != nil {
			reply(rw, 400, object{"error": err.Error()})
			return
		}
		c.w.log("cloud <- release %v", q.Names)
		c.mu.Lock()
		var gone []*machine
		for _, n := range q.Names {
			if m := c.machines[n]; m != nil {
				gone = append(gone, m)
				delete(c.machines, n)
			}
		}
		c.mu.Unlock()
		for _, m := range gone {
			m.end()
		}
		reply(rw, 200, object{})
	})
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, r *http.Request) {
		after := r.URL.Query().Get("after")
		most, _ := strconv.Atoi(r.URL.Query().Get("most"))
		list := []object{}
		more := false
		for _, m := range c.all() {
			if m.name <= after {
				continue
			}
			if most > 0 && len(list) >= most {
				more = true
				break
			}
			state, addr := m.listed()
			list = append(list, object{"uid": m.name, "endpoint": addr, "kalup": m.typ, "dvoriste": m.zone, "posudba": m.spot, "stanje": state, "heldS": time.Since(m.rentedAt).Seconds()})
		}
		reply(rw, 200, object{"strojevi": list, "more": more})
	})
	return mux
}
