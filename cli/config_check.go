package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"citronspread/configcheck"
	"citronspread/model"
	"citronspread/platform"
)

const configCheckHelp = `Check a desired state, the value of op/config, before it is written. No key is printed.

Examples:
  citronspread config check next.json
  citronspread config check next.json --against current.json
  CITRONSPREAD_CONFIG=/etc/citronspread/node.conf citronspread config check next.json --against-store`

// ConfigurationError reports a file that is not a desired state that hosts would apply.
type ConfigurationError struct {
	Path   string
	Reason string
}

func (e *ConfigurationError) Error() string { return fmt.Sprintf("cli: %s: %s", e.Path, e.Reason) }

type configCheckCommand struct {
	file         string
	against      string
	againstStore bool
	settings     string
}

func (c *configCheckCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("check", configCheckHelp)
	clause.Arg("file", "Desired state, as JSON.").Required().StringVar(&c.file)
	clause.Flag("against", "Desired state in force, to print the differences from it.").PlaceHolder("FILE").StringVar(&c.against)
	clause.Flag("against-store", "Print the differences from the desired state in the platform's store.").BoolVar(&c.againstStore)
	clause.Flag("settings", "Settings file of an entry host, which names the store.").Envar(platform.SettingsVariable).PlaceHolder("FILE").StringVar(&c.settings)
	clause.Validate(func(*kingpin.CmdClause) error {
		switch {
		case c.againstStore && c.against != "":
			return errors.New("--against and --against-store exclude each other")
		case c.againstStore && c.settings == "":
			return errors.New("--against-store needs --settings or " + platform.SettingsVariable)
		}
		return nil
	})
	return clause
}

func (c *configCheckCommand) run(ctx context.Context, out output) error {
	value, err := os.ReadFile(c.file)
	if err != nil {
		return errors.Wrap(err, "cli: config check")
	}
	inForce, err := c.inForce(ctx)
	if err != nil {
		return err
	}
	if c.againstStore && inForce == nil {
		fmt.Fprintf(out.stdout, "%s: the store has no %s to compare with\n", c.file, platform.ConfigurationKey)
	}
	report := configcheck.Check(value, inForce)
	for _, f := range report.Findings {
		fmt.Fprintf(out.stdout, "%s: %v\n", c.file, f)
	}
	for _, d := range report.Differences {
		fmt.Fprintf(out.stdout, "%s: %v\n", c.file, d)
	}
	if count := report.Count(configcheck.Error); count > 0 {
		return &ConfigurationError{Path: c.file, Reason: fmt.Sprintf("hosts would not apply it, errors: %d", count)}
	}
	fmt.Fprintf(out.stdout, "%s: valid desired state of version %d, warnings: %d, notes: %d", c.file, report.Version, report.Count(configcheck.Warning), report.Count(configcheck.Note))
	if inForce != nil {
		fmt.Fprintf(out.stdout, ", differences: %d", len(report.Differences))
	}
	fmt.Fprintln(out.stdout)
	return nil
}

// inForce returns the desired state with which the file is compared, nil for none.
func (c *configCheckCommand) inForce(ctx context.Context) (*model.DesiredState, error) {
	switch {
	case c.againstStore:
		return c.inStore(ctx)
	case c.against != "":
		value, err := os.ReadFile(c.against)
		if err != nil {
			return nil, errors.Wrap(err, "cli: config check")
		}
		state, err := platform.DecodeConfiguration(value)
		if err != nil {
			return nil, &ConfigurationError{Path: c.against, Reason: "hosts would not apply it because of " + fieldOf(err)}
		}
		return &state, nil
	}
	return nil, nil
}

// inStore returns the desired state in the platform's store, nil if there is none. Hosts may have another one in force: if the one in the store is
// not valid, and for a time after the store was restored.
func (c *configCheckCommand) inStore(ctx context.Context) (*model.DesiredState, error) {
	s, err := platform.ReadSettings(c.settings)
	if err != nil {
		return nil, err
	}
	entry, err := platform.NewStore(s.StoreAddress).Get(ctx, platform.ConfigurationKey)
	if err != nil {
		return nil, errors.Wrap(err, "cli: config check")
	}
	if entry.Revision == 0 {
		return nil, nil
	}
	state, err := platform.DecodeConfiguration(entry.Value)
	if err != nil {
		return nil, errors.Newf("cli: config check: hosts reject %s in the store because of %s, so the version in force is not known", platform.ConfigurationKey, fieldOf(err))
	}
	return &state, nil
}

// fieldOf returns the field that could not be decoded. The rest of the error may show a name, of which a key of another desired
// state is a part.
func fieldOf(err error) string {
	var invalid *platform.DecodeError
	if errors.As(err, &invalid) {
		return invalid.Field
	}
	return "an unknown field"
}
