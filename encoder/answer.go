package encoder

import (
	"time"

	"medlargw.example/medlargw"
)

// resultOverhead is the number of bytes of a result without its id and answer.
const resultOverhead = len(`{"id":"","answer":},`)

// encodeAnswer joins the results of a complete job. Their bodies are valid
// JSON, as the sender has checked, so that they are copied as they are.
func encodeAnswer(tasks []medlargw.TaskResult) []byte {
	size := len(`{"tasks":[]}`)
	for i := range tasks {
		size += resultOverhead + len(tasks[i].ID) + len(tasks[i].Body)
	}
	b := make([]byte, 0, size)
	b = append(b, `{"tasks":[`...)
	for i := range tasks {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, `{"id":`...)
		b = appendString(b, tasks[i].ID)
		b = append(b, `,"answer":`...)
		b = append(b, tasks[i].Body...)
		b = append(b, '}')
	}
	return append(b, "]}"...)
}

// appendString appends the JSON form of the string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return append(b, mustMarshal(s)...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}

// maxTickets is the number of tickets of one request.
const maxTickets = 1000

type ticketsWire struct {
	Tickets []string `json:"tickets"`
	Term    string   `json:"term"`
}

// EncodeTickets returns the answer to a request for tickets.
func (e *Encoder) EncodeTickets(tickets []string, term time.Duration) []byte {
	return mustMarshal(ticketsWire{Tickets: tickets, Term: term.String()})
}

type mintWire struct {
	Count int `json:"count"`
}

// DecodeMint reads a request for tickets and returns their number.
func (e *Encoder) DecodeMint(body []byte) (int, *medlargw.Refused) {
	wire := mintWire{Count: 1}
	if len(body) > 0 {
		if err := decodeStrictly(body, &wire); err != nil {
			return 0, refused(medlargw.CodeBadRequest, "the body is no request for tickets: %v", err)
		}
	}
	if wire.Count < 1 || wire.Count > maxTickets {
		return 0, refused(medlargw.CodeBadRequest, "count: got %d, want 1 to %d", wire.Count, maxTickets)
	}
	return wire.Count, nil
}
