package explainer

import (
	"fmt"
	"strings"
	"time"

	"medlargw.example/medlargw"
)

// summarize returns a sentence on the outcome and its cause. A request that was
// submitted several times has several outcomes.
func summarize(x *medlargw.Explanation) string {
	var ends []string
	for i := range x.Decisions {
		if d := &x.Decisions[i]; strings.HasPrefix(d.Message, "job ") {
			ends = append(ends, describeEnd(x, d))
		}
	}
	if len(ends) == 0 {
		return "no entry tells the end of the request: its entry was lost, or the line was left out under load" + describeFaults(x)
	}
	return strings.Join(ends, "; handed in again: ")
}

// describeEnd describes the outcome that a record of a job's end states.
func describeEnd(x *medlargw.Explanation, d *medlargw.Decision) string {
	switch d.Message {
	case "job refused":
		return describeRefusal(x, d)
	case "job given up":
		return fmt.Sprintf("given up after %s with %q: %s%s%s", roundedAge(d), d.Field("code"), d.Field("reason"), describeFailedAttempts(x), describeFaults(x))
	case "job complete":
		left, _ := durationField(d, "left")
		if left >= 0 {
			return fmt.Sprintf("complete after %s, in time%s", roundedAge(d), describeFailedAttempts(x))
		}
		return fmt.Sprintf("complete after %s, %s later than its objective%s%s", roundedAge(d), (-left).Round(time.Millisecond), describeFailedAttempts(x), describeFaults(x))
	}
	return fmt.Sprintf("%s: %s", d.Message, d.Field("error"))
}

// describeRefusal describes a refusal. It attributes the refusal to load unless a
// target or entry was lost at that time.
func describeRefusal(x *medlargw.Explanation, d *medlargw.Decision) string {
	wait, _ := durationField(d, "wait")
	slack, _ := durationField(d, "slack")
	text := fmt.Sprintf("refused after %s, nothing has run: %s; the work before it takes about %s, and it had %s to start",
		roundedAge(d), d.Field("reason"), wait.Round(time.Millisecond), slack.Round(time.Millisecond))
	if faults := describeFaults(x); faults != "" {
		return text + faults
	}
	return text + "; no target or entry was missing, so it was load"
}

// describeFailedAttempts lists the attempts that ended without success, or
// returns "".
func describeFailedAttempts(x *medlargw.Explanation) string {
	var all []string
	for i := range x.Decisions {
		d := &x.Decisions[i]
		if d.Message != "attempt ended" {
			continue
		}
		text := fmt.Sprintf("%s on %s (%s)", d.Field("event"), d.Field("target"), d.Field("reason"))
		if d.Field("target") == "" {
			text = fmt.Sprintf("%s (%s)", d.Field("event"), d.Field("reason"))
		}
		all = append(all, text)
	}
	if len(all) == 0 {
		return ""
	}
	return fmt.Sprintf("; %d attempts ended early: %s", len(all), strings.Join(all, ", "))
}

// faultMessages are the log messages that report the loss or failure of a target,
// holder, home or process.
var faultMessages = []string{
	"holder lost", "target does not answer", "target lost to a higher fencing token", "new incarnation of a target",
	"the process stood still", "tasks of a home stopped", "target dropped", "not enrolled at the platform", "enrolment had ended", "leaving",
}

// describeFaults lists the faults in the context records, each once, or returns
// "".
func describeFaults(x *medlargw.Explanation) string {
	var all []string
	seen := map[string]bool{}
	for i := range x.Around {
		d := &x.Around[i]
		for _, message := range faultMessages {
			if d.Message != message {
				continue
			}
			text := fmt.Sprintf("%s: %s", d.Process, message)
			for _, field := range []string{"target", "holder", "home"} {
				if name := d.Field(field); name != "" {
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

func roundedAge(d *medlargw.Decision) time.Duration {
	age, _ := durationField(d, "age")
	return age.Round(time.Millisecond)
}
