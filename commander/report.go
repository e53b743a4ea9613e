package commander

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/presenter"
	"medlargw.example/medlargw/summarizer"
)

func reportCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "report", Short: "Report on the jobs of all entries"}
	cmd.AddCommand(burnCommand())
	return cmd
}

func burnCommand() *cobra.Command {
	var f entryFlags
	var asJSON bool
	var page string
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report error budgets and burn rates per class and team",
		Long: "Report error budgets and burn rates per class and team. The exit status is 1 when\n" +
			"an entry did not answer; the report then covers the other entries only.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r, err := f.burnReport(cmd)
			if err != nil {
				return err
			}
			if err := writeBurn(cmd, &r, asJSON, page); err != nil {
				return err
			}
			return checkAnswered(r.Entries)
		},
	}
	f.register(cmd, "key")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object")
	cmd.Flags().StringVar(&page, "html", "", "file to write a page with a plot to")
	return cmd
}

func (f *entryFlags) burnReport(cmd *cobra.Command) (medlargw.BurnReport, error) {
	g, addrs, err := f.open(cmd.Context())
	if err != nil {
		return medlargw.BurnReport{}, err
	}
	defer g.Close()
	var s summarizer.Summarizer
	return s.Summarize(g.BurnStatus(cmd.Context(), addrs), time.Now()), nil
}

func writeBurn(cmd *cobra.Command, r *medlargw.BurnReport, asJSON bool, page string) error {
	var p presenter.Presenter
	if page != "" {
		if err := writePage(&p, r, page); err != nil {
			return err
		}
		cmd.PrintErrf("wrote %s\n", page)
	}
	switch {
	case asJSON:
		return p.BurnJSON(cmd.OutOrStdout(), r)
	case page != "":
		return nil
	}
	return p.Burn(cmd.OutOrStdout(), r)
}

func writePage(p *presenter.Presenter, r *medlargw.BurnReport, page string) error {
	f, err := os.Create(page) //nolint:gosec // The operator names the file.
	if err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	if err := p.BurnHTML(f, r); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
