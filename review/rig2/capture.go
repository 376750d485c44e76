//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// The cases of captured output: a store of logs and artefacts, and tasks that run beneath
// `fawncove capture`.

func init() {
	cases["capture-hang"] = captureHang
	cases["capture-left"] = captureLeft
}

// lineBytes is the length of a line that the stand-in task prints.
const lineBytes = 100

// playTask prints the lines of a stream that has so many bytes a second, by the clock: what
// came while the machine hung is printed when it goes on, as by a task that copies a gateway's
// replies.
func playTask(bytesPerS, seconds int) {
	all := bytesPerS * seconds / lineBytes
	stream := make([]byte, 0, all*lineBytes)
	for n := range all {
		stream = append(stream, lineOf(n)...)
	}
	for start, printed := time.Now(), 0; printed < all; time.Sleep(20 * time.Millisecond) {
		due := min(all, int(time.Since(start).Seconds()*float64(bytesPerS))/lineBytes)
		_, _ = os.Stdout.Write(stream[printed*lineBytes : due*lineBytes])
		printed = due
	}
}

// lineOf is a line of the stream.
func lineOf(n int) string {
	s := "reply " + strconv.Itoa(n) + " "
	x := uint64(n)*0x9e3779b97f4a7c15 + 1
	for len(s) < lineBytes-1 {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		s += strconv.FormatUint(x, 36)
	}
	return s[:lineBytes-1] + "\n"
}

// store is an instance of the artefact store.
type store struct {
	w      *world
	addr   string // where it listens
	config string
	cmd    *exec.Cmd
}

