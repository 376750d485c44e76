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
	"fawncove/internal/core/gate"
	"fawncove/internal/edge/statestore"
	"fawncove/internal/upgrade"
)

// exitNotNow is the status of a command whose answer is "not now".
const exitNotNow = exitStatus(3)

// develVersion is what builds are called that know nothing of their source.
const develVersion = "(devel)"

// lookApart is how far apart two looks at the lease value are taken: a leader
// publishes every 5 s.
const lookApart = 6 * time.Second

// operator is what the commands of a rollout share.
type operator struct {
	config string
	asJSON bool
}

func (o *operator) flags(cmd *cobra.Command) {
	configFlag(cmd, &o.config)
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print one JSON object")
}

// open returns the settings and a client of the state service they name.
func (o *operator) open() (*config.Settings, *statestore.Store, error) {
	s, err := config.Load(o.config)
	if err != nil {
		return nil, nil, err
	}
	return s, statestore.New(s.External.State, s.Cluster.State.RPS, s.Cluster.State.WriteRPS, s.Controllers()), nil
}

func upgradeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "upgrade", Short: "Roll out another version of the controllers"}
	cmd.AddCommand(upgradeStatus(), upgradePlan(), upgradeRaise(), upgradeHold())
	return cmd
}

func upgradeStatus() *cobra.Command {
	var o operator
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show versions, levels and what is left; ends with 3 while a rollout is under way",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, store, err := o.open()
			if err != nil {
				return err
			}
			p, err := upgrade.Read(ctx, store, s)
			if err != nil {
				return err
			}
			if o.asJSON {
				err = json.NewEncoder(cmd.OutOrStdout()).Encode(p)
			} else {
				err = printPicture(cmd.OutOrStdout(), p)
			}
			if err == nil && !p.Settled() {
				err = exitNotNow
			}
			return err
		},
	}
	o.flags(cmd)
	return cmd
}

func printPicture(out io.Writer, p *upgrade.Picture) error {
	fmt.Fprintf(out, "%s; lease value in form %d, generation %d\n\n", p.Summary(), p.Form, p.Generation)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CONTROLLER\tVERSION\tLEVELS\tSEEN\tREADY\tMACHINES\tUNHEARD\tTO REWRITE\tTOLD")
	for _, c := range p.Controllers {
		name, version, levels, seen, ready, told := c.Name, c.Version, fmt.Sprintf("%d-%d", c.Oldest, c.Newest), fmt.Sprint(c.Seen), fmt.Sprint(c.Ready), "-"
		if c.Leads {
			name += " (leads)"
		}
		switch {
		case c.Older():
			version, levels, seen, ready = "from before levels", "-", "-", "-"
		case c.Process == 0:
			version, levels, seen, ready = "not heard of", "-", "-", "-"
		default:
			told = humanize.Time(c.Told)
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", name, version, levels, seen, ready, c.Machines, c.Unheard, c.Left, told)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if p.Hold {
		fmt.Fprintln(out, "\nheld by the operator")
	}
	if p.Asked > p.Level {
		fmt.Fprintf(out, "\nlevel %d is asked for\n", p.Asked)
	}
	for i, w := range p.Waits {
		if i == 0 {
			fmt.Fprintln(out, "\nthe leader waits:")
		}
		fmt.Fprintln(out, "  "+w)
	}
	fmt.Fprintln(out)
	for _, g := range gate.All() {
		i := g.Info()
		state := "closed"
		if (gate.State{Level: p.Level, Confirmed: p.Confirmed}).Open(g) {
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
	cmd := &cobra.Command{
		Use:   "plan",
		Short: "Show the order of replacement, and whether the next one may go now; ends with 3 if not",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, store, err := o.open()
			if err != nil {
				return err
			}
			if version == develVersion {
				return errors.New("this build names no version, so it cannot be told from another: build with -buildvcs=true, or name what is rolled out with --version")
			}
			pl, err := makePlan(ctx, store, s, version)
			if err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if o.asJSON {
				err = json.NewEncoder(out).Encode(pl)
			} else {
				err = printPlan(out, pl)
			}
			if err == nil && !pl.Now && len(pl.Steps) > 0 {
				err = exitNotNow
			}
			return err
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&version, "version", buildVersion(), "version that is rolled out, as `fawncove version` prints it")
	return cmd
}

// makePlan looks at the cluster twice, since only a value that changes shows
// that somebody leads.
func makePlan(ctx context.Context, store upgrade.Store, s *config.Settings, version string) (*plan, error) {
	before, err := upgrade.Read(ctx, store, s)
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(lookApart):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	now, err := upgrade.Read(ctx, store, s)
	if err != nil {
		return nil, err
	}
	pl := &plan{Version: version, Steps: now.Steps(version), Why: now.Busy(before)}
	pl.Now = len(pl.Why) == 0 && len(pl.Steps) > 0
	return pl, nil
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
	cmd := &cobra.Command{
		Use:   "raise",
		Short: "Have the level raised as soon as every controller can follow; there is no way back",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, store, err := o.open()
			if err != nil {
				return err
			}
			p, err := upgrade.Read(ctx, store, s)
			if err != nil {
				return err
			}
			to := gate.Level(level)
			if to == 0 {
				to = p.Newest()
			}
			out := cmd.OutOrStdout()
			if to <= p.Level {
				_, err := fmt.Fprintf(out, "the cluster is at level %d already\n", p.Level)
				return err
			}
			if lacking := p.CannotFollow(to); len(lacking) > 0 {
				fmt.Fprintf(out, "not now: %s\n", strings.Join(lacking, "; "))
				return exitNotNow
			}
			if err := p.Ask(ctx, store, gate.Word{Level: to, Hold: p.Hold}, time.Now()); err != nil {
				return err
			}
			fmt.Fprintf(out, "level %d is asked for\n", to)
			for end := time.Now().Add(wait); time.Now().Before(end); {
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
					return ctx.Err()
				}
				if p, err = upgrade.Read(ctx, store, s); err == nil && p.Confirmed >= to {
					_, err := fmt.Fprintf(out, "level %d, confirmed by all controllers\n", p.Level)
					return err
				}
			}
			if err != nil {
				return err
			}
			if wait > 0 {
				fmt.Fprintf(out, "not yet: level %d; %s\n", p.Level, strings.Join(p.Waits, "; "))
				return exitNotNow
			}
			return nil
		},
	}
	o.flags(cmd)
	cmd.Flags().Uint32Var(&level, "level", 0, "level to raise to (default: the newest that any controller knows)")
	cmd.Flags().DurationVar(&wait, "wait", 30*time.Second, "how long to wait until all have confirmed; 0: not at all")
	return cmd
}

func upgradeHold() *cobra.Command {
	var o operator
	var off bool
	cmd := &cobra.Command{
		Use:   "hold",
		Short: "Keep the level from being raised by itself",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := interrupted(cmd.Context())
			defer cancel()
			s, store, err := o.open()
			if err != nil {
				return err
			}
			p, err := upgrade.Read(ctx, store, s)
			if err != nil {
				return err
			}
			if err := p.Ask(ctx, store, gate.Word{Hold: !off}, time.Now()); err != nil {
				return err
			}
			said := "held: nothing is raised until it is asked for"
			if off {
				said = "no longer held"
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), said)
			return err
		},
	}
	o.flags(cmd)
	cmd.Flags().BoolVar(&off, "off", false, "let it be raised by itself again")
	return cmd
}
