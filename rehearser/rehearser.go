// Package rehearser is the command line of medlargw-standin: simulated targets,
// store and platform, a load generator and a demo. None of them is needed in
// production.
package rehearser

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"medlargw.example/medlargw/demonstrator"
	"medlargw.example/medlargw/executor"
	"medlargw.example/medlargw/storer"
)

// readHeaderTimeout is the longest time that a simulated server waits for the
// headers of a request.
const readHeaderTimeout = 10 * time.Second

// errViolation reports that an invariant was violated during a run.
var errViolation = errors.New("a task ran twice or an answer was wrong")

// Rehearser holds the command tree.
type Rehearser struct {
	root *cobra.Command
}

// New returns the command line with all its commands.
func New() *Rehearser {
	root := &cobra.Command{
		Use:           "medlargw-standin",
		Short:         "Simulated dependencies of medlargw, a load generator and a demo",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(targetCommand(), storeCommand(), loadCommand(), demoCommand(), platformCommand())
	return &Rehearser{root: root}
}

// Run runs the command that the process's arguments name and returns its exit
// status.
func (r *Rehearser) Run(ctx context.Context) int {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := r.root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func targetCommand() *cobra.Command {
	var listen string
	var slots, count int
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve one or more simulated targets whose tasks sleep",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveTargets(cmd.Context(), listen, slots, count)
		},
	}
	cmd.Flags().IntVar(&count, "count", 1, "number of targets, on consecutive ports")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "address to listen on")
	cmd.Flags().IntVar(&slots, "slots", 8, "number of tasks that run concurrently")
	return cmd
}

func storeCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Serve a simulated key-value store and host list of the platform",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, storer.New().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7800", "address to listen on")
	return cmd
}

// serveTargets serves count targets on consecutive ports until the context ends.
func serveTargets(ctx context.Context, listen string, slots, count int) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	serving := pool.New().WithContext(ctx).WithCancelOnError()
	for n := range count {
		target := netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(n))
		serving.Go(func(ctx context.Context) error {
			return serve(ctx, target.String(), executor.New(slots).Handler())
		})
	}
	return serving.Wait()
}

// serve serves the handler on the address until the context ends.
func serve(ctx context.Context, listen string, h http.Handler) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	server := &http.Server{Addr: addr.String(), Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stopped := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopped()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func demoCommand() *cobra.Command {
	var seconds int
	var seed uint64
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole deployment in this process and send it a load",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d := demonstrator.New(zap.NewNop())
			cmd.PrintErrf("sending jobs for %d s ...\n", seconds)
			if err := d.Run(cmd.Context(), time.Duration(seconds)*time.Second, seed); err != nil {
				return err
			}
			return printSummary(cmd, asJSON, d.LoadReport, d.Counts)
		},
	}
	cmd.Flags().IntVar(&seconds, "seconds", 10, "duration of the load, in seconds")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the random load")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object as the last line")
	return cmd
}
