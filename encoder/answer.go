package encoder

import (
	"time"

	"medlargw.example/medlargw"
)

// resultOverheadBytes is the size of an encoded result without its ID and
// answer.
const resultOverheadBytes = len(`{"id":"","answer":},`)

// encodeAnswer encodes the results of a complete job. It copies their bodies
// unchanged, since the sender has checked that they are valid JSON.
func encodeAnswer(tasks []medlargw.TaskResult) []byte {
	size := len(`{"tasks":[]}`)
	for i := range tasks {
		size += resultOverheadBytes + len(tasks[i].ID) + len(tasks[i].Body)
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

// appendString appends the string as a JSON string.
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

// maxTicketsPerRequest limits the tickets that one request can ask for.
const maxTicketsPerRequest = 1000

type ticketsWire struct {
	Tickets []string `json:"tickets"`
	Term    string   `json:"term"`
}

// EncodeTickets returns the body of the answer to a request for tickets.
func (e *Encoder) EncodeTickets(tickets []string, lifetime time.Duration) []byte {
	return mustMarshal(ticketsWire{Tickets: tickets, Term: lifetime.String()})
}

type ticketRequestWire struct {
	Count int `json:"count"`
}

// DecodeTicketRequest decodes a request for tickets and returns their number,
// which is one unless the request gives another.
func (e *Encoder) DecodeTicketRequest(body []byte) (int, *medlargw.RefusedError) {
	wire := ticketRequestWire{Count: 1}
	if len(body) > 0 {
		if err := decodeStrictly(body, &wire); err != nil {
			return 0, newRefused(medlargw.CodeBadRequest, "the body is no request for tickets: %v", err)
		}
	}
	if wire.Count < 1 || wire.Count > maxTicketsPerRequest {
		return 0, newRefused(medlargw.CodeBadRequest, "count: got %d, want 1 to %d", wire.Count, maxTicketsPerRequest)
	}
	return wire.Count, nil
}
