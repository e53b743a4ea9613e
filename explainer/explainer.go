// Package explainer reads the logs of all processes and reports the outcome of
// one request and its cause.
//
// A record belongs to the request when it names the request's ID or one of its
// tasks. Other records within a time window around the request are its context:
// those on a target, holder or home that a record of the request names, and
// those on a process as a whole. Each log is read once, before the targets,
// holders and homes of the request are known, so all records that may be
// context are kept, up to a bound.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"medlargw.example/medlargw"
)

const (
	// maxLineBytes is the longest line that is read. Lines that a process logs
	// have a few hundred bytes.
	maxLineBytes = 1 << 20
	// maxRecords bounds the records of the request and, separately, those that
	// may be context. The latter are logged rarely, so this covers hours.
	maxRecords = 20000
	// Other records are context from contextBefore before the request to
	// contextAfter after it. contextBefore covers the longest silence after
	// which a holder or home is given up; contextAfter is a margin.
	contextBefore = 3 * time.Second
	contextAfter  = time.Second
)

// Explainer collects the log records on one request.
type Explainer struct {
	id         string
	records    []medlargw.LogRecord // Of the request.
	candidates []medlargw.LogRecord // Possible context.
}

// New returns an explainer of the request with the given ID, in upper or lower
// case.
func New(id string) *Explainer { return &Explainer{id: strings.ToLower(id)} }

// Read adds the log of a process. If words precede the JSON of a line, the last
// of them names the line's process instead. Lines without JSON are skipped.
func (e *Explainer) Read(process string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		name := process
		if prefix := strings.Fields(string(raw[:start])); len(prefix) > 0 {
			name = prefix[len(prefix)-1]
		}
		if rec, ok := parseRecord(name, raw[start:]); ok {
			e.add(&rec)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", process, err)
	}
	return nil
}

// parseRecord parses the JSON of one log line. It returns false if the JSON is
// invalid or has no message.
func parseRecord(process string, raw []byte) (medlargw.LogRecord, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return medlargw.LogRecord{}, false
	}
	rec := medlargw.LogRecord{Process: process}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "ts":
			if seconds, err := json.Number(text).Float64(); err == nil {
				sec, frac := math.Modf(seconds)
				rec.At = time.Unix(int64(sec), int64(frac*1e9)).UTC()
			}
		case "logger":
			rec.Component = text
		case "msg":
			rec.Message = text
		case "level":
		default:
			rec.Fields = append(rec.Fields, medlargw.LogField{Name: name, Value: text})
		}
	}
	slices.SortFunc(rec.Fields, func(a, b medlargw.LogField) int { return strings.Compare(a.Name, b.Name) })
	return rec, rec.Message != ""
}

func (e *Explainer) add(rec *medlargw.LogRecord) {
	job, task := rec.Field("job"), rec.Field("task")
	switch {
	case job == e.id || strings.HasPrefix(task, e.id+"."):
		e.records = appendBounded(e.records, rec)
	case job == "" && task == "":
		e.candidates = appendBounded(e.candidates, rec)
	}
}

// appendBounded appends a record. If there are maxRecords already, the older
// half is deleted first.
func appendBounded(records []medlargw.LogRecord, rec *medlargw.LogRecord) []medlargw.LogRecord {
	if len(records) >= maxRecords {
		records = slices.Delete(records, 0, maxRecords/2)
	}
	return append(records, *rec)
}

// Explain explains the request from the logs that were read so far.
func (e *Explainer) Explain() medlargw.Explanation {
	x := medlargw.Explanation{RequestID: e.id, Records: slices.Clone(e.records)}
	byTime := func(a, b medlargw.LogRecord) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(x.Records, byTime)
	if len(x.Records) == 0 {
		x.Cause = "no log line names the request: it never arrived, its entry was lost together with its log, or its lines were dropped under load"
		return x
	}
	from, to := timeRange(x.Records)
	names := referencedNames(x.Records)
	for _, rec := range e.candidates {
		if !rec.At.Before(from.Add(-contextBefore)) && !rec.At.After(to.Add(contextAfter)) && isContext(&rec, names) {
			x.Context = append(x.Context, rec)
		}
	}
	slices.SortStableFunc(x.Context, byTime)
	x.Cause = summarize(&x)
	return x
}

// timeRange returns the times of the request's arrival and of its last record.
// Records that hold the request's age give the arrival.
func timeRange(records []medlargw.LogRecord) (from, to time.Time) {
	from, to = records[0].At, records[len(records)-1].At
	for i := range records {
		if age, ok := durationField(&records[i], "age"); ok && records[i].At.Add(-age).Before(from) {
			from = records[i].At.Add(-age)
		}
	}
	return from, to
}

// durationField returns the value of a field that holds a number of seconds. It
// returns false if the field is missing or no number.
func durationField(rec *medlargw.LogRecord, name string) (time.Duration, bool) {
	s, err := json.Number(rec.Field(name)).Float64()
	return time.Duration(s * float64(time.Second)), err == nil
}

// referencedNames returns the targets, holders and homes that the records name,
// and the processes that wrote the records.
func referencedNames(records []medlargw.LogRecord) map[string]bool {
	names := map[string]bool{}
	for i := range records {
		names[records[i].Process] = true
		for _, field := range []string{"target", "holder", "home"} {
			if name := records[i].Field(field); name != "" {
				names[name] = true
			}
		}
	}
	return names
}

// isContext reports whether a record is context of a request with the given
// names: it names one of them, it names a holder and is from a process of the
// request, or it names no target, holder or home and so is on a process as a
// whole.
func isContext(rec *medlargw.LogRecord, names map[string]bool) bool {
	if rec.Field("holder") != "" && names[rec.Process] {
		return true
	}
	specific := false
	for _, field := range []string{"target", "holder", "home"} {
		name := rec.Field(field)
		if name != "" && names[name] {
			return true
		}
		specific = specific || name != ""
	}
	return !specific
}
