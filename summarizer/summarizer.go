// Package summarizer merges the burn statuses of all entries into one report.
package summarizer

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Summarizer builds reports. It has no state.
type Summarizer struct{}

// lineKey identifies a line of the report. An empty team stands for all teams.
type lineKey struct {
	class medlargw.ClassName
	team  medlargw.TeamName
}

// Summarize returns the report of all entries. For each class it has one line
// for all teams, followed by one line per team, ordered by decreasing burn rate
// of the last hour.
func (Summarizer) Summarize(answers []medlargw.EntryResponse, now time.Time) medlargw.BurnReport {
	r := medlargw.BurnReport{TakenAt: now, Entries: answers, Coverage: windowCoverage(answers)}
	objectives := newestObjectives(answers)
	lines := map[lineKey]*medlargw.BurnRow{}
	for i := range answers {
		if answers[i].Err != nil {
			continue
		}
		b := &answers[i].Burn
		r.Uncounted += b.Uncounted
		r.Step = b.Step
		for j := range b.Series {
			s := &b.Series[j]
			addSeries(lines, lineKey{class: s.Class}, s)
			addSeries(lines, lineKey{class: s.Class, team: s.Team}, s)
		}
	}
	for k, l := range lines {
		l.Objective = objectives[k.class]
		r.Rows = append(r.Rows, *l)
	}
	slices.SortFunc(r.Rows, compareLines)
	r.Points = mergePoints(answers)
	return r
}

// addSeries adds the counts of a series to the line with the key.
func addSeries(lines map[lineKey]*medlargw.BurnRow, k lineKey, s *medlargw.BurnSeries) {
	l := lines[k]
	if l == nil {
		l = &medlargw.BurnRow{Class: k.class, Team: k.team}
		lines[k] = l
	}
	for w := range s.Windows {
		l.Windows[w].Add(s.Windows[w])
	}
}

// compareLines orders the lines of a report.
func compareLines(a, b medlargw.BurnRow) int {
	burn := func(l medlargw.BurnRow) float64 {
		return l.Windows[medlargw.BurnHour].BurnRate(l.Objective.SuccessRatio)
	}
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	if a.Team == "" || b.Team == "" {
		return cmp.Compare(a.Team, b.Team)
	}
	return cmp.Or(cmp.Compare(burn(b), burn(a)), cmp.Compare(a.Team, b.Team))
}

// newestObjectives returns the objectives of the entry with the newest
// configuration.
func newestObjectives(answers []medlargw.EntryResponse) map[medlargw.ClassName]medlargw.Objective {
	var newest *medlargw.EntryResponse
	for i := range answers {
		if answers[i].Err == nil && (newest == nil || answers[i].Status.Generation > newest.Status.Generation) {
			newest = &answers[i]
		}
	}
	objectives := map[medlargw.ClassName]medlargw.Objective{}
	if newest != nil {
		for _, c := range newest.Burn.Classes {
			objectives[c.Name] = c.Objective
		}
	}
	return objectives
}

// windowCoverage returns the share of each window that the histories of the
// entries cover. An entry that did not respond covers nothing, and an entry
// that replaced another covers the time since its own start.
func windowCoverage(answers []medlargw.EntryResponse) [medlargw.BurnWindowCount]float64 {
	var shares [medlargw.BurnWindowCount]float64
	for i := range answers {
		if answers[i].Err != nil {
			continue
		}
		history := answers[i].Burn.TakenAt.Sub(answers[i].Burn.Since)
		for w := range medlargw.BurnWindowCount {
			share := min(1, history.Seconds()/w.Length().Seconds())
			shares[w] += share / float64(len(answers))
		}
	}
	return shares
}

// mergePoints adds up the points of all entries with the same class and start,
// and orders them.
func mergePoints(answers []medlargw.EntryResponse) []medlargw.BurnPoint {
	totals := map[medlargw.BurnPoint]medlargw.JobCounts{} // The keys have only a class and a start.
	for i := range answers {
		for _, p := range answers[i].Burn.Points {
			k := medlargw.BurnPoint{Class: p.Class, Start: p.Start.UTC()}
			total := totals[k]
			total.Add(p.Counts)
			totals[k] = total
		}
	}
	points := make([]medlargw.BurnPoint, 0, len(totals))
	for p, counts := range totals {
		p.Counts = counts
		points = append(points, p)
	}
	slices.SortFunc(points, func(a, b medlargw.BurnPoint) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), a.Start.Compare(b.Start))
	})
	return points
}
