//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machine is a rented machine with its worker.
type machine struct {
	w         *world
	name, typ string
	zone      string
	spot      bool
	rentedAt  time.Time
	upAt      time.Time

	mu       sync.Mutex
	up, gone bool
	addr     string
	stopHTTP func()
	done     chan struct{}
	session  uint64
	seq      uint64
	token    uint64
	at       int // index of the controller it reports to
	leaseTo  time.Time
	tasks    map[string]*task // by name and attempt
	images   map[string]time.Time
	changed  chan struct{}
	hc       *http.Client

	hung    bool
	resumed chan struct{} // closed when it goes on
}

// task is one attempt on a machine.
type task struct {
	name    string
	attempt uint64
	state   string
	why     string
	job     *job
	index   int
	on      bool // it is on its machine: it has its image and has not ended
	stop    chan struct{}
}

func key(name string, attempt uint64) string { return name + "#" + strconv.FormatUint(attempt, 10) }

func newMachine(w *world, name, typ, zone string, spot bool) *machine {
	return &machine{w: w, name: name, typ: typ, zone: zone, spot: spot, done: make(chan struct{}), session: 1, tasks: map[string]*task{},
		images: map[string]time.Time{}, changed: make(chan struct{}, 1),
		hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

func (m *machine) listed() (state, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return "failed", m.addr
	}
	if !m.up {
		return "booting", m.addr
	}
	return "running", m.addr
}

// boot starts the worker.
func (m *machine) boot() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		return
	}
	m.up = true
	m.leaseTo = time.Now().Add(m.lease())
	m.addr, m.stopHTTP = serve(m.handler())
	n := 0
	_, _ = fmt.Sscanf(m.name, "host-%d", &n)
	m.at = n % m.w.set.controllers
	m.mu.Unlock()
	m.w.log("%s is up (%s, %s, spot=%v)", m.name, m.typ, m.zone, m.spot)
	go m.report()
	go m.expire()
}

func (m *machine) lease() time.Duration { return time.Duration(m.w.set.leaseS * float64(time.Second)) }

// end takes the machine away with all that is on it.
func (m *machine) end() {
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		return
	}
	m.gone = true
	close(m.done)
	m.killAll("the machine is gone")
	stop := m.stopHTTP
	m.mu.Unlock()
	if stop != nil {
		go stop()
	}
	m.w.log("%s is gone", m.name)
}

// killAll ends all tasks. With mu held.
func (m *machine) killAll(why string) {
	for k, t := range m.tasks {
		m.off(t, why)
		delete(m.tasks, k)
	}
}

// off takes a task off its machine. With mu held.
func (m *machine) off(t *task, why string) {
	if t.stop != nil {
		close(t.stop)
		t.stop = nil
	}
	if t.on {
		t.on = false
		m.w.takeOff(m, t, why)
	}
}

// expire ends sessions whose lease has ended.
func (m *machine) expire() {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		m.mu.Lock()
		if !m.hung && time.Now().After(m.leaseTo) {
			m.w.log("%s: lease of session %d ended, %d tasks killed", m.name, m.session, len(m.tasks))
			m.killAll("lease ended")
			m.session++
			m.leaseTo = time.Now().Add(m.lease())
			m.note()
		}
		m.mu.Unlock()
	}
}

// note has a report go out soon. With mu held.
func (m *machine) note() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// status returns the worker's report. With mu held.
func (m *machine) status() object {
	m.seq++
	list := []object{}
	for _, t := range m.tasks {
		o := object{"komad": t.name, "pokusaj": t.attempt, "stanje": t.state}
		if t.why != "" {
			o["razlog"] = t.why
		}
		list = append(list, o)
	}
	return object{"stroj": m.name, "endpoint": m.addr, "kalup": m.typ, "dvoriste": m.zone, "posudba": m.spot, "smjena": m.session, "redni": m.seq, "palica": m.token, "najavaS": nil, "komadi": list}
}

