// Package admission holds what the senders' decisions share: a generator of chance, means of late figures, a
// learned window of calls out at once, and pauses that double. All of it is pure: time and chance come in as
// arguments. Package control decides for the program in service, package dispatch for the tier's proxies.
package admission
