package cli

import (
	"io/fs"

	"github.com/cockroachdb/errors"

	"citronspread/platform"
	"citronspread/record"
	"citronspread/store"
	"citronspread/yamlfile"
)

// Exit codes of the command line.
const (
	ExitSuccess     = 0
	ExitFailure     = 1
	ExitUsage       = 2 // invalid arguments, settings, desired state or record
	ExitConflict    = 3 // the record was changed by another write
	ExitUnavailable = 4 // the platform's store is unavailable or limits the rate, or the outcome of a write is unknown
)

func exitCode(err error) int {
	var (
		conflict       *record.ConflictError
		unknownOutcome *record.UnknownOutcomeError
		unavailable    *store.UnavailableError
		limited        *store.RateLimitedError
		path           *fs.PathError
		problems       yamlfile.Problems
		address        *AddressError
		settings       *platform.SettingsError
		configuration  *ConfigurationError
	)
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &problems), errors.As(err, &path), errors.As(err, &address),
		errors.As(err, &settings), errors.As(err, &configuration):
		return ExitUsage
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknownOutcome), errors.As(err, &unavailable), errors.As(err, &limited):
		return ExitUnavailable
	}
	return ExitFailure
}
