package cli

import "runtime/debug"

const shortRevisionLength = 12 // characters

// revision is set by the linker for builds without version control information (see the Makefile).
var revision string

// version returns the revision that the program was built from, or the module version if the revision is unknown.
func version() string {
	if revision != "" {
		return revision
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	stamped, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			stamped = s.Value[:min(shortRevisionLength, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " modified"
		}
	}
	if stamped == "" {
		return info.Main.Version
	}
	return stamped + modified
}
