package commander

import (
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw/presenter"
)

func statusCommand() *cobra.Command {
	var f entryFlags
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the state of all entries on one screen",
		Long: "Show the state of all entries that the given ones know of. The exit status is 1\n" +
			"when an entry did not answer; the state of the others is shown nevertheless.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			g, addrs, err := f.open(cmd.Context())
			if err != nil {
				return err
			}
			defer g.Close()
			responses := g.Status(cmd.Context(), addrs)
			var p presenter.Presenter
			if asJSON {
				err = p.StatusJSON(cmd.OutOrStdout(), responses)
			} else {
				err = p.Status(cmd.OutOrStdout(), responses, time.Now())
			}
			if err != nil {
				return err
			}
			return checkAnswered(responses)
		},
	}
	f.register(cmd, "key")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	return cmd
}
