//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held    = 0 // the rule held
	broken  = 1 // it was broken
	cannot  = 2 // the case could not run
	maxTime = 115 * time.Second
)

// play is what a case gets: its record, the repository, a folder of its own, and whether the
// disruption is played.
type play struct {
	rec     *record
	root    string
	dir     string
	trouble bool
}

// cases returns 0 or 1, or an error if the case could not run.
var cases = map[string]func(context.Context, *play) (int, error){
	"malformed":   malformed,
	"held-upload": upload,
	"hung":        hung,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY RECORD")
		return cannot
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer os.RemoveAll(dir)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	ctx, stop := context.WithTimeout(ctx, maxTime)
	defer stop()
	p := &play{rec: &record{out: out, begun: time.Now()}, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	p.rec.say("case %s, trouble: %v", os.Args[1], p.trouble)
	status, err := cases[os.Args[1]](ctx, p)
	if err != nil {
		p.rec.say("the case could not run: %v", err)
		status = cannot
	}
	p.rec.say("exit status %d", status)
	return status
}
