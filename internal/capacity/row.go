package capacity

import (
	"slices"

	"github.com/gravitational/trace"
)

// Row is one row of the page's table: the need for a resource at the target size, and the limit of that resource.
type Row struct {
	Part      string // the subject under which rows are grouped
	Quantity  string // the resource or time that is needed
	Unit      unit
	Need      float64
	Limit     float64
	Slopes    []string // the names of the slopes from which Need was computed
	Mechanism string   // the files that implement what causes the need
}

// Fit is the verdict whether a need fits its limit, as the page writes it.
type Fit string

// The verdicts. A need fits with room up to half of its limit.
const (
	FitsWithRoom Fit = "fits with room"
	FitsBarely   Fit = "fits barely"
	DoesNotFit   Fit = "**does not fit**"
)

// roomShare is the share of the limit up to which the verdict is FitsWithRoom.
const roomShare = 0.5

// Fit returns the verdict for the row.
func (r Row) Fit() Fit {
	switch {
	case r.Need > r.Limit:
		return DoesNotFit
	case r.Need > r.Limit*roomShare:
		return FitsBarely
	}
	return FitsWithRoom
}

// calculation collects rows. It records the slopes that each row uses, and the slopes that are missing.
type calculation struct {
	slopes  Slopes
	used    []string // names looked up since the last row was added
	missing []string
	rows    []Row
}

// slope returns the value of a slope, and 0 if it is missing.
func (c *calculation) slope(name string) float64 {
	slope, found := c.slopes[name]
	if !found {
		c.missing = append(c.missing, name)
	}
	c.used = append(c.used, name)
	return slope.Value
}

// add appends a row and sets its Slopes to those looked up since the previous row was added.
func (c *calculation) add(row Row) {
	slices.Sort(c.used)
	row.Slopes, c.used = slices.Compact(c.used), nil
	c.rows = append(c.rows, row)
}

// Rows computes all rows. It returns trace.NotFound with the names of the missing slopes if there are any.
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
		return nil, trace.NotFound("missing slopes: %q", c.missing)
	}
	return c.rows, nil
}
