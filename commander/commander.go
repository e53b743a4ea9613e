// Package commander is the command line of medlargw.
package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is the version of the program.
const version = "0.1.0"

// Commander holds the command tree.
type Commander struct {
	root *cobra.Command
}

// New returns the command line of medlargw.
func New() *Commander {
	root := &cobra.Command{
		Use:           "medlargw",
		Short:         "Dispatches sub-second tasks to targets in order of precedence",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout) // For results; errors are written to standard error.
	root.AddCommand(serveCommand(), checkCommand(), publishCommand(), evacuateCommand(), statusCommand(), reportCommand(), explainCommand(), targetCommand(), logCommand(), versionCommand())
	return &Commander{root: root}
}

// Run runs the command that the program's arguments name and returns the exit
// status.
func (c *Commander) Run(ctx context.Context) int {
	if err := c.root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println("medlargw " + version) },
	}
}
