//go:build review

package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// cutLasts is how long the network between the task's machine and the store is interrupted.
	cutLasts = 62 * time.Second
	// passBefore is how many bytes of the upload pass before that.
	passBefore = 4096
	// capturedTask is what is run, in the words of the program.
	capturedTask = "wk-000412/3"
)

// script is the task: it prints a line, a burst of output, and then a line a second; the last ones
// long after the network is back.
const script = `
echo "step begun"
sleep 3
i=0
while [ $i -lt 300 ]; do
  echo "reply $i $(od -An -N48 -tx1 /dev/urandom | tr -d ' \n')"
  i=$((i+1))
done
i=0
while [ $i -lt 78 ]; do
  sleep 1
  echo "routing update $i"
  i=$((i+1))
done
echo "step ended"
`

// heldProxy forwards connections to the store, until the network is interrupted: then nothing passes
// in either direction for a while, and what was sent meanwhile is delivered in order after that.
type heldProxy struct {
	rec       *record
	target    string
	passBytes int // from the task's machine, before an interruption of cutLasts; 0: there is none

	mu    sync.Mutex
	bytes int
	until time.Time // the end of the interruption; zero: it has not begun
}

// waitUncut waits until the network is not interrupted.
func (p *heldProxy) waitUncut() {
	p.mu.Lock()
	until := p.until
	p.mu.Unlock()
	time.Sleep(time.Until(until))
}

// room returns how many of so many bytes pass at once, and notes the beginning of the
// interruption.
func (p *heldProxy) room(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passBytes == 0 || !p.until.IsZero() || p.bytes+n < p.passBytes {
		p.bytes += n
		return n
	}
	pass := p.passBytes - p.bytes
	p.bytes = p.passBytes
	p.until = time.Now().Add(cutLasts)
	p.rec.say("network: interrupted for %v; %d bytes have passed", cutLasts, p.bytes)
	time.AfterFunc(cutLasts, func() { p.rec.say("network: back; what was held is delivered") })
	return pass
}

func (p *heldProxy) serve(l net.Listener) {
	for {
		from, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(from)
	}
}

func (p *heldProxy) forward(from net.Conn) {
	defer from.Close()
	p.waitUncut()
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer to.Close()
	var wg sync.WaitGroup
	wg.Go(func() {
		p.copy(to, from, p.room)
		_ = to.(*net.TCPConn).CloseWrite() // it may be closed
	})
	wg.Go(func() {
		p.copy(from, to, func(n int) int { return n })
		_ = from.(*net.TCPConn).CloseWrite() // it may be closed
	})
	wg.Wait()
}

// copy forwards one direction until it ends. Of what it reads so much passes at once as room says,
// and the rest when the network is not interrupted.
func (p *heldProxy) copy(to, from net.Conn, room func(n int) int) {
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		p.waitUncut()
		atOnce := room(n)
		if _, err := to.Write(buffer[:atOnce]); err != nil {
			return
		}
		p.waitUncut()
		if _, err := to.Write(buffer[atOnce:n]); err != nil || readErr != nil {
			return
		}
	}
}

// upload has the network between a task's machine and the artefact store interrupted while output
// is being sent. All that the task prints is to be readable when its machine is gone.
func upload(ctx context.Context, p *play) (int, error) {
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
	passBytes := 0
	if p.trouble {
		passBytes = passBefore
	}
	proxy := &heldProxy{rec: p.rec, target: store.address, passBytes: passBytes}
	go proxy.serve(listener)

	spool := filepath.Join(p.dir, "machine")
	var printed, said bytes.Buffer
	capture := exec.CommandContext(ctx, store.program, "capture", "--config", store.config, "--store", "http://"+listener.Addr().String(), "--team", "red",
		"--job", "wk-000412", "--task", "3", "--attempt", "1", "--machine", "host-000231", "--spool", spool, "--", "sh", "-c", script)
	capture.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	capture.Cancel = func() error { return syscall.Kill(-capture.Process.Pid, syscall.SIGKILL) }
	capture.Stdout, capture.Stderr = &printed, &said
	p.rec.say("machine: the task begins under capture")
	err = capture.Run()
	p.rec.say("machine: capture has ended (%v) and says: %s", err, strings.TrimSpace(said.String()))
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if err := os.RemoveAll(spool); err != nil {
		return 0, err
	}
	p.rec.say("cloud: the machine is gone")
	kept, state, err := readLog(ctx, store.program, store.config, capturedTask)
	if err != nil {
		return 0, err
	}
	lines, missing, first := 0, 0, ""
	for scan := bufio.NewScanner(&printed); scan.Scan(); lines++ {
		if !kept[scan.Text()] {
			if missing++; first == "" {
				first = scan.Text()
			}
		}
	}
	p.rec.say("operator: reads the log of %s; the attempt is said to be %q; of %d lines that the task printed %d are missing, from %.30q on", capturedTask, state, lines, missing, first)
	if missing > 0 {
		return broken, nil
	}
	return held, nil
}

// storeServes waits until the store answers.
func storeServes(ctx context.Context, address string) error {
	hc := http.Client{Timeout: time.Second}
	for range 100 {
		if resp, err := hc.Get("http://" + address + "/v1/health"); err == nil {
			resp.Body.Close()
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("the store does not serve")
}

// readLog reads the log of a task as an operator does: its lines, and the state of the attempt.
func readLog(ctx context.Context, program, config, task string) (lines map[string]bool, state string, err error) {
	raw, err := exec.CommandContext(ctx, program, "logs", "--config", config, "--json", task).Output()
	if err != nil {
		return nil, "", fmt.Errorf("logs: %w", err)
	}
	lines = map[string]bool{}
	for line := range bytes.Lines(raw) {
		var l struct{ Text, State string }
		if err := json.Unmarshal(line, &l); err != nil {
			return nil, "", err
		}
		lines[l.Text] = true
		if l.State != "" {
			state = l.State
		}
	}
	return lines, state, nil
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
