//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

func init() {
	cases["cancel-away"] = cancelAway
	cases["cancel-outage"] = cancelOutage
	cases["cancel-leaders"] = cancelLeaders
	deployments["cancel-outage"] = nightRuns()
}

// nightRuns are the settings of the deployment vuon-xanh.
func nightRuns() settings {
	zones := []string{"hanoi", "danang", "saigon", "cantho"}
	return settings{controllers: 3, zones: zones, reportS: 3, leaseS: 32, cancelS: 62,
		rps: 150, writeRPS: 50, valueKB: 8, txnOps: 40, cloudRPS: 5, listLagS: 10, cores: 0.24, ramMB: 179, sockets: 3000,
		teams: []team{{"van-hanh", 0, 0}},
		types: []machineType{
			{"may-nho", 8, 64, 0.39, 0.09, 30, 60, 0.5, zones},
			{"may-lon", 32, 128, 1.28, 0.3, 50, 100, 0.5, zones}}}
}

// startJob submits a job and waits until all its tasks are on machines.
func (w *world) startJob(j *job) error {
	if s := w.submit(j, w.roundRobin(0)); s != 200 && s != 201 {
		return fmt.Errorf("the submission was answered with %d", s)
	}
	for countOn(j) < j.tasks {
		if time.Since(w.start) > 40*time.Second {
			return fmt.Errorf("%d tasks of %s are on machines", countOn(j), j.id)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

// killAll ends all controllers and starts them again after a time.
func (w *world) killAll(away time.Duration) {
	var all sync.WaitGroup
	for _, nd := range w.nodes {
		all.Go(nd.kill)
	}
	all.Wait()
	time.Sleep(away)
	for _, nd := range w.nodes {
		if err := nd.run(); err != nil {
			w.log("%s: %v", nd.name, err)
		}
	}
}

// cancelAway: a machine hangs for 40 s, the job on it is cancelled, and then all controllers are
// away for 25 s, which is longer than lease_s. The task has to be gone cancel_s after its user was
// told.
func cancelAway(w *world, trouble bool) error {
	if err := w.begin("on-demand srednji-cvor", "on-demand srednji-cvor"); err != nil {
		return err
	}
	j, err := w.startCancelled("prijenos", "provjera-zahtjeva")
	if err != nil {
		return err
	}
	if hangs(trouble) {
		w.hangFor(j, 40*time.Second)
	}
	if err := w.told200(j); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if meets(trouble) {
		w.killAll(25 * time.Second)
	}
	w.awaitGone(j, 15)
	return nil
}

// cancelOutage: a machine hangs, the job on it is cancelled, and then the state service is out
// for longer than cancel_s. The task has to be gone cancel_s after its user was told.
func cancelOutage(w *world, trouble bool) error {
	if err := w.begin("on-demand may-nho", "on-demand may-nho"); err != nil {
		return err
	}
	j, err := w.startCancelled("van-hanh", "gia-dem")
	if err != nil {
		return err
	}
	if hangs(trouble) {
		w.hangFor(j, 70*time.Second)
	}
	if err := w.told200(j); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	if meets(trouble) {
		w.state.setOutage(true)
		time.AfterFunc(time.Duration((w.set.cancelS+4)*float64(time.Second)), func() { w.state.setOutage(false) })
	}
	w.awaitGone(j, 15)
	return nil
}

// cancelLeaders: a machine hangs for 40 s, the job on it is cancelled, and the leader ends every
// 12 s and is back 4 s later. The task has to be gone cancel_s after its user was told.
func cancelLeaders(w *world, trouble bool) error {
	if err := w.begin("on-demand srednji-cvor", "on-demand srednji-cvor"); err != nil {
		return err
	}
	j, err := w.startCancelled("prijenos", "provjera-zahtjeva")
	if err != nil {
		return err
	}
	if hangs(trouble) {
		w.hangFor(j, 40*time.Second)
	}
	if err := w.told200(j); err != nil {
		return err
	}
	for _, after := range []time.Duration{3 * time.Second, 15 * time.Second, 27 * time.Second} {
		if !meets(trouble) {
			break
		}
		time.Sleep(time.Until(j.cancelledAt.Add(after)))
		if nd := w.leader(); nd != nil {
			w.log("%s leads", nd.name)
			nd.kill()
			time.Sleep(4 * time.Second)
			if err := nd.run(); err != nil {
				return err
			}
		}
	}
	w.awaitGone(j, 15)
	return nil
}

// hangs and meets tell whether a case has its two disruptions: ONLY=hang and ONLY=other leave
// one of them out.
func hangs(trouble bool) bool { return trouble && os.Getenv("ONLY") != "other" }
func meets(trouble bool) bool { return trouble && os.Getenv("ONLY") != "hang" }

// startCancelled has a job of one task run, on a machine that is no spot machine.
func (w *world) startCancelled(team, class string) (*job, error) {
	body := submission("wk-000001", team, class, 1, 8, 15, 100)
	body["posudba"] = false
	j := w.newJob(body, 100)
	if err := w.startJob(j); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	return j, nil
}

// hangFor has the machines of a job hang.
func (w *world) hangFor(j *job, d time.Duration) {
	for i := range j.tasks {
		for _, m := range where(fmt.Sprintf("%s/%d", j.id, i)) {
			m.hang(true)
			time.AfterFunc(d, func() { m.hang(false) })
		}
	}
}

// told200 cancels a job and expects its user to be told so.
func (w *world) told200(j *job) error {
	if s := w.cancel(j, w.roundRobin(0)); s != 200 || j.ended != "cancelled" {
		return fmt.Errorf("the cancellation was answered with %d", s)
	}
	return nil
}

// awaitGone waits until no task of a cancelled job is on a machine, or until so many seconds after
// cancel_s.
func (w *world) awaitGone(j *job, beyond float64) {
	for time.Since(j.cancelledAt).Seconds() < w.set.cancelS+beyond && countOn(j) > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	w.log("the task was on its machine until %.1f s after its user was told", time.Since(j.cancelledAt).Seconds())
}

// leader is the controller that wrote the lease value last.
func (w *world) leader() *node {
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	for _, nd := range w.nodes {
		if nd.name == w.state.lastLease && nd.cmd != nil {
			return nd
		}
	}
	return nil
}
