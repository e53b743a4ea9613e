// Package presenter formats the entries' responses as text, JSON and HTML.
//
// Text is aligned by spaces and has no colors, so that it looks the same on a
// terminal, in an email and in a file.
package presenter

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"medlargw.example/medlargw"
)

// maxRows is the highest number of rows shown of one list, so that the status
// fits on one screen.
const maxRows = 8

// Presenter formats responses. It has no state.
type Presenter struct{}

// Status writes the state of the deployment as text that fits on one screen.
func (Presenter) Status(w io.Writer, responses []medlargw.EntryResponse, now time.Time) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	missing := unanswered(responses)
	fmt.Fprintf(t, "%s  %s answered, %d did not\n", now.UTC().Format(time.DateTime),
		pluralize(len(responses)-len(missing), "entry", "entries"), len(missing))
	writeEntries(t, responses, now)
	writeConfig(t, responses)
	writeEvacuated(t, responses)
	writeTargets(t, responses, now)
	writeQueues(t, responses)
	writeLimits(t, responses)
	writeLoans(t, responses)
	return t.Flush()
}

func pluralize(n int, one, many string) string {
	if n == 1 {
		return "1 " + one
	}
	return fmt.Sprintf("%d %s", n, many)
}

func unanswered(responses []medlargw.EntryResponse) []medlargw.EntryResponse {
	return slices.DeleteFunc(slices.Clone(responses), func(r medlargw.EntryResponse) bool { return r.Err == nil })
}

// formatAge returns the time since then in whole seconds, minutes, hours or days,
// or "-" if then is zero.
func formatAge(now, then time.Time) string {
	if then.IsZero() {
		return "-"
	}
	d := max(0, now.Sub(then))
	switch {
	case d < time.Minute:
		return fmt.Sprintf("%ds", int(d.Seconds()))
	case d < time.Hour:
		return fmt.Sprintf("%dm", int(d.Minutes()))
	case d < 48*time.Hour:
		return fmt.Sprintf("%dh", int(d.Hours()))
	}
	return fmt.Sprintf("%dd", int(d.Hours()/24))
}

func writeEntries(w io.Writer, responses []medlargw.EntryResponse, now time.Time) {
	fmt.Fprint(w, "\nENTRY\tZONE\tSTATE\tUP\tGENERATION\tSINCE\tJOBS\tRUNNING\tFREE\tWAITING\n")
	for i := range responses {
		r := &responses[i]
		if r.Err != nil {
			continue
		}
		s := &r.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%d\t%d\n", r.Host, r.Zone, ownState(r),
			formatAge(now, s.Started), s.Generation, formatAge(now, s.ConfiguredAt), s.Dispatch.Jobs, s.Dispatch.Running, s.Dispatch.Free, waitingTasks(s))
	}
	for _, r := range unanswered(responses) {
		fmt.Fprintf(w, "%s\t%s\tDID NOT ANSWER at %s: %v\n", hostName(&r), orDash(string(r.Zone)), r.Addr, r.Err)
	}
}

func hostName(r *medlargw.EntryResponse) string {
	if r.Host == "" {
		return "unknown"
	}
	return string(r.Host)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// ownState returns the entry's state in its own list of members.
func ownState(r *medlargw.EntryResponse) string {
	for i := range r.Status.Members {
		if r.Status.Members[i].Host == r.Host {
			return r.Status.Members[i].State.String()
		}
	}
	return "-"
}

func waitingTasks(s *medlargw.EntryStatus) int {
	n := 0
	for _, q := range s.Dispatch.Queues {
		n += q.Tasks
	}
	return n
}

func writeConfig(w io.Writer, responses []medlargw.EntryResponse) {
	var highest uint64
	for i := range responses {
		highest = max(highest, responses[i].Status.Generation)
	}
	current, answered := 0, 0
	var behind []string
	for i := range responses {
		r := &responses[i]
		switch {
		case r.Err != nil:
			continue
		case r.Status.Generation == highest:
			current++
		default:
			behind = append(behind, fmt.Sprintf("%s has %d", r.Host, r.Status.Generation))
		}
		answered++
	}
	fmt.Fprintf(w, "\nCONFIGURATION  generation %d on %d of %d\n", highest, current, answered)
	if len(behind) > 0 {
		fmt.Fprintf(w, "  behind: %s\n", strings.Join(behind, ", "))
	}
}

// writeEvacuated writes the evacuated zones, and how many entries know of each.
func writeEvacuated(w io.Writer, responses []medlargw.EntryResponse) {
	answered := 0
	known := map[medlargw.ZoneName]int{}
	for i := range responses {
		if responses[i].Err != nil {
			continue
		}
		answered++
		for _, zone := range responses[i].Status.Evacuated {
			known[zone]++
		}
	}
	if len(known) == 0 {
		return
	}
	fmt.Fprintf(w, "\nEVACUATED  %s\n", pluralize(len(known), "zone", "zones"))
	for _, zone := range slices.Sorted(maps.Keys(known)) {
		fmt.Fprintf(w, "  %s\ton %d of %d\n", zone, known[zone], answered)
	}
}

// targetRow is the status of a target at one entry.
type targetRow struct {
	host   medlargw.HostName
	status medlargw.TargetStatus
}

func writeTargets(w io.Writer, responses []medlargw.EntryResponse, now time.Time) {
	counts := map[medlargw.TargetState]int{}
	seen := map[medlargw.TargetName]medlargw.TargetState{}
	var rows []targetRow
	for i := range responses {
		for _, t := range responses[i].Status.Dispatch.Targets {
			if t.State != medlargw.TargetServing {
				rows = append(rows, targetRow{host: responses[i].Host, status: t})
			}
			if old, ok := seen[t.Target.Name]; !ok || old == medlargw.TargetServing {
				seen[t.Target.Name] = t.State
			}
		}
	}
	for _, state := range seen {
		counts[state]++
	}
	fmt.Fprintf(w, "\nTARGETS  %d serving, %d leaving, %d quarantined, %d set aside\n",
		counts[medlargw.TargetServing], counts[medlargw.TargetDraining],
		counts[medlargw.TargetQuarantined], counts[medlargw.TargetSetAside])
	if len(rows) == 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b targetRow) int { return cmp.Compare(a.status.Target.Name, b.status.Target.Name) })
	fmt.Fprint(w, "  target\tzone\tstate\tsince\tseen by\tused\treason\n")
	for i := range rows[:min(maxRows, len(rows))] {
		t := &rows[i].status
		fmt.Fprintf(w, "  %s\t%s\t%s\t%s\t%s\t%d of %d\t%s\n", t.Target.Name, t.Target.Zone, t.State,
			formatAge(now, t.Since), rows[i].host, t.Used, t.Slots, orDash(t.Reason))
	}
	writeOmitted(w, len(rows))
}

