package tierworld

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"emberquay/internal/tomlfile"
)

// Read decodes a world strictly: unknown keys, values of the wrong type or out of range, and inconsistent values
// are errors that name the key. Omitted keys have the values of Default, except that its troubles are not
// inherited.
func Read(raw []byte) (*World, error) {
	w := Default()
	w.Trouble = nil
	if err := tomlfile.Decode(raw, w); err != nil {
		return nil, err
	}
	if err := w.Check(); err != nil {
		return nil, err
	}
	return w, nil
}

// Print encodes a world as a file that Read accepts, with comments on each key and each kind of trouble.
func Print(w *World) ([]byte, error) {
	body, err := tomlfile.Encode(w)
	if err != nil {
		return nil, eris.Wrap(err, "world")
	}
	var out bytes.Buffer
	out.WriteString("# A day of the serving tier on loopback. Play it with: quaylab tier run FILE\n")
	out.WriteString("# What a file leaves out is as here, but for the troubles.\n#\n")
	out.WriteString("# [[trouble]] takes: what, at_s (since traffic began), and as the sort asks for it for_s,\n")
	out.WriteString("# on and no (which role's process or service's receiver, from 0), share or factor, next.\n#\n")
	for _, k := range kindSpecs {
		fmt.Fprintf(&out, "# %-13s%s\n#              takes: %s\n", k.kind, k.help, strings.Join(k.acceptedKeys(), ", "))
	}
	out.WriteString("\n")
	out.Write(body)
	return out.Bytes(), nil
}

// acceptedKeys returns the keys that a kind of trouble accepts in addition to what and at_s.
func (k kindSpec) acceptedKeys() []string {
	var keys []string
	if k.hasDuration {
		keys = append(keys, "for_s")
	}
	if len(k.targets) > 0 {
		keys = append(keys, "on = "+strings.Join(k.targets, " | "))
	}
	if len(k.targets) > 0 && !k.defaultsToAll {
		keys = append(keys, "no")
	}
	switch k.strength {
	case byShare:
		keys = append(keys, "share")
	case byFactor:
		keys = append(keys, "factor")
	}
	if k.takesSuccessor {
		keys = append(keys, "next")
	}
	if len(keys) == 0 {
		return []string{"nothing more"}
	}
	return keys
}
