package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(r), "measure: encode result")
}

// WriteTable writes the result as text: a table of the classes, the reasons of failures and totals per variant.
func (r Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "plan %s, seed %d, revision %s, scale: %s\n", r.Name, r.Seed, r.Revision, r.Scale)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "variant\tclass\tsent\twhole\tlate\trefused\tfailed\tsilent\tcut\tbroken\twrong\tfirst p50\tp99\ttotal p50\tp99\tp99.9 ms\t")
	for _, v := range r.Variants {
		for _, c := range v.Classes {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", v.Name, c.Class,
				c.Sent, c.Whole, c.Late, c.Refused, c.Failed, c.Silent, c.Cut, c.Broken, c.Wrong,
				c.First.P50, c.First.P99, c.Total.P50, c.Total.P99, c.Total.P999)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "measure: write table")
	}
	r.writeReasons(w)
	for _, v := range r.Variants {
		fmt.Fprintf(w, "%s: idle %.0f of %.0f loaded replica seconds, %d loads of which %d slow, minimum cold start %.0f ms, "+
			"store reads %d writes %d watches %d, overcommits %d, surplus replicas %d, doubled bookings %d\n",
			v.Name, v.IdleSeconds, v.LoadedSeconds, v.Loads, v.SlowLoads, v.ColdStartFloor,
			v.Store.Reads, v.Store.Writes, v.Store.Watches, v.MemoryOvercommits, v.SurplusReplicas, v.DoubledBookings)
	}
	return nil
}

func (r Result) writeReasons(w io.Writer) {
	for _, v := range r.Variants {
		for _, c := range v.Classes {
			for _, reason := range c.Reasons {
				fmt.Fprintf(w, "%s, %s: %d %s: %s\n", v.Name, c.Class, reason.Count, reason.Outcome, reason.Reason)
			}
		}
	}
}
