package messenger

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/messenger/wire"
)

// newOffer returns an offer of tasks with the given payloads.
func newOffer(protocol int, payloads ...[]byte) medlargw.Offer {
	o := medlargw.Offer{Protocol: protocol, Holder: 9}
	for i, p := range payloads {
		o.Tasks = append(o.Tasks, medlargw.OfferedTask{ID: medlargw.TaskID(i + 1), Payload: p})
	}
	return o
}

// TestOfferSharesPayloads checks the size of an offer whose tasks have the same
// payload, and that a holder reads what the home has sent, also one of an older
// build, which reads no shared payloads.
func TestOfferSharesPayloads(t *testing.T) {
	large, other := bytes.Repeat([]byte("p"), 2400), bytes.Repeat([]byte("q"), 100)
	tests := []struct {
		name     string
		protocol int
		payloads [][]byte
		maxBytes int
	}{
		{"one payload for all", 1, [][]byte{large, large, large, large, large, large, large, large}, 2400 + 8*50},
		{"two payloads", 1, [][]byte{large, other, large}, 2500 + 3*50},
		{"no payload", 1, [][]byte{nil, nil}, 2 * 50},
		{"older holder", 0, [][]byte{large, large}, 2 * 2450},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newOffer(test.protocol, test.payloads...)
			body, err := proto.Marshal(encodeOffer(&o))
			if err != nil {
				t.Fatal(err)
			}
			if len(body) > test.maxBytes {
				t.Errorf("size: got %d bytes, want at most %d", len(body), test.maxBytes)
			}
			var w wire.OfferRequest
			if err := proto.Unmarshal(body, &w); err != nil {
				t.Fatal(err)
			}
			if test.protocol == 0 && len(w.Payloads) != 0 {
				t.Errorf("shared payloads for an older holder: got %d, want 0", len(w.Payloads))
			}
			got, err := decodeOffer(&w)
			if err != nil {
				t.Fatal(err)
			}
			if got.Holder != o.Holder {
				t.Errorf("incarnation of the holder: got %d, want %d", got.Holder, o.Holder)
			}
			for i, want := range test.payloads {
				if !bytes.Equal(got.Tasks[i].Payload, want) {
					t.Errorf("payload of task %d: got %d bytes, want %d", i, len(got.Tasks[i].Payload), len(want))
				}
			}
		})
	}
}

// TestMissingSharedPayload checks that a task is not run without its payload.
func TestMissingSharedPayload(t *testing.T) {
	w := &wire.OfferRequest{Tasks: []*wire.OfferedTask{{Shared: 2}}, Payloads: [][]byte{{1}}}
	if _, err := decodeOffer(w); err == nil {
		t.Error("offer without the payload of a task: got no error, want one")
	}
}

// BenchmarkOffer measures the encoding of an offer of eight tasks of one job.
func BenchmarkOffer(b *testing.B) {
	payload := bytes.Repeat([]byte("p"), 2400)
	for _, protocol := range []int{0, 1} {
		b.Run([]string{"payload in each task", "shared payload"}[protocol], func(b *testing.B) {
			o := newOffer(protocol, payload, payload, payload, payload, payload, payload, payload, payload)
			b.ReportAllocs()
			size := 0
			for range b.N {
				body, err := proto.Marshal(encodeOffer(&o))
				if err != nil {
					b.Fatal(err)
				}
				size = len(body)
			}
			b.ReportMetric(float64(size), "bytes/offer")
		})
	}
}
