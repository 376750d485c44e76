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

// exitNotNow is the status of a command whose answer is "not now".
const exitNotNow = exitStatus(3)

// develVersion is what builds are called that know nothing of their source.
const develVersion = "(devel)"

// A plan takes three looks at the lease value, lookApart from each other. A leader
// publishes every 5 s, so a value that does not change has none; and it honours
// the last renewal of a controller that is gone once more, but not twice.
const (
	lookApart = 6 * time.Second
	looks     = 3
)

// operator is what the commands of a rollout share.
type operator struct {
	config string
	asJSON bool
}

// jsonFlag lets a command print its answer for programs.
func (o *operator) jsonFlag(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print one JSON object")
	return cmd
}

// rollout is what a command of a rollout works on.
type rollout struct {
	ctx      context.Context
	out      io.Writer
	settings *config.Settings
	store    *statestore.Store
	now      *upgrade.Status
}

// command returns a command that reads the cluster's state and has f answer.
func (o *operator) command(use, short string, f func(r *rollout) error) *cobra.Command {
	return o.stateCommand(use, short, func(r *rollout) error {
		if err := r.read(); err != nil {
			return err
		}
		return f(r)
	})
}

// stateCommand returns a command that has the state service at hand.
func (o *operator) stateCommand(use, short string, f func(r *rollout) error) *cobra.Command {
	cmd := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, err := config.Load(o.config)
			if err != nil {
				return err
			}
			r := &rollout{ctx: ctx, out: cmd.OutOrStdout(), settings: s,
				store: statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS, s.Controllers())}
			return f(r)
		},
	}
	configFlag(cmd, &o.config)
	return cmd
}

// read takes a picture of the cluster as it is now.
func (r *rollout) read() (err error) {
	r.now, err = upgrade.Read(r.ctx, r.store, r.settings)
	return err
}

// sleep waits, unless the command is ended before.
func (r *rollout) sleep(d time.Duration) error {
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
	var o operator
	return o.jsonFlag(o.command("status", "Show versions, levels and what is left; ends with 3 while a rollout is under way",
		func(r *rollout) (err error) {
			if o.asJSON {
				err = json.NewEncoder(r.out).Encode(r.now)
			} else {
				err = printPicture(r.out, r.now)
			}
			if err == nil && !r.now.Complete() {
				err = exitNotNow
			}
			return err
		}))
}

