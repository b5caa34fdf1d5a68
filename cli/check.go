package cli

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/settings"
)

const checkHelp = `Validate settings as serve does, without running an entry host.

Example: citronspread check --settings entry.yaml`

type checkCommand struct {
	settings string
}

func (c *checkCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("check", checkHelp)
	clause.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").StringVar(&c.settings)
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
