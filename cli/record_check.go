package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"citronspread/record"
	"citronspread/yamlfile"
)

const recordCheckHelp = `Validate record files without writing them to the store.

Example: citronspread record check records/*.yaml`

type recordCheckCommand struct {
	files []string
}

func (c *recordCheckCommand) register(group commandGroup) *kingpin.CmdClause {
	clause := group.Command("check", recordCheckHelp)
	clause.Arg("files", "Record files.").Required().StringsVar(&c.files)
	return clause
}

func (c *recordCheckCommand) run(_ context.Context, out output) error {
	var problems yamlfile.Problems
	for _, file := range c.files {
		found, err := checkRecord(file)
		if err != nil {
			return err
		}
		problems = append(problems, found...)
		if len(found) == 0 {
			fmt.Fprintf(out.stdout, "%s: valid record\n", file)
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// checkRecord returns the problems of a record file. The error is for a file that can't be read.
func checkRecord(file string) (yamlfile.Problems, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("cli: %w", err)
	}
	_, err = record.ParseFile(file, body)
	var problems yamlfile.Problems
	if errors.As(err, &problems) {
		return problems, nil
	}
	return nil, err
}
