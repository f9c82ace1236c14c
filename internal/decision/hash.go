package decision

import "math"

// hash mixes two values; all dispatchers rank by it alike. Its low bits must be as good as its high ones:
// buckets are taken from them.
func hash(first, second uint64) uint64 { return mix(mix(first+0x9e3779b97f4a7c15) + second) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
// Generators").
func mix(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

// exponentialHash turns a hash into an exponentially distributed value, as weighted rendezvous
// hashing needs it.
func exponentialHash(first, second uint64) float64 {
	return -math.Log((float64(hash(first, second)>>11) + 1) / (1 << 53))
}
