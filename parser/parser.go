// Package parser reads JSON with comments into typed values and reports every
// fault with its place.
//
// A Parser is a cursor on one object of the text. Each accessor consumes one
// name; Close reports the names that nothing consumed. Faults are added to the
// shared findings and the accessor returns the default, so that one reading
// finds all faults.
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
	source   *source
	place    medlargw.Place
	members  []hujson.ObjectMember
	consumed []bool
	known    []string
}

// source is what all cursors of one file share.
type source struct {
	file     string
	text     []byte
	findings *medlargw.Findings
	broken   bool // Whether the text is no JSON, so that nothing can be missing.
}

// Parse returns a cursor on the top-level object of the text. When the text is
// no object, the fault is in the findings and the cursor is empty.
func Parse(file string, text []byte, findings *medlargw.Findings) *Parser {
	s := &source{file: file, text: text, findings: findings}
	value, err := hujson.Parse(text)
	if err != nil {
		s.broken = true
		place, message := s.placeOfError(err)
		findings.Add(place, "%s", message)
		return s.object(nil, medlargw.Place{File: file, Line: 1, Col: 1})
	}
	return s.objectOf(&value, "file")
}

// placeOfError takes apart the library's error, which holds the place only in
// its message.
func (s *source) placeOfError(err error) (medlargw.Place, string) {
	p := medlargw.Place{File: s.file, Line: 1, Col: 1}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &p.Line, &p.Col); n == 2 {
		_, message, _ = strings.Cut(message, ": ")
	}
	return p, message
}

func (s *source) placeAt(offset int) medlargw.Place {
	before := s.text[:min(offset, len(s.text))]
	line := 1 + strings.Count(string(before), "\n")
	col := offset - strings.LastIndexByte(string(before), '\n')
	return medlargw.Place{File: s.file, Line: line, Col: col}
}

func (s *source) object(members []hujson.ObjectMember, place medlargw.Place) *Parser {
	return &Parser{source: s, place: place, members: members, consumed: make([]bool, len(members))}
}

func (s *source) objectOf(v *hujson.Value, name string) *Parser {
	place := s.placeAt(v.StartOffset)
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		s.findings.Add(place, "%s: got %s, want an object", name, kindOf(v))
		return s.object(nil, place)
	}
	return s.object(o.Members, place)
}

func kindOf(v *hujson.Value) string {
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

// Place returns where the object starts.
func (p *Parser) Place() medlargw.Place { return p.place }

// Has reports whether the object holds the name.
func (p *Parser) Has(name string) bool {
	for i := range p.members {
		if memberName(&p.members[i]) == name {
			return true
		}
	}
	return false
}

// PlaceOf returns the place of a member's value, or of the object.
func (p *Parser) PlaceOf(name string) medlargw.Place {
	for i := range p.members {
		if memberName(&p.members[i]) == name {
			return p.source.placeAt(p.members[i].Value.StartOffset)
		}
	}
	return p.place
}

// Fault adds a finding at the member's place.
func (p *Parser) Fault(name, format string, args ...any) {
	p.source.findings.Add(p.PlaceOf(name), name+": "+format, args...)
}

func memberName(m *hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

// take consumes the member of that name; of two, the second is a fault.
func (p *Parser) take(name string) *hujson.Value {
	p.known = append(p.known, name)
	var found *hujson.Value
	for i := range p.members {
		if memberName(&p.members[i]) != name {
			continue
		}
		p.consumed[i] = true
		if found != nil {
			place := p.source.placeAt(p.members[i].Name.StartOffset)
			p.source.findings.Add(place, "%s: given twice", name)
			continue
		}
		found = &p.members[i].Value
	}
	return found
}

// String returns a string, or the default where the name is absent.
func (p *Parser) String(name, byDefault string) string {
	v := p.take(name)
	if v == nil {
		return byDefault
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		p.Fault(name, "got %s, want a string", kindOf(v))
		return byDefault
	}
	return literal.String()
}

// Need returns a string that must be present and not empty.
func (p *Parser) Need(name string) string {
	if !p.Has(name) {
		p.known = append(p.known, name)
		if !p.source.broken {
			p.source.findings.Add(p.place, "%s: missing", name)
		}
		return ""
	}
	if s := p.String(name, " "); s != "" {
		return strings.TrimSpace(s)
	}
	p.Fault(name, "got an empty value, want a name")
	return ""
}

// Number returns a number between the bounds, or the default.
func (p *Parser) Number(name string, byDefault, low, high float64) float64 {
	v := p.take(name)
	if v == nil {
		return byDefault
	}
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		p.Fault(name, "got %s, want a number", kindOf(v))
		return byDefault
	}
	var n float64
	if err := json.Unmarshal([]byte(literal), &n); err != nil || n < low || n > high {
		p.Fault(name, "got %s, want %s to %s", string(literal), plain(low), plain(high))
		return byDefault
	}
	return n
}

// plain returns a number without an exponent.
func plain(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) }

