package presenter

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/describer"
)

type responseWire struct {
	Host   string          `json:"host,omitempty"`
	Zone   string          `json:"zone,omitempty"`
	Admin  string          `json:"admin"`
	Error  string          `json:"error,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

// StatusJSON writes the responses as one JSON object.
func (Presenter) StatusJSON(w io.Writer, responses []medlargw.EntryResponse) error {
	var describe describer.Describer
	wire := struct {
		Entries []responseWire `json:"entries"`
	}{Entries: []responseWire{}}
	for i := range responses {
		r := &responses[i]
		entry := responseWire{Host: string(r.Host), Zone: string(r.Zone), Admin: r.Addr.String()}
		if r.Err != nil {
			entry.Error = r.Err.Error()
		} else {
			body, err := describe.EncodeStatus(&r.Status)
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

type burnRowWire struct {
	Class    string       `json:"class"`
	Team     string       `json:"team,omitempty"` // Absent in the row of all teams.
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
		Lines   []burnRowWire   `json:"lines"`
	}{Taken: r.TakenAt.UTC(), Entries: []burnEntryWire{}, Other: r.Uncounted, Lines: []burnRowWire{}}
	for i := range r.Entries {
		e := &r.Entries[i]
		entry := burnEntryWire{Host: string(e.Host), Admin: e.Addr.String(), Since: e.Burn.Since.UTC()}
		if e.Err != nil {
			entry.Error = e.Err.Error()
		}
		wire.Entries = append(wire.Entries, entry)
	}
	for i := range r.Rows {
		wire.Lines = append(wire.Lines, newBurnRowWire(r, &r.Rows[i]))
	}
	return writeJSON(w, wire)
}

func newBurnRowWire(r *medlargw.BurnReport, l *medlargw.BurnRow) burnRowWire {
	row := burnRowWire{Class: string(l.Class), Team: string(l.Team), Answered: l.Objective.SuccessRatio}
	if l.Objective.ResponseTime > 0 {
		row.Response = l.Objective.ResponseTime.String()
	}
	if l.HasObjective() {
		left := l.BudgetLeft()
		row.Left = &left
	}
	for i, c := range l.Windows {
		row.Windows = append(row.Windows, windowWire{
			Window:  medlargw.BurnWindow(i).String(),
			Jobs:    c.Jobs,
			Missed:  c.Missed,
			Burn:    c.BurnRate(l.Objective.SuccessRatio),
			Covered: r.Coverage[i],
		})
	}
	return row
}
