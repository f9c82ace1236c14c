package decision

import "math"

// hash combines two values into one. All dispatchers rank workers by it and so agree on the order. Its low
// bits must be as well mixed as its high bits, because buckets are computed modulo a small number.
func hash(first, second uint64) uint64 { return mix(mix(first+0x9e3779b97f4a7c15) + second) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast Splittable Pseudorandom Number
// Generators").
func mix(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

// exponentialHash maps two values to an exponentially distributed value, for weighted rendezvous hashing.
func exponentialHash(first, second uint64) float64 {
	return -math.Log((float64(hash(first, second)>>11) + 1) / (1 << 53))
}
