package decision

import (
	"testing"
)

// The first hash had poor low bits: with two buckets all tenants of a deployment fell into the unlabelled
// one.
func TestHashSpreadsOverBuckets(t *testing.T) {
	for _, n := range []uint64{2, 3, 5, 64} {
		count := make([]int, n)
		for i := range 1000 * n {
			count[hash(i, 1)%n]++
		}
		for b, c := range count {
			if c < 850 || c > 1150 {
				t.Errorf("%d buckets: bucket %d got %d of 1000 expected", n, b, c)
			}
		}
	}
}
