package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"

	"fawncove/internal/config"
)

const (
	// fewMachines is a fleet that is too small for any deployment.
	fewMachines = 50
	// cpusPerMachine is a middling machine; the settings name no types.
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
			room := s.FleetRoom()
			if _, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, controller %s with %d peers, room for leases of about %d machines\n",
				path, s.HostName, len(s.Peers), room); err != nil {
				return err
			}
			most := 0.0
			for _, t := range s.Cluster.Teams {
				most += max(t.CPUs, t.CPUsMax)
			}
			if room < fewMachines || most > cpusPerMachine*float64(room) {
				if _, err = fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: cluster.state.value_kb: leases of only about %d machines fit; the fleet will stop growing there\n", path, room); err != nil {
					return err
				}
			}
			// One controller may hold every machine, with a connection for its
			// reports and one for commands.
			if sockets := s.Cluster.Limits.Sockets; sockets > 0 && 2*most/cpusPerMachine > float64(sockets) {
				_, err = fmt.Fprintf(cmd.ErrOrStderr(), "%s: warning: cluster.limits.sockets: %d are too few for the about %.0f machines that the teams' limits allow\n", path, sockets, most/cpusPerMachine)
			}
			return err
		},
	}
	configFlag(cmd, &path)
	return cmd
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
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "fawncove", version)
			return err
		},
	}
}
