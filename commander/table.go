package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// show prints a value as JSON, or as a table when the request asks for none.
func (r *request) show(value any, columns []string, rows [][]string) error {
	if r.json {
		return r.showJSON(value)
	}
	return r.showTable(columns, rows)
}

func (r *request) showJSON(value any) error {
	encoder := json.NewEncoder(r.environment.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (r *request) showTable(columns []string, rows [][]string) error {
	writer := tabwriter.NewWriter(r.environment.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(writer, strings.ToUpper(strings.Join(columns, "\t")))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// print writes a line for people; it is silent with -json.
func (r *request) print(format string, values ...any) {
	if !r.json {
		fmt.Fprintf(r.environment.out, format+"\n", values...)
	}
}

// list fetches an array of objects and shows the fields given as columns.
func (r *request) list(fetch func(any) error, fields []string) error {
	var objects []map[string]any
	if err := fetch(&objects); err != nil {
		return err
	}
	rows := make([][]string, 0, len(objects))
	for _, object := range objects {
		row := make([]string, 0, len(fields))
		for _, field := range fields {
			row = append(row, cell(object[field]))
		}
		rows = append(rows, row)
	}
	return r.show(objects, fields, rows)
}

func cell(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case float64:
		if v == float64(int64(v)) {
			return fmt.Sprintf("%d", int64(v))
		}
		return fmt.Sprintf("%.2f", v)
	case []any:
		parts := make([]string, 0, len(v))
		for _, part := range v {
			parts = append(parts, cell(part))
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(value)
}
