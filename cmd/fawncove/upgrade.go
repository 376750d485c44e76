package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"fawncove/internal/config"
	"fawncove/internal/core/feature"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/upgrade"
)

// exitPending is the exit status of a command whose answer is "not now".
const exitPending = exitStatus(3)

// develVersion is the version of a build without information about its source.
const develVersion = "(devel)"

// A plan reads the lease value three times, observationInterval apart. A leader publishes
// every 5 s, so a value that does not change has none; and it acknowledges the last renewal
// of a controller that is gone once more, but not twice.
const (
	observationInterval = 6 * time.Second
	observations        = 3
)

// clusterCommands is what the commands that look at a cluster share.
type clusterCommands struct {
	config string
	asJSON bool
}

// jsonFlag adds the flag that prints the answer as JSON.
func (o *clusterCommands) jsonFlag(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print one JSON object")
	return cmd
}

// session is what a command works on while it runs.
type session struct {
	ctx      context.Context
	out      io.Writer
	settings *config.Settings
	store    *statestore.Store
	status   *upgrade.Status
}

// command returns a command that reads the cluster's status and calls f.
func (o *clusterCommands) command(use, short string, f func(r *session) error) *cobra.Command {
	return o.stateCommand(use, short, func(r *session) error {
		if err := r.read(); err != nil {
			return err
		}
		return f(r)
	})
}

// stateCommand returns a command that can call the state service.
func (o *clusterCommands) stateCommand(use, short string, f func(r *session) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, err := config.Load(o.config)
			if err != nil {
				return err
			}
			r := &session{ctx: ctx, out: cmd.OutOrStdout(), settings: s,
				store: statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS, s.Controllers())}
			return f(r)
		},
	}
	configFlag(cmd, &o.config)
	return cmd
}

// read reads the status of the cluster.
func (r *session) read() (err error) {
	r.status, err = upgrade.Read(r.ctx, r.store, r.settings)
	return err
}

// sleep waits for a time, or until the command is interrupted.
func (r *session) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

func upgradeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "upgrade", Short: "Roll out another version of the controllers"}
	cmd.AddCommand(upgradeStatus(), upgradePlan(), upgradeRaise(), upgradeHold())
	return cmd
}

func upgradeStatus() *cobra.Command {
	var o clusterCommands
	return o.jsonFlag(o.command("status", "Show versions, levels and what is left; ends with 3 while a rollout is under way",
		func(r *session) (err error) {
			if o.asJSON {
				err = json.NewEncoder(r.out).Encode(r.status)
			} else {
				err = printStatus(r.out, r.status)
			}
			if err == nil && !r.status.Complete() {
				err = exitPending
			}
			return err
		}))
}

