//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	// zoneCutLasts is how long the machine's zone is cut off from the store.
	zoneCutLasts = 51500 * time.Millisecond
	// cutAfter is how long after the task has begun that begins.
	cutAfter = 1500 * time.Millisecond
	// stepScript and nextScript are the tasks that run on the machine one after the other.
	stepScript = `i=0; while [ $i -lt 30 ]; do echo "reply $i"; i=$((i+1)); sleep 0.2; done; echo "step ended"`
	nextScript = `i=0; while [ $i -lt 40 ]; do echo "update $i"; i=$((i+1)); sleep 1; done; echo "next step ended"`
)

// leftover has the zone of a machine cut off while a task ends there. When the zone is back, another
// task runs on the machine, under capture too; then the machine is gone. All that both printed is to
// be readable.
func leftover(ctx context.Context, p *play) (int, error) {
	store, err := startStore(ctx, p)
	if err != nil {
		return 0, err
	}
	defer store.stop()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	proxy := &heldProxy{rec: p.rec, target: store.address}
	go proxy.serve(listener)
	spool := filepath.Join(p.dir, "machine")
	if p.trouble {
		time.AfterFunc(cutAfter, func() { proxy.cut(zoneCutLasts) })
	}
	steps := []struct{ number, script string }{{"3", stepScript}, {"4", nextScript}}
	printed := map[string]*bytes.Buffer{}
	for _, step := range steps {
		printed[step.number] = new(bytes.Buffer)
		var said bytes.Buffer
		cmd := exec.CommandContext(ctx, store.program, "capture", "--config", store.config, "--store", "http://"+listener.Addr().String(), "--team", "red",
			"--job", "wk-000412", "--task", step.number, "--attempt", "1", "--machine", "host-000231", "--spool", spool, "--", "sh", "-c", step.script)
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
		cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
		cmd.Stdout, cmd.Stderr = printed[step.number], &said
		p.rec.say("machine: task %s begins under capture", step.number)
		err := cmd.Run()
		p.rec.say("machine: capture of task %s has ended (%v) and says: %s", step.number, err, strings.TrimSpace(said.String()))
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	if err := os.RemoveAll(spool); err != nil {
		return 0, err
	}
	p.rec.say("cloud: the machine is gone")
	missing := 0
	for _, step := range steps {
		kept, state, err := readLog(ctx, store.program, store.config, "wk-000412/"+step.number)
		if err != nil {
			return 0, err
		}
		lines, gone := 0, 0
		for line := range strings.Lines(printed[step.number].String()) {
			if lines++; !kept[strings.TrimSuffix(line, "\n")] {
				gone++
			}
		}
		p.rec.say("operator: reads the log of task %s; the attempt is said to be %q; of %d lines that it printed %d are missing", step.number, state, lines, gone)
		missing += gone
	}
	if missing > 0 {
		return broken, nil
	}
	return held, nil
}

// artefactStore is an instance of the artefact store that serves.
type artefactStore struct {
	program, config, address string
	cmd                      *exec.Cmd
}

// startStore starts an instance of the artefact store, and waits until it serves.
func startStore(ctx context.Context, p *play) (*artefactStore, error) {
	addresses, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	run, err := runLine(p.root)
	if err != nil {
		return nil, err
	}
	s := &artefactStore{program: run[0], config: filepath.Join(p.dir, "artefacts.toml"), address: addresses[0]}
	if err := os.WriteFile(s.config, fmt.Appendf(nil, "listen = %q\ndir = \"artefacts\"\nkeys = \"keys.toml\"\n", s.address), 0o600); err != nil {
		return nil, err
	}
	s.cmd = exec.CommandContext(ctx, s.program, "artefacts", "serve", "--config", s.config)
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	if err := storeServes(ctx, s.address); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

// stop ends the instance.
func (s *artefactStore) stop() {
	_ = s.cmd.Process.Kill() // it may have ended
	_ = s.cmd.Wait()
}
