package configcheck

import (
	"slices"
	"strconv"
	"strings"

	"citronspread/model"
)

// secrets are the keys that must not be shown. They are those of the checked desired state and of the one in force.
type secrets []string

func secretsOf(states ...model.DesiredState) (s secrets) {
	for _, state := range states {
		for _, w := range state.Workspaces {
			s = append(s, w.Keys...)
		}
	}
	return s
}

// areIn reports whether a text contains a key.
func (s secrets) areIn(text string) bool {
	return slices.ContainsFunc(s, func(key string) bool { return key != "" && strings.Contains(text, key) })
}

// quoted returns the keys as they are in a text with quoted names.
func (s secrets) quoted() secrets {
	quoted := make(secrets, len(s))
	for i, key := range s {
		quoted[i] = strings.Trim(strconv.Quote(key), `"`)
	}
	return quoted
}

// entry returns an entry without its name if a key is in it.
func (s secrets) entry(path, name string) Entry {
	if s.areIn(name) {
		return Entry{Path: path}
	}
	return Entry{Path: path, Name: name}
}