// report sends the worker's reports.
func (m *machine) report() {
	interval := time.Duration(m.w.set.reportS * float64(time.Second))
	last := time.Time{}
	for {
		if wait := 500*time.Millisecond - time.Since(last); wait > 0 {
			m.sleep(wait)
		}
		m.awaitResume()
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		select {
		case <-m.changed:
		default:
		}
		nd, body, session := m.w.nodes[m.at], m.status(), m.session
		m.mu.Unlock()
		last = time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, out, _ := call(ctx, m.hc, "POST", "http://"+nd.clients+"/checkin", body)
		cancel()
		m.awaitResume()
		if time.Since(last) > 4*time.Second {
			status, out = 0, nil // a response that comes later is dropped
		}
		m.mu.Lock()
		pause := time.Duration(0)
		switch {
		case m.session != session:
		case status == 200:
			token := asUint(out["palica"])
			if token >= m.token && out["palica"] != nil {
				if token > m.token {
					m.token = token
					m.note()
				}
				m.leaseTo = last.Add(m.lease())
				m.execute(commandsOf(out["naredbe"]), "answer")
			} else {
				m.w.log("%s drops an answer of %s with token %d, has seen %d", m.name, nd.name, token, m.token)
			}
			pause = interval - time.Since(last)
		case status == 421 && m.indexOf(asText(out["javiSe"])) >= 0 && m.indexOf(asText(out["javiSe"])) != m.at:
			m.at = m.indexOf(asText(out["javiSe"]))
		default:
			m.at = (m.at + 1) % m.w.set.controllers
			pause = time.Second
			m.mu.Unlock()
			m.sleep(pause)
			continue
		}
		m.mu.Unlock()
		if pause > 0 {
			select {
			case <-m.changed:
			case <-time.After(pause):
			case <-m.done:
				return
			}
		}
	}
}

func (m *machine) indexOf(name string) int {
	for i, nd := range m.w.nodes {
		if nd.name == name {
			return i
		}
	}
	return -1
}

func (m *machine) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-m.done:
	}
}

// awaitResume waits while the machine hangs.
func (m *machine) awaitResume() {
	for {
		m.mu.Lock()
		hung, ch := m.hung, m.resumed
		m.mu.Unlock()
		if !hung {
			return
		}
		select {
		case <-ch:
		case <-m.done:
			return
		}
	}
}

func (m *machine) hang(on bool) {
	m.w.log("%s hangs: %v", m.name, on)
	m.mu.Lock()
	defer m.mu.Unlock()
	if on {
		m.hung, m.resumed = true, make(chan struct{})
	} else if m.hung {
		m.hung = false
		close(m.resumed)
	}
}

func commandsOf(v any) []object {
	var out []object
	list, _ := v.([]any)
	for _, c := range list {
		if o, ok := c.(object); ok {
			out = append(out, o)
		}
	}
	return out
}

// execute carries commands out. With mu held.
func (m *machine) execute(list []object, way string) {
	for _, c := range list {
		name, attempt := asText(c["komad"]), asUint(c["pokusaj"])
		t := m.tasks[key(name, attempt)]
		switch asText(c["radnja"]) {
		case "start":
			if t != nil {
				continue
			}
			m.w.log("%s <- start %s attempt %d (%s)", m.name, name, attempt, way)
			m.begin(name, attempt)
			m.note()
		case "halt":
			m.w.log("%s <- halt %s attempt %d (%s)", m.name, name, attempt, way)
			if t != nil && t.state != "ended" {
				m.finish(t, "stopped")
			}
		case "forget":
			if t != nil && t.state == "ended" {
				delete(m.tasks, key(name, attempt))
			}
		}
	}
}

