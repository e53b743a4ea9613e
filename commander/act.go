package commander

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
)

// errUnknownTarget reports that no entry uses the named target; the name is
// probably misspelt.
var errUnknownTarget = errors.New("no entry uses a target of that name now")

func targetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "target", Short: "Take targets out of use, or back into it"}
	cmd.AddCommand(
		setAsideCommand("aside", "Stop all entries from starting tasks on a target", true),
		setAsideCommand("back", "Let all entries use a target again", false),
	)
	return cmd
}

func setAsideCommand(verb, short string, aside bool) *cobra.Command {
	var f entryFlags
	cmd := &cobra.Command{
		Use:   verb + " TARGET",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			g, addrs, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer g.Close()
			name := medlargw.TargetName(args[0])
			responses := g.SetAside(cmd.Context(), addrs, name, aside)
			if err := printResults(cmd, responses); err != nil {
				return err
			}
			if !isUsed(responses, name) {
				return errUnknownTarget
			}
			return nil
		},
	}
	f.register(cmd, "key")
	return cmd
}

// isUsed reports whether any entry uses the target.
func isUsed(responses []medlargw.EntryResponse, name medlargw.TargetName) bool {
	for i := range responses {
		for _, t := range responses[i].Status.Dispatch.Targets {
			if t.Target.Name == name {
				return true
			}
		}
	}
	return false
}

func logCommand() *cobra.Command {
	var f entryFlags
	cmd := &cobra.Command{
		Use:       "log LEVEL",
		Short:     "Set the log level of all entries: debug, info, warn or error",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"debug", "info", "warn", "error"},
		RunE: func(cmd *cobra.Command, args []string) error {
			g, addrs, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer g.Close()
			return printResults(cmd, g.SetLogLevel(cmd.Context(), addrs, args[0]))
		},
	}
	f.register(cmd, "key")
	return cmd
}

// printResults prints for each entry whether it carried out the action.
func printResults(cmd *cobra.Command, responses []medlargw.EntryResponse) error {
	for i := range responses {
		r := &responses[i]
		if r.Err != nil {
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s: not done: %v\n", r.Host, r.Addr, r.Err)
		} else {
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s: done\n", r.Host, r.Addr)
		}
	}
	return checkAnswered(responses)
}
