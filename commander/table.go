package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printResult prints value as JSON with -json, and otherwise the rows as a table.
func (in *invocation) printResult(value any, columns []string, rows [][]string) error {
	if in.json {
		return in.printJSON(value)
	}
	return in.printTable(columns, rows)
}

func (in *invocation) printJSON(value any) error {
	encoder := json.NewEncoder(in.environment.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (in *invocation) printTable(columns []string, rows [][]string) error {
	writer := tabwriter.NewWriter(in.environment.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// printText prints a line of text. With -json it prints nothing.
func (in *invocation) printText(format string, values ...any) {
	if !in.json {
		fmt.Fprintf(in.environment.out, format+"\n", values...)
	}
}

// listObjects fetches an array of objects and prints the given fields as columns.
func (in *invocation) listObjects(fetch func(any) error, fields []string) error {
	var objects []map[string]any
	if err := fetch(&objects); err != nil {
		return err
	}
	rows := make([][]string, 0, len(objects))
	for _, object := range objects {
		row := make([]string, 0, len(fields))
		for _, field := range fields {
			row = append(row, formatCell(object[field]))
		}
		rows = append(rows, row)
	}
	return in.printResult(objects, fields, rows)
}

// formatCell formats a decoded JSON value for a table.
func formatCell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case float64:
		if v == float64(int64(v)) {
			return fmt.Sprintf("%d", int64(v))
		}
		return fmt.Sprintf("%.2f", v)
	case []any:
		texts := make([]string, 0, len(v))
		for _, element := range v {
			texts = append(texts, formatCell(element))
		}
		return strings.Join(texts, ",")
	}
	return fmt.Sprint(value)
}
