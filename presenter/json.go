package presenter

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
)

type answerWire struct {
	Host   string          `json:"host,omitempty"`
	Zone   string          `json:"zone,omitempty"`
	Admin  string          `json:"admin"`
	Error  string          `json:"error,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// StatusJSON writes the answers as one JSON object.
func (Presenter) StatusJSON(w io.Writer, answers []medlargw.EntryAnswer) error {
	var describe describer.Describer
	wire := struct {
		Entries []answerWire `json:"entries"`
	}{Entries: []answerWire{}}
	for i := range answers {
		a := &answers[i]
		entry := answerWire{Host: string(a.Host), Zone: string(a.Zone), Admin: a.Addr.String()}
		if a.Err != nil {
			entry.Error = a.Err.Error()
		} else {
			body, err := describe.EncodeStatus(&a.Status)
			if err != nil {
				return err
			}
			entry.Status = body
		}
		wire.Entries = append(wire.Entries, entry)
	}
	return writeJSON(w, wire)
}

func writeJSON(w io.Writer, wire any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(wire); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

type burnLineWire struct {
	Class    string       `json:"class"`
	Team     string       `json:"team,omitempty"` // Absent in the line of all teams.
	Answered float64      `json:"answered,omitempty"`
	Response string       `json:"response,omitempty"`
	Left     *float64     `json:"left,omitempty"`
	Windows  []windowWire `json:"windows"`
}

type windowWire struct {
	Window  string  `json:"window"`
	Jobs    uint64  `json:"jobs"`
	Missed  uint64  `json:"missed"`
	Burn    float64 `json:"burn"`
	Covered float64 `json:"covered"`
}

type burnEntryWire struct {
	Host  string    `json:"host,omitempty"`
	Admin string    `json:"admin"`
	Since time.Time `json:"since,omitzero"`
	Error string    `json:"error,omitempty"`
}

// BurnJSON writes the burn report as one JSON object.
func (Presenter) BurnJSON(w io.Writer, r *medlargw.BurnReport) error {
	wire := struct {
		Taken   time.Time       `json:"taken"`
		Entries []burnEntryWire `json:"entries"`
		Other   uint64          `json:"other"`
		Lines   []burnLineWire  `json:"lines"`
	}{Taken: r.Taken.UTC(), Entries: []burnEntryWire{}, Other: r.Other, Lines: []burnLineWire{}}
	for i := range r.Entries {
		e := &r.Entries[i]
		entry := burnEntryWire{Host: string(e.Host), Admin: e.Addr.String(), Since: e.Burn.Since.UTC()}
		if e.Err != nil {
			entry.Error = e.Err.Error()
		}
		wire.Entries = append(wire.Entries, entry)
	}
	for i := range r.Lines {
		wire.Lines = append(wire.Lines, newBurnLineWire(r, &r.Lines[i]))
	}
	return writeJSON(w, wire)
}

func newBurnLineWire(r *medlargw.BurnReport, l *medlargw.BurnLine) burnLineWire {
	line := burnLineWire{Class: string(l.Class), Team: string(l.Team), Answered: l.Objective.Answered}
	if l.Objective.Response > 0 {
		line.Response = l.Objective.Response.String()
	}
	if l.Bound() {
		left := l.Left()
		line.Left = &left
	}
	for i, c := range l.Windows {
		line.Windows = append(line.Windows, windowWire{
			Window:  medlargw.BurnWindow(i).String(),
			Jobs:    c.Jobs,
			Missed:  c.Missed,
			Burn:    c.Burn(l.Objective.Answered),
			Covered: r.Covered[i],
		})
	}
	return line
}
