// Package hashing mixes the bits of numbers that are already hashes or ids, for digests and placement. It is not
// cryptographic: anyone who chooses the inputs can produce collisions.
package hashing

// GoldenGamma is 2^64 divided by the golden ratio, whose consecutive multiples modulo 2^64 are far apart.
const GoldenGamma = 0x9e3779b97f4a7c15

// Mix applies the finalizer of splitmix64 (Steele, Lea and Flood).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Pair returns the hash of a key and its value.
func Pair(key, value uint64) uint64 { return Mix(key + Mix(value+GoldenGamma)) }
