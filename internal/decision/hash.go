package decision

import (
	"math"
	"time"
)

// hash mixes two values; all dispatchers rank by it alike. Its low bits must be as good as its high ones: buckets
// are taken from them.
func hash(a, b uint64) uint64 { return mix(mix(a+0x9e3779b97f4a7c15) + b) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// expHash turns a hash into an exponentially distributed value, as weighted rendezvous hashing needs it.
func expHash(a, b uint64) float64 {
	return -math.Log((float64(hash(a, b)>>11) + 1) / (1 << 53))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}
