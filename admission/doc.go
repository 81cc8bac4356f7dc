// Package admission holds what the admission policies share: a random number generator, means of recent values, a
// learned concurrency window, and exponential backoff. It depends on no clock and no global randomness: both come in as
// arguments. Package control decides for the delivery service, package dispatch for the tier's proxies.
package admission
