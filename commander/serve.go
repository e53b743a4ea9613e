package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/logger"
)

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
	b := builder.Builder{Log: log.Logger, Settings: settings, Level: log.Level, Version: version}
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
	var impatient conc.WaitGroup // Never waited for: it ends with the process.
	impatient.Go(func() {
		<-signals
		log.Error("second signal: exit at once", zap.String("lost", "all running jobs"))
		os.Exit(1)
	})
	return entry.Stop(ctx)
}
