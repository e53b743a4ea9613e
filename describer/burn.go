package describer

import (
	"encoding/json"
	"fmt"
	"time"

	"medlargw.example/medlargw"
)

type burnWire struct {
	Since   time.Time    `json:"since"`
	Taken   time.Time    `json:"taken"`
	Step    string       `json:"step"`
	Other   uint64       `json:"other"`
	Classes []classWire  `json:"classes"`
	Series  []seriesWire `json:"series"`
	Points  []pointWire  `json:"points"`
}

type seriesWire struct {
	Class   string       `json:"class"`
	Team    string       `json:"team"`
	Windows []windowWire `json:"windows"`
}

type windowWire struct {
	Window string `json:"window"`
	Jobs   uint64 `json:"jobs"`
	Missed uint64 `json:"missed"`
}

type pointWire struct {
	Class  string    `json:"class"`
	Start  time.Time `json:"start"`
	Jobs   uint64    `json:"jobs"`
	Missed uint64    `json:"missed"`
}

// EncodeBurnStatus encodes the burn status of an entry.
func (Describer) EncodeBurnStatus(b *medlargw.BurnStatus) ([]byte, error) {
	return marshal(burnWire{
		Since:   b.Since.UTC(),
		Taken:   b.TakenAt.UTC(),
		Step:    b.Step.String(),
		Other:   b.Uncounted,
		Classes: mapSlice(b.Classes, classToWire),
		Series:  mapSlice(b.Series, seriesToWire),
		Points:  mapSlice(b.Points, pointToWire),
	})
}

func seriesToWire(s *medlargw.BurnSeries) seriesWire {
	wire := seriesWire{Class: string(s.Class), Team: string(s.Team)}
	for w, c := range s.Windows {
		name := medlargw.BurnWindow(w).String()
		wire.Windows = append(wire.Windows, windowWire{Window: name, Jobs: c.Jobs, Missed: c.Missed})
	}
	return wire
}

func pointToWire(p *medlargw.BurnPoint) pointWire {
	return pointWire{
		Class:  string(p.Class),
		Start:  p.Start.UTC(),
		Jobs:   p.Counts.Jobs,
		Missed: p.Counts.Missed,
	}
}

// DecodeBurnStatus decodes the burn status of an entry.
func (Describer) DecodeBurnStatus(body []byte) (medlargw.BurnStatus, error) {
	var wire burnWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return medlargw.BurnStatus{}, fmt.Errorf("decode burn: %w", err)
	}
	step, err := time.ParseDuration(wire.Step)
	if err != nil {
		return medlargw.BurnStatus{}, fmt.Errorf("decode burn: %w", err)
	}
	return medlargw.BurnStatus{
		Since:     wire.Since,
		TakenAt:   wire.Taken,
		Step:      step,
		Uncounted: wire.Other,
		Classes:   mapSlice(wire.Classes, classFromWire),
		Series:    mapSlice(wire.Series, seriesFromWire),
		Points:    mapSlice(wire.Points, pointFromWire),
	}, nil
}

func seriesFromWire(w *seriesWire) medlargw.BurnSeries {
	s := medlargw.BurnSeries{Class: medlargw.ClassName(w.Class), Team: medlargw.TeamName(w.Team)}
	for _, window := range w.Windows {
		for i := range medlargw.BurnWindowCount {
			if i.String() == window.Window {
				s.Windows[i] = medlargw.JobCounts{Jobs: window.Jobs, Missed: window.Missed}
			}
		}
	}
	return s
}

func pointFromWire(w *pointWire) medlargw.BurnPoint {
	return medlargw.BurnPoint{
		Class:  medlargw.ClassName(w.Class),
		Start:  w.Start,
		Counts: medlargw.JobCounts{Jobs: w.Jobs, Missed: w.Missed},
	}
}
