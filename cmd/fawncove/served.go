package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"fawncove/internal/core/servicereport"
)

func servedCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "served LOG...",
		Short: "Add up what controllers logged of who was served",
		Long: `Reads the logs of all controllers of a day, written with LOG_LEVEL info or
debug, and adds up what became of the jobs of each team and class, and of the
largest jobs of each class. Ends with status 1 when less than half of any of them
was served or one of the largest began after four minutes.`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, paths []string) error {
			var sum servicereport.Summary
			for _, path := range paths {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				err = sum.Add(f)
				_ = f.Close() // it was only read
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
			}
			return printServed(cmd.OutOrStdout(), sum.Rows(), asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// printServed prints the rows; exit status 1 says that a day with them fails.
func printServed(out io.Writer, rows []servicereport.Row, asJSON bool) error {
	failed := false
	for _, r := range rows {
		failed = failed || r.Failed != ""
	}
	if asJSON {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		if err := enc.Encode(rows); err != nil {
			return err
		}
	} else {
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "kind\tname\tcame\taccepted\tbegun\tlate\tended\tcancelled\tshare\toldest\tlargest\ttheir share\t")
		for _, r := range rows {
			largest, share := "", ""
			if r.Largest > 0 {
				largest, share = fmt.Sprint(r.Largest), fmt.Sprintf("%.3f", r.LargestShare)
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f s\t%s\t%s\t%s\n", r.Kind, r.Name, r.Submitted, r.Accepted,
				r.Started, r.StartedLate, r.Ended, r.Cancelled, r.Share, r.OldestS, largest, share, r.Failed)
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	if failed {
		return exitStatus(1)
	}
	return nil
}
