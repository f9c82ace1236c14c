package decision

import (
	"testing"
)

// The low bits of the hash must be well mixed. An earlier hash had poor low bits: with two buckets, all
// tenants of a deployment were put into the unlabelled one.
func TestHashSpreadsOverBuckets(t *testing.T) {
	for _, n := range []uint64{2, 3, 5, 64} {
		count := make([]int, n)
		for i := range 1000 * n {
			count[hash(i, 1)%n]++
		}
		for b, c := range count {
			if c < 850 || c > 1150 {
				t.Errorf("%d buckets: bucket %d got %d values, expected about 1000", n, b, c)
			}
		}
	}
}
