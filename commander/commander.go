// Package commander is the command line of medlargw.
package commander

import (
	"context"
	"fmt"
	"io/fs"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/checker"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/logger"
)

// Version is the version of the program.
const version = "0.1.0"

// Commander holds the command tree.
type Commander struct {
	root *cobra.Command
}

// New returns the command line of the dispatcher.
func New() *Commander {
	root := &cobra.Command{
		Use:           "medlargw",
		Short:         "Dispatches sub-second tasks to targets in order of precedence",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(serveCommand(), checkCommand(), versionCommand())
	return &Commander{root: root}
}

// Run runs the command that the arguments name and returns the exit status.
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

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check DIR...",
		Short: "Report all faults of the *.medlargw files below the directories",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			teams, err := readFiles(dirs)
			if err != nil {
				return err
			}
			cmd.Printf("%d teams, no faults\n", len(teams))
			return nil
		},
	}
}

// readFiles checks the *.medlargw files below the directories.
func readFiles(dirs []string) ([]medlargw.TeamConfig, error) {
	c := checker.New()
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".medlargw" {
				return err
			}
			text, err := os.ReadFile(path) //nolint:gosec // The operator names the directory.
			if err != nil {
				return err
			}
			c.Add(path, text)
			return nil
		})
		if err != nil {
			return nil, fmt.Errorf("read declarations: %w", err)
		}
	}
	return c.Check()
}

func serveCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers as one entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var l loader.Loader
			settings, err := l.Load(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs an entry until a signal asks for its planned stop. A second
// signal ends it at once.
func serve(ctx context.Context, settings medlargw.Settings) error {
	log, err := logger.New()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	b := builder.Builder{Log: log.Logger, Settings: settings}
	entry, err := b.Build()
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if err := entry.Start(ctx); err != nil {
		return err
	}
	<-signals
	log.Info("planned stop begins")
	ctx, cancel := context.WithTimeout(ctx, settings.Group.Drain)
	defer cancel()
	go func() { //nolint:godre // Ends with the process.
		<-signals
		log.Error("second signal: exit at once", zap.String("lost", "all running jobs"))
		os.Exit(1)
	}()
	return entry.Stop(ctx)
}
