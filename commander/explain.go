package commander

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/explainer"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Tell from the logs of all processes what became of a request",
		Long: "Tell from the logs of all processes what became of a request. A file's name names its\n" +
			"process; without files, standard input is read. The last word before the JSON of a line\n" +
			"names its process, if there is one. The exit status is 1 when no line names the request.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			e := explainer.New(args[0])
			if err := readLogs(cmd, e, args[1:]); err != nil {
				return err
			}
			x := e.Explain()
			writeExplanation(cmd.OutOrStdout(), &x)
			if len(x.Records) == 0 {
				return fmt.Errorf("request %s: not found", x.RequestID)
			}
			return nil
		},
	}
}

func readLogs(cmd *cobra.Command, e *explainer.Explainer, files []string) error {
	if len(files) == 0 {
		return e.Read("-", cmd.InOrStdin())
	}
	for _, path := range files {
		if err := readLog(e, path); err != nil {
			return err
		}
	}
	return nil
}

func readLog(e *explainer.Explainer, path string) error {
	f, err := os.Open(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // The file is only read.
	return e.Read(strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), f)
}

func writeExplanation(w io.Writer, x *medlargw.Explanation) {
	fmt.Fprintf(w, "request %s\n%s\n", x.RequestID, x.Cause)
	writeRecords(w, "decisions", x.Records)
	writeRecords(w, "around it", x.Context)
}

func writeRecords(w io.Writer, title string, all []medlargw.LogRecord) {
	if len(all) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s:\n", title)
	for i := range all {
		rec := &all[i]
		fmt.Fprintf(w, "%s  %s  %s: %s", rec.At.Format(time.RFC3339Nano), rec.Process, rec.Component, rec.Message)
		for _, f := range rec.Fields {
			fmt.Fprintf(w, "  %s=%s", f.Name, f.Value)
		}
		fmt.Fprintln(w)
	}
}
