package presenter

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/plotter"
)

// burnHeader is the header row of the burn report.
const burnHeader = "CLASS\tTEAM\tOBJECTIVE\tJOBS 3d\tMISSED\tBUDGET LEFT\t5m\t1h\t6h\t3d\n"

// Burn writes the burn report as text.
func (Presenter) Burn(w io.Writer, r *medlargw.BurnReport) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s  burn rates: 1 uses the error budget up exactly\n\n", r.TakenAt.UTC().Format(time.DateTime))
	fmt.Fprint(t, burnHeader)
	for i := range r.Rows {
		row := newRow(&r.Rows[i])
		fmt.Fprintln(t, strings.Join(append([]string{
			row.Class, row.Team, row.Objective, row.Jobs, row.Missed, row.Left,
		}, row.Rates...), "\t"))
	}
	if len(r.Rows) == 0 {
		fmt.Fprintln(t, "no job has ended")
	}
	fmt.Fprintln(t)
	for _, note := range notes(r) {
		fmt.Fprintln(t, note)
	}
	return t.Flush()
}

// row is one formatted row of the burn report.
type row struct {
	Class     string
	Team      string
	Objective string
	Jobs      string
	Missed    string
	Left      string
	Rates     []string
	Over      bool // Whether the budget is used up.
}

func newRow(l *medlargw.BurnRow) row {
	total := l.Windows[medlargw.BurnThreeDays]
	r := row{
		Class:     string(l.Class),
		Team:      string(l.Team),
		Objective: formatObjective(l.Objective),
		Jobs:      fmt.Sprint(total.Jobs),
		Missed:    fmt.Sprint(total.Missed),
		Left:      "-",
	}
	if r.Team == "" {
		r.Team = "(all)"
	}
	if l.HasObjective() {
		r.Left = fmt.Sprintf("%.0f%%", 100*l.BudgetLeft())
		r.Over = l.BudgetLeft() < 0
	}
	for _, c := range l.Windows {
		rate := "-"
		if l.HasObjective() && c.Jobs > 0 {
			rate = fmt.Sprintf("%.2f", c.BurnRate(l.Objective.SuccessRatio))
		}
		r.Rates = append(r.Rates, rate)
	}
	return r
}

func formatObjective(o medlargw.Objective) string {
	if o.SuccessRatio == 0 {
		return "none"
	}
	text := fmt.Sprintf("%g%%", 100*o.SuccessRatio)
	if o.ResponseTime > 0 {
		text += " within " + o.ResponseTime.String()
	}
	return text
}

// notes returns remarks about the history that each entry covers and about
// missing data.
func notes(r *medlargw.BurnReport) []string {
	var all []string
	for w := range medlargw.BurnWindowCount {
		if r.Coverage[w] < 1 {
			all = append(all, fmt.Sprintf("The %s column covers %.0f%% of its window: "+
				"an entry's history begins at its start.", w, 100*r.Coverage[w]))
		}
	}
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Err != nil {
			all = append(all, fmt.Sprintf("Entry %s at %s did not answer: %v", hostName(e), e.Addr, e.Err))
			continue
		}
		all = append(all, fmt.Sprintf("Entry %s knows of its jobs since %s (%s).",
			hostName(e), e.Burn.Since.UTC().Format(time.DateTime), formatAge(r.TakenAt, e.Burn.Since)))
	}
	if r.Uncounted > 0 {
		all = append(all, fmt.Sprintf("%d jobs are not included, since the number of class and team pairs was at its limit.", r.Uncounted))
	}
	return all
}

var burnPage = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>medlargw: burn report</title>
<style>
body { font: 15px sans-serif; margin: 2em auto; max-width: 64em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { padding: 0.25em 0.8em; text-align: right; border-bottom: 1px solid #ddd; }
th:nth-child(-n+3), td:nth-child(-n+3) { text-align: left; }
tr.all td { font-weight: bold; }
tr.over td:nth-child(6) { color: #a00; }
svg { max-width: 100%; height: auto; }
</style></head><body>
<h1>Burn report</h1>
<p>{{.Taken}} UTC. A burn rate of 1 uses the error budget up exactly.</p>
{{.Plot}}
<table><tr><th>Class</th><th>Team</th><th>Objective</th><th>Jobs 3d</th><th>Missed</th><th>Budget left</th>
{{range .Windows}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr class="{{if eq .Team "(all)"}}all {{end}}{{if .Over}}over{{end}}">
<td>{{.Class}}</td><td>{{.Team}}</td><td>{{.Objective}}</td><td>{{.Jobs}}</td><td>{{.Missed}}</td><td>{{.Left}}</td>
{{range .Rates}}<td>{{.}}</td>{{end}}</tr>
{{else}}<tr><td colspan="10">no job has ended</td></tr>{{end}}</table>
<ul>{{range .Notes}}<li>{{.}}</li>{{end}}</ul>
</body></html>
`))

// BurnHTML writes the burn report as one self-contained page.
func (Presenter) BurnHTML(w io.Writer, r *medlargw.BurnReport) error {
	var p plotter.Plotter
	svg, err := p.SVG(r)
	if err != nil {
		return err
	}
	_, drawing, _ := strings.Cut(string(svg), "<svg") // Without the XML declaration.
	data := struct {
		Taken   string
		Plot    template.HTML
		Windows []string
		Rows    []row
		Notes   []string
	}{
		Taken: r.TakenAt.UTC().Format(time.DateTime),
		Plot:  template.HTML("<svg" + drawing), //nolint:gosec // The plotter escapes the names of classes.
		Notes: notes(r),
	}
	for w := range medlargw.BurnWindowCount {
		data.Windows = append(data.Windows, w.String())
	}
	for i := range r.Rows {
		data.Rows = append(data.Rows, newRow(&r.Rows[i]))
	}
	if err := burnPage.Execute(w, data); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}
