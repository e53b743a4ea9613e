package medlargw

import "time"

// LogRecord is one record of a process's log: a decision or an observation.
type LogRecord struct {
	At        time.Time
	Process   string // Name of the process, from the log file's name or the line.
	Component string // Component that logged it.
	Message   string
	Fields    []LogField // Ordered by name.
}

// LogField is one field of a log record.
type LogField struct {
	Name  string
	Value string
}

// Field returns the value of the field of that name, or "" if there is none.
func (r *LogRecord) Field(name string) string {
	for _, f := range r.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Explanation is what the logs of all processes tell about one request.
type Explanation struct {
	RequestID string      // The caller's ID of the job.
	Cause     string      // Why the request ended as it did, in one sentence.
	Records   []LogRecord // Records about the request, the oldest first.
	Context   []LogRecord // Records about the processes and targets that served it, from shortly before its first record to shortly after its last.
}
