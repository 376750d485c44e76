package drill

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/BurntSushi/toml"

	"fawncove/internal/config"
)

// process is one controller.
type process struct {
	name, settings, log, clients string
	binary                       string
	cmd                          *exec.Cmd
	ended                        chan struct{}
}

// writeSettings writes a settings file.
func writeSettings(path string, s *config.Settings) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	err = toml.NewEncoder(f).Encode(s)
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// start starts the process; its log is appended to.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.name, err)
	}
	defer log.Close()
	p.cmd = exec.Command(p.binary, "serve", "--config", p.settings)
	p.cmd.Stderr = log
	// Its own group: an interrupt at the terminal is for whoever runs the drill,
	// who ends the controllers in order.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() { _ = p.cmd.Wait(); close(ended) }() // killed ones end with an error
	return nil
}

// signal sends the process a signal, unless it was never started.
func (p *process) signal(s syscall.Signal) {
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended
	}
}

// wait waits for the process to end, and kills it after d.
func (p *process) wait(d time.Duration) {
	if p.cmd == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(d):
		p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// replace starts another binary in the place of a process that was told to end.
func (p *process) replace(binary string) error {
	p.wait(15 * time.Second)
	p.binary = binary
	return p.start()
}

// healthy reports whether the controller takes users.
func (p *process) healthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.clients+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
