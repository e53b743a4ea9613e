package rehearser

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"medlargw.example/medlargw"
)

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
	Tasks           int                  `json:"tasks"`
	AddedMedian     int64                `json:"added_median_us"` // Response time less the longest run time of the job's tasks.
	AddedP99        int64                `json:"added_p99_us"`
	Classes         map[string]ratioWire `json:"classes"`
}

type ratioWire struct {
	Mean float64 `json:"response_ratio_mean"`
	P99  float64 `json:"response_ratio_p99"`
}

// messagesPerAttempt is the number of messages of an attempt: request and
// response.
const messagesPerAttempt = 2

func buildSummary(r medlargw.LoadReport, c medlargw.TargetCounts) summaryWire {
	s := summaryWire{
		Jobs:           r.Jobs,
		Whole:          r.Complete,
		Failed:         r.Failed,
		Refused:        r.Refused,
		Wrong:          r.Incorrect,
		Twice:          c.DuplicateStarts(),
		CutOff:         r.NoResponse,
		ResponseMean:   r.Slowdown.Mean,
		ResponseP99:    r.Slowdown.P99,
		WastedMessages: messagesPerAttempt * (c.Requests - c.Answered),
		Tasks:          r.Tasks,
		AddedMedian:    r.Overhead.Median.Microseconds(),
		AddedP99:       r.Overhead.P99.Microseconds(),
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
	if s.Wrong > 0 || s.Twice > 0 {
		return errViolation
	}
	return nil
}

// printSummaryText prints the results for a human reader.
func printSummaryText(cmd *cobra.Command, s *summaryWire) {
	w := cmd.OutOrStdout()
	fmt.Fprintf(w, "jobs %d, whole %d, failed %d, refused %d, wrong %d, twice %d\n",
		s.Jobs, s.Whole, s.Failed, s.Refused, s.Wrong, s.Twice)
	fmt.Fprintf(w, "response / ideal: mean %.3f, p99 %.3f\n", s.ResponseMean, s.ResponseP99)
	for class, ratio := range s.Classes {
		fmt.Fprintf(w, "  %-10s mean %.3f, p99 %.3f\n", class, ratio.Mean, ratio.P99)
	}
	fmt.Fprintf(w, "messages per task %.3f, wasted messages %d\n", s.MessagesPerTask, s.WastedMessages)
}
