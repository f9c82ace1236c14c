package capacity

import (
	"fmt"
	"math"
	"strings"

	"github.com/gravitational/trace"
)

// unit says how a figure is written.
type unit string

const (
	plain          unit = ""
	bytes          unit = "B"
	bytesPerSecond unit = "B/s"
	perSecond      unit = "/s"
	seconds        unit = "s"
	percentOfCore  unit = "% of a core"
)

// Marks around what is generated in the page.
const (
	beginMark = "<!-- begin of the computed tables; `make capacity` writes them -->"
	endMark   = "<!-- end of the computed tables -->"
)

// Tables returns the page's tables: the rows, and the slopes with their runs.
func Tables(slopes Slopes) (string, error) {
	rows, err := Rows(slopes)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	text.WriteString("| part | quantity | at the target | limit | verdict | slopes | mechanism |\n")
	text.WriteString("| --- | --- | ---: | ---: | --- | --- | --- |\n")
	part := ""
	for _, row := range rows {
		shown := row.Part
		if shown == part {
			shown = ""
		}
		part = row.Part
		fmt.Fprintf(&text, "| %s | %s | %s | %s | %s | %s | %s |\n", shown, row.Quantity,
			row.Unit.format(row.Need), row.Unit.format(row.Limit), row.Verdict(), strings.Join(row.Slopes, ", "), row.Mechanism)
	}
	text.WriteString("\n| slope | value | unit | run |\n| --- | ---: | --- | --- |\n")
	list, err := ordered()
	if err != nil {
		return "", err
	}
	for _, slope := range list {
		run := slope.Run
		if slope.Note != "" {
			run += "; " + slope.Note
		}
		fmt.Fprintf(&text, "| %s | %s | %s | %s |\n", slope.Name, digits(slope.Value), slope.Unit, run)
	}
	return text.String(), nil
}

var prefixes = []struct {
	factor float64
	name   string
}{{1e12, "T"}, {1e9, "G"}, {1e6, "M"}, {1e3, "k"}}

// format writes a figure with two or three digits.
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

// significant is how many digits a figure shows.
const significant = 3

func digits(value float64) string {
	if value == 0 {
		return "0"
	}
	decimals := significant - 1 - int(math.Floor(math.Log10(math.Abs(value))))
	if decimals <= 0 {
		scale := math.Pow(10, float64(-decimals))
		return fmt.Sprintf("%.0f", math.Round(value/scale)*scale)
	}
	return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.*f", decimals, value), "0"), ".")
}

// Replace returns a page with newly computed tables between its marks.
func Replace(page, tables string) (string, error) {
	before, rest, begun := strings.Cut(page, beginMark)
	_, after, ended := strings.Cut(rest, endMark)
	if !begun || !ended {
		return "", trace.NotFound("the page lacks the marks around its tables")
	}
	return before + beginMark + "\n\n" + tables + "\n" + endMark + after, nil
}
