package rehearser

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
)

type summaryWire struct {
	Jobs            int                     `json:"jobs"`
	Complete        int                     `json:"whole"`
	Failed          int                     `json:"failed"`
	Refused         int                     `json:"refused"`
	Incorrect       int                     `json:"wrong"`
	DuplicateStarts int                     `json:"twice"`
	NoResponse      int                     `json:"cut_off"`
	ResponseMean    float64                 `json:"response_ratio_mean"`
	ResponseP99     float64                 `json:"response_ratio_p99"`
	MessagesPerTask float64                 `json:"messages_per_task"`
	WastedMessages  int                     `json:"wasted_messages"`
	Tasks           int                     `json:"tasks"`
	OverheadMedian  int64                   `json:"added_median_us"` // Response time less the longest run time of the job's tasks.
	OverheadP99     int64                   `json:"added_p99_us"`
	Classes         map[string]slowdownWire `json:"classes"`
}

type slowdownWire struct {
	Mean float64 `json:"response_ratio_mean"`
	P99  float64 `json:"response_ratio_p99"`
}

// messagesPerAttempt is the number of messages of an attempt: request and
// response.
const messagesPerAttempt = 2

func buildSummary(r medlargw.LoadReport, c medlargw.TargetCounts) summaryWire {
	s := summaryWire{
		Jobs:            r.Jobs,
		Complete:        r.Complete,
		Failed:          r.Failed,
		Refused:         r.Refused,
		Incorrect:       r.Incorrect,
		DuplicateStarts: c.DuplicateStarts(),
		NoResponse:      r.NoResponse,
		ResponseMean:    r.Slowdown.Mean,
		ResponseP99:     r.Slowdown.P99,
		WastedMessages:  messagesPerAttempt * (c.Requests - c.Answered),
		Tasks:           r.Tasks,
		OverheadMedian:  r.Overhead.Median.Microseconds(),
		OverheadP99:     r.Overhead.P99.Microseconds(),
		Classes:         map[string]slowdownWire{},
	}
	if c.Started > 0 {
		s.MessagesPerTask = float64(messagesPerAttempt*c.Requests) / float64(c.Started)
	}
	for class, slowdown := range r.Classes {
		s.Classes[class] = slowdownWire{Mean: slowdown.Mean, P99: slowdown.P99}
	}
	return s
}

// printSummary prints the results of a run. It returns errViolation if a task ran
// twice or a result was incorrect.
func printSummary(cmd *cobra.Command, asJSON bool, r medlargw.LoadReport, c medlargw.TargetCounts) error {
	s := buildSummary(r, c)
	if asJSON {
		line, err := json.Marshal(s)
		if err != nil {
			return fmt.Errorf("encode summary: %w", err)
		}
		fmt.Fprintln(cmd.OutOrStdout(), string(line))
	} else {
		printSummaryText(cmd, &s)
	}
	if s.Incorrect > 0 || s.DuplicateStarts > 0 {
		return errViolation
	}
	return nil
}

// printSummaryText prints the results for a human reader.
func printSummaryText(cmd *cobra.Command, s *summaryWire) {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "jobs %d, whole %d, failed %d, refused %d, wrong %d, twice %d\n",
		s.Jobs, s.Complete, s.Failed, s.Refused, s.Incorrect, s.DuplicateStarts)
	fmt.Fprintf(w, "response / ideal: mean %.3f, p99 %.3f\n", s.ResponseMean, s.ResponseP99)
	for class, slowdown := range s.Classes {
		fmt.Fprintf(w, "  %-10s mean %.3f, p99 %.3f\n", class, slowdown.Mean, slowdown.P99)
	}
	fmt.Fprintf(w, "messages per task %.3f, wasted messages %d\n", s.MessagesPerTask, s.WastedMessages)
}
