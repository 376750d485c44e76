package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"fawncove/internal/artefacts/artefactapi"
	"fawncove/internal/artefacts/capture"
	"fawncove/internal/artefacts/keys"
)

func captureCommand() *cobra.Command {
	var a access
	var opt capture.Options
	var job, writer, most string
	var task uint32
	var attempt uint64
	var resume bool
	cmd := &cobra.Command{
		Use:   "capture --job JOB --task N --attempt N -- COMMAND [ARG...]",
		Short: "Run a command and keep what it prints and produces",
		Long: "Run a command and keep what it prints and produces in the artefact store.\n" +
			"Ends as the command does. With --resume it sends what earlier captures left in the spool.",
		RunE: func(cmd *cobra.Command, args []string) error {
			log := slog.New(slog.NewTextHandler(os.Stderr, nil))
			ctx := cmd.Context()
			hc, err := a.http()
			if err != nil {
				return err
			}
			store := func(t capture.Ticket) capture.Store {
				return artefactapi.NewClient(t.URL, func() (string, error) { return t.Token, nil }, hc)
			}
			if resume {
				ctx, cancel := interrupted(ctx)
				defer cancel()
				sent, left, err := capture.Resume(ctx, opt.Spool, store, log)
				if err == nil {
					fmt.Fprintf(cmd.OutOrStdout(), "%d spools sent, %d left\n", sent, left)
				}
				if err == nil && left > 0 {
					err = exitStatus(2)
				}
				return err
			}
			if len(args) == 0 {
				return errors.New("no command")
			}
			if writer == "" {
				writer = ownName()
			}
			if opt.Ticket.Key, err = keyOf(job, writer, task, attempt); err != nil {
				return err
			}
			if err := a.sign(keys.Grant{Right: keys.Write, Team: opt.Team, Job: job, Task: task, Attempt: attempt, Expiry: time.Now().Add(7 * 24 * time.Hour)}); err != nil {
				return err
			}
			if a.store == "" || a.token == "" {
				return errors.New("--store and --token are needed, or --config")
			}
			n, err := humanize.ParseBytes(most)
			if err != nil {
				return fmt.Errorf("--spool-most: %w", err)
			}
			opt.Ticket.URL, opt.Ticket.Token = a.store, a.token
			opt.Command, opt.Most, opt.Store, opt.Log, opt.Now = args, int64(n), store, log, time.Now
			opt.Stdout, opt.Stderr = os.Stdout, os.Stderr
			res, err := capture.Run(ctx, opt)
			if err != nil {
				return err
			}
			if res.Exit != 0 {
				return exitStatus(res.Exit)
			}
			return nil
		},
	}
	a.flags(cmd)
	f := cmd.Flags()
	f.StringVar(&job, "job", "", "job that the command is a task of")
	f.Uint32Var(&task, "task", 0, "number of the task")
	f.Uint64Var(&attempt, "attempt", 0, "number of the attempt")
	f.StringVar(&writer, "writer", "", "name of this writer; host and process if not given")
	f.StringVar(&opt.Team, "team", "", "team that the job belongs to")
	host, _ := os.Hostname() // "" where it has none
	f.StringVar(&opt.Machine, "machine", host, "machine that it runs on")
	f.StringArrayVar(&opt.Files, "files", nil, "files to keep when it ends, say 'out/**/*.csv'")
	f.StringVar(&opt.Spool, "spool", filepath.Join(os.TempDir(), "fawncove-spool"), "directory for what is not sent yet")
	f.StringVar(&most, "spool-most", "256MB", "bound of the spool")
	f.BoolVar(&opt.Wait, "wait", false, "let the command wait when the spool is full, instead of skipping output")
	f.DurationVar(&opt.Linger, "linger", 30*time.Second, "how long to go on sending when the command has ended")
	f.BoolVar(&resume, "resume", false, "send what earlier captures have left")
	return cmd
}

// ownName names this process among the writers of an attempt.
func ownName() string {
	host, _ := os.Hostname() // "" where it has none
	host = regexp.MustCompile(`[^A-Za-z0-9._-]+`).ReplaceAllString(host, "-")
	return strings.TrimLeft(host[:min(len(host), 40)]+"-"+strconv.Itoa(os.Getpid()), "-._")
}
