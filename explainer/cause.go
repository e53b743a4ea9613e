package explainer

import (
	"fmt"
	"strings"
	"time"

	"medlargw.example/medlargw"
)

// cause returns the sentence that sums up an explanation. A request that was
// handed in again has several ends.
func cause(x *medlargw.Explanation) string {
	var ends []string
	for i := range x.Decisions {
		if d := &x.Decisions[i]; strings.HasPrefix(d.Message, "job ") {
			ends = append(ends, end(x, d))
		}
	}
	if len(ends) == 0 {
		return "no entry tells the end of the request: its entry was lost, or the line was left out under load" + trouble(x)
	}
	return strings.Join(ends, "; handed in again: ")
}

// end returns what one end of a request tells.
func end(x *medlargw.Explanation, d *medlargw.Decision) string {
	switch d.Message {
	case "job refused":
		return refusal(x, d)
	case "job given up":
		return fmt.Sprintf("given up after %s with %q: %s%s%s", roundedAge(d), d.Field("code"), d.Field("reason"), attempts(x), trouble(x))
	case "job complete":
		left, _ := seconds(d, "left")
		if left >= 0 {
			return fmt.Sprintf("complete after %s, in time%s", roundedAge(d), attempts(x))
		}
		return fmt.Sprintf("complete after %s, %s later than its objective%s%s", roundedAge(d), (-left).Round(time.Millisecond), attempts(x), trouble(x))
	}
	return fmt.Sprintf("%s: %s", d.Message, d.Field("error"))
}

// refusal tells room that was missing from load.
func refusal(x *medlargw.Explanation, d *medlargw.Decision) string {
	wait, _ := seconds(d, "wait")
	slack, _ := seconds(d, "slack")
	text := fmt.Sprintf("refused after %s, nothing has run: %s; the work before it takes about %s, and it had %s to start",
		roundedAge(d), d.Field("reason"), wait.Round(time.Millisecond), slack.Round(time.Millisecond))
	if missing := trouble(x); missing != "" {
		return text + missing
	}
	return text + "; no target or entry was missing, so it was load"
}

// attempts names the attempts that ended without success.
func attempts(x *medlargw.Explanation) string {
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

// troubles are the messages that tell of something lost.
var troubles = []string{
	"holder lost", "target does not answer", "target lost to a higher fencing token", "new incarnation of a target",
	"the process stood still", "tasks of a home stopped", "target dropped", "not enrolled at the platform", "enrolment had ended", "leaving",
}

// trouble names what was lost meanwhile, each thing once.
func trouble(x *medlargw.Explanation) string {
	var all []string
	seen := map[string]bool{}
	for i := range x.Around {
		d := &x.Around[i]
		for _, message := range troubles {
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
	age, _ := seconds(d, "age")
	return age.Round(time.Millisecond)
}
