package capacity

import (
	"slices"

	"github.com/gravitational/trace"
)

// Row is one line of the page's table: what the target needs of something, and what there is of it.
type Row struct {
	Part      string // what the line is about
	Quantity  string // what is needed
	Unit      unit
	Need      float64
	Limit     float64
	Slopes    []string // from which it was worked out
	Mechanism string   // the file that carries it
}

// Verdict tells whether a need fits.
type Verdict string

// The verdicts.
const (
	FitsWithRoom Verdict = "fits with room"
	FitsBarely   Verdict = "fits barely"
	DoesNotFit   Verdict = "**does not fit**"
)

// roomPart is the part of the limit up to which a need leaves room.
const roomPart = 0.5

// Verdict compares the need with the limit.
func (r Row) Verdict() Verdict {
	switch {
	case r.Need > r.Limit:
		return DoesNotFit
	case r.Need > r.Limit*roomPart:
		return FitsBarely
	}
	return FitsWithRoom
}

// calculation looks slopes up and notes those that a row uses and those that are missing.
type calculation struct {
	slopes  Slopes
	used    []string
	missing []string
	rows    []Row
}

// of returns a slope's value.
func (c *calculation) of(name string) float64 {
	slope, found := c.slopes[name]
	if !found {
		c.missing = append(c.missing, name)
	}
	c.used = append(c.used, name)
	return slope.Value
}

// add completes a row with the slopes that were used since the last one.
func (c *calculation) add(row Row) {
	slices.Sort(c.used)
	row.Slopes, c.used = slices.Compact(c.used), nil
	c.rows = append(c.rows, row)
}

// Rows works out all rows.
func Rows(slopes Slopes) ([]Row, error) {
	c := &calculation{slopes: slopes}
	c.keeping()
	c.backlog()
	c.retries()
	c.workers()
	c.leases()
	c.configuration()
	c.placement()
	c.failures()
	c.controlState()
	c.recovery()
	if len(c.missing) > 0 {
		return nil, trace.NotFound("slopes were not measured: %q", c.missing)
	}
	return c.rows, nil
}