func printStatus(out io.Writer, status *upgrade.Status) error {
	fmt.Fprintf(out, "%s; lease value in form %d, generation %d\n\n", status.Summary(), status.Form, status.Generation)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CONTROLLER\tVERSION\tLEVELS\tSEEN\tREADY\tMACHINES\tUNRECONCILED\tTO REWRITE\tUPDATED")
	for _, controller := range status.Controllers {
		name, version, levels, seen, ready, updated := controller.Name, controller.Version, fmt.Sprintf("%d-%d", controller.OldestLevel, controller.NewestLevel), fmt.Sprint(controller.SeenLevel), fmt.Sprint(controller.Ready), "-"
		if controller.Leads {
			name += " (leads)"
		}
		switch {
		case controller.BeforeLevels():
			version, levels, seen, ready = "from before levels", "-", "-", "-"
		case controller.Incarnation == 0:
			version, levels, seen, ready = "unreachable", "-", "-", "-"
		default:
			updated = humanize.Time(controller.UpdatedAt)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", name, version, levels, seen, ready, controller.Machines, controller.UnreconciledMachines, controller.OutdatedRecords, updated)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if status.Hold {
		fmt.Fprintln(out, "\nheld by the operator")
	}
	if status.RequestedLevel > status.Level {
		fmt.Fprintf(out, "\nlevel %d is requested\n", status.RequestedLevel)
	}
	for info, blocker := range status.LevelBlockers {
		if info == 0 {
			fmt.Fprintln(out, "\nthe leader waits:")
		}
		fmt.Fprintln(out, "  "+blocker)
	}
	fmt.Fprintln(out)
	for _, gate := range feature.All() {
		info := gate.Info()
		state := "closed"
		if (feature.State{Level: status.Level, Confirmed: status.Confirmed}).Open(gate) {
			state = "open"
		}
		if _, err := fmt.Fprintf(out, "gate %-12s level %d, since version %s: %s\n", info.Name, info.Level, info.Version, state); err != nil {
			return err
		}
	}
	return nil
}

// replacementPlan is what `upgrade plan` prints.
type replacementPlan struct {
	Version    string   `json:"version"`
	Steps      []string `json:"steps"`
	MayReplace bool     `json:"now"` // the first step may be taken now
	Reasons    []string `json:"why"` // or why not
}

func upgradePlan() *cobra.Command {
	var o clusterCommands
	var version string
	cmd := o.jsonFlag(o.command("plan", "Show the order of replacement, and whether the next one may go now; ends with 3 if not",
		func(r *session) error {
			if version == develVersion {
				return errors.New("this build names no version, so it cannot be distinguished from another: build with -buildvcs=true, or name what is rolled out with --version")
			}
			plan := &replacementPlan{Version: version}
			for observation := 1; observation < observations && len(plan.Reasons) == 0; observation++ {
				before := r.status
				if err := r.sleep(observationInterval); err != nil {
					return err
				}
				if err := r.read(); err != nil {
					return err
				}
				plan.Reasons = r.status.ReasonsToWait(before)
			}
			plan.Steps = r.status.ReplacementOrder(version)
			plan.MayReplace = len(plan.Reasons) == 0 && len(plan.Steps) > 0
			var err error
			if o.asJSON {
				err = json.NewEncoder(r.out).Encode(plan)
			} else {
				err = printPlan(r.out, plan)
			}
			if err == nil && !plan.MayReplace && len(plan.Steps) > 0 {
				err = exitPending
			}
			return err
		}))
	cmd.Flags().StringVar(&version, "version", buildVersion(), "version that is rolled out, as the command version prints it")
	return cmd
}

func printPlan(out io.Writer, plan *replacementPlan) error {
	if len(plan.Steps) == 0 {
		_, err := fmt.Fprintf(out, "all controllers run %s\n", plan.Version)
		return err
	}
	fmt.Fprintf(out, "to roll out %s, one at a time: %s\n", plan.Version, strings.Join(plan.Steps, ", "))
	if plan.MayReplace {
		_, err := fmt.Fprintf(out, "%s may be replaced now\n", plan.Steps[0])
		return err
	}
	_, err := fmt.Fprintf(out, "not now: %s\n", strings.Join(plan.Reasons, "; "))
	return err
}

func upgradeRaise() *cobra.Command {
	var o clusterCommands
	var level uint32
	var wait time.Duration
	cmd := o.command("raise", "Have the level raised as soon as every controller can follow; there is no way back",
		func(r *session) error {
			to := feature.Level(level)
			if to == 0 {
				to = r.status.NewestLevel()
			}
			if to <= r.status.Level {
				_, err := fmt.Fprintf(r.out, "the cluster is at level %d already\n", r.status.Level)
				return err
			}
			if lacking := r.status.CannotFollow(to); len(lacking) > 0 {
				fmt.Fprintf(r.out, "not now: %s\n", strings.Join(lacking, "; "))
				return exitPending
			}
			if err := r.status.Request(r.ctx, r.store, feature.OperatorRequest{TargetLevel: to, Hold: r.status.Hold}, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(r.out, "level %d is requested\n", to)
			return r.awaitConfirmation(to, wait)
		})
	cmd.Flags().Uint32Var(&level, "level", 0, "level to raise to (default: the newest that any controller knows)")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until all have confirmed; 0: not at all")
	return cmd
}

// awaitConfirmation waits until all controllers have confirmed a level.
func (r *session) awaitConfirmation(to feature.Level, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	var err error
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if err := r.sleep(time.Second); err != nil {
			return err
		}
		if err = r.read(); err == nil && r.status.Confirmed >= to {
			_, err := fmt.Fprintf(r.out, "level %d, confirmed by all controllers\n", r.status.Level)
			return err
		}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "not yet: level %d; %s\n", r.status.Level, strings.Join(r.status.LevelBlockers, "; "))
	return exitPending
}

func upgradeHold() *cobra.Command {
	var o clusterCommands
	var off bool
	cmd := o.command("hold", "Keep the level from being raised by itself", func(r *session) error {
		if err := r.status.Request(r.ctx, r.store, feature.OperatorRequest{Hold: !off}, time.Now()); err != nil {
			return err
		}
		answer := "held: nothing is raised until it is asked for"
		if off {
			answer = "no longer held"
		}
		_, err := fmt.Fprintln(r.out, answer)
		return err
	})
	cmd.Flags().BoolVar(&off, "off", false, "let it be raised by itself again")
	return cmd
}
