package workspace

import (
	"fmt"
	"math"
	"strings"

	"golang.org/x/net/http/httpguts"

	"citronspread/model"
)

// Limits of the values of a workspace.
const (
	// MaxPriority is the least urgent priority of a workspace.
	MaxPriority = 100
	// MaxTokens is the largest number of tokens that one request may state.
	MaxTokens = math.MaxInt32
	// maxUsage is the largest rate and burst. Up to it a float64 represents every integer exactly.
	maxUsage = 1 << 53
)

// Field is a field of a workspace.
type Field string

// Fields of workspaces. Each edge translates them to the names in its own configuration.
const (
	FieldName        Field = "Name"
	FieldKeys        Field = "Keys"
	FieldPriority    Field = "Priority"
	FieldPerSecond   Field = "PerSecond"
	FieldBurst       Field = "Burst"
	FieldUnit        Field = "Unit"
	FieldPlainTokens Field = "PlainTokens"
)

// InvalidError reports an invalid workspace in a list. It contains no key.
type InvalidError struct {
	Position  int    // in the list, from 0
	Workspace string // its name, empty if the name is invalid
	Field     Field
	Reason    string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("workspace: %s of %s: %s", e.Field, Describe(e.Position, e.Workspace), e.Reason)
}

// Describe returns how errors name a workspace: by its position in the list and by its name, if that is valid.
func Describe(position int, name string) string {
	if name == "" {
		return fmt.Sprintf("workspace %d", position)
	}
	return fmt.Sprintf("workspace %d %q", position, name)
}

// Check returns an *InvalidError for the first invalid workspace.
func Check(workspaces []model.Workspace) error {
	isKey := make(map[string]bool)
	for _, w := range workspaces {
		for _, key := range w.Keys {
			isKey[key] = true
		}
	}
	names, owners := make(map[string]bool, len(workspaces)), make(map[string]int, len(isKey))
	for i, w := range workspaces {
		if reason := checkName(w.Name, names, isKey); reason != "" {
			return &InvalidError{Position: i, Field: FieldName, Reason: reason}
		}
		names[w.Name] = true
		field, reason := FieldKeys, checkKeys(i, w.Keys, owners)
		if reason == "" {
			field, reason = checkValues(w)
		}
		if reason != "" {
			return &InvalidError{Position: i, Workspace: w.Name, Field: field, Reason: reason}
		}
	}
	return nil
}

// checkName returns why a name is invalid. A name that is also a key would be logged and sent to backend servers.
func checkName(name string, taken, isKey map[string]bool) string {
	switch {
	case name == "":
		return "is empty"
	case isKey[name]:
		return "is also a key"
	case taken[name]:
		return "is the name of an earlier workspace"
	case !isHeaderValue(name):
		return "can't be the value of a header"
	}
	return ""
}

// checkKeys returns why the keys of the workspace at a position are invalid. owners are the positions of the workspaces
// of earlier keys.
func checkKeys(position int, keys []string, owners map[string]int) string {
	for _, key := range keys {
		owner, taken := owners[key]
		switch {
		case key == "":
			return "a key is empty"
		case taken && owner == position:
			return "the same key twice"
		case taken:
			return fmt.Sprintf("a key of workspace %d", owner)
		case !isHeaderValue(key):
			return "a key can't be the value of a header"
		}
		owners[key] = position
	}
	return ""
}

func checkValues(w model.Workspace) (Field, string) {
	switch {
	case w.Priority != nil && (*w.Priority < 0 || *w.Priority > MaxPriority):
		return FieldPriority, fmt.Sprintf("not from 0 to %d", MaxPriority)
	case !isUsage(w.Cap.PerSecond):
		return FieldPerSecond, "not a number from 0 to 2^53"
	case !isUsage(w.Cap.Burst):
		return FieldBurst, "not a number from 0 to 2^53"
	case w.Cap.PlainTokens < 0 || w.Cap.PlainTokens > MaxTokens:
		return FieldPlainTokens, fmt.Sprintf("not from 0 to %d", MaxTokens)
	case w.Cap.Unit != model.CapRequests && w.Cap.Unit != model.CapTokens && w.Cap != model.UsageCap{}:
		return FieldUnit, "unknown unit"
	}
	return "", ""
}

// isUsage reports whether a rate or burst can be calculated with. It is false for NaN.
func isUsage(n float64) bool { return n >= 0 && n <= maxUsage }

// isHeaderValue reports whether a receiver gets a header value as it is sent.
func isHeaderValue(value string) bool {
	return strings.TrimSpace(value) == value && httpguts.ValidHeaderFieldValue(value)
}
