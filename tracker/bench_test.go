package tracker

import (
	"fmt"
	"testing"

	"medlargw.example/medlargw"
)

// BenchmarkHash measures the hash of a view, which is computed three times for
// each heartbeat.
func BenchmarkHash(b *testing.B) {
	for _, n := range []int{6, 12, 36} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			v := newView(member("h00", 1, 1, medlargw.MemberLive), testSettings(), 0)
			for i := 1; i < n; i++ {
				m := member(fmt.Sprintf("h%02d", i), medlargw.Incarnation(1+i), 1, medlargw.MemberLive)
				v.applyMessage(start, &m, nil)
			}
			b.ReportAllocs()
			for range b.N {
				v.hash()
			}
		})
	}
}