// Int returns a whole number between the bounds, or the default.
func (p *Parser) Int(name string, byDefault, low, high int) int {
	n := p.Number(name, float64(byDefault), float64(low), float64(high))
	if n != math.Trunc(n) {
		p.Fault(name, "got %g, want a whole number", n)
		return byDefault
	}
	return int(n)
}

// Duration returns a time such as "250ms" between the bounds, or the default.
func (p *Parser) Duration(name string, byDefault, low, high time.Duration) time.Duration {
	if !p.Has(name) {
		p.known = append(p.known, name)
		return byDefault
	}
	text := p.String(name, byDefault.String())
	d, err := time.ParseDuration(text)
	if err != nil {
		p.Fault(name, "got %q, want a time such as \"250ms\"", text)
		return byDefault
	}
	if d < low || d > high {
		p.Fault(name, "got %s, want %s to %s", d, low, high)
		return byDefault
	}
	return d
}

// AddrPort returns an address such as "10.0.0.1:80"; absent is the zero value.
func (p *Parser) AddrPort(name string) netip.AddrPort {
	text := p.String(name, "")
	if text == "" {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		p.Fault(name, "got %q, want an IP address and a port", text)
	}
	return addr
}

// Strings returns a list of strings; absent is nil.
func (p *Parser) Strings(name string) []string {
	var all []string
	for _, v := range p.elements(name) {
		literal, ok := v.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			p.source.findings.Add(p.source.placeAt(v.StartOffset), "%s: got %s, want a string", name, kindOf(&v))
			continue
		}
		all = append(all, literal.String())
	}
	return all
}

// Object returns a cursor on a nested object; absent is an empty one.
func (p *Parser) Object(name string) *Parser {
	v := p.take(name)
	if v == nil {
		return p.source.object(nil, p.place)
	}
	return p.source.objectOf(v, name)
}

// Objects returns a cursor for each object of a list; absent is nil.
func (p *Parser) Objects(name string) []*Parser {
	var all []*Parser
	for _, v := range p.elements(name) {
		all = append(all, p.source.objectOf(&v, name))
	}
	return all
}

func (p *Parser) elements(name string) []hujson.Value {
	v := p.take(name)
	if v == nil {
		return nil
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		p.Fault(name, "got %s, want a list", kindOf(v))
		return nil
	}
	return list.Elements
}

// Close reports each name that no accessor asked for, with the nearest known.
func (p *Parser) Close() {
	for i := range p.members {
		if p.consumed[i] {
			continue
		}
		name := memberName(&p.members[i])
		place := p.source.placeAt(p.members[i].Name.StartOffset)
		near := Nearest(name, p.known)
		if near == "" {
			p.source.findings.Add(place, "%s: unknown name", name)
			continue
		}
		p.source.findings.Add(place, "%s: unknown name, did you mean %s?", name, near)
	}
}
