package cli

import "runtime/debug"

const shortRevision = 12 // characters

// version returns the module's version and the revision that it was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, modified := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(shortRevision, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " modified"
		}
	}
	if revision == "" {
		return info.Main.Version
	}
	return revision + modified
}
