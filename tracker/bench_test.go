package tracker

import (
	"fmt"
	"testing"

	"medlargw.example/medlargw"
)

// BenchmarkHash is the cost of the sum of a view, which each heartbeat takes
// three times.
func BenchmarkHash(b *testing.B) {
	for _, n := range []int{6, 12, 36} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			v := newView(member("h00", 1, 1, medlargw.MemberLive), times(), 0)
			for i := 1; i < n; i++ {
				m := member(fmt.Sprintf("h%02d", i), medlargw.Incarnation(1+i), 1, medlargw.MemberLive)
				v.hear(start, &m, nil)
			}
			b.ReportAllocs()
			for range b.N {
				v.hash()
			}
		})
	}
}
