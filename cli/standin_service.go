package cli

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/standin"
)

type standInServiceCommand struct {
	listen  listenFlag
	service standin.Service
}

func (c *standInServiceCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("service", "Imitate a plain service that counts bookings.")
	c.listen.register(clause)
	clause.Flag("name", "Name of the service.").Required().PlaceHolder("NAME").StringVar(&c.service.Name)
	clause.Flag("delay", "Delay of each response.").Default("0s").DurationVar(&c.service.Delay)
	return clause
}

func (c *standInServiceCommand) run(ctx context.Context, out output) error {
	c.service.Address = c.listen.address
	return c.listen.serve(ctx, out, "service "+c.service.Name, &c.service)
}
