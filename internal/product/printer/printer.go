// Package printer writes the results of commands as tables, JSON or YAML.
//
//	p := printer.Printer{Out: os.Stdout, Format: printer.FormatTable}
//	err := p.Print(jobs, table)
package printer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"go.yaml.in/yaml/v3"
)

// Format is an output format.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
	FormatYAML  Format = "yaml"
)

// Printer writes values to Out in one format.
type Printer struct {
	Out    io.Writer
	Format Format
}

// Table is the human-readable form of a value.
type Table struct {
	// Head holds the column titles. Without it, no title line is printed.
	Head []string
	Rows [][]string
	// Foot is text that is printed below the rows.
	Foot string
}

// Add appends a row, with each cell formatted by fmt.Sprint.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Print writes the value as JSON or YAML, or else the table.
func (p Printer) Print(value any, table Table) error {
	switch p.Format {
	case FormatJSON:
		e := json.NewEncoder(p.Out)
		e.SetIndent("", "  ")
		return e.Encode(value)
	case FormatYAML:
		return p.printYAML(value)
	}
	return p.printTable(table)
}

// printYAML converts the value by way of JSON, so that both formats have the same
// keys in the same order.
func (p Printer) printYAML(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return err
	}
	setBlockStyle(&node)
	var out bytes.Buffer
	e := yaml.NewEncoder(&out)
	e.SetIndent(2)
	if err := e.Encode(&node); err != nil {
		return err
	}
	_, err = p.Out.Write(out.Bytes())
	return err
}

// setBlockStyle makes the encoder write the node and its children in block style
// instead of the flow style of JSON.
func setBlockStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		setBlockStyle(c)
	}
}

func (p Printer) printTable(t Table) error {
	w := tabwriter.NewWriter(p.Out, 0, 4, 2, ' ', 0)
	if len(t.Head) > 0 {
		fmt.Fprintln(w, strings.Join(t.Head, "\t"))
	}
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if t.Foot == "" {
		return nil
	}
	_, err := fmt.Fprintln(p.Out, t.Foot)
	return err
}
