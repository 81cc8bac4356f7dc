// Package hashing spreads the bits of numbers that are hashes or ids already, for digests and placement. It is no
// cryptography: whoever chooses the input can make results meet.
package hashing

// GoldenGamma is 2^64 divided by the golden ratio: consecutive multiples are far apart.
const GoldenGamma = 0x9e3779b97f4a7c15

// Mix is the finalizer of splitmix64 (Steele, Lea and Flood).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

// Pair is the hash of a key with its value.
func Pair(key, value uint64) uint64 { return Mix(key + Mix(value+GoldenGamma)) }
