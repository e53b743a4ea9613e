// Package parser reads JSON with comments into typed values and reports all
// errors with their positions.
//
// A Parser is a cursor on one object of the text. Each accessor consumes the
// member with the given name; Close reports the members that no accessor
// consumed. An accessor that finds an error adds it to the shared findings and
// returns the default, so that one pass finds all errors.
package parser

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"medlargw.example/medlargw"
)

// Parser is a cursor on one object.
type Parser struct {
	document  *document
	position  medlargw.Position
	members   []hujson.ObjectMember
	consumed  []bool
	requested []string
}

// document is the state that all cursors of one file share.
type document struct {
	file          string
	text          []byte
	findings      *medlargw.Findings
	invalidSyntax bool // Whether the text is not valid JSON; missing members are not reported then.
}

// Parse returns a cursor on the top-level object of the text. If the text is
// not a JSON object, Parse adds a finding and returns an empty cursor.
func Parse(file string, text []byte, findings *medlargw.Findings) *Parser {
	d := &document{file: file, text: text, findings: findings}
	value, err := hujson.Parse(text)
	if err != nil {
		d.invalidSyntax = true
		position, message := d.splitError(err)
		findings.Add(position, "%s", message)
		return d.newParser(nil, medlargw.Position{File: file, Line: 1, Col: 1})
	}
	return d.parseObject(&value, "file")
}

// splitError splits an error of package hujson into its position and its
// message. The error holds the position only as a part of its text.
func (d *document) splitError(err error) (medlargw.Position, string) {
	p := medlargw.Position{File: d.file, Line: 1, Col: 1}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &p.Line, &p.Col); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	return p, message
}

// positionAt converts a byte offset into a position.
func (d *document) positionAt(offset int) medlargw.Position {
	before := d.text[:min(offset, len(d.text))]
	line := 1 + strings.Count(string(before), "\n")
	col := offset - strings.LastIndexByte(string(before), '\n')
	return medlargw.Position{File: d.file, Line: line, Col: col}
}

// newParser returns a cursor on an object with the members.
func (d *document) newParser(members []hujson.ObjectMember, position medlargw.Position) *Parser {
	return &Parser{document: d, position: position, members: members, consumed: make([]bool, len(members))}
}

// parseObject returns a cursor on the value, or reports that it is not an
// object and returns an empty cursor.
func (d *document) parseObject(v *hujson.Value, name string) *Parser {
	position := d.positionAt(v.StartOffset)
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.findings.Add(position, "%s: got %s, want an object", name, describeKind(v))
		return d.newParser(nil, position)
	}
	return d.newParser(o.Members, position)
}

// describeKind returns the JSON type of a value, with its article.
func describeKind(v *hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '[':
		return "a list"
	default:
		return "an object"
	}
}

// Position returns the position at which the object starts.
func (p *Parser) Position() medlargw.Position { return p.position }

// Has reports whether the object has a member with the name.
func (p *Parser) Has(name string) bool {
	for i := range p.members {
		if memberName(&p.members[i]) == name {
			return true
		}
	}
	return false
}

// PositionOf returns the position of a member's value, or of the object if it
// has no such member.
func (p *Parser) PositionOf(name string) medlargw.Position {
	for i := range p.members {
		if memberName(&p.members[i]) == name {
			return p.document.positionAt(p.members[i].Value.StartOffset)
		}
	}
	return p.position
}

// Report adds a finding at the position of the member, or of the object if it
// has no such member.
func (p *Parser) Report(name, format string, args ...any) {
	p.document.findings.Add(p.PositionOf(name), name+": "+format, args...)
}

func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// consume returns the value of the member with the name, or nil, and marks the
// member as consumed. It reports a second member with the same name.
func (p *Parser) consume(name string) *hujson.Value {
	p.requested = append(p.requested, name)
	var found *hujson.Value
	for i := range p.members {
		if memberName(&p.members[i]) != name {
			continue
		}
		p.consumed[i] = true
		if found != nil {
			position := p.document.positionAt(p.members[i].Name.StartOffset)
			p.document.findings.Add(position, "%s: given twice", name)
			continue
		}
		found = &p.members[i].Value
	}
	return found
}

