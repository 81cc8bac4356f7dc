package controlstate

import (
	"fmt"

	"github.com/rotisserie/eris"

	"emberquay/internal/tier/routing"
)

// changeConfiguration accepts or refuses a change of the configuration. A base mismatch takes precedence over an invalid
// body.
func (s *State) changeConfiguration(c Command) (Result, bool) {
	if !c.HasBase {
		return s.refuse(StatusBadRequest, "the version that the change builds on is not named"), false
	}
	id := digestOf(c)
	switch version, result := s.accepted.find(id, c.Base); result {
	case wasAccepted:
		return Result{Status: StatusOK, Version: version}, false
	case acceptanceUnknown:
		reason := fmt.Sprintf("version %d is in force; what was taken on version %d is not remembered any more", s.version, c.Base)
		return s.refuse(StatusUnknown, reason), false
	}
	if s.refused.contains(id) {
		return s.refuse(StatusPreconditionFailed, "this change was refused before"), false
	}
	switch {
	case c.Base < s.version:
		return s.refuseBaseMismatch(c), false
	case c.Base > s.version:
		return s.refuseUnreachedBase(c, id)
	}
	if len(c.Body) > MaxConfigurationBytes {
		return s.refuse(StatusBadRequest, tooLargeMessage(c.Body)), false
	}
	next, err := s.nextConfiguration(c)
	if err == nil && len(next.Body) > MaxConfigurationBytes {
		err = eris.New(tooLargeMessage(next.Body))
	}
	if err != nil {
		return s.refuse(StatusBadRequest, err.Error()), false
	}
	if next.Version <= s.version {
		reason := fmt.Sprintf("version: %d is not above %d, which is in force", next.Version, s.version)
		return s.refuse(StatusBadRequest, reason), false
	}
	s.version, s.body, s.parsed = next.Version, next.Body, next
	s.accepted.add(id, next.Version)
	s.refused.dropBelow(next.Version)
	return Result{Status: StatusOK, Version: next.Version}, true
}

func tooLargeMessage(body []byte) string {
	return fmt.Sprintf("the configuration has %d bytes, %d at most", len(body), MaxConfigurationBytes)
}

func (s *State) refuseBaseMismatch(c Command) Result {
	return s.refuse(StatusPreconditionFailed, fmt.Sprintf("version %d is in force, not %d", s.version, c.Base))
}

// refuseUnreachedBase refuses a change whose base version is not reached yet, and records the refusal. Without room for the
// record it returns StatusUnknown, see State.refused.
func (s *State) refuseUnreachedBase(c Command, id digest) (Result, bool) {
	if !s.refused.add(id, c.Base) {
		reason := fmt.Sprintf("version %d is in force, and too many changes wait for later ones", s.version)
		return s.refuse(StatusUnknown, reason), false
	}
	return s.refuseBaseMismatch(c), true
}

// ConfigurationBytesAfter returns how long the configuration would be after a change, and an error if the change is invalid.
func (s *State) ConfigurationBytesAfter(c Command) (int, error) {
	next, err := s.nextConfiguration(c)
	if err != nil {
		return 0, err
	}
	return len(next.Body), nil
}

// nextConfiguration returns the configuration that results from a change.
func (s *State) nextConfiguration(c Command) (*routing.Snapshot, error) {
	current := s.parsedConfiguration()
	if c.Kind == ReplaceConfiguration {
		return routing.ParseAfter(current, c.Body)
	}
	if current == nil {
		return modifyFirst(c.Body)
	}
	body, err := current.Modify(c.Body)
	if err != nil {
		return nil, err
	}
	return routing.ParseAfter(current, body)
}

// modifyFirst returns the configuration that results from a change where there is none yet.
func modifyFirst(patch []byte) (*routing.Snapshot, error) {
	body, err := routing.Modify(nil, patch)
	if err != nil {
		return nil, err
	}
	return routing.Parse(body)
}

// parsedConfiguration returns the configuration in force, or nil if there is none. It reads the body at the first call only.
func (s *State) parsedConfiguration() *routing.Snapshot {
	if s.parsed == nil && s.version > 0 {
		s.parsed, _ = routing.Parse(s.body) // what is in force was valid when it was accepted
	}
	return s.parsed
}

func (s *State) refuse(status int, message string) Result {
	return Result{Status: status, Message: message, Version: s.version}
}
