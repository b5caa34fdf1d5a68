// Command citronspread serves language models that are idle most of the day. See package cli for its subcommands.
package main

import (
	"os"

	"citronspread/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