// writeOmitted writes how many rows are not shown.
func writeOmitted(w io.Writer, rows int) {
	if rows > maxRows {
		fmt.Fprintf(w, "  ... and %d more, see --json\n", rows-maxRows)
	}
}

func writeQueues(w io.Writer, responses []medlargw.EntryResponse) {
	classes := map[int]medlargw.ClassName{}
	tasks := map[medlargw.QueueStatus]int{} // By rank and team.
	for i := range responses {
		for _, c := range responses[i].Status.Classes {
			classes[c.Rank] = c.Name
		}
		for _, q := range responses[i].Status.Dispatch.Queues {
			tasks[medlargw.QueueStatus{Rank: q.Rank, Team: q.Team}] += q.Tasks
		}
	}
	var rows []medlargw.QueueStatus
	total := 0
	for q, n := range tasks {
		q.Tasks = n
		total += n
		rows = append(rows, q)
	}
	fmt.Fprintf(w, "\nQUEUES  %s waiting\n", pluralize(total, "task", "tasks"))
	if len(rows) == 0 {
		return
	}
	slices.SortFunc(rows, func(a, b medlargw.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.Tasks, a.Tasks), cmp.Compare(a.Team, b.Team))
	})
	fmt.Fprint(w, "  class\tteam\ttasks\n")
	for _, q := range rows[:min(maxRows, len(rows))] {
		class := string(classes[q.Rank])
		if class == "" {
			class = fmt.Sprintf("(rank %d)", q.Rank)
		}
		fmt.Fprintf(w, "  %s\t%s\t%d\n", class, q.Team, q.Tasks)
	}
	writeOmitted(w, len(rows))
}

func writeLimits(w io.Writer, responses []medlargw.EntryResponse) {
	fmt.Fprint(w, "\nLIMITS")
	rows := 0
	var lines []string
	for i := range responses {
		for _, l := range responses[i].Status.Dispatch.Limits {
			if !l.Blocked {
				continue
			}
			rows++
			lines = append(lines, fmt.Sprintf("  %s\t%s\t%d running of %s\n", l.Team, responses[i].Host, l.Running, formatLimit(l.Limit)))
		}
	}
	fmt.Fprintf(w, "  %d reached\n", rows)
	if rows > 0 {
		fmt.Fprint(w, "  team\tentry\tuse\n", strings.Join(lines[:min(maxRows, rows)], ""))
	}
	writeOmitted(w, rows)
}

func formatLimit(l medlargw.Limit) string {
	var parts []string
	if l.Running > 0 {
		parts = append(parts, fmt.Sprint(l.Running))
	}
	if l.Starts > 0 {
		parts = append(parts, fmt.Sprintf("%g starts a second", l.Starts))
	}
	if len(parts) == 0 {
		return "no bound"
	}
	return strings.Join(parts, ", ")
}

func writeLoans(w io.Writer, responses []medlargw.EntryResponse) {
	lent, held := 0, 0
	for i := range responses {
		for _, l := range responses[i].Status.Dispatch.Lent {
			lent += l.Amount
		}
		for _, l := range responses[i].Status.Dispatch.Held {
			held += l.Amount
		}
	}
	fmt.Fprintf(w, "\nLOANS  %d lent, %d held\n", lent, held)
}
