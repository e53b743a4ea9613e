package commander

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
)

// errUnknownTarget says that a name is probably misspelt.
var errUnknownTarget = errors.New("no entry uses a target of that name now")

func targetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "target", Short: "Take targets out of use, or back into it"}
	cmd.AddCommand(
		asideCommand("aside", "Have all entries start nothing more on a target", true),
		asideCommand("back", "Have all entries use a target again", false),
	)
	return cmd
}

func asideCommand(verb, short string, aside bool) *cobra.Command {
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
			answers := g.SetAside(cmd.Context(), addrs, name, aside)
			if err := printDone(cmd, answers); err != nil {
				return err
			}
			if !used(answers, name) {
				return errUnknownTarget
			}
			return nil
		},
	}
	f.register(cmd, "key")
	return cmd
}

// used reports whether an entry uses the target.
func used(answers []medlargw.EntryAnswer, name medlargw.TargetName) bool {
	for i := range answers {
		for _, t := range answers[i].Status.Core.Targets {
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
		Short:     "Have all entries log from a level on: debug, info, warn or error",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"debug", "info", "warn", "error"},
		RunE: func(cmd *cobra.Command, args []string) error {
			g, addrs, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer g.Close()
			return printDone(cmd, g.SetLevel(cmd.Context(), addrs, args[0]))
		},
	}
	f.register(cmd, "key")
	return cmd
}

// printDone says which entries carried the action out.
func printDone(cmd *cobra.Command, answers []medlargw.EntryAnswer) error {
	for i := range answers {
		a := &answers[i]
		if a.Err != nil {
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s: not done: %v\n", a.Host, a.Addr, a.Err)
		} else {
			fmt.Fprintf(cmd.OutOrStdout(), "%s %s: done\n", a.Host, a.Addr)
		}
	}
	return silent(answers)
}
