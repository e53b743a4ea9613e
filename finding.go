package medlargw

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns count from 1.
type Position struct {
	File string
	Line int
	Col  int
}

// String returns file:line:col.
func (p Position) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Finding is one error in a file, with its position.
type Finding struct {
	Position Position
	Message  string
}

// Findings is an error that holds all errors found while a file is read.
type Findings struct {
	All []Finding
}

var _ error = (*Findings)(nil)

// Add records one error.
func (f *Findings) Add(p Position, format string, args ...any) {
	f.All = append(f.All, Finding{Position: p, Message: fmt.Sprintf(format, args...)})
}

// Err returns f if it holds an error, and nil otherwise.
func (f *Findings) Err() error {
	if len(f.All) == 0 {
		return nil
	}
	return f
}

// Error returns one line per error, ordered by position.
func (f *Findings) Error() string {
	sorted := slices.Clone(f.All)
	slices.SortStableFunc(sorted, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.Position.File, b.Position.File),
			cmp.Compare(a.Position.Line, b.Position.Line),
			cmp.Compare(a.Position.Col, b.Position.Col),
		)
	})
	lines := make([]string, len(sorted))
	for i, finding := range sorted {
		lines[i] = finding.Position.String() + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}