// begin starts a task. With mu held.
func (m *machine) begin(name string, attempt uint64) {
	id, number, _ := strings.Cut(name, "/")
	index, _ := strconv.Atoi(number)
	m.w.mu.Lock()
	j := m.w.jobs[id]
	m.w.mu.Unlock()
	t := &task{name: name, attempt: attempt, job: j, index: index, state: "fetching", stop: make(chan struct{})}
	m.tasks[key(name, attempt)] = t
	if j == nil || index >= j.tasks {
		m.finish(t, "unknown")
		return
	}
	need, mem := asFloat(j.body["vcpus"]), asFloat(j.body["memoryGb"])
	typ := m.w.cloud.typeOf(m.typ)
	free, freeMem := typ.vcpus, typ.memoryGb
	for _, o := range m.tasks {
		if o == t || o.state == "ended" {
			continue
		}
		if o.name == name {
			m.finish(t, "in_use")
			return
		}
		free -= asFloat(o.job.body["vcpus"])
		freeMem -= asFloat(o.job.body["memoryGb"])
	}
	if need > free+1e-6 || mem > freeMem+1e-6 {
		m.finish(t, "no_room")
		return
	}
	image := asText(j.body["otisak"])
	ready, cached := m.images[image]
	if !cached {
		ready = time.Now().Add(time.Duration(asFloat(j.body["pullGb"]) / typ.pullGbPerS * float64(time.Second)))
		m.images[image] = ready
	}
	go m.play(t, time.Until(ready), t.stop)
}

// play runs a task.
func (m *machine) play(t *task, fetch time.Duration, stop chan struct{}) {
	if !m.spend(fetch, stop) {
		return
	}
	m.mu.Lock()
	if t.state != "fetching" || m.tasks[key(t.name, t.attempt)] != t {
		m.mu.Unlock()
		return
	}
	t.on, t.state = true, "running"
	m.w.putOn(m, t)
	m.w.mu.Lock()
	completed := t.job.completed[t.index]
	m.w.mu.Unlock()
	if completed {
		m.finish(t, "done")
		m.mu.Unlock()
		return
	}
	m.note()
	m.mu.Unlock()
	if !m.spend(time.Duration(t.job.runS*float64(time.Second)), stop) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.state != "running" || m.tasks[key(t.name, t.attempt)] != t {
		return
	}
	m.w.mu.Lock()
	t.job.completed[t.index] = true
	m.w.mu.Unlock()
	m.finish(t, "done")
}

// spend lets time pass in which the machine does not hang; false: the task was stopped.
func (m *machine) spend(d time.Duration, stop chan struct{}) bool {
	const step = 50 * time.Millisecond
	for d > 0 {
		select {
		case <-stop:
			return false
		case <-m.done:
			return false
		case <-time.After(min(step, d)):
		}
		m.mu.Lock()
		if !m.hung {
			d -= step
		}
		m.mu.Unlock()
	}
	m.awaitResume()
	select {
	case <-stop:
		return false
	default:
		return true
	}
}

// finish ends a task, which stays listed. With mu held.
func (m *machine) finish(t *task, why string) {
	m.off(t, why)
	t.state, t.why = "ended", why
	m.w.log("%s: %s attempt %d ended (%s)", m.name, t.name, t.attempt, why)
	m.note()
}

func (m *machine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", func(rw http.ResponseWriter, r *http.Request) {
		var body object
		if err := readBody(r, &body); err != nil || body["palica"] == nil || body["smjena"] == nil {
			reply(rw, 400, object{"error": "palica, smjena"})
			return
		}
		m.awaitResume()
		m.mu.Lock()
		if m.gone {
			m.mu.Unlock()
			return
		}
		status := 200
		if asUint(body["palica"]) < m.token || asUint(body["smjena"]) != m.session {
			status = 409
		} else {
			if asUint(body["palica"]) > m.token {
				m.token = asUint(body["palica"])
				m.note()
			}
			m.execute(commandsOf(body["naredbe"]), "command")
		}
		out := m.status()
		m.mu.Unlock()
		reply(rw, status, out)
	})
	mux.HandleFunc("GET /status", func(rw http.ResponseWriter, _ *http.Request) {
		m.awaitResume()
		m.mu.Lock()
		out := m.status()
		m.mu.Unlock()
		reply(rw, 200, out)
	})
	return mux
}
