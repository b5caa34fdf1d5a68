package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/settings"
)

const checkHelp = `Check settings as serve does, without starting.

Example: citronspread check --settings entry.yaml`

type checkCommand struct {
	settings string
}

func (c *checkCommand) register(parent parent) *kingpin.CmdClause {
	clause := parent.Command("check", checkHelp)
	clause.Flag("settings", "File of the settings.").Required().PlaceHolder("FILE").StringVar(&c.settings)
	return clause
}

func (c *checkCommand) run(_ context.Context, out output) error {
	s, err := settings.Load(c.settings)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "%s: valid settings of %s in zone %s\n", c.settings, s.Name, s.Zone)
	return nil
}
