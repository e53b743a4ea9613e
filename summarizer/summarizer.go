// Package summarizer adds up what the entries know of the jobs' ends.
package summarizer

import (
	"cmp"
	"slices"
	"time"

	"medlargw.example/medlargw"
)

// Summarizer adds up. It has no state.
type Summarizer struct{}

// key names a line.
type key struct {
	class medlargw.ClassName
	team  medlargw.TeamName
}

// Summarize returns the report of all entries. Each class has a line of all
// its teams before those of the teams, the fastest burning first.
func (Summarizer) Summarize(answers []medlargw.EntryAnswer, now time.Time) medlargw.BurnReport {
	r := medlargw.BurnReport{Taken: now, Entries: answers, Covered: covered(answers)}
	objectives := objectivesOf(answers)
	lines := map[key]*medlargw.BurnLine{}
	for i := range answers {
		if answers[i].Err != nil {
			continue
		}
		b := &answers[i].Burn
		r.Other += b.Other
		r.Step = b.Step
		for j := range b.Series {
			s := &b.Series[j]
			addTo(lines, key{class: s.Class}, s)
			addTo(lines, key{class: s.Class, team: s.Team}, s)
		}
	}
	for k, l := range lines {
		l.Objective = objectives[k.class]
		r.Lines = append(r.Lines, *l)
	}
	slices.SortFunc(r.Lines, order)
	r.Points = points(answers)
	return r
}

func addTo(lines map[key]*medlargw.BurnLine, k key, s *medlargw.BurnSeries) {
	l := lines[k]
	if l == nil {
		l = &medlargw.BurnLine{Class: k.class, Team: k.team}
		lines[k] = l
	}
	for w := range s.Windows {
		l.Windows[w].Add(s.Windows[w])
	}
}

func order(a, b medlargw.BurnLine) int {
	burn := func(l medlargw.BurnLine) float64 {
		return l.Windows[medlargw.BurnHour].Burn(l.Objective.Answered)
	}
	if c := cmp.Compare(a.Class, b.Class); c != 0 {
		return c
	}
	if a.Team == "" || b.Team == "" {
		return cmp.Compare(a.Team, b.Team)
	}
	return cmp.Or(cmp.Compare(burn(b), burn(a)), cmp.Compare(a.Team, b.Team))
}

// objectivesOf returns those of the newest configuration.
func objectivesOf(answers []medlargw.EntryAnswer) map[medlargw.ClassName]medlargw.Objective {
	var newest *medlargw.EntryAnswer
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

// covered returns the share of each window that the entries' histories cover.
// An entry that didn't answer covers nothing, and one that was replaced covers
// the time since its start.
func covered(answers []medlargw.EntryAnswer) [medlargw.BurnWindows]float64 {
	var shares [medlargw.BurnWindows]float64
	for i := range answers {
		if answers[i].Err != nil {
			continue
		}
		history := answers[i].Burn.Taken.Sub(answers[i].Burn.Since)
		for w := range medlargw.BurnWindows {
			share := min(1, history.Seconds()/w.Length().Seconds())
			shares[w] += share / float64(len(answers))
		}
	}
	return shares
}

func points(answers []medlargw.EntryAnswer) []medlargw.BurnPoint {
	sums := map[medlargw.BurnPoint]medlargw.JobCounts{} // By class and start.
	for i := range answers {
		for _, p := range answers[i].Burn.Points {
			k := medlargw.BurnPoint{Class: p.Class, Start: p.Start.UTC()}
			sum := sums[k]
			sum.Add(p.Counts)
			sums[k] = sum
		}
	}
	all := make([]medlargw.BurnPoint, 0, len(sums))
	for p, counts := range sums {
		p.Counts = counts
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b medlargw.BurnPoint) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), a.Start.Compare(b.Start))
	})
	return all
}
