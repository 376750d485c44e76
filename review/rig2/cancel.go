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
	deployments["cancel-outage"] = nightRuns()
	deployments["cancel-away"] = nightRuns()
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

// cancelAway: a machine hangs, the job on it is cancelled, and then all controllers are away for
// a second longer than lease_s. The task has to be gone cancel_s after its user was told.
func cancelAway(w *world, trouble bool) error {
	if err := w.begin("may-nho", "may-nho"); err != nil {
		return err
	}
	j := w.newJob(submission("wk-000001", "van-hanh", "gia-dem", 1, 8, 27, 90), 90)
	if err := w.startJob(j); err != nil {
		return err
	}
	time.Sleep(time.Second)
	hang, away := trouble && os.Getenv("ONLY") != "away", trouble && os.Getenv("ONLY") != "hang"
	if hang {
		for _, m := range where("wk-000001/0") {
			m.hang(true)
		}
	}
	if s := w.cancel(j, w.roundRobin(0)); s != 200 || j.ended != "cancelled" {
		return fmt.Errorf("the cancellation was answered with %d", s)
	}
	time.Sleep(300 * time.Millisecond)
	if away {
		w.killAll(time.Duration((w.set.leaseS + 1) * float64(time.Second)))
	}
	for time.Since(j.cancelledAt).Seconds() < w.set.cancelS+10 && countOn(j) > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	w.log("the task was on its machine until %.1f s after its user was told", time.Since(j.cancelledAt).Seconds())
	return nil
}

// cancelOutage: a machine hangs, the job on it is cancelled, and then the state service is out
// for longer than cancel_s. The task has to be gone cancel_s after its user was told.
func cancelOutage(w *world, trouble bool) error {
	if err := w.begin("on-demand may-nho", "on-demand may-nho"); err != nil {
		return err
	}
	body := submission("wk-000001", "van-hanh", "gia-dem", 1, 8, 27, 100)
	body["posudba"] = false
	j := w.newJob(body, 100)
	if err := w.startJob(j); err != nil {
		return err
	}
	time.Sleep(time.Second)
	hang, outage := trouble && os.Getenv("ONLY") != "outage", trouble && os.Getenv("ONLY") != "hang"
	if hang {
		for _, m := range where("wk-000001/0") {
			m.hang(true)
		}
	}
	if s := w.cancel(j, w.roundRobin(0)); s != 200 || j.ended != "cancelled" {
		return fmt.Errorf("the cancellation was answered with %d", s)
	}
	time.Sleep(500 * time.Millisecond)
	if outage {
		w.state.setOutage(true)
		time.AfterFunc(time.Duration((w.set.cancelS+4)*float64(time.Second)), func() { w.state.setOutage(false) })
	}
	for time.Since(j.cancelledAt).Seconds() < w.set.cancelS+15 && countOn(j) > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	w.log("the task was on its machine until %.1f s after its user was told", time.Since(j.cancelledAt).Seconds())
	return nil
}
