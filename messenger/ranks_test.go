package messenger

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"medlargw.example/medlargw"
)

// TestRanksBetweenEntries sends ranks and attempts that operators have chosen to another entry.
// It guards against numbers of which the other entry reads the lowest 32 bits, so that it
// starts the tasks of rank 2^32 as the most urgent ones.
func TestRanksBetweenEntries(t *testing.T) {
	for _, want := range []int{0, 31, math.MaxInt32, math.MaxInt32 + 6, 1 << 32, math.MaxInt} {
		offer := medlargw.Offer{Tasks: []medlargw.OfferedTask{{Rank: want}}}
		decodedOffer, err := decodeOffer(transmit(t, encodeOffer(&offer)))
		if err != nil {
			t.Fatal(err)
		}
		job := sampleRelay("payload")
		job.Job.Rank, job.Job.MaxAttempts = want, want
		decodedJob, err := decodeRelay(transmit(t, encodeRelay(&job)))
		if err != nil {
			t.Fatal(err)
		}
		transfer := medlargw.Transfer{Targets: []medlargw.TransferredTarget{{
			Runs: []medlargw.TransferredRun{{Task: medlargw.OfferedTask{Rank: want}}},
		}}}
		resources := medlargw.HolderResources{Sequence: 1, Pools: []medlargw.PoolResources{{
			Pool: "pool", Waiting: []medlargw.RankWork{{Rank: want}},
		}}}
		heartbeat := medlargw.Heartbeat{Digest: medlargw.Digest{Waiting: []medlargw.ClassDemand{{Rank: want}}}}
		tests := []struct {
			name string
			got  int
		}{
			{"rank of an offered task", decodedOffer.Tasks[0].Rank},
			{"rank of a relayed job", decodedJob.Job.Rank},
			{"attempts of a relayed job", decodedJob.Job.MaxAttempts},
			{"rank of a transferred run", decodeTransfer(transmit(t, encodeTransfer(&transfer))).Targets[0].Runs[0].Task.Rank},
			{"rank of waiting work", decodeHolderResources(transmit(t, encodeHolderResources(&resources))).Pools[0].Waiting[0].Rank},
			{"rank of a demand", decodeHeartbeat(transmit(t, encodeHeartbeat(&heartbeat))).Digest.Waiting[0].Rank},
		}
		for _, test := range tests {
			if test.got != want {
				t.Errorf("%s: got %d, want %d", test.name, test.got, want)
			}
		}
	}
}

// transmit returns what another entry reads of a message.
func transmit[M proto.Message](t *testing.T, m M) M {
	t.Helper()
	body, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	proto.Reset(m)
	if err := proto.Unmarshal(body, m); err != nil {
		t.Fatal(err)
	}
	return m
}
