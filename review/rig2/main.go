//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are what can be played, by name.
var cases = map[string]func(w *world, trouble bool) error{}

// deployments are the settings of the cases, by name.
var deployments = map[string]settings{}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	program := flag.String("program", "target/fawncove", "the program of the deploy file")
	taskBytes := flag.Int("task-bytes", 0, "be a task that prints so many bytes a second")
	taskSeconds := flag.Int("task-seconds", 0, "for so many seconds")
	flag.Parse()
	if *taskBytes > 0 {
		playTask(*taskBytes, *taskSeconds)
		return
	}
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(2)
	}
	set, ok := deployments[*name]
	if !ok {
		set = portingWindows()
	}
	path, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	w, err := newWorld(set, *record, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, trouble %v", *name, trouble)
	time.AfterFunc(117*time.Second, func() {
		w.log("out of time")
		os.Exit(w.finish(fmt.Errorf("out of time")))
	})
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		os.Exit(w.finish(fmt.Errorf("told to end")))
	}()
	go w.watchCancelled()
	os.Exit(w.finish(play(w, trouble)))
}

// portingWindows are the settings of the deployment prenesi-broj.
func portingWindows() settings {
	return settings{controllers: 3, zones: []string{"zagreb", "split"}, reportS: 2.5, leaseS: 14, cancelS: 39,
		rps: 80, writeRPS: 20, valueKB: 4, txnOps: 12, cloudRPS: 5, listLagS: 6, cores: 0.18, ramMB: 179, sockets: 1500,
		teams: []team{{"prijenos", 72, 200}, {"usmjeravanje", 40, 120}, {"naplata", 48, 96}, {"podrska", 120, 240}, {"platforma", 96, 160}},
		types: []machineType{
			{"mali-cvor", 4, 32, 0.31, 0.13, 25, 30, 0.5, []string{"zagreb", "split"}},
			{"srednji-cvor", 8, 32, 0.54, 0.21, 25, 60, 0.4, []string{"zagreb", "split"}},
			{"veliki-cvor", 32, 256, 2.5, 1.03, 35, 50, 0.25, []string{"zagreb", "split"}}}}
}

func init() {
	cases["smoke"] = func(w *world, _ bool) error {
		if err := w.startNodes(); err != nil {
			return err
		}
		w.cloud.mu.Lock()
		for i := range 4 {
			w.cloud.rent("srednji-cvor", w.set.zones[i%2], true, 1)
		}
		w.cloud.mu.Unlock()
		if !w.awaitHealthy(20 * time.Second) {
			return fmt.Errorf("not healthy")
		}
		j := w.newJob(submission("wk-000001", "prijenos", "hitni-prijenos", 6, 2, 4, 5), 5)
		if s := w.submit(j, w.roundRobin(0)); s != 201 {
			return fmt.Errorf("status %d", s)
		}
		for i := 0; ; i++ {
			if _, state := w.poll(w.nodes[i%3], j); state == "done" {
				return nil
			}
			time.Sleep(time.Second)
		}
	}
}
