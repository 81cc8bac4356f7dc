//go:build !powerloss

package vfs

import "os"

// wrap returns an open file of the operating system.
func wrap(f *os.File) File { return osFile{f} }
