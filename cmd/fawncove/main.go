// Command fawncove is a cluster scheduler's controller and its tools.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "fawncove",
		Short:         "A cluster scheduler",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand(), upgradeCommand(), recoverCommand(), tryCommand(), artefactsCommand(), captureCommand(), logsCommand(), servedCommand())
	err := root.Execute()
	var exit exitStatus
	switch {
	case errors.As(err, &exit):
		os.Exit(int(exit))
	case err != nil:
		fmt.Fprintln(os.Stderr, "fawncove:", err)
		os.Exit(1)
	}
}

// exitStatus ends the program with an exit status and without a message: the command has
// printed its answer already.
type exitStatus int

// Error names the status; it is not printed.
func (e exitStatus) Error() string { return fmt.Sprintf("exit status %d", int(e)) }
