//go:build !linux

package processes

import "github.com/rotisserie/eris"

// pin is available on Linux only.
func pin(int) error { return eris.New("processes can be restricted to fewer cores on Linux only") }
