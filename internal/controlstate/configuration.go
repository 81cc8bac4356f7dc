package controlstate

import (
	"fmt"

	"emberquay/internal/routing"
)

// configure takes a change of the configuration or refuses it. A wrong base is told before an invalid body.
func (s *State) configure(c Command) (Result, bool) {
	if !c.HasBase {
		return s.refuse(StatusBadRequest, "the version that the change builds on is not named"), false
	}
	id := digestOf(c)
	if version, known := s.accepted.find(id); known {
		return Result{Status: StatusOK, Version: version}, false
	}
	if _, known := s.refused.find(id); known {
		return s.refuse(StatusPreconditionFailed, "this change was refused before"), false
	}
	if c.Base != s.version {
		changed := c.Base > s.version
		if changed {
			s.refused.add(id, c.Base)
		}
		return s.refuse(StatusPreconditionFailed, fmt.Sprintf("version %d is in force, not %d", s.version, c.Base)), changed
	}
	next, err := s.next(c)
	if err != nil {
		return s.refuse(StatusBadRequest, err.Error()), false
	}
	if next.Version <= s.version {
		reason := fmt.Sprintf("version: %d is not above %d, which is in force", next.Version, s.version)
		return s.refuse(StatusBadRequest, reason), false
	}
	s.version, s.body = next.Version, next.Body
	s.accepted.add(id, next.Version)
	return Result{Status: StatusOK, Version: next.Version}, true
}

// next gives the configuration that a change leads to.
func (s *State) next(c Command) (*routing.Snapshot, error) {
	if c.Kind == ReplaceConfiguration {
		return routing.Parse(c.Body)
	}
	body, err := routing.Modify(s.body, c.Body)
	if err != nil {
		return nil, err
	}
	return routing.Parse(body)
}

func (s *State) refuse(status int, message string) Result {
	return Result{Status: status, Message: message, Version: s.version}
}
