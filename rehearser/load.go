package rehearser

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
	"medlargw.example/medlargw/driver"
	"medlargw.example/medlargw/executor"
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	entries []string
	store   string
	kinds   []string
	pids    []int
	rate    float64
	seconds int
	seed    uint64
	direct  bool
	balance bool
}

func loadCommand() *cobra.Command {
	var f loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send jobs to entries, or tasks straight to targets, and report response times and the targets' counts",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&f.entries, "entry", nil, "address of an entry; may be repeated")
	flags.StringVar(&f.store, "store", "127.0.0.1:7800", "address of the simulated store, which holds the list of targets")
	flags.StringArrayVar(&f.kinds, "kind", nil, "SERVICE,CLASS,TOKEN,TASKS,RUN,DEADLINE of one kind of job; may be repeated")
	flags.IntSliceVar(&f.pids, "pid", nil, "ID of a process whose CPU time and memory use are reported; may be repeated")
	flags.Float64Var(&f.rate, "rate", 100, "mean number of jobs per second")
	flags.IntVar(&f.seconds, "seconds", 10, "duration of the load, in seconds")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random load")
	flags.BoolVar(&f.balance, "balance", false, "skip entries that are not ready, as the platform's load balancer does")
	flags.BoolVar(&f.direct, "direct", false, "send tasks straight to the targets and track their free slots")
	return cmd
}

func (f *loadFlags) run(cmd *cobra.Command) error {
	ctx := cmd.Context()
	load, targets, err := f.load(ctx)
	if err != nil {
		return err
	}
	before, err := fetchCounts(ctx, targets)
	if err != nil {
		return err
	}
	usage, err := startUsageMeter(f.pids)
	if err != nil {
		return err
	}
	report, err := driver.New(load, maxTaskNumber(&before)).Run(ctx)
	if err != nil {
		return err
	}
	used := usage.report(report.Tasks)
	after, err := fetchCounts(ctx, targets)
	if err != nil {
		return err
	}
	line, err := json.Marshal(used)
	if err != nil {
		return fmt.Errorf("encode usage: %w", err)
	}
	cmd.PrintErrln("processes:", string(line))
	return printSummary(cmd, true, report, subtractCounts(after, &before))
}

// load returns the load that the flags describe, and the targets that the store
// lists.
func (f *loadFlags) load(ctx context.Context) (medlargw.Load, []medlargw.Target, error) {
	load := medlargw.Load{SkipUnready: f.balance, Rate: f.rate, Duration: time.Duration(f.seconds) * time.Second, Seed: f.seed}
	store, err := netip.ParseAddrPort(f.store)
	if err != nil {
		return load, nil, fmt.Errorf("parse store address: %w", err)
	}
	list, err := accessor.New(store, listTimeout).Hosts(ctx)
	if err != nil {
		return load, nil, fmt.Errorf("read targets: %w", err)
	}
	if f.direct {
		load.DirectTargets = list.Targets
	}
	for _, text := range f.entries {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return load, nil, fmt.Errorf("parse entry address: %w", err)
		}
		load.Entries = append(load.Entries, addr)
	}
	for _, text := range f.kinds {
		kind, err := parseKind(text)
		if err != nil {
			return load, nil, err
		}
		load.Kinds = append(load.Kinds, kind)
	}
	if len(load.Kinds) == 0 || len(list.Targets) == 0 || (len(load.Entries) == 0 && !f.direct) {
		return load, nil, fmt.Errorf("got %d kinds, %d targets and %d entries, want at least one each",
			len(load.Kinds), len(list.Targets), len(load.Entries))
	}
	return load, list.Targets, nil
}

// kindFieldCount is the number of values in a kind flag.
const kindFieldCount = 6

// listTimeout bounds the read of the host list.
const listTimeout = 5 * time.Second

// parseKind parses the value of a kind flag.
func parseKind(text string) (medlargw.JobKind, error) {
	values := strings.Split(text, ",")
	if len(values) != kindFieldCount {
		return medlargw.JobKind{}, fmt.Errorf("kind %q: got %d values, want %d", text, len(values), kindFieldCount)
	}
	tasks, err := strconv.Atoi(values[3])
	if err != nil || tasks < 1 {
		return medlargw.JobKind{}, fmt.Errorf("kind %q: got %q tasks, want at least 1", text, values[3])
	}
	run, err := time.ParseDuration(values[4])
	if err != nil || run <= 0 {
		return medlargw.JobKind{}, fmt.Errorf("kind %q: got run time %q, want one such as \"50ms\"", text, values[4])
	}
	deadline, err := time.ParseDuration(values[5])
	if err != nil {
		return medlargw.JobKind{}, fmt.Errorf("kind %q: %w", text, err)
	}
	return medlargw.JobKind{
		Service: values[0], Class: values[1], Token: values[2], MeanTasks: tasks, MeanRunTime: run, Deadline: deadline,
	}, nil
}

// fetchCounts fetches the counts of the targets and returns their sum.
func fetchCounts(ctx context.Context, targets []medlargw.Target) (medlargw.TargetCounts, error) {
	var sum medlargw.TargetCounts
	for i := range targets {
		url := "http://" + targets[i].Addr.String() + "/counts"
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return sum, fmt.Errorf("build request: %w", err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return sum, fmt.Errorf("read counts: %w", err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return sum, fmt.Errorf("read counts: %w", err)
		}
		counts, err := executor.DecodeCounts(body)
		if err != nil {
			return sum, fmt.Errorf("decode counts: %w", err)
		}
		sum.Add(counts)
	}
	return sum, nil
}

// maxTaskNumber returns the highest number among the tasks that were started.
func maxTaskNumber(c *medlargw.TargetCounts) uint64 {
	var highest uint64
	for n := range c.StartsByTask {
		highest = max(highest, n)
	}
	return highest
}

// subtractCounts returns the counts less those taken before.
func subtractCounts(c medlargw.TargetCounts, before *medlargw.TargetCounts) medlargw.TargetCounts {
	c.Requests -= before.Requests
	c.Started -= before.Started
	c.NotStarted -= before.NotStarted
	c.Answered -= before.Answered
	c.Stopped -= before.Stopped
	for n := range before.StartsByTask {
		delete(c.StartsByTask, n)
	}
	return c
}