// String returns a string, or the default if the member is absent or not valid.
func (p *Parser) String(name, defaultValue string) string {
	v := p.consume(name)
	if v == nil {
		return defaultValue
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		p.Report(name, "got %s, want a string", describeKind(v))
		return defaultValue
	}
	return literal.String()
}

// Required returns a string that must be present and not empty, without
// surrounding white space.
func (p *Parser) Required(name string) string {
	if !p.Has(name) {
		p.requested = append(p.requested, name)
		if !p.document.invalidSyntax {
			p.document.findings.Add(p.position, "%s: missing", name)
		}
		return ""
	}
	if s := p.String(name, " "); s != "" {
		return strings.TrimSpace(s)
	}
	p.Report(name, "got an empty value, want a name")
	return ""
}

// Number returns a number between the bounds, or the default if the member is
// absent or not valid.
func (p *Parser) Number(name string, defaultValue, low, high float64) float64 {
	v := p.consume(name)
	if v == nil {
		return defaultValue
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		p.Report(name, "got %s, want a number", describeKind(v))
		return defaultValue
	}
	var n float64
	if err := json.Unmarshal([]byte(literal), &n); err != nil || n < low || n > high {
		p.Report(name, "got %s, want %s to %s", string(literal), formatDecimal(low), formatDecimal(high))
		return defaultValue
	}
	return n
}

// formatDecimal formats a number without an exponent.
func formatDecimal(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// Int returns a whole number between the bounds, or the default if the member
// is absent or not valid.
func (p *Parser) Int(name string, defaultValue, low, high int) int {
	n := p.Number(name, float64(defaultValue), float64(low), float64(high))
	if n != math.Trunc(n) {
		p.Report(name, "got %g, want a whole number", n)
		return defaultValue
	}
	return int(n)
}

// Duration returns a duration such as "250ms" between the bounds, or the
// default if the member is absent or not valid.
func (p *Parser) Duration(name string, defaultValue, low, high time.Duration) time.Duration {
	if !p.Has(name) {
		p.requested = append(p.requested, name)
		return defaultValue
	}
	text := p.String(name, defaultValue.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		p.Report(name, "got %q, want a time such as \"250ms\"", text)
		return defaultValue
	}
	if d < low || d > high {
		p.Report(name, "got %s, want %s to %s", d, low, high)
		return defaultValue
	}
	return d
}

// AddrPort returns an address such as "10.0.0.1:80", or the zero value if the
// member is absent.
func (p *Parser) AddrPort(name string) netip.AddrPort {
	text := p.String(name, "")
	if text == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		p.Report(name, "got %q, want an IP address and a port", text)
	}
	return addr
}

// Strings returns a list of strings, or nil if the member is absent.
func (p *Parser) Strings(name string) []string {
	var values []string
	for _, v := range p.elements(name) {
		literal, ok := v.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			p.document.findings.Add(p.document.positionAt(v.StartOffset), "%s: got %s, want a string", name, describeKind(&v))
			continue
		}
		values = append(values, literal.String())
	}
	return values
}

// Object returns a cursor on a nested object, or an empty cursor if the member
// is absent.
func (p *Parser) Object(name string) *Parser {
	v := p.consume(name)
	if v == nil {
		return p.document.newParser(nil, p.position)
	}
	return p.document.parseObject(v, name)
}

// Objects returns a cursor for each object of a list, or nil if the member is
// absent.
func (p *Parser) Objects(name string) []*Parser {
	var objects []*Parser
	for _, v := range p.elements(name) {
		objects = append(objects, p.document.parseObject(&v, name))
	}
	return objects
}

// elements returns the elements of a list, or nil if the member is absent.
func (p *Parser) elements(name string) []hujson.Value {
	v := p.consume(name)
	if v == nil {
		return nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		p.Report(name, "got %s, want a list", describeKind(v))
		return nil
	}
	return list.Elements
}

// Close reports each member that no accessor consumed, and suggests the most
// similar requested name.
func (p *Parser) Close() {
	for i := range p.members {
		if p.consumed[i] {
			continue
		}
		name := memberName(&p.members[i])
		position := p.document.positionAt(p.members[i].Name.StartOffset)
		suggestion := Nearest(name, p.requested)
		if suggestion == "" {
			p.document.findings.Add(position, "%s: unknown name", name)
			continue
		}
		p.document.findings.Add(position, "%s: unknown name, did you mean %s?", name, suggestion)
	}
}
