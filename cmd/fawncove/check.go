package main

import (
	"fmt"
	"io"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"fawncove/internal/config"
	"fawncove/internal/core/cluster"
	"fawncove/internal/core/feature"
	"fawncove/internal/core/owner"
)

const (
	// minUsefulFleet is the size, in machines, below which a fleet is of no use.
	minUsefulFleet = 50
	// cpusPerMachine is the size assumed of a machine: the settings name no machine types.
	cpusPerMachine = 16
)

func checkCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "check-config",
		Short: "Check a settings file",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := config.Load(path)
			if err != nil {
				return err
			}
			if err := printLimits(cmd.OutOrStdout(), cmd.ErrOrStderr(), path, s); err != nil {
				return err
			}
			return warnCancelTime(cmd.ErrOrStderr(), path, s)
		},
	}
	configFlag(cmd, &path)
	return cmd
}

// printLimits prints the largest fleet that each limit of the settings allows, and a
// warning when the tightest is too small for what the teams may use.
func printLimits(out, warn io.Writer, path string, s *config.Settings) error {
	budgets := s.FleetLimits()
	if _, err := fmt.Fprintf(out, "%s: ok, controller %s with %d peers, a fleet of up to about %d machines\n",
		path, s.HostName, len(s.Peers), budgets[0].Machines); err != nil {
		return err
	}
	for i, b := range budgets {
		note := ""
		if i == 0 {
			note = " (the tightest)"
		}
		if _, err := fmt.Fprintf(out, "  %-28s %-26s %7d machines%s\n", b.Resource, b.Setting, b.Machines, note); err != nil {
			return err
		}
	}
	limits := 0.0
	for _, t := range s.Cluster.Teams {
		limits += max(t.CPUs, t.CPUsMax)
	}
	if tightest := budgets[0]; tightest.Machines < minUsefulFleet || limits > cpusPerMachine*float64(tightest.Machines) {
		_, err := fmt.Fprintf(warn, "%s: warning: %s: %s for only about %d machines; the fleet will stop growing there\n", path, tightest.Setting, tightest.Resource, tightest.Machines)
		return err
	}
	return nil
}

// warnCancelTime prints a warning if cancel_s cannot be kept on a machine that hangs while its
// controller ends.
func warnCancelTime(warn io.Writer, path string, s *config.Settings) error {
	params := cluster.Defaults()
	least := owner.MinCancelTime(s.Cluster.Workers, params)
	if config.Seconds(s.Cluster.Workers.CancelS) >= least {
		return nil
	}
	_, err := fmt.Fprintf(warn, "%s: warning: cluster.workers.cancel_s: %g s cannot be kept where a machine hangs and its controller ends; "+
		"with report_s %g, lease_s %g and block leases of %v it takes up to %v\n",
		path, s.Cluster.Workers.CancelS, s.Cluster.Workers.ReportS, s.Cluster.Workers.LeaseS, params.LeaseDuration, least.Round(100*time.Millisecond))
	return err
}

// configFlag adds the flag that names the settings file.
func configFlag(cmd *cobra.Command, path *string) {
	cmd.Flags().StringVar(path, "config", "", "path of the settings file (TOML)")
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag was added a line above
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "fawncove %s, levels %d to %d\n", buildVersion(), feature.Oldest, feature.Newest)
			return err
		},
	}
}

// buildVersion names the build: the module's version, or of a build from a
// working tree the revision.
func buildVersion() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}
