package slopes

import (
	"fmt"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Line is a linear regression of a cost.
type Line struct {
	Name        string
	Intercept   float64
	Slope       float64 // per unit of the variable
	RSquared    float64
	MaxResidual float64 // maximum absolute residual
}

// At returns the value of the line.
func (l Line) At(value float64) float64 { return l.Intercept + l.Slope*value }

// metric is a named number of a cost.
type metric struct {
	name string
	read func(Cost) float64
}

var metrics = []metric{
	{"core %", func(c Cost) float64 { return c.CorePercent }},
	{"memory MB", func(c Cost) float64 { return c.MemoryMB }},
	{"peer KB/s", func(c Cost) float64 { return c.PeerKBs }},
	{"peer calls/s", func(c Cost) float64 { return c.PeerCalls }},
	{"store reads/s", func(c Cost) float64 { return c.StoreReads }},
	{"store writes/s", func(c Cost) float64 { return c.StoreWrites }},
	{"in force s", func(c Cost) float64 { return c.ActivationTime.Seconds() }},
}

// Fit returns a regression line for each number of the costs.
func Fit(costs []Cost) []Line {
	lines := make([]Line, 0, len(metrics))
	for _, m := range metrics {
		lines = append(lines, fitOne(m, costs))
	}
	return lines
}

func fitOne(m metric, costs []Cost) Line {
	values, results := make([]float64, len(costs)), make([]float64, len(costs))
	for i, c := range costs {
		values[i], results[i] = c.Value, m.read(c)
	}
	line := Line{Name: m.name}
	line.Intercept, line.Slope = stat.LinearRegression(values, results, nil, false)
	line.RSquared = stat.RSquared(values, results, nil, line.Intercept, line.Slope)
	for i, v := range values {
		line.MaxResidual = max(line.MaxResidual, results[i]-line.At(v), line.At(v)-results[i])
	}
	return line
}

// Table returns the costs of a series and their regression lines as a Markdown table.
func Table(variable Variable, costs []Cost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s |", variable)
	for _, m := range metrics {
		fmt.Fprintf(&b, " %s |", m.name)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(metrics)+1) + "\n")
	for _, c := range costs {
		fmt.Fprintf(&b, "| %g |", c.Value)
		for _, m := range metrics {
			fmt.Fprintf(&b, " %.3g |", m.read(c))
		}
		b.WriteString("\n")
	}
	lines := Fit(costs)
	writeRow(&b, "slope", lines, func(l Line) string { return fmt.Sprintf("%.3g", l.Slope) })
	writeRow(&b, "at 0", lines, func(l Line) string { return fmt.Sprintf("%.3g", l.Intercept) })
	writeRow(&b, "R²", lines, func(l Line) string { return fmt.Sprintf("%.2f", l.RSquared) })
	writeRow(&b, "largest error", lines, func(l Line) string { return fmt.Sprintf("%.3g", l.MaxResidual) })
	return b.String()
}

func writeRow(b *strings.Builder, name string, lines []Line, cell func(Line) string) {
	fmt.Fprintf(b, "| %s |", name)
	for _, l := range lines {
		fmt.Fprintf(b, " %s |", cell(l))
	}
	b.WriteString("\n")
}
