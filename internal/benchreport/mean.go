package benchreport

import "math"

// Mean is the mean of a figure over several days, with its standard error.
type Mean struct {
	Name  string  `json:"name"`
	Mean  float64 `json:"mean"`
	Error float64 `json:"error"` // of the mean; 0 for a single day
	Days  int     `json:"days"`
}

// MeansOf returns the mean value of several days, and the mean loss by each part and price that any of them has.
func MeansOf(days []*LossReport) []Mean {
	values := make([]float64, 0, len(days))
	for _, day := range days {
		values = append(values, day.Value)
	}
	means := []Mean{meanOf("worth", values)}
	for _, name := range namesOf(days) {
		losses := make([]float64, 0, len(days))
		for _, day := range days {
			losses = append(losses, day.lossOf(name))
		}
		means = append(means, meanOf(name, losses))
	}
	return means
}

// namesOf returns the names of all losses in the order in which they first come.
func namesOf(days []*LossReport) []string {
	var names []string
	seen := map[string]bool{}
	for _, day := range days {
		for _, loss := range day.Losses {
			if !seen[loss.Name] {
				seen[loss.Name] = true
				names = append(names, loss.Name)
			}
		}
	}
	return names
}

// lossOf returns the loss by a part or a price, 0 where the day has none.
func (l *LossReport) lossOf(name string) float64 {
	for _, loss := range l.Losses {
		if loss.Name == name {
			return loss.Lost
		}
	}
	return 0
}

// meanOf returns the mean of figures. The error of the mean is the standard deviation of the sample, by the root of its size.
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
	result := Mean{Name: name, Mean: mean, Days: len(figures)}
	if count > 1 {
		result.Error = math.Sqrt(squares / (count - 1) / count)
	}
	return result
}
