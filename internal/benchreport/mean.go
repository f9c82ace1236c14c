package benchreport

import "math"

// Mean is the mean of a figure over several days, with its standard error.
type Mean struct {
	Name  string  `json:"name"`
	Mean  float64 `json:"mean"`
	Error float64 `json:"error"` // of the mean; 0 for a single day
	Days  int     `json:"days"`
}

// MeansOf returns the mean worth of several days, and the mean loss by each part and price that any of them has.
func MeansOf(ledgers []*Ledger) []Mean {
	worths := make([]float64, 0, len(ledgers))
	for _, day := range ledgers {
		worths = append(worths, day.Worth)
	}
	means := []Mean{meanOf("worth", worths)}
	for _, name := range namesOf(ledgers) {
		losses := make([]float64, 0, len(ledgers))
		for _, day := range ledgers {
			losses = append(losses, day.lost(name))
		}
		means = append(means, meanOf(name, losses))
	}
	return means
}

// namesOf returns the names of all losses in the order in which they first come.
func namesOf(ledgers []*Ledger) []string {
	var names []string
	seen := map[string]bool{}
	for _, day := range ledgers {
		for _, loss := range day.Losses {
			if !seen[loss.Name] {
				seen[loss.Name] = true
				names = append(names, loss.Name)
			}
		}
	}
	return names
}

func (l *Ledger) lost(name string) float64 {
	for _, loss := range l.Losses {
		if loss.Name == name {
			return loss.Lost
		}
	}
	return 0
}

func meanOf(name string, figures []float64) Mean {
	count := float64(len(figures))
	sum, squares := 0.0, 0.0
	for _, figure := range figures {
		sum += figure
	}
	mean := sum / count
	for _, figure := range figures {
		squares += (figure - mean) * (figure - mean)
	}
	made := Mean{Name: name, Mean: mean, Days: len(figures)}
	if count > 1 {
		made.Error = math.Sqrt(squares / (count - 1) / count)
	}
	return made
}
