package simtest

import (
	"fmt"
	"testing"
	"time"

	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/wire"
)

// oddRequest is a request that a user should not make, and how it is answered by who
// is sure: by a status and, for 200, a state.
type oddRequest struct {
	ev     eventloop.Event
	code   eventloop.ReplyCode
	state  string
	always bool // who knows nothing is as sure of it
}

// oddRequests lists them, beside jobs wk-000001, which runs, wk-000002, which is done,
// and wk-000003, which is cancelled. wk-000009 was never accepted.
func oddRequests(t *testing.T) map[string]oddRequest {
	t.Helper()
	submit := func(id string, change map[string]any) eventloop.Event {
		body := map[string]any{"uid": id, "vrstaPosla": "c", "vlasnik": "red", "oblik": "array", "hitnost": "urgent", "komadi": 2,
			"vcpus": 1.0, "cards": 0.0, "memoryGb": 2.0, "otisak": "img-1", "pullGb": 1.0, "samePlace": false, "scatter": false,
			"posudba": true, "procjenaS": 8.0, "biljegS": 0.0, "spremanjeS": 0.0}
		for k, v := range change {
			if v == nil {
				delete(body, k)
			} else {
				body[k] = v
			}
		}
		raw, err := wire.Encode(body)
		if err != nil {
			t.Fatal(err)
		}
		job, err := wire.ParseJob(raw)
		return eventloop.SubmitRequest{Job: job, Err: err}
	}
	const running, done, cancelled, nobodys = "wk-000001", "wk-000002", "wk-000003", "wk-000009"
	list := map[string]oddRequest{
		"submission without an id":           {submit(nobodys, map[string]any{"uid": nil}), eventloop.ReplyInvalid, "", true},
		"submission with an id of its own":   {submit(nobodys, map[string]any{"uid": "job-9"}), eventloop.ReplyInvalid, "", true},
		"submission of no map":               {eventloop.SubmitRequest{Err: fmt.Errorf("not a map with text keys")}, eventloop.ReplyInvalid, "", true},
		"cancellation of an impossible id":   {eventloop.CancelRequest{ID: "job-9"}, eventloop.ReplyNotFound, "", true},
		"question for an impossible id":      {eventloop.QueryRequest{ID: "wk-9"}, eventloop.ReplyNotFound, "", true},
		"cancellation of what nobody sent":   {eventloop.CancelRequest{ID: nobodys}, eventloop.ReplyNotFound, "", false},
		"question for what nobody sent":      {eventloop.QueryRequest{ID: nobodys}, eventloop.ReplyNotFound, "", false},
		"cancellation of what is done":       {eventloop.CancelRequest{ID: done}, eventloop.ReplyOK, wire.Done, false},
		"cancellation once more":             {eventloop.CancelRequest{ID: cancelled}, eventloop.ReplyOK, wire.Cancelled, false},
		"a count that is a text":             {submit(nobodys, map[string]any{"komadi": "2"}), eventloop.ReplyInvalid, "", false},
		"no tasks":                           {submit(nobodys, map[string]any{"komadi": 0}), eventloop.ReplyInvalid, "", false},
		"too many tasks":                     {submit(nobodys, map[string]any{"komadi": wire.MaxTasks + 1}), eventloop.ReplyInvalid, "", false},
		"a shape that does not exist":        {submit(nobodys, map[string]any{"oblik": "ring"}), eventloop.ReplyInvalid, "", false},
		"a team that does not exist":         {submit(nobodys, map[string]any{"vlasnik": "nobody"}), eventloop.ReplyUnprocessable, "", false},
		"no team":                            {submit(nobodys, map[string]any{"vlasnik": ""}), eventloop.ReplyUnprocessable, "", false},
		"more processors than any machine":   {submit(nobodys, map[string]any{"vcpus": 8.5}), eventloop.ReplyUnprocessable, "", false},
		"more memory than any machine":       {submit(nobodys, map[string]any{"memoryGb": 33.0}), eventloop.ReplyUnprocessable, "", false},
		"cards that no machine has":          {submit(nobodys, map[string]any{"cards": 1.0}), eventloop.ReplyUnprocessable, "", false},
		"more than the allowed type has":     {submit(nobodys, map[string]any{"kalupi": []string{"s4"}, "vcpus": 5.0}), eventloop.ReplyUnprocessable, "", false},
		"a type that does not exist":         {submit(nobodys, map[string]any{"kalupi": []string{"g8"}}), eventloop.ReplyUnprocessable, "", false},
		"a zone that does not exist":         {submit(nobodys, map[string]any{"dvoriste": "z"}), eventloop.ReplyUnprocessable, "", false},
		"a service over its team's limit":    {submit(nobodys, map[string]any{"oblik": "daemon", "komadi": 13}), eventloop.ReplyUnprocessable, "", false},
		"a gang over its team's limit":       {submit(nobodys, map[string]any{"oblik": "group", "komadi": 13}), eventloop.ReplyUnprocessable, "", false},
		"the id of a job that runs, as is":   {submit(running, nil), eventloop.ReplyOK, wire.Running, false},
		"the id of a job that runs, changed": {submit(running, map[string]any{"komadi": 7, "vlasnik": "blue"}), eventloop.ReplyOK, wire.Running, false},
		"the id of a job that runs, 422":     {submit(running, map[string]any{"vlasnik": "nobody"}), eventloop.ReplyOK, wire.Running, false},
		"the id of a job that runs, 400":     {submit(running, map[string]any{"komadi": 0}), eventloop.ReplyOK, wire.Running, false},
		"the id of a job that is done":       {submit(done, map[string]any{"komadi": 7}), eventloop.ReplyOK, wire.Done, false},
		"the id of a done job, 422":          {submit(done, map[string]any{"vcpus": 99.0}), eventloop.ReplyOK, wire.Done, false},
		"the id of a done job, 400":          {submit(done, map[string]any{"posudba": "yes"}), eventloop.ReplyOK, wire.Done, false},
		"the id of a job that is cancelled":  {submit(cancelled, map[string]any{"komadi": 7}), eventloop.ReplyOK, wire.Cancelled, false},
		"the id of a cancelled job, 400":     {submit(cancelled, map[string]any{"otisak": 5}), eventloop.ReplyOK, wire.Cancelled, false},
		"the id of a cancelled job, 422":     {submit(cancelled, map[string]any{"dvoriste": "z"}), eventloop.ReplyOK, wire.Cancelled, false},
	}
	for _, field := range []string{"vrstaPosla", "vlasnik", "oblik", "hitnost", "komadi", "vcpus", "cards", "memoryGb", "otisak", "pullGb",
		"samePlace", "scatter", "posudba", "procjenaS", "biljegS", "spremanjeS"} {
		list["submission without "+field] = oddRequest{submit(nobodys, map[string]any{field: nil}), eventloop.ReplyInvalid, "", false}
		list["the id of a job that runs without "+field] = oddRequest{submit(running, map[string]any{field: nil}), eventloop.ReplyOK, wire.Running, false}
	}
	return list
}

