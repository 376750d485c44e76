package simtest

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/eventloop"
	"fawncove/internal/core/leasevalue"
	"fawncove/internal/wire"
)

// Leaders that go, alone or all together, fleets that are full, and the first seconds
// of a cut: lines of the operators' page that no other test brings about by name.

// runOut plays on until all jobs are over, at least until cancel_s after the troubles and
// for at most so long.
func (w *World) runOut(most time.Duration) {
	end := w.now + most
	if w.night.calmAt != never {
		w.Run(max(0, w.night.calmAt+config.Seconds(w.cfg.Workers.CancelS)-w.now))
	}
	for w.now < end && len(w.Unfinished()) > 0 && len(w.broken) == 0 {
		w.Run(5 * time.Second)
	}
}

// judgeServed fails the test with the rules that are broken, with what was not served, and
// with jobs that aren't over or were said to be over too late.
func (w *World) judgeServed(t *testing.T) {
	t.Helper()
	w.complain(t)
	for _, x := range w.Unserved() {
		t.Error(x)
	}
	if left := w.Unfinished(); len(left) > 0 {
		t.Errorf("%8.3f not over: %v", w.now.Seconds(), left)
	}
	for _, x := range w.saidLate() {
		t.Error(x)
	}
}

// TestAllControllersAway has all controllers end, or stand still, and come back shortly
// before the workers' leases are over, shortly after, and after cancel_s, all at once or
// one after the other, while some machines hang. Jobs are cancelled just before; all jobs are asked for at every
// controller, again and again, as it comes back. A worker that heard of nobody for
// longer than its lease has begun another session by then, and what ran there is lost.
func TestAllControllersAway(t *testing.T) {
	const from = 50 * time.Second
	lease, cancel := 14*time.Second, 39*time.Second
	for i, away := range []time.Duration{lease - 1500*time.Millisecond, lease + 1500*time.Millisecond, cancel + 3*time.Second} {
		for k, freeze := range []bool{false, true} {
			for l, apart := range []time.Duration{0, 3 * time.Second} {
				t.Run(fmt.Sprintf("%v, freeze %v, %v apart", away, freeze, apart), func(t *testing.T) {
					t.Parallel()
					w := newMeeting(*first + uint64(4*i+2*k+l))
					for j := range 20 {
						u := w.SubmitNight(j, w.within(from-5*time.Second))
						if u.job.Tasks = min(u.job.Tasks, 12); j%2 == 0 { // some outlast the absence
							u.job.Tasks, u.apart = min(u.job.Tasks, 5), 15*time.Second
						}
					}
					sessions := map[string]uint64{}
					w.after(from-2*time.Second, func() { w.cancelSome(30, 2*time.Second) })
					w.after(from, func() {
						for _, k := range w.byName() {
							if k.up && !k.gone {
								sessions[k.name] = k.session
							}
						}
						for j := range w.nodes {
							back := away + time.Duration(j)*apart
							if freeze {
								w.Freeze(j, back)
							} else {
								w.Crash(j, back)
							}
							for ask := range 5 {
								w.after(back+time.Duration(ask)*400*time.Millisecond, func() { w.askAll(j) })
							}
						}
					})
					if apart > 0 { // some machines hang as the first controllers come back
						w.after(from+away-3*time.Second, func() {
							w.some(40, func(k *worker) {
								k.hang = w.now + 5*time.Second + w.within(6*time.Second)
								delete(sessions, k.name)
							})
						})
					}
					w.night.looks = map[eventloop.ReplyCode]int{}
					w.night.calmAt = from + away + apart*time.Duration(len(w.nodes)) + 3*lease
					w.Run(from + away)
					over := 0
					for _, k := range w.byName() {
						if s, up := sessions[k.name]; up && k.session > s {
							over++
						}
					}
					if away > lease+time.Second && (len(sessions) == 0 || over < len(sessions)) {
						t.Errorf("the sessions of %d machines of %d are over", over, len(sessions))
					}
					w.runOut(150 * time.Second)
					w.judgeServed(t)
					t.Logf("%d of %d sessions over, %d starts, %d completions, answers %v", over, len(sessions), w.Starts, w.Dones, w.night.looks)
				})
			}
		}
	}
}

// askAll has the users of all accepted jobs ask at controller i.
func (w *World) askAll(i int) {
	for _, id := range cluster.SortedKeys(w.users) {
		if u := w.users[id]; u.accepted {
			u.askOf(w.nodes[i], eventloop.QueryRequest{ID: id})
		}
	}
}

