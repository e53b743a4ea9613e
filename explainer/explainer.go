// Package explainer finds in the logs of all processes what became of one
// request, and why.
//
// A line belongs to the request when it names its id, or a task of it. Lines on
// a target, a holder or a home count when the request's own lines name it, and
// lines on a whole process always, within a window around the request. Lines
// are read once, from any number of files, so that what may turn out to belong
// to the request is kept, up to a bound.
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
	// maxLine is the longest line that is read, in bytes; a line of a process is
	// some hundred.
	maxLine = 1 << 20
	// maxKept bounds the lines that are kept of each sort: hours of the rare
	// lines on what serves requests.
	maxKept = 20000
	// before and after are the window around the request's own lines: the
	// longest silence after which a holder or home is given up, and a margin.
	before = 3 * time.Second
	after  = time.Second
)

// Explainer collects the lines on one request.
type Explainer struct {
	id     string
	own    []medlargw.Decision
	around []medlargw.Decision
}

// New returns an explainer of the request with the caller's id.
func New(id string) *Explainer { return &Explainer{id: strings.ToLower(id)} }

// Read takes the log of a process. The last word before the JSON of a line names
// the process, if there is one. Lines that are no JSON are passed over.
func (e *Explainer) Read(process string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		raw := lines.Bytes()
		at := bytes.IndexByte(raw, '{')
		if at < 0 {
			continue
		}
		name := process
		if prefix := strings.Fields(string(raw[:at])); len(prefix) > 0 {
			name = prefix[len(prefix)-1]
		}
		if d, ok := decode(name, raw[at:]); ok {
			e.take(&d)
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("read log of %s: %w", process, err)
	}
	return nil
}

// decode reads one line of a log.
func decode(process string, raw []byte) (medlargw.Decision, bool) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return medlargw.Decision{}, false
	}
	d := medlargw.Decision{Process: process}
	for name, value := range fields {
		text := fmt.Sprint(value)
		switch name {
		case "ts":
			if seconds, err := json.Number(text).Float64(); err == nil {
				whole, part := math.Modf(seconds)
				d.At = time.Unix(int64(whole), int64(part*1e9)).UTC()
			}
		case "logger":
			d.Part = text
		case "msg":
			d.Message = text
		case "level":
		default:
			d.Fields = append(d.Fields, medlargw.DecisionField{Name: name, Value: text})
		}
	}
	slices.SortFunc(d.Fields, func(a, b medlargw.DecisionField) int { return strings.Compare(a.Name, b.Name) })
	return d, d.Message != ""
}

func (e *Explainer) take(d *medlargw.Decision) {
	job, task := d.Field("job"), d.Field("task")
	switch {
	case job == e.id || strings.HasPrefix(task, e.id+"."):
		e.own = keep(e.own, d)
	case job == "" && task == "":
		e.around = keep(e.around, d)
	}
}

// keep appends a line, in place of the oldest half if there are too many.
func keep(all []medlargw.Decision, d *medlargw.Decision) []medlargw.Decision {
	if len(all) >= maxKept {
		all = slices.Delete(all, 0, maxKept/2)
	}
	return append(all, *d)
}

// Explain returns what was found so far.
func (e *Explainer) Explain() medlargw.Explanation {
	x := medlargw.Explanation{Request: e.id, Decisions: slices.Clone(e.own)}
	byTime := func(a, b medlargw.Decision) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(x.Decisions, byTime)
	if len(x.Decisions) == 0 {
		x.Cause = "no line names the request: it never arrived, its entry was lost with its log, or its lines were left out under load"
		return x
	}
	from, to := span(x.Decisions)
	named := namesOf(x.Decisions)
	for _, d := range e.around {
		if !d.At.Before(from.Add(-before)) && !d.At.After(to.Add(after)) && concerns(&d, named) {
			x.Around = append(x.Around, d)
		}
	}
	slices.SortStableFunc(x.Around, byTime)
	x.Cause = cause(&x)
	return x
}

// span returns the time from the request's arrival to its last line.
func span(own []medlargw.Decision) (from, to time.Time) {
	from, to = own[0].At, own[len(own)-1].At
	for i := range own {
		if age, ok := seconds(&own[i], "age"); ok && own[i].At.Add(-age).Before(from) {
			from = own[i].At.Add(-age)
		}
	}
	return from, to
}

// seconds returns a field that holds a number of seconds.
func seconds(d *medlargw.Decision, name string) (time.Duration, bool) {
	s, err := json.Number(d.Field(name)).Float64()
	return time.Duration(s * float64(time.Second)), err == nil
}

// namesOf returns the targets, holders and homes that lines name, and the
// processes that wrote them.
func namesOf(all []medlargw.Decision) map[string]bool {
	names := map[string]bool{}
	for i := range all {
		names[all[i].Process] = true
		for _, field := range []string{"target", "holder", "home"} {
			if name := all[i].Field(field); name != "" {
				names[name] = true
			}
		}
	}
	return names
}

// concerns reports whether a line may have to do with what served the request:
// it names that, is of a process that names nothing in particular, or tells of a
// holder that a process of the request dealt with.
func concerns(d *medlargw.Decision, named map[string]bool) bool {
	if d.Field("holder") != "" && named[d.Process] {
		return true
	}
	particular := false
	for _, field := range []string{"target", "holder", "home"} {
		name := d.Field(field)
		if name != "" && named[name] {
			return true
		}
		particular = particular || name != ""
	}
	return !particular
}
