package explainer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"medlargw.example/medlargw"
)

// summarize returns a sentence on the outcome and its cause. A request that was
// submitted several times has several outcomes.
func summarize(x *medlargw.Explanation) string {
	var outcomes []string
	for i := range x.Records {
		if rec := &x.Records[i]; strings.HasPrefix(rec.Message, "job ") {
			outcomes = append(outcomes, describeOutcome(x, rec))
		}
	}
	if len(outcomes) == 0 {
		return "no log line states the outcome of the request: its entry was lost, or the line was dropped under load" + describeFaults(x) + describeDoubts(x)
	}
	return strings.Join(outcomes, "; submitted again: ") + describeDoubts(x)
}

// describeOutcome describes the outcome stated by a record of the job's end.
func describeOutcome(x *medlargw.Explanation, rec *medlargw.LogRecord) string {
	switch rec.Message {
	case "job refused":
		return describeRefusal(x, rec)
	case "job given up":
		return fmt.Sprintf("given up after %s with %q: %s%s%s", roundedAge(rec), rec.Field("code"), rec.Field("reason"), describeFailedAttempts(x), describeFaults(x))
	case "job complete":
		left, _ := durationField(rec, "left")
		if left >= 0 {
			return fmt.Sprintf("complete after %s, in time%s", roundedAge(rec), describeFailedAttempts(x))
		}
		return fmt.Sprintf("complete after %s, %s later than its objective%s%s", roundedAge(rec), (-left).Round(time.Millisecond), describeFailedAttempts(x), describeFaults(x))
	}
	return fmt.Sprintf("%s: %s", rec.Message, rec.Field("error"))
}

// describeRefusal describes a refusal. It attributes the refusal to load unless
// the context records report a fault.
func describeRefusal(x *medlargw.Explanation, rec *medlargw.LogRecord) string {
	wait, _ := durationField(rec, "wait")
	slack, _ := durationField(rec, "slack")
	text := fmt.Sprintf("refused after %s, nothing has run: %s; the work ahead of it takes about %s, and it had to start within %s",
		roundedAge(rec), rec.Field("reason"), wait.Round(time.Millisecond), slack.Round(time.Millisecond))
	if faults := describeFaults(x); faults != "" {
		return text + faults
	}
	return text + "; no target or entry was unavailable, so the cause was load"
}

// describeFailedAttempts lists the attempts that ended without success, or
// returns "".
func describeFailedAttempts(x *medlargw.Explanation) string {
	var all []string
	for i := range x.Records {
		rec := &x.Records[i]
		if rec.Message != "attempt ended" {
			continue
		}
		text := fmt.Sprintf("%s on %s (%s)", rec.Field("event"), rec.Field("target"), rec.Field("reason"))
		if rec.Field("target") == "" {
			text = fmt.Sprintf("%s (%s)", rec.Field("event"), rec.Field("reason"))
		}
		all = append(all, text)
	}
	if len(all) == 0 {
		return ""
	}
	return fmt.Sprintf("; %d attempts did not succeed: %s", len(all), strings.Join(all, ", "))
}

// faultMessages are the log messages on targets, holders, homes and processes
// that are lost, faulty or leaving.
var faultMessages = []string{
	"holder lost", "target does not answer", "target lost to a higher fencing token", "new incarnation of a target",
	"the process stood still", "tasks of a home stopped", "target dropped", "not enrolled at the platform", "enrolment had ended", "leaving",
	"runs of a target counted as ended", "target transfer failed", "target transfer ignored", "report not acknowledged",
}

// doubtMessages are the log messages on single tasks whose run may have gone on
// or ended otherwise than a holder or home believed, so that the task may have
// run twice.
var doubtMessages = []string{
	"task returned after an unanswered offer", "task refused after its start", "report on a former offer",
	"attempt counted as ended", "stale offer of a known task", "ended task offered or recalled",
	"absent run counted as ended", "transferred run is gone", "run ended during the transfer of its target",
	"end of an unknown run",
}

// describeDoubts lists the records that show a doubt about a run, with their
// fields, or returns "".
func describeDoubts(x *medlargw.Explanation) string {
	var all []string
	for i := range x.Records {
		rec := &x.Records[i]
		if !slices.Contains(doubtMessages, rec.Message) {
			continue
		}
		var fields []string
		for _, name := range []string{"task", "attempt", "holder", "to", "home", "target", "answer", "event", "kind", "reason"} {
			if value := rec.Field(name); value != "" {
				fields = append(fields, name+" "+value)
			}
		}
		all = append(all, fmt.Sprintf("%s: %s (%s)", rec.Process, rec.Message, strings.Join(fields, ", ")))
	}
	if len(all) == 0 {
		return ""
	}
	return "; runs in doubt: " + strings.Join(all, ", ")
}

// describeFaults lists the faults that the context records report, each once, or
// returns "".
func describeFaults(x *medlargw.Explanation) string {
	var all []string
	seen := map[string]bool{}
	for i := range x.Context {
		rec := &x.Context[i]
		for _, message := range faultMessages {
			if rec.Message != message {
				continue
			}
			text := fmt.Sprintf("%s: %s", rec.Process, message)
			for _, field := range []string{"target", "holder", "home"} {
				if name := rec.Field(field); name != "" {
					text += " (" + name + ")"
				}
			}
			if !seen[text] {
				seen[text] = true
				all = append(all, text)
			}
		}
	}
	if len(all) == 0 {
		return ""
	}
	return "; meanwhile " + strings.Join(all, ", ")
}

func roundedAge(rec *medlargw.LogRecord) time.Duration {
	age, _ := durationField(rec, "age")
	return age.Round(time.Millisecond)
}
