package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"fawncove/internal/core/recovery"
)

func recoverCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "recover", Short: "See what became of a state service that has lost data"}
	var o clusterCommands
	cmd.AddCommand(o.jsonFlag(o.stateCommand("status", "Show the state's generation and the last rebuild; ends with 3 while one is under way",
		func(r *session) error {
			g, found, err := recovery.Read(r.ctx, r.store)
			switch {
			case err != nil:
				return err
			case o.asJSON:
				err = json.NewEncoder(r.out).Encode(g)
			default:
				err = printGeneration(r.out, g, found)
			}
			if err == nil && g.Rebuilding {
				err = exitPending
			}
			return err
		})))
	return cmd
}

func printGeneration(out io.Writer, generation recovery.Generation, found bool) error {
	at := time.UnixMilli(generation.RecoveredAtMs)
	var err error
	switch {
	case !found:
		_, err = fmt.Fprintln(out, "generation 1: no loss of data was ever detected")
	case generation.Rebuilding:
		_, err = fmt.Fprintf(out, "generation %d has lost data; %s noticed %s, and the state is being recovered\n", generation.Generation, generation.Controller, humanize.Time(at))
	default:
		_, err = fmt.Fprintf(out, `generation %d, recovered by %s %s (%s) in %v
revision %d had been seen, %d was found
stored again: %d jobs, %d ends; %d machines were taken over
`, generation.Generation, generation.Controller, humanize.Time(at), at.UTC().Format(time.RFC3339), time.Duration(generation.TookMs)*time.Millisecond, generation.RevisionSeen, generation.RevisionFound, generation.Jobs, generation.Ends, generation.Machines)
	}
	return err
}