// TestLeadersChange takes the lead from whoever has it some ten times in two minutes, a
// moment after it has begun to lead: it ends, stands still or is refused by the state
// service, also while that is away for all in the middle of it. Users submit, ask and
// cancel throughout.
func TestLeadersChange(t *testing.T) {
	const from, span = 40 * time.Second, 125 * time.Second
	kinds := []string{"ends", "stands still", "is refused", "any"}
	for i, kind := range kinds {
		for k, outage := range []time.Duration{0, 50 * time.Second} {
			t.Run(fmt.Sprintf("%s, outage %v", kind, outage), func(t *testing.T) {
				t.Parallel()
				w := newMeeting(*first + uint64(2*i+k))
				for j := range 40 {
					u := w.SubmitNight(j, w.within(from+span))
					u.job.Tasks = min(u.job.Tasks, 10)
				}
				w.Run(from)
				before := w.term()
				var strike func()
				strike = func() {
					if w.now >= from+span {
						return
					}
					at, led, struck := w.leading(), w.term(), w.now
					switch does := kind; {
					case does == "any" && w.rng.IntN(3) == 0, does == "ends":
						w.Crash(at, []time.Duration{w.within(time.Second), 13*time.Second + w.within(9*time.Second)}[w.rng.IntN(2)])
					case does == "any" && w.rng.IntN(2) == 0, does == "stands still":
						w.Freeze(at, 11500*time.Millisecond+w.within(2*time.Second))
					default:
						w.Outage(11500*time.Millisecond+w.within(2*time.Second), w.nodes[at].name)
					}
					w.cancelSome(8, 12*time.Second)
					var again func()
					again = func() {
						if w.now < struck+20*time.Second && (w.term() == led || w.now < struck+10*time.Second) {
							w.after(100*time.Millisecond, again)
							return
						}
						w.after(w.within(2*time.Second), strike)
					}
					again()
				}
				w.after(0, strike)
				if outage > 0 {
					w.after(span/3+w.within(12*time.Second), func() { w.Outage(outage, "") })
				}
				w.night.calmAt = from + span + 14*time.Second + 42*time.Second
				w.Run(span)
				changes := w.term() - before
				if changes < 7 && outage == 0 {
					t.Errorf("the leader changed %d times", changes)
				}
				w.runOut(150 * time.Second)
				w.judgeServed(t)
				t.Logf("%d controllers, %d changes of leader, %d starts, %d completions", len(w.nodes), changes, w.Starts, w.Dones)
			})
		}
	}
}

// term is that of the stored lease value; each leader has its own.
func (w *World) term() int {
	var v struct {
		Term int `msgpack:"term"`
	}
	if err := wire.Decode(w.store.values[leasevalue.Key].data, &v); err != nil {
		w.breakRule("lease value: %v", err)
	}
	return v.Term
}

// TestMoreWorkThanRoom fills a small fleet with work of all priorities, all limited
// teams at their limits, while every message and every answer, the state service's too, is up to a
// second late.
func TestMoreWorkThanRoom(t *testing.T) {
	t.Parallel()
	w := build(*first, 3, 10, cluster.Defaults(), config.Cluster{
		InitialSize: 3, Zones: []string{"x", "y"}, ClockErrorMs: 100,
		Teams:   []config.Team{{Name: "red", CPUs: 8, CPUsMax: 16}, {Name: "blue", CPUs: 12, CPUsMax: 24}, {Name: "free"}},
		Workers: config.Workers{ReportS: 2.5, LeaseS: 14, CancelS: 39},
		State:   config.State{RPS: 150, WriteRPS: 50, ValueKB: 8, TxnOps: 12},
		Cloud:   config.Cloud{RPS: 5, ListLagS: 6},
	})
	w.night.links, w.night.slow, w.night.answersSlow = time.Second, 500*time.Millisecond, map[string]time.Duration{}
	for _, n := range w.nodes {
		w.night.answersSlow[n.name] = 500 * time.Millisecond
	}
	const span = 7 * time.Minute
	for j := range 130 {
		u := w.SubmitNight(j, w.within(span))
		u.job.Priority = []string{"urgent", "standard", "idle", "production"}[j%4]
		u.job.Class = u.job.Priority
		if u.job.Tasks = min(u.job.Tasks, 20); j%10 == 2 { // a machine for each of its tasks
			u.job.Tasks, u.job.CPUs, u.job.Team, u.job.Priority, u.job.Class = 25, 8, "free", "idle", "idle"
		}
	}
	most, full, looks := map[string]float64{}, 0, 0
	var look func()
	look = func() {
		for team, used := range w.used {
			most[team] = max(most[team], used)
		}
		waits := 0
		for _, u := range w.users {
			if u.accepted && u.told == "" && u.begunAt == 0 {
				waits++
			}
		}
		if looks++; waits > 0 {
			full++
		}
		if w.now < span {
			w.after(time.Second, look)
		}
	}
	w.after(time.Minute, look)
	w.Run(span)
	w.runOut(20 * time.Minute)
	w.judgeServed(t)
	if most["red"] < 15 || most["blue"] < 22 || 2*full < looks {
		t.Errorf("most used by teams %v, jobs waited in %d of %d seconds: there was room", most, full, looks)
	}
	t.Logf("%d starts, %d completions, most used %v, jobs waited in %d of %d s", w.Starts, w.Dones, most, full, looks)
}