// startStore starts an instance with the command that the file in deploy/ names.
func (w *world) startStore() (*store, error) {
	addrs, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	s := &store{w: w, addr: addrs[0], config: filepath.Join(w.dir, "artefacts.toml")}
	text := fmt.Sprintf("listen = %q\ndir = %q\nkeys = %q\n", s.addr, filepath.Join(w.dir, "artefacts"), filepath.Join(w.dir, "keys.toml"))
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if s.cmd, err = w.spawn(w.dir, "store", nil, w.program, "artefacts", "serve", "--config", s.config); err != nil {
		return nil, err
	}
	for range 100 {
		if c, err := net.Dial("tcp", s.addr); err == nil {
			return s, c.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, fmt.Errorf("the store does not listen")
}

// spawn starts a process of its own group whose standard error goes to a file.
func (w *world) spawn(dir, name string, env []string, command ...string) (*exec.Cmd, error) {
	f, err := os.Create(filepath.Join(w.dir, name+".err"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Dir, cmd.Stderr, cmd.Env = dir, f, append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	w.log("start %s: %v", name, command)
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.spawned = append(w.spawned, cmd)
	return cmd, nil
}

// capture runs a task of a job as an attempt whose output is kept.
func (s *store) capture(name string, attempt int, url, spool string, bytesPerS, seconds int) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return s.w.spawn(s.w.dir, name, nil, s.w.program, "capture", "--config", s.config, "--store", url, "--team", "prijenos", "--job", "wk-000412",
		"--task", "3", "--attempt", strconv.Itoa(attempt), "--spool", spool, "--", self, "-task-bytes", strconv.Itoa(bytesPerS), "-task-seconds", strconv.Itoa(seconds))
}

// signalGroup signals a process and all that it has started, as a machine does that hangs,
// goes on or kills a task.
func (w *world) signalGroup(what string, cmd *exec.Cmd, s syscall.Signal) {
	w.log("signal %v to %s and its task", s, what)
	_ = syscall.Kill(-cmd.Process.Pid, s)
}

// logs reads the lines of an attempt as an operator does, with the label at its end.
func (s *store) logs(attempt int) (lines []string, label string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, s.w.program, "logs", "--config", s.config, "--json", "--attempt", strconv.Itoa(attempt), "wk-000412/3")
	out, err := cmd.Output()
	if err != nil {
		return nil, "", fmt.Errorf("logs: %w", err)
	}
	dec := json.NewDecoder(bytes.NewReader(out))
	for {
		var l struct {
			Text, State, Stream string
		}
		if dec.Decode(&l) != nil {
			return lines, label, nil
		}
		switch {
		case l.State != "":
			label = l.State
		case l.Stream == "note":
			s.w.log("note in the log of attempt %d: %s", attempt, l.Text)
		default:
			lines = append(lines, l.Text)
		}
	}
}

// captureHang: a machine hangs and goes on while a task copies a stream. All that the task has
// printed has to be kept.
func captureHang(w *world, trouble bool) error {
	s, err := w.startStore()
	if err != nil {
		return err
	}
	const bytesPerS, seconds = 1500 << 10, 30
	cmd, err := s.capture("capture", 1, "http://"+s.addr, filepath.Join(w.dir, "spool"), bytesPerS, seconds)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.signalGroup("the capture", cmd, syscall.SIGSTOP)
		time.Sleep(20 * time.Second)
		w.signalGroup("the capture", cmd, syscall.SIGCONT)
	}
	err = cmd.Wait()
	w.log("the capture has ended: %v, %s", err, tailOf(filepath.Join(w.dir, "capture.err")))
	if err != nil {
		return fmt.Errorf("the task: %w", err)
	}
	lines, label, err := s.logs(1)
	if err != nil {
		return err
	}
	all := bytesPerS * seconds / lineBytes
	w.log("printed %d lines, kept %d, the attempt is %s", all, len(lines), label)
	if len(lines) != all {
		w.breaks("kept", "%d of %d lines that the task printed are in the log of its attempt, which is called %s", len(lines), all, label)
	}
	return nil
}

// captureLeft: a machine loses the network, and a task on it is killed halfway. The second
// attempt runs there to its end. The logs of both have to be with the store when the machine
// goes.
func captureLeft(w *world, trouble bool) error {
	s, err := w.startStore()
	if err != nil {
		return err
	}
	network := w.link("machine", "store", s.addr)
	spool := filepath.Join(w.dir, "spool")
	cmd, err := s.capture("attempt-1", 1, "http://"+network.addr, spool, 1000, 14)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.log("the machine loses the network")
		network.setCut(true)
	}
	time.Sleep(6 * time.Second)
	if trouble {
		w.signalGroup("the first attempt", cmd, syscall.SIGKILL)
		time.Sleep(time.Second)
		w.log("the machine has the network again")
		network.setCut(false)
	}
	_ = cmd.Wait() // killed, or ended well: the log tells
	second, err := s.capture("attempt-2", 2, "http://"+network.addr, spool, 1000, 5)
	if err != nil {
		return err
	}
	if err := second.Wait(); err != nil {
		return fmt.Errorf("the second attempt: %w", err)
	}
	time.Sleep(15 * time.Second)
	left, err := os.ReadDir(spool)
	if err != nil {
		return err
	}
	w.log("spools left on the machine: %d", len(left))
	w.log("the machine goes, with what is on its disk")
	if err := os.RemoveAll(spool); err != nil {
		return err
	}
	// What was printed in the two seconds before the kill may not have been taken yet.
	least := map[int]int{1: 1000 * 7 / lineBytes, 2: 1000 * 5 / lineBytes}
	for attempt := 1; attempt <= 2; attempt++ {
		lines, label, err := s.logs(attempt)
		if err != nil {
			return err
		}
		w.log("attempt %d: %d lines kept, called %s; at least %d were printed 2 s before its end", attempt, len(lines), label, least[attempt])
		if len(lines) < least[attempt] {
			w.breaks("kept", "%d lines of attempt %d are in its log, %d were printed 2 s before it was killed", len(lines), attempt, least[attempt])
		}
	}
	return nil
}

// tailOf returns the end of a file.
func tailOf(path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-400):])
}
