package commander

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/builder"
	"medlargw.example/medlargw/loader"
	"medlargw.example/medlargw/logger"
	platform "medlargw.example/medlargw/platform/builder"
	"medlargw.example/medlargw/registrar"
)

func serveCommand() *cobra.Command {
	var path string
	var platform bool
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers as one entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if platform {
				return servePlatform(cmd.Context())
			}
			var l loader.Loader
			settings, err := l.Load(path)
			if err != nil {
				return err
			}
			return serve(cmd.Context(), settings)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	cmd.Flags().BoolVar(&platform, "platform", false, "run on the operators' platform, with its settings file")
	cmd.MarkFlagsOneRequired("settings", "platform")
	cmd.MarkFlagsMutuallyExclusive("settings", "platform")
	return cmd
}

// serve runs an entry until a signal requests its planned stop. A second signal
// ends the process at once.
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
	return runUntilSignal(ctx, log.Logger, entry, &settings, nil)
}

// servePlatform runs an entry on the operators' platform until a signal requests
// its planned stop, as serve does.
func servePlatform(ctx context.Context) error {
	log, err := logger.New()
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	b := platform.Builder{Log: log.Logger, Version: version}
	entry, settings, err := b.Build()
	if err != nil {
		return err
	}
	return runUntilSignal(ctx, log.Logger, entry, &settings, b.Reload)
}

// runUntilSignal sets the limit of the collector, starts the components and stops them at the first SIGTERM or
// interrupt. SIGHUP calls reload, if it is not nil.
func runUntilSignal(
	ctx context.Context,
	log *zap.Logger,
	entry *registrar.Registrar,
	settings *medlargw.Settings,
	reload func(),
) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	if limit, ok := settings.Capacity.CollectorLimit(); ok {
		debug.SetMemoryLimit(limit)
	}
	if err := entry.Start(ctx); err != nil {
		return err
	}
	if reload != nil {
		changes := make(chan os.Signal, 1)
		signal.Notify(changes, syscall.SIGHUP)
		defer signal.Stop(changes)
		var reloading conc.WaitGroup // Not waited for: the goroutine ends with the process.
		reloading.Go(func() {
			for range changes {
				reload()
			}
		})
	}
	<-signals
	return plannedStop(ctx, log, entry, settings.Group, signals)
}

// plannedStop performs the planned stop. It reports the entry as not ready and
// leaving, accepts requests until the notice time is over, waits for accepted
// requests to end and stops the components. Another signal ends the process at
// once.
func plannedStop(
	ctx context.Context,
	log *zap.Logger,
	entry *registrar.Registrar,
	group medlargw.GroupSettings,
	signals <-chan os.Signal,
) error {
	log.Info("planned stop begins", zap.Duration("notice", group.Notice), zap.Duration("drain", group.Drain))
	var secondSignal conc.WaitGroup // Not waited for: the goroutine ends with the process.
	secondSignal.Go(func() {
		<-signals
		log.Error("second signal: exit at once", lostWork(ctx, entry)...)
		_ = log.Sync()
		os.Exit(1)
	})
	ctx, cancel := context.WithTimeout(ctx, group.Drain)
	defer cancel()
	err := entry.PreStop(ctx)
	select {
	case <-time.After(group.Notice):
	case <-ctx.Done():
	}
	err = errors.Join(err, entry.Stop(ctx))
	log.Info("planned stop ends", zap.Error(err))
	return err
}

// lostWorkTimeout bounds the wait for the status that lostWork reads.
const lostWorkTimeout = 100 * time.Millisecond

// lostWork returns the counts of the jobs and tasks that are lost if the process
// exits now.
func lostWork(ctx context.Context, entry *registrar.Registrar) []zap.Field {
	ctx, cancel := context.WithTimeout(ctx, lostWorkTimeout)
	defer cancel()
	inspector, err := registrar.Find[medlargw.Inspector](entry, "dispatcher")
	if err != nil {
		return []zap.Field{zap.Error(err)}
	}
	status, err := inspector.Status(ctx)
	if err != nil {
		return []zap.Field{zap.String("lost", "unknown"), zap.Error(err)}
	}
	waiting := 0
	for _, q := range status.Queues {
		waiting += q.Tasks
	}
	return []zap.Field{
		zap.Int("jobs", status.Jobs),
		zap.Int("running", status.Running),
		zap.Int("waiting", waiting),
	}
}
