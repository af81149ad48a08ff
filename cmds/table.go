package cmds

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between the columns of a table.
const columnGap = 2

// writeTable writes rows as aligned columns, with line breaks inside cells replaced by spaces.
func writeTable(w io.Writer, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		line := strings.Join(row, "\t")
		fmt.Fprintln(t, strings.Join(strings.Split(line, "\n"), " "))
	}
	return t.Flush()
}
