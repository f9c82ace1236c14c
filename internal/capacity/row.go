package capacity

import (
	"slices"

	"github.com/gravitational/trace"
)

// Row is one row of the page's table: what the target needs of something, and what there is of it.
type Row struct {
	Part      string // the subject, under which rows stand together
	Quantity  string // what is needed
	Unit      unit
	Need      float64
	Limit     float64
	Slopes    []string // the names of those that the need was computed from
	Mechanism string   // the files that implement it
}

// Fit tells whether a need fits its limit, in the words of the page.
type Fit string

// The degrees of fit.
const (
	FitsWithRoom Fit = "fits with room"
	FitsBarely   Fit = "fits barely"
	DoesNotFit   Fit = "**does not fit**"
)

// roomShare is the share of the limit up to which a need fits with room.
const roomShare = 0.5

// Fit compares the need with the limit.
func (r Row) Fit() Fit {
	switch {
	case r.Need > r.Limit:
		return DoesNotFit
	case r.Need > r.Limit*roomShare:
		return FitsBarely
	}
	return FitsWithRoom
}

// calculation collects rows. It looks slopes up, and records those that a row uses and those that are missing.
type calculation struct {
	slopes  Slopes
	used    []string // since the last row
	missing []string
	rows    []Row
}

// slope returns a slope's value.
func (c *calculation) slope(name string) float64 {
	slope, found := c.slopes[name]
	if !found {
		c.missing = append(c.missing, name)
	}
	c.used = append(c.used, name)
	return slope.Value
}

// add appends a row, with the slopes that were used since the last one.
func (c *calculation) add(row Row) {
	slices.Sort(c.used)
	row.Slopes, c.used = slices.Compact(c.used), nil
	c.rows = append(c.rows, row)
}

// Rows works out all rows. Slopes that are missing are an error that names them (trace.NotFound).
func Rows(slopes Slopes) ([]Row, error) {
	c := &calculation{slopes: slopes}
	c.storage()
	c.backlog()
	c.retries()
	c.workerList()
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
