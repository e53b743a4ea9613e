package medlargw

import "time"

// Decision is one line of a process's log: what it decided or came to believe.
type Decision struct {
	At      time.Time
	Process string // As the file or the line names it.
	Part    string
	Message string
	Fields  []DecisionField // In the order of their names.
}

// DecisionField is one input or outcome of a decision.
type DecisionField struct {
	Name  string
	Value string
}

// Field returns the value of a field, or "".
func (d *Decision) Field(name string) string {
	for _, f := range d.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Explanation is what the logs of all processes say of one request.
type Explanation struct {
	Request   string
	Cause     string     // One sentence.
	Decisions []Decision // On the request, in the order of time.
	Around    []Decision // On what served the request, shortly before and meanwhile.
}