func printPicture(out io.Writer, p *upgrade.Status) error {
	fmt.Fprintf(out, "%s; lease value in form %d, generation %d\n\n", p.Summary(), p.Form, p.Generation)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CONTROLLER\tVERSION\tLEVELS\tSEEN\tREADY\tMACHINES\tUNHEARD\tTO REWRITE\tTOLD")
	for _, c := range p.Controllers {
		name, version, levels, seen, ready, told := c.Name, c.Version, fmt.Sprintf("%d-%d", c.OldestLevel, c.NewestLevel), fmt.Sprint(c.SeenLevel), fmt.Sprint(c.Ready), "-"
		if c.Leads {
			name += " (leads)"
		}
		switch {
		case c.BeforeLevels():
			version, levels, seen, ready = "from before levels", "-", "-", "-"
		case c.Incarnation == 0:
			version, levels, seen, ready = "not heard of", "-", "-", "-"
		default:
			told = humanize.Time(c.UpdatedAt)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", name, version, levels, seen, ready, c.Machines, c.UnreconciledMachines, c.OutdatedRecords, told)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if p.Hold {
		fmt.Fprintln(out, "\nheld by the operator")
	}
	if p.RequestedLevel > p.Level {
		fmt.Fprintf(out, "\nlevel %d is asked for\n", p.RequestedLevel)
	}
	for i, w := range p.LevelBlockers {
		if i == 0 {
			fmt.Fprintln(out, "\nthe leader waits:")
		}
		fmt.Fprintln(out, "  "+w)
	}
	fmt.Fprintln(out)
	for _, g := range feature.All() {
		i := g.Info()
		state := "closed"
		if (feature.State{Level: p.Level, Confirmed: p.Confirmed}).Open(g) {
			state = "open"
		}
		if _, err := fmt.Fprintf(out, "gate %-12s level %d, since version %s: %s\n", i.Name, i.Level, i.Version, state); err != nil {
			return err
		}
	}
	return nil
}

// plan is what `upgrade plan` prints.
type plan struct {
	Version string   `json:"version"`
	Steps   []string `json:"steps"`
	Now     bool     `json:"now"` // the first step may be taken now
	Why     []string `json:"why"` // or why not
}

func upgradePlan() *cobra.Command {
	var o operator
	var version string
	cmd := o.jsonFlag(o.command("plan", "Show the order of replacement, and whether the next one may go now; ends with 3 if not",
		func(r *rollout) error {
			if version == develVersion {
				return errors.New("this build names no version, so it cannot be told from another: build with -buildvcs=true, or name what is rolled out with --version")
			}
			pl := &plan{Version: version}
			for look := 1; look < looks && len(pl.Why) == 0; look++ {
				before := r.now
				if err := r.sleep(lookApart); err != nil {
					return err
				}
				if err := r.read(); err != nil {
					return err
				}
				pl.Why = r.now.ReasonsToWait(before)
			}
			pl.Steps = r.now.ReplacementOrder(version)
			pl.Now = len(pl.Why) == 0 && len(pl.Steps) > 0
			var err error
			if o.asJSON {
				err = json.NewEncoder(r.out).Encode(pl)
			} else {
				err = printPlan(r.out, pl)
			}
			if err == nil && !pl.Now && len(pl.Steps) > 0 {
				err = exitNotNow
			}
			return err
		}))
	cmd.Flags().StringVar(&version, "version", buildVersion(), "version that is rolled out, as the command version prints it")
	return cmd
}

func printPlan(out io.Writer, pl *plan) error {
	if len(pl.Steps) == 0 {
		_, err := fmt.Fprintf(out, "all controllers run %s\n", pl.Version)
		return err
	}
	fmt.Fprintf(out, "to roll out %s, one at a time: %s\n", pl.Version, strings.Join(pl.Steps, ", "))
	if pl.Now {
		_, err := fmt.Fprintf(out, "%s may be replaced now\n", pl.Steps[0])
		return err
	}
	_, err := fmt.Fprintf(out, "not now: %s\n", strings.Join(pl.Why, "; "))
	return err
}

func upgradeRaise() *cobra.Command {
	var o operator
	var level uint32
	var wait time.Duration
	cmd := o.command("raise", "Have the level raised as soon as every controller can follow; there is no way back",
		func(r *rollout) error {
			to := feature.Level(level)
			if to == 0 {
				to = r.now.NewestLevel()
			}
			if to <= r.now.Level {
				_, err := fmt.Fprintf(r.out, "the cluster is at level %d already\n", r.now.Level)
				return err
			}
			if lacking := r.now.CannotFollow(to); len(lacking) > 0 {
				fmt.Fprintf(r.out, "not now: %s\n", strings.Join(lacking, "; "))
				return exitNotNow
			}
			if err := r.now.Request(r.ctx, r.store, feature.OperatorRequest{TargetLevel: to, Hold: r.now.Hold}, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(r.out, "level %d is asked for\n", to)
			return r.confirmed(to, wait)
		})
	cmd.Flags().Uint32Var(&level, "level", 0, "level to raise to (default: the newest that any controller knows)")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until all have confirmed; 0: not at all")
	return cmd
}

// confirmed waits until all controllers have confirmed a level.
func (r *rollout) confirmed(to feature.Level, wait time.Duration) error {
	if wait <= 0 {
		return nil
	}
	var err error
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if err := r.sleep(time.Second); err != nil {
			return err
		}
		if err = r.read(); err == nil && r.now.Confirmed >= to {
			_, err := fmt.Fprintf(r.out, "level %d, confirmed by all controllers\n", r.now.Level)
			return err
		}
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(r.out, "not yet: level %d; %s\n", r.now.Level, strings.Join(r.now.LevelBlockers, "; "))
	return exitNotNow
}

func upgradeHold() *cobra.Command {
	var o operator
	var off bool
	cmd := o.command("hold", "Keep the level from being raised by itself", func(r *rollout) error {
		if err := r.now.Request(r.ctx, r.store, feature.OperatorRequest{Hold: !off}, time.Now()); err != nil {
			return err
		}
		said := "held: nothing is raised until it is asked for"
		if off {
			said = "no longer held"
		}
		_, err := fmt.Fprintln(r.out, said)
		return err
	})
	cmd.Flags().BoolVar(&off, "off", false, "let it be raised by itself again")
	return cmd
}
