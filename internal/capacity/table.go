package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/gravitational/trace"
)

// unit is the unit of a figure. It determines how the figure is formatted.
type unit string

const (
	dimensionless  unit = ""
	bytes          unit = "B"
	bytesPerSecond unit = "B/s"
	perSecond      unit = "/s"
	seconds        unit = "s"
	percentOfCore  unit = "% of a core"
)

// The markers around the generated part of the page.
const (
	beginMarker = "<!-- begin of the computed tables; `make capacity` writes them -->"
	endMarker   = "<!-- end of the computed tables -->"
)

// Tables returns the generated part of the page in Markdown: the table of the rows and the table of the slopes.
func Tables(slopes Slopes) (string, error) {
	rows, err := Rows(slopes)
	if err != nil {
		return "", trace.Wrap(err)
	}
	list, err := orderedSlopes()
	if err != nil {
		return "", trace.Wrap(err)
	}
	var text strings.Builder
	writeRows(&text, rows)
	writeSlopes(&text, list)
	return text.String(), nil
}

// writeRows writes the table of the rows. The name of a part appears only in the first of its rows.
func writeRows(text *strings.Builder, rows []Row) {
	text.WriteString("| part | quantity | at the target | limit | verdict | slopes | mechanism |\n")
	text.WriteString("| --- | --- | ---: | ---: | --- | --- | --- |\n")
	part := ""
	for _, row := range rows {
		partCell := row.Part
		if partCell == part {
			partCell = ""
		}
		part = row.Part
		fmt.Fprintf(text, "| %s | %s | %s | %s | %s | %s | %s |\n", partCell, row.Quantity,
			row.Unit.format(row.Need), row.Unit.format(row.Limit), row.Fit(), strings.Join(row.Slopes, ", "), row.Mechanism)
	}
}

// writeSlopes writes the table of the slopes.
func writeSlopes(text *strings.Builder, slopes []Slope) {
	text.WriteString("\n| slope | value | unit | run |\n| --- | ---: | --- | --- |\n")
	for _, slope := range slopes {
		run := slope.Run
		if slope.Note != "" {
			run += "; " + slope.Note
		}
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", slope.Name, digits(slope.Value), slope.Unit, run)
	}
}

// prefixes are the decimal prefixes for bytes, the largest first.
var prefixes = []struct {
	factor float64
	name   string
}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "k"}}

// format returns a figure with its unit and at most three significant digits.
func (u unit) format(value float64) string {
	switch u {
	case bytes, bytesPerSecond:
		for _, prefix := range prefixes {
			if value >= prefix.factor {
				return digits(value/prefix.factor) + " " + prefix.name + string(u)
			}
		}
	case percentOfCore:
		return digits(value) + " %"
	}
	return strings.TrimSpace(digits(value) + " " + string(u))
}

// significantDigits is the number of significant digits to which figures are rounded.
const significantDigits = 3

// digits returns a number rounded to significantDigits, without trailing zeros in its fraction.
func digits(value float64) string {
	if value == 0 {
		return "0"
	}
	decimals := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if decimals <= 0 {
		scale := math.Pow(10, float64(-decimals))
		return fmt.Sprintf("%.0f", math.Round(value/scale)*scale)
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", decimals, value), "0"), ".")
}

// Replace returns the page with tables as the text between its markers. It returns trace.NotFound if the page lacks a
// marker.
func Replace(page, tables string) (string, error) {
	before, rest, hasBegin := strings.Cut(page, beginMarker)
	_, after, hasEnd := strings.Cut(rest, endMarker)
	if !hasBegin || !hasEnd {
		return "", trace.NotFound("the page lacks the markers around its tables")
	}
	return before + beginMarker + "\n\n" + tables + "\n" + endMarker + after, nil
}