const (
	together    = 1500 * time.Millisecond // all odd requests in one moment
	stateSilent = 4 * time.Second         // without it, until the state service is known to be out of reach
)

// TestOddRequests makes each odd request at each controller: in ordinary times, while
// the state service refuses all, at one that is cut off, and at one that has just
// started, again and again until it has read everything. The answer is the right one,
// or 503 with when to come back, at once; nothing of it is accepted or lost.
func TestOddRequests(t *testing.T) {
	list := oddRequests(t)
	for at := range 3 {
		w := New(1)
		job := func(i int, shape wire.Shape) *user {
			return w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "red", Shape: shape, Priority: "urgent", Tasks: 1, CPUs: 1,
				MemoryGB: 2, Image: "a", ImageGB: 1, Spot: true})
		}
		run, done, cancelled := job(1, wire.Daemon), job(2, wire.Array), job(3, wire.Daemon)
		for _, u := range []*user{run, done, cancelled} {
			w.after(3*time.Second, u.submit)
		}
		w.after(25*time.Second, func() { cancelled.wantsCancel = true; cancelled.cancel() })
		for w.now < 3*time.Minute && (run.running == 0 || done.told == "" || cancelled.told == "") {
			w.Run(time.Second)
		}
		w.Run(5 * time.Second)
		if run.running != 1 || done.told != wire.Done || cancelled.told != wire.Cancelled {
			t.Fatalf("after %v: %d tasks run, told %q and %q", w.now, run.running, done.told, cancelled.told)
		}
		n, records := w.nodes[at], len(w.store.values)
		answers := map[string]map[eventloop.ReplyCode]int{}
		// ask makes all requests. Who is sure has to give the right answer, all others
		// that or 503, within so long: they come together, and a check takes a few.
		ask := func(phase string, sure bool, within time.Duration) {
			if answers[phase] == nil {
				answers[phase] = map[eventloop.ReplyCode]int{}
			}
			for _, name := range cluster.SortedKeys(list) {
				x := list[name]
				asked := w.now
				n.ask(func(req uint64) eventloop.Event { return withReq(x.ev, req) }, func(r eventloop.Reply) {
					answers[phase][r.Code]++
					a, _ := r.Body.(wire.JobAnswer)
					right := r.Code == x.code && a.State == x.state
					if !right && (r.Code != eventloop.ReplyUnavailable || x.always || sure) {
						t.Errorf("%s, %s, at %s: answered %s %v, want %s %s", phase, name, n.name, r.Code, r.Body, x.code, x.state)
					}
					if (r.Code == eventloop.ReplyUnavailable && r.RetryAfter == 0) || w.now-asked > within {
						t.Errorf("%s, %s, at %s: answered after %v, to come back after %d s", phase, name, n.name, w.now-asked, r.RetryAfter)
					}
				})
			}
		}
		all := func(phase string, want int) {
			got := 0
			for _, n := range answers[phase] {
				got += n
			}
			if got != want*len(list) {
				t.Errorf("%s, at %s: %d of %d requests were answered", phase, n.name, got, want*len(list))
			}
		}
		ask("ordinary times", true, together)
		w.Run(2 * time.Second)
		all("ordinary times", 1)
		w.Outage(9*time.Second, "")
		ask("outage", false, together)
		for range 2 { // known to be out of reach
			w.Run(stateSilent)
			ask("outage", false, 10*time.Millisecond)
		}
		w.Run(20 * time.Second)
		all("outage", 3)
		w.Isolate(at, 10*time.Second)
		w.Run(cluster.WatchHold + stateSilent + time.Second)
		ask("cut off", false, 10*time.Millisecond)
		w.Run(20 * time.Second)
		all("cut off", 1)
		w.Crash(at, 300*time.Millisecond)
		w.Run(300 * time.Millisecond)
		for range 6 { // begins to read, reads, has read
			w.Run(20 * time.Millisecond)
			ask("just started", false, together)
		}
		w.Run(10 * time.Second)
		all("just started", 6)
		ask("read", true, together)
		w.Run(2 * time.Second)
		w.complain(t)
		for key := range w.store.values {
			if key == "fc/j/wk-000009" || key == "fc/t/wk-000009" {
				t.Errorf("%s is stored", key)
			}
		}
		if run.running != 1 || w.store.puts["fc/j/wk-000001"] != 1 || len(w.store.values) < records-1 {
			t.Errorf("%d tasks run, the record is stored %d times, %d records of %d", run.running, w.store.puts["fc/j/wk-000001"], len(w.store.values), records)
		}
		t.Logf("at %s: answers by status %v", n.name, answers)
	}
}
