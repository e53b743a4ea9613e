// Package rehearser is the command line of the stand-ins: target, store, load
// tool and demo. None of them is needed in production.
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

// headerTimeout bounds how long a stand-in waits for a request's header.
const headerTimeout = 10 * time.Second

// errBroken says that a run broke what must always hold.
var errBroken = errors.New("a task ran twice or an answer was wrong")

// Rehearser holds the command tree.
type Rehearser struct {
	root *cobra.Command
}

// New returns the command line of the stand-ins.
func New() *Rehearser {
	root := &cobra.Command{
		Use:           "medlargw-standin",
		Short:         "Stand-ins for the systems around medlargw, a load tool and a demo",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(targetCommand(), storeCommand(), loadCommand(), demoCommand(), platformCommand())
	return &Rehearser{root: root}
}

// Run runs the command that the arguments name and returns the exit status.
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
		Short: "Serve as one or more targets whose tasks sleep",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveTargets(cmd.Context(), listen, slots, count)
		},
	}
	cmd.Flags().IntVar(&count, "count", 1, "targets, on ports that follow each other")
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7900", "address to serve")
	cmd.Flags().IntVar(&slots, "slots", 8, "tasks that run side by side")
	return cmd
}

func storeCommand() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Serve as the platform's key-value service and list of hosts",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, storer.New().Handler())
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7800", "address to serve")
	return cmd
}

// serveTargets serves the targets until the context ends.
func serveTargets(ctx context.Context, listen string, slots, count int) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	serving := pool.New().WithContext(ctx).WithCancelOnError()
	for n := range count {
		next := netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(n))
		serving.Go(func(ctx context.Context) error {
			return serve(ctx, next.String(), executor.New(slots).Handler())
		})
	}
	return serving.Wait()
}

// serve serves until the context ends.
func serve(ctx context.Context, listen string, h http.Handler) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return fmt.Errorf("parse address: %w", err)
	}
	server := &http.Server{Addr: addr.String(), Handler: h, ReadHeaderTimeout: headerTimeout}
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
			return printSummary(cmd, asJSON, d.Report, d.Counts)
		},
	}
	cmd.Flags().IntVar(&seconds, "seconds", 10, "how long jobs are sent")
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the load")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print one JSON object as the last line")
	return cmd
}
