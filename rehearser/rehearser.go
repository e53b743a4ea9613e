// Package rehearser is the command line of the stand-ins: target, store, load
// tool and demo. None of them is needed in production.
package rehearser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"medlargw.example/medlargw"
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
	root.AddCommand(targetCommand(), storeCommand(), demoCommand())
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
	var slots int
	cmd := &cobra.Command{
		Use:   "target",
		Short: "Serve as a target whose tasks sleep",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), listen, executor.New(slots).Handler())
		},
	}
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

type summaryWire struct {
	Jobs            int                  `json:"jobs"`
	Whole           int                  `json:"whole"`
	Failed          int                  `json:"failed"`
	Refused         int                  `json:"refused"`
	Wrong           int                  `json:"wrong"`
	Twice           int                  `json:"twice"`
	CutOff          int                  `json:"cut_off"`
	ResponseMean    float64              `json:"response_ratio_mean"`
	ResponseP99     float64              `json:"response_ratio_p99"`
	MessagesPerTask float64              `json:"messages_per_task"`
	WastedMessages  int                  `json:"wasted_messages"`
	Classes         map[string]ratioWire `json:"classes"`
}

type ratioWire struct {
	Mean float64 `json:"response_ratio_mean"`
	P99  float64 `json:"response_ratio_p99"`
}

// messagesPerAttempt counts an attempt and its answer.
const messagesPerAttempt = 2

func summaryOf(r medlargw.LoadReport, c medlargw.TargetCounts) summaryWire {
	s := summaryWire{
		Jobs:           r.Jobs,
		Whole:          r.Whole,
		Failed:         r.Failed,
		Refused:        r.Refused,
		Wrong:          r.Wrong,
		Twice:          c.Twice(),
		CutOff:         r.CutOff,
		ResponseMean:   r.Ratio.Mean,
		ResponseP99:    r.Ratio.P99,
		WastedMessages: messagesPerAttempt * (c.Requests - c.Answered),
		Classes:        map[string]ratioWire{},
	}
	if c.Started > 0 {
		s.MessagesPerTask = float64(messagesPerAttempt*c.Requests) / float64(c.Started)
	}
	for class, ratio := range r.Classes {
		s.Classes[class] = ratioWire{Mean: ratio.Mean, P99: ratio.P99}
	}
	return s
}

// printSummary prints what was seen; its error says that a promise was broken.
func printSummary(cmd *cobra.Command, asJSON bool, r medlargw.LoadReport, c medlargw.TargetCounts) error {
	s := summaryOf(r, c)
	if asJSON {
		line, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("encode summary: %w", err)
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(line))
	} else {
		printText(cmd, &s)
	}
	if s.Wrong > 0 || s.Twice > 0 {
		return errBroken
	}
	return nil
}

func printText(cmd *cobra.Command, s *summaryWire) {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "jobs %d, whole %d, failed %d, refused %d, wrong %d, twice %d\n",
		s.Jobs, s.Whole, s.Failed, s.Refused, s.Wrong, s.Twice)
	fmt.Fprintf(w, "response / ideal: mean %.3f, p99 %.3f\n", s.ResponseMean, s.ResponseP99)
	for class, ratio := range s.Classes {
		fmt.Fprintf(w, "  %-10s mean %.3f, p99 %.3f\n", class, ratio.Mean, ratio.P99)
	}
	fmt.Fprintf(w, "messages per task %.3f, wasted messages %d\n", s.MessagesPerTask, s.WastedMessages)
}