// TestFirstSecondsOfACut has 30 users submit, ask and cancel at a controller in the first
// 4 s after the state service has stopped answering it, or refuses it, or all. Each is
// answered in time, or told in time to come back.
func TestFirstSecondsOfACut(t *testing.T) {
	for name, cut := range map[string]func(w *World){
		"no answers, cut from all": func(w *World) { w.Isolate(0, 30*time.Second) },
		"refused alone":            func(w *World) { w.Outage(30*time.Second, w.nodes[0].name) },
		"refused, all":             func(w *World) { w.Outage(30*time.Second, "") },
	} {
		for _, slow := range []time.Duration{0, 900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, slow by %v", name, slow), func(t *testing.T) {
				t.Parallel()
				w := newMeeting(*first)
				job := func(i int) *user {
					return w.newUser(wire.Job{ID: fmt.Sprintf("wk-%06d", i), Class: "c", Team: "free", Shape: wire.Array, Priority: "urgent",
						Tasks: 2, CPUs: 1, MemoryGB: 1, Image: "a", ImageGB: 1, Spot: true, EstimateS: 8})
				}
				var known, new []*user
				for i := range 20 {
					u := job(i)
					u.apart = 10 * time.Minute // is not over before the cut
					w.after(20*time.Second+time.Duration(i)*200*time.Millisecond, u.submit)
					known = append(known, u)
				}
				for i := 20; i < 30; i++ {
					new = append(new, job(i))
				}
				w.Run(40 * time.Second)
				w.night.slow = slow
				w.Run(5 * time.Second)
				cut(w)
				n, waits := w.nodes[0], map[string][]time.Duration{}
				ask := func(u *user, ev eventloop.Event, within time.Duration) {
					asked, told := w.now, false
					then := u.judged(n, ev, func(r eventloop.Reply) {
						told = true
						waits[kindOf(ev)] = append(waits[kindOf(ev)], w.now-asked)
						if late := w.now - asked; late > within || (r.Code == eventloop.ReplyUnavailable && r.RetryAfter == 0) {
							w.breakRule("%s of %s, asked at %.3f, gets %s from %s after %v, Retry-After %d", kindOf(ev), u.job.ID,
								asked.Seconds(), r.Code, n.name, late, r.RetryAfter)
						}
						if a, ok := r.Body.(wire.JobAnswer); ok && r.Code.Success() {
							u.hear(a.State)
						}
					})
					n.ask(func(req uint64) eventloop.Event { return withReq(ev, req) }, then)
					w.after(within, func() {
						if !told {
							w.breakRule("%s of %s, asked at %.3f, has no answer from %s after %v", kindOf(ev), u.job.ID, asked.Seconds(), n.name, within)
						}
					})
				}
				for i, u := range slices.Concat(known, new) {
					for range 3 {
						w.after(w.within(4*time.Second), func() {
							switch {
							case i >= len(known):
								u.submitted = true
								ask(u, eventloop.SubmitRequest{Job: u.job}, 5*time.Second)
							case i%2 == 0:
								u.wantsCancel = true
								ask(u, eventloop.CancelRequest{ID: u.job.ID}, 5*time.Second)
							default:
								ask(u, eventloop.QueryRequest{ID: u.job.ID}, 4*time.Second)
							}
						})
					}
				}
				w.Run(12 * time.Second)
				w.complain(t)
				for _, kind := range cluster.SortedKeys(waits) {
					t.Logf("%s: %d answers, the slowest after %v", kind, len(waits[kind]), slices.Max(waits[kind]))
				}
				if len(waits) != 3 {
					t.Errorf("answered were %v", waits)
				}
			})
		}
	}
}
